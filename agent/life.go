package agent

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/eventloop"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// life is one incarnation of the agent. Its loop owns core, peers and timeout.
type life struct {
	opts     Options
	self     ids.Incarnation
	session  Session
	upstream *upstream
	loop     *eventloop.Loop
	core     *executor.Core
	metrics  *metrics
	worker   Worker // nil for an upstream over HTTP

	configVer uint64 // of the configuration that was read last; the loop owns it
	peers     map[ids.Incarnation]*peer
	timeout   time.Duration // of one task, from the configuration

	calls atomic.Int64 // calls to the upstream that have not ended
	down  atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
}

func newLife(o Options, u *upstream, m *metrics, s Session) *life {
	l := &life{
		opts: o, self: s.Incarnation(), session: s, upstream: u, metrics: m,
		peers: map[ids.Incarnation]*peer{}, timeout: o.TaskTimeout,
		core: executor.New(executor.Config{
			Self: s.Incarnation(), Slots: o.Slots, Connections: o.Connections,
			LookAhead: o.LookAhead, AnswerBytes: o.AnswerBytes, Capacity: o.Capacity,
		}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.loop = eventloop.New(o.TickMin, l.tick)
	return l
}

// openWorker takes over the worker if the upstream is one.
func (l *life) openWorker(ctx context.Context) error {
	if l.opts.Worker == nil {
		return nil
	}
	w, err := l.opts.Worker(ctx, l.self, func(a wire.Answer) {
		l.metrics.ended(a, l.calls.Add(-1))
		l.loop.Post(func(now time.Duration) { l.core.Finished(now, a) })
	})
	l.worker = w
	return err
}

func (l *life) start() {
	l.loop.Start()
	l.loop.Post(l.applyView)
	go l.follow()
}

// stop ends the loop and the entries' connections.
func (l *life) stop() {
	l.cancel()
	l.loop.Stop()
	for _, p := range l.peers { // the owner of peers has ended
		p.conn.Close()
	}
	if l.worker != nil {
		l.worker.Close()
	}
}

// follow passes changes of the view on to the loop.
func (l *life) follow() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.session.Changes():
			l.loop.Post(l.applyView)
		}
	}
}

func (l *life) applyView(now time.Duration) {
	v := l.session.View()
	l.core.SetEntries(now, v.Version, v.Members)
	if v.ConfigVer == l.configVer {
		return
	}
	l.configVer = v.ConfigVer
	c, err := settings.FromCheckedPairs(v.Config)
	if err != nil {
		klog.Errorf("agent: Configuration %d is not usable: %v.", v.ConfigVer, err)
		return
	}
	l.core.SetTradeoff(c.Dispatch.Tradeoff)
	if s, ok := c.Services[l.opts.Service]; ok {
		l.timeout = time.Duration(s.Timeout)
	}
}

func (l *life) refreshCurrency() { l.core.SetCurrent(l.session.Current(time.Now())) }

func (l *life) tick(now time.Duration) time.Duration {
	l.refreshCurrency()
	out := l.core.Tick(now)
	for _, s := range out.Run {
		l.run(s)
	}
	if l.worker != nil {
		for _, key := range out.Abort {
			l.worker.Abort(key)
		}
	}
	for _, e := range out.Send {
		if p := l.peers[e.To]; p != nil {
			p.send(e.Report)
		}
	}
	return out.NextTick
}

// attach makes c the connection of an entry. It returns false when the life has ended.
func (l *life) attach(c *rpc.Conn, entry ids.Incarnation) bool {
	p := newPeer(c, entry, l)
	c.Peer.Store(p)
	return l.loop.Call(func(now time.Duration) {
		if old := l.peers[entry]; old != nil && old.conn != c {
			old.conn.Close()
		}
		l.peers[entry] = p
		l.core.Connected(now, entry)
		go l.detachWhenDone(p)
	})
}

func (l *life) detachWhenDone(p *peer) {
	<-p.conn.Done()
	l.loop.Post(func(now time.Duration) {
		if l.peers[p.entry] == p {
			delete(l.peers, p.entry)
			l.core.Disconnected(now, p.entry)
		}
	})
}

// run starts the call of a task. When its time is up, the answer is given as
// may-have-run, and the slot stays taken until the call has ended.
func (l *life) run(s wire.Start) {
	if l.worker != nil {
		l.calls.Add(1)
		l.worker.Run(s)
		return
	}
	limit := l.timeout
	if b := time.Duration(s.BudgetMS) * time.Millisecond; b > 0 {
		limit = min(limit, b)
	}
	l.calls.Add(1)
	go func() {
		begin := time.Now()
		early := time.AfterFunc(limit, func() { l.timeUp(s.Key, time.Since(begin)) })
		r := l.upstream.call(s, limit+l.opts.LingerTimeout)
		early.Stop()
		l.metrics.ended(r.answer, l.calls.Add(-1))
		if r.down && !l.down.Swap(true) {
			go l.probe()
		}
		l.loop.Post(func(now time.Duration) { l.core.Finished(now, r.answer) })
	}()
}

func (l *life) timeUp(key ids.TaskKey, ran time.Duration) {
	l.metrics.timeouts.Inc(1)
	l.loop.Post(func(now time.Duration) { l.core.TimedOut(now, timedOut(key, ran)) })
}

// probe asks for the upstream until it accepts connections again.
func (l *life) probe() {
	klog.Warningf("agent: Upstream %s can't be reached.", l.opts.Upstream)
	l.metrics.setDown(true)
	l.loop.Post(func(now time.Duration) { l.core.SetDown(now, true) })
	for clock.Sleep(l.ctx, l.opts.ProbeInterval) {
		if l.upstream.probe() {
			klog.Infof("agent: Upstream %s can be reached again.", l.opts.Upstream)
			l.down.Store(false)
			l.metrics.setDown(false)
			l.loop.Post(func(now time.Duration) { l.core.SetDown(now, false) })
			return
		}
	}
}

// waitCalls waits until no call to the upstream is in progress. It returns
// false when ctx ends before.
func (l *life) waitCalls(ctx context.Context) bool {
	for l.calls.Load() > 0 {
		if !clock.Sleep(ctx, quiescePoll) {
			return false
		}
	}
	return ctx.Err() == nil
}

// waitIdle waits until no task is queued or running, and then at most handover
// for the connected entries to acknowledge the answers.
func (l *life) waitIdle(ctx context.Context, handover time.Duration) error {
	if !l.waitCalls(ctx) {
		return verdict.Unknown(verdict.Draining, "%d tasks did not end before the drain was cut off", l.calls.Load())
	}
	ctx, cancel := context.WithTimeout(ctx, handover)
	defer cancel()
	for {
		idle := false
		if !l.loop.Call(func(time.Duration) { idle = l.core.Idle() }) || idle {
			return nil
		}
		if !clock.Sleep(ctx, quiescePoll) {
			klog.Warningf("agent: Some answers were not acknowledged; their entries are lost or slow.")
			return nil
		}
	}
}

// dump is the state of an agent for operators.
type dump struct {
	Incarnation ids.Incarnation   `json:"incarnation"`
	Current     bool              `json:"current"`
	Down        bool              `json:"down"`
	Calls       int64             `json:"calls"`
	Core        executor.Dump     `json:"core"`
	Entries     []ids.Incarnation `json:"entries"`
}

func (l *life) dump() dump {
	d := dump{
		Incarnation: l.self, Current: l.session.Current(time.Now()),
		Down: l.down.Load(), Calls: l.calls.Load(), Core: l.core.Dump(),
	}
	for e := range l.peers {
		d.Entries = append(d.Entries, e)
	}
	return d
}
