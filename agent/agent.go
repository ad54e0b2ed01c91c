package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// leaveTimeout bounds the Leave call that ends the incarnation after a drain. If
	// the call fails, the incarnation ends when its lease expires.
	leaveTimeout = 2 * time.Second
	// idlePollInterval is the time between two checks whether an incarnation has
	// work left.
	idlePollInterval = 20 * time.Millisecond
)

// Agent accepts tasks from entries and runs them on one upstream.
type Agent struct {
	opts           Options
	upstreamClient *upstreamClient
	metrics        *metrics
	server         *rpc.Server
	nonce          string
	incarnation    atomic.Pointer[incarnation]
	mu             sync.Mutex // held while draining is set and while an incarnation is installed
	draining       atomic.Bool

	ctx             context.Context // canceled by Close
	cancel          context.CancelFunc
	registrations   context.Context // canceled by Drain and Close: there are no new incarnations then
	endRegistration context.CancelFunc
	background      sync.WaitGroup
	closeOnce       sync.Once
}

// Start listens for connections from entries, registers with the control group and
// returns once the first view of the control state has arrived. It fails when ctx
// ends before that.
func Start(ctx context.Context, o Options) (*Agent, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	l, err := intake.Listen(o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections from entries")
	}
	a := newAgent(o)
	if a.opts.Advertise == "" {
		a.opts.Advertise = l.Addr().String()
	}
	if err := a.register(ctx); err != nil {
		a.cancel()
		l.Close()
		return nil, err
	}
	a.server = rpc.NewBoundedServer(l, o.Gate, o.Security, a.mux(), o.Counters)
	a.background.Go(a.supervise)
	a.background.Go(a.reportStats)
	klog.Infof("agent: Serving %s at %s for upstream %s.", o.Service, a.opts.Advertise, o.Upstream)
	return a, nil
}

// newAgent returns an agent that is not registered yet.
func newAgent(o Options) *Agent {
	a := &Agent{opts: o, upstreamClient: newUpstreamClient(o), metrics: newMetrics(o.Scope), nonce: member.NewNonce()}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.registrations, a.endRegistration = context.WithCancel(a.ctx)
	return a
}

// register opens a session with the control group and starts its incarnation.
func (a *Agent) register(ctx context.Context) error {
	var previous ids.Incarnation
	if inc := a.incarnation.Load(); inc != nil {
		previous = inc.id
	}
	s, err := a.opts.Session(ctx, wire.Registration{
		Kind: wire.KindAgent, Node: a.opts.Node, Addr: a.opts.Advertise,
		Region: a.opts.Region, Domain: a.opts.Domain, Service: a.opts.Service,
		Slots: a.opts.Slots, Connections: a.opts.Connections, Capacity: a.opts.Capacity, Labels: a.opts.Labels, Nonce: a.nonce,
		Previous: previous,
	})
	if err != nil {
		return errors.Wrap(err, "register")
	}
	inc := newIncarnation(a.opts, a.upstreamClient, a.metrics, s)
	if err := inc.openWorker(ctx); err != nil {
		s.Close()
		return errors.Wrap(err, "open the worker")
	}
	inc.start()
	if !a.install(inc) {
		inc.stop()
		a.leave(a.ctx, s)
		return verdict.Refuse(verdict.Draining, "the agent is leaving")
	}
	return nil
}

// install makes inc the current incarnation. It returns false if the agent is draining,
// which a new incarnation would know nothing of.
func (a *Agent) install(inc *incarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining.Load() {
		return false
	}
	a.incarnation.Store(inc)
	return true
}

// leave ends an incarnation at the control group.
func (a *Agent) leave(ctx context.Context, s Session) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.Leave(ctx); err != nil {
		klog.Warningf("agent: Leaving the control group failed; the incarnation ends when its lease expires: %v.", err)
	}
}

// supervise registers a new incarnation whenever the current one has ended, unless the agent
// is draining.
func (a *Agent) supervise() {
	for {
		inc := a.incarnation.Load()
		select {
		case <-a.ctx.Done():
			return
		case <-inc.session.Ended():
		}
		if a.draining.Load() {
			return
		}
		klog.Warningf("agent: Incarnation %d has ended; new tasks are refused until the agent has registered again.", inc.id)
		// A new incarnation starts with all slots free. If it started before the
		// calls of the old one have ended, the upstream would run more tasks than
		// it has slots.
		if !inc.waitForCalls(a.ctx) {
			return
		}
		inc.stop()
		inc.session.Close()
		a.nonce = member.NewNonce()
		for a.register(a.registrations) != nil {
			if !clock.Sleep(a.registrations, a.opts.ProbeInterval) {
				return
			}
		}
	}
}

// statsInterval is the time between two updates of the executor core's metrics.
const statsInterval = time.Second

// reportStats updates the executor core's metrics periodically until Close.
func (a *Agent) reportStats() {
	for clock.Sleep(a.ctx, statsInterval) {
		inc := a.incarnation.Load()
		inc.loop.Call(func(time.Duration) { a.metrics.core(inc.core.Stats()) })
	}
}

