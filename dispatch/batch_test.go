package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newBatchFixture returns a core with n workers of ten places each.
func newBatchFixture(n int) *fixture {
	f := newFixture(n)
	rows := members(n, 0)
	for i := range rows {
		rows[i].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
	}
	f.Core = New(Config{Self: me, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.SetUpstreams(f.now, rows)
	for i := range n {
		f.Connected(f.now, ids.Incarnation(i+1))
		f.workerReport(ids.Incarnation(i+1), 10)
	}
	return f
}

// workerReport is a report of an agent that holds what the entry thinks it holds.
func (f *fixture) workerReport(up ids.Incarnation, credit int, answers ...wire.Answer) {
	outstanding := max(f.upstreams[up].outstanding-len(answers), 0)
	f.Report(f.now, wire.Report{
		Upstream: up, Credit: credit, Held: outstanding, Running: outstanding, Answers: answers, ClockMS: f.now.Milliseconds(),
	})
}

func (f *fixture) batch(seq uint64, steps ...Step) *verdict.Error {
	for i := range steps {
		steps[i].Spec.Size = wire.Resources{CPU: 1600, Memory: 64}
		steps[i].RunTime = 100 * time.Millisecond
	}
	return f.Batch(f.now, Batch{
		Key: ids.RequestOf(me, seq), Service: svc, Team: "batches", Steps: steps, Attempts: 2,
		Name:    func(step, i int) string { return fmt.Sprintf("%d.%d", step, i) },
		Arrived: f.now, Objective: Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6}, Deadline: f.now + 1500*time.Millisecond,
	})
}

// Guards against a task of unknown outcome that is started again: two runs of it
// could overlap, and what it did would be done twice.
func TestUnknownOutcomeIsNotRestarted(t *testing.T) {
	for name, tc := range map[string]struct {
		answer  wire.Answer
		restart bool
	}{
		"unknown": {wire.Answer{Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}, false},
		"stopped": {wire.Answer{Verdict: verdict.Ran, Reason: verdict.Canceled}, true},
		"failed":  {wire.Answer{Verdict: verdict.Ran, Reason: verdict.UpstreamFailed, Status: 500}, true},
		"refused": {wire.Answer{Verdict: verdict.NotRun, Reason: verdict.Superseded}, true},
	} {
		f := newBatchFixture(2)
		if err := f.batch(1, Step{Tasks: 1}); err != nil {
			t.Fatal(err)
		}
		up, st := f.only(t)
		a := tc.answer
		a.Key, a.Try = st.Key, st.Try
		f.workerReport(up, 10, a)
		starts := f.tick()
		again := len(starts[1]) + len(starts[2])
		if (again == 1) != tc.restart {
			t.Errorf("%s: started again %d times", name, again)
		}
		for _, list := range starts {
			if len(list) == 1 && list[0].Try <= st.Try {
				t.Errorf("%s: try %d after try %d", name, list[0].Try, st.Try)
			}
		}
		if !tc.restart && (len(f.out.Finished) != 1 || f.out.Finished[0].Err.Verdict != verdict.MayHaveRun) {
			t.Errorf("%s: finished %+v", name, f.out.Finished)
		}
	}
}

// Guards against a task that is started again after it has failed as often as its batch
// allows, and against one that is given up earlier.
func TestTaskIsStartedWithinItsAttempts(t *testing.T) {
	f := newBatchFixture(3)
	if err := f.batch(1, Step{Tasks: 1}); err != nil { // allows two attempts
		t.Fatal(err)
	}
	for attempt := 1; attempt <= 2; attempt++ {
		up, st := f.only(t)
		f.workerReport(up, 10, wire.Answer{Key: st.Key, Try: st.Try, Verdict: verdict.Ran, Reason: verdict.UpstreamFailed, Status: 500})
	}
	for range 10 {
		for up, list := range f.tick() {
			if len(list) > 0 {
				t.Fatalf("a third attempt at worker %d", up)
			}
		}
		if len(f.out.Finished) == 1 {
			if err := f.out.Finished[0].Err; err == nil || err.Verdict != verdict.Ran || err.Reason != verdict.TaskFailed {
				t.Errorf("the batch ended with %v", err)
			}
			return
		}
		f.now += 50 * time.Millisecond
	}
	t.Error("the batch does not end")
}

// Guards against the lease of a task for which nobody waits any more that is
// renewed for ever, if the message that ends it was lost.
func TestLeaseOfAbandonedTasksRunsOut(t *testing.T) {
	f := newBatchFixture(1)
	if err := f.batch(1, Step{Tasks: 1}); err != nil {
		t.Fatal(err)
	}
	f.only(t)
	renewals := func() int {
		n := 0
		for range 10 {
			f.now += 50 * time.Millisecond
			f.workerReport(1, 10)
			f.tick()
			n += len(f.out.Send)
		}
		return n
	}
	if n := renewals(); n < 2 {
		t.Fatalf("%d renewals in 500 ms of a task that is waited for", n)
	}
	f.CancelRequest(f.now, ids.RequestOf(me, 1))
	f.tick() // carries the abort
	if n := renewals(); n != 0 {
		t.Errorf("%d renewals in 500 ms after the batch was given up", n)
	}
}

// Guards against tasks of a step that start before those that it depends on have
// ended, and against steps that never start.
func TestStepsWaitForEachOther(t *testing.T) {
	f := newBatchFixture(2)
	if err := f.batch(1, Step{Tasks: 2}, Step{Tasks: 1}, Step{Tasks: 1, After: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	names := func() (list []string, all map[ids.Incarnation][]wire.Start) {
		all = f.tick()
		for _, starts := range all {
			for _, s := range starts {
				list = append(list, s.Name)
			}
		}
		return list, all
	}
	first, starts := names()
	if len(first) != 3 {
		t.Fatalf("started %v, want the three tasks of the first two steps", first)
	}
	left := 3
	for up, list := range starts {
		for _, s := range list {
			f.workerReport(up, 10, wire.Answer{Key: s.Key, Try: s.Try, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 100_000})
			left--
			got, _ := names()
			if want := 0; left > 0 && len(got) != want || left == 0 && (len(got) != 1 || got[0] != "2.0") {
				t.Fatalf("with %d tasks left, started %v", left, got)
			}
		}
	}
}

// Guards against a batch that is taken in although the work before it makes it
// late, so that its caller is told only after the time has passed.
func TestFullQueueRefusesOnArrival(t *testing.T) {
	f := newBatchFixture(1)
	taken := 0
	for seq := uint64(1); ; seq += 8 {
		if err := f.batch(seq, Step{Tasks: 8}); err != nil {
			if err.Verdict != verdict.NotRun || err.Reason != verdict.Overloaded || err.RetryAfter <= 0 {
				t.Errorf("refused with %+v", err)
			}
			break
		}
		if taken += 8; taken > 1000 {
			t.Fatal("nothing is refused")
		}
	}
	// Ten places run 100 ms each, and an answer is due after 220 ms.
	if taken < 8 || taken > 30 {
		t.Errorf("%d tasks were taken in for ten places", taken)
	}
}

// Guards against batches that are refused for want of a worker while the workers of
// an entry that has just started are about to connect, as after a loss of all VMs,
// and against batches that are then held for longer than half of their time.
func TestBatchesWaitForFirstWorkers(t *testing.T) {
	f := newFixture(1)
	rows := members(1, 0)
	rows[0].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
	f.Core = New(Config{Self: me, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.BeginStartup(f.now)
	if err := f.batch(1, Step{Tasks: 1}); err != nil {
		t.Fatalf("refused before workers had time to connect: %v", err)
	}
	f.now += 300 * time.Millisecond
	f.tick()
	f.SetUpstreams(f.now, rows)
	f.Connected(f.now, 1)
	f.workerReport(1, 10)
	if n := len(f.tick()[1]); n != 1 {
		t.Errorf("%d tasks were placed at the first worker, want 1", n)
	}

	f.Core = New(Config{Self: me, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.BeginStartup(f.now)
	if err := f.batch(2, Step{Tasks: 1}); err != nil {
		t.Fatal(err)
	}
	f.now += startupWait
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].Err.Verdict != verdict.NotRun {
		t.Errorf("finished %+v once the time of the workers has passed, want a refusal", f.out.Finished)
	}
	if err := f.batch(3, Step{Tasks: 1}); err == nil || err.Reason != verdict.NoUpstream {
		t.Errorf("without a worker: %v", err)
	}
}
