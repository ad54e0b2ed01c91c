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
	// maxQueuedExchanges bounds the messages queued for a slow agent. When the queue
	// is full the connection is closed, and the core sends the lost messages again
	// after the reconnect.
	maxQueuedExchanges = 256
	// maxExchangeBodyBytes bounds the task bodies in one message. It leaves room for
	// base64 and headers within wire.MaxMessageBytes.
	maxExchangeBodyBytes = 6 << 20
	// startOverheadBytes is an upper estimate of the JSON size of a start without its
	// body, headers and path.
	startOverheadBytes = 1 << 10

	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = time.Second
)

// agentConn keeps a connection to one agent incarnation for as long as the registry
// lists it as live. The event loop owns pending; the other mutable fields are atomic.
type agentConn struct {
	incarnation *incarnation
	member      wire.Member
	ctx         context.Context
	cancel      context.CancelFunc

	link         atomic.Pointer[link]
	pendingCount atomic.Int64             // length of pending, readable outside the loop
	pending      map[ids.TaskKey]struct{} // tasks sent to the agent and not answered yet
}

// link is one connection to an agent with its send queue. Each connection has a queue
// of its own, so that messages queued for a broken connection are never sent on the
// next one.
type link struct {
	conn      *rpc.Conn
	sendQueue chan *wire.Exchange // holds pointers, since each connection allocates maxQueuedExchanges elements

	// The event loop never takes mu, since a holder of mu may be waiting for the
	// loop.
	mu               sync.Mutex
	ready            bool // the core has been told of the connection
	unansweredClaims int
	heldReports      []wire.Report // reports held back until ready is set and no claim is unanswered
}

// syncAgentConns keeps one agentConn for each live agent in the registry view.
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
	a := &agentConn{incarnation: inc, member: m, pending: map[ids.TaskKey]struct{}{}}
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

// run connects and reconnects until the agent has left the registry.
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

// dial connects and verifies that the expected incarnation answers.
func (a *agentConn) dial() (*link, error) {
	ln := &link{sendQueue: make(chan *wire.Exchange, maxQueuedExchanges)}
	m := rpc.NewMux()
	m.Ordered(wire.MethodReport, rpc.Handle(func(_ context.Context, c *rpc.Conn, r wire.Report) (wire.Empty, error) {
		c.Acknowledge(r.Received)
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

// serve exchanges messages over ln until the connection ends.
func (a *agentConn) serve(ln *link) {
	defer ln.conn.Close()
	a.link.Store(ln)
	id := a.member.Incarnation
	if !a.incarnation.loop.Post(func(now time.Duration) { a.incarnation.core.Connected(now, id) }) {
		return
	}
	a.setReady(ln)
	go ln.writeLoop()
	select {
	case <-ln.conn.Done():
	case <-a.ctx.Done():
	}
	a.link.Store(nil)
	a.incarnation.loop.Post(func(now time.Duration) {
		clear(a.pending)
		a.updatePending()
		a.incarnation.core.Disconnected(now, id)
	})
}

// updatePending is called by the event loop after a change of pending. While a task is
// pending, the connection is probed when the agent sends nothing.
func (a *agentConn) updatePending() {
	a.pendingCount.Store(int64(len(a.pending)))
	if ln := a.link.Load(); ln != nil {
		ln.conn.SetAwaiting(len(a.pending) > 0)
	}
}

// receiveReport passes a report to the core once the core knows of the connection and
// no claim is unanswered. A report may answer tasks that the core learns of from the
// reply to a claim; passed on earlier, it would be dropped as an answer to an unknown
// task.
func (a *agentConn) receiveReport(ln *link, r wire.Report) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.heldReports = append(ln.heldReports, r)
	a.releaseReports(ln)
}

// releaseReports passes the held reports on if nothing holds them back any more. The
// caller holds ln.mu.
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

// postReport posts a report to the event loop. A report of another incarnation is
// dropped.
func (a *agentConn) postReport(r wire.Report) {
	if r.Upstream != a.member.Incarnation {
		return
	}
	a.incarnation.loop.Post(func(now time.Duration) {
		for _, ans := range r.Answers {
			delete(a.pending, ans.Key)
		}
		a.updatePending()
		a.incarnation.core.Report(now, r)
	})
}

// send queues a message without blocking. It is called by the event loop.
func (a *agentConn) send(x wire.Exchange) {
	ln := a.link.Load()
	if ln == nil {
		return // the core sends it again after Connected
	}
	for _, s := range x.Starts {
		a.pending[s.Key] = struct{}{}
	}
	a.updatePending()
	for _, part := range splitExchange(x) {
		select {
		case ln.sendQueue <- &part:
		default:
			klog.Warningf("entry: Send queue of agent %d is full; closing its connection.", a.member.Incarnation)
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
			x.Received = ln.conn.Received()
			if ln.conn.Notify(context.Background(), wire.MethodExchange, x) != nil {
				ln.conn.Close()
				return
			}
		}
	}
}

// splitExchange divides the starts of x into messages of bounded size. Each message has
// Entry, Demand and ValidUntilMS. The recalls and all other fields go with the last
// message, since recalls, cancels and aborts may refer to the starts.
func splitExchange(x wire.Exchange) []wire.Exchange {
	var parts []wire.Exchange
	size, from := 0, 0
	for i, s := range x.Starts {
		n := len(s.Body) + startOverheadBytes + len(s.Path)
		for _, h := range s.Headers {
			n += len(h.Name) + len(h.Value)
		}
		if i > from && size+n > maxExchangeBodyBytes {
			parts = append(parts, wire.Exchange{Entry: x.Entry, Demand: x.Demand, ValidUntilMS: x.ValidUntilMS, Starts: x.Starts[from:i]})
			from, size = i, 0
		}
		size += n
	}
	last := x
	last.Starts = slices.Clip(x.Starts[from:])
	return append(parts, last)
}

// sendClaim sends a claim and passes the reply to the core. The core sends the claim
// again after a failure.
func (inc *incarnation) sendClaim(o dispatch.ClaimRequest) {
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
	Pending     int64           `json:"working"`
}

func (a *agentConn) dump() agentDump {
	return agentDump{
		Incarnation: a.member.Incarnation, Addr: a.member.Addr,
		Connected: a.link.Load() != nil, Pending: a.pendingCount.Load(),
	}
}
