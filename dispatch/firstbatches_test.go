package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newShortBatchFixture returns a core with two workers that run ten tasks each at once.
// The core has seen one batch of two tasks, which ran 24 ms instead of the declared 20 ms.
func newShortBatchFixture(t *testing.T) *fixture {
	t.Helper()
	f := newBatchFixture(2)
	if err := f.submitEqualTasks(1, 2, 20*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	starts := f.tick()
	f.now += 24 * time.Millisecond
	for up, list := range starts {
		var answers []wire.Answer
		for _, st := range list {
			answers = append(answers, wire.Answer{
				Key: st.Key, Try: st.Try, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 24_000,
			})
		}
		f.reportFromWorker(up, 10, answers...)
	}
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].Err != nil {
		t.Fatalf("the first batch ended with %+v", f.out.Finished)
	}
	f.now += time.Second
	f.reportFromWorker(1, 10)
	f.reportFromWorker(2, 10)
	f.tick()
	return f
}

// submitEqualTasks submits a batch of one step with the given declared run time.
func (f *fixture) submitEqualTasks(seq uint64, tasks int, runTime time.Duration) *verdict.Error {
	return f.Batch(f.now, Batch{
		Key: ids.RequestOf(self, seq), Service: svc, Team: "batches", Attempts: 2,
		Work:    mustWork(Step{Tasks: tasks, RunTime: runTime, Spec: wire.TaskSpec{Size: wire.Resources{CPU: 1600, Memory: 64}}}),
		Name:    func(_, i int) string { return fmt.Sprint(i) },
		Arrived: f.now, Objective: Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6},
		Deadline: f.now + 1480*time.Millisecond,
	})
}

// Guards against a batch that doesn't start although half of the workers' capacity is
// free: its tasks run 1.2 s, and its caller waits for 1.48 s.
func TestBatchesFillTheWorkers(t *testing.T) {
	f := newShortBatchFixture(t)
	for seq := uint64(10); seq <= 20; seq += 10 {
		if err := f.submitEqualTasks(seq, 10, 1200*time.Millisecond); err != nil {
			t.Fatalf("batch %d was refused: %v", seq, err)
		}
		started := 0
		for _, list := range f.tick() {
			started += len(list)
		}
		if started != 10 {
			t.Errorf("batch %d: %d of 10 tasks started", seq, started)
		}
	}
}

// Guards against a batch that is admitted although its own tasks make it late: 60 tasks
// of 200 ms on workers that run 20 tasks at once take 600 ms, and the answer is due after
// 380 ms.
func TestWideBatchIsRefusedOnArrival(t *testing.T) {
	f := newShortBatchFixture(t)
	if err := f.submitEqualTasks(10, 60, 200*time.Millisecond); err == nil || err.Reason != verdict.Overloaded {
		t.Errorf("got %v, want a refusal", err)
	}
}
