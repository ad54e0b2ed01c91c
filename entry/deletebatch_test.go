package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const deleteLimit = 10 * time.Second

// batchOf returns a batch with the given id whose steps follow one another.
func batchOf(id string, tasksByStep ...int) Batch {
	b := oneTaskBatch("/" + id + ".")
	b.ID, b.Deadline = id, 30*time.Second
	b.Objective = dispatch.Objective{Fixed: 30 * time.Second, Stretch: 2}
	var steps []dispatch.Step
	for i, n := range tasksByStep {
		st := dispatch.Step{Tasks: n, RunTime: 10 * time.Millisecond, Spec: wire.TaskSpec{
			Method: "POST", Path: fmt.Sprintf("/%s.%d", id, i), Body: []byte(`{"run_ms":1}`),
		}}
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
	}
	b.Work = mustWork(steps...)
	return b
}

// runInBackground runs a batch at an entry and returns the channel of its outcome.
func runInBackground(e *Entry, b Batch) <-chan *verdict.Error {
	ended := make(chan *verdict.Error, 1)
	go func() { ended <- e.RunBatch(b, nil) }()
	return ended
}

func isDeleted(err *verdict.Error) bool { return err != nil && err.Reason == verdict.Deleted }

// Guards against a batch that goes on after the answer to its DELETE, which any entry may
// have received, wherever its tasks are.
func TestDeletedBatchStartsNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others int // tasks of another batch that hold slots
		steps  []int
		runs   int // tasks that run when the DELETE arrives
	}{
		{"between two steps", 0, []int{1, 2}, 1},
		{"queued at the entry", 8, []int{2}, 0},
		{"look-ahead at the agent", 0, []int{6}, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, testCluster(), 2, Options{})
			s.upstream.SetMode(upstreamsim.Hold)
			if tc.others > 0 {
				runInBackground(s.entries[0], batchOf("other", tc.others))
				eventually(t, "full slots", func() bool { return s.upstream.Running() == 4 })
			}
			ended := runInBackground(s.entries[0], batchOf("b1", tc.steps...))
			inc := s.entries[0].incarnation.Load()
			eventually(t, "the batch at the core", func() bool {
				return s.openCount(inc) == 1+min(tc.others, 1) && len(startsOf(s, "/b1.")) == tc.runs
			})
			known, err := s.entries[1].DeleteBatch(wire.BatchID{Queue: "q", ID: "b1"}, deleteLimit)
			if err != nil || !known {
				t.Errorf("known %v, error %v", known, err)
			}
			if err := <-ended; !isDeleted(err) {
				t.Errorf("outcome of the batch: %v", err)
			}
			s.upstream.SetMode(upstreamsim.Serve)
			s.upstream.Release()
			// A job that is done has passed whatever would still have been started.
			if r := call(t, s.entries[0], "POST", "/v1/jobs?wait=30s", jobJSON("later", 4)); r.status != 200 {
				t.Errorf("a job after the deleted batch: %v", r)
			}
			if starts := startsOf(s, "/b1."); len(starts) != tc.runs {
				t.Errorf("starts %v, %d before the DELETE", starts, tc.runs)
			}
		})
	}
}

// startsOf returns the starts at the upstream of the tasks with a prefix.
func startsOf(s *testSystem, prefix string) []string {
	var paths []string
	for _, r := range s.upstream.Runs() {
		if len(r.Path) >= len(prefix) && r.Path[:len(prefix)] == prefix {
			paths = append(paths, r.Path)
		}
	}
	return paths
}

// Guards against a batch that runs because its DELETE has overtaken it, at the entry that
// has received the DELETE or at any other one.
func TestBatchThatArrivesAfterItsDeleteIsRefused(t *testing.T) {
	s := newSystem(t, testCluster(), 3, Options{})
	id := wire.BatchID{Queue: "q", ID: "b1"}
	if known, err := s.entries[0].DeleteBatch(id, deleteLimit); err != nil || known {
		t.Errorf("a batch that nobody has sent: known %v, error %v", known, err)
	}
	for i, e := range s.entries {
		err := e.RunBatch(batchOf("b1", 1), nil)
		if !isDeleted(err) || err.Verdict != verdict.NotRun {
			t.Errorf("entry %d: %v", i, err)
		}
	}
	if known, err := s.entries[1].DeleteBatch(id, deleteLimit); err != nil || !known {
		t.Errorf("the repeated DELETE: known %v, error %v", known, err)
	}
	other := batchOf("b1", 1)
	other.Queue = "another"
	if err := s.entries[0].RunBatch(other, nil); isDeleted(err) {
		t.Errorf("the batch of another queue with the same id: %v", err)
	}
}

