package executor

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

var testCapacity = wire.Resources{CPU: 16000, Memory: 1000}

// newSized returns the agent of a worker whose view lists two entries.
func newSized() *Core {
	c := New(Config{Self: self, LookAhead: 1, AnswerBytes: 1000, Capacity: testCapacity})
	c.SetEntries(0, 10, []wire.Member{entryRow(e1, 0), entryRow(e2, 0)})
	return c
}

func sizedStart(from ids.Incarnation, index uint64, cpu int) wire.Start {
	return wire.Start{
		Key: ids.RequestOf(from, index), Try: 1, BudgetMS: 10_000, Name: "t", Batch: index,
		Size: wire.Resources{CPU: cpu, Memory: 10}, DeclaredMS: 100,
	}
}

// sendUntil passes a message that is valid until a time, and runs a tick.
func sendUntil(c *Core, now, valid time.Duration, from ids.Incarnation, starts ...wire.Start) Output {
	c.Receive(now, wire.Exchange{Entry: from, Starts: starts, ValidUntilMS: valid.Milliseconds()})
	return c.Tick(now)
}

// Guards against a worker over its capacity while tasks of all sizes start, end
// and are stopped, and against room that is never used again.
func TestCapacityIsKept(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newSized()
		running := map[ids.TaskKey]wire.Resources{}
		used := wire.Resources{}
		begin := func(out Output) {
			for _, s := range out.Run {
				running[s.Key] = s.Size
				used = used.Add(s.Size)
			}
			if !testCapacity.Holds(used) {
				t.Fatalf("seed %d: %+v of %+v in use", seed, used, testCapacity)
			}
		}
		for n := range uint64(500) {
			now := time.Duration(n) * 10 * time.Millisecond
			begin(sendUntil(c, now, now+time.Second, e1, sizedStart(e1, n, 100+rng.IntN(16000))))
			for key, size := range running {
				if rng.IntN(3) > 0 {
					continue
				}
				delete(running, key)
				used = used.Sub(size)
				c.Finished(now, wire.Answer{Key: key, Verdict: verdict.Ran, Reason: verdict.Canceled})
			}
			begin(c.Tick(now))
		}
		for key := range running {
			c.Finished(6*time.Second, wire.Answer{Key: key, Verdict: verdict.Ran, Reason: verdict.Canceled})
		}
		if c.used != (wire.Resources{}) || c.running != 0 {
			t.Fatalf("seed %d: %+v in use by %d tasks after all have ended", seed, c.used, c.running)
		}
	}
}

// Guards against tasks that go on after their entry has fallen silent or lost its
// connection: its caller repeats the batch elsewhere 1.3 s later.
func TestTasksEndWithTheLeaseOfTheirEntry(t *testing.T) {
	for _, tc := range []struct {
		name    string
		lose    func(c *Core)
		abortBy time.Duration
	}{
		{"silent", func(*Core) {}, 500 * time.Millisecond},
		{"disconnected", func(c *Core) { c.Disconnected(0, e1) }, reconnectGrace},
	} {
		c := newSized()
		if out := sendUntil(c, 0, 500*time.Millisecond, e1, sizedStart(e1, 1, 1000)); len(out.Run) != 1 {
			t.Fatalf("%s: %d tasks run", tc.name, len(out.Run))
		}
		sendUntil(c, 0, 10*time.Second, e2, sizedStart(e2, 2, 1000))
		tc.lose(c)
		if out := c.Tick(tc.abortBy - time.Millisecond); len(out.Abort) != 0 {
			t.Errorf("%s: aborted %v too early", tc.name, out.Abort)
		}
		out := c.Tick(tc.abortBy)
		if len(out.Abort) != 1 || out.Abort[0] != ids.RequestOf(e1, 1) {
			t.Errorf("%s: aborted %v, want the task of the lost entry", tc.name, out.Abort)
		}
	}
}

// Guards against a start that a partition held up and that begins a task long
// after its entry has given it up.
func TestLateMessageStartsNothing(t *testing.T) {
	c := newSized()
	out := sendUntil(c, 2*time.Second, 1900*time.Millisecond, e1, sizedStart(e1, 1, 1000))
	if len(out.Run) != 0 || refusals(out, e1)[ids.RequestOf(e1, 1)] != verdict.DeadlinePassed {
		t.Errorf("run %v, refused %v", out.Run, refusals(out, e1))
	}
}

