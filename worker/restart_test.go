package worker

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newCoreWithRun returns a core on whose worker one run has been requested at time zero.
func newCoreWithRun() (*Core, RunID) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	c.Run(0, wire.Start{Key: ids.RequestOf(1, 1), Name: "task", Try: 1}, 0)
	return c, RunID{Task: "task", Number: 1}
}

// Guards against runs that are not answered once their worker's process has ended, answered
// as not run although they may have begun, or followed by requests: each kind of request
// may be the first that shows it.
func TestRunsEndWithTheStartOfTheirWorker(t *testing.T) {
	for _, tc := range []struct {
		name string
		show func(c *Core, out Output)
	}{
		{"start", func(c *Core, out Output) {
			c.Started(time.Millisecond, out.Start[0].Run, StartReply{Refused: RefusedReplaced}, false)
		}},
		{"stop", func(c *Core, out Output) {
			c.Stopped(time.Millisecond, out.Stop[0].Run, StopReply{Refused: RefusedReplaced}, false)
		}},
		{"renewal", func(c *Core, out Output) {
			c.Renewed(time.Millisecond, *out.Renew, Status{Refused: RefusedReplaced}, false)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, running := newCoreWithRun()
			c.Tick(0)
			c.Started(0, running, StartReply{Clock: time.Hour}, false)
			c.Abort(0, ids.RequestOf(1, 1))
			c.Run(0, startOf(2, "starting"), 0)
			out := c.Tick(renewalOverlapDelay)
			c.Run(renewalOverlapDelay, startOf(3, "queued"), 0)
			tc.show(c, out)
			checkEndedWithWorker(t, c, tc.name == "start")
			c.Renewed(time.Second, *out.Renew, Status{Clock: time.Hour, Running: []RunID{running}}, false) // late
			if out := c.Tick(time.Second); len(out.Ended)+len(out.Start)+len(out.Stop) > 0 || out.Renew != nil {
				t.Errorf("a late status of the ended process causes %+v", out)
			}
		})
	}
}

// checkEndedWithWorker checks the answers of the runs "task", "starting" and "queued" of a
// worker whose process has ended, and that nothing is sent any more. startRefused says that
// the start of "starting" was not sent.
func checkEndedWithWorker(t *testing.T, c *Core, startRefused bool) {
	t.Helper()
	want := map[string]verdict.Verdict{"task": verdict.Ran, "starting": verdict.Ran, "queued": verdict.NotRun}
	if startRefused {
		want["starting"] = verdict.NotRun
	}
	out := c.Tick(renewalOverlapDelay + time.Millisecond)
	for _, e := range out.Ended {
		if v, ok := want[e.Run.Task]; !ok || e.Verdict != v {
			t.Errorf("%s answered with %v", e.Run.Task, e.Verdict)
		}
		delete(want, e.Run.Task)
	}
	if len(want) > 0 {
		t.Errorf("not answered: %v", want)
	}
	if len(out.Start)+len(out.Stop) > 0 || out.Renew != nil || out.NextTick != 0 {
		t.Errorf("sends %+v to a process that has ended", out)
	}
	if !c.Idle() || !c.Replaced() {
		t.Errorf("idle: %v, replaced: %v", c.Idle(), c.Replaced())
	}
	c.Run(time.Second, startOf(4, "later"), 0)
	if ended := c.Tick(time.Second).Ended; len(ended) != 1 || ended[0].Verdict != verdict.NotRun {
		t.Errorf("a later run is answered with %v, want one refusal", ended)
	}
}

// Guards against an agent that serves entries for a worker which has restarted before the
// agent read its first status: it would refuse every task.
func TestRestartedWorkerIsNotServed(t *testing.T) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	c.Renewed(0, *c.Tick(0).Renew, Status{Refused: RefusedReplaced}, false)
	if c.OrphansCleared() || !c.Replaced() {
		t.Errorf("orphans cleared: %v, replaced: %v", c.OrphansCleared(), c.Replaced())
	}
}

