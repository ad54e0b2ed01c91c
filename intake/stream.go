package intake

import (
	"io"
	"net"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"
)

// Stream accounts for the messages of a connection that carries several at a time, unlike
// HTTP. Its methods are called by the reader of the connection. A nil Stream allows
// everything.
type Stream struct{ conn *conn }

// Stream returns the stream of a connection that the gate's listener has accepted, also if
// it is wrapped by TLS.
func (g *Gate) Stream(nc net.Conn) *Stream {
	c, ok := connOf(nc)
	if !ok || c.gate != g {
		return nil
	}
	return &Stream{c}
}

// Reserve takes n more bytes for the message that is being read. It waits for room for a
// short time and fails with ErrNoRoom.
func (s *Stream) Reserve(n int64) error {
	if s != nil && !s.conn.gate.reserve(s.conn, n) {
		s.conn.gate.metrics.noRoom.Inc(1)
		return ErrNoRoom
	}
	return nil
}

// Read reads a message of n bytes, at most limit. It takes memory as the bytes arrive.
func (s *Stream) Read(r io.Reader, n, limit int) ([]byte, error) {
	if s == nil {
		return readUncounted(r, n, limit)
	}
	return s.conn.gate.readBody(s.conn, r, n, limit)
}

// readUncounted reads a message of a connection that has no gate.
func readUncounted(r io.Reader, n, limit int) ([]byte, error) {
	if n > limit {
		return nil, ErrTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil || len(data) < n {
		return nil, ErrBroken
	}
	return data, nil
}

// Complete ends a message. The grant holds its bytes until it is released, and the
// connection isn't closed to make room before.
func (s *Stream) Complete() *Grant {
	if s == nil {
		return nil
	}
	c := s.conn
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	grant := &Grant{conn: c, bytes: c.held - c.kept}
	c.gate.hold(c, -grant.bytes)
	c.calls++
	c.inRequest.Store(false)
	c.requests++
	c.wait()
	return grant
}

// ReleaseKept gives back what grants have kept for the connection.
func (s *Stream) ReleaseKept() {
	if s == nil {
		return
	}
	g := s.conn.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(s.conn, s.conn.kept)
	s.conn.kept = 0
}

// Grant is the memory of a message that is being handled. A nil Grant is empty.
type Grant struct {
	conn  *conn
	bytes int64
}

// Reserve takes n more bytes, for example for the reply.
func (r *Grant) Reserve(n int64) error {
	if r == nil {
		return nil
	}
	g := r.conn.gate
	ok := g.makeRoom(r.conn, n, func() bool { return !r.conn.isClosed() && g.account.take(n) })
	if !ok {
		g.metrics.noRoom.Inc(1)
		return ErrNoRoom
	}
	r.bytes += n
	return nil
}

// Release gives the memory back.
func (r *Grant) Release() {
	if r == nil {
		return
	}
	g := r.conn.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	r.conn.calls--
	g.account.give(r.bytes)
	r.bytes = 0
}

// Keep makes the memory part of what the connection itself holds, until ReleaseKept or its
// end.
func (r *Grant) Keep() {
	if r == nil {
		return
	}
	g := r.conn.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	r.conn.calls--
	if r.conn.isClosed() {
		g.account.give(r.bytes)
	} else {
		g.hold(r.conn, r.bytes)
		r.conn.kept += r.bytes
	}
	r.bytes = 0
}

// RecordPanic counts and logs a panic of a handler of messages.
func (g *Gate) RecordPanic(value any) {
	g.metrics.panics.Inc(1)
	if ok, omitted := g.lines.Allow(time.Now()); ok {
		klog.Errorf("intake: Request handler panicked (%d lines omitted): %v\n%s", omitted, value, debug.Stack())
	}
}
