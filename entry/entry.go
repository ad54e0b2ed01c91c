package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// leaveTimeout bounds the message that ends the incarnation at a drain. The
	// lease ends it otherwise.
	leaveTimeout = 2 * time.Second
	// quiescePoll is the pause between checks whether work is left.
	quiescePoll = 20 * time.Millisecond
	// registerPause is the pause between attempts to register again.
	registerPause = 200 * time.Millisecond
	// expireInterval is the time between two passes over the ended jobs.
	expireInterval = time.Second
	// registerWait is how long a request waits for the first registration of the
	// entry. After a loss of all VMs the control group needs about as long to be back.
	registerWait = 700 * time.Millisecond
)

// Entry is a running entry.
type Entry struct {
	opts    Options
	rpc     *rpc.Server
	http    *fasthttp.Server
	callers net.Listener
	peers   *peers
	jobs    *table
	metrics *metrics
	life    atomic.Pointer[life]
	// registered is closed once there is a life.
	registered chan struct{}
	leaving    atomic.Pointer[departure] // set once the entry asks for no further callers
	draining   atomic.Bool               // refuses new work

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	done   sync.WaitGroup
	once   sync.Once
}

// Start listens, registers with the control group and returns once the first
// view is there. It gives up when ctx ends.
func Start(ctx context.Context, o Options) (*Entry, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		opts: o, jobs: newTable(o.AnswerBytes), metrics: newMetrics(o.Scope),
		registered: make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.peers = newPeers(o.Security, o.Counters)
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for entries")
	}
	if e.callers, err = net.Listen("tcp", o.Callers); err != nil {
		l.Close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	if e.opts.Advertise == "" {
		e.opts.Advertise = l.Addr().String()
	}
	// Requests are taken in before the registration: each is answered within its
	// time, rather than found in the listener's queue when nobody waits any more.
	e.http = e.httpServer()
	e.done.Go(e.serveCallers)
	if err := e.register(ctx, member.NewNonce()); err != nil {
		e.cancel()
		l.Close()
		e.callers.Close()
		_ = e.http.Shutdown() // the failed registration is the cause
		return nil, err
	}
	close(e.registered)
	e.rpc = rpc.NewServer(l, o.Security, e.mux(), o.Counters)
	e.done.Go(e.supervise)
	e.done.Go(e.expire)
	klog.Infof("entry: Serving callers at %s.", e.Callers())
	return e, nil
}

func (e *Entry) serveCallers() {
	if err := e.http.Serve(e.callers); err != nil && e.ctx.Err() == nil {
		klog.Errorf("entry: Callers' listener ended: %v.", err)
	}
}

// AwaitRegistration reports whether the entry has registered, waiting for it for a
// moment after the given arrival of a request.
func (e *Entry) AwaitRegistration(arrived time.Time) bool {
	select {
	case <-e.registered:
		return true
	default:
	}
	select {
	case <-e.registered:
		return true
	case <-e.ctx.Done():
		return false
	case <-time.After(time.Until(arrived.Add(registerWait))):
		return false
	}
}

// register opens a session and starts the life of its incarnation.
func (e *Entry) register(ctx context.Context, nonce string) error {
	s, err := e.opts.Session(ctx, wire.Registration{
		Kind: wire.KindEntry, Node: e.opts.Node, Addr: e.opts.Advertise,
		Region: e.opts.Region, Domain: e.opts.Domain, Weight: e.opts.Weight, Nonce: nonce,
	})
	if err != nil {
		return errors.Wrap(err, "register")
	}
	l := newLife(e, s)
	l.start()
	e.life.Store(l)
	return nil
}

// supervise registers a new incarnation whenever the current one has ended.
func (e *Entry) supervise() {
	for {
		l := e.life.Load()
		select {
		case <-e.ctx.Done():
			return
		case <-l.session.Ended():
		}
		if e.draining.Load() {
			return
		}
		klog.Warningf("entry: Incarnation %d has ended; its callers are told.", l.self)
		l.end()
		nonce := member.NewNonce()
		for e.register(e.ctx, nonce) != nil {
			if !clock.Sleep(e.ctx, registerPause) {
				return
			}
		}
	}
}

// expire drops ended jobs after the retention.
func (e *Entry) expire() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			l := e.life.Load()
			e.jobs.expire(now, l.retention())
			e.metrics.sizes(e.jobs.sizes())
			l.measure(e.metrics)
		}
	}
}

// Callers returns the address of the callers' listener.
func (e *Entry) Callers() string { return e.callers.Addr().String() }

// Addr returns the address on which other entries reach the entry.
func (e *Entry) Addr() string { return e.opts.Advertise }

// Ready returns why the entry takes no new work, or nil.
func (e *Entry) Ready() error {
	if e.leaving.Load() != nil {
		return verdict.Refuse(verdict.Draining, "the entry is leaving")
	}
	if err := e.refusal(e.life.Load()); err != nil {
		return err
	}
	return nil
}

// refusal returns why no new work is accepted in a life, or nil.
func (e *Entry) refusal(l *life) *verdict.Error {
	switch {
	case e.draining.Load():
		return verdict.Refuse(verdict.Draining, "the entry is leaving")
	case l.hasEnded():
		return verdict.Refuse(verdict.Stale, "the entry is registering again")
	case !l.session.Current(time.Now()):
		return verdict.Refuse(verdict.Stale, "the view is not confirmed")
	}
	return nil
}

// Drain refuses new work, finishes the jobs in progress, and leaves the control
// group. It returns earlier when ctx ends. Close must still be called.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(newDeparture(ctx, e.opts.MoveAfter))
	klog.Infof("entry: Draining.")
	clock.Sleep(ctx, e.opts.Grace)
	e.draining.Store(true)
	l := e.life.Load()
	l.session.SetDraining(true)
	if err := l.waitIdle(ctx); err != nil {
		return err
	}
	if err := e.http.ShutdownWithContext(ctx); err != nil {
		return errors.Wrap(err, "end the callers' connections")
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.session.Leave(ctx); err != nil {
		klog.Warningf("entry: Leave failed, the lease will run out: %v.", err)
	}
	klog.Infof("entry: Drained.")
	return nil
}

// Close stops the entry at once.
func (e *Entry) Close() error {
	e.once.Do(func() {
		e.draining.Store(true)
		e.cancel()
		e.life.Load().end()
		e.callers.Close()
		e.rpc.Close()
		e.peers.close()
		_ = e.http.Shutdown() // waits for the handlers, which e.ctx has ended
		e.done.Wait()
		e.life.Load().end() // the supervisor may have started another one
	})
	return nil
}

// Dump returns the state of the entry for JSON.
func (e *Entry) Dump() any { return e.life.Load().dump() }
