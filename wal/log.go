package wal

import (
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/baobabshore/baobabshore/consensus"
)

// Recovered is the state that Open has read from disk, for a consensus.Config.
type Recovered struct {
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot // nil if none
	Entries   []consensus.Entry   // the entries after Snapshot
	// Torn is the size in bytes of an incomplete, unacknowledged write that Open
	// has removed from the end of the log file.
	Torn int64
}

// Empty reports whether nothing was ever appended.
func (r Recovered) Empty() bool {
	return r.HardState == consensus.HardState{} && r.Snapshot == nil && len(r.Entries) == 0
}

// Log is the write-ahead log of one node. It is not safe for concurrent use. After
// a failed write or sync every further call fails, since the content of the file
// is then unknown: the process must exit and open the log again.
type Log struct {
	fs         FS
	dir        string
	generation uint64
	file       File
	size       int64
	state      Recovered // the state that Open would return now
	isNew      bool      // nothing was appended before this Open
	err        error     // the first failure
}

// SyncError is the error of a failed sync of the log file. It isn't known what of the file is
// on disk, and reading it again doesn't tell.
type SyncError struct {
	Path string
	Err  error
}

// Error returns the path and the cause.
func (e *SyncError) Error() string { return fmt.Sprintf("wal: sync %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }

// errClosed is the error of every call after Close, unless an earlier call failed.
var errClosed = errors.New("wal: the log is closed")

// Append makes a batch durable: hs if not nil, entries, and snap if not nil.
// Entries replace those of the log from the first one's index on. A snapshot
// replaces the entries of the log up to its index, and also those after it if the
// log does not hold the snapshot's last entry. The snapshot is applied first, so
// entries must follow it. Without a snapshot Append costs one write and one sync.
func (l *Log) Append(hs *consensus.HardState, entries []consensus.Entry, snap *consensus.Snapshot) error {
	if l.err != nil {
		return l.err
	}
	next := l.state
	if snap != nil {
		next.installSnapshot(snap)
	}
	if hs != nil {
		next.HardState = *hs
	}
	for _, e := range entries {
		if err := next.addEntry(e); err != nil {
			return fmt.Errorf("wal: append: %w", err) // nothing was written
		}
	}
	if snap != nil {
		l.err = l.rotate(next)
	} else {
		l.err = l.writeFrame(encodeBatch(hs, entries))
	}
	if l.err == nil {
		l.state = next
	}
	return l.err
}

func encodeBatch(hs *consensus.HardState, entries []consensus.Entry) []byte {
	var b []byte
	for _, e := range entries {
		b = appendEntry(b, e)
	}
	if hs != nil {
		b = appendHardState(b, *hs)
	}
	return b
}

// writeFrame appends one frame to the log file and syncs it.
func (l *Log) writeFrame(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	frame := appendFrame(nil, l.size, payload)
	if _, err := l.file.Write(frame); err != nil {
		return fmt.Errorf("wal: write %s: %w", logPath(l.dir, l.generation), err)
	}
	if err := l.file.Sync(); err != nil {
		return &SyncError{Path: logPath(l.dir, l.generation), Err: err}
	}
	l.size += int64(len(frame))
	return nil
}

// rotate writes the next generation, which is a snapshot and a log file that
// starts with the state after it, and then removes the previous generation. Each
// file gets its name only once its content is synced. The log file is written
// last, since the generation becomes valid with its name.
func (l *Log) rotate(next Recovered) error {
	h := header{generation: l.generation + 1}
	if s := next.Snapshot; s != nil {
		payload, err := encodeSnapshot(s)
		if err != nil {
			return fmt.Errorf("wal: encode the snapshot: %w", err)
		}
		if err := l.writeFileAtomically(snapshotPath(l.dir, h.generation), appendFrame(nil, 0, payload)); err != nil {
			return err
		}
		h.hasSnapshot = true
		h.snapshotIndex, h.snapshotTerm = s.Index, s.Term
		h.snapshotChecksum = uint64(crc32.Checksum(payload, castagnoli))
	}
	payload := appendHeader(nil, h)
	payload = append(payload, encodeBatch(&next.HardState, next.Entries)...)
	frame := appendFrame(nil, 0, payload)
	path := logPath(l.dir, h.generation)
	if err := l.writeFileAtomically(path, frame); err != nil {
		return err
	}
	return l.switchToGeneration(h.generation, int64(len(frame)))
}

// writeFileAtomically writes a file that appears at path with its whole content or
// not at all. It replaces an existing file.
func (l *Log) writeFileAtomically(path string, content []byte) error {
	if err := l.createSynced(path+tempSuffix, content); err != nil {
		return fmt.Errorf("wal: write %s: %w", path, err)
	}
	if err := l.fs.Rename(path+tempSuffix, path); err != nil {
		return fmt.Errorf("wal: rename to %s: %w", path, err)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return fmt.Errorf("wal: sync %s: %w", l.dir, err)
	}
	return nil
}

func (l *Log) createSynced(path string, content []byte) error {
	f, err := l.fs.Create(path)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// switchToGeneration opens the log file of the given generation for appending and
// removes the files of the other generations.
func (l *Log) switchToGeneration(generation uint64, size int64) error {
	f, err := l.fs.OpenAppend(logPath(l.dir, generation))
	if err != nil {
		return fmt.Errorf("wal: open %s: %w", logPath(l.dir, generation), err)
	}
	if l.file != nil {
		// The previous file is superseded, so a failed close loses no data.
		_ = l.file.Close()
	}
	l.file, l.size, l.generation = f, size, generation
	l.removeStaleFiles()
	return nil
}

// Close closes the log file. It syncs nothing, since Append has already made every
// batch durable.
func (l *Log) Close() error {
	if l.err == nil {
		l.err = errClosed
	}
	if l.file == nil {
		return nil
	}
	f := l.file
	l.file = nil
	return f.Close()
}

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// last returns the index of the last entry.
func (r *Recovered) last() uint64 { return r.snapshotIndex() + uint64(len(r.Entries)) }

func (r *Recovered) snapshotIndex() uint64 {
	if r.Snapshot == nil {
		return 0
	}
	return r.Snapshot.Index
}

// addEntry appends an entry, or replaces the entries from its index on.
func (r *Recovered) addEntry(e consensus.Entry) error {
	if e.Index <= r.snapshotIndex() || e.Index > r.last()+1 {
		return fmt.Errorf("entry %d does not follow entry %d", e.Index, r.last())
	}
	keep := e.Index - r.snapshotIndex() - 1
	if keep < uint64(len(r.Entries)) {
		r.Entries = r.Entries[:keep:keep] // forces the next append to copy
	}
	r.Entries = append(r.Entries, e)
	return nil
}

func (r *Recovered) installSnapshot(s *consensus.Snapshot) {
	remaining := r.entriesAfter(s)
	r.Snapshot = s
	r.Entries = remaining
}

// entriesAfter returns the entries that follow the snapshot, or nil if the log does
// not hold the snapshot's last entry.
func (r *Recovered) entriesAfter(s *consensus.Snapshot) []consensus.Entry {
	if s.Index <= r.snapshotIndex() || s.Index > r.last() {
		return nil
	}
	offset := s.Index - r.snapshotIndex()
	if r.Entries[offset-1].Term != s.Term {
		return nil
	}
	return append([]consensus.Entry(nil), r.Entries[offset:]...)
}
