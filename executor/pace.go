package executor

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// paceTasks is the number of tasks that the pace of a worker averages over. It
	// follows a change of speed within that many tasks.
	paceTasks = 24
	// overdueFactor is the multiple of a task's expected run time beyond which it
	// counts as overdue. Declared run times are rarely wrong by this factor, and
	// hardly ever for most tasks of a worker at a time.
	overdueFactor = 2.0
	// overdueSlack keeps very short tasks from counting as overdue.
	overdueSlack = 50 * time.Millisecond
	// minOverdue is the least number of overdue tasks of an unfit worker.
	minOverdue = 2
	// stallCheck is the time between two looks for overdue tasks.
	stallCheck = 100 * time.Millisecond
)

// pace is how the run times at a worker compare to the declared ones.
type pace struct {
	log   float64 // average logarithm of the ratio
	tasks int     // number of tasks in it, at most paceTasks
}

// learnPace takes in the run time of a task that ended by itself.
func (c *Core) learnPace(r *row, a wire.Answer) {
	if r.declared <= 0 || a.Verdict != verdict.Ran || a.Reason != verdict.Complete || a.RunUS <= 0 {
		return
	}
	p := &c.pace
	p.tasks = min(p.tasks+1, paceTasks)
	ratio := math.Log(float64(a.RunUS) / float64(r.declared.Microseconds()))
	p.log += (ratio - p.log) / float64(p.tasks)
}

// expected is the time that a task is expected to run at this worker.
func (c *Core) expected(r *row) time.Duration {
	return time.Duration(float64(r.declared) * math.Exp(c.pace.log))
}

// fitness is whether the worker may be trusted with tasks. One that is unfit gets
// one task at a time, a second apart, until a task ends as it should.
type fitness struct {
	unfit   bool
	why     string
	checkAt time.Duration // next look for overdue tasks
	probeAt time.Duration // next task while unfit
	// failures in a row, each of another batch.
	failures  int
	lastBatch batchID
	// stalled counts the overdue tasks that entries have taken back since a task last
	// ended as it should. They run elsewhere by now, and still tell of the worker.
	stalled int
}

// batchID identifies the batch of a sized task at an agent.
type batchID struct {
	entry ids.Incarnation
	first uint64
}

const (
	// minFailures failures in a row, of as many batches, make a worker unfit. A
	// batch by itself may be at fault.
	minFailures = 3
	// probeInterval is the time between tasks at an unfit worker. It keeps them
	// below 1 % of the load of a busy service.
	probeInterval = time.Second
)

// judgeEnd takes in how a task ended by itself.
func (c *Core) judgeEnd(now time.Duration, r *row, a wire.Answer) {
	f := &c.fitness
	if r.size.IsZero() || a.Verdict != verdict.Ran || a.Reason == verdict.Canceled {
		return
	}
	if a.Reason == verdict.Complete {
		f.failures, f.stalled = 0, 0
		c.setFit(now, true, "a task ended as it should")
		return
	}
	if id := (batchID{r.owner.entry, r.batch}); id != f.lastBatch {
		f.lastBatch = id
		f.failures++
	}
	if f.failures >= minFailures {
		c.setFit(now, false, "tasks of several batches failed in a row")
	}
}

func (c *Core) setFit(now time.Duration, fit bool, why string) {
	f := &c.fitness
	if f.unfit == !fit {
		return
	}
	f.unfit, f.why = !fit, why
	f.probeAt = now + probeInterval
	for _, s := range c.order {
		s.due = s.due || s.connected
	}
}

// Unfit returns why the worker is not trusted with tasks, empty if it is.
func (c *Core) Unfit() string {
	if !c.fitness.unfit {
		return ""
	}
	return c.fitness.why
}

// mayProbe reports whether an unfit worker may get a task now.
func (c *Core) mayProbe(now time.Duration) bool {
	return c.running+c.queued == 0 && now >= c.fitness.probeAt
}

// checkStall finds out whether most tasks are overdue, and returns when to look again.
func (c *Core) checkStall(now time.Duration) time.Duration {
	f := &c.fitness
	if !c.sized() || len(c.active) == 0 {
		if f.unfit && now < f.probeAt {
			return f.probeAt
		}
		return 0
	}
	if now < f.checkAt {
		return f.checkAt
	}
	f.checkAt = now + stallCheck
	c.judgeStall(now)
	return f.checkAt
}

// judgeStall holds the overdue tasks against all.
func (c *Core) judgeStall(now time.Duration) {
	overdue := c.fitness.stalled
	for _, r := range c.active {
		if !r.aborted && c.overdue(now, r) {
			overdue++
		}
	}
	if overdue >= minOverdue && 2*overdue > len(c.active)+c.fitness.stalled {
		c.setFit(now, false, "most tasks run far longer than they should")
	}
}

// overdue reports whether a running task takes far longer than it should.
func (c *Core) overdue(now time.Duration, r *row) bool {
	limit := time.Duration(overdueFactor*float64(c.expected(r))) + overdueSlack
	return r.declared > 0 && now-r.began > limit
}
