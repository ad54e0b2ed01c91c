package executor

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

var testCapacity = wire.Resources{CPU: 16000, Memory: 1000}

// newSizedCore returns the core of a worker's agent with two live entries.
func newSizedCore() *Core {
	c := New(Config{Self: selfInc, LookAhead: 1, AnswerBytes: 1000, Capacity: testCapacity})
	c.SetEntries(0, 10, []wire.Member{entryMember(entry1, 0), entryMember(entry2, 0)})
	return c
}

func sizedStart(from ids.Incarnation, index uint64, cpu int) wire.Start {
	return wire.Start{
		Key: ids.RequestOf(from, index), Try: 1, BudgetMS: 10_000, Name: "t", Batch: index,
		Size: wire.Resources{CPU: cpu, Memory: 10}, DeclaredMS: 100,
	}
}

// sendUntil delivers a message that is valid until the given time, and runs a tick.
func sendUntil(c *Core, now, valid time.Duration, from ids.Incarnation, starts ...wire.Start) Output {
	c.Receive(now, wire.Exchange{Entry: from, Starts: starts, ValidUntilMS: valid.Milliseconds()})
	return c.Tick(now)
}

// TestCapacityIsNotExceeded guards against exceeding a worker's capacity while tasks of
// all sizes start and end, and against leaked capacity.
func TestCapacityIsNotExceeded(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newSizedCore()
		running := map[ids.TaskKey]wire.Resources{}
		runningSize := wire.Resources{}
		begin := func(out Output) {
			for _, s := range out.Run {
				running[s.Key] = s.Size
				runningSize = runningSize.Add(s.Size)
			}
			if !testCapacity.Contains(runningSize) {
				t.Fatalf("seed %d: %+v of %+v in use", seed, runningSize, testCapacity)
			}
		}
		for n := range uint64(500) {
			now := time.Duration(n) * 10 * time.Millisecond
			begin(sendUntil(c, now, now+time.Second, entry1, sizedStart(entry1, n, 100+rng.IntN(16000))))
			for key, size := range running {
				if rng.IntN(3) > 0 {
					continue
				}
				delete(running, key)
				runningSize = runningSize.Sub(size)
				c.Finished(now, wire.Answer{Key: key, Verdict: verdict.Ran, Reason: verdict.Canceled})
			}
			begin(c.Tick(now))
		}
		for key := range running {
			c.Finished(6*time.Second, wire.Answer{Key: key, Verdict: verdict.Ran, Reason: verdict.Canceled})
		}
		if c.runningSize != (wire.Resources{}) || c.running != 0 {
			t.Fatalf("seed %d: %+v in use by %d tasks after all tasks have ended", seed, c.runningSize, c.running)
		}
	}
}

// TestTasksAreAbortedWhenEntryLeaseExpires guards against tasks that continue after
// their entry has stopped sending or lost its connection: the entry's caller repeats
// the batch elsewhere 1.3 s later.
func TestTasksAreAbortedWhenEntryLeaseExpires(t *testing.T) {
	for _, tc := range []struct {
		name      string
		loseEntry func(c *Core)
		abortBy   time.Duration
	}{
		{"silent", func(*Core) {}, 500 * time.Millisecond},
		{"disconnected", func(c *Core) { c.Disconnected(0, entry1) }, 200 * time.Millisecond},
	} {
		c := newSizedCore()
		if out := sendUntil(c, 0, 500*time.Millisecond, entry1, sizedStart(entry1, 1, 1000)); len(out.Run) != 1 {
			t.Fatalf("%s: %d tasks run", tc.name, len(out.Run))
		}
		sendUntil(c, 0, 500*time.Millisecond, entry2, sizedStart(entry2, 2, 1000))
		tc.loseEntry(c)
		before := tc.abortBy - time.Millisecond
		if out := sendUntil(c, before, before+500*time.Millisecond, entry2); len(out.Abort) != 0 {
			t.Errorf("%s: aborted %v too early", tc.name, out.Abort)
		}
		out := c.Tick(tc.abortBy)
		if len(out.Abort) != 1 || out.Abort[0] != ids.RequestOf(entry1, 1) {
			t.Errorf("%s: aborted %v, want the task of the lost entry", tc.name, out.Abort)
		}
	}
}

// TestExpiredMessageStartsNothing guards against a start that was delayed by a network
// partition and runs a task long after its entry has given up on it.
func TestExpiredMessageStartsNothing(t *testing.T) {
	c := newSizedCore()
	out := sendUntil(c, 2*time.Second, 1900*time.Millisecond, entry1, sizedStart(entry1, 1, 1000))
	if len(out.Run) != 0 || refusalReasons(out, entry1)[ids.RequestOf(entry1, 1)] != verdict.DeadlinePassed {
		t.Errorf("run %v, refused %v", out.Run, refusalReasons(out, entry1))
	}
}

