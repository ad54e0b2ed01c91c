package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// occupancyCost is the cost of placing a task into the last free slot of a
	// worker, in units of the probability that its batch is late. It keeps the
	// last slots of fast workers for tasks whose batches would be late
	// elsewhere. occupancyExponent makes the cost rise only when few slots are
	// left.
	occupancyCost     = 0.25
	occupancyExponent = 6
	// maxBatchCandidates bounds the batches of a team that are considered for
	// the open workers, apart from those for which smallerDemand looks further.
	maxBatchCandidates = 8
	// maxSmallerDemands bounds the batches that smallerDemand lets pass.
	maxSmallerDemands = 64
	// reservedBatches is the room on fast workers that is reserved for the
	// batches that need them, in batches of mean width.
	reservedBatches = 2.0
	// maxReservedShare is the largest share of a worker's slots that is
	// reserved.
	maxReservedShare = 0.25
	// needsFastWeight is the weight of a batch in the moving averages of the
	// batches that need fast workers. Room is reserved only while their share is
	// at least minNeedsFastShare.
	needsFastWeight   = 1.0 / 64
	minNeedsFastShare = 0.005
	// refusalLateProbability is the probability of being late from which a batch
	// that has not started is refused.
	refusalLateProbability = 0.5
	// maxLateProbability is the probability of being late above which a task
	// waits for a faster worker, on which it may be on time, and leaves the open
	// one to others.
	maxLateProbability = 0.35
)

// chooseBatchTask returns the batch whose next task is to start, and the worker.
// Batches that can be on time come first. A task waits for a faster worker only
// while it may be on time there and would probably be late on the open ones.
// While all workers are full, the task is placed as look-ahead. Behind the first
// batches, only those are considered that may fit where the ones before don't: a
// queue of large tasks would otherwise leave workers idle that small ones fit.
func (c *Core) chooseBatchTask(now time.Duration, s *service) (j *job, u *upstream, lookAhead bool) {
	if s.free.size == 0 && s.lookAhead.size == 0 {
		return nil, nil, false
	}
	for _, onTime := range [...]bool{true, false} {
		for _, t := range s.teamQueues.heap {
			var demand smallerDemand
			for i, j := range t.jobs {
				isFirst := i < maxBatchCandidates
				if !isFirst && (s.free.size == 0 || demand.passed == maxSmallerDemands) {
					break
				}
				if j.batch == nil || !isFirst && !demand.mayFit(j) || s.canBeOnTime(now, j) != onTime {
					continue
				}
				u, someRoom := c.bestFreeWorker(now, s, j)
				if u != nil {
					return j, u, false
				}
				if !someRoom {
					demand.noteUnplaced(j)
				}
				if !isFirst {
					continue
				}
				if u := c.bestLookAheadWorker(now, s, j); u != nil {
					return j, u, true
				}
			}
		}
	}
	return nil, nil, false
}

