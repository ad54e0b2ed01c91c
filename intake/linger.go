package intake

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout and maxDiscardedBytes limit what is read from a connection that is
	// being closed.
	lingerTimeout     = 2 * time.Second
	maxDiscardedBytes = 16 << 20
)

// discardInput ends the output of a connection and reads its input until the peer has read
// the answer and closes the connection, or a limit is reached. Closing a socket with
// unread bytes resets the connection, and the peer then may not see the last answer. An
// error ends the reading, as its end does: the connection is closed in any case.
func discardInput(c net.Conn) {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, maxDiscardedBytes)
}

// beginLinger makes a connection that is being closed the first one that is closed at once
// to make room: its answer has been sent.
func (g *Gate) beginLinger(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c, c.held)
	g.stopWaiting(c)
	if !c.isClosed() {
		c.list = &g.probation
		c.place = c.list.PushFront(c)
	}
}
