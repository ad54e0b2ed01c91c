package dispatch

import (
	"container/heap"
	"math/bits"

	"github.com/baobabshore/baobabshore/ids"
)

// fairQueue orders the waiting jobs of a service. Teams share by quota, and the
// jobs of a team share equally, both by expected run time rather than by count,
// so that a job of many long tasks doesn't hold up small ones. A team or job
// that wants less than its share leaves the rest to the others.
type fairQueue struct {
	teams   map[ids.Team]*teamQueue
	heap    teamHeap
	waiting int
	clock   float64 // virtual time of the service
	quotas  int     // sum over teams with waiting jobs
	arrived uint64
}

// teamQueue holds the waiting jobs of a team.
type teamQueue struct {
	quota   int
	pass    float64 // virtual time consumed by the team
	clock   float64 // virtual time between the team's jobs
	jobs    jobHeap
	waiting int
	pos     int
	sizes   sizeTable
}

type teamHeap []*teamQueue

func (h teamHeap) Len() int           { return len(h) }
func (h teamHeap) Less(i, k int) bool { return h[i].pass < h[k].pass }
func (h teamHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos, h[k].pos = i, k
}
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.pos = len(*h)
	*h = append(*h, t)
}
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.pos = -1
	*h = old[:len(old)-1]
	return t
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, k int) bool {
	if h[i].pass != h[k].pass {
		return h[i].pass < h[k].pass
	}
	return h[i].arrived < h[k].arrived
}
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos, h[k].pos = i, k
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.pos = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	j.pos = -1
	*h = old[:len(old)-1]
	return j
}

func (q *fairQueue) init() { q.teams = map[ids.Team]*teamQueue{} }

// team returns the queue of a team and creates it if needed.
func (q *fairQueue) team(name ids.Team, quota int) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{quota: max(quota, 1), pos: -1}
		q.teams[name] = t
	}
	return t
}

// setQuotas applies the quotas of a new configuration. A team without one
// keeps a quota of 1 until its jobs have ended.
func (q *fairQueue) setQuotas(teams map[ids.Team]Team) {
	for name, t := range q.teams {
		quota := max(teams[name].Quota, 1)
		if t.pos >= 0 {
			q.quotas += quota - t.quota
		}
		t.quota = quota
	}
}

// enqueue files a job with waiting tasks.
func (c *Core) enqueue(j *job) {
	if j.waiting == 0 || j.pos >= 0 {
		return
	}
	q := &j.svc.fair
	if j.queue == nil {
		q.arrived++
		j.arrived = q.arrived
		j.queue = q.team(j.team, c.cfg.Teams[j.team].Quota)
	}
	t := j.queue
	if t.pos < 0 {
		t.pass = max(t.pass, q.clock)
		heap.Push(&q.heap, t)
		q.quotas += t.quota
	}
	j.pass = max(j.pass, t.clock)
	heap.Push(&t.jobs, j)
	q.count(j, 0, j.waiting)
}

// count records a change of the number of waiting tasks of a filed job.
func (q *fairQueue) count(j *job, before, after int) {
	q.waiting += after - before
	j.queue.waiting += after - before
	j.queue.sizes.change(before, after)
}

// requeue puts a task that has not run back to the front of its job.
func (c *Core) requeue(j *job, index int) {
	j.again = append(j.again, index)
	j.waiting++
	if j.pos < 0 {
		c.enqueue(j)
		return
	}
	j.svc.fair.count(j, j.waiting-1, j.waiting)
}

// head returns the job whose task is next, or nil.
func (q *fairQueue) head() *job {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0].jobs[0]
}

// peek returns the index of the next waiting task of j.
func (j *job) peek() int {
	if n := len(j.again); n > 0 {
		return j.again[n-1]
	}
	return j.next
}

// take removes the next waiting task from its job and charges its expected
// cost, in seconds of slot time, to job and team.
func (q *fairQueue) take(j *job, cost float64) {
	if n := len(j.again); n > 0 {
		j.again = j.again[:n-1]
	} else {
		j.next++
	}
	j.waiting--
	q.count(j, j.waiting+1, j.waiting)
	t := j.queue
	t.clock = max(t.clock+cost/float64(len(t.jobs)), j.pass)
	q.clock = max(q.clock+cost/float64(max(q.quotas, 1)), t.pass)
	j.pass += cost
	t.pass += cost / float64(t.quota)
	if j.waiting == 0 {
		q.remove(j)
		return
	}
	heap.Fix(&t.jobs, j.pos)
	heap.Fix(&q.heap, t.pos)
}

// settle corrects a charge once the true cost is known.
func (q *fairQueue) settle(j *job, diff float64) {
	t := j.queue
	if t == nil {
		return
	}
	j.pass += diff
	t.pass += diff / float64(t.quota)
	if j.pos >= 0 {
		heap.Fix(&t.jobs, j.pos)
	}
	if t.pos >= 0 {
		heap.Fix(&q.heap, t.pos)
	}
}

// remove takes a job out of the queue. Its waiting tasks are no longer counted.
func (q *fairQueue) remove(j *job) {
	if j.pos < 0 {
		return
	}
	t := j.queue
	heap.Remove(&t.jobs, j.pos)
	q.count(j, j.waiting, 0)
	if len(t.jobs) == 0 {
		heap.Remove(&q.heap, t.pos)
		q.quotas -= t.quota
		return
	}
	heap.Fix(&q.heap, t.pos)
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
