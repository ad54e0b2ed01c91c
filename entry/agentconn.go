package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// exchangeQueue bounds the messages that wait for a slow agent. Beyond it
	// the connection is closed; the core sends again what was lost.
	exchangeQueue = 256
	// exchangeBytes is the size of the task bodies in one message. Base64 and
	// headers fit into wire.MaxMessageBytes beside it.
	exchangeBytes = 6 << 20
	// startOverhead is an upper estimate of the JSON of a start without body,
	// header and path.
	startOverhead = 1 << 10

	// silentAfter is the wait for an answer after which a connection is made anew.
	silentAfter = 10 * time.Second

	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// agentConn keeps a connection to one agent incarnation while the registry
// lists it as live. The loop owns pending; the other fields are atomic.
type agentConn struct {
	life   *life
	member wire.Member
	ctx    context.Context
	cancel context.CancelFunc

	link    atomic.Pointer[link]
	heard   atomic.Int64  // Unix nanoseconds of the last message of the agent
	working atomic.Int64  // tasks at the agent without an answer
	check   chan struct{} // wakes the monitor
	pending map[ids.TaskKey]struct{}
}

// link is one connection to an agent with its queue. A new connection has a new
// queue, so what was meant for an old one never reaches it.
type link struct {
	conn *rpc.Conn
	out  chan *wire.Exchange // pointers, since each connection has room for exchangeQueue of them

	// mu is never taken by the loop, which may be what a holder waits for.
	mu     sync.Mutex
	ready  bool          // the core knows of the connection
	claims int           // claims without a reply
	early  []wire.Report // reports held back until ready and without claims
}

// connect follows the registry view: one agentConn for each live agent.
func (l *life) connect(members []wire.Member) {
	live := map[ids.Incarnation]bool{}
	for _, m := range members {
		if m.Kind != wire.KindAgent || !m.Live() {
			continue
		}
		live[m.Incarnation] = true
		if l.agents[m.Incarnation] == nil {
			l.agents[m.Incarnation] = l.newAgentConn(m)
		}
	}
	for inc, a := range l.agents {
		if !live[inc] {
			a.stop()
			delete(l.agents, inc)
		}
	}
}

func (l *life) newAgentConn(m wire.Member) *agentConn {
	a := &agentConn{life: l, member: m, pending: map[ids.TaskKey]struct{}{}, check: make(chan struct{}, 1)}
	a.ctx, a.cancel = context.WithCancel(l.ctx)
	go a.run()
	return a
}

func (a *agentConn) stop() {
	a.cancel()
	if k := a.link.Load(); k != nil {
		k.conn.Close()
	}
}

// run connects again and again until the agent has left the registry.
func (a *agentConn) run() {
	wait := backoffMin
	for a.ctx.Err() == nil {
		k, err := a.dial()
		if err != nil {
			if !a.sleep(wait/2 + rand.N(wait)) {
				return
			}
			wait = min(2*wait, backoffMax)
			continue
		}
		wait = backoffMin
		a.serve(k)
	}
}

func (a *agentConn) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// dial connects and makes sure that the expected incarnation answers.
func (a *agentConn) dial() (*link, error) {
	k := &link{out: make(chan *wire.Exchange, exchangeQueue)}
	m := rpc.NewMux()
	m.Ordered(wire.MethodReport, rpc.Handle(func(_ context.Context, _ *rpc.Conn, r wire.Report) (wire.Empty, error) {
		a.receive(k, r)
		return wire.Empty{}, nil
	}))
	ctx, cancel := context.WithTimeout(a.ctx, a.life.entry.opts.SuspectAfter)
	defer cancel()
	c, err := rpc.Dial(ctx, a.member.Addr, a.life.entry.opts.Security, m, a.life.entry.opts.Counters)
	if err != nil {
		return nil, err
	}
	var r wire.HelloReply
	if err := c.Call(ctx, wire.MethodHello, wire.Hello{Entry: a.life.self}, &r); err != nil {
		c.Close()
		return nil, err
	}
	if r.Upstream != a.member.Incarnation {
		c.Close()
		return nil, verdict.Refuse(verdict.UpstreamLost, "incarnation %d answers for %d", r.Upstream, a.member.Incarnation)
	}
	k.conn = c
	return k, nil
}

// serve carries messages until the connection ends.
func (a *agentConn) serve(k *link) {
	defer k.conn.Close()
	a.touch()
	a.link.Store(k)
	inc := a.member.Incarnation
	if !a.life.loop.Post(func(now time.Duration) { a.life.core.Connected(now, inc) }) {
		return
	}
	a.setReady(k)
	go k.write()
	a.monitor(k.conn)
	a.link.Store(nil)
	a.life.loop.Post(func(now time.Duration) {
		clear(a.pending)
		a.working.Store(0)
		a.life.core.Disconnected(now, inc)
	})
}

func (a *agentConn) touch() { a.heard.Store(time.Now().UnixNano()) }

// monitor returns when the connection has ended, or when an agent that has work
// stays silent.
func (a *agentConn) monitor(c *rpc.Conn) {
	for {
		select {
		case <-c.Done():
			return
		case <-a.ctx.Done():
			return
		case <-a.check:
			if a.quiet(time.Now()) && !a.ping(c) {
				return
			}
		}
	}
}

// checkAgents wakes the monitors of silent agents that have work. One timer
// serves all, since thousands of idle agents would otherwise wake the process
// several thousand times a second.
func (l *life) checkAgents() {
	t := time.NewTicker(l.entry.opts.PingAfter)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-t.C:
			l.loop.Post(func(time.Duration) {
				for _, a := range l.agents {
					a.wake(now)
				}
			})
		}
	}
}

