package executor

import (
	"math"
	"time"

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
	// minOverdue is the least number of overdue tasks of a stalled worker.
	minOverdue = 2
	// stallCheck is the time between two looks for overdue tasks.
	stallCheck = 100 * time.Millisecond
)

// pace is how the run times at a worker compare to the declared ones.
type pace struct {
	log     float64 // average logarithm of the ratio
	tasks   int     // number of tasks in it, at most paceTasks
	stalled bool
	checkAt time.Duration
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

// checkStall notes whether most running tasks are overdue, and returns when to
// look again.
func (c *Core) checkStall(now time.Duration) time.Duration {
	if !c.sized() || len(c.active) == 0 {
		c.pace.stalled = false
		return 0
	}
	if now < c.pace.checkAt {
		return c.pace.checkAt
	}
	c.pace.checkAt = now + stallCheck
	overdue := 0
	for _, r := range c.active {
		if r.declared > 0 && now-r.began > time.Duration(overdueFactor*float64(c.expected(r)))+overdueSlack {
			overdue++
		}
	}
	stalled := overdue >= minOverdue && 2*overdue > len(c.active)
	if stalled != c.pace.stalled {
		c.pace.stalled = stalled
		for _, s := range c.order {
			s.due = s.due || s.connected
		}
	}
	return c.pace.checkAt
}
