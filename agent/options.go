// Package agent is the daemon beside an upstream. It accepts tasks from
// entries, lets the executor core decide which run, and carries them to the
// upstream over HTTP.
package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// Worker runs sized tasks.
type Worker interface {
	// Run begins a task. Its answer goes to the function given to OpenWorker.
	Run(s wire.Start)
	// Abort asks for the end of a task. The answer tells when it has ended.
	Abort(key ids.TaskKey)
	Close()
}

// OpenWorker takes over the worker for an incarnation. It returns once nothing
// of an earlier one runs there. ended receives each answer once.
type OpenWorker func(ctx context.Context, self ids.Incarnation, ended func(wire.Answer)) (Worker, error)

// Options sets up an agent. Zero values of the bounds and times stand for the
// defaults of withDefaults.
type Options struct {
	Node    ids.Node
	Region  ids.Region
	Domain  ids.Domain
	Service ids.Service
	// Listen is the address for entries, Advertise the one that is registered.
	// An empty Advertise stands for the address of the listener.
	Listen, Advertise string
	// Upstream is the host:port of the upstream.
	Upstream string
	// Slots and Connections are registered as the size of the upstream.
	Slots, Connections int
	// Capacity is that of a worker, which runs sized tasks. Zero for an upstream
	// with slots.
	Capacity wire.Resources
	// Labels are those of a worker.
	Labels []string
	// Worker opens the worker beside the agent. Nil for an upstream over HTTP.
	Worker   OpenWorker
	Security rpc.Security
	// Counters counts the messages with entries, nil for none.
	Counters *rpc.Counters
	// Session opens the session with the control group.
	Session OpenSession
	// Scope receives metrics, nil for none.
	Scope tally.Scope

	// LookAhead is how many tasks may wait at the agent beyond the running ones.
	LookAhead int
	// AnswerBytes bounds the memory of kept answers.
	AnswerBytes int64
	// MaxResponseBytes bounds the body of one answer of the upstream.
	MaxResponseBytes int
	// TaskTimeout bounds one task when the configuration names no timeout.
	TaskTimeout time.Duration
	// LingerTimeout bounds how long a call goes on after its answer was given up.
	LingerTimeout time.Duration
	// IdleTimeout closes connections to the upstream that were not used. It
	// should be below the upstream's own, since a request on a connection that
	// the upstream has just closed counts as may-have-run.
	IdleTimeout time.Duration
	// ProbeInterval is the time between probes of an upstream that is down.
	ProbeInterval time.Duration
	// TickMin is the least time between two ticks of the core.
	TickMin time.Duration
	// HandoverTimeout bounds the wait for acknowledgements of answers at a drain.
	HandoverTimeout time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if o.Node == "" || o.Service == "" || o.Upstream == "" {
		return o, errors.New("agent: node, service and upstream are needed")
	}
	if o.Session == nil {
		return o, errors.New("agent: no session with the control group")
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	orInt(&o.Slots, 8)
	orInt(&o.Connections, 64)
	orInt(&o.LookAhead, 1)
	orInt(&o.MaxResponseBytes, wire.MaxBodyBytes)
	if o.AnswerBytes == 0 {
		o.AnswerBytes = 8 << 20
	}
	orString(&o.Listen, "127.0.0.1:0")
	orTime(&o.TaskTimeout, 30*time.Second)
	orTime(&o.LingerTimeout, 5*time.Minute)
	orTime(&o.IdleTimeout, 5*time.Second)
	orTime(&o.ProbeInterval, 500*time.Millisecond)
	orTime(&o.TickMin, 500*time.Microsecond)
	orTime(&o.HandoverTimeout, 5*time.Second)
	return o, nil
}

func orInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func orString(v *string, def string) {
	if *v == "" {
		*v = def
	}
}

func orTime(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}
