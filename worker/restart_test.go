package worker

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	bornBefore int64 = 1_000
	bornAfter  int64 = 2_000
)

// newCoreWithRun returns a core on whose worker one run has been requested at time zero.
func newCoreWithRun() (*Core, RunID) {
	c := New(0, Config{Fence: 7, Born: bornBefore, Lease: time.Second, Clock: time.Hour})
	c.Run(0, wire.Start{Key: ids.RequestOf(1, 1), Name: "task", Try: 1}, 0)
	return c, RunID{Task: "task", Number: 1}
}

// endedOf returns the tasks that a tick answers.
func endedOf(c *Core, now time.Duration) []Ended { return c.Tick(now).Ended }

// Guards against a run that is answered as ended while it is at work: its start has
// reached another start of the worker, under the same id.
func TestRunOfRestartedWorkerIsAnsweredAfterItEnds(t *testing.T) {
	const ms = time.Millisecond
	c, run := newCoreWithRun()
	out := c.Tick(0)
	c.Renewed(0, *out.Renew, Status{Clock: time.Hour, Born: bornBefore}, false)
	c.Started(1*ms, run, StartReply{Clock: 10 * ms}, false)
	if out = c.Tick(2 * ms); out.Renew == nil {
		t.Fatal("no status was requested")
	}
	c.Renewed(3*ms, *out.Renew, Status{Clock: 12 * ms, Born: bornAfter, Running: []RunID{run}}, false)
	out = c.Tick(3 * ms)
	if len(out.Ended) != 0 {
		t.Fatalf("answered with %v while the worker lists the run", out.Ended[0])
	}
	if len(out.Stop) != 1 || out.Stop[0].Run != run {
		t.Fatalf("stops %v, want the run of the new start of the worker", out.Stop)
	}
	c.Stopped(4*ms, run, StopReply{}, false)
	if out = c.Tick(5 * ms); out.Renew == nil {
		t.Fatal("no status was requested after the stop")
	}
	c.Renewed(6*ms, *out.Renew, Status{Clock: 15 * ms, Born: bornAfter}, false)
	ended := endedOf(c, 6*ms)
	if len(ended) != 1 || ended[0].Verdict != verdict.Ran || ended[0].Reason != verdict.Canceled {
		t.Fatalf("answers %v, want one that the run was canceled", ended)
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
		c.Renewed(now, *out.Renew, Status{Clock: clockAt(now), Born: bornBefore, Running: []RunID{run, neighbor}}, false)
	}
}

// Guards against an agent that serves entries for a worker which has restarted before the
// agent read its first status: it would refuse every task.
func TestRestartedWorkerIsNotServed(t *testing.T) {
	c := New(0, Config{Fence: 7, Born: bornBefore, Lease: time.Second, Clock: time.Hour})
	c.Renewed(0, *c.Tick(0).Renew, Status{Clock: time.Millisecond, Born: bornAfter}, false)
	if c.OrphansCleared() || !c.Replaced() {
		t.Errorf("orphans cleared: %v, replaced: %v", c.OrphansCleared(), c.Replaced())
	}
}

// Guards against a core that renews without a pause and is never idle: two renewals with the
// cursor of the earlier start of the worker are answered by its new start.
func TestRestartIsIdleAfterTwoRenewalsOfTheEarlierStart(t *testing.T) {
	const ms = time.Millisecond
	c, run := newCoreWithRun()
	first := *c.Tick(0).Renew
	c.Started(ms, run, StartReply{}, false)
	ended := Status{Clock: time.Hour, Born: bornBefore, Ended: []End{{Number: 1, Run: run, How: EndDone}}}
	c.Renewed(2*ms, first, ended, false)
	second := *c.Tick(2 * ms).Renew
	out := c.Tick(2*ms + renewalOverlapDelay)
	if second.Cursor != 1 || out.Renew == nil || out.Renew.Cursor != 1 {
		t.Fatal("no two renewals with cursor 1 are in flight")
	}
	third := *out.Renew
	restarted := Status{Clock: ms, Born: bornAfter}
	c.Renewed(40*ms, second, restarted, false)
	c.Renewed(41*ms, third, restarted, false)
	renewals := 0
	for now := 42 * ms; now < 142*ms; now += ms {
		if r := c.Tick(now).Renew; r != nil {
			renewals++
			c.Renewed(now, *r, restarted, false)
		}
	}
	if !c.Idle() || renewals > 1 {
		t.Errorf("idle: %v, %d renewals in 100 ms without runs", c.Idle(), renewals)
	}
}