// Guards against a deletion that is forgotten with a restart: an entry that registers later
// runs the batch. The entry that has received the DELETE may be gone by then.
func TestNewEntryLearnsOfDeletedBatches(t *testing.T) {
	for _, receiver := range []int{0, 2} {
		s := newSystem(t, testCluster(), 4, Options{})
		if _, err := s.entries[receiver].DeleteBatch(wire.BatchID{Queue: "q", ID: "b1"}, deleteLimit); err != nil {
			t.Fatal(err)
		}
		gone := s.entries[receiver]
		gone.Close()
		s.control.expire(gone.incarnation.Load().self, 0)
		e := s.control.startEntry(t, ids.Node("e5"), Options{})
		eventually(t, "the deletion at the new entry", func() bool { return isDeleted(e.RunBatch(batchOf("b1", 1), nil)) })
	}
}

// Guards against an answer to a DELETE while an entry that was not told may run the batch:
// only the end of its registration ends the wait for it.
func TestDeleteWaitsForEveryLiveEntry(t *testing.T) {
	s := newSystem(t, testCluster(), 2, Options{})
	silent := s.entries[1]
	// Once this is answered, no entry waits for runs of a process before it any more.
	if _, err := s.entries[0].DeleteBatch(wire.BatchID{Queue: "q", ID: "earlier"}, deleteLimit); err != nil {
		t.Fatal(err)
	}
	silent.rpc.Close()
	id := wire.BatchID{Queue: "q", ID: "b1"}
	if _, err := s.entries[0].DeleteBatch(id, 300*time.Millisecond); err == nil || err.Verdict != verdict.MayHaveRun {
		t.Errorf("a DELETE of which an entry has not heard: %v", err)
	}
	// A lost entry doesn't learn that its registration has ended. One that does registers
	// again, and the DELETE rightly waits for the live entry behind the closed listener.
	s.control.freeze(silent.incarnation.Load().self)
	s.control.expire(silent.incarnation.Load().self, 0)
	if _, err := s.entries[0].DeleteBatch(id, deleteLimit); err != nil {
		t.Errorf("a DELETE after the entry was lost: %v", err)
	}
}

// Guards against an answer to a DELETE while tasks of the batch go on that an earlier
// registration of the entry has left to their leases.
func TestDeleteWaitsForRunsOfAnEarlierRegistration(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	s.upstream.SetMode(upstreamsim.Hold)
	e := s.entries[0]
	former := e.incarnation.Load()
	ended := runInBackground(e, batchOf("b1", 1))
	eventually(t, "a run", func() bool { return s.upstream.Running() == 1 })
	lostAt := time.Now()
	s.control.expire(former.self, 0)
	<-ended
	eventually(t, "a new registration", func() bool { return e.incarnation.Load() != former })
	if _, err := e.DeleteBatch(wire.BatchID{Queue: "q", ID: "b1"}, deleteLimit); err != nil {
		t.Errorf("DELETE after the new registration: %v", err)
	}
	if took := time.Since(lostAt); took < e.leases().Bound() {
		t.Errorf("answered %v after the loss, the leases end the run within %v", took, e.leases().Bound())
	}
	s.upstream.Release()
}

// Guards against the same while tasks go on that a process before this one has left: other
// entries take its successor at the same address for it until its registration ends.
func TestDeleteWaitsForRunsOfAnEarlierProcess(t *testing.T) {
	startedAt := time.Now()
	s := newSystem(t, testCluster(), 2, Options{})
	if _, err := s.entries[1].DeleteBatch(wire.BatchID{Queue: "q", ID: "b1"}, deleteLimit); err != nil {
		t.Error(err)
	}
	if took, bound := time.Since(startedAt), s.entries[0].leases().Bound(); took < bound {
		t.Errorf("answered %v after the start of the entry, the leases end earlier runs within %v", took, bound)
	}
}

// Guards against a table of deletions that grows for ever, or that forgets one early.
func TestDeletedBatchesAreKeptForTheirRetention(t *testing.T) {
	table := newDeletedBatches()
	begin := time.Now()
	one := []wire.BatchID{{Queue: "q", ID: "1"}}
	for _, step := range []struct {
		at    time.Duration
		known bool
	}{{0, false}, {deletedBatchRetention, true}, {deletedBatchRetention + 1, false}} {
		known, err := table.add(begin.Add(step.at), one, true)
		if known != step.known || err != nil {
			t.Errorf("after %v: known %v, error %v", step.at, known, err)
		}
	}
	full := make([]wire.BatchID, maxDeletedBatches)
	for i := range full {
		full[i] = wire.BatchID{Queue: "q", ID: fmt.Sprint("full-", i)}
	}
	if _, err := newDeletedBatches().add(begin, full, true); err != nil {
		t.Errorf("up to the limit: %v", err)
	}
	if _, err := table.add(begin.Add(deletedBatchRetention+1), full, true); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("beyond the limit: %v", err)
	}
}
