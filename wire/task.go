// Package wire holds the typed messages between the system's processes and
// the names of their methods.
package wire

import (
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// Method names.
const (
	MethodRegister = "control.register"
	MethodRenew    = "renew" // short, since most control messages are renewals
	MethodLeave    = "control.leave"
	MethodAdmit    = "control.admit"
	MethodComplete = "control.complete"
	MethodJob      = "control.job"
	MethodApply    = "control.apply"
	MethodGet      = "control.get"
	MethodStatus   = "control.status"
	MethodReplace  = "control.replace"
	MethodJoin     = "control.join"
	MethodDrain    = "control.drain"
	MethodStep     = "peer.step"
	MethodRenewals = "peer.renewals"

	MethodHello    = "agent.hello"
	MethodExchange = "agent.exchange"
	MethodClaim    = "agent.claim"
	MethodPing     = "agent.ping"
	MethodReport   = "entry.report"
	MethodState    = "entry.state"
	MethodBodies   = "entry.bodies"
	MethodCancel   = "entry.cancel"
	MethodDump     = "dump"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Start asks an agent to run a task.
type Start struct {
	Key ids.TaskKey `json:"k"`
	// Epoch of the owner, zero for a single request.
	Epoch ids.Epoch `json:"ep,omitempty"`
	// Try numbers the placements of the task by its owner, from 1. An agent that
	// has refused or returned a try accepts only a later one, so a delayed copy
	// of the start can't run.
	Try uint32 `json:"y,omitempty"`
	// Team that the task is run for. Agents tell other entries of it.
	Team    ids.Team `json:"g,omitempty"`
	Method  string   `json:"m"`
	Path    string   `json:"p"`
	Headers []Header `json:"h,omitempty"`
	Body    []byte   `json:"b,omitempty"`
	// BudgetMS is the time left for the task when the message was sent. The
	// agent refuses the task when it can't start within it.
	BudgetMS int64 `json:"t"`
	// Name identifies a sized task at its worker, the same at all entries.
	Name string `json:"w,omitempty"`
	// Size is what a sized task takes of its worker, zero for a task that takes a slot.
	Size Resources `json:"z,omitzero"`
	// DeclaredMS is the declared run time of a sized task, zero if unknown.
	DeclaredMS int64 `json:"q,omitempty"`
	// Batch is the index of the first task of a sized task's batch.
	Batch uint64 `json:"bt,omitempty"`
	// Priority orders the sized tasks that wait at an agent, 0 first, and DueMS those
	// of one priority: the time on the agent's clock by which the task should start.
	Priority int   `json:"pr,omitempty"`
	DueMS    int64 `json:"du,omitempty"`
}

// MoreUrgent reports whether s goes before o at an agent.
func (s *Start) MoreUrgent(o *Start) bool {
	if s.Priority != o.Priority {
		return s.Priority < o.Priority
	}
	return s.DueMS < o.DueMS
}

// Recall names one try of a task that the entry takes back.
type Recall struct {
	Key   ids.TaskKey `json:"k"`
	Epoch ids.Epoch   `json:"ep,omitempty"`
	Try   uint32      `json:"y,omitempty"`
}

// Ack names one answer that an entry has taken over. Without the try, the ack of a
// refusal would also withdraw the answer to the next try of the task.
type Ack struct {
	Key ids.TaskKey `json:"k"`
	Try uint32      `json:"y,omitempty"`
}

// Exchange is the message of an entry to an agent.
type Exchange struct {
	Entry  ids.Incarnation `json:"e"`
	Starts []Start         `json:"s,omitempty"`
	// Recalls takes back tasks that have not started.
	Recalls []Recall `json:"r,omitempty"`
	// Cancels drops the unstarted tasks of jobs and aborts the started ones.
	Cancels []Ownership `json:"c,omitempty"`
	// Aborts ends single requests whose answer nobody waits for any more.
	Aborts []ids.TaskKey `json:"x,omitempty"`
	// Acks lists answers that the entry has taken over. The agent may drop
	// their bodies, but keeps the rows.
	Acks []Ack `json:"a,omitempty"`
	// Ended lists jobs that need no further rows beyond the retention.
	Ended []ids.Job `json:"z,omitempty"`
	// Demand is how many tasks for this agent's service wait at the entry.
	Demand int `json:"d"`
	// ValidUntilMS is the time on the agent's clock until which the message may
	// be acted on and the entry's sized tasks may run. Zero means no limit. It
	// keeps a message that a partition held up from starting or prolonging work.
	ValidUntilMS int64 `json:"v,omitempty"`
}

// Answer is the end of a task at an agent.
type Answer struct {
	Key ids.TaskKey `json:"k"`
	// Try is the try of the start that is answered. It keeps a repeated refusal
	// of an earlier try apart from the answer to a later one.
	Try     uint32          `json:"y,omitempty"`
	Verdict verdict.Verdict `json:"v"`
	Reason  verdict.Reason  `json:"r,omitempty"`
	Status  int             `json:"s,omitempty"` // HTTP status of the upstream, zero if there was none
	Headers []Header        `json:"h,omitempty"`
	Body    []byte          `json:"b,omitempty"`
	// QueueUS and RunUS are the times that the task waited at the agent and ran
	// on the upstream, in microseconds.
	QueueUS int64 `json:"q,omitempty"`
	RunUS   int64 `json:"u,omitempty"`
}

// Report is the message of an agent to an entry.
type Report struct {
	Upstream ids.Incarnation `json:"u"`
	// Answers holds results and refusals alike. A refusal has verdict not-run.
	Answers []Answer `json:"a,omitempty"`
	// Started lists tasks whose recall came too late: they run.
	Started []ids.TaskKey `json:"s,omitempty"`
	// Credit is how many tasks of this entry the agent holds at once at most,
	// queued and running together.
	Credit int `json:"c"`
	// Held is how many tasks of this entry are queued or running there now.
	Held    int `json:"h,omitempty"`
	Running int `json:"n"` // tasks running for all entries
	Queued  int `json:"q"` // tasks queued for all entries
	// Others splits the tasks of other entries, queued and running, by team.
	Others   []TeamTasks `json:"o,omitempty"`
	Draining bool        `json:"d,omitempty"`
	// Down is set while the agent can't reach its upstream.
	Down bool `json:"x,omitempty"`
	// ClockMS is the agent's clock when the report was made, set by agents of workers.
	ClockMS int64 `json:"t,omitempty"`
	// Pace is the average logarithm of the ratio of run times to declared ones over
	// PaceTasks recent tasks of a worker.
	Pace      float64 `json:"p,omitempty"`
	PaceTasks int     `json:"pn,omitempty"`
	// Unfit is set while a worker fails its tasks or most of them run far longer
	// than they should. It gets one task at a time.
	Unfit bool `json:"st,omitempty"`
}

// TeamTasks is a number of tasks of one team.
type TeamTasks struct {
	Team  ids.Team `json:"g"`
	Tasks int      `json:"n"`
}

// Hello is the first request of an entry on a connection to an agent.
type Hello struct {
	Entry ids.Incarnation `json:"e"`
}

// HelloReply names the incarnation that answers.
type HelloReply struct {
	Upstream ids.Incarnation `json:"u"`
}

// Claim asks an agent for its rows of a job and raises the job's epoch there.
type Claim struct {
	Ownership
	Entry ids.Incarnation `json:"entry"`
}

// TaskState is the state of a row at an agent.
type TaskState string

// The states of a row in an agent's start table.
const (
	TaskQueued   TaskState = "queued"
	TaskRunning  TaskState = "running"
	TaskEnded    TaskState = "ended"
	TaskRecalled TaskState = "recalled"
)

// TaskRow is one row of a claimed job.
type TaskRow struct {
	Index  int       `json:"i"`
	State  TaskState `json:"s"`
	Answer *Answer   `json:"a,omitempty"` // set when ended
}

// ClaimReply answers Claim. After it the agent refuses older epochs of the job.
// Queued rows have been recalled by the claim; running rows will be reported to
// the new owner when they end.
type ClaimReply struct {
	Upstream ids.Incarnation `json:"u"`
	Rows     []TaskRow       `json:"rows,omitempty"`
	Err      *verdict.Error  `json:"err,omitempty"` // fenced by a newer epoch
}

// StateQuery asks the owner of a job for its state on behalf of a caller.
type StateQuery struct {
	Job    ids.Job `json:"job"`
	WaitMS int64   `json:"wait"`
}

// JobStatus is the state or answer of a job as its owner holds it.
type JobStatus struct {
	Job     ids.Job         `json:"job"`
	State   JobState        `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Tasks   int             `json:"tasks"`
	Done    int             `json:"done"`
	Results []Answer        `json:"results,omitempty"` // all tasks in order, when complete
	// NeedBodies is set while a new owner holds tasks that have never started
	// but whose bodies went with the former owner. A resubmission supplies them.
	NeedBodies bool `json:"need,omitempty"`
}

// TaskSpec is what a caller wants done in one task.
type TaskSpec struct {
	Method  string   `json:"m"`
	Path    string   `json:"p"`
	Headers []Header `json:"h,omitempty"`
	Body    []byte   `json:"b,omitempty"`
	// Name and Size are those of a sized task, as in Start.
	Name string    `json:"w,omitempty"`
	Size Resources `json:"z,omitzero"`
	// DeclaredMS is the declared run time, as in Start.
	DeclaredMS int64 `json:"q,omitempty"`
}

// Bodies hands the task bodies of a resubmission to the owner of the job. The
// sender has checked the body hash against the job's record.
type Bodies struct {
	Job   ids.Job    `json:"job"`
	Tasks []TaskSpec `json:"tasks"`
}
