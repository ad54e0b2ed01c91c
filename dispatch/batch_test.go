package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newBatchFixture returns a core with n workers that run ten tasks each at once.
func newBatchFixture(n int) *fixture {
	f := newFixture(n)
	rows := upstreamMembers(n, 0)
	for i := range rows {
		rows[i].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
	}
	f.Core = New(Config{Self: self, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.SetUpstreams(f.now, rows)
	for i := range n {
		f.Connected(f.now, ids.Incarnation(i+1))
		f.reportFromWorker(ids.Incarnation(i+1), 10)
	}
	return f
}

// reportFromWorker delivers a report of an agent that agrees with the entry about the
// tasks it holds, apart from those that the report answers.
func (f *fixture) reportFromWorker(up ids.Incarnation, credit int, answers ...wire.Answer) {
	outstanding := max(f.upstreams[up].outstanding-len(answers), 0)
	f.Report(f.now, wire.Report{
		Upstream: up, Credit: credit, Held: outstanding, Running: outstanding, Answers: answers, ClockMS: f.now.Milliseconds(),
	})
}

// mustWork returns the work of steps that are sound.
func mustWork(steps ...Step) Work {
	w, err := NewWork(steps)
	if err != nil {
		panic(err)
	}
	return w
}

func (f *fixture) batch(seq uint64, steps ...Step) *verdict.Error {
	for i := range steps {
		steps[i].Spec.Size = wire.Resources{CPU: 1600, Memory: 64}
		steps[i].RunTime = 100 * time.Millisecond
	}
	return f.Batch(f.now, Batch{
		Key: ids.RequestOf(self, seq), Service: svc, Team: "batches", Work: mustWork(steps...), Attempts: 2,
		Name:    func(step, i int) string { return fmt.Sprintf("%d.%d", step, i) },
		Arrived: f.now, Objective: Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6}, Deadline: f.now + 1500*time.Millisecond,
	})
}

// Guards against a restart of a task whose outcome is unknown: two runs could overlap and
// repeat the effects of the task.
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
		up, st := f.tickOneStart(t)
		a := tc.answer
		a.Key, a.Try = st.Key, st.Try
		f.reportFromWorker(up, 10, a)
		starts := f.tick()
		restarts := len(starts[1]) + len(starts[2])
		if (restarts == 1) != tc.restart {
			t.Errorf("%s: restarted %d times", name, restarts)
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

// Guards against a task that is started after it has failed as often as its batch allows,
// and against one that is abandoned after fewer failures.
func TestTaskIsStartedWithinItsAttempts(t *testing.T) {
	f := newBatchFixture(3)
	if err := f.batch(1, Step{Tasks: 1}); err != nil { // with two attempts
		t.Fatal(err)
	}
	for attempt := 1; attempt <= 2; attempt++ {
		up, st := f.tickOneStart(t)
		f.reportFromWorker(up, 10, wire.Answer{Key: st.Key, Try: st.Try, Verdict: verdict.Ran, Reason: verdict.UpstreamFailed, Status: 500})
	}
	for range 10 {
		for up, list := range f.tick() {
			if len(list) > 0 {
				t.Fatalf("a third attempt was started on worker %d", up)
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
	t.Error("the batch has not ended after 500 ms")
}

// Guards against endless renewals of the lease of an abandoned task after its abort
// message was lost.
func TestLeaseOfAbandonedTaskExpires(t *testing.T) {
	f := newBatchFixture(1)
	if err := f.batch(1, Step{Tasks: 1}); err != nil {
		t.Fatal(err)
	}
	f.tickOneStart(t)
	countRenewals := func() int {
		n := 0
		for range 10 {
			f.now += 50 * time.Millisecond
			f.reportFromWorker(1, 10)
			f.tick()
			n += len(f.out.Send)
		}
		return n
	}
	if n := countRenewals(); n < 2 {
		t.Fatalf("%d renewals in 500 ms for a task whose caller waits, want at least 2", n)
	}
	f.CancelRequest(f.now, ids.RequestOf(self, 1))
	f.tick() // sends the abort
	if n := countRenewals(); n != 0 {
		t.Errorf("%d renewals in 500 ms after the batch was canceled", n)
	}
}

// Guards against a step that starts before the steps that it depends on have ended, and
// against one that never starts.
func TestStepsWaitForDependencies(t *testing.T) {
	f := newBatchFixture(2)
	if err := f.batch(1, Step{Tasks: 2}, Step{Tasks: 1}, Step{Tasks: 1, After: []int{0, 1}}); err != nil {
		t.Fatal(err)
	}
	tickNames := func() (list []string, all map[ids.Incarnation][]wire.Start) {
		all = f.tick()
		for _, starts := range all {
			for _, s := range starts {
				list = append(list, s.Name)
			}
		}
		return list, all
	}
	first, starts := tickNames()
	if len(first) != 3 {
		t.Fatalf("started %v, want the three tasks of the first two steps", first)
	}
	tasksLeft := 3
	for up, list := range starts {
		for _, s := range list {
			f.reportFromWorker(up, 10, wire.Answer{Key: s.Key, Try: s.Try, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 100_000})
			tasksLeft--
			got, _ := tickNames()
			if want := 0; tasksLeft > 0 && len(got) != want || tasksLeft == 0 && (len(got) != 1 || got[0] != "2.0") {
				t.Fatalf("with %d tasks of the first two steps left, started %v", tasksLeft, got)
			}
		}
	}
}

// Guards against a batch that is admitted although the work queued before it makes it
// late, so that its caller learns of the failure only after the objective.
func TestFullQueueRefusesOnArrival(t *testing.T) {
	f := newBatchFixture(1)
	admittedTasks := 0
	for seq := uint64(1); ; seq += 8 {
		if err := f.batch(seq, Step{Tasks: 8}); err != nil {
			if err.Verdict != verdict.NotRun || err.Reason != verdict.Overloaded || err.RetryAfter <= 0 {
				t.Errorf("refused with %+v", err)
			}
			break
		}
		if admittedTasks += 8; admittedTasks > 1000 {
			t.Fatal("no batch was refused")
		}
	}
	// The worker runs ten tasks of 100 ms at once, and an answer is due after 220 ms.
	if admittedTasks < 8 || admittedTasks > 30 {
		t.Errorf("%d tasks were admitted for a worker that runs ten at once, want 8 to 30", admittedTasks)
	}
}

// Guards against batches that are refused for lack of a worker right after the start of an
// entry, when its workers are about to connect, as after a loss of all VMs. It also guards
// against batches that then wait for a worker longer than startupWait, which is less than
// half of their deadline.
func TestBatchesWaitForFirstWorkers(t *testing.T) {
	f := newFixture(1)
	rows := upstreamMembers(1, 0)
	rows[0].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
	f.Core = New(Config{Self: self, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.BeginStartup(f.now)
	if err := f.batch(1, Step{Tasks: 1}); err != nil {
		t.Fatalf("refused within startupWait: %v", err)
	}
	f.now += 300 * time.Millisecond
	f.tick()
	f.SetUpstreams(f.now, rows)
	f.Connected(f.now, 1)
	f.reportFromWorker(1, 10)
	if n := len(f.tick()[1]); n != 1 {
		t.Errorf("%d tasks were placed on the first worker, want 1", n)
	}

	f.Core = New(Config{Self: self, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.BeginStartup(f.now)
	if err := f.batch(2, Step{Tasks: 1}); err != nil {
		t.Fatal(err)
	}
	f.now += startupWait
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].Err.Verdict != verdict.NotRun {
		t.Errorf("finished %+v after startupWait, want a refusal", f.out.Finished)
	}
	if err := f.batch(3, Step{Tasks: 1}); err == nil || err.Reason != verdict.NoUpstream {
		t.Errorf("a batch without a worker was answered with %v", err)
	}
}

// Guards against a refusal after a loss of all VMs while the answer may still be in time for
// the caller, and against one that comes later than that is known. The load is a batch that
// arrives before the first worker has connected.
func TestBatchWaitsForFirstWorkersWhileItCanMeetItsDeadline(t *testing.T) {
	const deadline, run = 450 * time.Millisecond, 60 * time.Millisecond
	for _, tc := range []struct {
		connectsAt time.Duration
		started    int
	}{{300 * time.Millisecond, 1}, {440 * time.Millisecond, 0}} {
		f := newFixture(1)
		rows := upstreamMembers(1, 0)
		rows[0].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
		f.Core = New(Config{Self: self, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
		f.BeginStartup(f.now)
		arrived := f.now
		err := f.Batch(f.now, Batch{
			Key: ids.RequestOf(self, 1), Service: svc, Team: "batches", Attempts: 2,
			Work:    mustWork(Step{Tasks: 1, RunTime: run, Spec: wire.TaskSpec{Size: wire.Resources{CPU: 1600, Memory: 64}}}),
			Name:    func(_, i int) string { return fmt.Sprint(i) },
			Arrived: arrived, Objective: Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6}, Deadline: arrived + deadline,
		})
		if err != nil {
			t.Fatal(err)
		}
		for f.now < arrived+tc.connectsAt {
			f.now += 10 * time.Millisecond
			f.tick()
			if ended := len(f.out.Finished) > 0; ended {
				if known := deadline - run; tc.started > 0 || f.now-arrived < known || f.now-arrived > known+50*time.Millisecond {
					t.Errorf("ended after %v: %v", f.now-arrived, f.out.Finished[0].Err)
				}
				break
			}
		}
		f.SetUpstreams(f.now, rows)
		f.Connected(f.now, 1)
		f.reportFromWorker(1, 10)
		if n := len(f.tick()[1]); n != tc.started {
			t.Errorf("worker connected after %v: %d tasks started, want %d", tc.connectsAt, n, tc.started)
		}
	}
}

// Guards against an entry that crashes, or leaves work waiting beside free slots, when a
// service has both batches and other jobs in its queue.
func TestBatchesAndJobsShareAService(t *testing.T) {
	for _, batchFirst := range []bool{true, false} {
		f := newLabelFixture()
		cfg := f.cfg
		cfg.Teams = map[ids.Team]Team{"a": {Quota: 1, MaxQueued: 2000}}
		f.SetConfig(cfg)
		addBatch := func() {
			if err := f.batch(1, Step{Tasks: 60, Placement: Placement{Label: "b"}}); err != nil {
				t.Fatal(err)
			}
		}
		if batchFirst {
			addBatch()
		}
		f.submitJob(1, "a", 2, time.Minute)
		if !batchFirst {
			addBatch()
		}
		started := map[bool]int{} // by whether they belong to the batch
		for _, starts := range f.tick() {
			for _, st := range starts {
				started[st.Key.IsRequest()]++
			}
		}
		if started[true] == 0 || started[false] != 2 {
			t.Errorf("batch first: %v: %d tasks of the batch and %d of the job started", batchFirst, started[true], started[false])
		}
	}
}
