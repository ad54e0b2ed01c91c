// Package lease divides the time after which a caller repeats a batch among the leases
// that end the batch's tasks.
//
// An entry that is lost can't stop its tasks, and its caller repeats the batch, which
// starts the same tasks elsewhere. Two leases end the tasks before that, one granted
// after the other: the entry's lease at the agent, and the lease that the agent renews at
// the worker. Before them, an entry goes on for a while for a caller that has left. Their
// sum counts, so all follow from one set of limits.
package lease

import (
	"time"

	"github.com/go-faster/errors"
)

// Limits are the times that a deployment gives. Zero values are replaced by defaults.
type Limits struct {
	// RepeatAfter is the time from the loss of an answer until the caller repeats its
	// batch.
	RepeatAfter time.Duration
	// Longest is the longest lease that a worker grants.
	Longest time.Duration
	// StopGrace is the time that a worker takes to stop a run.
	StopGrace time.Duration
}

const (
	defaultRepeatAfter = 1300 * time.Millisecond
	defaultLongest     = time.Second
	defaultStopGrace   = 50 * time.Millisecond

	// Shares of the time until a caller repeats its batch. What they leave over is for
	// the worker's lease and its stop.
	entryShare     = 5.0 / 13
	reconnectShare = 2.0 / 13
	noticeShare    = 1.0 / 13
	reserveShare   = 1.0 / 13 // messages under way and timers that fire late
)

// Times are the leases of a batch's tasks. For each run, Notice, Entry and Worker follow
// one another from the moment at which the caller loses its answer.
type Times struct {
	// Notice is how long an entry may take to notice that a caller has disconnected.
	Notice time.Duration
	// Entry is how long an agent keeps the tasks of an entry running after a message of
	// that entry.
	Entry time.Duration
	// Reconnect is how long it does after the connection to the entry was lost.
	Reconnect time.Duration
	// Worker is the time by which the worker's lease may outlast the entry's lease or an
	// abort. A run that is not stopped by then ends with it.
	Worker time.Duration
	// RepeatAfter and StopGrace are the limits that the times follow from.
	RepeatAfter, StopGrace time.Duration
}

// Divide returns the leases for the given limits.
func Divide(l Limits) Times {
	l = l.withDefaults()
	share := func(part float64) time.Duration { return time.Duration(part * float64(l.RepeatAfter)) }
	t := Times{
		Notice: share(noticeShare), Entry: share(entryShare), Reconnect: share(reconnectShare),
		RepeatAfter: l.RepeatAfter, StopGrace: l.StopGrace,
	}
	left := l.RepeatAfter - t.Notice - t.Entry - share(reserveShare) - l.StopGrace
	t.Worker = max(min(left, l.Longest), 0)
	return t
}

// Default returns the leases for the default limits.
func Default() Times { return Divide(Limits{}) }

// Check returns an error if the limits leave no time for the worker's lease.
func (t Times) Check() error {
	if t.Worker <= 0 {
		return errors.Errorf("callers repeat a batch after %v, too soon for a lease of its tasks and a stop of %v", t.RepeatAfter, t.StopGrace)
	}
	return nil
}

// Bound returns the longest time from the loss of a caller's answer until the runs of its
// batch have ended, whatever has become of the entry and the agent.
func (t Times) Bound() time.Duration {
	return t.Notice + t.Entry + t.Worker + t.StopGrace
}

func (l Limits) withDefaults() Limits {
	if l.RepeatAfter <= 0 {
		l.RepeatAfter = defaultRepeatAfter
	}
	if l.Longest <= 0 {
		l.Longest = defaultLongest
	}
	if l.StopGrace <= 0 {
		l.StopGrace = defaultStopGrace
	}
	return l
}
