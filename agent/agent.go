package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// leaveTimeout bounds the message that ends the incarnation at a drain. The
	// lease ends it otherwise.
	leaveTimeout = 2 * time.Second
	// quiescePoll is the pause between checks whether a life has work left.
	quiescePoll = 20 * time.Millisecond
)

// Agent is a running agent.
type Agent struct {
	opts     Options
	upstream *upstream
	metrics  *metrics
	server   *rpc.Server
	nonce    string
	life     atomic.Pointer[life]
	draining atomic.Bool

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	done   sync.WaitGroup
	once   sync.Once
}

// Start listens for entries, registers with the control group and returns once
// the first view is there. It gives up when ctx ends.
func Start(ctx context.Context, o Options) (*Agent, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for entries")
	}
	a := &Agent{opts: o, upstream: newUpstream(o), metrics: newMetrics(o.Scope), nonce: member.NewNonce()}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if a.opts.Advertise == "" {
		a.opts.Advertise = l.Addr().String()
	}
	if err := a.register(ctx); err != nil {
		a.cancel()
		l.Close()
		return nil, err
	}
	a.server = rpc.NewServer(l, o.Security, a.mux(), o.Counters)
	a.done.Go(a.supervise)
	a.done.Go(a.measure)
	klog.Infof("agent: Serving %s at %s for upstream %s.", o.Service, a.opts.Advertise, o.Upstream)
	return a, nil
}

// register opens a session and starts the life of its incarnation.
func (a *Agent) register(ctx context.Context) error {
	s, err := a.opts.Session(ctx, wire.Registration{
		Kind: wire.KindAgent, Node: a.opts.Node, Addr: a.opts.Advertise,
		Region: a.opts.Region, Domain: a.opts.Domain, Service: a.opts.Service,
		Slots: a.opts.Slots, Connections: a.opts.Connections, Capacity: a.opts.Capacity, Labels: a.opts.Labels, Nonce: a.nonce,
	})
	if err != nil {
		return errors.Wrap(err, "register")
	}
	l := newLife(a.opts, a.upstream, a.metrics, s)
	if err := l.openWorker(ctx); err != nil {
		s.Close()
		return errors.Wrap(err, "take over the worker")
	}
	l.start()
	a.life.Store(l)
	return nil
}

// supervise registers a new incarnation whenever the current one has ended.
func (a *Agent) supervise() {
	for {
		l := a.life.Load()
		select {
		case <-a.ctx.Done():
			return
		case <-l.session.Ended():
		}
		if a.draining.Load() {
			return
		}
		klog.Warningf("agent: Incarnation %d has ended; new work is refused.", l.self)
		// A new incarnation has all slots free, so it must not begin before the
		// calls of the old one have ended.
		if !l.waitCalls(a.ctx) {
			return
		}
		l.stop()
		l.session.Close()
		a.nonce = member.NewNonce()
		for a.register(a.ctx) != nil {
			if !clock.Sleep(a.ctx, a.opts.ProbeInterval) {
				return
			}
		}
	}
}

// measureInterval is the time between two updates of the metrics of the core.
const measureInterval = time.Second

// measure keeps the metrics of the core up to date.
func (a *Agent) measure() {
	for clock.Sleep(a.ctx, measureInterval) {
		l := a.life.Load()
		l.loop.Call(func(time.Duration) { a.metrics.core(l.core.Stats()) })
	}
}

// Ready returns why the agent takes no new work, or nil.
func (a *Agent) Ready() error {
	l := a.life.Load()
	switch {
	case a.draining.Load():
		return verdict.Refuse(verdict.Draining, "the agent is leaving")
	case !l.session.Current(time.Now()):
		return verdict.Refuse(verdict.Stale, "the view is not confirmed")
	case l.down.Load():
		return verdict.Refuse(verdict.NoUpstream, "the upstream can't be reached")
	}
	return nil
}

