// Package worker runs sized tasks on a worker: a machine that starts what it is
// told to start, ends everything when its lease runs out, and lists what runs
// and what has ended. Core decides what to order and when; it holds no network,
// file, clock or random source. Runner carries the orders out through a Port.
package worker

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// RunID names one run of a task at a worker.
type RunID struct {
	Task   string
	Number uint32 // from 1, higher for each later run of the task
}

// Fence is the fencing token of the process that gives orders. A worker ignores
// orders with a lower one than it has seen.
type Fence uint64

// StartOrder asks a worker to begin a run.
type StartOrder struct {
	Run   RunID
	Spec  []byte
	Fence Fence
	// Until is the time on the worker's clock after which the order is refused,
	// and until which it prolongs the lease of all runs.
	Until time.Duration
}

// Refusal is why a worker did not begin a run. It has not run then and never will.
type Refusal string

// The reasons for which a worker refuses a start.
const (
	RefusedFenced     Refusal = "fenced"     // another process has a higher fence
	RefusedSuperseded Refusal = "superseded" // a run of this number or a higher one has ended there
	RefusedLate       Refusal = "late"       // the order arrived after its time
	RefusedFull       Refusal = "full"       // the task doesn't fit
	RefusedUnhealthy  Refusal = "unhealthy"  // the worker takes nothing now
	RefusedInvalid    Refusal = "invalid"    // the worker can't read the order
	RefusedReplaced   Refusal = "replaced"   // another life of the worker answered
)

// StartReply answers a StartOrder.
type StartReply struct {
	Clock   time.Duration // of the worker, zero if unknown
	Refused Refusal       // empty when the run has begun
}

// StopOrder asks a worker to end a run, or to refuse it when it arrives later.
type StopOrder struct {
	Run   RunID
	Fence Fence
}

// RenewOrder prolongs the lease of everything that runs on a worker, takes note
// of ends, and asks for what runs and has ended.
type RenewOrder struct {
	Fence Fence
	// Cursor is the number of the last end that has been taken note of.
	Cursor uint64
	// Until is the end of the lease on the worker's clock, zero to leave it.
	Until time.Duration
	// Wait is how long the worker may hold the answer back for an end.
	Wait time.Duration
	// SentAt is the time of the order on the core's clock.
	SentAt time.Duration
}

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // by its own fault or the worker's
	EndStopped EndKind = "stopped" // on an order, or with its lease or its group
)

// End is the end of a run.
type End struct {
	Number uint64 // in the worker's list, from 1 in each life
	Run    RunID
	How    EndKind
}

// Status is what a worker says of its runs.
type Status struct {
	Clock   time.Duration
	Born    int64 // Unix milliseconds of the worker's start, zero if not given
	Running []RunID
	Ended   []End
}

// Port is the interface to one life of a worker. An error means that the order
// may have been carried out, or may yet be.
type Port interface {
	Start(ctx context.Context, o StartOrder) (StartReply, error)
	Stop(ctx context.Context, o StopOrder) error
	Renew(ctx context.Context, o RenewOrder) (Status, error)
	Close()
}

// Announcement is what a worker says of itself in a heartbeat.
type Announcement struct {
	ID       string
	Born     int64 // Unix milliseconds, zero if not given
	Sequence uint64
	Service  ids.Service
	Addr     string // host:port for orders
	Capacity wire.Resources
	Labels   []string
	Draining bool
	Clock    time.Duration
}

// SameLife reports whether two announcements come from one start of a worker.
func (a Announcement) SameLife(b Announcement) bool { return a.ID == b.ID && a.Born == b.Born }

// Config is what the core needs to know.
type Config struct {
	Fence Fence
	// Born identifies the worker's life; a status of another one ends all runs.
	Born int64
	// Lease is the longest lease that the worker grants.
	Lease time.Duration
	// StopGrace is how long the worker takes to end a run.
	StopGrace time.Duration
	// Clock is the worker's clock as known at the time of New.
	Clock time.Duration
}

// Ended is the answer of a task with the run that it is about.
type Ended struct {
	wire.Answer
	Run RunID
}

// Output is what one tick decided.
type Output struct {
	Start []StartOrder
	Stop  []StopOrder
	Renew *RenewOrder
	// Ended lists tasks that have ended for certain, each once.
	Ended []Ended
	// NextTick is when the core needs a tick without new input, zero for never.
	NextTick time.Duration
}
