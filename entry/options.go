// Package entry implements the daemon that accepts jobs and single requests from
// callers over HTTP, has jobs admitted by the control group, and places the tasks on
// agents through the dispatch core.
package entry

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// maxDeadline bounds the deadline that a caller may ask for. Agents keep the rows of
// tasks for longer than this.
const maxDeadline = time.Hour

// What callers and other entries can take of the limits of an entry's process.
var (
	CallersShare = intake.Share{Sockets: 0.5, Kept: 0.25, Limit: 0.875}
	PeersShare   = intake.Share{Sockets: 0.125, Kept: 0.125, Limit: 0.75}
)

// Options configures an entry. Zero bounds and times are replaced by the defaults of
// withDefaults.
type Options struct {
	Node   ids.Node
	Region ids.Region
	Domain ids.Domain
	// Weight is the size of this entry relative to the others.
	Weight int
	// Callers is the listen address of the HTTP server for callers.
	Callers string
	// Listen is the listen address for other entries, and Advertise is the registered
	// address. An empty Advertise means the address of the listener.
	Listen, Advertise string
	Security          rpc.Security
	// Counters counts the messages exchanged with agents and entries. It may be nil.
	Counters *rpc.Counters
	// Session opens a session with the control group.
	Session SessionOpener
	// Scope receives the metrics. It may be nil.
	Scope tally.Scope
	// Leases are those of the tasks of batches at workers; zero means lease.Default.
	Leases lease.Times
	// Seed seeds the random choices of the dispatch core.
	Seed uint64

	// CallersGate bounds what callers can make the entry hold. Nil applies Connections,
	// BodyBytes, RequestBytes and ReadTimeout.
	CallersGate *intake.Gate
	// Gate bounds what other entries can make the entry hold. Nil bounds the number of their
	// connections only.
	Gate *intake.Gate
	// Connections bounds the callers' connections.
	Connections int
	// BodyBytes bounds the body of one request of a caller.
	BodyBytes int
	// RequestBytes bounds the bodies of all requests of callers that are being read or
	// answered. It must not be less than BodyBytes.
	RequestBytes int64
	// HeaderBytes bounds the header of one request of a caller.
	HeaderBytes int
	// ReadTimeout bounds reading one request, WriteTimeout writing one answer, and
	// IdleTimeout the pause between requests on a caller's connection.
	ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	// AnswerBytes bounds the memory of the answers kept for callers.
	AnswerBytes int64
	// AdmitTimeout bounds one request to the control group for a job's record.
	AdmitTimeout time.Duration
	// Handler returns the handler of the HTTP server for callers. Nil means the API
	// of this project.
	Handler func(*Entry) fasthttp.RequestHandler
	// Grace is how long new work is accepted after Drain has begun. A load balancer
	// keeps sending connections until two readiness checks have failed.
	Grace time.Duration
	// MoveAfter is the time after the start of a drain from which each answer closes
	// its connection. The caller then opens its next connection to another entry. A
	// connection that stayed open would be used until the entry refuses the requests
	// on it.
	MoveAfter time.Duration
	// TickMin is the shortest time between two ticks of the core.
	TickMin time.Duration
	// SuspectAfter bounds connecting to an agent and the reply to a claim.
	SuspectAfter time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if o.Node == "" {
		return o, errors.New("entry: Options.Node is empty")
	}
	if o.Session == nil {
		return o, errors.New("entry: Options.Session is nil")
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
	if o.RequestBytes == 0 {
		o.RequestBytes = 256 << 20
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = 256 << 20
	}
	defaultDuration(&o.ReadTimeout, 10*time.Second)
	defaultDuration(&o.WriteTimeout, 30*time.Second)
	defaultDuration(&o.IdleTimeout, time.Minute)
	defaultDuration(&o.AdmitTimeout, 5*time.Second)
	defaultDuration(&o.TickMin, 500*time.Microsecond)
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
