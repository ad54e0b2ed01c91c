package worker

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a lease at the worker that outlasts the lease of a run's owner: an agent
// that stands still from then on can't stop the run, and the caller repeats its batch.
func TestLeaseEndsSoonAfterThatOfTheOwner(t *testing.T) {
	const (
		ms          = time.Millisecond
		ownersLease = 400 * ms
		window      = 300 * ms
	)
	c := New(0, Config{Fence: 7, Lease: time.Second, StopWindow: window, Clock: time.Hour})
	c.SetOwnersLease(ownersLease)
	n := uint64(0)
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		n++
		c.Run(now, wire.Start{Key: ids.RequestOf(1, n), Name: "task" + string(rune('a'+n%26)), Try: uint32(n)}, 0)
		out := c.Tick(now)
		limit := time.Hour + ownersLease + window
		for _, s := range out.Start {
			if s.Until > limit {
				t.Fatalf("%v: a start extends the lease until %v after that of the owner", now, s.Until-time.Hour-ownersLease)
			}
		}
		if out.Renew == nil {
			continue
		}
		if out.Renew.Until > limit {
			t.Fatalf("%v: the lease is renewed until %v after that of the owner", now, out.Renew.Until-time.Hour-ownersLease)
		}
		c.Renewed(now, *out.Renew, Status{Clock: time.Hour + now}, false)
	}
}

// Guards against a run that outlives its owner: it starts late under a lease that the worker
// has been granted for the runs of another owner, and that nothing can shorten.
func TestRunStartsOnlyUnderALeaseThatItsOwnerAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 550 * time.Millisecond
		c := New(0, Config{Fence: 7, Lease: time.Second, StopWindow: window, Clock: time.Hour})
		now, granted := time.Duration(0), time.Duration(0)
		ends := map[RunID]time.Duration{} // of the owners' leases
		for i := range uint32(rapid.IntRange(1, 15).Draw(t, "runs")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "interval")) * time.Millisecond
			id := RunID{Task: "task" + strconv.Itoa(int(i)), Number: 1}
			ends[id] = now + time.Duration(rapid.IntRange(1, 500).Draw(t, "lease"))*time.Millisecond
			earliestEnd := ends[id]
			for _, r := range c.runs {
				earliestEnd = min(earliestEnd, ends[r.id])
			}
			c.SetOwnersLease(earliestEnd)
			c.Run(now, wire.Start{Key: ids.RequestOf(1, uint64(i)), Name: id.Task, Try: 1}, ends[id])
			out := c.Tick(now)
			for _, s := range out.Start {
				granted = max(granted, s.Until-time.Hour)
			}
			if out.Renew != nil {
				granted = max(granted, out.Renew.Until-time.Hour)
				c.Renewed(now, *out.Renew, Status{Clock: time.Hour + now, Running: runningRuns(c)}, false)
			}
			for _, s := range out.Start {
				if limit := ends[s.Run] + window; granted > limit {
					t.Fatalf("%v: %v starts under a lease until %v, its owner's lease allows %v", now, s.Run, granted, limit)
				}
				c.Started(now, s.Run, StartReply{Clock: time.Hour + now}, false)
			}
		}
	})
}

// Guards against a refused task whose answer waits for the next event: there may be none.
func TestRunRefusedForTheLeaseIsAnsweredAtOnce(t *testing.T) {
	const ms = time.Millisecond
	c := New(0, Config{Fence: 7, Lease: time.Second, StopWindow: 100 * ms, Clock: time.Hour})
	c.Run(0, startOf(1, "task"), 800*ms)
	first := c.Tick(0)
	ends := []End{{Number: 1, Run: first.Start[0].Run, How: EndDone}}
	c.Renewed(ms, *first.Renew, Status{Clock: time.Hour, Ended: ends}, false)
	c.Tick(ms)
	c.Run(2*ms, wire.Start{Key: ids.RequestOf(1, 2), Try: 1, Name: "late"}, 100*ms)
	out := c.Tick(2 * ms)
	if len(out.Start) != 0 || len(out.Ended) != 1 || out.Ended[0].Verdict != verdict.NotRun {
		t.Errorf("started %v, answered %v, want a refusal", out.Start, out.Ended)
	}
}

func runningRuns(c *Core) []RunID {
	var ids []RunID
	for _, r := range c.sortedRuns() {
		ids = append(ids, r.id)
	}
	return ids
}
