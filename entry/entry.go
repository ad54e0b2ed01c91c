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
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// leaveTimeout bounds the request that ends the incarnation at the end of a
	// drain. If the request fails, the lease expires instead.
	leaveTimeout = 2 * time.Second
	// idlePollInterval is the pause between checks for remaining work and for a new
	// incarnation.
	idlePollInterval = 20 * time.Millisecond
	// registerRetryDelay is the pause between attempts to register a new incarnation.
	registerRetryDelay = 200 * time.Millisecond
	// expireInterval is the time between two passes that remove expired jobs and
	// update gauges.
	expireInterval = time.Second
	// firstRegistrationWait is how long a request waits for the first registration of
	// the entry. After a loss of all VMs the control group needs about this long to
	// recover.
	firstRegistrationWait = 700 * time.Millisecond
)

// Entry is a running entry process: it serves callers and registers with the control
// group.
type Entry struct {
	opts        Options
	rpc         *rpc.Server
	http        *fasthttp.Server
	callers     net.Listener
	peers       *peers
	jobs        *jobTable
	deleted     *deletedBatches
	metrics     *metrics
	incarnation atomic.Pointer[incarnation]
	// formerEndedAt is when the incarnation before the present one ended, or when this
	// process started: it may follow one that was killed.
	formerEndedAt atomic.Pointer[time.Time]
	// registered is closed after the first registration; incarnation is set from then
	// on.
	registered      chan struct{}
	activeDrainPlan atomic.Pointer[drainPlan] // set when a drain begins
	refusingWork    atomic.Bool               // new work is refused

	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Start opens the listeners, registers with the control group and returns when the
// first view has arrived. It gives up when ctx ends.
func Start(ctx context.Context, o Options) (*Entry, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		opts: o, jobs: newJobTable(o.AnswerBytes), deleted: newDeletedBatches(), metrics: newMetrics(o.Scope),
		registered: make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	startedAt := time.Now()
	e.formerEndedAt.Store(&startedAt)
	e.peers = newPeers(o.Security, o.Counters)
	l, err := intake.Listen(o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for entries")
	}
	if e.callers, err = intake.Listen(o.Callers); err != nil {
		l.Close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	if e.opts.Advertise == "" {
		e.opts.Advertise = l.Addr().String()
	}
	// Requests are accepted before the registration, so that each is answered in
	// time. Otherwise they would wait in the listener's backlog, and be read after
	// their callers have given up.
	g := e.opts.callersGate()
	e.http, e.callers = e.httpServer(g), g.Listener(e.callers)
	e.wg.Go(e.serveCallers)
	if err := e.register(ctx, member.NewNonce()); err != nil {
		e.cancel()
		l.Close()
		e.callers.Close()
		_ = e.http.Shutdown() // the error of the registration is returned instead
		return nil, err
	}
	close(e.registered)
	e.rpc = rpc.NewBoundedServer(l, o.Gate, o.Security, e.mux(), o.Counters)
	e.wg.Go(e.supervise)
	e.wg.Go(e.expire)
	klog.Infof("entry: Serving callers at %s.", e.Callers())
	return e, nil
}

func (e *Entry) serveCallers() {
	if err := e.http.Serve(e.callers); err != nil && e.ctx.Err() == nil {
		klog.Errorf("entry: HTTP server for callers failed: %v.", err)
	}
}

// AwaitRegistration reports whether the entry has registered. It waits until
// firstRegistrationWait after the given arrival of a request.
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
	case <-time.After(time.Until(arrived.Add(firstRegistrationWait))):
		return false
	}
}

