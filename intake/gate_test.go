package intake

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// testConn is a connection that only records whether it was closed. Its owner notices this
// at once, ends the request and closes the connection.
type testConn struct {
	net.Conn
	closed bool
	owner  func()
}

func (c *testConn) Close() error {
	c.closed = true
	go c.owner()
	return nil
}
func (c *testConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// newConns registers n connections.
func newConns(t *testing.T, g *Gate, n int) []*conn {
	t.Helper()
	conns := make([]*conn, n)
	for i := range conns {
		tc := &testConn{}
		c := &conn{Conn: tc, gate: g}
		tc.owner = func() { g.remove(c) }
		conns[i] = c
		if !g.add(conns[i]) {
			t.Fatalf("connection %d was refused", i)
		}
	}
	return conns
}

// newTestGate returns a gate with room for so many connections, and bytes for their
// requests.
func newTestGate(connections int, bytes int64) *Gate {
	return NewGate(Limits{Connections: connections}, Unlimited().NewAccount(0, int64(connections)*ConnBytes+bytes), nil)
}

// heldBytes returns what requests hold.
func heldBytes(g *Gate) int64 { return g.account.bytes() - int64(g.open)*ConnBytes }

func isClosed(c *conn) bool { return c.Conn.(*testConn).closed }

// Guards against a new caller that is refused while silent connections hold all places,
// against the close of a connection whose request is being answered, and against a place
// that is counted twice.
func TestConnectionThatWaitsLongestMakesRoom(t *testing.T) {
	g := newTestGate(3, 0)
	conns := newConns(t, g, 3)
	g.beginAnswer(conns[0])
	g.beginRequest(conns[1])
	newConns(t, g, 1)
	if isClosed(conns[0]) || isClosed(conns[1]) || !isClosed(conns[2]) {
		t.Errorf("closed: %v %v %v, want the third only", isClosed(conns[0]), isClosed(conns[1]), isClosed(conns[2]))
	}
	g.remove(conns[2])
	g.beginAnswer(conns[1])
	newConns(t, g, 1)
	for _, c := range conns {
		g.remove(c)
		g.remove(c)
	}
	if g.open != 1 {
		t.Errorf("%d connections counted, want 1", g.open)
	}
}

// Guards against a body that is taken in beyond the limit, against one that is refused while
// a slow body holds the room, and against bytes that stay counted after a request.
func TestSlowBodyMakesRoom(t *testing.T) {
	g := newTestGate(3, 100)
	conns := newConns(t, g, 3)
	if !g.reserve(conns[0], 60) || !g.reserve(conns[1], 40) {
		t.Fatal("bodies within the limit were refused")
	}
	if !g.reserve(conns[2], 30) || !isClosed(conns[0]) || isClosed(conns[1]) {
		t.Error("the body that waits longest did not make room")
	}
	g.beginAnswer(newConns(t, g, 1)[0]) // takes the place of the closed one
	if g.reserve(conns[0], 1) {
		t.Error("a closed connection got room")
	}
	g.beginAnswer(conns[1])
	if g.reserve(conns[2], 50) {
		t.Error("a body was taken in beside one that is being answered, beyond the limit")
	}
	g.endRequest(conns[1])
	g.endRequest(conns[2])
	if n := heldBytes(g); n != 0 {
		t.Errorf("%d bytes counted after all requests", n)
	}
}

// Guards against a handler whose panic ends the process or leaves its bytes counted.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	g := NewGate(Limits{Connections: 1, BodyBytes: 10, ReadTimeout: time.Second}, Unlimited().NewAccount(0, 10), nil)
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, &net.TCPAddr{}, nil)
	g.Serve(func(*fasthttp.RequestCtx) { panic("test") }, nil)(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusInternalServerError || heldBytes(g) != 0 {
		t.Errorf("status %d, %d bytes counted", ctx.Response.StatusCode(), heldBytes(g))
	}
}

// Guards against room that is given to a new request while the closed connection that held
// it still has the bytes in memory.
func TestRoomIsGivenOnceItsOwnerHasReleasedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(2, 100)
		conns := newConns(t, g, 2)
		var ended atomic.Bool
		conns[0].Conn.(*testConn).owner = func() {
			time.Sleep(roomTimeout / 2) // the reader of the body
			ended.Store(true)
			g.remove(conns[0])
		}
		if !g.reserve(conns[0], 100) || !g.reserve(conns[1], 100) || !ended.Load() {
			t.Error("room was not given, or given twice")
		}
	})
}

// Guards against bytes that one listener takes although they are kept for another, and
// against listeners that take more than the budget together.
func TestAccountsShareABudget(t *testing.T) {
	b := NewBudget(100)
	kept, other := b.NewAccount(40, 80), b.NewAccount(0, 100)
	if other.take(61) || !other.take(60) || !kept.take(40) || kept.take(1) {
		t.Error("kept bytes were taken, or refused to their account")
	}
	other.give(60)
	if !kept.take(40) || kept.take(1) || !other.take(20) || other.take(1) {
		t.Error("the budget or the limit of an account doesn't hold")
	}
	kept.give(80)
	other.give(20)
	if b.used != 40 {
		t.Errorf("%d bytes used when nothing is held, 40 are kept", b.used)
	}
}

