package dispatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// batch is the part of a job's state that only batches have.
type batch struct {
	steps       []step
	stepIndexes []int // position in steps by task
	maxFailures int   // failures of one task after which the batch fails
	priority    int   // 0 goes first

	queueName    string
	prior        runTimeFactor // run times by the declared ones alone, on a worker of logDeclaredRatio 0
	objective    Objective
	arrivedAt    time.Duration // when the batch arrived
	startBy      time.Duration // when a task has to have started, zero for no bound
	chainRunTime float64       // declared run time of the longest chain of steps, in seconds
	// onTimeStartBy is the time by which the last task should start for the
	// answer to be on time.
	onTimeStartBy time.Duration
	arrivalSeq    uint64 // order of arrival at the service

	measuredTasks       int     // tasks that are done and whose run time is known
	logExpectedRatioSum float64 // sum over them of the logarithm of true over expected run time
}

// step is a set of equal tasks of a batch that may run at the same time.
type step struct {
	first, tasks   int            // index of the first task, and number of tasks
	size           wire.Resources // of one task
	runTime        float64        // declared for one task, in seconds
	remainingChain float64        // declared run time of the longest chain of steps that wait for this one, in seconds
	predecessors   []int          // positions of the steps that it waits for
	successors     []int          // positions of the steps that wait for it
	waitsFor       int            // number of predecessors that are not done
	placement      Placement
	done           int  // number of tasks with a result
	started        bool // a task has been started
}

// before orders batches by priority, and those of equal priority by the time by
// which their last task should start.
func (b *batch) before(o *batch) bool {
	if b.priority != o.priority {
		return b.priority < o.priority
	}
	if b.onTimeStartBy != o.onTimeStartBy {
		return b.onTimeStartBy < o.onTimeStartBy
	}
	return b.arrivalSeq < o.arrivalSeq
}

// Batch takes in a batch, or refuses it with verdict not-run.
func (c *Core) Batch(now time.Duration, b Batch) *verdict.Error {
	if err := c.admitBatch(now, b); err != nil {
		return err
	}
	if err := c.useKeys(b.Key, b.Work.tasks); err != nil {
		return err
	}
	j := newBatchJob(c.service(b.Service), b)
	c.requests[b.Key] = j
	c.initJob(now, j, j.taskSpecs(b))
	j.svc.servesBatches = true
	j.svc.updateNeedsFastAverages(now, b)
	c.releaseFirstSteps(j)
	j.svc.unplacedTasks += j.waitingTasks
	if len(j.tasks) == 0 {
		c.completeJob(now, j)
	}
	return nil
}

// newBatchJob returns the job of a batch whose steps have not been released yet.
func newBatchJob(s *service, b Batch) *job {
	j := &job{
		key: b.Key, team: b.Team, svc: s, deadline: b.Deadline, unrecorded: true, idempotent: true,
		batch: &batch{maxFailures: max(b.Attempts, 1), priority: b.Priority, queueName: b.Queue, objective: b.Objective, arrivedAt: b.Arrived, startBy: b.StartBy, chainRunTime: b.Work.chain.Seconds()},
	}
	work, tasks := 0.0, 0
	for i, st := range b.Work.steps {
		j.batch.steps = append(j.batch.steps, step{first: tasks, tasks: st.Tasks, predecessors: st.After, size: st.Spec.Size, runTime: st.RunTime.Seconds(), placement: st.Placement})
		for range st.Tasks {
			j.batch.stepIndexes = append(j.batch.stepIndexes, i)
		}
		tasks += st.Tasks
		work += st.RunTime.Seconds() * float64(st.Tasks)
	}
	j.batch.prior = s.runTimeRegression(b.Queue).predictFactor(j.batch.chainRunTime)
	j.batch.linkSteps()
	j.tasks = make([]task, tasks)
	j.nextNewTask = tasks // tasks are queued step by step, through requeuedTasks
	if tasks > 0 {
		j.declaredRunTime = work / float64(tasks)
	}
	j.batch.onTimeStartBy = b.Arrived + s.latestWaitOf(b)
	j.batch.arrivalSeq = s.teamQueues.arrivalSeq + 1
	return j
}

