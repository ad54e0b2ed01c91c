package wal

import (
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/baobabshore/baobabshore/consensus"
)

// Recovered is what Open found on disk. It is the start of a consensus.Config.
type Recovered struct {
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot // nil if none
	Entries   []consensus.Entry   // those after Snapshot
	// Torn is the number of bytes of an unacknowledged write that were cut off.
	Torn int64
}

// Empty reports whether nothing was ever appended.
func (r Recovered) Empty() bool {
	return r.HardState == consensus.HardState{} && r.Snapshot == nil && len(r.Entries) == 0
}

// Log is the log of one node. It is not safe for concurrent use. After a failed
// write or sync every further call fails, since the content of the file is then
// unknown: the process has to end and open the log again.
type Log struct {
	fs         FS
	dir        string
	generation uint64
	file       File
	size       int64
	state      Recovered // what Open would return now
	isNew      bool      // nothing was appended before this Open
	err        error     // the first failure
}

// errClosed is the state of a log after Close.
var errClosed = errors.New("wal: the log is closed")

// Append makes a batch durable: hs if not nil, entries, and snap if not nil.
// Entries replace those of the log from the first one's index on. A snapshot
// replaces the log up to its index, and all of it unless the log holds the
// snapshot's last entry. Entries then follow the snapshot. Without a snapshot
// Append costs one write and one sync.
func (l *Log) Append(hs *consensus.HardState, entries []consensus.Entry, snap *consensus.Snapshot) error {
	if l.err != nil {
		return l.err
	}
	next := l.state
	if snap != nil {
		next.install(snap)
	}
	if hs != nil {
		next.HardState = *hs
	}
	for _, e := range entries {
		if err := next.add(e); err != nil {
			return fmt.Errorf("wal: append: %w", err) // nothing was written
		}
	}
	if snap != nil {
		l.err = l.rotate(next)
	} else {
		l.err = l.write(encodeBatch(hs, entries))
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

// write appends one frame and syncs it.
func (l *Log) write(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	frame := appendFrame(nil, l.size, payload)
	if _, err := l.file.Write(frame); err != nil {
		return fmt.Errorf("wal: write %s: %w", logName(l.dir, l.generation), err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: sync %s: %w", logName(l.dir, l.generation), err)
	}
	l.size += int64(len(frame))
	return nil
}

// rotate writes the next generation, a snapshot and a log file that starts with
// the state after it, and then removes the former one. Each file gets its name
// only once its content is synced. The log file comes last, since its name makes
// the generation valid.
func (l *Log) rotate(next Recovered) error {
	h := header{generation: l.generation + 1}
	if s := next.Snapshot; s != nil {
		payload, err := encodeSnapshot(s)
		if err != nil {
			return fmt.Errorf("wal: encode the snapshot: %w", err)
		}
		if err := l.replace(snapshotName(l.dir, h.generation), appendFrame(nil, 0, payload)); err != nil {
			return err
		}
		h.hasSnapshot = true
		h.snapIndex, h.snapTerm = s.Index, s.Term
		h.snapSum = uint64(crc32.Checksum(payload, castagnoli))
	}
	payload := appendHeader(nil, h)
	payload = append(payload, encodeBatch(&next.HardState, next.Entries)...)
	frame := appendFrame(nil, 0, payload)
	name := logName(l.dir, h.generation)
	if err := l.replace(name, frame); err != nil {
		return err
	}
	return l.use(h.generation, int64(len(frame)))
}

// replace writes a file that appears under its name complete or not at all.
func (l *Log) replace(name string, content []byte) error {
	if err := l.writeFile(name+tempSuffix, content); err != nil {
		return fmt.Errorf("wal: write %s: %w", name, err)
	}
	if err := l.fs.Rename(name+tempSuffix, name); err != nil {
		return fmt.Errorf("wal: rename to %s: %w", name, err)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return fmt.Errorf("wal: sync %s: %w", l.dir, err)
	}
	return nil
}

func (l *Log) writeFile(name string, content []byte) error {
	f, err := l.fs.Create(name)
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

// use continues on the log file of the given generation and removes the others.
func (l *Log) use(generation uint64, size int64) error {
	f, err := l.fs.OpenAppend(logName(l.dir, generation))
	if err != nil {
		return fmt.Errorf("wal: open %s: %w", logName(l.dir, generation), err)
	}
	if l.file != nil {
		// The former file is superseded, so a failed close loses nothing.
		_ = l.file.Close()
	}
	l.file, l.size, l.generation = f, size, generation
	l.removeOthers()
	return nil
}

// Close closes the file. All that Append returned is durable already.
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
func (r *Recovered) last() uint64 { return r.base() + uint64(len(r.Entries)) }

func (r *Recovered) base() uint64 {
	if r.Snapshot == nil {
		return 0
	}
	return r.Snapshot.Index
}

// add appends an entry, or replaces the entries from its index on.
func (r *Recovered) add(e consensus.Entry) error {
	if e.Index <= r.base() || e.Index > r.last()+1 {
		return fmt.Errorf("entry %d does not follow entry %d", e.Index, r.last())
	}
	keep := e.Index - r.base() - 1
	if keep < uint64(len(r.Entries)) {
		r.Entries = r.Entries[:keep:keep] // the next append copies
	}
	r.Entries = append(r.Entries, e)
	return nil
}

func (r *Recovered) install(s *consensus.Snapshot) {
	kept := r.after(s)
	r.Snapshot = s
	r.Entries = kept
}

// after returns the entries that stay behind the snapshot.
func (r *Recovered) after(s *consensus.Snapshot) []consensus.Entry {
	if s.Index <= r.base() || s.Index > r.last() {
		return nil
	}
	at := s.Index - r.base()
	if r.Entries[at-1].Term != s.Term {
		return nil
	}
	return append([]consensus.Entry(nil), r.Entries[at:]...)
}
