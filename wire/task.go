// Package wire defines the messages between the system's processes, their method names
// and the limits and intervals that the processes share.
package wire

import (
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// Names of the RPC methods.
const (
	MethodRegister = "control.register"
	MethodRenew    = "renew" // short, since most control messages are renewals
	MethodLeave    = "control.leave"
	MethodAdmit    = "control.admit"
	MethodComplete = "control.complete"
	MethodJob      = "control.job"
	MethodApply    = "control.apply"
	MethodPatch    = "control.patch"
	MethodGet      = "control.get"
	MethodConfirm  = "control.confirm"
	MethodStatus   = "control.status"
	MethodReplace  = "control.replace"
	MethodJoin     = "control.join"
	MethodDrain    = "control.drain"
	// MethodDrainDomain is the method of DrainDomain.
	MethodDrainDomain = "control.drain-domain"
	MethodStep        = "peer.step"
	MethodRenewals    = "peer.renewals"

	MethodHello    = "agent.hello"
	MethodExchange = "agent.exchange"
	MethodClaim    = "agent.claim"
	MethodPing     = "agent.ping"
	MethodReport   = "entry.report"
	MethodState    = "entry.state"
	MethodBodies   = "entry.bodies"
	MethodCancel   = "entry.cancel"
	MethodDelete   = "entry.delete"
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
	// Epoch is the owner's epoch, zero for a single request.
	Epoch ids.Epoch `json:"ep,omitempty"`
	// Try counts the placements of the task by its owner, from 1. An agent that has
	// refused or returned a try accepts only a later one; otherwise a delayed copy of
	// the start could still run.
	Try uint32 `json:"y,omitempty"`
	// Team is the team of the task's caller. Agents report it to other entries.
	Team    ids.Team `json:"g,omitempty"`
	Method  string   `json:"m"`
	Path    string   `json:"p"`
	Headers []Header `json:"h,omitempty"`
	Body    []byte   `json:"b,omitempty"`
	// BudgetMS is the time left for the task when the message was sent. The agent
	// refuses the task if it can't start it within that time.
	BudgetMS int64 `json:"t"`
	// Name identifies a sized task at its worker. All entries use the same name.
	Name string `json:"w,omitempty"`
	// Size is the resources that a sized task takes, zero for a task that takes a slot.
	Size Resources `json:"z,omitzero"`
	// DeclaredMS is the declared run time of a sized task, zero if unknown.
	DeclaredMS int64 `json:"q,omitempty"`
	// Batch identifies the batch of a sized task by the index of the batch's first task.
	Batch uint64 `json:"bt,omitempty"`
	// Priority orders the sized tasks that wait at an agent, 0 first. DueMS orders
	// those of one priority; it is the time on the agent's clock by which the task
	// should start.
	Priority int   `json:"pr,omitempty"`
	DueMS    int64 `json:"du,omitempty"`
}

// MoreUrgent reports whether an agent runs s before o.
func (s *Start) MoreUrgent(o *Start) bool {
	if s.Priority != o.Priority {
		return s.Priority < o.Priority
	}
	return s.DueMS < o.DueMS
}

// Recall asks an agent to return one try of a task that has not started.
type Recall struct {
	Key   ids.TaskKey `json:"k"`
	Epoch ids.Epoch   `json:"ep,omitempty"`
	Try   uint32      `json:"y,omitempty"`
}

// Ack acknowledges one answer that an entry has received. Without the try, the ack of a
// refusal would also remove the answer to the next try of the task.
type Ack struct {
	Key ids.TaskKey `json:"k"`
	Try uint32      `json:"y,omitempty"`
}

// Exchange is the message of an entry to an agent that starts, recalls, cancels and
// acknowledges tasks.
type Exchange struct {
	Entry  ids.Incarnation `json:"e"`
	Starts []Start         `json:"s,omitempty"`
	// Recalls lists tasks that the agent should return if they have not started.
	Recalls []Recall `json:"r,omitempty"`
	// Cancels lists jobs whose queued tasks are dropped and whose running tasks are
	// aborted.
	Cancels []Ownership `json:"c,omitempty"`
	// Aborts lists single requests whose caller no longer waits for the answer.
	Aborts []ids.TaskKey `json:"x,omitempty"`
	// Acks lists answers that the entry has received. The agent may drop their bodies,
	// but keeps their rows in the start table.
	Acks []Ack `json:"a,omitempty"`
	// Ended lists jobs that have ended, whose rows the agent may drop after the
	// retention.
	Ended []ids.Job `json:"z,omitempty"`
	// Demand is the number of tasks for the agent's service that wait at the entry.
	Demand int `json:"d"`
	// ValidUntilMS is the time on the agent's clock until which the message is valid
	// and the entry's sized tasks may run. Zero means that the message doesn't expire; it
	// prolongs sized tasks by an entry's lease from its arrival. Without it, a message
	// that is delayed by a network partition could start or prolong work.
	ValidUntilMS int64 `json:"v,omitempty"`
	// Received is the number of messages that the entry has received over the connection,
	// as counted by rpc.Conn.
	Received uint64 `json:"rx,omitempty"`
}

// Answer is the result or refusal of a task at an agent.
type Answer struct {
	Key ids.TaskKey `json:"k"`
	// Try is the try of the start that is answered. It distinguishes a repeated refusal
	// of an earlier try from the answer to a later one.
	Try     uint32          `json:"y,omitempty"`
	Verdict verdict.Verdict `json:"v"`
	Reason  verdict.Reason  `json:"r,omitempty"`
	Status  int             `json:"s,omitempty"` // HTTP status of the upstream, zero if there was none
	Headers []Header        `json:"h,omitempty"`
	Body    []byte          `json:"b,omitempty"`
	// QueueUS is the time that the task waited at the agent, RunUS the time that it ran
	// on the upstream, both in microseconds.
	QueueUS int64 `json:"q,omitempty"`
	RunUS   int64 `json:"u,omitempty"`
}

// Report is the message of an agent to an entry with answers and the agent's load.
type Report struct {
	Upstream ids.Incarnation `json:"u"`
	// Answers contains results and refusals. A refusal has verdict not-run.
	Answers []Answer `json:"a,omitempty"`
	// Started lists tasks whose recall arrived after they had started.
	Started []ids.TaskKey `json:"s,omitempty"`
	// Credit is the maximum number of tasks of this entry, queued and running, that the
	// agent accepts at once.
	Credit int `json:"c"`
	// Held is the number of tasks of this entry that are queued or running at the agent.
	Held    int `json:"h,omitempty"`
	Running int `json:"n"` // tasks running for all entries
	Queued  int `json:"q"` // tasks queued for all entries
	// Others counts the tasks of other entries, queued and running, by team.
	Others []TeamTasks `json:"o,omitempty"`
	// OtherSize is what the tasks of other entries, queued and running, take at a worker.
	OtherSize Resources `json:"os,omitzero"`
	Draining  bool      `json:"d,omitempty"`
	// UpstreamDown is set while the agent can't connect to its upstream.
	UpstreamDown bool `json:"x,omitempty"`
	// Received is the number of messages that the agent has received over the connection,
	// as counted by rpc.Conn.
	Received uint64 `json:"rx,omitempty"`
	// ClockMS is the time on the agent's clock when the report was made. Only agents of
	// workers set it.
	ClockMS int64 `json:"t,omitempty"`
	// Pace is the average logarithm of the ratio of measured to declared run times over
	// PaceTasks recent tasks of a worker.
	Pace      float64 `json:"p,omitempty"`
	PaceTasks int     `json:"pn,omitempty"`
	// Unfit is set while a worker fails its tasks or most of them run far longer than
	// declared. An unfit worker gets one task at a time.
	Unfit bool `json:"st,omitempty"`
}

// TeamTasks is the number of tasks of one team.
type TeamTasks struct {
	Team  ids.Team `json:"g"`
	Tasks int      `json:"n"`
}

// Hello is the first request of an entry on a connection to an agent.
type Hello struct {
	Entry ids.Incarnation `json:"e"`
}

// HelloReply names the agent's incarnation.
type HelloReply struct {
	Upstream ids.Incarnation `json:"u"`
}

// Claim asks an agent for its rows of a job and raises the job's epoch at the agent.
type Claim struct {
	Ownership
	Entry ids.Incarnation `json:"entry"`
}

// TaskState is the state of a row in an agent's start table.
type TaskState string

// The states of a row.
const (
	TaskQueued   TaskState = "queued"
	TaskRunning  TaskState = "running"
	TaskEnded    TaskState = "ended"
	TaskRecalled TaskState = "recalled"
)

// TaskRow is the row of one task of a claimed job.
type TaskRow struct {
	Index  int       `json:"i"`
	State  TaskState `json:"s"`
	Answer *Answer   `json:"a,omitempty"` // set when ended
}

// ClaimReply is the reply to Claim. From then on the agent refuses older epochs of the
// job. Queued tasks have been recalled by the claim; running tasks are reported to the
// new owner when they end.
type ClaimReply struct {
	Upstream ids.Incarnation `json:"u"`
	Rows     []TaskRow       `json:"rows,omitempty"`
	Err      *verdict.Error  `json:"err,omitempty"` // set if a newer epoch has fenced the claim
}

// StateQuery asks the owner of a job for its state on behalf of a caller.
type StateQuery struct {
	Job    ids.Job `json:"job"`
	WaitMS int64   `json:"wait"`
}

// BatchID is the name that a caller has given to a batch, in the batch's queue.
type BatchID struct {
	Queue string `json:"q"`
	ID    string `json:"id"`
}

// DeleteBatches asks another entry to end batches and to run none of them from then on.
type DeleteBatches struct {
	Batches []BatchID `json:"b"`
}

// BatchesDeleted is the reply to DeleteBatches: no task of the batches runs any more.
type BatchesDeleted struct {
	Known bool `json:"known,omitempty"` // the entry had run one of them, or knew of its deletion
}

// JobStatus is the state of a job at its owner, with the results once it is complete.
type JobStatus struct {
	Job     ids.Job         `json:"job"`
	State   JobState        `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Tasks   int             `json:"tasks"`
	Done    int             `json:"done"`
	Results []Answer        `json:"results,omitempty"` // of all tasks in order, set when complete
	// NeedBodies is set while a new owner has tasks that never started and whose bodies
	// were lost with the former owner. A resubmission supplies them.
	NeedBodies bool `json:"need,omitempty"`
}

// TaskSpec is one task as submitted by a caller.
type TaskSpec struct {
	Method  string   `json:"m"`
	Path    string   `json:"p"`
	Headers []Header `json:"h,omitempty"`
	Body    []byte   `json:"b,omitempty"`
	// Name and Size describe a sized task, as in Start.
	Name string    `json:"w,omitempty"`
	Size Resources `json:"z,omitzero"`
	// DeclaredMS is the declared run time, as in Start.
	DeclaredMS int64 `json:"q,omitempty"`
}

// Bodies transfers the task bodies of a resubmission to the owner of the job. The sender
// has compared the body hash with the job's record.
type Bodies struct {
	Job   ids.Job    `json:"job"`
	Tasks []TaskSpec `json:"tasks"`
}
