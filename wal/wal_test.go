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

// batch holds the arguments of one call of Append.
type batch struct {
	hardState *consensus.HardState
	entries   []consensus.Entry
	snapshot  *consensus.Snapshot
}

// model is the state that the log must hold after some batches.
type model struct {
	hardState consensus.HardState
	snapshot  *consensus.Snapshot
	entries   map[uint64]consensus.Entry
}

func (m model) withBatch(b batch) model {
	m.entries = maps.Clone(m.entries)
	if s := b.snapshot; s != nil {
		keepTail := m.entries[s.Index].Term == s.Term
		maps.DeleteFunc(m.entries, func(i uint64, _ consensus.Entry) bool { return !keepTail || i <= s.Index })
		m.snapshot = s
	}
	for _, e := range b.entries {
		maps.DeleteFunc(m.entries, func(i uint64, _ consensus.Entry) bool { return i >= e.Index })
		m.entries[e.Index] = e
	}
	if b.hardState != nil {
		m.hardState = *b.hardState
	}
	return m
}

func (m model) equal(r Recovered) bool {
	found := map[uint64]consensus.Entry{}
	for _, e := range r.Entries {
		found[e.Index] = e
	}
	return m.hardState == r.HardState && reflect.DeepEqual(m.snapshot, r.Snapshot) && reflect.DeepEqual(m.entries, found)
}

func (m model) last() uint64 {
	last := uint64(0)
	if m.snapshot != nil {
		last = m.snapshot.Index
	}
	for i := range m.entries {
		last = max(last, i)
	}
	return last
}

// randomBatch returns a batch that may follow m.
func randomBatch(rng *rand.Rand, m model) batch {
	b := batch{}
	term := m.hardState.Term + uint64(rng.IntN(2))
	last := m.last()
	if rng.IntN(6) == 0 && last > 0 {
		b.snapshot = &consensus.Snapshot{Index: last, Term: m.entries[last].Term, Data: []byte("state")}
		switch {
		case rng.IntN(3) == 0:
			b.snapshot.Index, b.snapshot.Term = last+3, term // received from a leader
			last += 3
		case rng.IntN(2) == 0 && m.entries[last-1].Index > 0:
			b.snapshot.Index, b.snapshot.Term = last-1, m.entries[last-1].Term
		}
		if len(m.entries) == 0 && b.snapshot.Index == m.last() {
			b.snapshot = nil
		}
	}
	next := last + 1
	if b.snapshot == nil && rng.IntN(4) == 0 && m.entries[last].Index > 0 {
		next = last // replaces the last entry
	}
	for i := range uint64(rng.IntN(4)) {
		data := bytes.Repeat([]byte{'x'}, rng.IntN(600))
		b.entries = append(b.entries, consensus.Entry{Index: next + i, Term: term, Kind: consensus.EntryCommand, Data: data})
		if len(data) == 0 {
			b.entries[i].Data = nil
		}
	}
	b.hardState = &consensus.HardState{Term: term, Vote: "n1", Commit: m.hardState.Commit}
	return b
}

// TestCrash guards against lost and spurious records: after a power failure at any
// call, the log must hold all acknowledged batches and at most the batch that was
// being written as well. It also covers failed calls, since each run ends with one.
func TestCrash(t *testing.T) {
	for seed := range uint64(2000) {
		fsys := newMemFS(seed)
		rng := rand.New(rand.NewPCG(seed, 3))
		state := model{entries: map[uint64]consensus.Entry{}}
		for run := range 4 {
			fsys.failAtCall = fsys.calls + 1 + rng.IntN(40)
			if rng.IntN(2) == 0 {
				fsys.err = errNoSpace
			}
			pending := state
			l, found, err := Open(fsys, testDir)
			var damage *CorruptError
			if errors.As(err, &damage) {
				t.Fatalf("seed %d, run %d: %v", seed, run, err)
			}
			if err == nil {
				if !state.equal(found) {
					t.Fatalf("seed %d, run %d: recovered %+v, want %+v", seed, run, found, state)
				}
				state, pending = appendUntilFailure(t, l, rng, state)
			}
			fsys = fsys.crash()
			state = recoverModel(t, fsys, seed, state, pending)
		}
	}
}

