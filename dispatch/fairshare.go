package dispatch

import (
	"container/heap"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// fairQueue orders the waiting jobs of a service. Teams whose rate is within the
// rate that their quota guarantees come first, then those that exceed it least.
// Rates count rather than slots, since slots differ in speed. Between equal
// teams, and within a team, the job with the fewest outstanding tasks goes
// first, then the one with the fewest waiting tasks, so that a job of many long
// tasks doesn't delay small ones. A team or job that wants less than its share
// leaves the rest to the others. Past use is not counted against a team: it may
// have used what was idle.
type fairQueue struct {
	teams          map[ids.Team]*teamQueue
	heap           teamHeap // teams with waiting jobs
	waitingTasks   int
	activeQuotaSum int    // sum over teams with waiting jobs
	arrivalSeq     uint64 // of the job that arrived last
}

// teamQueue holds the waiting jobs of a team.
type teamQueue struct {
	quota          int
	rate           int // work done for the team each second, in units of 1/rateUnit of an average slot
	otherEntryRate int // rate of other entries for the team by the latest reports
	// surplus is the moving average of the rate by which the team exceeds its
	// share of the work that other entries have reported for all teams.
	surplus        float64
	guaranteedRate int // rate that the quota guarantees here, set by each sweep
	jobs           jobHeap
	urgent         urgentHeap // the same jobs by urgentAt
	waitingTasks   int
	heapPos        int // position in the heap of teams, -1 if no job waits
	waitingBySize  jobSizeTable
	plannedStartBy startByTable // waiting tasks by job.plannedStartBy
}

// teamHeap is a heap of teams with the one to be served next on top.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, k int) bool {
	a, b := h[i].excessRate()*h[k].quota, h[k].excessRate()*h[i].quota
	if a != b {
		return a < b
	}
	return h[i].jobs.less(h[i].jobs[0], h[k].jobs[0])
}
func (h teamHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapPos, h[k].heapPos = i, k
}
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.heapPos = len(*h)
	*h = append(*h, t)
}
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.heapPos = -1
	*h = old[:len(old)-1]
	return t
}

// jobHeap is a heap of jobs with the one to be served next on top: for batches
// by batch.before, for others the one with the fewest outstanding tasks.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, k int) bool { return h.less(h[i], h[k]) }
func (jobHeap) less(a, b *job) bool {
	if a.batch != nil && b.batch != nil {
		return a.batch.before(b.batch)
	}
	if a.outstanding != b.outstanding {
		return a.outstanding < b.outstanding
	}
	if a.waitingTasks != b.waitingTasks {
		return a.waitingTasks < b.waitingTasks
	}
	return a.arrivalSeq < b.arrivalSeq
}
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapPos, h[k].heapPos = i, k
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapPos = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	j.heapPos = -1
	*h = old[:len(old)-1]
	return j
}

func (q *fairQueue) init() { q.teams = map[ids.Team]*teamQueue{} }

// excessRate returns the rate of the team beyond its guaranteed rate. Half a
// slot is added because a freed slot rarely matches what a team still lacks of
// its guaranteed rate. Without it, a team with a small share would get the
// slot however little it lacks, and so more than its share.
func (t *teamQueue) excessRate() int { return max(t.rate+rateUnit/2-t.guaranteedRate, 0) }

// surplusAveragingSweeps is the time constant, in sweeps, of the moving average
// in teamQueue.surplus. Below saturation a team's surplus at other entries
// fluctuates around zero. At 70 % load the mean response time was 1.124 times
// that of a scheduler that knows all run times with 10 sweeps, and 1.103 to
// 1.113 times with 100.
const surplusAveragingSweeps = 100

// divideCapacity divides the given rate between the teams that have tasks. A
// team that leaves part of its share unused at other entries gets that part at
// this one.
func (q *fairQueue) divideCapacity(rate int) {
	quotas, otherEntryRate := 0, 0
	for _, t := range q.teams {
		if t.rate+t.otherEntryRate+t.waitingTasks > 0 {
			quotas += t.quota
		}
		otherEntryRate += t.otherEntryRate
	}
	for _, t := range q.teams {
		surplus := t.otherEntryRate - otherEntryRate*t.quota/max(quotas, 1)
		if t.rate+t.otherEntryRate+t.waitingTasks == 0 {
			surplus = 0
		}
		t.surplus += (float64(surplus) - t.surplus) / surplusAveragingSweeps
		t.guaranteedRate = rate*t.quota/max(quotas, 1) - int(t.surplus)
	}
	heap.Init(&q.heap)
}

// teamRate is the rate at which an upstream works for a team on behalf of other
// entries.
type teamRate struct {
	team *teamQueue
	rate int
}

// setOtherEntryRate records the tasks that u holds for other entries. Teams
// that are not configured here have no share. The order of teams changes only
// with the next sweep.
func (c *Core) setOtherEntryRate(u *upstream, list []wire.TeamTasks) {
	for _, w := range u.otherEntryRate {
		w.team.otherEntryRate -= w.rate
	}
	u.otherEntryRate = u.otherEntryRate[:0]
	for _, t := range list {
		cfg, ok := c.cfg.Teams[t.Team]
		if !ok || t.Tasks <= 0 {
			continue
		}
		w := teamRate{u.svc.teamQueues.team(t.Team, cfg.Quota), int(float64(t.Tasks) * rateUnit / u.slowness)}
		w.team.otherEntryRate += w.rate
		u.otherEntryRate = append(u.otherEntryRate, w)
	}
}