// linkSteps tells each step which steps wait for it, and how long the longest chain of
// these is. Predecessors have lower positions, so one pass from the end is enough.
func (b *batch) linkSteps() {
	for i := len(b.steps) - 1; i >= 0; i-- {
		st := &b.steps[i]
		st.waitsFor = len(st.predecessors)
		for _, k := range st.predecessors {
			before := &b.steps[k]
			before.remainingChain = max(before.remainingChain, st.runTime+st.remainingChain)
			before.successors = append(before.successors, i)
		}
	}
}

// taskSpecs returns the specs of all tasks of b, with names and declared run
// times.
func (j *job) taskSpecs(b Batch) []wire.TaskSpec {
	specs := make([]wire.TaskSpec, 0, len(j.tasks))
	for i, st := range b.Work.steps {
		for k := range st.Tasks {
			spec := st.Spec
			spec.Name = b.Name(i, k)
			spec.DeclaredMS = st.RunTime.Milliseconds()
			specs = append(specs, spec)
		}
	}
	return specs
}

// releaseFirstSteps queues the tasks of the steps that wait for no other.
func (c *Core) releaseFirstSteps(j *job) {
	for i := range j.batch.steps {
		if st := &j.batch.steps[i]; st.waitsFor == 0 {
			c.releaseStep(j, st)
		}
	}
}

// releaseStep queues the tasks of a step.
func (c *Core) releaseStep(j *job, st *step) {
	for k := st.tasks - 1; k >= 0; k-- {
		c.requeue(j, st.first+k)
	}
}

// stepOfTask returns the step of the task with the given index.
func (j *job) stepOfTask(index int) *step { return &j.batch.steps[j.batch.stepIndexes[index]] }

// completeStepTask counts a task as done and releases the steps that waited only
// for its step.
func (c *Core) completeStepTask(j *job, index int) {
	st := j.stepOfTask(index)
	st.done++
	if st.done < st.tasks {
		return
	}
	for i := len(st.successors) - 1; i >= 0; i-- { // in order of position
		next := &j.batch.steps[st.successors[i]]
		if next.waitsFor--; next.waitsFor == 0 {
			c.releaseStep(j, next)
		}
	}
}

// retryTaskOrFailBatch queues a task again that is known to have ended, until
// it has failed maxFailures times. A task that may still run fails the batch,
// since two runs of one task must not overlap.
func (c *Core) retryTaskOrFailBatch(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	t := &j.tasks[a.taskIndex]
	j.mayHaveRun = true
	switch {
	case ans.Verdict != verdict.Ran:
		c.failJob(now, j, wire.JobFailed, verdict.Unknown(failureReason(ans), "task %s%s", ans.Key, failureStatus(ans)))
		return
	case ans.Reason != verdict.Canceled:
		t.failures++
		c.attributeFailure(now, u, j, ans)
	}
	if t.failures >= j.batch.maxFailures {
		c.failJob(now, j, wire.JobFailed, verdict.Failed(verdict.TaskFailed, "task %s failed %d times", ans.Key, t.failures))
		return
	}
	t.lastFailedOn = u
	c.messageCounts.Retries++
	c.recordDecision(now, "restart", u.incarnation, ans.Key, string(ans.Reason))
	c.requeue(j, a.taskIndex)
}

// lostTaskAnswer is used in place of the answer of a task whose agent is lost.
func lostTaskAnswer(a *attempt) *wire.Answer {
	return &wire.Answer{Key: a.job.taskKey(a.taskIndex), Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}
}

// firstAttemptKey returns the task key under which a decision about all tasks at
// u is recorded.
func firstAttemptKey(u *upstream) ids.TaskKey {
	if len(u.attempts) == 0 {
		return ids.TaskKey{}
	}
	return u.attempts[0].job.taskKey(u.attempts[0].taskIndex)
}

// maxDescribedTasks bounds the unfinished tasks that an error text describes.
const maxDescribedTasks = 4

// describeOpenTasks describes the first unfinished tasks of a batch for an error
// text: where each one is, for how long, and how often it was placed.
func (c *Core) describeOpenTasks(j *job) string {
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
		if shown++; shown > maxDescribedTasks {
			break
		}
		where := "waits"
		if t.primary != nil {
			where = fmt.Sprintf("at upstream %d for %v", t.primary.target.incarnation, (c.now - t.primary.sentAt).Round(time.Millisecond))
		}
		fmt.Fprintf(&out, "; task %d %s, placed %d times, failed %d times", i, where, t.tries, t.failures)
	}
	return out.String()
}