// TestUnfitWorkerIsProbed guards against a failing worker that keeps getting tasks,
// against a single faulty batch that makes a healthy worker unfit, and against an unfit
// worker that is never probed.
func TestUnfitWorkerIsProbed(t *testing.T) {
	c := newSizedCore()
	now := time.Duration(0)
	run := func(index, batch uint64, a wire.Answer) bool {
		now += 50 * time.Millisecond
		s := sizedStart(entry1, index, 1000)
		s.Batch = batch
		if out := sendUntil(c, now, now+time.Second, entry1, s); len(out.Run) == 0 {
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
	if c.UnfitReason() != "" {
		t.Fatal("one faulty batch made the worker unfit")
	}
	run(11, 11, failed)
	run(12, 12, failed)
	if c.UnfitReason() == "" {
		t.Fatal("the worker is still fit after three failed batches")
	}
	started := 0
	for i := range uint64(40) { // 2 s
		if run(20+i, 20+i, failed) {
			started++
		}
	}
	if started < 1 || started > 3 {
		t.Errorf("an unfit worker got %d tasks in 2 s, want 1 to 3", started)
	}
	now += 2 * time.Second
	run(90, 90, done)
	if c.UnfitReason() != "" {
		t.Errorf("the worker is still unfit after a completed task: %s", c.UnfitReason())
	}
}

// TestQueueIsSortedByUrgency guards against urgent tasks queued behind less urgent
// ones, and against a queue above its limit: the least urgent task must be refused
// first.
func TestQueueIsSortedByUrgency(t *testing.T) {
	c := newSizedCore()
	withUrgency := func(from ids.Incarnation, index uint64, priority int, due time.Duration) wire.Start {
		st := sizedStart(from, index, 16000)
		st.Priority, st.DueMS = priority, due.Milliseconds()
		return st
	}
	sendUntil(c, 0, time.Second, entry1, withUrgency(entry1, 1, 2, time.Second))
	sendUntil(c, 0, time.Second, entry1, withUrgency(entry1, 2, 2, 100*time.Millisecond))
	sendUntil(c, 0, time.Second, entry2, withUrgency(entry2, 3, 0, 500*time.Millisecond))
	out := sendUntil(c, 0, time.Second, entry2, withUrgency(entry2, 4, 0, 400*time.Millisecond))
	if got := refusalReasons(out, entry1); got[ids.RequestOf(entry1, 2)] != verdict.NoCredit {
		t.Errorf("refused %v, want the task of the lowest priority", got)
	}
	out = sendUntil(c, 0, time.Second, entry1, withUrgency(entry1, 5, 2, 50*time.Millisecond))
	if got := refusalReasons(out, entry1); got[ids.RequestOf(entry1, 5)] != verdict.NoCredit {
		t.Errorf("refused %v, want the task that is less urgent than all queued ones", got)
	}
	c.Finished(0, wire.Answer{Key: ids.RequestOf(entry1, 1), Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200})
	if run := c.Tick(0).Run; len(run) != 1 || run[0].Key != ids.RequestOf(entry2, 4) {
		t.Errorf("started %v, want the task with the earliest due time", run)
	}
}

// TestAbortedOverdueTasksCountAsStalled guards against a stalled worker that stays fit
// because entries abort overdue tasks before more than half of the running ones are
// overdue.
func TestAbortedOverdueTasksCountAsStalled(t *testing.T) {
	c := newSizedCore()
	var long []wire.Start
	for i := range uint64(4) {
		st := sizedStart(entry1, 100+i, 1000)
		st.DeclaredMS = 5000
		long = append(long, st)
	}
	sendUntil(c, 0, time.Second, entry1, long...)
	now := time.Duration(0)
	for i := range uint64(6) {
		sendUntil(c, now, now+time.Second, entry1, sizedStart(entry1, i, 1000))
		now += 300 * time.Millisecond // twice the declared 100 ms and the slack of 50 ms
		c.Receive(now, wire.Exchange{Entry: entry1, Aborts: []ids.TaskKey{ids.RequestOf(entry1, i)}, ValidUntilMS: (now + time.Second).Milliseconds()})
		c.Finished(now, wire.Answer{Key: ids.RequestOf(entry1, i), Verdict: verdict.Ran, Reason: verdict.Canceled, RunUS: 300_000})
		c.Tick(now)
	}
	if c.UnfitReason() == "" {
		t.Error("the worker is still fit after six overdue tasks were aborted")
	}
}

// TestAbortedTaskIsNotTrimmedAgain guards against a task that is refused twice: once
// when its entry aborts it in the queue, and again when the queue is trimmed.
func TestAbortedTaskIsNotTrimmedAgain(t *testing.T) {
	c := newSizedCore()
	sendUntil(c, 0, time.Second, entry1, sizedStart(entry1, 1, 16000))
	queued := []wire.Start{sizedStart(entry1, 2, 16000), sizedStart(entry1, 3, 16000)}
	for i := range queued {
		queued[i].Priority = 1
	}
	sendUntil(c, 0, time.Second, entry1, queued...)
	c.Receive(0, wire.Exchange{Entry: entry1, Aborts: []ids.TaskKey{queued[1].Key}, ValidUntilMS: 1000})
	out := sendUntil(c, 0, time.Second, entry2, sizedStart(entry2, 4, 16000), sizedStart(entry2, 5, 16000))
	if n := len(answersTo(out, entry1)); n != 2 {
		t.Errorf("%d answers, want one for the aborted task and one for the trimmed task", n)
	}
	if c.queued != 2 {
		t.Errorf("%d tasks are counted as queued, want 2", c.queued)
	}
}

// TestStatsCountRefusals guards against refusals that are missing from an agent's
// metrics.
func TestStatsCountRefusals(t *testing.T) {
	c := newSizedCore()
	sendUntil(c, 0, time.Second, entry1, sizedStart(entry1, 1, 16000), sizedStart(entry1, 2, 20000))
	f := c.Stats()
	if f.Running != 1 || f.Used.CPU != 16000 || f.Refused[verdict.Infeasible] != 1 {
		t.Errorf("%+v, want one running task of 16 cores and one that is too large", f)
	}
}

// TestLargeTaskIsNotStarved guards against starvation of a large task on a busy worker:
// without a bound, smaller tasks would start ahead of it until its deadline.
func TestLargeTaskIsNotStarved(t *testing.T) {
	c := newSizedCore()
	var small []wire.Start
	for i := range uint64(10) {
		small = append(small, sizedStart(entry1, i, 1600))
	}
	running := sendUntil(c, 0, time.Second, entry1, small...).Run
	if len(running) != 10 {
		t.Fatalf("%d of 10 tasks run", len(running))
	}
	large := sizedStart(entry2, 1000, 2300)
	sendUntil(c, 0, time.Second, entry2, large)
	for n := uint64(0); n < 20; n++ {
		now := time.Duration(n) * 10 * time.Millisecond
		c.Finished(now, wire.Answer{Key: running[0].Key, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 100_000})
		running = append(running[1:], sendUntil(c, now, now+time.Second, entry1, sizedStart(entry1, 100+n, 1600)).Run...)
		for _, s := range running {
			if s.Key == large.Key {
				return
			}
		}
	}
	t.Error("the large task has not started after 20 smaller ones")
}

// TestIncompleteTaskCanRestart guards against a task that was aborted or has failed and
// never starts again at the same worker because its next attempt is taken for a
// duplicate, and against a completed task that runs again.
func TestIncompleteTaskCanRestart(t *testing.T) {
	for _, tc := range []struct {
		reason       verdict.Reason
		status       int
		wantRestarts int
	}{
		{verdict.Canceled, 0, 1},
		{verdict.UpstreamFailed, 500, 1},
		{verdict.Complete, 200, 0},
	} {
		c := newSizedCore()
		st := sizedStart(entry1, 1, 1000)
		sendUntil(c, 0, time.Second, entry1, st)
		c.Finished(0, wire.Answer{Key: st.Key, Verdict: verdict.Ran, Reason: tc.reason, Status: tc.status, RunUS: 1000})
		c.Tick(0)
		if run := sendUntil(c, 0, time.Second, entry1, st).Run; len(run) != 0 {
			t.Errorf("%s: a duplicate of the first try started", tc.reason)
		}
		st.Try = 2
		if run := sendUntil(c, 0, time.Second, entry1, st).Run; len(run) != tc.wantRestarts {
			t.Errorf("%s: the second try started %d times, want %d", tc.reason, len(run), tc.wantRestarts)
		}
	}
}

// Guards against a worker's lease that outlasts the lease of one of the entries whose
// tasks run there.
func TestOwnersLeaseIsTheEarliestOfRunningTasks(t *testing.T) {
	c := newSizedCore()
	const sentAt = 400 * time.Millisecond // by the second entry
	sendUntil(c, 0, 500*time.Millisecond, entry1, sizedStart(entry1, 1, 1000))
	out := sendUntil(c, sentAt, 900*time.Millisecond, entry2, sizedStart(entry2, 2, 1000))
	if out.OwnersLease != 500*time.Millisecond {
		t.Errorf("owners' lease ends at %v, want that of the first entry", out.OwnersLease)
	}
	c.Finished(sentAt, wire.Answer{Key: ids.RequestOf(entry1, 1), Verdict: verdict.Ran, Reason: verdict.Complete})
	if out = c.Tick(sentAt); out.OwnersLease != 900*time.Millisecond {
		t.Errorf("owners' lease ends at %v, want that of the second entry", out.OwnersLease)
	}
	c.Disconnected(sentAt, entry2)
	if out = c.Tick(sentAt); out.OwnersLease != sentAt+200*time.Millisecond {
		t.Errorf("owners' lease ends at %v, want 200 ms after the disconnection", out.OwnersLease)
	}
}

// Guards against a run that goes on for a caller that has left: a message about other
// tasks prolongs the lease of one whose abort the agent has read late.
func TestMessagesAfterAnAbortDoNotProlongItsTask(t *testing.T) {
	const lease = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		c := newSizedCore()
		abortedAt := map[ids.TaskKey]time.Duration{} // when the abort was sent
		running := map[ids.TaskKey]bool{}
		var sentAt time.Duration
		for i := range uint64(rapid.IntRange(1, 20).Draw(t, "messages")) {
			sentAt += time.Duration(rapid.IntRange(0, 200).Draw(t, "interval")) * time.Millisecond
			m := wire.Exchange{Entry: entry1, ValidUntilMS: (sentAt + lease).Milliseconds()}
			if rapid.Bool().Draw(t, "start") {
				m.Starts = []wire.Start{sizedStart(entry1, i, 100)}
			}
			if k := ids.RequestOf(entry1, uint64(rapid.IntRange(0, 20).Draw(t, "aborted"))); running[k] && abortedAt[k] == 0 {
				m.Aborts = []ids.TaskKey{k}
				abortedAt[k] = sentAt
			}
			now := sentAt + time.Duration(rapid.IntRange(0, 400).Draw(t, "delay"))*time.Millisecond
			c.Receive(now, m)
			out := c.Tick(now)
			for _, r := range out.Run {
				running[r.Key] = true
			}
			for k, at := range abortedAt {
				if out.OwnersLease == 0 || out.OwnersLease > at+lease {
					t.Fatalf("%v: the worker may run %v until %v and longer, its entry aborted it at %v", now, k, out.OwnersLease, at)
				}
			}
		}
	})
}