// Guards against a worker that fails everything and goes on getting tasks, against
// one batch of bad tasks that makes a sound worker unfit, and against a worker that
// is never tried again.
func TestUnfitWorkerIsProbed(t *testing.T) {
	c := newSized()
	now := time.Duration(0)
	run := func(index, batch uint64, a wire.Answer) bool {
		now += 50 * time.Millisecond
		s := sizedStart(e1, index, 1000)
		s.Batch = batch
		if out := sendUntil(c, now, now+time.Second, e1, s); len(out.Run) == 0 {
			return false
		}
		a.Key, a.RunUS = s.Key, 50_000
		c.Finished(now, a)
		return true
	}
	failed := wire.Answer{Verdict: verdict.Ran, Reason: verdict.UpstreamFailed, Status: 500}
	done := wire.Answer{Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200}
	for i := range uint64(8) {
		run(i, 0, failed)
	}
	if c.Unfit() != "" {
		t.Fatal("one bad batch made the worker unfit")
	}
	run(11, 11, failed)
	run(12, 12, failed)
	if c.Unfit() == "" {
		t.Fatal("three batches failed and the worker is fit")
	}
	started := 0
	for i := range uint64(40) { // 2 s
		if run(20+i, 20+i, failed) {
			started++
		}
	}
	if started < 1 || started > 3 {
		t.Errorf("an unfit worker got %d tasks in 2 s", started)
	}
	now += 2 * time.Second
	run(90, 90, done)
	if c.Unfit() != "" {
		t.Errorf("the worker is unfit after a success: %s", c.Unfit())
	}
}

// Guards against urgent tasks that wait behind others, and against a queue that
// grows with them: a task in excess is given back, the least urgent one first.
func TestQueueIsInOrderOfUrgency(t *testing.T) {
	c := newSized()
	urgent := func(from ids.Incarnation, index uint64, priority int, due time.Duration) wire.Start {
		st := sizedStart(from, index, 16000)
		st.Priority, st.DueMS = priority, due.Milliseconds()
		return st
	}
	sendUntil(c, 0, time.Second, e1, urgent(e1, 1, 2, time.Second))
	sendUntil(c, 0, time.Second, e1, urgent(e1, 2, 2, 100*time.Millisecond))
	sendUntil(c, 0, time.Second, e2, urgent(e2, 3, 0, 500*time.Millisecond))
	out := sendUntil(c, 0, time.Second, e2, urgent(e2, 4, 0, 400*time.Millisecond))
	if got := refusals(out, e1); got[ids.RequestOf(e1, 2)] != verdict.NoCredit {
		t.Errorf("refused %v, want the task of the lowest priority", got)
	}
	out = sendUntil(c, 0, time.Second, e1, urgent(e1, 5, 2, 50*time.Millisecond))
	if got := refusals(out, e1); got[ids.RequestOf(e1, 5)] != verdict.NoCredit {
		t.Errorf("refused %v, want the task that is less urgent than the queue", got)
	}
	c.Finished(0, wire.Answer{Key: ids.RequestOf(e1, 1), Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200})
	if run := c.Tick(0).Run; len(run) != 1 || run[0].Key != ids.RequestOf(e2, 4) {
		t.Errorf("started %v, want the task that is due first", run)
	}
}

// Guards against a worker that hangs and keeps the trust of its agent because entries
// take the overdue tasks back before most of what runs there is overdue.
func TestTasksTakenBackTellOfAStall(t *testing.T) {
	c := newSized()
	var long []wire.Start
	for i := range uint64(4) {
		st := sizedStart(e1, 100+i, 1000)
		st.DeclaredMS = 5000
		long = append(long, st)
	}
	sendUntil(c, 0, time.Second, e1, long...)
	now := time.Duration(0)
	for i := range uint64(6) {
		sendUntil(c, now, now+time.Second, e1, sizedStart(e1, i, 1000))
		now += 300 * time.Millisecond // twice the declared 100 ms and the slack of 50 ms
		c.Receive(now, wire.Exchange{Entry: e1, Aborts: []ids.TaskKey{ids.RequestOf(e1, i)}, ValidUntilMS: (now + time.Second).Milliseconds()})
		c.Finished(now, wire.Answer{Key: ids.RequestOf(e1, i), Verdict: verdict.Ran, Reason: verdict.Canceled, RunUS: 300_000})
		c.Tick(now)
	}
	if c.Unfit() == "" {
		t.Error("six overdue tasks were taken back, and the worker is still trusted")
	}
}

