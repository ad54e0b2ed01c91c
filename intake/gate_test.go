package intake

import (
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// testConn is a connection that only records whether it was closed.
type testConn struct {
	net.Conn
	closed bool
}

func (c *testConn) Close() error         { c.closed = true; return nil }
func (c *testConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// newConns registers n connections.
func newConns(t *testing.T, g *Gate, n int) []*conn {
	t.Helper()
	conns := make([]*conn, n)
	for i := range conns {
		conns[i] = &conn{Conn: &testConn{}, gate: g}
		if !g.add(conns[i]) {
			t.Fatalf("connection %d was refused", i)
		}
	}
	return conns
}

func isClosed(c *conn) bool { return c.Conn.(*testConn).closed }

// Guards against a new caller that is refused while silent connections hold all places,
// against the close of a connection whose request is being answered, and against a place
// that is counted twice.
func TestConnectionThatWaitsLongestMakesRoom(t *testing.T) {
	g := NewGate(Limits{Connections: 3}, nil)
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
	g := NewGate(Limits{Connections: 9, Bytes: 100}, tally.NoopScope)
	conns := newConns(t, g, 3)
	if !g.reserve(conns[0], 60) || !g.reserve(conns[1], 40) {
		t.Fatal("bodies within the limit were refused")
	}
	if !g.reserve(conns[2], 30) || !isClosed(conns[0]) || isClosed(conns[1]) {
		t.Error("the body that waits longest did not make room")
	}
	if g.reserve(conns[0], 1) {
		t.Error("a closed connection got room")
	}
	g.beginAnswer(conns[1])
	if g.reserve(conns[2], 50) {
		t.Error("a body was taken in beside one that is being answered, beyond the limit")
	}
	g.endRequest(conns[1])
	g.endRequest(conns[2])
	if g.held != 0 {
		t.Errorf("%d bytes counted after all requests", g.held)
	}
}

// Guards against a handler whose panic ends the process or leaves its bytes counted.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	g := NewGate(Limits{Connections: 1, Bytes: 10, BodyBytes: 10, ReadTimeout: time.Second}, nil)
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, &net.TCPAddr{}, nil)
	g.Serve(func(*fasthttp.RequestCtx) { panic("test") }, nil)(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusInternalServerError || g.held != 0 {
		t.Errorf("status %d, %d bytes counted", ctx.Response.StatusCode(), g.held)
	}
}
