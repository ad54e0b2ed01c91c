package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// declaredRatioPriorTasks is the number of tasks that the logDeclaredRatio
	// of a worker's former incarnation counts for.
	declaredRatioPriorTasks = 4
	// declaredRatioDriftLimit is the drift of meanLogDeclaredRatio from which
	// it is corrected.
	declaredRatioDriftLimit = 0.02
	// unfitRestartFactor and stragglerRestartFactor are the multiples of the
	// expected run time after which a task is started elsewhere: the first on a
	// worker that reports to be unfit, the second on other workers, where tasks
	// of the same batch have ended.
	unfitRestartFactor     = 0.5
	stragglerRestartFactor = 2.0
	// restartSlack keeps very short tasks from being restarted.
	restartSlack = 50 * time.Millisecond
)

// initLogDeclaredRatio gives a new incarnation the logDeclaredRatio of its
// node's former one, or the mean.
func (c *Core) initLogDeclaredRatio(u *upstream) {
	if !u.isWorker() {
		return
	}
	u.priorLogDeclaredRatio = u.svc.meanLogDeclaredRatio
	if p, ok := c.logDeclaredRatios[u.member.Node]; ok {
		u.priorLogDeclaredRatio = p
	}
	u.logDeclaredRatio = u.priorLogDeclaredRatio
}

// updateLogDeclaredRatio takes over the ratio that an agent has learnt from
// all its tasks.
func (c *Core) updateLogDeclaredRatio(u *upstream, r wire.Report) {
	if !u.isWorker() {
		return
	}
	n := float64(r.PaceTasks)
	u.logDeclaredRatio = (n*r.Pace + declaredRatioPriorTasks*u.priorLogDeclaredRatio) / (n + declaredRatioPriorTasks)
	c.logDeclaredRatios[u.member.Node] = u.logDeclaredRatio
	u.unfit = r.Unfit
	u.stallLogCost = 0
	if r.Unfit {
		u.stallLogCost = stallPenalty
	}
}

// recenterDeclaredRatios updates meanLogDeclaredRatio, relative to which the
// slowness of workers is measured, once it has drifted.
func (c *Core) recenterDeclaredRatios(s *service) {
	sum, n := 0.0, 0
	for _, u := range s.upstreams {
		if u.isWorker() {
			sum += u.logDeclaredRatio
			n++
		}
	}
	if n == 0 || math.Abs(sum/float64(n)-s.meanLogDeclaredRatio) < declaredRatioDriftLimit {
		return
	}
	s.meanLogDeclaredRatio = sum / float64(n)
	for _, u := range s.upstreams {
		if u.isWorker() {
			c.reindex(u)
		}
	}
}

// learnDeclaredError updates the relation of true to declared run times with a
// task that has ended.
func (c *Core) learnDeclaredError(u *upstream, j *job, a *wire.Answer) {
	if j == nil || j.batch == nil || a.Verdict != verdict.Ran {
		return
	}
	st := j.stepOfTask(int(a.Key.Index - j.key.Index))
	if st.runTime <= 0 {
		return
	}
	logRatio := math.Log(float64(a.RunUS)/1e6/st.runTime/st.placement.remoteFactor(u)) - u.logDeclaredRatio
	j.batch.measuredTasks++
	j.batch.logExpectedRatioSum += logRatio
	u.svc.runTimeRegression(j.batch.queueName).learn(st.runTime, logRatio)
}

// learnAbortedTask updates the same relation with a task that was aborted while it ran.
func learnAbortedTask(u *upstream, a *attempt, ans *wire.Answer) {
	if a.job.batch == nil || u.unfit {
		return
	}
	st := a.job.stepOfTask(a.taskIndex)
	if st.runTime <= 0 {
		return
	}
	excess := math.Log(float64(ans.RunUS)/1e6/st.runTime/st.placement.remoteFactor(u)) - u.logDeclaredRatio
	u.svc.runTimeRegression(a.job.batch.queueName).learnAborted(st.runTime, excess)
}

// expectedRunTime returns the expected run time of a task of a step on u.
func (u *upstream) expectedRunTime(st *step) time.Duration {
	return seconds(st.runTime * st.placement.remoteFactor(u) * math.Exp(u.logDeclaredRatio))
}

// restartOverdueTasks aborts tasks at u that are overdue, so that they start
// elsewhere, if they can still end there before the deadline.
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

// minFreeSlowness returns the slowness of the fastest worker with room for a task,
// infinite if there is none.
func (c *Core) minFreeSlowness(j *job, index int) float64 {
	least := math.Inf(1)
	j.forEachCandidate(&j.svc.free, index, c.random(), (*upstream).hasRoomFor, func(u *upstream) { least = min(least, j.slownessAt(index, u)) })
	return least
}

// isOverdue reports whether a task takes so long that its worker must be at
// fault. A task alone may just be longer than declared, so the measured tasks of
// its batch are compared, or the worker's own report that it is unfit.
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
	expected *= math.Exp(b.logExpectedRatioSum / float64(b.measuredTasks))
	return elapsed > time.Duration(stragglerRestartFactor*expected)+restartSlack
}
