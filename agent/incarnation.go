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

// incarnation is the agent's state from one registration with the control group to
// its end. Only its event loop accesses core, configVersion, drained, peers and taskTimeout.
type incarnation struct {
	opts           Options
	id             ids.Incarnation
	session        Session
	upstreamClient *upstreamClient
	loop           *eventloop.Loop
	core           *executor.Core
	metrics        *metrics
	worker         Worker // nil for an upstream over HTTP

	configVersion uint64 // version of the configuration that was read last
	drained       bool   // by operators, as of the view that was applied last
	peers         map[ids.Incarnation]*peer
	taskTimeout   time.Duration // limit for one task, from the configuration

	callsInProgress atomic.Int64 // to the upstream or the worker
	upstreamDown    atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
}

func newIncarnation(o Options, u *upstreamClient, m *metrics, s Session) *incarnation {
	inc := &incarnation{
		opts: o, id: s.Incarnation(), session: s, upstreamClient: u, metrics: m,
		peers: map[ids.Incarnation]*peer{}, taskTimeout: o.TaskTimeout,
		core: executor.New(executor.Config{
			Self: s.Incarnation(), Slots: o.Slots, Connections: o.Connections,
			LookAhead: o.LookAhead, AnswerBytes: o.AnswerBytes, Capacity: o.Capacity,
			Leases: o.Leases,
		}),
	}
	inc.ctx, inc.cancel = context.WithCancel(context.Background())
	inc.loop = eventloop.New(o.TickMin, inc.tick)
	return inc
}

// openWorker opens the worker, if the agent runs tasks on one.
func (inc *incarnation) openWorker(ctx context.Context) error {
	if inc.opts.Worker == nil {
		return nil
	}
	w, err := inc.opts.Worker(ctx, inc.id, inc.loop.Clock(), func(a wire.Answer) {
		inc.metrics.recordAnswer(a, inc.callsInProgress.Add(-1))
		inc.loop.Post(func(now time.Duration) { inc.core.Finished(now, a) })
	})
	inc.worker = w
	return err
}

func (inc *incarnation) start() {
	inc.loop.Start()
	inc.loop.Post(inc.applyView)
	go inc.watchView()
}

// stop ends the loop, closes the connections of entries and closes the worker.
func (inc *incarnation) stop() {
	inc.cancel()
	inc.loop.Stop()
	for _, p := range inc.peers { // safe, since the loop that owns peers has ended
		p.conn.Close()
	}
	if inc.worker != nil {
		inc.worker.Close()
	}
}

// watchView has the loop apply the session's view after each change.
func (inc *incarnation) watchView() {
	for {
		select {
		case <-inc.ctx.Done():
			return
		case <-inc.session.Changes():
			inc.loop.Post(inc.applyView)
		}
	}
}

func (inc *incarnation) applyView(now time.Duration) {
	v := inc.session.View()
	inc.core.SetEntries(now, v.Version, v.Members)
	if self, _ := v.Member(inc.id); self.Draining != inc.drained {
		inc.drained = self.Draining
		klog.InfoS("agent: Drain seen in the view", "drained", inc.drained, "domains", v.DrainedDomains, "version", v.Version)
	}
	if v.ConfigVer == inc.configVersion {
		return
	}
	inc.configVersion = v.ConfigVer
	c, err := settings.FromCheckedPairs(v.Config)
	if err != nil {
		klog.Errorf("agent: Configuration version %d can't be read and is ignored: %v.", v.ConfigVer, err)
		return
	}
	inc.core.SetTradeoff(c.Dispatch.Tradeoff)
	if s, ok := c.Services[inc.opts.Service]; ok {
		inc.taskTimeout = time.Duration(s.Timeout)
	}
}

func (inc *incarnation) updateViewCurrent() { inc.core.SetCurrent(inc.session.Current(time.Now())) }

func (inc *incarnation) tick(now time.Duration) time.Duration {
	inc.updateViewCurrent()
	out := inc.core.Tick(now)
	if inc.worker != nil {
		inc.worker.SetOwnersLease(out.OwnersLease)
	}
	for _, s := range out.Run {
		inc.run(s)
	}
	if inc.worker != nil {
		for _, key := range out.Abort {
			inc.worker.Abort(key)
		}
	}
	for _, l := range out.Expired {
		klog.InfoS("agent: Lease of an entry has expired", "entry", l.Entry, "tasks", l.Tasks, "lateMs", l.Late.Milliseconds(), "connected", l.Connected)
	}
	for _, e := range out.Send {
		if p := inc.peers[e.To]; p != nil {
			p.send(e.Report)
		}
	}
	return out.NextTick
}

// setPeer makes c the connection of an entry and closes an earlier one. It returns
// false when the incarnation has ended.
func (inc *incarnation) setPeer(c *rpc.Conn, entry ids.Incarnation) bool {
	p := newPeer(c, entry, inc)
	c.Peer.Store(p)
	return inc.loop.Call(func(now time.Duration) {
		if old := inc.peers[entry]; old != nil && old.conn != c {
			old.conn.Close()
		}
		inc.peers[entry] = p
		inc.core.Connected(now, entry)
		go inc.removePeerWhenClosed(p)
	})
}

