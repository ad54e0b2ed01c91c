package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

const (
	// methodProbe has no effect at the peer. Its reply shows that the connection delivers
	// in both directions. A peer that doesn't know it replies with an error, which shows
	// the same.
	methodProbe = "rpc.probe"
	// probeInterval is how often connections with an unproven or awaited message are
	// checked. A connection is probed when a message is unproven at two checks, or when
	// nothing has arrived between the begin of the wait for a message and a check.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is how long a probe may be unanswered. It is longer than a reader waits
	// for memory (intake.Gate) and than a lost packet takes. With 2 * probeInterval and
	// replyGrace it leaves more than 1 s of the 3 s in which a group has to be back after
	// a disturbance.
	probeTimeout = 1100 * time.Millisecond
	// replyGrace is the time after probeTimeout for a reply that has arrived and waits
	// unread, for example after a pause of this process.
	replyGrace = 250 * time.Millisecond
	// minThroughput is the rate, in bytes a second, at which the messages around a probe
	// are taken to be transferred.
	minThroughput = 1 << 20
	// maxTransferTime limits the time that probes allow for other messages.
	maxTransferTime = 10 * time.Second
)

// delivery holds what is known of the arrival of messages on one connection. Messages from
// the peer alone show nothing of it: the way to the peer may be interrupted, and the peer
// may send over another connection.
type delivery struct {
	sent     atomic.Uint64 // requests and notifications, without probes
	received atomic.Uint64 // the same in the other direction
	proven   atomic.Uint64 // how many of sent have reached the peer
	calls    atomic.Int64  // calls that wait for their reply
	awaiting atomic.Bool   // see Conn.SetAwaiting

	bytesIn     atomic.Int64 // as read from the network, parts of messages included
	bytesOut    atomic.Int64
	provenBytes atomic.Int64 // value of bytesOut up to which all has reached the peer

	watched atomic.Bool // the prober checks the connection
	probing atomic.Bool
	failed  atomic.Bool // a probe wasn't answered

	// Values at the last check, used by the prober only.
	checkedSent       uint64
	checkedIn, idleIn int64 // of bytesIn
}

// recordSent is called for each message in the order of writing.
func (c *Conn) recordSent(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req != nil && resp == nil && req.Method != methodProbe {
		c.delivery.sent.Add(1)
		c.watch()
	}
}

// recordReceived is called for each message in the order of reading.
func (c *Conn) recordReceived(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req != nil && resp == nil && req.Method != methodProbe {
		c.delivery.received.Add(1)
	}
}

// Sent returns the number of requests and notifications that have been sent on the
// connection.
func (c *Conn) Sent() uint64 { return c.delivery.sent.Load() }

// Received returns the number of requests and notifications that have arrived on the
// connection. A message that carries it saves the peer a probe (see Acknowledge).
func (c *Conn) Received() uint64 { return c.delivery.received.Load() }

// Acknowledge records that the peer has received the first n requests and notifications of this
// connection, as counted by its Received.
func (c *Conn) Acknowledge(n uint64) {
	d := &c.delivery
	for {
		proven := d.proven.Load()
		if n <= proven || n > d.sent.Load() {
			return
		}
		if d.proven.CompareAndSwap(proven, n) {
			break
		}
	}
	if out := d.bytesOut.Load(); n == d.sent.Load() {
		d.provenBytes.Store(out)
	}
}

// SetAwaiting tells whether the peer is expected to send something. The connection is then probed
// whenever nothing arrives for probeInterval, also if all that was sent has arrived.
func (c *Conn) SetAwaiting(awaiting bool) {
	if c.delivery.awaiting.Swap(awaiting) != awaiting && awaiting {
		c.watch()
	}
}

// ProbeFailed reports whether the connection was closed because a probe wasn't answered.
func (c *Conn) ProbeFailed() bool { return c.delivery.failed.Load() }

// watch has the prober check the connection.
func (c *Conn) watch() {
	if c.delivery.watched.CompareAndSwap(false, true) {
		connProber.watch(c)
	}
}

// call makes a call whose reply proves the arrival of all that was sent before it.
func (c *Conn) call(ctx context.Context, method string, params, result any) error {
	before := c.delivery.sent.Load()
	c.delivery.calls.Add(1)
	err := c.rpc.Call(ctx, method, params, result)
	c.delivery.calls.Add(-1)
	if isReply(err) {
		c.Acknowledge(before + 1)
	}
	return err
}

// isReply reports whether the outcome of a call shows that the peer has replied.
func isReply(err error) bool {
	_, refused := err.(*jsonrpc2.Error)
	return err == nil || refused
}

// needsChecks reports whether a message is unproven or awaited.
func (d *delivery) needsChecks() bool {
	return d.proven.Load() < d.sent.Load() || d.awaitsMessage() || d.probing.Load()
}

func (d *delivery) awaitsMessage() bool { return d.awaiting.Load() || d.calls.Load() > 0 }

// check probes the connection if a message that was sent before the last check is unproven,
// or if an awaited one hasn't come since. The prober calls it every probeInterval.
func (c *Conn) check() {
	d := &c.delivery
	sent, in := d.sent.Load(), d.bytesIn.Load()
	unproven := d.proven.Load() < d.checkedSent
	silent := d.awaitsMessage() && in == d.checkedIn
	d.checkedSent, d.checkedIn = sent, in
	if unproven || silent {
		c.startProbe()
	}
}

// checkIdle probes the connection if nothing has arrived since the last call.
func (c *Conn) checkIdle() {
	d := &c.delivery
	in := d.bytesIn.Load()
	if in == d.idleIn && c.authenticated.Load() {
		c.startProbe()
	}
	d.idleIn = in
}

func (c *Conn) startProbe() {
	if c.delivery.probing.CompareAndSwap(false, true) {
		go c.probe()
	}
}

// probe closes the connection if the peer doesn't answer.
func (c *Conn) probe() {
	d := &c.delivery
	defer d.probing.Store(false)
	<-c.ready
	c.counters.Probes.Add(1)
	begin := time.Now()
	sent, out, in := d.sent.Load(), d.bytesOut.Load(), d.bytesIn.Load()
	answered := make(chan error, 1)
	go func() { answered <- c.rpc.Call(context.Background(), methodProbe, nil, nil) }()
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	for grace := replyGrace; ; {
		select {
		case err := <-answered:
			if isReply(err) {
				c.Acknowledge(sent)
				d.provenBytes.Store(max(out, d.provenBytes.Load()))
			}
			return
		case <-timeout.C:
			// The probe may wait behind large messages, and its reply behind those of the
			// peer. What is sent after the probe doesn't delay it.
			queued := max(out-d.provenBytes.Load(), 0) + d.bytesIn.Load() - in
			left := probeTimeout + transferTime(queued) - time.Since(begin)
			if left <= 0 {
				left, grace = grace, 0
			}
			if left == 0 {
				c.fail(time.Since(begin))
				return
			}
			timeout.Reset(left)
		}
	}
}

func transferTime(bytes int64) time.Duration {
	limit := int64(maxTransferTime/time.Second) * minThroughput
	return time.Duration(min(bytes, limit)) * time.Second / minThroughput
}

// fail closes a connection that doesn't deliver.
func (c *Conn) fail(unanswered time.Duration) {
	c.delivery.failed.Store(true)
	c.counters.Failed.Add(1)
	if ok, omitted := connProber.lines.Allow(time.Now()); ok {
		klog.InfoS("rpc: Closing a connection that doesn't deliver", "remote", c.remote, "accepted", c.accepted,
			"unansweredMs", unanswered.Milliseconds(), "omitted", omitted)
	}
	c.Abort()
}
