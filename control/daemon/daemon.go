// Package daemon runs a control node from its settings, with its HTTP pages for
// operators.
package daemon

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/runner"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// MetricsPrefix is the prefix of the metric names of a control node.
	MetricsPrefix = "baobab_control"
	// callTimeout limits a call that an operator page makes to the node.
	callTimeout = 2 * time.Second
	// messageMetricsInterval is how often the message metrics are updated.
	messageMetricsInterval = time.Second
	// drainTimeout limits a planned stop. A node has no work to finish.
	drainTimeout = 10 * time.Second
)

// Run runs a control node until ctx is canceled. It returns nil after a planned
// stop, and the cause if the node had to stop.
func Run(ctx context.Context, s settings.Control) error {
	sec, err := s.Security()
	if err != nil {
		return err
	}
	p := intake.ThisProcess(int64(s.MemoryBytes))
	pages := ops.Options{Addr: s.Ops, Prefix: MetricsPrefix, Token: sec.Token, TLS: sec.TLS, Process: p}
	return runner.Serve(ctx, pages, drainTimeout, func(_ context.Context, scope tally.Scope) (runner.Service, error) {
		o := FromSettings(s, sec)
		o.Scope, o.Gate = scope, p.Gate(control.PeersShare, scope.SubScope("peers"))
		return Open(o)
	})
}

// FromSettings converts the settings to the options of a control node.
func FromSettings(s settings.Control, sec rpc.Security) control.Options {
	o := control.Options{
		Node: s.Node, Listen: s.Listen, Advertise: s.Advertise,
		Region: s.Region, Domain: s.FailureDomain, Data: s.Data, Security: sec,
	}
	for _, p := range s.Peers {
		o.Peers = append(o.Peers, control.Peer{Node: p.Node, Addr: p.Address})
	}
	return o
}

// Daemon is a running control node with its HTTP pages. While its disk is full the node is
// stopped, and the daemon answers for it.
type Daemon struct {
	opts control.Options
	addr string // on which the node listens
	node atomic.Pointer[control.Node]

	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	done   chan struct{} // closed when the daemon has stopped
	err    error         // why the node has stopped; valid once done is closed
}

// Open starts a control node. If the options have a scope, it reports the message
// counts there.
func Open(o control.Options) (*Daemon, error) {
	if o.Counters == nil {
		o.Counters = &rpc.Counters{}
	}
	d := &Daemon{opts: o, addr: o.Listen, done: make(chan struct{})}
	if o.Listener != nil {
		d.addr = o.Listener.Addr().String()
	}
	n, err := control.Start(o)
	if err != nil && !isDiskFull(err) {
		return nil, err
	}
	d.err = err
	d.node.Store(n)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.setDiskFull(0)
	go d.supervise(n)
	if o.Scope != nil {
		go d.updateMessageMetrics(o.Scope)
	}
	return d, nil
}

// Addr returns the address of the node.
func (d *Daemon) Addr() string { return cmp.Or(d.opts.Advertise, d.addr) }

// Done returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Close implements runner.Service. It returns the failure that stopped the node earlier, if
// any.
func (d *Daemon) Close() error {
	d.cancel()
	<-d.done
	return d.err
}

// SubmitConfiguration puts a configuration in force; see control.Node.
func (d *Daemon) SubmitConfiguration(ctx context.Context, source []byte, decode control.SourceDecoder) (wire.ApplyReply, error) {
	n := d.node.Load()
	if n == nil {
		return wire.ApplyReply{}, errDiskFull()
	}
	return n.SubmitConfiguration(ctx, source, decode)
}

// ReadConfiguration returns the configuration in force; see control.Node.
func (d *Daemon) ReadConfiguration(ctx context.Context) (controlstate.ConfigSource, error) {
	n := d.node.Load()
	if n == nil {
		return controlstate.ConfigSource{}, errDiskFull()
	}
	return n.ReadConfiguration(ctx)
}

// DrainDomain drains a failure domain, or ends its drain; see control.Node.
func (d *Daemon) DrainDomain(ctx context.Context, domain ids.Domain, drain bool) error {
	n := d.node.Load()
	if n == nil {
		return errDiskFull()
	}
	return n.DrainDomain(ctx, domain, drain)
}

// Drain implements runner.Service. It has nothing to wait for: the other nodes elect
// another leader.
func (d *Daemon) Drain(context.Context) error {
	klog.Infof("control: Stopping the node at %s.", d.Addr())
	return nil
}

func (d *Daemon) call(method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, d.Addr(), d.opts.Security, nil, nil)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, params, result)
}

// Ready reports whether the node's tables are confirmed as current.
func (d *Daemon) Ready() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	n := d.node.Load()
	if n == nil {
		return errDiskFull()
	}
	return n.CheckReadable(ctx)
}

// Dump returns the state of the group and the configuration as known to this node.
func (d *Daemon) Dump() any {
	var out struct {
		Status wire.StatusReply `json:"status"`
		Config wire.GetReply    `json:"config"`
		Error  string           `json:"error,omitempty"` // why Status or Config is missing
	}
	err := d.call(wire.MethodStatus, wire.Status{}, &out.Status)
	if err == nil {
		err = d.call(wire.MethodGet, wire.Get{}, &out.Config)
	}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}

// updateMessageMetrics copies the message counts of the node to its metrics until
// the node stops.
func (d *Daemon) updateMessageMetrics(scope tally.Scope) {
	ticker := time.NewTicker(messageMetricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.Done():
			return
		case <-ticker.C:
		}
		c := d.opts.Counters
		scope.Gauge("messages_in").Update(float64(c.MessagesIn.Load()))
		scope.Gauge("messages_out").Update(float64(c.MessagesOut.Load()))
		scope.Gauge("bytes_in").Update(float64(c.BytesIn.Load()))
		scope.Gauge("bytes_out").Update(float64(c.BytesOut.Load()))
	}
}
