package intake

import (
	"container/list"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// conn is a connection of a gate's listener.
type conn struct {
	net.Conn
	gate      *Gate
	inRequest atomic.Bool  // a byte of the current request has arrived
	answered  atomic.Bool  // the handler of the last request has returned, its answer may still be written
	linger    atomic.Bool  // Close reads what the peer still sends
	writeFrom atomic.Int64 // start of the write in progress, Unix nanoseconds, 0 if there is none

	// The gate's mutex guards these fields.
	outside  bool          // it comes from another listener; only its bytes are counted
	held     int64         // bytes taken for requests, without ConnBytes and what grants hold
	kept     int64         // the part of held that belongs to earlier messages of a Stream
	calls    int           // grants: messages of a Stream that are being handled
	requests int           // that were complete
	place    *list.Element // in list, nil while a request is being answered
	list     *list.List    // of the gate, in which it waits
	dropped  bool          // it has been closed to make room
	removed  bool          // its owner has closed it
}

// connOf returns the gate's connection below a connection that may be wrapped by TLS.
func connOf(nc net.Conn) (c *conn, ok bool) {
	if wrapped, isWrapped := nc.(interface{ NetConn() net.Conn }); isWrapped {
		nc = wrapped.NetConn()
	}
	c, ok = nc.(*conn)
	return c, ok
}

// Read implements net.Conn. A server reads on once it has written the last answer.
func (c *conn) Read(b []byte) (int, error) {
	if c.answered.Swap(false) {
		c.gate.endRequest(c)
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.inRequest.Swap(true) {
		c.gate.beginRequest(c)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writeFrom.Store(time.Now().UnixNano())
	defer c.writeFrom.Store(0)
	return c.Conn.Write(b)
}

// stalledAfter is the duration of a write after which its peer counts as one that doesn't
// read.
const stalledAfter = time.Second

func (c *conn) isStalled(now time.Time) bool {
	from := c.writeFrom.Load()
	return from != 0 && now.UnixNano()-from > int64(stalledAfter)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.linger.Swap(false) {
		c.gate.beginLinger(c)
		discardInput(c.Conn)
	}
	err := c.Conn.Close()
	c.gate.remove(c)
	return err
}

// wait puts a connection among those that wait for a request. The caller holds the gate's
// mutex.
func (c *conn) wait() {
	if c.isClosed() || c.outside {
		return
	}
	list := &c.gate.probation
	if c.requests >= establishedAfter {
		list = &c.gate.established
	}
	if c.place != nil && c.list == list {
		list.MoveToBack(c.place)
		return
	}
	c.gate.stopWaiting(c)
	c.list, c.place = list, list.PushBack(c)
}

// isClosed reports whether the connection takes no more room. The caller holds the gate's
// mutex.
func (c *conn) isClosed() bool { return c.dropped || c.removed }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.New("intake: the connection has no descriptor")
}