// Guards against a task that is given back twice when the queue is cut to its bound
// after an entry has taken it back.
func TestTrimmedQueueCountsOnce(t *testing.T) {
	c := newSized()
	sendUntil(c, 0, time.Second, e1, sizedStart(e1, 1, 16000))
	queued := []wire.Start{sizedStart(e1, 2, 16000), sizedStart(e1, 3, 16000)}
	for i := range queued {
		queued[i].Priority = 1
	}
	sendUntil(c, 0, time.Second, e1, queued...)
	c.Receive(0, wire.Exchange{Entry: e1, Aborts: []ids.TaskKey{queued[1].Key}, ValidUntilMS: 1000})
	out := sendUntil(c, 0, time.Second, e2, sizedStart(e2, 4, 16000), sizedStart(e2, 5, 16000))
	if n := len(answers(out, e1)); n != 2 {
		t.Errorf("%d answers for two tasks that were taken or given back", n)
	}
	if c.queued != 2 {
		t.Errorf("%d tasks are counted as queued, want 2", c.queued)
	}
}

// Guards against refusals that the metrics of an agent don't show.
func TestFiguresCountRefusals(t *testing.T) {
	c := newSized()
	sendUntil(c, 0, time.Second, e1, sizedStart(e1, 1, 16000), sizedStart(e1, 2, 20000))
	f := c.Figures()
	if f.Running != 1 || f.Used.CPU != 16000 || f.Refused[verdict.Infeasible] != 1 {
		t.Errorf("%+v, want one running task of 16 cores and one that is too large", f)
	}
}

// Guards against a task that needs more room than the tasks around it and that is passed
// by them on a busy worker until its deadline.
func TestLargeTaskIsNotPassedForEver(t *testing.T) {
	c := newSized()
	var small []wire.Start
	for i := range uint64(10) {
		small = append(small, sizedStart(e1, i, 1600))
	}
	running := sendUntil(c, 0, time.Second, e1, small...).Run
	if len(running) != 10 {
		t.Fatalf("%d of 10 tasks run", len(running))
	}
	large := sizedStart(e2, 1000, 2300)
	sendUntil(c, 0, time.Second, e2, large)
	for n := uint64(0); n < 20; n++ {
		now := time.Duration(n) * 10 * time.Millisecond
		c.Finished(now, wire.Answer{Key: running[0].Key, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 100_000})
		running = append(running[1:], sendUntil(c, now, now+time.Second, e1, sizedStart(e1, 100+n, 1600)).Run...)
		for _, s := range running {
			if s.Key == large.Key {
				return
			}
		}
	}
	t.Error("the large task has not started after 20 smaller ones")
}

// Guards against a task that was stopped or has failed and then never starts again at
// the same worker, since its row is taken for that of a copy; and against one that is
// done and runs again.
func TestEndedTaskStartsAgain(t *testing.T) {
	for _, tc := range []struct {
		reason verdict.Reason
		status int
		again  int
	}{
		{verdict.Canceled, 0, 1},
		{verdict.UpstreamFailed, 500, 1},
		{verdict.Complete, 200, 0},
	} {
		c := newSized()
		st := sizedStart(e1, 1, 1000)
		sendUntil(c, 0, time.Second, e1, st)
		c.Finished(0, wire.Answer{Key: st.Key, Verdict: verdict.Ran, Reason: tc.reason, Status: tc.status, RunUS: 1000})
		c.Tick(0)
		if run := sendUntil(c, 0, time.Second, e1, st).Run; len(run) != 0 {
			t.Errorf("%s: a copy of the first try started", tc.reason)
		}
		st.Try = 2
		if run := sendUntil(c, 0, time.Second, e1, st).Run; len(run) != tc.again {
			t.Errorf("%s: the second try started %d times, want %d", tc.reason, len(run), tc.again)
		}
	}
}
