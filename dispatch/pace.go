package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// runRatioPriorTasks is the number of tasks that the pace of a worker's former
	// incarnation counts for.
	runRatioPriorTasks = 4
	// runRatioDriftLimit is the drift of the average pace that is corrected.
	runRatioDriftLimit = 0.02
	// unfitRestartFactor and rescueAlone are the multiples of the expected run time after
	// which a task is started elsewhere: at a worker that has stalled, and at one
	// that has not while the other tasks of the step have ended.
	unfitRestartFactor     = 0.5
	stragglerRestartFactor = 2.0
	// restartSlack keeps very short tasks where they are.
	restartSlack = 50 * time.Millisecond
)

// initLogRunRatio gives a new incarnation the pace of its node's former one.
func (c *Core) initLogRunRatio(u *upstream) {
	if !u.isWorker() {
		return
	}
	u.priorLogRunRatio = u.svc.meanLogRunRatio
	if p, ok := c.logRunRatios[u.member.Node]; ok {
		u.priorLogRunRatio = p
	}
	u.logRunRatio = u.priorLogRunRatio
}

// updateLogRunRatio takes over the pace that an agent has learnt from all its tasks.
func (c *Core) updateLogRunRatio(u *upstream, r wire.Report) {
	if !u.isWorker() {
		return
	}
	n := float64(r.PaceTasks)
	u.logRunRatio = (n*r.Pace + runRatioPriorTasks*u.priorLogRunRatio) / (n + runRatioPriorTasks)
	c.logRunRatios[u.member.Node] = u.logRunRatio
	u.unfit = r.Unfit
	u.stallLogCost = 0
	if r.Unfit {
		u.stallLogCost = stallPenalty
	}
}

// recenterWorkerRunRatios keeps the average of the paces, against which the slowness of a
// worker is measured.
func (c *Core) recenterWorkerRunRatios(s *service) {
	sum, n := 0.0, 0
	for _, u := range s.upstreams {
		if u.isWorker() {
			sum += u.logRunRatio
			n++
		}
	}
	if n == 0 || math.Abs(sum/float64(n)-s.meanLogRunRatio) < runRatioDriftLimit {
		return
	}
	s.meanLogRunRatio = sum / float64(n)
	for _, u := range s.upstreams {
		if u.isWorker() {
			c.reindex(u)
		}
	}
}

// learnDeclaredError updates the error of expected run times with a task that has ended.
func (c *Core) learnDeclaredError(u *upstream, j *job, a *wire.Answer) {
	if j == nil || j.batch == nil || a.Verdict != verdict.Ran {
		return
	}
	st := j.stepOfTask(int(a.Key.Index - j.key.Index))
	if st.runTime <= 0 {
		return
	}
	e := math.Log(float64(a.RunUS)/1e6/st.runTime/st.placement.remoteFactor(u)) - u.logRunRatio
	j.batch.measuredTasks++
	j.batch.logRunRatioSum += e
	u.svc.runTimeRegression(j.batch.queueName).learn(st.runTime, e)
}

// expectedRunTime is the time that a task of a step is expected to take on u.
func (u *upstream) expectedRunTime(st *step) time.Duration {
	return seconds(st.runTime * st.placement.remoteFactor(u) * math.Exp(u.logRunRatio))
}

// restartOverdueTasks has tasks at u that take far longer than they should started elsewhere,
// if they can still end there before the deadline.
func (c *Core) restartOverdueTasks(now time.Duration, u *upstream) {
	if !u.connected || u.svc.free.size == 0 {
		return
	}
	for _, a := range u.attempts {
		j := a.job
		if j.batch == nil || a.abandoned || a.restartRequested || !a.isOverdue(now) {
			continue
		}
		if !j.runTimeFactor().mayMeetDeadline(now, j.deadline, j.stepOfTask(a.taskIndex).runTime, c.minFreeSlowness(j, a.taskIndex)) {
			continue
		}
		a.restartRequested = true
		u.outbox.aborts = append(u.outbox.aborts, j.taskKey(a.taskIndex))
		c.markForSend(u)
		c.recordDecision(now, "rescue", u.incarnation, j.taskKey(a.taskIndex), "overdue")
	}
}

// minFreeSlowness is the slowness of the fastest open worker for a task, infinite if there
// is none.
func (c *Core) minFreeSlowness(j *job, index int) float64 {
	least := math.Inf(1)
	j.forEachCandidate(&j.svc.free, index, c.random(), func(u *upstream) { least = min(least, j.slownessAt(index, u)) })
	return least
}

// isOverdue reports whether a task takes so long that its worker is at fault. A
// task by itself may just be longer than declared; the other tasks of its step
// tell, or the other tasks of its worker.
func (a *attempt) isOverdue(now time.Duration) bool {
	st := a.job.stepOfTask(a.taskIndex)
	if st.runTime <= 0 {
		return false
	}
	elapsed := now - a.sentAt
	expected := float64(a.target.expectedRunTime(st))
	if a.target.unfit && elapsed > time.Duration(unfitRestartFactor*expected)+restartSlack {
		return true
	}
	b := a.job.batch
	if b.measuredTasks == 0 {
		return false
	}
	expected *= math.Exp(b.logRunRatioSum / float64(b.measuredTasks))
	return elapsed > time.Duration(stragglerRestartFactor*expected)+restartSlack
}
