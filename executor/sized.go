package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxSizedTasks bounds the estimated concurrency of a worker with very small tasks.
	maxSizedTasks = 4096
	// sizedRetention is how long the row of a sized task is kept after its answer was
	// acknowledged. Messages about the task are valid for less than a second.
	sizedRetention = 30 * time.Second
	// A message of an entry is answered with a report if the last report to it is at
	// least maxReportAge old, since entries take reports as a sign of life.
	maxReportAge = 100 * time.Millisecond
	// maxBypassTime is how long smaller tasks may start ahead of a queued task that does
	// not fit.
	maxBypassTime = 20 * time.Millisecond
)

// sized reports whether the upstream is a worker with a capacity.
func (c *Core) sized() bool { return !c.cfg.Capacity.IsZero() }

// freeCapacity returns the capacity that is not taken by running or queued tasks.
func (c *Core) freeCapacity() wire.Resources {
	return c.cfg.Capacity.Sub(c.runningSize).Sub(c.queuedSize)
}

// sizedConcurrencyLimit estimates from recent task sizes how many tasks can run at once.
// The average says how many more; whether there is one more depends on the least size.
func (c *Core) sizedConcurrencyLimit() int {
	if c.fitness.unfit {
		return max(c.running, 1)
	}
	left := c.cfg.Capacity.Sub(c.runningSize)
	more := left.CountFitting(c.typicalSize(), maxSizedTasks)
	if more == 0 && c.recentSizes.known && left.Contains(c.recentSizes.least) {
		more = 1
	}
	return c.running + more
}

// typicalSize returns the average size of recent tasks, or the whole capacity before
// the first task.
func (c *Core) typicalSize() wire.Resources {
	if !c.recentSizes.known {
		return c.cfg.Capacity
	}
	return c.recentSizes.typical()
}

// sizedRefusalReason returns why a worker can't accept a sized task, or "".
func (c *Core) sizedRefusalReason(now time.Duration, st wire.Start) verdict.Reason {
	switch {
	case c.fitness.unfit && !c.probeAllowed(now):
		return verdict.UpstreamFailed
	case st.Size.IsZero() || !c.cfg.Capacity.Contains(st.Size):
		return verdict.Infeasible
	case !c.freeCapacity().Contains(st.Size) && c.queued >= c.cfg.LookAhead+c.maxOvercommit() && !c.displaces(&st):
		return verdict.NoCredit
	}
	return ""
}

// displaces reports whether a start is more urgent than the last queued task.
func (c *Core) displaces(st *wire.Start) bool {
	n := len(c.queue)
	return n > 0 && st.MoreUrgent(&c.queue[n-1].start)
}

// trimQueue refuses the least urgent tasks above the queue limit. The limit doesn't
// apply while all queued tasks fit beside the running ones, since they start with the
// next tick.
func (c *Core) trimQueue() {
	for c.queued > c.cfg.LookAhead+c.maxOvercommit() && !c.freeCapacity().Contains(wire.Resources{}) {
		r := c.queue[len(c.queue)-1]
		c.dequeue(r)
		c.refuse(r, verdict.NoCredit)
	}
}

// startSizedTasks starts the queued tasks that fit, in order of urgency. Smaller tasks
// may start ahead of a large one that does not fit, but only for maxBypassTime. Without
// that limit a busy worker would starve the large task: each piece of capacity that
// becomes free would go to a smaller one.
func (c *Core) startSizedTasks(now time.Duration) []Run {
	var run []Run
	waiting := c.queue[:0]
	reserved := false
	for _, r := range c.queue {
		fits := c.cfg.Capacity.Sub(c.runningSize).Contains(r.size)
		if reserved || !fits {
			reserved = reserved || now-r.queuedAt >= maxBypassTime
			waiting = append(waiting, r)
			continue
		}
		run = append(run, c.markStarted(now, r))
	}
	clear(c.queue[len(waiting):])
	c.queue = waiting
	return run
}

// extendLease extends the lease of an entry's tasks until the given time, zero for none. By
// this agent's clock it never lasts longer than Leases.Entry from now, whatever the entry
// takes this clock to show: nothing shortens a lease, and the tasks of a lost entry end with it.
func (c *Core) extendLease(now time.Duration, s *session, until time.Duration) {
	longest := now + c.cfg.Leases.Entry
	if until == 0 {
		until = longest
	}
	s.leaseExpiresAt = max(s.leaseExpiresAt, min(until, longest))
	if now-s.lastReportAt >= maxReportAge {
		s.reportDue = true
	}
}

// expireLeases stops the tasks of entries whose lease has expired, and returns when
// the next lease expires.
func (c *Core) expireLeases(now time.Duration, out *Output) time.Duration {
	var next time.Duration
	if !c.sized() {
		return next
	}
	for _, s := range c.sortedSessions {
		held := s.heldCount
		switch {
		case s.heldCount == 0 || s.leaseExpiresAt == 0:
		case s.leaseExpiresAt <= now:
			if c.stopTasksOf(now, s) {
				out.Expired = append(out.Expired, ExpiredLease{Entry: s.entry, Tasks: held, Late: now - s.leaseExpiresAt, Connected: s.connected})
			}
		default:
			next = earliest(next, s.leaseExpiresAt)
		}
	}
	return next
}

// ownersLease returns the earliest end of a lease of the running sized tasks, or zero.
func (c *Core) ownersLease() time.Duration {
	var end time.Duration
	for _, r := range c.runningRows {
		if !r.size.IsZero() {
			end = earliest(end, r.leaseEnd())
		}
	}
	return end
}

// leaseEnd returns the end of the lease of a running sized task. Messages of the entry
// extend it until the task is to be aborted.
func (r *row) leaseEnd() time.Duration {
	if r.abortQueued {
		return r.leaseEndAtAbort
	}
	return r.owner.leaseExpiresAt
}

// stopTasksOf refuses the queued tasks of an entry and aborts the running ones. It
// reports whether there were any that had not been aborted before.
func (c *Core) stopTasksOf(now time.Duration, s *session) bool {
	stopped := false
	for _, r := range slices.Clone(c.queue) {
		if r.owner == s {
			c.dequeue(r)
			c.refuse(r, verdict.OwnerLost)
			stopped = true
		}
	}
	for _, r := range c.runningRows {
		if r.owner == s && !r.abortQueued {
			c.queueAbort(now, r)
			stopped = true
		}
	}
	slices.SortFunc(c.pendingAborts, func(a, b ids.TaskKey) int { return cmp.Compare(a.Index, b.Index) })
	return stopped
}

// queueAbort adds a running task to the next Output.Abort, once per run.
func (c *Core) queueAbort(now time.Duration, r *row) {
	if r.abortQueued {
		return
	}
	r.abortQueued = true
	r.leaseEndAtAbort = r.owner.leaseExpiresAt
	if c.sized() && c.overdue(now, r) {
		c.fitness.abortedOverdue++
		c.detectStall(now)
	}
	c.pendingAborts = append(c.pendingAborts, r.key)
}
