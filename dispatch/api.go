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

// JobSpec is what admission decides on, before the job has a record.
type JobSpec struct {
	Team    ids.Team
	Service ids.Service
	Tasks   int
	// RunTime is the declared run time of one task, zero if unknown.
	RunTime time.Duration
	// Deadline is the time by which the answer is useful, on the clock of now.
	Deadline time.Duration
}

// Job is an admitted job.
type Job struct {
	JobSpec
	ID    ids.Job
	Epoch ids.Epoch
	// Specs holds the task bodies in order. Nil for a takeover, until Bodies supplies them.
	Specs []wire.TaskSpec
	// Takeover is set when the job comes from a former owner. The core then
	// claims it at every incarnation that could hold rows of it before it
	// starts anything.
	Takeover bool
}

// Request is a single request without a record.
type Request struct {
	Key        ids.TaskKey
	Team       ids.Team
	Service    ids.Service
	Spec       wire.TaskSpec
	Idempotent bool
	Deadline   time.Duration
}

// Step is a part of a batch: equal tasks that may run at the same time.
type Step struct {
	Tasks int
	// After lists earlier steps, by position, all of whose tasks must be done first.
	After []int
	Spec  wire.TaskSpec // Name and Size included
	// RunTime is the declared run time of one task, zero if unknown.
	RunTime time.Duration
	Placement
}

// Placement tells on which workers the tasks of a step may run.
type Placement struct {
	// Label is one that the worker must have, empty for none.
	Label string
	// Near is the label of the workers that are near the data, empty for none. On
	// others a task takes FarFactor times as long.
	Near      string
	FarFactor float64
	// MaxPerWorker is how many tasks of the step may run on one worker, zero for any
	// number.
	MaxPerWorker int
}

// Batch is a job without a record: its caller waits for the answer and repeats
// the whole after a lost one. Its tasks run at most once at a time. A task that
// failed or was stopped is started again.
type Batch struct {
	// Key is that of the first task. The others follow it by index.
	Key     ids.TaskKey
	Team    ids.Team
	Service ids.Service
	Steps   []Step
	// Name returns the name of a task at its worker.
	Name func(step, index int) string
	// Attempts is how often one task may fail, 1 or more.
	Attempts int
	// Queue names the queue through which the batch came. Batches of one queue are
	// alike in how their run times differ from the declared ones.
	Queue string
	// Priority orders the batches that wait: 0 goes first.
	Priority int
	// Arrived is when the caller handed it in, from which the objective counts.
	Arrived time.Duration
	// Objective tells by when the answer should be there.
	Objective Objective
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Duration
}

// Envelope is a message to the agent with the given incarnation.
type Envelope struct {
	To       ids.Incarnation
	Exchange wire.Exchange
}

// ClaimOrder asks the daemon to send a claim and to pass the reply to Claimed.
type ClaimOrder struct {
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
	// Results holds the answers of all tasks in order when complete, and the
	// one answer of a single request.
	Results []wire.Answer
}

// Output is what one tick decided.
type Output struct {
	Send     []Envelope
	Claims   []ClaimOrder
	Finished []Outcome
	// NextTick is when the core needs a tick again without new input, zero for never.
	NextTick time.Duration
}

// Progress is the state of an open job, for callers who wait.
type Progress struct {
	Tasks, Done int
	NeedBodies  bool
}
