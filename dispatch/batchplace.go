package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// occupancyPrice is what the last room of a worker costs a task, in units of
	// the probability that its batch is late. It leaves the last room of fast
	// workers to the tasks whose batches would be late elsewhere; occupancyPower
	// makes it matter only there.
	occupancyPrice = 0.25
	occupancyPower = 6
	// maxCandidates bounds the batches that are considered for the open workers.
	maxCandidates = 8
	// reserveBatches is the room on fast workers that is kept for the batches that
	// need them, in batches of average width.
	reserveBatches = 2.0
	// maxReserve is the part of a worker's slots that is kept at most.
	maxReserve = 0.25
	// needyWeight is the weight of a batch in the averages of these batches, which
	// are reserved for while their share is at least minNeedyShare.
	needyWeight   = 1.0 / 64
	minNeedyShare = 0.005
	// hopeless is the probability of being late above which a batch that has not
	// started is refused.
	hopeless = 0.5
	// maxLateness is the probability of being late above which a task leaves a
	// worker to others and waits for a faster one on which it may be in time.
	maxLateness = 0.35
)

// chooseForBatch returns the batch that is to start a task and its worker. Those
// that can be in time come first. A task waits for a faster worker only while it
// may be in time there and would probably be late on those that are open. While
// all workers are taken, a task is placed in look-ahead at one.
func (c *Core) chooseForBatch(now time.Duration, s *service) (j *job, u *upstream, ahead bool) {
	if s.free.size == 0 && s.ahead.size == 0 {
		return nil, nil, false
	}
	for _, inTime := range [...]bool{true, false} {
		for _, t := range s.fair.heap {
			for _, j := range t.jobs[:min(len(t.jobs), maxCandidates)] {
				if s.canBeInTime(now, j) != inTime {
					continue
				}
				if u := c.workerFor(now, s, j); u != nil {
					return j, u, false
				}
				if u := c.aheadFor(now, s, j); u != nil {
					return j, u, true
				}
			}
		}
	}
	return nil, nil, false
}

// aheadFor returns the worker in whose look-ahead the next task of j is most likely
// to be in time, or nil. The agent starts what waits there as soon as there is room,
// without a round trip, and in order of urgency over all entries.
func (c *Core) aheadFor(now time.Duration, s *service, j *job) *upstream {
	var best *upstream
	least := math.Inf(1)
	j.candidates(&s.ahead, j.peek(), c.random(), func(u *upstream) {
		start, slow := now+s.queueWait(u), j.slowAt(j.peek(), u)
		if !s.endsBeforeDeadline(start, j, slow) || s.lateness(start, j, slow) > maxLateness {
			return
		}
		if loss := s.loss(start, j, slow); loss < least {
			best, least = u, loss
		}
	})
	return best
}

// queueWait is how long a task is expected to wait in look-ahead at u.
func (s *service) queueWait(u *upstream) time.Duration {
	ends := s.typicalRun() * u.slow / float64(max(u.slots(), 1))
	return seconds(float64(u.backlog()+1) * ends)
}

// canBeInTime reports whether the next task of j would probably be in time on the
// fastest worker. The other batches get the room that these leave.
func (s *service) canBeInTime(now time.Duration, j *job) bool {
	return s.lateness(now, j, s.fastest) <= maxLateness
}

// endHopeless ends the waiting batches that can't succeed any more. One that has
// not started is refused once it will hardly be on time on the fastest worker:
// while work waits, all workers are taken, and a late answer would make another
// one late. One that has started goes on until it can't end before its deadline.
func (c *Core) endHopeless(now time.Duration, s *service) {
	for _, j := range s.fair.waitingJobs() {
		switch {
		case j.batch == nil:
		case now < c.settledAt && !j.started():
			// The caller is left the other half of its time to ask elsewhere.
			if now-j.batch.begun > (j.deadline-j.batch.begun)/2 {
				c.fail(now, j, wire.JobFailed, verdict.Refuse(verdict.NoUpstream, "no worker has connected in time").After(noUpstreamRetry))
			}
		case !j.started() && s.lateness(now, j, s.fastest) >= hopeless && c.workerFor(now, s, j) == nil:
			wait := seconds(s.workBefore(j.batch) / max(s.capacity(), 1))
			c.fail(now, j, wire.JobFailed, verdict.Refuse(verdict.Overloaded, "no worker became free in time").After(clampRetry(wait)))
		case !j.outlook().mayEnd(now, j.deadline, j.stepAt(j.peek()).runTime, s.fastest):
			c.fail(now, j, wire.JobFailed, c.unfinished(j, verdict.DeadlinePassed, "the deadline can't be met"))
		}
	}
}

