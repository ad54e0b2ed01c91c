package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// batch is what a job without a record has beyond other jobs.
type batch struct {
	steps    []step
	stepOf   []int // by task
	attempts int
	priority int // 0 goes first

	queue     string
	prior     outlook // by the declared run times alone, on an average worker
	objective Objective
	begun     time.Duration // when the batch arrived
	chain     float64       // declared run time of the longest chain of steps, in seconds
	// latest is when the last task should start for the answer to be on time.
	latest  time.Duration
	arrived uint64

	ended int     // tasks that are done and tell of the run times
	ratio float64 // sum of the logarithms of their run times over expected ones
}

// step is a part of a batch.
type step struct {
	first, tasks int     // positions of its tasks
	runTime      float64 // declared for one task, in seconds
	rest         float64 // declared for the longest chain of the steps that wait for it, in seconds
	after        []int
	placement    Placement
	done         int
	released     bool
}

// before orders batches by priority, and those of one priority by the latest start
// that keeps them on time.
func (b *batch) before(o *batch) bool {
	if b.priority != o.priority {
		return b.priority < o.priority
	}
	if b.latest != o.latest {
		return b.latest < o.latest
	}
	return b.arrived < o.arrived
}

// Batch takes in a batch, or refuses it with verdict not-run.
func (c *Core) Batch(now time.Duration, b Batch) *verdict.Error {
	b.Steps = withRunTimes(b.Steps)
	if err := c.admitBatch(now, b); err != nil {
		return err
	}
	if c.requests[b.Key] != nil {
		return verdict.Refuse(verdict.BadRequest, "batch %s is already in progress", b.Key)
	}
	j := newBatchJob(c.service(b.Service), b)
	c.requests[b.Key] = j
	c.addJob(now, j, j.specsOf(b))
	j.svc.sizes.learn(b.Steps)
	j.svc.learnNeedy(now, b)
	c.releaseReady(j)
	j.svc.unplaced += j.waiting
	if len(j.tasks) == 0 {
		c.complete(now, j)
	}
	return nil
}

// assumedRunTime stands for a run time that is not declared. Without one a batch
// would be neither planned nor refused.
const assumedRunTime = 200 * time.Millisecond

// withRunTimes returns the steps with a run time for each.
func withRunTimes(steps []Step) []Step {
	out := slices.Clone(steps)
	for i := range out {
		if out[i].RunTime <= 0 {
			out[i].RunTime = assumedRunTime
		}
	}
	return out
}

func newBatchJob(s *service, b Batch) *job {
	j := &job{
		key: b.Key, team: b.Team, svc: s, deadline: b.Deadline, single: true, idem: true,
		batch: &batch{attempts: max(b.Attempts, 1), priority: b.Priority, queue: b.Queue, objective: b.Objective, begun: b.Arrived, chain: Chain(b.Steps).Seconds()},
	}
	work, tasks := 0.0, 0
	for i, st := range b.Steps {
		j.batch.steps = append(j.batch.steps, step{first: tasks, tasks: st.Tasks, after: st.After, runTime: st.RunTime.Seconds(), placement: st.Placement})
		for range st.Tasks {
			j.batch.stepOf = append(j.batch.stepOf, i)
		}
		tasks += st.Tasks
		work += st.RunTime.Seconds() * float64(st.Tasks)
	}
	j.batch.prior = s.runTimes(b.Queue).expect(j.batch.chain)
	j.batch.setRest()
	j.tasks = make([]task, tasks)
	j.next = tasks // steps are released through the list of tasks to place again
	if tasks > 0 {
		j.declared = work / float64(tasks)
	}
	j.batch.latest = b.Arrived + s.latestStartOf(b)
	j.batch.arrived = s.fair.arrived + 1
	return j
}

// setRest computes for each step how long the steps take that wait for it. A step
// comes after those that it waits for.
func (b *batch) setRest() {
	for i := len(b.steps) - 1; i >= 0; i-- {
		st := &b.steps[i]
		for _, k := range st.after {
			b.steps[k].rest = max(b.steps[k].rest, st.runTime+st.rest)
		}
	}
}

// specsOf returns the specs of all tasks with their names.
func (j *job) specsOf(b Batch) []wire.TaskSpec {
	specs := make([]wire.TaskSpec, 0, len(j.tasks))
	for i, st := range b.Steps {
		for k := range st.Tasks {
			spec := st.Spec
			spec.Name = b.Name(i, k)
			spec.DeclaredMS = st.RunTime.Milliseconds()
			specs = append(specs, spec)
		}
	}
	return specs
}

