// Package intake bounds what the peers of a process can make it hold: open connections,
// and the memory of requests that are being read or answered. Clients that nobody controls
// may open any number of connections, announce or send messages of any size, and stop at
// any point.
//
// All listeners of a process take from one Budget, each through the Account of its Gate. A
// Gate takes room for a message before memory is allocated for it, and gives the room back
// when the memory is no longer referenced. When there is no room, it closes the connections
// that have waited longest for the rest of a request, so that a caller that sends normally
// is served beside any number of slow ones. What can't be taken in is refused before any
// handler sees it.
package intake

import (
	"container/list"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/logsink"
)

// ConnBytes is the memory of one connection: buffers and goroutines of the process, and
// what its peer can send before the process reads it (see receiveBufferBytes).
const ConnBytes = 32<<10 + receiveBufferBytes

// Limits bounds the clients of a listener.
type Limits struct {
	Connections int           // open at once
	BodyBytes   int           // of the body of one request
	ReadTimeout time.Duration // from the header of a request to the end of its body
}

// Gate applies Limits to the connections of a listener. It is safe for concurrent use.
type Gate struct {
	limits  Limits
	account *Account
	metrics gateMetrics
	lines   *logsink.Budget

	mu      sync.Mutex
	open    int   // number of connections
	closing int64 // bytes of connections that were closed to make room and still hold them
	// Connections whose next request isn't complete, longest wait first, as a segmented LRU
	// list: one that has carried several requests moves from probation to established.
	probation, established list.List
}

const (
	// establishedAfter is the number of requests after which a connection is established.
	establishedAfter = 2
	// establishedShare is the share of the connections that established ones can take
	// before they make room for new ones.
	establishedShare = 0.75
)

// roomTimeout bounds the wait for the bytes of connections that were closed to make room.
const roomTimeout = time.Second

// maxLinesPerSecond limits the log lines about closed and refused clients, and about
// panics.
const maxLinesPerSecond = 1

type gateMetrics struct {
	connections tally.Gauge // open
	bytes       tally.Gauge // held by connections and requests
	closed      tally.Counter
	tooLarge    tally.Counter
	noRoom      tally.Counter
	panics      tally.Counter
}

// NewGate returns a gate without connections. A nil scope discards the metrics.
func NewGate(l Limits, a *Account, scope tally.Scope) *Gate {
	if scope == nil {
		scope = tally.NoopScope
	}
	refused := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("intake_refused_total")
	}
	return &Gate{limits: l, account: a, lines: logsink.NewBudget(maxLinesPerSecond), metrics: gateMetrics{
		connections: scope.Gauge("intake_connections"), bytes: scope.Gauge("intake_bytes"),
		closed: refused("slow"), tooLarge: refused("too-large"), noRoom: refused("no-room"),
		panics: scope.Counter("handler_panics_total"),
	}}
}

// add registers a connection. It returns false if there is no room.
func (g *Gate) add(c *conn) bool {
	return g.makeRoom(nil, ConnBytes, func() bool {
		if g.open >= g.limits.Connections || !g.account.take(ConnBytes) {
			return false
		}
		g.open++
		c.wait()
		return true
	})
}

// reserve takes n more bytes for the request of a connection. It returns false if there is
// no room, or if the connection itself has been closed to make room.
func (g *Gate) reserve(c *conn, n int64) bool {
	return g.makeRoom(c, n, func() bool {
		if c.isClosed() || !g.account.take(n) {
			return false
		}
		g.hold(c, n)
		return true
	})
}

// makeRoom calls take, with the lock held, until it succeeds. In between it closes the
// connections other than c that have waited longest, and waits until they have given n
// bytes back. It returns false at once if there is nothing left to close.
func (g *Gate) makeRoom(c *conn, n int64, take func() bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if take() {
		g.updateGauges()
		return true
	}
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for {
		released := g.account.nextRelease()
		if take() {
			g.updateGauges()
			return true
		}
		if c != nil && c.isClosed() || !g.closeWaiting(c, n) {
			return false
		}
		g.mu.Unlock()
		select {
		case <-released:
		case <-timeout.C:
			g.mu.Lock()
			return false
		}
		g.mu.Lock()
	}
}

// closeWaiting closes connections other than c, those that have waited longest first, until
// closed ones are about to give n bytes back. After these it closes connections whose
// messages are being handled and whose peers don't read the replies. It returns false if
// nothing is about to be given back.
func (g *Gate) closeWaiting(c *conn, n int64) bool {
	isIdle := func(v *conn) bool { return v != c && v.calls == 0 }
	if float64(g.established.Len()) > establishedShare*float64(g.limits.Connections) {
		g.closeWhile(&g.established, min(n, g.closing+1), isIdle)
	}
	g.closeWhile(&g.probation, n, isIdle)
	g.closeWhile(&g.established, n, isIdle)
	if g.closing < n {
		now := time.Now()
		isStalled := func(v *conn) bool { return v != c && v.isStalled(now) }
		g.closeWhile(&g.probation, n, isStalled)
		g.closeWhile(&g.established, n, isStalled)
	}
	return g.closing > 0
}

// closeWhile closes connections of a list until closed ones are about to give n bytes back.
func (g *Gate) closeWhile(waiting *list.List, n int64, closable func(*conn) bool) {
	for e := waiting.Front(); e != nil && g.closing < n; {
		v := e.Value.(*conn)
		e = e.Next()
		if closable(v) {
			g.drop(v)
		}
	}
}

// drop closes a connection to make room. Its bytes stay taken until its owner has ended the
// request and closed it.
func (g *Gate) drop(c *conn) {
	c.dropped = true
	g.closing += c.held + ConnBytes
	g.stopWaiting(c)
	_ = c.Conn.Close() // the connection is given up
	g.metrics.closed.Inc(1)
	if ok, omitted := g.lines.Allow(time.Now()); ok {
		klog.InfoS("intake: Connection of a slow client closed to make room", "peer", c.RemoteAddr(),
			"connections", g.open, "bytes", g.account.bytes(), "omitted", omitted)
	}
}

// hold changes what a connection holds by n bytes.
func (g *Gate) hold(c *conn, n int64) {
	c.held += n
	if c.dropped {
		g.closing += n
	}
}

// release gives n bytes of a connection back.
func (g *Gate) release(c *conn, n int64) {
	g.hold(c, -n)
	g.account.give(n)
}

func (g *Gate) updateGauges() {
	g.metrics.connections.Update(float64(g.open))
	g.metrics.bytes.Update(float64(g.account.bytes()))
}

// beginRequest records that the first byte of a request has arrived: the connection has
// not waited until now.
func (g *Gate) beginRequest(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.place != nil {
		c.list.MoveToBack(c.place)
	}
}

// beginAnswer records that a request is complete. Its connection isn't closed to make room
// until it is answered.
func (g *Gate) beginAnswer(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopWaiting(c)
}

func (g *Gate) stopWaiting(c *conn) {
	if c.place != nil {
		c.list.Remove(c.place)
		c.place = nil
	}
}

// endRequest releases the bytes of a request whose answer has been sent. Its connection
// waits for the next one.
func (g *Gate) endRequest(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c, c.held)
	c.inRequest.Store(false)
	c.requests++
	c.wait()
	g.updateGauges()
}

// remove unregisters a connection that is closed. It is safe to call more than once.
func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	g.release(c, c.held)
	c.kept = 0
	if c.outside {
		return
	}
	if c.dropped {
		g.closing -= ConnBytes
	}
	g.stopWaiting(c)
	g.open--
	g.account.give(ConnBytes)
	g.updateGauges()
}
