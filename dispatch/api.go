// Package dispatch decides for an entry which task starts where and when. It
// holds no network, file, clock or random source: the caller passes in time and
// messages, and carries out what Tick returns.
package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// JobSpec is the part of a job on which admission decides, before the job has a
// record.
type JobSpec struct {
	Team    ids.Team
	Service ids.Service
	Tasks   int
	// RunTime is the declared run time of one task, zero if unknown.
	RunTime time.Duration
	// Deadline is the time after which the answer is of no use, on the clock of
	// the now arguments.
	Deadline time.Duration
}

// Job is an admitted job.
type Job struct {
	JobSpec
	ID    ids.Job
	Epoch ids.Epoch
	// Specs holds the task bodies in order. For a takeover it is nil until
	// Bodies supplies them.
	Specs []wire.TaskSpec
	// Takeover is set for a job of a former owner. The core then claims the job
	// at every incarnation that could hold rows of it before it starts any task.
	Takeover bool
}

// Request is a single request, which has no record.
type Request struct {
	Key        ids.TaskKey
	Team       ids.Team
	Service    ids.Service
	Spec       wire.TaskSpec
	Idempotent bool
	Deadline   time.Duration
}

// Step is a set of equal tasks of a batch that may run at the same time.
type Step struct {
	Tasks int
	// After lists the steps, all earlier ones, whose tasks must be done first,
	// by position.
	After []int
	Spec  wire.TaskSpec // with Name and Size
	// RunTime is the declared run time of one task, zero if unknown.
	RunTime time.Duration
	Placement
}

// Placement says on which workers the tasks of a step may run.
type Placement struct {
	// Label is a label that the worker must have, empty for none.
	Label string
	// Near is the label of the workers near the data, empty for none. On other
	// workers a task runs FarFactor times as long.
	Near      string
	FarFactor float64
	// MaxPerWorker is how many tasks of the step may run on one worker at once,
	// zero for any number.
	MaxPerWorker int
}

// Batch is a job without a record: its caller waits for the answer, and submits
// the whole batch again if the answer is lost. A task never runs twice at the
// same time. One that failed or was stopped is started again.
type Batch struct {
	// Key is the key of the first task. The keys of the others follow it by
	// index.
	Key     ids.TaskKey
	Team    ids.Team
	Service ids.Service
	Work    Work
	// Name returns the name of a task for its worker.
	Name func(step, index int) string
	// Attempts is the number of failures of one task after which the batch
	// fails, 1 or more.
	Attempts int
	// Queue is the name of the queue that the batch came through. The run times
	// of batches of one queue differ from the declared ones in a similar way.
	Queue string
	// Priority orders the waiting batches: 0 goes first.
	Priority int
	// Arrived is when the caller handed in the batch. The objective counts from
	// it.
	Arrived time.Duration
	// Objective says by when the answer is on time.
	Objective Objective
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Duration
	// StartBy is the time by which a task has to start, zero for no bound. A batch that
	// only waits until then is refused.
	StartBy time.Duration
}

// Envelope is a message to the agent with the given incarnation.
type Envelope struct {
	To       ids.Incarnation
	Exchange wire.Exchange
}

// ClaimRequest is a claim that the caller of Tick has to send. The reply goes to
// Claimed.
type ClaimRequest struct {
	To    ids.Incarnation
	Claim wire.Claim
}

// Outcome is the end of a job or of a single request. It is returned once.
type Outcome struct {
	Job     ids.Job // zero for a single request
	Request ids.TaskKey
	Epoch   ids.Epoch
	State   wire.JobState
	Err     *verdict.Error // nil when complete
	// Results holds the answers of all tasks in order when complete, or the
	// answer of a failed single request if it has one.
	Results []wire.Answer
}

// Output is the result of one tick.
type Output struct {
	Send     []Envelope
	Claims   []ClaimRequest
	Finished []Outcome
	// NextTick is when the core needs its next tick if there is no new input,
	// zero for never.
	NextTick time.Duration
}

// Progress is the state of an open job, for callers who wait for it.
type Progress struct {
	Tasks, Done int
	NeedBodies  bool
}
