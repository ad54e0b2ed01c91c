package executor

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxRatioSamples is the averaging window of a worker's declaredRatio, in tasks. The
	// average follows a change of speed within that many tasks.
	maxRatioSamples = 24
	// overdueFactor is the multiple of a task's expected run time after which the task
	// is overdue. Declared run times are rarely wrong by this factor, and hardly ever
	// for most tasks of a worker at the same time.
	overdueFactor = 2.0
	// overdueSlack is added to the limit, so that very short tasks don't become overdue.
	overdueSlack = 50 * time.Millisecond
	// minOverdueTasks is the number of overdue tasks below which a worker is not taken
	// to be stalled.
	minOverdueTasks = 2
	// stallCheckInterval is the time between two checks for overdue tasks.
	stallCheckInterval = 100 * time.Millisecond
)

// declaredRatio is the moving average of a worker's actual run times relative to the
// declared ones.
type declaredRatio struct {
	meanLog float64 // mean of the natural logarithm of the ratio
	samples int     // tasks in the average, at most maxRatioSamples
}

// updateDeclaredRatio adds the run time of a completed task. Tasks without a declared
// run time and tasks that failed or were aborted are left out.
func (c *Core) updateDeclaredRatio(r *row, a wire.Answer) {
	if r.declaredRunTime <= 0 || a.Verdict != verdict.Ran || a.Reason != verdict.Complete || a.RunUS <= 0 {
		return
	}
	p := &c.declaredRatio
	p.samples = min(p.samples+1, maxRatioSamples)
	ratio := math.Log(float64(a.RunUS) / float64(r.declaredRunTime.Microseconds()))
	p.meanLog += (ratio - p.meanLog) / float64(p.samples)
}

// expectedRunTime scales the declared run time of a task by the worker's declaredRatio.
func (c *Core) expectedRunTime(r *row) time.Duration {
	return time.Duration(float64(r.declaredRunTime) * math.Exp(c.declaredRatio.meanLog))
}

// fitness is the circuit breaker of a worker. An unfit worker gets one task at a time,
// probeInterval apart, until a task completes.
type fitness struct {
	unfit          bool
	reason         string
	nextStallCheck time.Duration // earliest time of the next check for overdue tasks
	nextProbe      time.Duration // earliest start of the next task while unfit
	// consecutiveFailures counts failures since the last completed task. Successive
	// failures of the same batch count once.
	consecutiveFailures int
	lastFailedBatch     batchID
	// abortedOverdue counts the overdue tasks that were aborted since the last completed
	// task. They may run elsewhere by now but still indicate a stall of this worker.
	abortedOverdue int
}

// batchID identifies the batch of a sized task at an agent.
type batchID struct {
	entry      ids.Incarnation
	firstIndex uint64
}

const (
	// unfitAfterFailures is the number of consecutive failures, each of another batch
	// than the one before, that makes a worker unfit. Failures of a single batch may be
	// the fault of the batch.
	unfitAfterFailures = 3
	// probeInterval is the minimum time between task starts at an unfit worker. It keeps
	// probes below 1 % of the load of a busy service.
	probeInterval = time.Second
)

// recordOutcome updates the fitness after a sized task has completed or failed. Aborted
// tasks are ignored.
func (c *Core) recordOutcome(now time.Duration, r *row, a wire.Answer) {
	f := &c.fitness
	if r.size.IsZero() || a.Verdict != verdict.Ran || a.Reason == verdict.Canceled {
		return
	}
	if a.Reason == verdict.Complete {
		f.consecutiveFailures, f.abortedOverdue = 0, 0
		c.setFitness(now, true, "a task completed")
		return
	}
	if id := (batchID{r.owner.entry, r.task.batch}); id != f.lastFailedBatch {
		f.lastFailedBatch = id
		f.consecutiveFailures++
	}
	if f.consecutiveFailures >= unfitAfterFailures {
		c.setFitness(now, false, "tasks of several batches failed consecutively")
	}
}

// setFitness records whether the worker is fit and why, and forces a report of a
// change to all connected entries.
func (c *Core) setFitness(now time.Duration, fit bool, reason string) {
	f := &c.fitness
	if f.unfit == !fit {
		return
	}
	f.unfit, f.reason = !fit, reason
	f.nextProbe = now + probeInterval
	for _, s := range c.sortedSessions {
		s.reportDue = s.reportDue || s.connected
	}
}

// UnfitReason returns why the worker is unfit, or "" if it is fit.
func (c *Core) UnfitReason() string {
	if !c.fitness.unfit {
		return ""
	}
	return c.fitness.reason
}

// probeAllowed reports whether an unfit worker may be given a task now.
func (c *Core) probeAllowed(now time.Duration) bool {
	return c.running+c.queued == 0 && now >= c.fitness.nextProbe
}

// checkStall runs detectStall when a check is due, and returns when the core needs
// the next tick for it.
func (c *Core) checkStall(now time.Duration) time.Duration {
	f := &c.fitness
	if !c.sized() || len(c.runningRows) == 0 {
		if f.unfit && now < f.nextProbe {
			return f.nextProbe
		}
		return 0
	}
	if now < f.nextStallCheck {
		return f.nextStallCheck
	}
	f.nextStallCheck = now + stallCheckInterval
	c.detectStall(now)
	return f.nextStallCheck
}

// detectStall makes the worker unfit if more than half of its tasks are overdue.
func (c *Core) detectStall(now time.Duration) {
	overdue := c.fitness.abortedOverdue
	for _, r := range c.runningRows {
		if !r.abortQueued && c.overdue(now, r) {
			overdue++
		}
	}
	if overdue >= minOverdueTasks && 2*overdue > len(c.runningRows)+c.fitness.abortedOverdue {
		c.setFitness(now, false, "most tasks are overdue")
	}
}

// overdue reports whether a task has run much longer than expected.
func (c *Core) overdue(now time.Duration, r *row) bool {
	limit := time.Duration(overdueFactor*float64(c.expectedRunTime(r))) + overdueSlack
	return r.declaredRunTime > 0 && now-r.startedAt > limit
}