// failingListener fails to accept before it is closed.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// Guards against a listener that stops or spins when there are no descriptors left.
func TestAcceptFailsForLackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(9, 0)
		conns := newConns(t, g, 3)
		began := time.Now()
		if _, err := g.Listener(&failingListener{failures: 2}).Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept ended with %v", err)
		}
		if time.Since(began) != 2*acceptRetryDelay {
			t.Errorf("two failures took %v", time.Since(began))
		}
		if !isClosed(conns[0]) || !isClosed(conns[1]) || isClosed(conns[2]) {
			t.Error("the connections that wait longest were not closed, one for each failure")
		}
	})
}

// Guards against a connection whose message is being handled, and which is closed to make
// room, and against memory of a message that is counted as free before its handler ends.
func TestMessageHoldsItsMemoryUntilItIsHandled(t *testing.T) {
	g := newTestGate(2, 100)
	conns := newConns(t, g, 2)
	s := &Stream{conns[0]}
	if s.Reserve(100) != nil {
		t.Fatal("no room for a message")
	}
	grant := s.Complete()
	if g.reserve(conns[1], 1) || isClosed(conns[0]) {
		t.Error("room of a message that is being handled was taken")
	}
	g.remove(conns[0])
	newConns(t, g, 1)
	if heldBytes(g) != 100 {
		t.Errorf("%d bytes held after the close, the handler has 100", heldBytes(g))
	}
	grant.Release()
	if heldBytes(g) != 0 {
		t.Errorf("%d bytes held after the handler", heldBytes(g))
	}
}

// Guards against bytes of a closed connection that count as about to be given back for ever:
// the gate would then close no other one. The message of the closed connection was complete.
func TestMessageOfAClosedConnectionIsHandled(t *testing.T) {
	g := newTestGate(2, 100)
	conns := newConns(t, g, 2)
	conns[0].Conn.(*testConn).owner = func() {}
	s := &Stream{conns[0]}
	if s.Reserve(100) != nil {
		t.Fatal("no room for a message")
	}
	g.mu.Lock()
	g.drop(conns[0])
	g.mu.Unlock()
	grant := s.Complete()
	g.remove(conns[0])
	grant.Release()
	if g.closing != 0 || heldBytes(g) != 0 {
		t.Errorf("%d bytes are about to be given back, %d held", g.closing, heldBytes(g))
	}
}

// Guards against a peer with work in progress that is closed to make room for connections
// that come and go, and against established connections that keep all new ones out.
func TestEstablishedConnectionsAreClosedLast(t *testing.T) {
	g := newTestGate(4, 0)
	conns := newConns(t, g, 4)
	for _, c := range conns {
		for range establishedAfter {
			g.beginAnswer(c)
			g.endRequest(c)
		}
	}
	newConns(t, g, 10)
	if !isClosed(conns[0]) || isClosed(conns[1]) || isClosed(conns[3]) {
		t.Error("new connections must take one place of four, that of the connection that has waited longest")
	}
}

// Guards against a large legal body in pieces, of announced length or not, that is not passed
// on whole, and against bytes of it that stay counted.
func TestBodyInPiecesArrivesWhole(t *testing.T) {
	const limit = 1 << 20
	g := newTestGate(1, 3*limit)
	c := newConns(t, g, 1)[0]
	for _, size := range []int{0, 1, directBytes, directBytes + 1, chunkBytes, chunkBytes + 1, 3*chunkBytes - 1, limit} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i / 7)
		}
		for _, announced := range []int{size, -1} {
			got, err := g.readBody(c, iotest.HalfReader(bytes.NewReader(want)), announced, limit)
			if err != nil || !bytes.Equal(got, want) || c.held < int64(size) || c.held > int64(size)+chunkBytes {
				t.Errorf("%d bytes, announced as %d: %d arrive, %d counted, %v", size, announced, len(got), c.held, err)
			}
			g.endRequest(c)
		}
	}
	for _, announced := range []int{limit + 1, -1} {
		if _, err := g.readBody(c, bytes.NewReader(make([]byte, limit+1)), announced, limit); !errors.Is(err, ErrTooLarge) {
			t.Errorf("a body over the limit, announced as %d: %v", announced, err)
		}
		g.endRequest(c)
	}
	if _, err := g.readBody(c, strings.NewReader("short"), 9, limit); !errors.Is(err, ErrBroken) {
		t.Errorf("a body that ends early: %v", err)
	}
	g.endRequest(c)
	if heldBytes(g) != 0 {
		t.Errorf("%d bytes counted after all requests", heldBytes(g))
	}
}