func (a *agentConn) wake(now time.Time) {
	if !a.quiet(now) {
		return
	}
	select {
	case a.check <- struct{}{}:
	default: // it is awake
	}
}

func (a *agentConn) quiet(now time.Time) bool {
	return a.working.Load() > 0 && now.UnixNano()-a.heard.Load() > int64(a.life.entry.opts.PingAfter)
}

// ping asks whether the agent lives. An agent that does not answer in time is
// suspect and gets nothing new. The connection stays for a while, since the
// answer may be behind large messages. It returns false if the agent is silent.
func (a *agentConn) ping(c *rpc.Conn) bool {
	ctx, cancel := context.WithTimeout(a.ctx, silentAfter)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- c.Call(ctx, wire.MethodPing, wire.Empty{}, nil) }()
	suspect := time.NewTimer(a.life.entry.opts.SuspectAfter)
	defer suspect.Stop()
	select {
	case err := <-answered:
		a.touch()
		return err == nil
	case <-suspect.C:
	}
	inc := a.member.Incarnation
	klog.Warningf("entry: Agent %d does not answer.", inc)
	a.life.loop.Post(func(now time.Duration) { a.life.core.Disconnected(now, inc) })
	if <-answered != nil {
		return false
	}
	a.touch()
	a.life.loop.Post(func(now time.Duration) { a.life.core.Connected(now, inc) })
	return true
}

// receive passes a report to the core, after Connected. Reports wait for the
// replies to claims: they may answer tasks that the core learns of by the reply,
// and an answer to an unknown task would be dropped.
func (a *agentConn) receive(k *link, r wire.Report) {
	a.touch()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.early = append(k.early, r)
	a.passEarly(k)
}

// passEarly passes on what was held back. The caller holds k.mu.
func (a *agentConn) passEarly(k *link) {
	if !k.ready || k.claims > 0 {
		return
	}
	for _, r := range k.early {
		a.pass(r)
	}
	k.early = k.early[:0]
}

func (a *agentConn) setReady(k *link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ready = true
	a.passEarly(k)
}

func (a *agentConn) addClaim(k *link, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claims += n
	a.passEarly(k)
}

func (a *agentConn) pass(r wire.Report) {
	if r.Upstream != a.member.Incarnation {
		return
	}
	a.life.loop.Post(func(now time.Duration) {
		for _, ans := range r.Answers {
			delete(a.pending, ans.Key)
		}
		a.working.Store(int64(len(a.pending)))
		a.life.core.Report(now, r)
	})
}

// send queues a message without blocking. The loop calls it.
func (a *agentConn) send(x wire.Exchange) {
	k := a.link.Load()
	if k == nil {
		return // the core sends again after Connected
	}
	for _, s := range x.Starts {
		a.pending[s.Key] = struct{}{}
	}
	a.working.Store(int64(len(a.pending)))
	for _, part := range splitExchange(x) {
		select {
		case k.out <- &part:
		default:
			klog.Warningf("entry: Agent %d reads too slowly; its connection is closed.", a.member.Incarnation)
			k.conn.Close()
			return
		}
	}
}

func (k *link) write() {
	for {
		select {
		case <-k.conn.Done():
			return
		case x := <-k.out:
			if k.conn.Notify(context.Background(), wire.MethodExchange, x) != nil {
				k.conn.Close()
				return
			}
		}
	}
}

// splitExchange divides the starts of x so that each message stays within
// bounds. Recalls and the like go last, since they may concern the starts.
func splitExchange(x wire.Exchange) []wire.Exchange {
	var parts []wire.Exchange
	size, from := 0, 0
	for i, s := range x.Starts {
		n := len(s.Body) + startOverhead + len(s.Path)
		for _, h := range s.Headers {
			n += len(h.Name) + len(h.Value)
		}
		if i > from && size+n > exchangeBytes {
			parts = append(parts, wire.Exchange{Entry: x.Entry, Demand: x.Demand, Starts: x.Starts[from:i]})
			from, size = i, 0
		}
		size += n
	}
	last := x
	last.Starts = slices.Clip(x.Starts[from:])
	return append(parts, last)
}

// claim sends a claim and passes the reply to the core. A failure is left to
// the core, which sends the claim again.
func (l *life) claim(o dispatch.ClaimRequest) {
	a := l.agents[o.To]
	if a == nil {
		return
	}
	k := a.link.Load()
	if k == nil {
		return
	}
	go func() {
		a.addClaim(k, 1)
		defer a.addClaim(k, -1)
		var r wire.ClaimReply
		ctx, cancel := context.WithTimeout(a.ctx, l.entry.opts.SuspectAfter)
		defer cancel()
		if err := k.conn.Call(ctx, wire.MethodClaim, o.Claim, &r); err != nil {
			klog.Warningf("entry: Claim of job %d at agent %d failed: %v.", o.Claim.Job, o.To, err)
			return
		}
		l.loop.Post(func(now time.Duration) { l.core.Claimed(now, o.Claim.Job, r) })
	}()
}

type agentDump struct {
	Incarnation ids.Incarnation `json:"incarnation"`
	Addr        string          `json:"addr"`
	Connected   bool            `json:"connected"`
	Working     int64           `json:"working"`
}

func (a *agentConn) dump() agentDump {
	return agentDump{
		Incarnation: a.member.Incarnation, Addr: a.member.Addr,
		Connected: a.link.Load() != nil, Working: a.working.Load(),
	}
}