// team returns the queue of a team and creates it if needed.
func (q *fairQueue) team(name ids.Team, quota int) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{quota: max(quota, 1), heapPos: -1}
		q.teams[name] = t
	}
	return t
}

// setQuotas applies the quotas of a new configuration. A team that has none any
// more keeps a quota of 1 until its jobs have ended.
func (q *fairQueue) setQuotas(teams map[ids.Team]Team) {
	for name, t := range q.teams {
		quota := max(teams[name].Quota, 1)
		if t.heapPos >= 0 {
			q.activeQuotaSum += quota - t.quota
		}
		t.quota = quota
	}
}

// enqueue adds a job with waiting tasks to the queue.
func (c *Core) enqueue(j *job) {
	if j.waitingTasks == 0 || j.heapPos >= 0 {
		return
	}
	q := &j.svc.teamQueues
	t := j.queue
	heap.Push(&t.jobs, j)
	j.urgentAt = j.computeUrgentAt()
	heap.Push(&t.urgent, j)
	if t.heapPos < 0 {
		heap.Push(&q.heap, t)
		q.activeQuotaSum += t.quota
	} else {
		heap.Fix(&q.heap, t.heapPos)
	}
	q.updateWaiting(j, 0, j.waitingTasks)
}

// updateOutstanding records a change of the number of attempts of j without an
// answer and of their rate, and restores the order.
func (q *fairQueue) updateOutstanding(j *job, change, rate int) {
	j.outstanding += change
	if j.heapPos >= 0 {
		heap.Fix(&j.queue.jobs, j.heapPos)
	}
	j.queue.rate += rate
	if j.queue.heapPos >= 0 {
		heap.Fix(&q.heap, j.queue.heapPos)
	}
}

// updateWaiting records a change of the number of waiting tasks of a queued job.
func (q *fairQueue) updateWaiting(j *job, before, after int) {
	q.waitingTasks += after - before
	j.queue.waitingTasks += after - before
	j.queue.waitingBySize.update(before, after)
	j.queue.plannedStartBy.add(j.plannedStartBy, after-before)
}

// requeue makes a task wait at the front of its job.
func (c *Core) requeue(j *job, index int) {
	if j.batch != nil {
		c.noteWaitingSize(j.svc, j.stepOfTask(index).size)
	}
	j.requeuedTasks = append(j.requeuedTasks, index)
	j.waitingTasks++
	if j.heapPos < 0 {
		c.enqueue(j)
		return
	}
	j.svc.teamQueues.updateWaiting(j, j.waitingTasks-1, j.waitingTasks)
	j.svc.teamQueues.updateOutstanding(j, 0, 0)
}

// nextJob returns the job whose task is next, or nil, and whether it is urgent.
// In the team that is next, a job that would otherwise miss its deadline goes
// first.
func (q *fairQueue) nextJob(now time.Duration) (j *job, urgent bool) {
	if len(q.heap) == 0 {
		return nil, false
	}
	t := q.heap[0]
	if t.urgent[0].urgentAt <= now {
		return t.urgent[0], true
	}
	return t.jobs[0], false
}

// maxJobsConsidered bounds the jobs that are considered for one upstream.
const maxJobsConsidered = 24

// findJob returns the first job for which accept returns true, or nil.
// position is the expected number of tasks that the service has served when
// the job's last waiting task is. At most maxJobsConsidered jobs are
// considered; the last is also tried with the length of the whole queue, in
// place of the jobs behind it. The order is that of the heaps' arrays, which
// is close to the order of service.
func (q *fairQueue) findJob(accept func(j *job, position float64) bool) *job {
	considered := 0
	for _, t := range q.heap {
		ahead := 0
		for _, j := range t.jobs {
			ahead += j.waitingTasks
			position := min(float64(q.waitingTasks), float64(ahead*q.activeQuotaSum)/float64(t.quota))
			if accept(j, position) {
				return j
			}
			considered++
			if considered < maxJobsConsidered {
				continue
			}
			if accept(j, float64(q.waitingTasks)) {
				return j
			}
			return nil
		}
	}
	return nil
}

// nextTask returns the index of the next waiting task of j.
func (j *job) nextTask() int {
	if n := len(j.requeuedTasks); n > 0 {
		return j.requeuedTasks[n-1]
	}
	return j.nextNewTask
}

// takeTask removes the next waiting task from its job.
func (q *fairQueue) takeTask(j *job) {
	if n := len(j.requeuedTasks); n > 0 {
		j.requeuedTasks = j.requeuedTasks[:n-1]
	} else {
		j.nextNewTask++
	}
	j.waitingTasks--
	q.updateWaiting(j, j.waitingTasks+1, j.waitingTasks)
	if j.waitingTasks == 0 {
		q.removeJob(j)
		return
	}
	j.urgentAt = j.computeUrgentAt()
	heap.Fix(&j.queue.urgent, j.urgentHeapPos)
}

// removeJob removes a job from the queue. Its waiting tasks are no longer
// counted.
func (q *fairQueue) removeJob(j *job) {
	if j.heapPos < 0 {
		return
	}
	t := j.queue
	heap.Remove(&t.jobs, j.heapPos)
	heap.Remove(&t.urgent, j.urgentHeapPos)
	q.updateWaiting(j, j.waitingTasks, 0)
	if len(t.jobs) == 0 {
		heap.Remove(&q.heap, t.heapPos)
		q.activeQuotaSum -= t.quota
		return
	}
	heap.Fix(&q.heap, t.heapPos)
}
