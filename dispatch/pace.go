package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// priorTasks is the number of tasks that the pace of a worker's former
	// incarnation counts for.
	priorTasks = 4
	// paceDrift is the drift of the average pace that is corrected.
	paceDrift = 0.02
	// rescueStalled and rescueAlone are the multiples of the expected run time after
	// which a task is started elsewhere: at a worker that has stalled, and at one
	// that has not while the other tasks of the step have ended.
	rescueStalled = 0.5
	rescueAlone   = 2.0
	// rescueSlack keeps very short tasks where they are.
	rescueSlack = 50 * time.Millisecond
)

// startPace gives a new incarnation the pace of its node's former one.
func (c *Core) startPace(u *upstream) {
	if !u.sized() {
		return
	}
	u.prior = u.svc.basePace
	if p, ok := c.paces[u.member.Node]; ok {
		u.prior = p
	}
	u.pace = u.prior
}

// setPace takes over the pace that an agent has learnt from all its tasks.
func (c *Core) setPace(u *upstream, r wire.Report) {
	if !u.sized() {
		return
	}
	n := float64(r.PaceTasks)
	u.pace = (n*r.Pace + priorTasks*u.prior) / (n + priorTasks)
	c.paces[u.member.Node] = u.pace
	u.unfit = r.Unfit
	u.stall = 0
	if r.Unfit {
		u.stall = stallPenalty
	}
}

// recenterPace keeps the average of the paces, against which the slowness of a
// worker is measured.
func (c *Core) recenterPace(s *service) {
	sum, n := 0.0, 0
	for _, u := range s.ups {
		if u.sized() {
			sum += u.pace
			n++
		}
	}
	if n == 0 || math.Abs(sum/float64(n)-s.basePace) < paceDrift {
		return
	}
	s.basePace = sum / float64(n)
	for _, u := range s.ups {
		if u.sized() {
			c.reindex(u)
		}
	}
}

// learnError updates the error of expected run times with a task that has ended.
func (c *Core) learnError(u *upstream, j *job, a *wire.Answer) {
	if j == nil || j.batch == nil || a.Verdict != verdict.Ran {
		return
	}
	st := j.stepAt(int(a.Key.Index - j.key.Index))
	if st.runTime <= 0 {
		return
	}
	e := math.Log(float64(a.RunUS)/1e6/st.runTime/st.placement.far(u)) - u.pace
	j.batch.ended++
	j.batch.ratio += e
	u.svc.runTimes(j.batch.queue).learn(st.runTime, e)
}

// expectedRun is the time that a task of a step is expected to take on u.
func (u *upstream) expectedRun(st *step) time.Duration {
	return seconds(st.runTime * st.placement.far(u) * math.Exp(u.pace))
}

// rescue has tasks at u that take far longer than they should started elsewhere,
// if they can still end there before the deadline.
func (c *Core) rescue(now time.Duration, u *upstream) {
	if !u.connected || u.svc.free.size == 0 {
		return
	}
	for _, a := range u.attempts {
		j := a.job
		if j.batch == nil || a.orphan || a.restarting || !a.overdue(now) {
			continue
		}
		if !j.outlook().mayEnd(now, j.deadline, j.stepAt(a.index).runTime, c.fastestOpen(j, a.index)) {
			continue
		}
		a.restarting = true
		u.mailbox.aborts = append(u.mailbox.aborts, j.keyOf(a.index))
		c.mark(u)
		c.decide(now, "rescue", u.inc, j.keyOf(a.index), "overdue")
	}
}

// fastestOpen is the slowness of the fastest open worker for a task, infinite if there
// is none.
func (c *Core) fastestOpen(j *job, index int) float64 {
	least := math.Inf(1)
	j.candidates(&j.svc.free, index, c.random(), func(u *upstream) { least = min(least, j.slowAt(index, u)) })
	return least
}

// overdue reports whether a task takes so long that its worker is at fault. A
// task by itself may just be longer than declared; the other tasks of its step
// tell, or the other tasks of its worker.
func (a *attempt) overdue(now time.Duration) bool {
	st := a.job.stepAt(a.index)
	if st.runTime <= 0 {
		return false
	}
	elapsed := now - a.sentAt
	expected := float64(a.up.expectedRun(st))
	if a.up.unfit && elapsed > time.Duration(rescueStalled*expected)+rescueSlack {
		return true
	}
	b := a.job.batch
	if b.ended == 0 {
		return false
	}
	expected *= math.Exp(b.ratio / float64(b.ended))
	return elapsed > time.Duration(rescueAlone*expected)+rescueSlack
}
