// Package intake bounds what the clients of an HTTP listener can make a process hold: open
// connections, and the bytes of requests that are being read or answered. Clients that
// nobody controls may open any number of connections, announce or send bodies of any size,
// and stop at any point.
//
// A Gate counts a body before memory is taken for it. When its limits are reached, it
// closes the connections that have waited longest for the rest of a request, so that a
// caller that sends normally is served beside any number of slow ones. What can't be taken
// in is refused before any handler sees it.
package intake

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/logsink"
)

// Limits bounds the clients of a listener.
type Limits struct {
	Connections int           // open at once
	Bytes       int64         // of the bodies of all requests that are being read or answered
	BodyBytes   int           // of the body of one request
	ReadTimeout time.Duration // from the header of a request to the end of its body
}

// Gate applies Limits to the connections of a listener. It is safe for concurrent use.
type Gate struct {
	limits  Limits
	metrics gateMetrics
	lines   *logsink.Budget

	mu      sync.Mutex
	open    int       // number of connections
	held    int64     // bytes of bodies that are being read or answered
	waiting list.List // of *conn whose next request isn't complete, longest wait first
}

// maxLinesPerSecond limits the log lines about closed and refused clients.
const maxLinesPerSecond = 1

type gateMetrics struct {
	connections tally.Gauge // open
	bodyBytes   tally.Gauge // of requests that are being read or answered
	closed      tally.Counter
	tooLarge    tally.Counter
	noRoom      tally.Counter
	panics      tally.Counter
}

// NewGate returns a gate without connections. A nil scope discards the metrics.
func NewGate(l Limits, scope tally.Scope) *Gate {
	if scope == nil {
		scope = tally.NoopScope
	}
	refused := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("intake_refused_total")
	}
	return &Gate{limits: l, lines: logsink.NewBudget(maxLinesPerSecond), metrics: gateMetrics{
		connections: scope.Gauge("intake_connections"), bodyBytes: scope.Gauge("intake_body_bytes"),
		closed: refused("slow"), tooLarge: refused("too-large"), noRoom: refused("no-room"),
		panics: scope.Counter("handler_panics_total"),
	}}
}

// Listener returns l with the gate's limit on connections.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room. A connection that has
// waited longest for a request makes room for it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, gate: l.gate}
		if l.gate.add(c) {
			return c, nil
		}
		raw.Close() // all connections have requests that are being answered
	}
}

// add registers a connection. It returns false if there is no room.
func (g *Gate) add(c *conn) bool {
	g.mu.Lock()
	var victim *conn
	if g.open >= g.limits.Connections {
		if victim = g.longestWaiting(nil, 0); victim == nil {
			g.mu.Unlock()
			g.metrics.noRoom.Inc(1)
			return false
		}
		g.drop(victim)
	}
	g.open++
	c.place = g.waiting.PushBack(c)
	g.updateGauges()
	g.mu.Unlock()
	g.closeSlow(victim)
	return true
}

// longestWaiting returns the connection other than c that has waited longest and holds at
// least the given bytes, nil if there is none.
func (g *Gate) longestWaiting(c *conn, minBytes int64) *conn {
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*conn); w != c && w.held >= minBytes {
			return w
		}
	}
	return nil
}

// drop removes a connection from the tables. It is safe to call more than once.
func (g *Gate) drop(c *conn) {
	if c.dropped {
		return
	}
	c.dropped = true
	g.open--
	g.release(c)
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
}

func (g *Gate) release(c *conn) {
	g.held -= c.held
	c.held = 0
}

func (g *Gate) updateGauges() {
	g.metrics.connections.Update(float64(g.open))
	g.metrics.bodyBytes.Update(float64(g.held))
}

// closeSlow closes a connection that was dropped to make room.
func (g *Gate) closeSlow(c *conn) {
	if c == nil {
		return
	}
	c.Conn.Close()
	g.metrics.closed.Inc(1)
	if ok, omitted := g.lines.Allow(time.Now()); ok {
		klog.InfoS("intake: Connection of a slow client closed to make room", "peer", c.RemoteAddr(),
			"connections", g.limits.Connections, "bytes", g.limits.Bytes, "omitted", omitted)
	}
}

// reserve counts n more bytes for the request of a connection. Connections that have
// waited longest for the rest of a body make room. It returns false if there is no room,
// or if the connection itself has been closed to make room.
func (g *Gate) reserve(c *conn, n int64) bool {
	var victims []*conn
	defer func() {
		for _, v := range victims {
			g.closeSlow(v)
		}
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	for !c.dropped && g.held+n > g.limits.Bytes {
		v := g.longestWaiting(c, 1)
		if v == nil {
			return false
		}
		g.drop(v)
		victims = append(victims, v)
	}
	if c.dropped {
		return false
	}
	g.held += n
	c.held += n
	g.updateGauges()
	return true
}

// beginRequest records that the first byte of a request has arrived: the connection has
// not waited until now.
func (g *Gate) beginRequest(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.place != nil {
		g.waiting.MoveToBack(c.place)
	}
}

// beginAnswer records that a request is complete. Its connection isn't closed to make room
// until it is answered.
func (g *Gate) beginAnswer(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
}

// endRequest releases the bytes of a request. Its connection waits for the next one.
func (g *Gate) endRequest(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c)
	c.inRequest.Store(false)
	if !c.dropped && !c.outside && c.place == nil {
		c.place = g.waiting.PushBack(c)
	}
	g.updateGauges()
}

// remove unregisters a connection that is closed.
func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(c)
	g.updateGauges()
}
