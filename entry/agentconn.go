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
	// maxQueuedExchanges bounds the messages that wait for a slow agent. Beyond it
	// the connection is closed; the core sends again what was lost.
	maxQueuedExchanges = 256
	// maxExchangeBodyBytes is the size of the task bodies in one message. Base64 and
	// headers fit into wire.MaxMessageBytes beside it.
	maxExchangeBodyBytes = 6 << 20
	// startOverheadBytes is an upper estimate of the JSON of a start without body,
	// header and path.
	startOverheadBytes = 1 << 10

	// pingTimeout is the wait for an answer after which a connection is made anew.
	pingTimeout = 10 * time.Second

	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = time.Second
)

// agentConn keeps a connection to one agent incarnation while the registry
// lists it as live. The loop owns pending; the other fields are atomic.
type agentConn struct {
	incarnation *incarnation
	member      wire.Member
	ctx         context.Context
	cancel      context.CancelFunc

	link           atomic.Pointer[link]
	lastHeardNanos atomic.Int64  // Unix nanoseconds of the last message of the agent
	pendingCount   atomic.Int64  // tasks at the agent without an answer
	pingRequests   chan struct{} // wakes the monitor
	pending        map[ids.TaskKey]struct{}
}

// link is one connection to an agent with its queue. A new connection has a new
// queue, so what was meant for an old one never reaches it.
type link struct {
	conn      *rpc.Conn
	sendQueue chan *wire.Exchange // pointers, since each connection has room for exchangeQueue of them

	// mu is never taken by the loop, which may be what a holder waits for.
	mu               sync.Mutex
	ready            bool          // the core knows of the connection
	unansweredClaims int           // claims without a reply
	heldReports      []wire.Report // reports held back until ready and without claims
}

// syncAgentConns follows the registry view: one agentConn for each live agent.
func (inc *incarnation) syncAgentConns(members []wire.Member) {
	live := map[ids.Incarnation]bool{}
	for _, m := range members {
		if m.Kind != wire.KindAgent || !m.Live() {
			continue
		}
		live[m.Incarnation] = true
		if inc.agents[m.Incarnation] == nil {
			inc.agents[m.Incarnation] = inc.newAgentConn(m)
		}
	}
	for id, a := range inc.agents {
		if !live[id] {
			a.stop()
			delete(inc.agents, id)
		}
	}
}

func (inc *incarnation) newAgentConn(m wire.Member) *agentConn {
	a := &agentConn{incarnation: inc, member: m, pending: map[ids.TaskKey]struct{}{}, pingRequests: make(chan struct{}, 1)}
	a.ctx, a.cancel = context.WithCancel(inc.ctx)
	go a.run()
	return a
}

func (a *agentConn) stop() {
	a.cancel()
	if ln := a.link.Load(); ln != nil {
		ln.conn.Close()
	}
}

// run connects again and again until the agent has left the registry.
func (a *agentConn) run() {
	backoff := minReconnectBackoff
	for a.ctx.Err() == nil {
		ln, err := a.dial()
		if err != nil {
			if !a.sleep(backoff/2 + rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, maxReconnectBackoff)
			continue
		}
		backoff = minReconnectBackoff
		a.serve(ln)
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
	ln := &link{sendQueue: make(chan *wire.Exchange, maxQueuedExchanges)}
	m := rpc.NewMux()
	m.Ordered(wire.MethodReport, rpc.Handle(func(_ context.Context, _ *rpc.Conn, r wire.Report) (wire.Empty, error) {
		a.receiveReport(ln, r)
		return wire.Empty{}, nil
	}))
	ctx, cancel := context.WithTimeout(a.ctx, a.incarnation.entry.opts.SuspectAfter)
	defer cancel()
	c, err := rpc.Dial(ctx, a.member.Addr, a.incarnation.entry.opts.Security, m, a.incarnation.entry.opts.Counters)
	if err != nil {
		return nil, err
	}
	var r wire.HelloReply
	if err := c.Call(ctx, wire.MethodHello, wire.Hello{Entry: a.incarnation.self}, &r); err != nil {
		c.Close()
		return nil, err
	}
	if r.Upstream != a.member.Incarnation {
		c.Close()
		return nil, verdict.Refuse(verdict.UpstreamLost, "incarnation %d answers for %d", r.Upstream, a.member.Incarnation)
	}
	ln.conn = c
	return ln, nil
}

// serve carries messages until the connection ends.
func (a *agentConn) serve(ln *link) {
	defer ln.conn.Close()
	a.markHeard()
	a.link.Store(ln)
	id := a.member.Incarnation
	if !a.incarnation.loop.Post(func(now time.Duration) { a.incarnation.core.Connected(now, id) }) {
		return
	}
	a.setReady(ln)
	go ln.writeLoop()
	a.monitor(ln.conn)
	a.link.Store(nil)
	a.incarnation.loop.Post(func(now time.Duration) {
		clear(a.pending)
		a.pendingCount.Store(0)
		a.incarnation.core.Disconnected(now, id)
	})
}

func (a *agentConn) markHeard() { a.lastHeardNanos.Store(time.Now().UnixNano()) }

// monitor returns when the connection has ended, or when an agent that has work
// stays silent.
func (a *agentConn) monitor(c *rpc.Conn) {
	for {
		select {
		case <-c.Done():
			return
		case <-a.ctx.Done():
			return
		case <-a.pingRequests:
			if a.needsPing(time.Now()) && !a.ping(c) {
				return
			}
		}
	}
}

// pingSilentAgents wakes the monitors of silent agents that have work. One timer
// serves all, since thousands of idle agents would otherwise wake the process
// several thousand times a second.
func (inc *incarnation) pingSilentAgents() {
	t := time.NewTicker(inc.entry.opts.PingAfter)
	defer t.Stop()
	for {
		select {
		case <-inc.ctx.Done():
			return
		case now := <-t.C:
			inc.loop.Post(func(time.Duration) {
				for _, a := range inc.agents {
					a.requestPing(now)
				}
			})
		}
	}
}

func (a *agentConn) requestPing(now time.Time) {
	if !a.needsPing(now) {
		return
	}
	select {
	case a.pingRequests <- struct{}{}:
	default: // it is awake
	}
}

func (a *agentConn) needsPing(now time.Time) bool {
	return a.pendingCount.Load() > 0 && now.UnixNano()-a.lastHeardNanos.Load() > int64(a.incarnation.entry.opts.PingAfter)
}

// ping asks whether the agent lives. An agent that does not answer in time is
// suspect and gets nothing new. The connection stays for a while, since the
// answer may be behind large messages. It returns false if the agent is silent.
func (a *agentConn) ping(c *rpc.Conn) bool {
	ctx, cancel := context.WithTimeout(a.ctx, pingTimeout)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- c.Call(ctx, wire.MethodPing, wire.Empty{}, nil) }()
	suspect := time.NewTimer(a.incarnation.entry.opts.SuspectAfter)
	defer suspect.Stop()
	select {
	case err := <-answered:
		a.markHeard()
		return err == nil
	case <-suspect.C:
	}
	id := a.member.Incarnation
	klog.Warningf("entry: Agent %d does not answer.", id)
	a.incarnation.loop.Post(func(now time.Duration) { a.incarnation.core.Disconnected(now, id) })
	if <-answered != nil {
		return false
	}
	a.markHeard()
	a.incarnation.loop.Post(func(now time.Duration) { a.incarnation.core.Connected(now, id) })
	return true
}

