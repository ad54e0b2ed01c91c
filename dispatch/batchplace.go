package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// occupancyCost is what the last room of a worker costs a task, in units of
	// the probability that its batch is late. It leaves the last room of fast
	// workers to the tasks whose batches would be late elsewhere; occupancyPower
	// makes it matter only there.
	occupancyCost     = 0.25
	occupancyExponent = 6
	// maxBatchCandidates bounds the batches that are considered for the open workers.
	maxBatchCandidates = 8
	// reservedBatches is the room on fast workers that is kept for the batches that
	// need them, in batches of average width.
	reservedBatches = 2.0
	// maxReservedShare is the part of a worker's slots that is kept at most.
	maxReservedShare = 0.25
	// fastBatchWeight is the weight of a batch in the averages of these batches, which
	// are reserved for while their share is at least minNeedyShare.
	fastBatchWeight   = 1.0 / 64
	minFastBatchShare = 0.005
	// refusalLateProbability is the probability of being late above which a batch that has not
	// started is refused.
	refusalLateProbability = 0.5
	// maxLateProbability is the probability of being late above which a task leaves a
	// worker to others and waits for a faster one on which it may be in time.
	maxLateProbability = 0.35
)

// chooseBatchTask returns the batch that is to start a task and its worker. Those
// that can be in time come first. A task waits for a faster worker only while it
// may be in time there and would probably be late on those that are open. While
// all workers are taken, a task is placed in look-ahead at one.
func (c *Core) chooseBatchTask(now time.Duration, s *service) (j *job, u *upstream, lookAhead bool) {
	if s.free.size == 0 && s.lookAhead.size == 0 {
		return nil, nil, false
	}
	for _, onTime := range [...]bool{true, false} {
		for _, t := range s.teamQueues.heap {
			for _, j := range t.jobs[:min(len(t.jobs), maxBatchCandidates)] {
				if s.canBeOnTime(now, j) != onTime {
					continue
				}
				if u := c.bestFreeWorker(now, s, j); u != nil {
					return j, u, false
				}
				if u := c.bestLookAheadWorker(now, s, j); u != nil {
					return j, u, true
				}
			}
		}
	}
	return nil, nil, false
}

// bestLookAheadWorker returns the worker in whose look-ahead the next task of j is most likely
// to be in time, or nil. The agent starts what waits there as soon as there is room,
// without a round trip, and in order of urgency over all entries.
func (c *Core) bestLookAheadWorker(now time.Duration, s *service, j *job) *upstream {
	var best *upstream
	least := math.Inf(1)
	j.forEachCandidate(&s.lookAhead, j.nextTask(), c.random(), func(u *upstream) {
		start, slowness := now+s.lookAheadWait(u), j.slownessAt(j.nextTask(), u)
		if !s.nextTaskRiskAccepted(start, j, slowness) || s.nextTaskLateProbability(start, j, slowness) > maxLateProbability {
			return
		}
		if expectedLoss := s.expectedLoss(start, j, slowness); expectedLoss < least {
			best, least = u, expectedLoss
		}
	})
	return best
}

// lookAheadWait is how long a task is expected to wait in look-ahead at u.
func (s *service) lookAheadWait(u *upstream) time.Duration {
	ends := s.averageRunTime() * u.slowness / float64(max(u.slots(), 1))
	return seconds(float64(u.backlog()+1) * ends)
}

// canBeOnTime reports whether the next task of j would probably be in time on the
// fastest worker. The other batches get the room that these leave.
func (s *service) canBeOnTime(now time.Duration, j *job) bool {
	return s.nextTaskLateProbability(now, j, s.minSlowness) <= maxLateProbability
}

// failInfeasibleBatchesOf ends the waiting batches that can't succeed any more. One that has
// not started is refused once it will hardly be on time on the fastest worker:
// while work waits, all workers are taken, and a late answer would make another
// one late. One that has started goes on until it can't end before its deadline.
func (c *Core) failInfeasibleBatchesOf(now time.Duration, s *service) {
	for _, j := range s.teamQueues.waitingJobs() {
		switch {
		case j.batch == nil:
		case now < c.startupEndsAt && !j.mayHaveStarted():
			// The caller is left the other half of its time to ask elsewhere.
			if now-j.batch.arrivedAt > (j.deadline-j.batch.arrivedAt)/2 {
				c.failJob(now, j, wire.JobFailed, verdict.Refuse(verdict.NoUpstream, "no worker has connected in time").After(noUpstreamRetry))
			}
		case !j.mayHaveStarted() && s.nextTaskLateProbability(now, j, s.minSlowness) >= refusalLateProbability && c.bestFreeWorker(now, s, j) == nil:
			wait := seconds(s.waitingWorkBefore(j.batch) / max(s.capacity(), 1))
			c.failJob(now, j, wire.JobFailed, verdict.Refuse(verdict.Overloaded, "no worker became free in time").After(clampRetryAfter(wait)))
		case !j.runTimeFactor().mayMeetDeadline(now, j.deadline, j.stepOfTask(j.nextTask()).runTime, s.minSlowness):
			c.failJob(now, j, wire.JobFailed, c.unfinishedError(j, verdict.DeadlinePassed, "the deadline can't be met"))
		}
	}
}

