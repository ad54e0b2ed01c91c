package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// admitBatch decides whether a batch is taken in. It doesn't need a current
// view: a batch has no record, so no other entry can own it.
func (c *Core) admitBatch(now time.Duration, b Batch) *verdict.Error {
	if _, ok := c.cfg.Services[b.Service]; !ok {
		return verdict.Refuse(verdict.UnknownService, "service %q is not configured", b.Service)
	}
	s := c.service(b.Service)
	switch {
	case b.Deadline <= now:
		return verdict.Refuse(verdict.DeadlinePassed, "the deadline passed %v ago", now-b.Deadline)
	case now < c.startupEndsAt:
		return nil // workers are expected to connect soon
	case s.capacity() <= 0:
		return verdict.Refuse(verdict.NoUpstream, "none of %d workers of service %s is usable now", len(s.upstreams), b.Service).After(noUpstreamRetry)
	case !s.fitsSomeWorker(b):
		return noFittingWorker(s)
	}
	// What fits no worker says nothing about the work to come.
	s.learnDeclaredSize(b)
	s.urgent.learn(b.Priority, b.Work.tasks)
	return s.checkOnTime(now, b)
}

// startupWait is the time after the start of an entry within which workers are
// expected to connect. After a loss of all VMs, workers and entry register at
// the same time.
const startupWait = 500 * time.Millisecond

// BeginStartup records that the entry has begun to connect to workers. During
// startupWait, batches wait for a worker instead of being refused for lack of
// one.
func (c *Core) BeginStartup(now time.Duration) { c.startupEndsAt = now + startupWait }

// fitsSomeWorker reports whether each step fits some worker, regardless of the
// other steps.
func (s *service) fitsSomeWorker(b Batch) bool {
	for _, st := range b.Work.steps {
		if !slices.ContainsFunc(s.upstreams, st.fitsWorker) {
			return false
		}
	}
	return true
}

// fitsSomeUpstream reports the same of the steps of a batch that has been taken in,
// where upstreams with slots count, too.
func (s *service) fitsSomeUpstream(b *batch) bool {
	for i := range b.steps {
		if !slices.ContainsFunc(s.upstreams, b.steps[i].fitsUpstream) {
			return false
		}
	}
	return true
}

func noFittingWorker(s *service) *verdict.Error {
	return verdict.Refuse(verdict.Infeasible, "none of %d workers of service %s is large enough for a task and has its label", len(s.upstreams), s.name)
}

// checkOnTime refuses a batch that the work before it would make late. While
// workers are saturated, a batch that ends late takes the room of one that would
// be on time.
func (s *service) checkOnTime(now time.Duration, b Batch) *verdict.Error {
	tasks := b.Work.tasks
	room, capacity := s.roomAndCapacityFor(now, b)
	switch {
	case capacity == 0 && !s.hasUsableUpstream():
		return verdict.Refuse(verdict.NoUpstream, "no worker of service %s answers", b.Service).After(noUpstreamRetry)
	case capacity == 0:
		return verdict.Refuse(verdict.Infeasible, "no worker in service is fast enough for the time left")
	}
	room = max(room-s.unplacedTasks, 0)
	if room >= tasks {
		return nil // waiting tasks can't use that room, or they would have been placed there
	}
	onTimeStartBy := b.Arrived + s.latestWaitOf(b)
	waitingBefore := s.waitingWorkBefore(&batch{priority: b.Priority, onTimeStartBy: onTimeStartBy, arrivalSeq: s.teamQueues.arrivalSeq + 1})
	// room tasks start at once. The last task starts after tasks-room more have
	// ended: tasks of other batches, or of this batch if its own are shorter on
	// average.
	ownWork := float64(tasks-room) * min(b.meanDeclaredRunTime()*s.runTimeFactorOf(b).typical().median, s.averageRunTime())
	wait := seconds((waitingBefore + ownWork) / capacity)
	if now+wait <= onTimeStartBy || s.mayWaitForFastWorker(now, b, wait) {
		return nil
	}
	return verdict.Refuse(verdict.Overloaded, "the last task is expected to start %v too late", now+wait-onTimeStartBy).
		After(clampRetryAfter(wait))
}