// receiveReport passes a report to the core, after Connected. Reports wait for the
// replies to claims: they may answer tasks that the core learns of by the reply,
// and an answer to an unknown task would be dropped.
func (a *agentConn) receiveReport(ln *link, r wire.Report) {
	a.markHeard()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.heldReports = append(ln.heldReports, r)
	a.releaseReports(ln)
}

// releaseReports passes on what was held back. The caller holds k.mu.
func (a *agentConn) releaseReports(ln *link) {
	if !ln.ready || ln.unansweredClaims > 0 {
		return
	}
	for _, r := range ln.heldReports {
		a.postReport(r)
	}
	ln.heldReports = ln.heldReports[:0]
}

func (a *agentConn) setReady(ln *link) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.ready = true
	a.releaseReports(ln)
}

func (a *agentConn) addUnansweredClaims(ln *link, n int) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.unansweredClaims += n
	a.releaseReports(ln)
}

func (a *agentConn) postReport(r wire.Report) {
	if r.Upstream != a.member.Incarnation {
		return
	}
	a.incarnation.loop.Post(func(now time.Duration) {
		for _, ans := range r.Answers {
			delete(a.pending, ans.Key)
		}
		a.pendingCount.Store(int64(len(a.pending)))
		a.incarnation.core.Report(now, r)
	})
}

// send queues a message without blocking. The loop calls it.
func (a *agentConn) send(x wire.Exchange) {
	ln := a.link.Load()
	if ln == nil {
		return // the core sends again after Connected
	}
	for _, s := range x.Starts {
		a.pending[s.Key] = struct{}{}
	}
	a.pendingCount.Store(int64(len(a.pending)))
	for _, part := range splitExchange(x) {
		select {
		case ln.sendQueue <- &part:
		default:
			klog.Warningf("entry: Agent %d reads too slowly; its connection is closed.", a.member.Incarnation)
			ln.conn.Close()
			return
		}
	}
}

func (ln *link) writeLoop() {
	for {
		select {
		case <-ln.conn.Done():
			return
		case x := <-ln.sendQueue:
			if ln.conn.Notify(context.Background(), wire.MethodExchange, x) != nil {
				ln.conn.Close()
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
		n := len(s.Body) + startOverheadBytes + len(s.Path)
		for _, h := range s.Headers {
			n += len(h.Name) + len(h.Value)
		}
		if i > from && size+n > maxExchangeBodyBytes {
			parts = append(parts, wire.Exchange{Entry: x.Entry, Demand: x.Demand, Starts: x.Starts[from:i]})
			from, size = i, 0
		}
		size += n
	}
	last := x
	last.Starts = slices.Clip(x.Starts[from:])
	return append(parts, last)
}

// sendClaim sends a sendClaim and passes the reply to the core. A failure is left to
// the core, which sends the sendClaim again.
func (inc *incarnation) sendClaim(o dispatch.ClaimOrder) {
	a := inc.agents[o.To]
	if a == nil {
		return
	}
	ln := a.link.Load()
	if ln == nil {
		return
	}
	go func() {
		a.addUnansweredClaims(ln, 1)
		defer a.addUnansweredClaims(ln, -1)
		var r wire.ClaimReply
		ctx, cancel := context.WithTimeout(a.ctx, inc.entry.opts.SuspectAfter)
		defer cancel()
		if err := ln.conn.Call(ctx, wire.MethodClaim, o.Claim, &r); err != nil {
			klog.Warningf("entry: Claim of job %d at agent %d failed: %v.", o.Claim.Job, o.To, err)
			return
		}
		inc.loop.Post(func(now time.Duration) { inc.core.Claimed(now, o.Claim.Job, r) })
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
		Connected: a.link.Load() != nil, Working: a.pendingCount.Load(),
	}
}
