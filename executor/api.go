// Package executor decides which tasks an agent runs on its upstream. It enforces
// the concurrency limit, detects duplicate starts and rejects starts of outdated
// epochs. The package is deterministic and does no I/O: the caller passes in the time
// and the messages, and executes what Tick returns.
package executor

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/wire"
)

// DefaultTradeoff applies until SetTradeoff is called.
const DefaultTradeoff = 0.5

// Config describes the upstream and the limits of an agent.
type Config struct {
	Self        ids.Incarnation
	Slots       int // maximum number of concurrent tasks on the upstream
	Connections int // maximum number of connections to the upstream; should be at least Slots
	// LookAhead is the number of tasks that may be queued at the agent in addition to
	// the running ones.
	LookAhead int
	// Capacity is the capacity of a worker, which runs sized tasks. If it is set, Slots
	// and Connections are ignored. It is zero for an upstream with slots.
	Capacity wire.Resources
	// AnswerBytes limits the total size of the stored answers; zero means no limit.
	AnswerBytes int64
	// Leases are those of sized tasks; zero means lease.Default.
	Leases lease.Times
}

// Envelope is a report addressed to the entry with incarnation To.
type Envelope struct {
	To     ids.Incarnation
	Report wire.Report
}

// ExpiredLease describes an entry whose lease for its sized tasks has expired.
type ExpiredLease struct {
	Entry     ids.Incarnation
	Tasks     int           // queued and running tasks, which are refused or aborted
	Late      time.Duration // time from the end of the lease until this tick
	Connected bool          // the entry's connection is open
}

// Run is a task to send to the upstream.
type Run struct {
	wire.Start
	// LeaseEnd is the end of the lease of a sized task's entry, on the agent's clock. The
	// lease of the worker must not outlast it by more than Leases.Worker when the task
	// starts. Zero means no limit.
	LeaseEnd time.Duration
}

// Output lists the actions that one tick has decided on.
type Output struct {
	// Run lists the tasks to send to the upstream now. Each task is listed once.
	Run []Run
	// Abort lists the running tasks to abort: those whose answers are no longer needed,
	// those of entries whose lease has expired, and overdue tasks of batches that are to
	// start elsewhere.
	Abort []ids.TaskKey
	// OwnersLease is the earliest end of a lease of the running sized tasks, zero without
	// such a task. The worker's lease must not outlast it by more than Leases.Worker.
	OwnersLease time.Duration
	// Expired lists the entries whose lease has expired while they had tasks here.
	Expired []ExpiredLease
	Send    []Envelope
	// NextTick is the time of the next tick if no input arrives before; zero means that
	// none is needed.
	NextTick time.Duration
}