// Chain is the declared run time of the longest chain of steps.
func Chain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, st := range steps {
		begin := time.Duration(0)
		for _, k := range st.After {
			begin = max(begin, ends[k])
		}
		ends[i] = begin + st.RunTime
		longest = max(longest, ends[i])
	}
	return longest
}

// releaseReady lets the tasks wait of each step whose predecessors are done.
func (c *Core) releaseReady(j *job) {
	for i := range j.batch.steps {
		st := &j.batch.steps[i]
		if st.released || !j.batch.ready(st) {
			continue
		}
		st.released = true
		for k := st.tasks - 1; k >= 0; k-- {
			c.requeue(j, st.first+k)
		}
	}
}

// stepAt returns the step of a task.
func (j *job) stepAt(index int) *step { return &j.batch.steps[j.batch.stepOf[index]] }

// ready reports whether all predecessors of a step are done.
func (b *batch) ready(st *step) bool {
	for _, k := range st.after {
		if b.steps[k].done < b.steps[k].tasks {
			return false
		}
	}
	return true
}

// releaseSteps counts a task as done and releases the steps that waited for it.
func (c *Core) releaseSteps(j *job, index int) {
	st := j.stepAt(index)
	st.done++
	if st.done == st.tasks {
		c.releaseReady(j)
	}
}

// batchTaskFailed starts a task again that has ended for certain, within the
// attempts of its batch. A task that may still run fails the batch, since two
// runs of one task must not overlap.
func (c *Core) batchTaskFailed(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	t := &j.tasks[a.index]
	j.maybeRan = true
	switch {
	case ans.Verdict != verdict.Ran:
		c.fail(now, j, wire.JobFailed, verdict.Unknown(failureReason(ans), "task %s%s", ans.Key, failureStatus(ans)))
		return
	case ans.Reason != verdict.Canceled:
		t.failed++
		c.blame(now, u, j, ans)
	}
	if t.failed >= j.batch.attempts {
		c.fail(now, j, wire.JobFailed, verdict.Failed(verdict.TaskFailed, "task %s failed %d times", ans.Key, t.failed))
		return
	}
	t.avoid = u
	c.msgs.Retries++
	c.decide(now, "restart", u.inc, ans.Key, string(ans.Reason))
	c.requeue(j, a.index)
}

// lostAnswer stands for the answer of a task whose agent is gone.
func lostAnswer(a *attempt) *wire.Answer {
	return &wire.Answer{Key: a.job.keyOf(a.index), Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}
}

// lostKey is a key for the record of a decision about all tasks at u.
func lostKey(u *upstream) ids.TaskKey {
	if len(u.attempts) == 0 {
		return ids.TaskKey{}
	}
	return u.attempts[0].job.keyOf(u.attempts[0].index)
}

// sizeEstimate is the moving average of the sizes of tasks.
type sizeEstimate struct {
	n                int
	cpu, memory, gpu float64
	run              float64 // declared run time of a task, in seconds
}

// sizeFloor is the least weight of a batch in the average size.
const sizeFloor = 1.0 / 64

// learn takes in the tasks of a batch.
func (e *sizeEstimate) learn(steps []Step) {
	for _, st := range steps {
		e.n++
		w := max(1/float64(e.n), sizeFloor)
		e.cpu += w * (float64(st.Spec.Size.CPU) - e.cpu)
		e.memory += w * (float64(st.Spec.Size.Memory) - e.memory)
		e.gpu += w * (float64(st.Spec.Size.GPU) - e.gpu)
		e.run += w * (st.RunTime.Seconds() - e.run)
	}
}

// typical returns the average size, one core until a batch has been seen.
func (e *sizeEstimate) typical() wire.Resources {
	if e.n == 0 {
		return wire.Resources{CPU: 1000}
	}
	return wire.Resources{CPU: int(e.cpu), Memory: int(e.memory), GPU: int(e.gpu)}
}

// maxOpenTasks bounds the unfinished tasks that an error describes.
const maxOpenTasks = 4

// openTasks describes the first unfinished tasks of a batch: where each is, for
// how long, and how often it was placed.
func (c *Core) openTasks(j *job) string {
	if j.batch == nil {
		return ""
	}
	var out strings.Builder
	shown := 0
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done {
			continue
		}
		if shown++; shown > maxOpenTasks {
			break
		}
		where := "waits"
		if t.primary != nil {
			where = fmt.Sprintf("at upstream %d for %v", t.primary.up.inc, (c.now - t.primary.sentAt).Round(time.Millisecond))
		}
		fmt.Fprintf(&out, "; task %d %s, placed %d times, failed %d times", i, where, t.tries, t.failed)
	}
	return out.String()
}
