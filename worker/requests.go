package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
)

// updateClock records the worker's clock from a reply. Zero is ignored.
func (c *Core) updateClock(now, clock time.Duration) {
	if clock > 0 {
		c.clock, c.clockReadAt = clock, now
	}
}

// workerClock returns what the worker's clock shows at least at the given time: the clock
// may run slower than that of this process.
func (c *Core) workerClock(at time.Duration) time.Duration {
	elapsed := at - c.clockReadAt
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * (1 - maxClockDrift))
	}
	return c.clock + elapsed
}

// Tick returns the requests to send now and the tasks that have ended.
func (c *Core) Tick(now time.Duration) Output {
	var out Output
	if !c.replaced {
		c.addStarts(now, &out)
		c.addStops(now, &out)
		c.addRenewal(now, &out)
	}
	out.Ended, c.pendingEnded = c.pendingEnded, nil
	return out
}

// addStarts adds the starts that have not been sent to out. A lease covers all runs and can't
// be shortened, so a run that must be over before the lease in force ends is refused. So is
// one that has waited too long to be sent.
func (c *Core) addStarts(now time.Duration, out *Output) {
	for _, r := range c.queuedRuns {
		switch {
		case c.runs[r.id] != r:
			continue // answered since
		case now >= r.sendBy:
			c.refuseQueued(r, EvidenceExpired)
			continue
		case r.endBy > 0 && c.leaseEnd > r.endBy:
			c.refuseQueued(r, EvidenceLeased)
			continue
		}
		r.phase, r.fence = starting, c.fence
		out.Start = append(out.Start, StartRequest{
			Run: r.id, Spec: r.spec, Fence: c.fence, Until: c.grantUntil(r.startBy), SendBy: r.sendBy,
		})
	}
	c.queuedRuns = nil
}

// refuseQueued answers a run whose start has not been sent and will not be.
func (c *Core) refuseQueued(r *run, evidence Evidence) {
	c.deleteRun(r)
	c.answerNotRun(r, evidence, verdict.UpstreamRefused)
}

// rejectUnanswered makes the worker reject the requests so far that it has not executed.
// Without that, one that has timed out could be executed seconds later and extend a lease
// that nobody wants any more.
func (c *Core) rejectUnanswered() { c.fence++ }

// addStops adds the stop requests that are due to out.
func (c *Core) addStops(now time.Duration, out *Output) {
	for _, r := range c.sortedRuns() {
		if !r.stopRequested || r.phase <= starting || r.stopInFlight || r.stopAcked {
			continue
		}
		if now < r.nextStopAt {
			out.NextTick = earliest(out.NextTick, r.nextStopAt)
			continue
		}
		r.stopInFlight = true
		out.Stop = append(out.Stop, StopRequest{Run: r.id, Fence: c.fence})
	}
	for id, at := range c.orphans {
		if now < at {
			out.NextTick = earliest(out.NextTick, at)
			continue
		}
		c.orphans[id] = now + longPollWait
		out.Stop = append(out.Stop, StopRequest{Run: id, Fence: c.fence})
	}
	slices.SortFunc(out.Stop, func(a, b StopRequest) int { return cmp.Compare(a.Run.Task, b.Run.Task) })
}

// addRenewal adds a renewal to out if one is due. It keeps a renewal in flight while there
// are runs or unacknowledged ends or the orphans are not cleared, and sends another one
// when the last stays unanswered for renewalOverlapDelay. While there is nothing to renew,
// a status from time to time keeps the estimate of the worker's clock close.
func (c *Core) addRenewal(now time.Duration, out *Output) {
	if c.renewalsInFlight >= maxRenewalsInFlight {
		return
	}
	due := c.nextRenewalAt
	switch {
	case c.orphansCleared && c.Idle():
		due = max(c.clockReadAt, c.lastRenewalAt) + clockReadInterval
	case c.renewalsInFlight > 0 && !c.statusNeeded:
		due = max(due, c.lastRenewalAt+renewalOverlapDelay)
	}
	if now < due {
		out.NextTick = earliest(out.NextTick, due)
		return
	}
	req := RenewRequest{Fence: c.fence, Cursor: c.cursor, SentAt: now}
	if len(c.runs) > 0 {
		req.Until = c.grantUntil(now + c.cfg.Lease)
	}
	if len(c.runs) > 0 && !c.statusNeeded {
		req.Wait = longPollWait
	}
	c.statusNeeded = false
	c.renewalsInFlight++
	c.lastRenewalAt = now
	out.Renew = &req
}

// SetOwnersLease sets the earliest end of a lease of the owners of the runs, zero for
// none.
func (c *Core) SetOwnersLease(end time.Duration) { c.ownersLease = end }

// grantUntil returns the end of a lease, at most the given time, on the worker's clock. The
// lease covers all runs of the worker, so it outlasts neither the lease of an owner nor
// the stop of a run by more than StopWindow: if this process stands still, or stops are
// not answered, the runs end with it.
func (c *Core) grantUntil(end time.Duration) time.Duration {
	end = c.withinOwnersLease(end)
	for _, r := range c.runs {
		if r.stopRequestedAt > 0 && r.phase != queued {
			end = min(end, r.stopRequestedAt+c.cfg.StopWindow)
		}
	}
	c.leaseEnd = max(c.leaseEnd, end)
	return max(c.workerClock(end), 0)
}

// withinOwnersLease returns the time itself, or the one by which runs must be over as far
// as the lease of their owners is known.
func (c *Core) withinOwnersLease(end time.Duration) time.Duration {
	if c.ownersLease == 0 {
		return end
	}
	return min(end, c.ownersLease+c.cfg.StopWindow)
}

// earliest returns the earlier of two times. Zero means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
