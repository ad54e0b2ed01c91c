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
	// maxSizedTasks bounds the tasks at once of a worker whose tasks need little.
	maxSizedTasks = 4096
	// reconnectGrace is how long the sized tasks of an entry go on without a
	// connection to it. A caller repeats its batch 1.3 s after it lost the entry,
	// and the tasks must have ended by then.
	reconnectGrace = 200 * time.Millisecond
	// sizedRetention is how long the row of an ended sized task is kept. Messages
	// about it are valid for less than a second.
	sizedRetention = 30 * time.Second
	// heartbeatReply is the age of the last report to an entry after which its
	// next message is answered with one, so that the entry knows that the agent lives.
	heartbeatReply = 100 * time.Millisecond
	// maxPassed is how long smaller tasks may pass a queued one that does not fit.
	maxPassed = 20 * time.Millisecond
	// sizeWeight is the weight of a task in the average size.
	sizeWeight = 16
)

// sized reports whether the upstream is a worker with a capacity.
func (c *Core) sized() bool { return !c.cfg.Capacity.IsZero() }

// free is the capacity that neither running nor queued tasks take.
func (c *Core) free() wire.Resources {
	return c.cfg.Capacity.Sub(c.used).Sub(c.queuedSize)
}

// sizedLimit estimates how many tasks run at once from their average size.
func (c *Core) sizedLimit() int {
	if c.fitness.unfit {
		return max(c.running, 1)
	}
	left := c.cfg.Capacity.Sub(c.used)
	return c.running + left.Count(c.typicalSize(), maxSizedTasks)
}

// typicalSize is the average size of recent tasks, that of the whole worker
// until the first task.
func (c *Core) typicalSize() wire.Resources {
	if c.meanSize.IsZero() {
		return c.cfg.Capacity
	}
	return c.meanSize
}

// learnSize updates the average size of the tasks.
func (c *Core) learnSize(size wire.Resources) {
	if c.meanSize.IsZero() {
		c.meanSize = size
		return
	}
	c.meanSize.CPU += (size.CPU - c.meanSize.CPU) / sizeWeight
	c.meanSize.Memory += (size.Memory - c.meanSize.Memory) / sizeWeight
	c.meanSize.GPU += (size.GPU - c.meanSize.GPU) / sizeWeight
}

// refusalOfSize returns why a sized task can't be accepted, or "".
func (c *Core) refusalOfSize(now time.Duration, st wire.Start) verdict.Reason {
	switch {
	case c.fitness.unfit && !c.mayProbe(now):
		return verdict.UpstreamFailed
	case st.Size.IsZero() || !c.cfg.Capacity.Holds(st.Size):
		return verdict.Infeasible
	case !c.free().Holds(st.Size) && c.queued >= c.cfg.LookAhead+c.overcommit() && !c.displaces(&st):
		return verdict.NoCredit
	}
	return ""
}

// displaces reports whether a start goes before the least urgent queued task.
func (c *Core) displaces(st *wire.Start) bool {
	n := len(c.queue)
	return n > 0 && st.MoreUrgent(&c.queue[n-1].start)
}

// trimQueue refuses the least urgent tasks beyond the bound of the queue. What fits
// beside the running tasks doesn't count, since it starts with the next tick.
func (c *Core) trimQueue() {
	for c.queued > c.cfg.LookAhead+c.overcommit() && !c.free().Holds(wire.Resources{}) {
		r := c.queue[len(c.queue)-1]
		c.unqueue(r)
		c.refuse(r, verdict.NoCredit)
	}
}

// runSized starts the queued tasks that fit, in order of urgency. Smaller tasks pass a
// large one that does not fit, but not for long: on a busy worker what becomes free at
// a time would never be enough for it.
func (c *Core) runSized(now time.Duration) []wire.Start {
	var run []wire.Start
	waiting := c.queue[:0]
	held := false
	for _, r := range c.queue {
		fits := c.cfg.Capacity.Sub(c.used).Holds(r.size)
		if held || !fits {
			held = held || now-r.queuedAt >= maxPassed
			waiting = append(waiting, r)
			continue
		}
		run = append(run, c.begin(now, r))
	}
	clear(c.queue[len(waiting):])
	c.queue = waiting
	return run
}

// extendLease takes over until when an entry's tasks may run. It returns false
// for a message that arrived after its time.
func (c *Core) extendLease(now time.Duration, s *session, validUntilMS int64) bool {
	if validUntilMS == 0 {
		return true
	}
	until := time.Duration(validUntilMS) * time.Millisecond
	if until <= now {
		return false
	}
	s.validUntil = max(s.validUntil, until)
	if now-s.reportAt >= heartbeatReply {
		s.due = true
	}
	return true
}

// endLapsed ends the tasks of entries that have not renewed their lease, and
// returns when the next lease runs out.
func (c *Core) endLapsed(now time.Duration) time.Duration {
	var next time.Duration
	if !c.sized() {
		return next
	}
	for _, s := range c.order {
		switch {
		case s.holding == 0 || s.validUntil == 0:
		case s.validUntil <= now:
			c.endTasksOf(now, s)
		default:
			next = earliest(next, s.validUntil)
		}
	}
	return next
}

// endTasksOf refuses the queued tasks of an entry and aborts the running ones.
func (c *Core) endTasksOf(now time.Duration, s *session) {
	for _, r := range slices.Clone(c.queue) {
		if r.owner == s {
			c.unqueue(r)
			c.refuse(r, verdict.OwnerLost)
		}
	}
	for _, r := range c.active {
		if r.owner == s && !r.aborted {
			c.abortRow(now, r)
		}
	}
	slices.SortFunc(c.abort, func(a, b ids.TaskKey) int { return cmp.Compare(a.Index, b.Index) })
}

// abortRow asks once for the end of a running task.
func (c *Core) abortRow(now time.Duration, r *row) {
	if r.aborted {
		return
	}
	r.aborted = true
	if c.sized() && c.overdue(now, r) {
		c.fitness.stalled++
		c.judgeStall(now)
	}
	c.abort = append(c.abort, r.key)
}