// hasUsableUpstream reports whether some upstream may get new work.
func (s *service) hasUsableUpstream() bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable() && u.health != Quarantined })
}

// HasUsableUpstream reports whether some service has an upstream that may get
// new work. If none has, callers should be sent to another entry.
func (c *Core) HasUsableUpstream() bool {
	return slices.ContainsFunc(c.sortedServices, (*service).hasUsableUpstream)
}

// mayWaitForFastWorker reports whether a batch that needs a fast worker would
// probably be on time on one after twice the expected wait. Such a batch has
// so little slack that the margin of startMarginErrors would refuse it at any
// wait. It is therefore checked for a wait of twice the expected length,
// without that margin.
func (s *service) mayWaitForFastWorker(now time.Duration, b Batch, wait time.Duration) bool {
	factor, run := s.runTimeFactorOf(b), b.Work.chain.Seconds()
	return factor.needsFastWorker(now, b.Deadline, run) &&
		factor.lateProbability(now+2*wait-b.Arrived, b.Objective, run, run, 0, s.minSlowness) <= maxLateProbability &&
		factor.missProbability(now+2*wait, b.Deadline, run, s.minSlowness) <= maxLateProbability
}

// latestWaitOf returns the longest wait from arrival after which the last task
// of a batch can start on the fastest worker and be on time.
func (s *service) latestWaitOf(b Batch) time.Duration {
	return s.runTimeFactorOf(b).latestWait(b.Objective, b.Work.chain.Seconds(), s.minSlowness, startMarginErrors)
}

// startMarginErrors is the number of standard deviations of the slack by which
// a batch should start early.
const startMarginErrors = 2.2

// roomAndCapacityFor returns how many tasks would start at once on the workers
// on which b is expected to end before its deadline, and the work that these
// workers do each second.
func (s *service) roomAndCapacityFor(now time.Duration, b Batch) (room int, capacity float64) {
	factor := s.runTimeFactorOf(b)
	longest := 0.0
	for _, st := range b.Work.steps {
		longest = max(longest, st.RunTime.Seconds())
	}
	needsFast := factor.needsFastWorker(now, b.Deadline, longest)
	for _, u := range s.upstreams {
		if !u.usable() || u.health == Quarantined || !b.mayUse(u) || !s.missRiskAccepted(factor, now, b.Deadline, longest, u.slowness) {
			continue
		}
		capacity += u.contribution.usable
		if needsFast || !s.isReserved(u, b.largestSize()) {
			kept := 0
			if b.Priority > s.urgent.priority {
				kept = u.urgentSlots()
			}
			room += max(min(u.credit-u.outstanding, b.countRoomAt(u)-kept), 0)
		}
	}
	return room, capacity
}

// waitingWorkBefore returns the expected run time, in seconds on average
// workers, of the waiting tasks that go before those of b.
func (s *service) waitingWorkBefore(b *batch) float64 {
	sum := 0.0
	for _, t := range s.teamQueues.heap {
		for _, j := range t.jobs {
			if j.batch != nil && j.batch.before(b) {
				sum += float64(j.waitingTasks) * j.declaredRunTime * j.runTimeFactor().typical().median
			}
		}
	}
	return sum
}

// largestSize returns the largest amount of each resource that a task takes.
func (b Batch) largestSize() wire.Resources {
	var largest wire.Resources
	for _, st := range b.Work.steps {
		largest = largest.AtLeast(st.Spec.Size)
	}
	return largest
}

// meanDeclaredRunTime returns the mean over the tasks, in seconds.
func (b Batch) meanDeclaredRunTime() float64 {
	sum := 0.0
	for _, st := range b.Work.steps {
		sum += float64(st.Tasks) * st.RunTime.Seconds()
	}
	return sum / float64(max(b.Work.tasks, 1))
}

// averageRunTime returns the expected run time of a task of any batch on an
// average worker, in seconds.
func (s *service) averageRunTime() float64 {
	return s.taskSizes.runTime * math.Exp(s.meanLogDeclaredRatio)
}