// started reports whether a task of j may have run.
func (j *job) started() bool { return j.sent > 0 || j.done > 0 || j.maybeRan }

// workerFor returns the open worker for the next task of j, or nil: the one with
// the least sum of the loss expected there and the price of its room.
func (c *Core) workerFor(now time.Duration, s *service, j *job) *upstream {
	var best *upstream
	least := math.Inf(1)
	inTime := s.canBeInTime(now, j)
	needy := j.outlook().needsFast(now, j.deadline, j.stepAt(j.peek()).runTime)
	j.candidates(&s.free, j.peek(), c.random(), func(u *upstream) {
		slow := j.slowAt(j.peek(), u)
		if !s.endsBeforeDeadline(now, j, slow) || !needy && s.reservedAt(u) {
			return
		}
		if inTime && s.lateness(now, j, slow) > maxLateness {
			return
		}
		cost := s.loss(now, j, slow) + occupancyPrice*math.Pow(u.occupancy(), occupancyPower)
		if cost < least {
			best, least = u, cost
		}
	})
	return best
}

// occupancy is the part of the slots of u that is taken.
func (u *upstream) occupancy() float64 {
	return float64(u.others+u.held) / float64(max(u.slots(), 1))
}

// endsBeforeDeadline reports whether the next task of j may be risked on a worker of
// the given slowness.
func (s *service) endsBeforeDeadline(now time.Duration, j *job, slow float64) bool {
	return s.mayRisk(j.outlook(), now, j.deadline, j.stepAt(j.peek()).runTime, slow)
}

// reservedAt reports whether the room left at u is kept for tasks that need a
// fast worker. A small reserve is enough for these to find room nearly always.
func (s *service) reservedAt(u *upstream) bool {
	if s.needyTasks == 0 || u.slow > s.fastest*fastRange {
		return false
	}
	if s.fastCount == len(s.ups) {
		return false // nobody is slower, so nothing would be left to others
	}
	reserve := reserveBatches * s.needyTasks / float64(max(s.fastCount, 1))
	reserve = min(reserve, maxReserve*float64(u.slots()))
	return float64(u.slots()-u.others-u.held) <= reserve
}

// learnNeedy updates the number of tasks of the batches that need fast workers.
func (s *service) learnNeedy(now time.Duration, b Batch) {
	o := s.outlookOf(b)
	tasks := 0
	for _, st := range b.Steps {
		if o.needsFast(now, b.Deadline, st.RunTime.Seconds()) {
			tasks = max(tasks, st.Tasks)
		}
	}
	s.needyShare -= s.needyShare * needyWeight
	if tasks > 0 {
		s.needyShare += needyWeight
		if s.needyTasks == 0 {
			s.needyTasks = float64(tasks)
		}
		s.needyTasks += needyWeight * (float64(tasks) - s.needyTasks)
	}
	if s.needyShare < minNeedyShare {
		s.needyTasks = 0
	}
}

// noteFastest updates the slowness of the fastest worker in service.
func (s *service) noteFastest() {
	s.fastest = 1
	found := false
	for _, u := range s.ups {
		if u.usable() && u.health != Quarantined && (!found || u.slow < s.fastest) {
			s.fastest, found = u.slow, true
		}
	}
	s.fastCount = 0
	for _, u := range s.ups {
		if u.usable() && u.slow <= s.fastest*fastRange {
			s.fastCount++
		}
	}
}

// hopelessPass is the time between two passes over the waiting batches.
const hopelessPass = 10 * time.Millisecond

// endHopelessBatches ends waiting batches that can't succeed, service by service.
func (c *Core) endHopelessBatches(now time.Duration) {
	if now < c.hopelessAt {
		return
	}
	c.hopelessAt = 0
	for _, s := range c.svcOrder {
		if s.fair.waiting > 0 && s.sizes.n > 0 {
			c.endHopeless(now, s)
			c.hopelessAt = now + hopelessPass
		}
	}
}
