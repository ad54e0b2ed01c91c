package worker

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against healthy starts that the worker rejects because a timed-out request has
// raised the token meanwhile. The requests are spread over 2 ms, one in twenty is lost.
func TestOwnTokenRejectsFewStarts(t *testing.T) {
	m := newSimulatedWorker(t, 1, 0.05, 0)
	m.meanRunTime = 60 * time.Millisecond
	m.tick()
	const tasks = 2000
	for n := range tasks {
		m.schedule(time.Duration(n)*2*time.Millisecond, func() { m.requestRun(n) })
	}
	m.runUntil(20 * time.Second)
	refused := 0
	for _, a := range m.answers {
		if a.Verdict == verdict.NotRun && a.Reason == verdict.UpstreamRefused {
			refused++
		}
	}
	t.Logf("%d of %d starts rejected, token raised %d times", refused, tasks, m.core.fence-7)
	if refused > tasks/100 {
		t.Errorf("%d of %d starts were rejected by the owner's own later token", refused, tasks)
	}
}

// Guards against the rejection of a start by another owner's token that is taken for one by
// a later request of this owner.
func TestRejectedStartDoesNotHideAnotherOwner(t *testing.T) {
	c := New(0, Config{Fence: NewFence(1), Lease: time.Second, Clock: time.Hour})
	c.Run(0, wire.Start{Key: ids.RequestOf(1, 1), Name: "task", Try: 1}, 0)
	out := c.Tick(0)
	// The worker obeys another owner: it rejects the renewal first, then the start.
	c.Renewed(time.Millisecond, *out.Renew, Status{Refused: RefusedFenced}, false)
	c.Started(2*time.Millisecond, out.Start[0].Run, StartReply{Refused: RefusedFenced}, false)
	if !c.Replaced() {
		t.Error("a worker that obeys another owner is taken for one that has seen a later token of this owner")
	}
}

// Guards against a start that is sent again without a bound, after a later request of this
// owner has overtaken it: the worker may have restarted meanwhile.
func TestOvertakenStartKeepsTheBoundOfItsHandover(t *testing.T) {
	for _, wait := range []time.Duration{maxSendDelay - time.Millisecond, maxSendDelay} {
		c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
		c.Run(0, startOf(1, "task"), 0)
		out := c.Tick(0)
		c.Renewed(0, *out.Renew, Status{}, true)
		c.Started(wait, out.Start[0].Run, StartReply{Refused: RefusedFenced}, false)
		if sent := len(c.Tick(wait).Start) == 1; sent != (wait < maxSendDelay) {
			t.Errorf("sent again after %v: %v", wait, sent)
		}
	}
}
