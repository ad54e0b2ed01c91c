package intake

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

const (
	// receiveBufferBytes bounds what a peer can send on one connection before it is read:
	// the kernel otherwise lets the buffer of each connection grow to megabytes.
	receiveBufferBytes = 32 << 10
	// acceptRetryDelay is the pause after an accept that failed, for example for lack of
	// descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// Listen opens a TCP listener whose connections have bounded receive buffers.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// The kernel takes half of the buffer for its own overhead. Without the option the
			// buffers are the kernel's default.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

// Listener returns l with the gate's limit on connections.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room. A connection that has
// waited longest for a request makes room for it. Accept returns an error only when the
// listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.gate.acceptFailed(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: raw, gate: l.gate}
		if l.gate.add(c) {
			return c, nil
		}
		l.gate.metrics.noRoom.Inc(1)
		raw.Close() // all connections have requests that are being answered
	}
}

// acceptFailed closes the connection that has waited longest, since an accept usually
// fails for lack of descriptors.
func (g *Gate) acceptFailed(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeWaiting(nil, g.closing+1)
	if ok, omitted := g.lines.Allow(time.Now()); ok {
		klog.ErrorS(err, "intake: Accepting a connection failed", "omitted", omitted)
	}
}
