package dispatch

import (
	"math/bits"
	"time"
)

const (
	// urgencyFactor is the multiple of the shortest possible time for a job's
	// waiting tasks at which the job becomes urgent. Several jobs may be urgent
	// at once.
	urgencyFactor = 2.0
	// The last task of a job is planned to start while a reserve of its slack
	// is left: reserveFixed plus reserveShare of the slack, but at most
	// 1-plannedSlackShare of it. Run times vary, so work planned up to the
	// deadline often misses it. Larger reserves raise the goodput of a burst
	// but leave teams without queued work.
	plannedSlackShare = 0.25
	reserveFixed      = 1500 * time.Millisecond
	reserveShare      = 0.4
	// startBySlots and startBySlotWidth give a startByTable a horizon of 64 s.
	// Later times wrap around.
	startBySlots     = 256
	startBySlotWidth = 250 * time.Millisecond
)

// planLastStart returns the time by which the last task should start of a job of
// n tasks that arrives now, and the least time its tasks need of the team's
// share of the capacity.
func (s *service) planLastStart(now, deadline time.Duration, t *teamQueue, n int, work float64) (startBy, own time.Duration) {
	if work <= 0 || s.capacity() <= 0 {
		return deadline, 0
	}
	own = seconds(float64(n) * work / (s.capacity() * s.quotaShare(t)))
	slack := deadline - now - s.expectedLongestRun(n, work)
	if slack < 0 {
		return deadline, own
	}
	reserve := min(time.Duration((1-plannedSlackShare)*float64(slack)), reserveFixed+time.Duration(reserveShare*float64(slack)))
	return now + slack - reserve, own
}

// quotaShare returns the share of the capacity that the quota of t guarantees
// while the teams with waiting tasks want more than there is.
func (s *service) quotaShare(t *teamQueue) float64 {
	activeQuotaSum := s.teamQueues.activeQuotaSum
	if t.heapPos < 0 {
		activeQuotaSum += t.quota
	}
	return float64(t.quota) / float64(activeQuotaSum)
}

// computeUrgentAt returns the time at which a job becomes urgent.
func (j *job) computeUrgentAt() time.Duration {
	s := j.svc
	if s.taskWork.mean == 0 || s.capacity() <= 0 {
		return j.plannedStartBy
	}
	rest := seconds(urgencyFactor * float64(j.waitingTasks) * s.taskWork.mean * j.relativeRunTime / s.capacity())
	return j.plannedStartBy - rest
}

// urgentHeap is a heap of jobs with the one that becomes urgent first on top.
type urgentHeap []*job

func (h urgentHeap) Len() int { return len(h) }
func (h urgentHeap) Less(i, k int) bool {
	if h[i].urgentAt != h[k].urgentAt {
		return h[i].urgentAt < h[k].urgentAt
	}
	return h[i].arrivalSeq < h[k].arrivalSeq
}
func (h urgentHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].urgentHeapPos, h[k].urgentHeapPos = i, k
}
func (h *urgentHeap) Push(x any) {
	j := x.(*job)
	j.urgentHeapPos = len(*h)
	*h = append(*h, j)
}
func (h *urgentHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// startByTable counts waiting tasks by the time by which they should start, in
// a ring of time slots.
type startByTable struct {
	tasks [startBySlots]int
}

// add changes the number of tasks that should start by startBy. Times
// beyond the horizon share slots with nearer ones, which only makes admission
// more careful.
func (d *startByTable) add(startBy time.Duration, n int) {
	d.tasks[int(startBy/startBySlotWidth)%startBySlots] += n
}

// fits reports whether, with n more tasks that should start by startBy, all
// tasks can be served by the times by which they should start. limit(t) is the
// number of tasks that can be served by the time t.
func (d *startByTable) fits(now, startBy time.Duration, n int, limit func(time.Duration) float64) bool {
	first := int(now / startBySlotWidth)
	sum := 0
	for i := range startBySlots {
		slot := first + i
		end := time.Duration(slot+1) * startBySlotWidth
		sum += d.tasks[slot%startBySlots]
		if end <= startBy || sum+n == 0 {
			continue
		}
		if float64(sum+n) > limit(max(end, startBy)) {
			return false
		}
	}
	return true
}

// jobSizeTable counts waiting jobs and their tasks by the magnitude of the job's
// number of waiting tasks.
type jobSizeTable struct {
	jobs  [maxMagnitude]int
	tasks [maxMagnitude]int
}

// maxMagnitude is enough for jobs of wire.MaxTasksPerJob tasks.
const maxMagnitude = 16

// update changes the number of waiting tasks of one job.
func (s *jobSizeTable) update(before, after int) {
	if before > 0 {
		m := bits.Len(uint(before)) - 1
		s.jobs[m]--
		s.tasks[m] -= before
	}
	if after > 0 {
		m := bits.Len(uint(after)) - 1
		s.jobs[m]++
		s.tasks[m] += after
	}
}

// servedBefore returns how many waiting tasks are served before a new job of n
// tasks has been served, when all jobs share equally.
func (s *jobSizeTable) servedBefore(n int) int {
	sum := 0
	for m := range s.jobs {
		if 1<<m <= n {
			sum += s.tasks[m]
		} else {
			sum += s.jobs[m] * n
		}
	}
	return sum
}