// Addr returns the address on which entries reach the agent.
func (a *Agent) Addr() string { return a.opts.Advertise }

// Drain refuses new work, finishes what is in progress, hands over the answers
// and leaves the control group. It returns earlier when ctx ends. Close must
// still be called.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	l := a.life.Load()
	klog.Infof("agent: Draining.")
	l.session.SetDraining(true)
	l.loop.Call(func(now time.Duration) { l.core.Drain(now) })
	if err := l.waitIdle(ctx, a.opts.HandoverTimeout); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.session.Leave(ctx); err != nil {
		klog.Warningf("agent: Leave failed, the lease will run out: %v.", err)
	}
	klog.Infof("agent: Drained.")
	return nil
}

// Close stops the agent at once. Calls in progress go on at the upstream.
func (a *Agent) Close() error {
	a.once.Do(func() {
		a.cancel()
		a.server.Close()
		a.done.Wait()
		l := a.life.Load()
		l.stop()
		l.session.Close()
		a.upstream.client.CloseIdleConnections()
	})
	return nil
}

func (a *Agent) mux() *rpc.Mux {
	m := rpc.NewMux()
	m.Ordered(wire.MethodHello, rpc.Handle(a.hello))
	m.Ordered(wire.MethodExchange, rpc.Handle(a.exchange))
	m.Concurrent(wire.MethodClaim, rpc.Handle(a.claim))
	m.Ordered(wire.MethodPing, rpc.Handle(a.ping))
	m.Concurrent(wire.MethodDump, rpc.Handle(a.dump))
	return m
}

func (a *Agent) hello(_ context.Context, c *rpc.Conn, h wire.Hello) (wire.HelloReply, error) {
	l := a.life.Load()
	if ids.Version(h.Entry) > l.session.View().Version {
		l.session.RenewNow() // starts of the entry are refused until the view shows it
	}
	if !l.attach(c, h.Entry) {
		return wire.HelloReply{}, verdict.Refuse(verdict.Draining, "the incarnation has ended")
	}
	return wire.HelloReply{Upstream: l.self}, nil
}

func (a *Agent) exchange(_ context.Context, c *rpc.Conn, m wire.Exchange) (wire.Empty, error) {
	p, ok := c.Peer.Load().(*peer)
	if !ok || p.entry != m.Entry {
		c.Close() // the sender did not say hello, or speaks for another
		return wire.Empty{}, nil
	}
	p.life.loop.Post(func(now time.Duration) {
		p.life.refreshCurrency()
		p.life.core.Receive(now, m)
	})
	return wire.Empty{}, nil
}

func (a *Agent) claim(_ context.Context, c *rpc.Conn, m wire.Claim) (wire.ClaimReply, error) {
	p, ok := c.Peer.Load().(*peer)
	if !ok || p.entry != m.Entry {
		return wire.ClaimReply{}, verdict.Refuse(verdict.BadRequest, "no hello of entry %d on this connection", m.Entry)
	}
	var reply wire.ClaimReply
	if !p.life.loop.Call(func(now time.Duration) { reply = p.life.core.Claim(now, m) }) {
		return reply, verdict.Unknown(verdict.ConnectionFailed, "the incarnation has ended")
	}
	return reply, nil
}

func (a *Agent) ping(_ context.Context, c *rpc.Conn, _ wire.Empty) (wire.Empty, error) {
	if p, ok := c.Peer.Load().(*peer); ok && p.life.loop.Stopped() {
		return wire.Empty{}, verdict.Refuse(verdict.Draining, "the incarnation has ended")
	}
	return wire.Empty{}, nil
}

// Dump returns the state of the agent for JSON.
func (a *Agent) Dump() any {
	l := a.life.Load()
	var d dump
	l.loop.Call(func(time.Duration) { d = l.dump() })
	return d
}

func (a *Agent) dump(context.Context, *rpc.Conn, wire.Empty) (any, error) { return a.Dump(), nil }