// Guards against leases on the clock of an earlier start of the worker, whose reply to a
// start arrives after the status of the new start.
func TestReplyOfTheEarlierStartDoesNotSetTheClock(t *testing.T) {
	const ms = time.Millisecond
	c, run := newCoreWithRun()
	first := *c.Tick(0).Renew
	c.Renewed(ms, first, Status{Clock: ms, Born: bornAfter, Running: []RunID{run}}, false)
	c.Started(2*ms, run, StartReply{Clock: time.Hour}, false)
	out := c.Tick(3 * ms)
	if out.Renew == nil {
		t.Fatal("no renewal")
	}
	if limit := 3*ms + time.Second; out.Renew.Until > limit {
		t.Errorf("the lease is renewed until %v on the clock of the new start, want %v at most", out.Renew.Until, limit)
	}
}

// restartedCore returns a core whose worker has restarted under its id while the start of a
// run was in flight and a stop of it as well.
func restartedCore(t *testing.T) (*Core, RunID) {
	t.Helper()
	const ms = time.Millisecond
	c, run := newCoreWithRun()
	first := *c.Tick(0).Renew
	c.Started(ms, run, StartReply{}, false)
	c.Abort(ms, ids.RequestOf(1, 1))
	if out := c.Tick(ms); len(out.Stop) != 1 {
		t.Fatalf("stops %v, want one", out.Stop)
	}
	c.Renewed(2*ms, first, Status{Clock: ms, Born: bornAfter, Running: []RunID{run}}, false)
	return c, run
}

// Guards against a stop that the earlier start of a worker has acknowledged and that is
// taken for one of its new start.
func TestStopAcknowledgedBeforeTheRestartProvesNothing(t *testing.T) {
	const ms = time.Millisecond
	c, run := restartedCore(t)
	c.Stopped(3*ms, run, StopReply{}, false)
	if out := c.Tick(30 * ms); len(out.Stop) != 1 {
		t.Errorf("stops %v, want one at the new start of the worker", out.Stop)
	}
}

// Guards against a late status of the earlier start of a worker, which doesn't list the run
// at its new start.
func TestLateStatusOfTheEarlierStartIsIgnored(t *testing.T) {
	const ms = time.Millisecond
	c, _ := restartedCore(t)
	out := c.Tick(40 * ms)
	if out.Renew == nil {
		t.Fatal("no status was requested")
	}
	c.Renewed(41*ms, *out.Renew, Status{Clock: time.Hour, Born: bornBefore}, false)
	if ended := endedOf(c, 41*ms); len(ended) != 0 {
		t.Errorf("answered with %v by a status of the earlier start", ended[0])
	}
}

// Guards against a start that is sent to, or forgotten at, a worker found to have restarted
// before it was sent.
func TestStartBeforeTheRestartIsRefused(t *testing.T) {
	c := New(0, Config{Fence: 7, Born: bornBefore, Lease: time.Second, Clock: time.Hour})
	first := *c.Tick(0).Renew
	c.Run(0, startOf(1, "task"), 0)
	c.Renewed(time.Millisecond, first, Status{Clock: time.Millisecond, Born: bornAfter}, false)
	out := c.Tick(time.Millisecond)
	if len(out.Start) != 0 || len(out.Ended) != 1 || out.Ended[0].Verdict != verdict.NotRun {
		t.Errorf("starts %v, answers %v, want one refusal", out.Start, out.Ended)
	}
}

// Guards against a run at the new start of a worker that is never stopped, since the earlier
// start has acknowledged a stop of it.
func TestAcknowledgedStopIsRepeatedAfterTheRestart(t *testing.T) {
	const ms = time.Millisecond
	c, run := newCoreWithRun()
	first := *c.Tick(0).Renew
	c.Started(ms, run, StartReply{}, false)
	c.Abort(ms, ids.RequestOf(1, 1))
	c.Tick(ms)
	c.Stopped(2*ms, run, StopReply{}, false)
	c.Renewed(3*ms, first, Status{Clock: ms, Born: bornAfter, Running: []RunID{run}}, false)
	if out := c.Tick(4 * ms); len(out.Stop) != 1 {
		t.Errorf("stops %v, want one at the new start of the worker", out.Stop)
	}
}

// Guards against a start that waits in a frozen agent and is sent when it is no longer
// valid: a worker that has restarted meanwhile has a new clock, on which Until is ahead.
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
				c := New(0, Config{Fence: 7, Born: bornBefore, Lease: time.Second, StopWindow: window, Clock: time.Hour})
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