// Ready returns nil if the agent accepts new tasks, or the reason why it doesn't.
func (a *Agent) Ready() error {
	inc := a.incarnation.Load()
	switch {
	case a.draining.Load():
		return verdict.Refuse(verdict.Draining, "the agent is leaving")
	case !inc.session.Current(time.Now()):
		return verdict.Refuse(verdict.Stale, "the view is not confirmed")
	case inc.upstreamDown.Load():
		return verdict.Refuse(verdict.NoUpstream, "the upstream can't be reached")
	}
	return nil
}

// Addr returns the address that the agent advertises to entries.
func (a *Agent) Addr() string { return a.opts.Advertise }

// Drain refuses new tasks, waits for the tasks in progress, delivers their answers
// to the entries and leaves the control group. It returns earlier when ctx ends.
// The caller must still call Close.
func (a *Agent) Drain(ctx context.Context) error {
	klog.Infof("agent: Drain started.")
	inc := a.beginDrain()
	inc.session.SetDraining(true)
	inc.loop.Call(func(now time.Duration) { inc.core.Drain(now) })
	if err := inc.waitForIdle(ctx, a.opts.HandoverTimeout); err != nil {
		return err
	}
	a.leave(ctx, inc.session)
	klog.Infof("agent: Drain completed.")
	return nil
}

// beginDrain makes the agent's incarnation the last one, and returns it.
func (a *Agent) beginDrain() *incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining.Store(true)
	a.endRegistration()
	return a.incarnation.Load()
}

// Close stops the agent without a drain. Calls in progress continue at the upstream.
func (a *Agent) Close() error {
	a.closeOnce.Do(func() {
		a.cancel()
		a.server.Close()
		a.background.Wait()
		inc := a.incarnation.Load()
		inc.stop()
		inc.session.Close()
		a.upstreamClient.http.CloseIdleConnections()
	})
	return nil
}

func (a *Agent) mux() *rpc.Mux {
	m := rpc.NewMux()
	m.Ordered(wire.MethodHello, rpc.Handle(a.hello))
	m.Ordered(wire.MethodExchange, rpc.Handle(a.exchange))
	m.Concurrent(wire.MethodClaim, rpc.Handle(a.claim))
	m.Ordered(wire.MethodPing, rpc.Handle(a.ping))
	m.Concurrent(wire.MethodDump, rpc.Serial(rpc.Handle(a.dump)))
	return m
}

func (a *Agent) hello(_ context.Context, c *rpc.Conn, h wire.Hello) (wire.HelloReply, error) {
	if p, ok := c.Peer.Load().(*peer); ok {
		// Each peer has goroutines until its connection ends.
		return wire.HelloReply{}, verdict.Refuse(verdict.BadRequest, "the connection belongs to entry %d", p.entry)
	}
	inc := a.incarnation.Load()
	if ids.Version(h.Entry) > inc.session.View().Version {
		inc.session.RenewNow() // tasks of the entry are refused until the view contains it
	}
	if !inc.setPeer(c, h.Entry) {
		return wire.HelloReply{}, verdict.Refuse(verdict.Draining, "the incarnation has ended")
	}
	return wire.HelloReply{Upstream: inc.id}, nil
}

func (a *Agent) exchange(_ context.Context, c *rpc.Conn, m wire.Exchange) (wire.Empty, error) {
	p, ok := c.Peer.Load().(*peer)
	if !ok || p.entry != m.Entry {
		c.Close() // the sender sent no hello, or the message names another entry
		return wire.Empty{}, nil
	}
	c.Acknowledge(m.Received)
	release := c.Retain()
	posted := p.incarnation.loop.Post(func(now time.Duration) {
		defer release()
		p.incarnation.receive(now, p, m)
	})
	if !posted {
		release()
	}
	return wire.Empty{}, nil
}

func (a *Agent) claim(_ context.Context, c *rpc.Conn, m wire.Claim) (wire.ClaimReply, error) {
	p, ok := c.Peer.Load().(*peer)
	if !ok || p.entry != m.Entry {
		return wire.ClaimReply{}, verdict.Refuse(verdict.BadRequest, "no hello of entry %d on this connection", m.Entry)
	}
	reply, err := wire.ClaimReply{}, verdict.Unknown(verdict.ConnectionFailed, "the incarnation has ended")
	p.incarnation.loop.Call(func(now time.Duration) { reply, err = p.incarnation.claim(now, p, m) })
	if err != nil {
		return wire.ClaimReply{}, err
	}
	return reply, nil
}

// ping answers entries that don't probe their connections (see rpc.Conn).
func (a *Agent) ping(_ context.Context, c *rpc.Conn, _ wire.Empty) (wire.Empty, error) {
	if p, ok := c.Peer.Load().(*peer); ok && p.incarnation.loop.Stopped() {
		return wire.Empty{}, verdict.Refuse(verdict.Draining, "the incarnation has ended")
	}
	return wire.Empty{}, nil
}

// Dump returns the agent's state as a value that encodes to JSON.
func (a *Agent) Dump() any {
	inc := a.incarnation.Load()
	var d dump
	inc.loop.Call(func(time.Duration) { d = inc.dump() })
	return d
}

func (a *Agent) dump(context.Context, *rpc.Conn, wire.Empty) (any, error) { return a.Dump(), nil }
