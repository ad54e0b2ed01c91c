package wal

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/baobabshore/baobabshore/consensus"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	identityFile   = "identity"
	tempSuffix     = ".tmp"
)

func logName(dir string, generation uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x", logPrefix, generation))
}

func snapshotName(dir string, generation uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x", snapshotPrefix, generation))
}

// Open opens the log in dir, or creates it if dir is new. It cuts off a write
// that was never acknowledged. Any other damage and any missing file is a
// *CorruptError.
func Open(fsys FS, dir string) (*Log, Recovered, error) {
	l := &Log{fs: fsys, dir: dir}
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, Recovered{}, fmt.Errorf("wal: create %s: %w", dir, err)
	}
	generation, err := l.findGeneration()
	if err != nil {
		return nil, Recovered{}, err
	}
	if generation == 0 {
		l.isNew = true
		err = l.rotate(Recovered{})
	} else {
		err = l.recover(generation)
		l.isNew = l.state.Empty()
	}
	if err != nil {
		return nil, Recovered{}, err
	}
	found := l.state
	found.Entries = slices.Clip(found.Entries) // the caller's appends must not reach the log's
	return l, found, nil
}

// findGeneration returns the latest generation, 0 in a new directory.
func (l *Log) findGeneration() (uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return 0, fmt.Errorf("wal: list %s: %w", l.dir, err)
	}
	latest, used := uint64(0), ""
	for _, name := range names {
		if g, ok := parseGeneration(logPrefix, name); ok {
			latest = max(latest, g)
		}
		if _, ok := parseGeneration(snapshotPrefix, name); ok || name == identityFile {
			used = name
		}
	}
	if latest == 0 && used != "" {
		// The first log file is durable before any of the other files exists.
		return 0, &CorruptError{File: logName(l.dir, 1), Problem: "no log file, but the directory has the file " + used}
	}
	return latest, nil
}

func parseGeneration(prefix, name string) (uint64, bool) {
	var g uint64
	if _, err := fmt.Sscanf(name, prefix+"%016x", &g); err != nil {
		return 0, false
	}
	return g, fmt.Sprintf("%s%016x", prefix, g) == name
}

func (l *Log) recover(generation uint64) error {
	name := logName(l.dir, generation)
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("wal: read %s: %w", name, err)
	}
	end, err := l.replay(name, generation, data)
	if err != nil {
		return err
	}
	if err := l.use(generation, end); err != nil {
		return err
	}
	l.state.Torn = int64(len(data)) - end
	if l.state.Torn == 0 {
		return nil
	}
	if err := l.file.Truncate(end); err != nil {
		return fmt.Errorf("wal: truncate %s: %w", name, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: sync %s: %w", name, err)
	}
	return nil
}

// replay reads the frames of a log file and returns the offset after the last
// intact one.
func (l *Log) replay(name string, generation uint64, data []byte) (end int64, err error) {
	for end < int64(len(data)) || end == 0 {
		payload, next, state := frameAt(data, end)
		if state != frameIntact {
			// The first frame is synced before the file gets its name.
			if end > 0 && torn(data, end, state) {
				return end, nil
			}
			return 0, &CorruptError{name, end, "damaged record"}
		}
		if err := l.replayFrame(payload, generation, end == 0); err != nil {
			var c *CorruptError
			if errors.As(err, &c) {
				return 0, err
			}
			return 0, &CorruptError{name, end, err.Error()}
		}
		end = next
	}
	return end, nil
}

func (l *Log) replayFrame(payload []byte, generation uint64, first bool) error {
	r := reader{b: payload}
	if first {
		if err := l.replayHeader(&r, generation); err != nil {
			return err
		}
	}
	for r.more() {
		switch r.byte() {
		case recordHardState:
			l.state.HardState = r.hardState()
		case recordEntry:
			e := r.entry()
			if r.err != nil {
				break
			}
			if err := l.state.add(e); err != nil {
				return err
			}
		default:
			return errRecord
		}
	}
	return r.err
}

func (l *Log) replayHeader(r *reader, generation uint64) error {
	if r.byte() != recordHeader {
		return errors.New("the file does not start with a header")
	}
	h := r.header()
	if r.err != nil {
		return r.err
	}
	if h.generation != generation {
		return fmt.Errorf("the header is of generation %d", h.generation)
	}
	if !h.hasSnapshot {
		return nil
	}
	s, err := l.readSnapshot(h)
	l.state.Snapshot = s
	return err
}

// readSnapshot reads the snapshot that the header of a log file names.
func (l *Log) readSnapshot(h header) (*consensus.Snapshot, error) {
	name := snapshotName(l.dir, h.generation)
	data, err := l.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &CorruptError{File: name, Problem: "the snapshot is missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("wal: read %s: %w", name, err)
	}
	payload, next, state := frameAt(data, 0)
	if state != frameIntact || next != int64(len(data)) {
		return nil, &CorruptError{File: name, Problem: "the snapshot is damaged"}
	}
	if uint64(crc32.Checksum(payload, castagnoli)) != h.snapSum {
		return nil, &CorruptError{File: name, Problem: "the snapshot is not the one that the log names"}
	}
	s, err := decodeSnapshot(payload)
	if err != nil {
		return nil, &CorruptError{File: name, Problem: err.Error()}
	}
	return s, nil
}

// removeOthers removes the files of other generations and unfinished files. A
// file that can't be removed does no harm and is tried again at the next rotation.
func (l *Log) removeOthers() {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return
	}
	for _, name := range names {
		g, isLog := parseGeneration(logPrefix, name)
		s, isSnapshot := parseGeneration(snapshotPrefix, name)
		stale := isLog && g != l.generation || isSnapshot && s != l.generation
		if stale || filepath.Ext(name) == tempSuffix {
			_ = l.fs.Remove(filepath.Join(l.dir, name))
		}
	}
}
