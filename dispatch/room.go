package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// Whether a task fits a worker is asked of that task and that worker: of its capacity
// (fitsCapacity) and of what the tasks there leave of it (hasRoomFor). The average size of
// tasks only says how many more a worker may take, for the sums of a service, the
// look-ahead and the reserves. An average decided on that before: one hopeless task, or
// tasks that need what only some workers have, left the others without a slot.

// fitsCapacity reports whether a task of a size fits u while nothing else runs there. An
// upstream that isn't a worker has slots for tasks of any size.
func (u *upstream) fitsCapacity(size wire.Resources) bool {
	return !u.isWorker() || u.member.Capacity.Contains(size)
}

// otherEntrySize returns what the tasks of other entries take at a worker. A report without
// sizes comes from an agent that doesn't send them.
func (u *upstream) otherEntrySize() wire.Resources {
	if u.reportedOtherSize.IsZero() {
		return u.typicalSize().Times(min(u.otherEntryTasks, maxSizedTasks))
	}
	return u.reportedOtherSize
}

// freeRoom returns what the known tasks leave of a worker's capacity. An amount is negative
// if tasks wait there.
func (u *upstream) freeRoom() wire.Resources {
	return u.member.Capacity.Sub(u.ownSize).Sub(u.otherEntrySize())
}

// hasRoomFor reports whether a task of the given size would start at once at u.
func (u *upstream) hasRoomFor(size wire.Resources) bool {
	if u.isWorker() {
		return u.freeRoom().AtLeastZero().Contains(size)
	}
	return u.openSlots() > 0
}

// countRoomFor returns how many tasks of the given size would start at once at u.
func (u *upstream) countRoomFor(size wire.Resources) int {
	if u.isWorker() {
		return u.freeRoom().CountFitting(size, maxSizedTasks)
	}
	return max(u.openSlots(), 0)
}

// typicalSize returns the average size of tasks, bounded by the capacity of a worker. What
// doesn't fit there doesn't run there.
func (u *upstream) typicalSize() wire.Resources {
	return u.svc.taskSizes.average().AtMost(u.member.Capacity)
}

// openSlots returns how many tasks of typical size would start at once at u. It is negative
// by the number of those that wait there.
func (u *upstream) openSlots() int {
	if !u.isWorker() {
		return u.slots() - u.otherEntryTasks - u.outstanding
	}
	free, typical := u.freeRoom(), u.typicalSize()
	if free.HasNegative() {
		return -free.Negated().CountCovering(typical)
	}
	return free.CountFitting(typical, maxSizedTasks)
}

// ownSlots returns how many tasks of typical size u runs at once beside those of other
// entries.
func (u *upstream) ownSlots() int {
	if !u.isWorker() {
		return u.slots() - u.otherEntryTasks
	}
	return u.member.Capacity.Sub(u.otherEntrySize()).CountFitting(u.typicalSize(), maxSizedTasks)
}

// freeShareFor returns the share of u that is free, of the resource that a task of the
// given size would find scarcest.
func (u *upstream) freeShareFor(size wire.Resources) float64 {
	if !u.isWorker() {
		return float64(u.openSlots()) / float64(max(u.slots(), 1))
	}
	free, capacity := u.freeRoom(), u.member.Capacity
	share := 1.0
	for _, r := range [...]struct{ needed, free, capacity int }{
		{size.CPU, free.CPU, capacity.CPU}, {size.Memory, free.Memory, capacity.Memory}, {size.GPU, free.GPU, capacity.GPU},
	} {
		if r.needed > 0 && r.capacity > 0 {
			share = min(share, float64(r.free)/float64(r.capacity))
		}
	}
	return share
}

// leastSize is a lower bound of the sizes of tasks, one amount at a time. A worker without
// room for it has room for none of them.
type leastSize struct {
	known bool
	size  wire.Resources
}

// include lowers the bound to a size, and reports whether that changed it.
func (l *leastSize) include(size wire.Resources) bool {
	lower := size
	if l.known {
		lower = l.size.AtMost(size)
	}
	changed := !l.known || lower != l.size
	l.known, l.size = true, lower
	return changed
}

// hasOpenSlot reports whether u may have room for a waiting task. It is true for each
// worker that has; whether a certain task fits is asked by hasRoomFor.
func (u *upstream) hasOpenSlot() bool {
	if !u.isWorker() {
		return u.openSlots() > 0
	}
	return u.hasRoomFor(u.svc.leastWaiting.size)
}

// noteWaitingSize includes the size of a task that begins to wait in the bound by which
// workers with an open slot are found.
func (c *Core) noteWaitingSize(s *service, size wire.Resources) {
	s.leastInWindow.include(size)
	if !s.leastWaiting.include(size) {
		return
	}
	for _, u := range s.upstreams {
		c.reindex(u)
	}
}

// leastWaitingWindow is the least time for which a size counts. Each new least size costs a
// pass over the workers.
const leastWaitingWindow = 5 * time.Second

// raiseLeastWaiting forgets the sizes of tasks that no longer wait. Until then the index has
// workers without room for any waiting task, which does no harm.
func (s *service) raiseLeastWaiting(now time.Duration) {
	if now < s.nextLeastRaiseAt {
		return
	}
	s.nextLeastRaiseAt = now + leastWaitingWindow
	least := s.leastInWindow
	for _, j := range s.teamQueues.waitingJobs() {
		if j.batch == nil {
			continue
		}
		for i := range j.batch.steps {
			least.include(j.batch.steps[i].size)
		}
	}
	s.leastInWindow = leastSize{}
	if least.known {
		s.leastWaiting = least
	}
}

// maxRunTimeSample bounds a declared run time, in seconds, in the average of a service. An
// answer that takes longer finds hardly a caller who waits.
const maxRunTimeSample = 600

// taskSizeEstimate is a moving average of the sizes and the declared run times of tasks
// that have started, by steps. A task that fits no worker has no part in it, so one step
// changes it by no more than a worker's capacity.
type taskSizeEstimate struct {
	n                int // number of samples
	cpu, memory, gpu float64
	runTime          float64 // declared, in seconds
}

// minSizeWeight is the least weight of a step in the moving average.
const minSizeWeight = 1.0 / 64

// learn adds a step of which the first task has started.
func (e *taskSizeEstimate) learn(st *step) {
	e.n++
	w := max(1/float64(e.n), minSizeWeight)
	e.cpu += w * (float64(st.size.CPU) - e.cpu)
	e.memory += w * (float64(st.size.Memory) - e.memory)
	e.gpu += w * (float64(st.size.GPU) - e.gpu)
	e.runTime += w * (min(st.runTime, maxRunTimeSample) - e.runTime)
}

// learnStart learns from the first start of a step.
func (s *service) learnStart(st *step) {
	if st.started {
		return
	}
	st.started = true
	s.taskSizes.learn(st)
}

// average returns the average size, or one core before the first task.
func (e *taskSizeEstimate) average() wire.Resources {
	if e.n == 0 {
		return wire.Resources{CPU: 1000}
	}
	return wire.Resources{CPU: int(math.Round(e.cpu)), Memory: int(math.Round(e.memory)), GPU: int(math.Round(e.gpu))}
}