// mayHaveStarted reports whether a task of j may have run.
func (j *job) mayHaveStarted() bool { return j.outstanding > 0 || j.done > 0 || j.mayHaveRun }

// bestFreeWorker returns the open worker for the next task of j, or nil: the one with
// the least sum of the loss expected there and the price of its room.
func (c *Core) bestFreeWorker(now time.Duration, s *service, j *job) *upstream {
	var best *upstream
	least := math.Inf(1)
	onTime := s.canBeOnTime(now, j)
	needsFast := j.runTimeFactor().needsFastWorker(now, j.deadline, j.stepOfTask(j.nextTask()).runTime)
	j.forEachCandidate(&s.free, j.nextTask(), c.random(), func(u *upstream) {
		slowness := j.slownessAt(j.nextTask(), u)
		if !s.nextTaskRiskAccepted(now, j, slowness) || !needsFast && s.isReserved(u) {
			return
		}
		if onTime && s.nextTaskLateProbability(now, j, slowness) > maxLateProbability {
			return
		}
		cost := s.expectedLoss(now, j, slowness) + occupancyCost*math.Pow(u.occupancy(), occupancyExponent)
		if cost < least {
			best, least = u, cost
		}
	})
	return best
}

// occupancy is the part of the slots of u that is taken.
func (u *upstream) occupancy() float64 {
	return float64(u.otherEntryTasks+u.outstanding) / float64(max(u.slots(), 1))
}

// nextTaskRiskAccepted reports whether the next task of j may be risked on a worker of
// the given slowness.
func (s *service) nextTaskRiskAccepted(now time.Duration, j *job, slowness float64) bool {
	return s.missRiskAccepted(j.runTimeFactor(), now, j.deadline, j.stepOfTask(j.nextTask()).runTime, slowness)
}

// isReserved reports whether the room left at u is kept for tasks that need a
// fast worker. A small reserve is enough for these to find room nearly always.
func (s *service) isReserved(u *upstream) bool {
	if s.fastBatchWidth == 0 || u.slowness > s.minSlowness*fastSlownessRange {
		return false
	}
	if s.fastWorkers == len(s.upstreams) {
		return false // nobody is slower, so nothing would be left to others
	}
	reserve := reservedBatches * s.fastBatchWidth / float64(max(s.fastWorkers, 1))
	reserve = min(reserve, maxReservedShare*float64(u.slots()))
	return float64(u.slots()-u.otherEntryTasks-u.outstanding) <= reserve
}

// updateFastBatchAverages updates the number of tasks of the batches that need fast workers.
func (s *service) updateFastBatchAverages(now time.Duration, b Batch) {
	o := s.runTimeFactorOf(b)
	tasks := 0
	for _, st := range b.Steps {
		if o.needsFastWorker(now, b.Deadline, st.RunTime.Seconds()) {
			tasks = max(tasks, st.Tasks)
		}
	}
	s.fastBatchShare -= s.fastBatchShare * fastBatchWeight
	if tasks > 0 {
		s.fastBatchShare += fastBatchWeight
		if s.fastBatchWidth == 0 {
			s.fastBatchWidth = float64(tasks)
		}
		s.fastBatchWidth += fastBatchWeight * (float64(tasks) - s.fastBatchWidth)
	}
	if s.fastBatchShare < minFastBatchShare {
		s.fastBatchWidth = 0
	}
}

// updateFastestWorkers updates the slowness of the fastest worker in service.
func (s *service) updateFastestWorkers() {
	s.minSlowness = 1
	found := false
	for _, u := range s.upstreams {
		if u.usable() && u.health != Quarantined && (!found || u.slowness < s.minSlowness) {
			s.minSlowness, found = u.slowness, true
		}
	}
	s.fastWorkers = 0
	for _, u := range s.upstreams {
		if u.usable() && u.slowness <= s.minSlowness*fastSlownessRange {
			s.fastWorkers++
		}
	}
}

// feasibilityInterval is the time between two passes over the waiting batches.
const feasibilityInterval = 10 * time.Millisecond

// failInfeasibleBatches ends waiting batches that can't succeed, service by service.
func (c *Core) failInfeasibleBatches(now time.Duration) {
	if now < c.nextFeasibilityCheckAt {
		return
	}
	c.nextFeasibilityCheckAt = 0
	for _, s := range c.sortedServices {
		if s.teamQueues.waitingTasks > 0 && s.taskSizes.n > 0 {
			c.failInfeasibleBatchesOf(now, s)
			c.nextFeasibilityCheckAt = now + feasibilityInterval
		}
	}
}