// bestLookAheadWorker returns the worker on which the next task of j, placed as
// look-ahead, has the least expected loss, or nil. The agent starts such a task
// as soon as there is room, without a round trip, and in order of urgency over
// all entries.
func (c *Core) bestLookAheadWorker(now time.Duration, s *service, j *job) *upstream {
	var best *upstream
	least := math.Inf(1)
	j.forEachCandidate(&s.lookAhead, j.nextTask(), c.random(), (*upstream).fitsCapacity, func(u *upstream) {
		if u.isKeptForUrgent(j.batch.priority, j.stepOfTask(j.nextTask()).size) {
			return // it would start in the next slot that becomes free
		}
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

// lookAheadWait returns how long a task placed as look-ahead is expected to wait
// at u.
func (s *service) lookAheadWait(u *upstream) time.Duration {
	timeBetweenEnds := s.averageRunTime() * u.slowness / float64(max(u.slots(), 1))
	return seconds(float64(u.backlog()+1) * timeBetweenEnds)
}

// canBeOnTime reports whether the next task of j would probably be on time on
// the fastest worker. Batches for which this is false get the room that the
// others leave.
func (s *service) canBeOnTime(now time.Duration, j *job) bool {
	return s.nextTaskLateProbability(now, j, s.minSlowness) <= maxLateProbability
}

// failLateBatchesOf ends the waiting batches that can't succeed any more. A
// batch that has not started is refused once it would probably be late even on
// the fastest worker, unless a worker that suits its next task has a free
// slot: while work waits, all workers are taken, and a late answer would make
// another one late. During startupWait it is refused only once it can't meet its
// deadline: after a loss of all VMs no other entry has workers either. Any other
// batch goes on until its next task would probably miss the deadline.
func (c *Core) failLateBatchesOf(now time.Duration, s *service) {
	for _, j := range s.teamQueues.waitingJobs() {
		switch {
		case j.batch == nil:
		case now < c.startupEndsAt && !j.mayHaveStarted():
			if !j.runTimeFactor().mayMeetDeadline(now, j.deadline, j.batch.chainRunTime, s.minSlowness) {
				c.failJob(now, j, wire.JobFailed, verdict.Refuse(verdict.NoUpstream, "no worker has connected in time").After(noUpstreamRetry))
			}
		case !j.mayHaveStarted() && s.hasUsableUpstream() && !s.fitsSomeUpstream(j.batch):
			// It was taken in before the workers had connected.
			c.failJob(now, j, wire.JobFailed, noFittingWorker(s))
		case !j.mayHaveStarted() && s.waitsTooLong(now, j) && !c.hasFreeWorker(now, s, j):
			wait := seconds(s.waitingWorkBefore(j.batch) / max(s.capacity(), 1))
			c.failJob(now, j, wire.JobFailed, verdict.Refuse(verdict.Overloaded, "no worker became free in time").After(clampRetryAfter(wait)))
		case !j.runTimeFactor().mayMeetDeadline(now, j.deadline, j.stepOfTask(j.nextTask()).runTime, s.minSlowness):
			c.failJob(now, j, wire.JobFailed, c.unfinishedError(j, verdict.DeadlinePassed, "the deadline can't be met"))
		}
	}
}

// hasFreeWorker reports whether a worker suits the next task of j and has room for it.
func (c *Core) hasFreeWorker(now time.Duration, s *service, j *job) bool {
	u, _ := c.bestFreeWorker(now, s, j)
	return u != nil
}

// waitsTooLong reports whether a batch that has not started would probably be late even on
// the fastest worker, or has to have started by now.
func (s *service) waitsTooLong(now time.Duration, j *job) bool {
	return s.nextTaskLateProbability(now, j, s.minSlowness) >= refusalLateProbability ||
		j.batch.startBy > 0 && now >= j.batch.startBy
}

// mayHaveStarted reports whether a task of j has started or may have.
func (j *job) mayHaveStarted() bool { return j.outstanding > 0 || j.done > 0 || j.mayHaveRun }

// smallerDemand finds the batches that may have room although those before have none.
type smallerDemand struct {
	unplaced []demand
	passed   int
}

// demand is what a task needs of a worker.
type demand struct {
	size  wire.Resources
	label string
}

// noteUnplaced records that no worker has room for the next task of j. A task that avoids
// some workers says nothing about the others.
func (d *smallerDemand) noteUnplaced(j *job) {
	index := j.nextTask()
	st := j.stepOfTask(index)
	if st.placement.MaxPerWorker == 0 && j.tasks[index].lastFailedOn == nil {
		d.unplaced = append(d.unplaced, demand{st.size, st.placement.Label})
	}
}

// mayFit reports whether there may be room for the next task of j, since no task that
// needs as little has been found without room. It counts the tasks for which there may.
func (d *smallerDemand) mayFit(j *job) bool {
	st := j.stepOfTask(j.nextTask())
	for _, o := range d.unplaced {
		if st.size.Contains(o.size) && (o.label == "" || o.label == st.placement.Label) {
			return false
		}
	}
	d.passed++
	return true
}

// bestFreeWorker returns the worker with room for the next task of j, or nil: the
// one with the least sum of the expected loss and the cost of its occupancy. someRoom
// tells whether some worker has room for the task that it may use.
func (c *Core) bestFreeWorker(now time.Duration, s *service, j *job) (best *upstream, someRoom bool) {
	least := math.Inf(1)
	onTime, size := s.canBeOnTime(now, j), j.stepOfTask(j.nextTask()).size
	needsFast := j.runTimeFactor().needsFastWorker(now, j.deadline, j.stepOfTask(j.nextTask()).runTime)
	j.forEachCandidate(&s.free, j.nextTask(), c.random(), (*upstream).hasRoomFor, func(u *upstream) {
		someRoom = true
		slowness := j.slownessAt(j.nextTask(), u)
		if !s.nextTaskRiskAccepted(now, j, slowness) || !needsFast && s.isReserved(u, size) || u.isKeptForUrgent(j.batch.priority, size) {
			return
		}
		if onTime && s.nextTaskLateProbability(now, j, slowness) > maxLateProbability {
			return
		}
		cost := s.expectedLoss(now, j, slowness) + occupancyCost*math.Pow(1-u.freeShareFor(size), occupancyExponent)
		if cost < least {
			best, least = u, cost
		}
	})
	return best, someRoom
}

// nextTaskRiskAccepted reports whether missRiskAccepted holds for the next task
// of j.
func (s *service) nextTaskRiskAccepted(now time.Duration, j *job, slowness float64) bool {
	return s.missRiskAccepted(j.runTimeFactor(), now, j.deadline, j.stepOfTask(j.nextTask()).runTime, slowness)
}

// isFast reports whether u is among the fast workers of a service that has others.
func (s *service) isFast(u *upstream) bool {
	return u.slowness <= s.minSlowness*fastSlownessRange && s.fastWorkerCount < len(s.upstreams)
}

// isReserved reports whether the room that u has for a task of the given size is
// reserved for tasks that need a fast worker. A small reserve is enough for these
// to find room nearly always.
func (s *service) isReserved(u *upstream, size wire.Resources) bool {
	if s.needsFastWidth == 0 || !s.isFast(u) {
		return false // if all workers are fast, a reserve would leave others no room
	}
	reserve := reservedBatches * s.needsFastWidth / float64(max(s.fastWorkerCount, 1))
	return u.freeShareFor(size) <= min(reserve/float64(max(u.slots(), 1)), maxReservedShare)
}

// updateNeedsFastAverages updates the mean width and the share of the batches
// that need fast workers.
func (s *service) updateNeedsFastAverages(now time.Duration, b Batch) {
	factor := s.runTimeFactorOf(b)
	tasks := 0
	for _, st := range b.Work.steps {
		if factor.needsFastWorker(now, b.Deadline, st.RunTime.Seconds()) {
			tasks = max(tasks, st.Tasks)
		}
	}
	s.needsFastShare -= s.needsFastShare * needsFastWeight
	if tasks > 0 {
		s.needsFastShare += needsFastWeight
		if s.needsFastWidth == 0 {
			s.needsFastWidth = float64(tasks)
		}
		s.needsFastWidth += needsFastWeight * (float64(tasks) - s.needsFastWidth)
	}
	if s.needsFastShare < minNeedsFastShare {
		s.needsFastWidth = 0
	}
}

// updateFastestWorkers updates the slowness of the fastest usable worker and the
// number of workers that count as fast.
func (s *service) updateFastestWorkers() {
	s.minSlowness = 1
	found := false
	for _, u := range s.upstreams {
		if u.usable() && u.health != Quarantined && (!found || u.slowness < s.minSlowness) {
			s.minSlowness, found = u.slowness, true
		}
	}
	s.fastWorkerCount = 0
	for _, u := range s.upstreams {
		if u.usable() && u.slowness <= s.minSlowness*fastSlownessRange {
			s.fastWorkerCount++
		}
	}
}

// lateBatchCheckInterval is the time between two checks of the waiting batches.
const lateBatchCheckInterval = 10 * time.Millisecond

// failLateBatches ends the waiting batches of all services that can't
// succeed any more.
func (c *Core) failLateBatches(now time.Duration) {
	if now < c.nextLateBatchCheckAt {
		return
	}
	c.nextLateBatchCheckAt = 0
	for _, s := range c.sortedServices {
		if s.teamQueues.waitingTasks > 0 && s.servesBatches {
			c.failLateBatchesOf(now, s)
			c.nextLateBatchCheckAt = now + lateBatchCheckInterval
		}
	}
}