// receive applies a message of an entry, unless its connection has ended or the entry has
// made another one. The entry repeats on a new connection what has no answer yet, and what it
// says there may be the opposite: a start that has been read from the former one must not
// follow its abort, nor prolong a lease that has been shortened.
func (inc *incarnation) receive(now time.Duration, p *peer, m wire.Exchange) {
	if inc.peers[p.entry] != p {
		return
	}
	inc.updateViewCurrent()
	inc.core.Receive(now, m)
}

// claim applies a claim of an entry, with the same condition as receive.
func (inc *incarnation) claim(now time.Duration, p *peer, m wire.Claim) (wire.ClaimReply, *verdict.Error) {
	if inc.peers[p.entry] != p {
		return wire.ClaimReply{}, verdict.Unknown(verdict.ConnectionFailed, "entry %d has another connection", p.entry)
	}
	return inc.core.Claim(now, m), nil
}

func (inc *incarnation) removePeerWhenClosed(p *peer) {
	<-p.conn.Done()
	inc.loop.Post(func(now time.Duration) {
		if inc.peers[p.entry] == p {
			delete(inc.peers, p.entry)
			inc.core.Disconnected(now, p.entry)
		}
	})
}

// run starts a task on the worker or the upstream. When a call to the upstream
// exceeds its timeout, the task is answered as may-have-run, and the slot stays
// occupied until the call has ended, since the upstream may still run the task.
func (inc *incarnation) run(s executor.Run) {
	if inc.worker != nil {
		inc.callsInProgress.Add(1)
		inc.worker.Run(s.Start, s.LeaseEnd)
		return
	}
	timeout := inc.taskTimeout
	if b := time.Duration(s.BudgetMS) * time.Millisecond; b > 0 {
		timeout = min(timeout, b)
	}
	inc.callsInProgress.Add(1)
	go func() {
		startTime := time.Now()
		timer := time.AfterFunc(timeout, func() { inc.reportTimeout(s.Key, time.Since(startTime)) })
		r := inc.upstreamClient.runTask(s.Start, timeout+inc.opts.LingerTimeout)
		timer.Stop()
		inc.metrics.recordAnswer(r.answer, inc.callsInProgress.Add(-1))
		if r.upstreamDown && !inc.upstreamDown.Swap(true) {
			go inc.probe()
		}
		inc.loop.Post(func(now time.Duration) { inc.core.Finished(now, r.answer) })
	}()
}

// reportTimeout answers a task whose call has timed out. Its connection may have gone silent,
// and the idle ones with it: each of them would cost a task.
func (inc *incarnation) reportTimeout(key ids.TaskKey, runTime time.Duration) {
	inc.metrics.timeouts.Inc(1)
	inc.upstreamClient.http.CloseIdleConnections()
	inc.loop.Post(func(now time.Duration) { inc.core.TimedOut(now, timeoutAnswer(key, runTime)) })
}

// probe marks the upstream as down and connects to it periodically until it accepts
// a connection.
func (inc *incarnation) probe() {
	klog.Warningf("agent: Upstream %s can't be reached; new tasks are refused.", inc.opts.Upstream)
	inc.metrics.setUpstreamDown(true)
	inc.loop.Post(func(now time.Duration) { inc.core.SetDown(now, true) })
	for clock.Sleep(inc.ctx, inc.opts.ProbeInterval) {
		if inc.upstreamClient.probe() {
			klog.Infof("agent: Upstream %s accepts connections again.", inc.opts.Upstream)
			inc.upstreamDown.Store(false)
			inc.metrics.setUpstreamDown(false)
			inc.loop.Post(func(now time.Duration) { inc.core.SetDown(now, false) })
			return
		}
	}
}

// waitForCalls waits until no call is in progress. It returns false when ctx ends
// before that.
func (inc *incarnation) waitForCalls(ctx context.Context) bool {
	for inc.callsInProgress.Load() > 0 {
		if !clock.Sleep(ctx, idlePollInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// waitForIdle waits until no call is in progress, and then at most ackTimeout until
// the core is idle: no task is queued or running, and the connected entries have
// acknowledged all answers.
func (inc *incarnation) waitForIdle(ctx context.Context, ackTimeout time.Duration) error {
	if !inc.waitForCalls(ctx) {
		return verdict.Unknown(verdict.Draining, "%d tasks did not end before the drain was cut off", inc.callsInProgress.Load())
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for {
		idle := false
		if !inc.loop.Call(func(time.Duration) { idle = inc.core.Idle() }) || idle {
			return nil
		}
		if !clock.Sleep(ctx, idlePollInterval) {
			klog.Warningf("agent: Drain ended before all answers were acknowledged; their entries are lost or slow.")
			return nil
		}
	}
}

// dump is the state of an incarnation as shown to operators.
type dump struct {
	Incarnation ids.Incarnation   `json:"incarnation"`
	Current     bool              `json:"current"`
	Down        bool              `json:"down"`
	Calls       int64             `json:"calls"`
	Core        executor.Dump     `json:"core"`
	Entries     []ids.Incarnation `json:"entries"`
}

func (inc *incarnation) dump() dump {
	d := dump{
		Incarnation: inc.id, Current: inc.session.Current(time.Now()),
		Down: inc.upstreamDown.Load(), Calls: inc.callsInProgress.Load(), Core: inc.core.Dump(),
	}
	for e := range inc.peers {
		d.Entries = append(d.Entries, e)
	}
	return d
}
