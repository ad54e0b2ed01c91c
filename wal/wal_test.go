package wal

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/baobabshore/baobabshore/consensus"
)

const testDir = "data"

// batch is the arguments of one Append.
type batch struct {
	hard    *consensus.HardState
	entries []consensus.Entry
	snap    *consensus.Snapshot
}

// model is what the log must hold after some batches.
type model struct {
	hard    consensus.HardState
	snap    *consensus.Snapshot
	entries map[uint64]consensus.Entry
}

func (m model) after(b batch) model {
	m.entries = maps.Clone(m.entries)
	if s := b.snap; s != nil {
		kept := m.entries[s.Index].Term == s.Term
		maps.DeleteFunc(m.entries, func(i uint64, _ consensus.Entry) bool { return !kept || i <= s.Index })
		m.snap = s
	}
	for _, e := range b.entries {
		maps.DeleteFunc(m.entries, func(i uint64, _ consensus.Entry) bool { return i >= e.Index })
		m.entries[e.Index] = e
	}
	if b.hard != nil {
		m.hard = *b.hard
	}
	return m
}

func (m model) equal(r Recovered) bool {
	found := map[uint64]consensus.Entry{}
	for _, e := range r.Entries {
		found[e.Index] = e
	}
	return m.hard == r.HardState && reflect.DeepEqual(m.snap, r.Snapshot) && reflect.DeepEqual(m.entries, found)
}

func (m model) last() uint64 {
	last := uint64(0)
	if m.snap != nil {
		last = m.snap.Index
	}
	for i := range m.entries {
		last = max(last, i)
	}
	return last
}

// randomBatch returns a batch that may follow m.
func randomBatch(rng *rand.Rand, m model) batch {
	b := batch{}
	term := m.hard.Term + uint64(rng.IntN(2))
	last := m.last()
	if rng.IntN(6) == 0 && last > 0 {
		b.snap = &consensus.Snapshot{Index: last, Term: m.entries[last].Term, Data: []byte("state")}
		switch {
		case rng.IntN(3) == 0:
			b.snap.Index, b.snap.Term = last+3, term // received from a leader
			last += 3
		case rng.IntN(2) == 0 && m.entries[last-1].Index > 0:
			b.snap.Index, b.snap.Term = last-1, m.entries[last-1].Term
		}
		if len(m.entries) == 0 && b.snap.Index == m.last() {
			b.snap = nil
		}
	}
	next := last + 1
	if b.snap == nil && rng.IntN(4) == 0 && m.entries[last].Index > 0 {
		next = last // replaces the last entry
	}
	for i := range uint64(rng.IntN(4)) {
		data := bytes.Repeat([]byte{'x'}, rng.IntN(600))
		b.entries = append(b.entries, consensus.Entry{Index: next + i, Term: term, Kind: consensus.EntryCommand, Data: data})
		if len(data) == 0 {
			b.entries[i].Data = nil
		}
	}
	b.hard = &consensus.HardState{Term: term, Vote: "n1", Commit: m.hard.Commit}
	return b
}

