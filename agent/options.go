// Package agent is the daemon that runs beside an upstream. It accepts tasks from
// entries, lets the executor core schedule them, and sends them to the upstream
// over HTTP or to a worker.
package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// Worker runs sized tasks, which declare the resources they take.
type Worker interface {
	// Run starts a task, unless the worker would then run it for too long after leaseEnd,
	// the end of the lease of its owner. Zero means no limit. Its answer goes to the
	// function given to OpenWorker.
	Run(s wire.Start, leaseEnd time.Duration)
	// Abort asks the worker to end a task. The task has ended when its answer arrives.
	Abort(key ids.TaskKey)
	// SetOwnersLease sets the earliest end of a lease of the entries that have tasks
	// running, zero for none. Runs must be over soon after it unless it is extended.
	SetOwnersLease(end time.Duration)
	Close()
}

// OpenWorker connects an incarnation to the worker. It returns once no task of an
// earlier incarnation runs there. Times that the two exchange are on the given clock.
// ended receives each answer once.
type OpenWorker func(ctx context.Context, self ids.Incarnation, c *clock.Stopwatch, ended func(wire.Answer)) (Worker, error)

// PeersShare is what entries can take of the limits of an agent's process.
var PeersShare = intake.Share{Sockets: 0.5, Kept: 0.5, Limit: 0.75}

// Options configures an agent. Zero values of limits and durations are replaced by
// the defaults in withDefaults.
type Options struct {
	Node    ids.Node
	Region  ids.Region
	Domain  ids.Domain
	Service ids.Service
	// Listen is the address on which the agent accepts connections from entries,
	// Advertise the one that is registered. An empty Advertise means the address of
	// the listener.
	Listen, Advertise string
	// Upstream is the host:port of the upstream.
	Upstream string
	// Slots is how many tasks the upstream runs at once, Connections how many
	// connections to it may be open. Both are part of the registration.
	Slots, Connections int
	// Capacity is the worker's capacity for sized tasks, zero for an upstream with
	// slots.
	Capacity wire.Resources
	// Labels are the labels of the worker.
	Labels []string
	// Leases are those of sized tasks; zero means lease.Default.
	Leases lease.Times
	// Worker opens the worker beside the agent. It is nil for an upstream over HTTP.
	Worker   OpenWorker
	Security rpc.Security
	// Gate bounds what entries can make the agent hold. Nil bounds the number of their
	// connections only.
	Gate *intake.Gate
	// Counters counts the messages exchanged with entries. It may be nil.
	Counters *rpc.Counters
	// Session opens the session with the control group.
	Session SessionOpener
	// Scope receives the metrics. It may be nil.
	Scope tally.Scope

	// LookAhead is how many tasks may be queued at the agent beyond the running ones.
	LookAhead int
	// AnswerBytes bounds the memory for answers that are kept.
	AnswerBytes int64
	// MaxResponseBytes bounds the body of one response of the upstream.
	MaxResponseBytes int
	// TaskTimeout bounds one task unless the configuration has a timeout for the service.
	TaskTimeout time.Duration
	// LingerTimeout bounds how long a call continues after its task timed out.
	LingerTimeout time.Duration
	// IdleTimeout is the time after which an idle connection to the upstream is
	// closed. It should be below the upstream's own idle timeout, since a request
	// on a connection that the upstream has just closed counts as may-have-run.
	IdleTimeout time.Duration
	// ProbeInterval is the time between two probes of an upstream that is down, and
	// between two attempts to register again.
	ProbeInterval time.Duration
	// TickMin is the minimum time between two ticks of the executor core.
	TickMin time.Duration
	// HandoverTimeout bounds the wait for acknowledgements of answers during a drain.
	HandoverTimeout time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if o.Node == "" || o.Service == "" || o.Upstream == "" {
		return o, errors.New("agent: node, service and upstream are needed")
	}
	if o.Session == nil {
		return o, errors.New("agent: a function that opens the session with the control group is needed")
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	defaultInt(&o.Slots, 8)
	defaultInt(&o.Connections, 64)
	defaultInt(&o.LookAhead, 1)
	defaultInt(&o.MaxResponseBytes, wire.MaxBodyBytes)
	if o.AnswerBytes == 0 {
		o.AnswerBytes = 8 << 20
	}
	defaultString(&o.Listen, "127.0.0.1:0")
	defaultDuration(&o.TaskTimeout, 30*time.Second)
	defaultDuration(&o.LingerTimeout, 5*time.Minute)
	defaultDuration(&o.IdleTimeout, 5*time.Second)
	defaultDuration(&o.ProbeInterval, 500*time.Millisecond)
	defaultDuration(&o.TickMin, 500*time.Microsecond)
	defaultDuration(&o.HandoverTimeout, 5*time.Second)
	return o, nil
}

func defaultInt(option *int, def int) {
	if *option == 0 {
		*option = def
	}
}

func defaultString(option *string, def string) {
	if *option == "" {
		*option = def
	}
}

func defaultDuration(option *time.Duration, def time.Duration) {
	if *option == 0 {
		*option = def
	}
}