// appendUntilFailure appends random batches until a call fails. It returns the
// acknowledged state and the state that also has the failed batch.
func appendUntilFailure(t *testing.T, l *Log, rng *rand.Rand, state model) (acked, pending model) {
	for {
		b := randomBatch(rng, state)
		pending = state.withBatch(b)
		if err := l.Append(b.hardState, b.entries, b.snapshot); err != nil {
			calls := l.fs.(*memFS).calls
			if again := l.Append(b.hardState, b.entries, b.snapshot); again != err {
				t.Fatalf("append after %v: %v", err, again)
			}
			if _, again := l.RecordBoot("n"); again != err || l.fs.(*memFS).calls != calls {
				t.Fatalf("the log accepts calls after %v: %v", err, again)
			}
			return state, pending
		}
		state = pending
	}
}

// recoverModel opens the log without faults and returns the state that it holds.
func recoverModel(t *testing.T, fsys *memFS, seed uint64, acked, pending model) model {
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

// TestBootCountSurvivesCrash guards against a boot count that goes back after a power
// failure: the group then ignores the votes of the node for good.
func TestBootCountSurvivesCrash(t *testing.T) {
	starts := 0
	for seed := range uint64(2000) {
		fsys := newMemFS(seed)
		rng := rand.New(rand.NewPCG(seed, 5))
		used := Identity{}
		for run := range 8 {
			fsys.failAtCall = fsys.calls + 1 + rng.IntN(20)
			l, _, err := Open(fsys, testDir)
			var damage *CorruptError
			if errors.As(err, &damage) {
				t.Fatalf("seed %d, run %d: %v", seed, run, err)
			}
			if err == nil {
				id, err := l.RecordBoot(consensus.ID(fmt.Sprint("n", run)))
				if errors.As(err, &damage) {
					t.Fatalf("seed %d, run %d: %v", seed, run, err)
				}
				if err == nil {
					if used.Boot > 0 && id.ID != used.ID || id.Boot <= used.Boot {
						t.Fatalf("seed %d, run %d: started as %+v after %+v", seed, run, id, used)
					}
					used = id
					starts++
					for term := range uint64(rng.IntN(4)) { // until a call fails
						_ = l.Append(&consensus.HardState{Term: term}, nil, &consensus.Snapshot{Index: 10*id.Boot + term, Term: term})
					}
				}
			}
			fsys = fsys.crash()
		}
	}
	t.Logf("%d starts", starts)
}

// newSampleLog returns a file system with a snapshot, an identity and three
// batches, the path of the log file, and the offsets in it before, between and
// after the batches.
func newSampleLog(t *testing.T) (fsys *memFS, logFile string, offsets []int64) {
	fsys = newMemFS(1)
	l, _, err := Open(fsys, testDir)
	must(t, err)
	_, err = l.RecordBoot("n1")
	must(t, err)
	first := consensus.Bootstrap(consensus.Group{Peers: []consensus.Peer{{ID: "n1", Voter: true}}}, []byte("state"))
	must(t, l.Append(nil, nil, &first))
	for i := range uint64(3) {
		offsets = append(offsets, l.Size())
		e := consensus.Entry{Index: 2 + i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)}
		if i == 1 {
			e.Data = bytes.Repeat(e.Data, 2*sectorBytes/len(e.Data)+1) // covers a whole sector
		}
		must(t, l.Append(&consensus.HardState{Term: 1, Commit: i}, []consensus.Entry{e}, nil))
	}
	return fsys, logPath(testDir, 2), append(offsets, l.Size())
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestTruncatedTail guards against a log that can't be opened after a power
// failure: wherever the last write was cut off, all earlier batches must be
// recovered and further batches must follow them.
func TestTruncatedTail(t *testing.T) {
	_, _, offsets := newSampleLog(t)
	for size := offsets[0]; size <= offsets[3]; size++ {
		fsys, logFile, _ := newSampleLog(t)
		fsys.names[logFile].data = fsys.names[logFile].data[:size]
		intactBatches := 0
		for intactBatches < 3 && offsets[intactBatches+1] <= size {
			intactBatches++
		}
		l, found, err := Open(fsys, testDir)
		must(t, err)
		if len(found.Entries) != intactBatches || found.Torn != size-offsets[intactBatches] {
			t.Fatalf("cut at %d: %d entries, %d torn bytes", size, len(found.Entries), found.Torn)
		}
		next := consensus.Entry{Index: 2 + uint64(intactBatches), Term: 2}
		must(t, l.Append(nil, []consensus.Entry{next}, nil))
		_, found, err = Open(fsys, testDir)
		must(t, err)
		if len(found.Entries) != intactBatches+1 || found.Torn != 0 {
			t.Fatalf("cut at %d: %d entries after an append", size, len(found.Entries))
		}
	}
}

// TestFlippedBits guards against silent data loss: a flipped bit anywhere in an
// acknowledged record, in the snapshot or in the identity must make the start fail.
func TestFlippedBits(t *testing.T) {
	fsys, _, _ := newSampleLog(t)
	for _, name := range slices.Sorted(maps.Keys(fsys.names)) {
		size := len(fsys.names[name].data)
		for bit := range 8 * size {
			fsys.names[name].data[bit/8] ^= 1 << (bit % 8)
			err := openAndRecordBoot(fsys)
			var damage *CorruptError
			if !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(bit/8) {
				t.Fatalf("%s with bit %d flipped: %v", name, bit, err)
			}
			fsys.names[name].data[bit/8] ^= 1 << (bit % 8)
		}
	}
	must(t, openAndRecordBoot(fsys))
}

func openAndRecordBoot(fsys FS) error {
	l, _, err := Open(fsys, testDir)
	if err != nil {
		return err
	}
	_, err = l.RecordBoot("n2")
	return errors.Join(err, l.Close())
}

// TestDamageBeforeIntactRecord guards against mistaking damage for a torn write: a
// record that looks unwritten or truncated but has an intact record after it must
// be reported as damaged.
func TestDamageBeforeIntactRecord(t *testing.T) {
	for i := range 2 {
		fsys, logFile, offsets := newSampleLog(t)
		clear(fsys.names[logFile].data[offsets[i]:offsets[i+1]])
		var damage *CorruptError
		if err := openAndRecordBoot(fsys); !errors.As(err, &damage) || damage.File != logFile || damage.Offset != offsets[i] {
			t.Errorf("batch %d zeroed: %v", i, err)
		}
	}
}

// TestMissingFile guards against a start that succeeds without a part of the
// acknowledged state.
func TestMissingFile(t *testing.T) {
	intact, _, _ := newSampleLog(t)
	for name := range intact.names {
		fsys, _, _ := newSampleLog(t)
		delete(fsys.names, name)
		var damage *CorruptError
		if err := openAndRecordBoot(fsys); !errors.As(err, &damage) {
			t.Errorf("without %s: %v", name, err)
		}
	}
}

// TestOSFS guards against an OSFS that behaves differently from memFS, and against
// a boot count that doesn't increase.
func TestOSFS(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "control")
	state := model{entries: map[uint64]consensus.Entry{}}
	rng := rand.New(rand.NewPCG(5, 5))
	for boot := range uint64(5) {
		l, found, err := Open(OSFS{}, dir)
		must(t, err)
		if !state.equal(found) {
			t.Fatalf("recovered %+v, want %+v", found, state)
		}
		id, err := l.RecordBoot(consensus.ID(fmt.Sprintf("n%d", boot)))
		must(t, err)
		if want := (Identity{"n0", boot + 1}); id != want {
			t.Fatalf("identity %+v, want %+v", id, want)
		}
		for range 10 {
			b := randomBatch(rng, state)
			must(t, l.Append(b.hardState, b.entries, b.snapshot))
			state = state.withBatch(b)
		}
		must(t, l.Close())
	}
}