// Guards against a run that outlives its stop: the worker answers renewals, but no stop.
func TestUnansweredStopEndsWithTheLease(t *testing.T) {
	const (
		ms          = time.Millisecond
		repeatAfter = 1300 * ms // a caller sends its batch again
		stoppedAt   = 100 * ms
	)
	c, run := newCoreWithRun()
	c.Run(0, wire.Start{Key: ids.RequestOf(1, 2), Name: "neighbor", Try: 1}, 0)
	neighbor := RunID{Task: "neighbor", Number: 1}
	clockAt := func(now time.Duration) time.Duration { return time.Hour + now }
	for now := time.Duration(0); now < 5*time.Second; now += ms {
		if now == stoppedAt {
			c.Abort(now, ids.RequestOf(1, 1))
		}
		out := c.Tick(now)
		for _, s := range out.Start {
			c.Started(now, s.Run, StartReply{Clock: clockAt(now)}, false)
		}
		for _, s := range out.Stop {
			c.Stopped(now, s.Run, StopReply{}, true)
		}
		if out.Renew == nil {
			continue
		}
		if limit := clockAt(stoppedAt + repeatAfter); out.Renew.Until > limit {
			t.Fatalf("%v: the lease is renewed until %v after the stop, while the run is listed", now, out.Renew.Until-clockAt(stoppedAt))
		}
		c.Renewed(now, *out.Renew, Status{Clock: clockAt(now), Running: []RunID{run, neighbor}}, false)
	}
}

// Guards against a start that waits in a frozen agent and is sent when it is no longer
// valid.
func TestStartIsNotSentAfterItsValidity(t *testing.T) {
	const (
		ms     = time.Millisecond
		window = 50 * ms
	)
	for _, tc := range []struct {
		name        string
		ownersLease time.Duration // zero for none
		validity    time.Duration
	}{
		{"no-lease", 0, maxSendDelay},
		{"owners-lease", 20 * ms, 20*ms + window},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, wait := range []time.Duration{tc.validity - ms, tc.validity, tc.validity + 2*time.Second} {
				c := New(0, Config{Fence: 7, Lease: time.Second, StopWindow: window, Clock: time.Hour})
				c.SetOwnersLease(tc.ownersLease)
				c.Run(0, startOf(1, "task"), tc.ownersLease)
				out := c.Tick(wait) // the agent was frozen since Run
				if wait < tc.validity {
					if len(out.Start) != 1 {
						t.Errorf("after %v: %d starts sent, want one", wait, len(out.Start))
					}
					continue
				}
				if len(out.Start) != 0 {
					t.Errorf("after %v: a start is sent that was valid for %v", wait, tc.validity)
				}
				if len(out.Ended) != 1 || out.Ended[0].Verdict != verdict.NotRun || out.Ended[0].Evidence != EvidenceExpired {
					t.Errorf("after %v: answers %v, want one refusal", wait, out.Ended)
				}
			}
		})
	}
}

// Guards against two runs of a task at the same time: the worker restarts while a run is being
// stopped because its caller has repeated the batch, and the entries of both batches start the
// task again.
func TestRepeatedRunOfARestartedWorkerIsNotStartedTwice(t *testing.T) {
	c, running := newCoreWithRun()
	c.Tick(0)
	c.Started(0, running, StartReply{Clock: time.Hour}, false)
	c.Run(time.Millisecond, wire.Start{Key: ids.RequestOf(2, 1), Name: "task", Try: 2}, 0)
	out := c.Tick(renewalOverlapDelay)
	if out.Renew == nil {
		t.Fatal("no renewal")
	}
	c.Renewed(renewalOverlapDelay, *out.Renew, Status{Refused: RefusedReplaced}, false)
	var restartable []Ended
	ended := c.Tick(renewalOverlapDelay).Ended
	for _, e := range ended {
		if e.Verdict != verdict.MayHaveRun {
			restartable = append(restartable, e)
		}
	}
	if len(ended) != 2 || len(restartable) > 1 {
		t.Errorf("%d answers, of which %d let their entry start the task again: %v", len(ended), len(restartable), restartable)
	}
}

