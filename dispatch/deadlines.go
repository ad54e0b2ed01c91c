package dispatch

import (
	"math/bits"
	"time"
)

const (
	// urgency is the multiple of the shortest possible time for a job's waiting
	// tasks at which the job becomes urgent. Several jobs may be urgent at once.
	urgency = 2.0
	// planShare is the part of a job's slack that may pass before its last task
	// starts, or all but reserveFixed and reserveShare of it if that is more. Run
	// times vary, so work planned up to the deadline often misses it. Larger
	// reserves raise the goodput of a burst but leave teams without queued work.
	planShare    = 0.25
	reserveFixed = 1500 * time.Millisecond
	reserveShare = 0.4
	// dueSlots and dueStep give the table of deadlines a horizon of 64 s. Later
	// deadlines are counted in the last slot.
	dueSlots = 256
	dueStep  = 250 * time.Millisecond
)

// plan returns when the last task of a job of n tasks should have started that
// arrives now, and the least time its tasks need of the team's part of the
// capacity.
func (s *service) plan(now, deadline time.Duration, t *teamQueue, n int, work float64) (due, own time.Duration) {
	if work <= 0 || s.capacity() <= 0 {
		return deadline, 0
	}
	own = seconds(float64(n) * work / (s.capacity() * s.share(t)))
	slack := deadline - now - s.lastTask(n, work)
	if slack < 0 {
		return deadline, own
	}
	reserve := min(time.Duration((1-planShare)*float64(slack)), reserveFixed+time.Duration(reserveShare*float64(slack)))
	return now + slack - reserve, own
}

// share is the part of the capacity that the quota of t guarantees while the
// teams with waiting tasks want more than there is.
func (s *service) share(t *teamQueue) float64 {
	quotas := s.fair.quotas
	if t.pos < 0 {
		quotas += t.quota
	}
	return float64(t.quota) / float64(quotas)
}

// latestStart is the time at which a job becomes urgent.
func (j *job) latestStart() time.Duration {
	s := j.svc
	if s.work.mean == 0 || s.capacity() <= 0 {
		return j.due
	}
	rest := seconds(urgency * float64(j.waiting) * s.work.mean * j.ratio / s.capacity())
	return j.due - rest
}

// urgentHeap has the job that becomes urgent first on top.
type urgentHeap []*job

func (h urgentHeap) Len() int { return len(h) }
func (h urgentHeap) Less(i, k int) bool {
	if h[i].latest != h[k].latest {
		return h[i].latest < h[k].latest
	}
	return h[i].arrived < h[k].arrived
}
func (h urgentHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].urgentPos, h[k].urgentPos = i, k
}
func (h *urgentHeap) Push(x any) {
	j := x.(*job)
	j.urgentPos = len(*h)
	*h = append(*h, j)
}
func (h *urgentHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// dueTable counts waiting tasks by deadline, in a ring of time slots.
type dueTable struct {
	tasks [dueSlots]int
}

// add changes the number of tasks with a deadline. Deadlines beyond the horizon
// share slots with nearer ones, which only makes admission more careful.
func (d *dueTable) add(deadline time.Duration, n int) {
	d.tasks[int(deadline/dueStep)%dueSlots] += n
}

// fits reports whether n more tasks with the given deadline leave all tasks able
// to end by their deadlines when limit(d) tasks can be served by the time d.
func (d *dueTable) fits(now, deadline time.Duration, n int, limit func(time.Duration) float64) bool {
	first := int(now / dueStep)
	sum := 0
	for i := range dueSlots {
		slot := first + i
		end := time.Duration(slot+1) * dueStep
		sum += d.tasks[slot%dueSlots]
		if end <= deadline || sum+n == 0 {
			continue
		}
		if float64(sum+n) > limit(max(end, deadline)) {
			return false
		}
	}
	return true
}

// sizeTable counts waiting jobs and their tasks by the magnitude of the number
// of waiting tasks.
type sizeTable struct {
	jobs  [maxMagnitude]int
	tasks [maxMagnitude]int
}

// maxMagnitude covers jobs of up to wire.MaxTasksPerJob tasks.
const maxMagnitude = 16

// change moves a job from one number of waiting tasks to another.
func (s *sizeTable) change(before, after int) {
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

// ahead returns how many waiting tasks are served before a new job of n tasks
// has been served, when all jobs share equally.
func (s *sizeTable) ahead(n int) int {
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