// TestCrash guards against lost or invented records: after a loss of power at
// any call, the log holds all that was acknowledged and at most the batch that
// was being written. It also covers failed calls, since each run ends with one.
func TestCrash(t *testing.T) {
	for seed := range uint64(2000) {
		fsys := newMemFS(seed)
		rng := rand.New(rand.NewPCG(seed, 3))
		state := model{entries: map[uint64]consensus.Entry{}}
		for life := range 4 {
			fsys.failAt = fsys.calls + 1 + rng.IntN(40)
			if rng.IntN(2) == 0 {
				fsys.err = errFull
			}
			pending := state
			l, found, err := Open(fsys, testDir)
			var damage *CorruptError
			if errors.As(err, &damage) {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			if err == nil {
				if !state.equal(found) {
					t.Fatalf("seed %d, life %d: recovered %+v, want %+v", seed, life, found, state)
				}
				state, pending = appendUntilFailure(t, l, rng, state)
			}
			fsys = fsys.crash()
			state = recovered(t, fsys, seed, state, pending)
		}
	}
}

// appendUntilFailure returns the acknowledged state and the one with the batch
// that failed.
func appendUntilFailure(t *testing.T, l *Log, rng *rand.Rand, state model) (acked, pending model) {
	for {
		b := randomBatch(rng, state)
		pending = state.after(b)
		if err := l.Append(b.hard, b.entries, b.snap); err != nil {
			calls := l.fs.(*memFS).calls
			if again := l.Append(b.hard, b.entries, b.snap); again != err {
				t.Fatalf("append after %v: %v", err, again)
			}
			if _, again := l.Identify("n"); again != err || l.fs.(*memFS).calls != calls {
				t.Fatalf("the log goes on after %v: %v", err, again)
			}
			return state, pending
		}
		state = pending
	}
}

// recovered opens the log without faults and returns which state it holds.
func recovered(t *testing.T, fsys *memFS, seed uint64, acked, pending model) model {
	l, found, err := Open(fsys, testDir)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	defer l.Close()
	if pending.equal(found) {
		return pending
	}
	if !acked.equal(found) {
		t.Fatalf("seed %d: recovered %+v, want %+v or %+v", seed, found, acked, pending)
	}
	return acked
}

// sample returns a file system with a snapshot, an identity and three batches,
// and the offsets of the batches in the log file.
func sample(t *testing.T) (fsys *memFS, logFile string, offsets []int64) {
	fsys = newMemFS(1)
	l, _, err := Open(fsys, testDir)
	must(t, err)
	_, err = l.Identify("n1")
	must(t, err)
	first := consensus.Bootstrap(consensus.Group{Peers: []consensus.Peer{{ID: "n1", Voter: true}}}, []byte("state"))
	must(t, l.Append(nil, nil, &first))
	for i := range uint64(3) {
		offsets = append(offsets, l.Size())
		e := consensus.Entry{Index: 2 + i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)}
		if i == 1 {
			e.Data = bytes.Repeat(e.Data, 2*sectorBytes/len(e.Data)+1) // has a whole sector
		}
		must(t, l.Append(&consensus.HardState{Term: 1, Commit: i}, []consensus.Entry{e}, nil))
	}
	return fsys, logName(testDir, 2), append(offsets, l.Size())
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestCutTail guards against a log that can't be opened after a loss of power:
// wherever the last write was cut off, all earlier batches are recovered and the
// log goes on after them.
func TestCutTail(t *testing.T) {
	_, _, offsets := sample(t)
	for size := offsets[0]; size <= offsets[3]; size++ {
		fsys, logFile, _ := sample(t)
		fsys.names[logFile].data = fsys.names[logFile].data[:size]
		whole := 0
		for whole < 3 && offsets[whole+1] <= size {
			whole++
		}
		l, found, err := Open(fsys, testDir)
		must(t, err)
		if len(found.Entries) != whole || found.Torn != size-offsets[whole] {
			t.Fatalf("cut at %d: %d entries, %d torn bytes", size, len(found.Entries), found.Torn)
		}
		next := consensus.Entry{Index: 2 + uint64(whole), Term: 2}
		must(t, l.Append(nil, []consensus.Entry{next}, nil))
		_, found, err = Open(fsys, testDir)
		must(t, err)
		if len(found.Entries) != whole+1 || found.Torn != 0 {
			t.Fatalf("cut at %d: %d entries after an append", size, len(found.Entries))
		}
	}
}

// TestFlippedBits guards against silent loss: a flipped bit anywhere in an
// acknowledged record, in the snapshot or in the identity stops the start.
func TestFlippedBits(t *testing.T) {
	fsys, _, _ := sample(t)
	for _, name := range slices.Sorted(maps.Keys(fsys.names)) {
		size := len(fsys.names[name].data)
		for bit := range 8 * size {
			fsys.names[name].data[bit/8] ^= 1 << (bit % 8)
			err := start(fsys)
			var damage *CorruptError
			if !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(bit/8) {
				t.Fatalf("%s with bit %d flipped: %v", name, bit, err)
			}
			fsys.names[name].data[bit/8] ^= 1 << (bit % 8)
		}
	}
	must(t, start(fsys))
}

func start(fsys FS) error {
	l, _, err := Open(fsys, testDir)
	if err != nil {
		return err
	}
	_, err = l.Identify("n2")
	return errors.Join(err, l.Close())
}

// TestDamagedBeforeIntact guards against taking damage for a torn write: a record
// that looks unwritten or cut off is not the last one.
func TestDamagedBeforeIntact(t *testing.T) {
	for i := range 2 {
		fsys, logFile, offsets := sample(t)
		clear(fsys.names[logFile].data[offsets[i]:offsets[i+1]])
		var damage *CorruptError
		if err := start(fsys); !errors.As(err, &damage) || damage.File != logFile || damage.Offset != offsets[i] {
			t.Errorf("batch %d zeroed: %v", i, err)
		}
	}
}

// TestMissingFile guards against a start without a part of the acknowledged state.
func TestMissingFile(t *testing.T) {
	whole, _, _ := sample(t)
	for name := range whole.names {
		fsys, _, _ := sample(t)
		delete(fsys.names, name)
		var damage *CorruptError
		if err := start(fsys); !errors.As(err, &damage) {
			t.Errorf("without %s: %v", name, err)
		}
	}
}

// TestOperatingSystem guards against an adapter that differs from memFS, and
// against a boot count that doesn't rise.
func TestOperatingSystem(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "control")
	state := model{entries: map[uint64]consensus.Entry{}}
	rng := rand.New(rand.NewPCG(5, 5))
	for boot := range uint64(5) {
		l, found, err := Open(OSFS{}, dir)
		must(t, err)
		if !state.equal(found) {
			t.Fatalf("recovered %+v, want %+v", found, state)
		}
		id, err := l.Identify(consensus.ID(fmt.Sprintf("n%d", boot)))
		must(t, err)
		if want := (Identity{"n0", boot + 1}); id != want {
			t.Fatalf("identity %+v, want %+v", id, want)
		}
		for range 10 {
			b := randomBatch(rng, state)
			must(t, l.Append(b.hard, b.entries, b.snap))
			state = state.after(b)
		}
		must(t, l.Close())
	}
}