// Guards against two runs of a task at the same time: a run that has not begun is refused after
// the caller has repeated the batch, and the entries of both batches start the task elsewhere.
func TestRefusedRunOfARepeatedBatchIsNotStartedTwice(t *testing.T) {
	repeat := func(c *Core) {
		c.Run(0, wire.Start{Key: ids.RequestOf(2, 1), Name: "task", Try: 2}, 0)
	}
	for _, tc := range []struct {
		name string
		end  func(c *Core, task RunID) []Ended
	}{
		{"refused", func(c *Core, task RunID) []Ended {
			c.Tick(0)
			repeat(c)
			c.Started(0, task, StartReply{Refused: RefusedFull}, false)
			return c.Tick(0).Ended
		}},
		{"replaced", func(c *Core, task RunID) []Ended {
			c.Tick(0)
			repeat(c)
			c.Started(0, task, StartReply{Refused: RefusedReplaced}, false)
			return c.Tick(0).Ended
		}},
		{"expired", func(c *Core, _ RunID) []Ended {
			repeat(c)
			return c.Tick(time.Second).Ended
		}},
		{"queued-at-a-fenced-worker", func(c *Core, _ RunID) []Ended {
			repeat(c)
			c.Renewed(0, RenewRequest{Fence: c.fence}, Status{Refused: RefusedFenced}, false)
			return c.Tick(0).Ended
		}},
		{"queued-at-a-restarted-worker", func(c *Core, _ RunID) []Ended {
			repeat(c)
			c.Renewed(0, RenewRequest{Fence: c.fence}, Status{Refused: RefusedReplaced}, false)
			return c.Tick(0).Ended
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, task := newCoreWithRun()
			ended := tc.end(c, task)
			restartable := 0
			for _, e := range ended {
				if e.Verdict != verdict.MayHaveRun {
					restartable++
				}
			}
			if len(ended) != 2 || restartable > 1 {
				t.Errorf("%d answers, of which %d let their entry start the task again: %v", len(ended), restartable, ended)
			}
		})
	}
}

// Guards against an agent that registers for a worker whose process has ended: a late status of
// that process lists no run.
func TestLateStatusOfAnEndedWorkerClearsNoOrphans(t *testing.T) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	first := *c.Tick(0).Renew
	second := *c.Tick(renewalOverlapDelay).Renew
	c.Renewed(renewalOverlapDelay, second, Status{Refused: RefusedReplaced}, false)
	c.Renewed(renewalOverlapDelay, first, Status{Clock: time.Hour}, false)
	if c.OrphansCleared() {
		t.Error("orphans cleared")
	}
}

// Guards against two runs of a task at the same time: the starts of two repeated batches wait
// for the end of one run, and the entries of both start the task elsewhere.
func TestOnlyTheLastRepeatMayStartTheTaskAgain(t *testing.T) {
	c, running := newCoreWithRun()
	out := c.Tick(0)
	c.Started(0, running, StartReply{Clock: time.Hour}, false)
	for entry := ids.Incarnation(2); entry <= 3; entry++ {
		c.Run(0, wire.Start{Key: ids.RequestOf(entry, 1), Name: "task", Try: 1}, 0)
	}
	c.Renewed(0, *out.Renew, Status{Clock: time.Hour, Ended: []End{{Number: 1, Run: running, How: EndStopped}}}, false)
	ended := c.Tick(0).Ended
	if len(ended) != 3 {
		t.Fatalf("answers %v, want three", ended)
	}
	for _, e := range ended {
		if last := e.Key == ids.RequestOf(3, 1); (e.Verdict != verdict.MayHaveRun) != last {
			t.Errorf("%v is answered with %v", e.Key, e.Verdict)
		}
	}
}