// Guards against tasks of a lost entry that go on without a bound: its message has no time
// of expiry, or one that doesn't follow from this agent's clock.
func TestMessageGrantsNoMoreThanTheEntryLease(t *testing.T) {
	const received = time.Second
	for name, until := range map[string]time.Duration{"no-expiry": 0, "clock-of-the-entry": time.Hour} {
		t.Run(name, func(t *testing.T) {
			c := newSizedCore()
			out := sendUntil(c, received, until, entry1, sizedStart(entry1, 1, 1000))
			if len(out.Run) != 1 {
				t.Fatalf("run %v, want one task", out.Run)
			}
			limit := received + c.cfg.Leases.Entry
			if end := out.Run[0].LeaseEnd; end == 0 || end > limit {
				t.Errorf("the task's lease ends at %v, want %v at the latest", end, limit)
			}
			if out = c.Tick(limit); len(out.Abort) != 1 {
				t.Errorf("aborted %v without a message of the entry for %v, want the task", out.Abort, c.cfg.Leases.Entry)
			}
		})
	}
}

// TestLateStartOfARecalledTryOfAnEndedTask guards against a task that runs although its entry
// has recalled it: its start arrives after the recall, which has found an earlier try ended.
func TestLateStartOfARecalledTryOfAnEndedTask(t *testing.T) {
	for _, reason := range []verdict.Reason{verdict.UpstreamFailed, verdict.Canceled} {
		c := newSizedCore()
		st := sizedStart(entry1, 1, 100)
		sendUntil(c, 0, 500*time.Millisecond, entry1, st)
		c.Finished(0, wire.Answer{Key: st.Key, Verdict: verdict.Ran, Reason: reason})
		c.Tick(0)
		st.Try = 2
		c.Receive(0, wire.Exchange{
			Entry: entry1, ValidUntilMS: 500, Recalls: []wire.Recall{{Key: st.Key, Try: 2}}, Aborts: []ids.TaskKey{st.Key},
		})
		if got := refusalReasons(c.Tick(0), entry1)[st.Key]; got != verdict.Recalled {
			t.Errorf("%s: the recall is answered with %q", reason, got)
		}
		if out := sendUntil(c, 0, 500*time.Millisecond, entry1, st); len(out.Run) != 0 {
			t.Errorf("%s: the late start of the recalled try runs", reason)
		}
		st.Try = 3
		if out := sendUntil(c, 0, 500*time.Millisecond, entry1, st); len(out.Run) != 1 {
			t.Errorf("%s: the try after the recalled one doesn't run", reason)
		}
	}
}
