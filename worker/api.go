// Package worker runs sized tasks on a worker process. The worker starts and stops runs
// on request, stops all of them when its lease expires, and lists the runs in progress
// and the ended ones. Core decides which requests to send and when; it is deterministic
// and does no I/O. Runner sends the requests through a Client.
package worker

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// RunID identifies a run of a task at a worker.
type RunID struct {
	Task   string
	Number uint32 // starts at 1 and increases with each run of the task
}

// Fence is the fencing token of the process that sends requests. A worker rejects
// requests with a token lower than the highest that it has seen.
type Fence uint64

// fenceRevisionBits are the low bits of a fencing token. An owner increases them to make
// the worker reject its own earlier requests.
const fenceRevisionBits = 32

// NewFence returns the first fencing token of an owner. Owners are numbered in the order
// in which they own the worker.
func NewFence(owner uint64) Fence { return Fence(owner << fenceRevisionBits) }

// StartRequest requests the start of a run.
type StartRequest struct {
	Run   RunID
	Spec  []byte
	Fence Fence
	// Until is a time on the worker's clock. After it the request is refused; if accepted,
	// the request extends the lease of all runs until then.
	Until time.Duration
	// SendBy is the time on the core's clock from which the request must not be sent.
	SendBy time.Duration
}

// Expired reports whether the request must not be sent at now, on the core's clock.
func (r StartRequest) Expired(now time.Duration) bool { return now >= r.SendBy }

// Refusal is the reason why a worker refused a start. A refused run has not started and
// never will.
type Refusal string

// Reasons for refusing a start.
const (
	RefusedFenced     Refusal = "fenced"     // the worker has seen a higher fencing token
	RefusedSuperseded Refusal = "superseded" // a run of the task with this or a higher number has ended or was stopped
	RefusedExpired    Refusal = "late"       // the request arrived after Until
	RefusedFull       Refusal = "full"       // the task doesn't fit into the free capacity
	RefusedUnhealthy  Refusal = "unhealthy"  // the worker accepts no tasks at present
	RefusedInvalid    Refusal = "invalid"    // the worker can't parse the request
	RefusedReplaced   Refusal = "replaced"   // the process has ended: another start of the worker, or another worker, has its address
)

// StartReply is the reply to a StartRequest.
type StartReply struct {
	Clock   time.Duration // worker's clock, zero if unknown
	Refused Refusal       // empty if the run has started
}

// StopRequest requests the stop of a run. If the run is unknown, the worker refuses its
// start should it arrive later.
type StopRequest struct {
	Run   RunID
	Fence Fence
}

// StopReply is the reply to a StopRequest.
type StopReply struct {
	Refused Refusal // RefusedFenced, RefusedReplaced, or empty if the run is being stopped or is over
}

// RenewRequest extends the lease of all runs on a worker, acknowledges ends, and requests
// the worker's Status.
type RenewRequest struct {
	Fence Fence
	// Cursor is the number of the last recorded end. The worker drops the ends up to it.
	Cursor uint64
	// Until is the end of the lease on the worker's clock; zero leaves the lease as it is.
	Until time.Duration
	// Wait is how long the worker may delay its reply until a run ends (long poll).
	Wait time.Duration
	// SentAt is when the request was made, on the core's clock.
	SentAt time.Duration
}

// Expired reports whether the request must not be sent at now, on the core's clock.
func (r RenewRequest) Expired(now time.Duration) bool { return now >= r.SentAt+maxSendDelay }

// EndKind is the outcome of a run.
type EndKind string

// Outcomes of a run.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // through a fault of the task or of the worker
	EndStopped EndKind = "stopped" // on request, by expiry of the lease, or together with its group
)

// End records the end of a run.
type End struct {
	Number uint64 // sequence number in the worker's list, starts at 1 with each start of the worker
	Run    RunID
	How    EndKind
}

// Status lists the runs of a worker, or says that it refused the request.
type Status struct {
	Refused Refusal // RefusedFenced, RefusedReplaced, or empty
	Clock   time.Duration
	Running []RunID
	Ended   []End
}

// Client sends requests to one start of a worker. A request reaches that start or none:
// after a restart all of them are refused with RefusedReplaced. After an error the request
// may have been executed, or may still be executed later by the same start.
type Client interface {
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	Stop(ctx context.Context, req StopRequest) (StopReply, error)
	Renew(ctx context.Context, req RenewRequest) (Status, error)
	Close()
}

// Announcement is the content of a worker's heartbeat.
type Announcement struct {
	ID       string
	Born     int64 // Unix milliseconds of the worker's start, zero if unknown
	Sequence uint64
	Service  ids.Service
	Addr     string // host:port for requests
	Capacity wire.Resources
	Labels   []string
	Draining bool
	Clock    time.Duration
}

// SameInstance reports whether two announcements come from the same instance of a worker,
// with no restart in between.
func (a Announcement) SameInstance(b Announcement) bool { return a.ID == b.ID && a.Born == b.Born }

// Config describes the worker and its owner.
type Config struct {
	// Fence is the first fencing token of the owner; see NewFence.
	Fence Fence
	// Lease is the longest lease that the worker grants.
	Lease time.Duration
	// StopWindow is the time after the lease of a run's owner, or after the request to
	// stop the run, by which the worker's lease may outlast them. Zero means that of
	// lease.Default.
	StopWindow time.Duration
	// Clock is the worker's clock at the time of New.
	Clock time.Duration
	// OnRestart, if not nil, is called once when another instance of the worker has
	// answered. It must not block.
	OnRestart func()
}

// Evidence is what the core concluded an answer from.
type Evidence string

// What an answer can be concluded from.
const (
	EvidenceListed    Evidence = "end listed"       // the worker has listed the end of the run
	EvidenceAbsent    Evidence = "absent"           // a status doesn't list a run that had started or was stopped
	EvidenceRefused   Evidence = "start refused"    // the worker or the core has refused the start
	EvidenceLeased    Evidence = "lease too long"   // the lease in force outlasts the owner's lease by too much
	EvidenceExpired   Evidence = "start expired"    // the start was not sent while it was valid
	EvidenceRestarted Evidence = "worker restarted" // another instance of the worker has answered
	EvidenceFenced    Evidence = "fenced"           // the worker obeys a higher fencing token
)

// Ended is the answer of a task and the run that produced it.
type Ended struct {
	wire.Answer
	Run      RunID
	Evidence Evidence
}

// Output lists the requests to send and the tasks that have ended.
type Output struct {
	Start []StartRequest
	Stop  []StopRequest
	Renew *RenewRequest
	// Ended lists the tasks with a final answer. Each task is listed once.
	Ended []Ended
	// NextTick is the time of the next tick if no input arrives before; zero means that
	// none is needed.
	NextTick time.Duration
}
