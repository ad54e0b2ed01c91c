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

func logPath(dir string, generation uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x", logPrefix, generation))
}

func snapshotPath(dir string, generation uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x", snapshotPrefix, generation))
}

// Open opens the log in dir, or creates it if dir is new. It removes an incomplete
// write that was never acknowledged from the end of the log file. For any other
// damage and for a missing file it returns a *CorruptError.
func Open(fsys FS, dir string) (*Log, Recovered, error) {
	l := &Log{fs: fsys, dir: dir}
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, Recovered{}, fmt.Errorf("wal: create %s: %w", dir, err)
	}
	generation, err := l.latestGeneration()
	if err != nil {
		return nil, Recovered{}, err
	}
	if generation == 0 {
		l.isNew = true
		err = l.rotate(Recovered{})
	} else {
		err = l.recoverGeneration(generation)
		l.isNew = l.state.Empty()
	}
	if err != nil {
		return nil, Recovered{}, err
	}
	recovered := l.state
	recovered.Entries = slices.Clip(recovered.Entries) // an append by the caller must not overwrite the log's entries
	return l, recovered, nil
}

// latestGeneration returns the latest generation, or 0 in a new directory.
func (l *Log) latestGeneration() (uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return 0, fmt.Errorf("wal: list %s: %w", l.dir, err)
	}
	latest, otherFile := uint64(0), ""
	for _, name := range names {
		if g, ok := parseGeneration(logPrefix, name); ok {
			latest = max(latest, g)
		}
		if _, ok := parseGeneration(snapshotPrefix, name); ok || name == identityFile {
			otherFile = name
		}
	}
	if latest == 0 && otherFile != "" {
		// The first log file is durable before any of the other files exists.
		return 0, &CorruptError{File: logPath(l.dir, 1), Problem: "no log file, but the directory has the file " + otherFile}
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

func (l *Log) recoverGeneration(generation uint64) error {
	path := logPath(l.dir, generation)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return fmt.Errorf("wal: read %s: %w", path, err)
	}
	end, err := l.replay(path, generation, data)
	if err != nil {
		return err
	}
	if err := l.switchToGeneration(generation, end); err != nil {
		return err
	}
	l.state.Torn = int64(len(data)) - end
	if l.state.Torn == 0 {
		return nil
	}
	if err := l.file.Truncate(end); err != nil {
		return fmt.Errorf("wal: truncate %s: %w", path, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: sync %s: %w", path, err)
	}
	return nil
}

// replay reads the frames of a log file into l.state and returns the offset after
// the last intact frame.
func (l *Log) replay(path string, generation uint64, data []byte) (end int64, err error) {
	for end < int64(len(data)) || end == 0 {
		payload, next, state := readFrame(data, end)
		if state != frameIntact {
			// The first frame is synced before the file gets its name.
			if end > 0 && isTornWrite(data, end, state) {
				return end, nil
			}
			return 0, &CorruptError{path, end, "the record is damaged"}
		}
		if err := l.replayFrame(payload, generation, end == 0); err != nil {
			var corrupt *CorruptError
			if errors.As(err, &corrupt) {
				return 0, err
			}
			return 0, &CorruptError{path, end, err.Error()}
		}
		end = next
	}
	return end, nil
}

func (l *Log) replayFrame(payload []byte, generation uint64, first bool) error {
	d := decoder{b: payload}
	if first {
		if err := l.replayHeader(&d, generation); err != nil {
			return err
		}
	}
	for d.hasMore() {
		switch d.byte() {
		case recordHardState:
			l.state.HardState = d.hardState()
		case recordEntry:
			e := d.entry()
			if d.err != nil {
				break
			}
			if err := l.state.addEntry(e); err != nil {
				return err
			}
		default:
			return errUndecodableRecord
		}
	}
	return d.err
}

func (l *Log) replayHeader(d *decoder, generation uint64) error {
	if d.byte() != recordHeader {
		return errors.New("the file does not start with a header")
	}
	h := d.header()
	if d.err != nil {
		return d.err
	}
	if h.generation != generation {
		return fmt.Errorf("the header has generation %d, unlike the file name", h.generation)
	}
	if !h.hasSnapshot {
		return nil
	}
	s, err := l.readSnapshot(h)
	l.state.Snapshot = s
	return err
}

// readSnapshot reads the snapshot to which the header of a log file refers.
func (l *Log) readSnapshot(h header) (*consensus.Snapshot, error) {
	path := snapshotPath(l.dir, h.generation)
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &CorruptError{File: path, Problem: "the snapshot is missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("wal: read %s: %w", path, err)
	}
	payload, next, state := readFrame(data, 0)
	if state != frameIntact || next != int64(len(data)) {
		return nil, &CorruptError{File: path, Problem: "the snapshot is damaged"}
	}
	if uint64(crc32.Checksum(payload, castagnoli)) != h.snapshotChecksum {
		return nil, &CorruptError{File: path, Problem: "the snapshot's checksum differs from the one in the log file"}
	}
	s, err := decodeSnapshot(payload)
	if err != nil {
		return nil, &CorruptError{File: path, Problem: err.Error()}
	}
	return s, nil
}

// removeStaleFiles removes the files of other generations and temporary files. A
// file that can't be removed is harmless; the next rotation tries again.
func (l *Log) removeStaleFiles() {
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
