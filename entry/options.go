// Package entry is the daemon that accepts callers' jobs and single requests
// over HTTP, has them admitted by the control group, and lets the dispatch core
// place their tasks on the agents.
package entry

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// maxDeadline bounds the deadline that a caller may ask for. Agents keep rows
// for longer than this.
const maxDeadline = time.Hour

// Options sets up an entry. Zero values of the bounds and times stand for the
// defaults of withDefaults.
type Options struct {
	Node   ids.Node
	Region ids.Region
	Domain ids.Domain
	// Weight is the size of this entry relative to the others.
	Weight int
	// Callers is the address of the callers' HTTP listener.
	Callers string
	// Listen is the address for other entries, Advertise the one that is
	// registered. An empty Advertise stands for the address of the listener.
	Listen, Advertise string
	Security          rpc.Security
	// Counters counts the messages with agents and entries, nil for none.
	Counters *rpc.Counters
	// Session opens the session with the control group.
	Session OpenSession
	// Scope receives metrics, nil for none.
	Scope tally.Scope
	// Seed starts the random choices of the dispatch core.
	Seed uint64

	// Connections bounds the callers' connections.
	Connections int
	// BodyBytes bounds the body of one request of a caller.
	BodyBytes int
	// HeaderBytes bounds the header of one request of a caller.
	HeaderBytes int
	// ReadTimeout, WriteTimeout and IdleTimeout bound one request, one answer
	// and the pause between requests on a caller's connection.
	ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	// AnswerBytes bounds the memory of the answers kept for callers.
	AnswerBytes int64
	// AdmitTimeout bounds the wait for a job's record.
	AdmitTimeout time.Duration
	// Handler makes the handler of the callers' listener. Nil stands for the
	// project's own interface.
	Handler func(*Entry) fasthttp.RequestHandler
	// Grace is how long work is still taken in after Drain has begun. A balancer
	// sends connections until it has seen twice that the entry is not ready.
	Grace time.Duration
	// MoveAfter is the time after Drain has begun from which an answer closes its
	// connection. The caller's next one goes to another entry then, while one that
	// stays open would be used until the entry refuses what arrives on it.
	MoveAfter time.Duration
	// TickMin is the least time between two ticks of the core.
	TickMin time.Duration
	// PingAfter is the silence of an agent with work after which it is asked
	// whether it lives; SuspectAfter is the wait for its answer.
	PingAfter, SuspectAfter time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if o.Node == "" {
		return o, errors.New("entry: no node name")
	}
	if o.Session == nil {
		return o, errors.New("entry: no session with the control group")
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	defaultString(&o.Callers, "127.0.0.1:0")
	defaultString(&o.Listen, "127.0.0.1:0")
	defaultInt(&o.Weight, 1)
	defaultInt(&o.Connections, 4096)
	defaultInt(&o.BodyBytes, 2*wire.MaxBodyBytes)
	defaultInt(&o.HeaderBytes, 16<<10)
	if o.AnswerBytes == 0 {
		o.AnswerBytes = 256 << 20
	}
	defaultDuration(&o.ReadTimeout, 10*time.Second)
	defaultDuration(&o.WriteTimeout, 30*time.Second)
	defaultDuration(&o.IdleTimeout, time.Minute)
	defaultDuration(&o.AdmitTimeout, 5*time.Second)
	defaultDuration(&o.TickMin, 500*time.Microsecond)
	defaultDuration(&o.PingAfter, 500*time.Millisecond)
	defaultDuration(&o.SuspectAfter, time.Second)
	return o, nil
}

func defaultInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func defaultString(v *string, def string) {
	if *v == "" {
		*v = def
	}
}

func defaultDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}