// register opens a session and starts its incarnation.
func (e *Entry) register(ctx context.Context, nonce string) error {
	var previous ids.Incarnation
	if inc := e.incarnation.Load(); inc != nil {
		previous = inc.self
	}
	s, err := e.opts.Session(ctx, wire.Registration{
		Kind: wire.KindEntry, Node: e.opts.Node, Addr: e.opts.Advertise,
		Region: e.opts.Region, Domain: e.opts.Domain, Weight: e.opts.Weight, Nonce: nonce, Previous: previous,
	})
	if err != nil {
		return errors.Wrap(err, "register")
	}
	inc := newIncarnation(e, s)
	inc.start()
	e.incarnation.Store(inc)
	if e.refusingWork.Load() {
		s.SetDraining(true) // Drain has marked the incarnation before
	}
	return nil
}

// supervise registers a new incarnation whenever the current one has ended.
func (e *Entry) supervise() {
	for {
		inc := e.incarnation.Load()
		select {
		case <-e.ctx.Done():
			return
		case <-inc.session.Ended():
		}
		if e.refusingWork.Load() {
			return
		}
		klog.Warningf("entry: Registration of incarnation %d has ended; registering a new one.", inc.self)
		inc.end()
		nonce := member.NewNonce()
		for e.register(e.ctx, nonce) != nil {
			if !clock.Sleep(e.ctx, registerRetryDelay) {
				return
			}
		}
	}
}

// expire periodically removes ended jobs after the retention and updates the gauges.
func (e *Entry) expire() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			inc := e.incarnation.Load()
			e.jobs.expire(now, inc.retention())
			e.metrics.sizes(e.jobs.sizes())
			inc.updateMetrics(e.metrics)
		}
	}
}

// Callers returns the address of the callers' listener.
func (e *Entry) Callers() string { return e.callers.Addr().String() }

// Addr returns the address on which other entries reach the entry.
func (e *Entry) Addr() string { return e.opts.Advertise }

// Ready returns the reason why the entry accepts no new work, or nil.
func (e *Entry) Ready() error {
	if e.activeDrainPlan.Load() != nil {
		return verdict.Refuse(verdict.Draining, "the entry is leaving")
	}
	if err := e.refusal(e.incarnation.Load()); err != nil {
		return err
	}
	return nil
}

// refusal returns the reason why new work is refused in an incarnation, or nil.
func (e *Entry) refusal(inc *incarnation) *verdict.Error {
	switch {
	case e.refusingWork.Load():
		return verdict.Refuse(verdict.Draining, "the entry is leaving")
	case inc.hasEnded():
		return verdict.Refuse(verdict.Stale, "the entry is registering again")
	case !inc.session.Current(time.Now()):
		return verdict.Refuse(verdict.Stale, "the view is not confirmed")
	}
	return nil
}

// Drain refuses new work after the grace period, waits for the jobs in progress, and
// leaves the control group. It returns earlier when ctx ends. Close must still be
// called.
func (e *Entry) Drain(ctx context.Context) error {
	e.activeDrainPlan.Store(newDrainPlan(ctx, e.opts.MoveAfter))
	klog.Infof("entry: Draining.")
	clock.Sleep(ctx, e.opts.Grace)
	e.refusingWork.Store(true)
	inc := e.incarnation.Load()
	inc.session.SetDraining(true)
	if err := inc.waitIdle(ctx); err != nil {
		return err
	}
	if err := e.http.ShutdownWithContext(ctx); err != nil {
		return errors.Wrap(err, "close the callers' connections")
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := inc.session.Leave(ctx); err != nil {
		klog.Warningf("entry: Deregistration failed; the lease expires instead: %v.", err)
	}
	klog.Infof("entry: Drained.")
	return nil
}

// Close stops the entry without waiting for jobs.
func (e *Entry) Close() error {
	e.closeOnce.Do(func() {
		e.refusingWork.Store(true)
		e.cancel()
		e.incarnation.Load().end()
		e.callers.Close()
		e.rpc.Close()
		e.peers.close()
		_ = e.http.Shutdown() // waits for the handlers, which the cancellation of e.ctx has ended
		e.wg.Wait()
		e.incarnation.Load().end() // supervise may have started another incarnation
	})
	return nil
}

// Dump returns the state of the entry for JSON output.
func (e *Entry) Dump() any { return e.incarnation.Load().dump() }
