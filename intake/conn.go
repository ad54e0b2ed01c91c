package intake

import (
	"container/list"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
)

// conn is a connection of a gate's listener.
type conn struct {
	net.Conn
	gate      *Gate
	inRequest atomic.Bool // a byte of the current request has arrived
	linger    atomic.Bool // Close reads what the peer still sends

	// The gate's mutex guards these fields.
	outside bool          // it comes from another listener; only its bytes are counted
	held    int64         // bytes reserved for the current request
	place   *list.Element // in Gate.waiting, nil while a request is being answered
	dropped bool          // it is no longer in the tables of the gate
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.inRequest.Swap(true) {
		c.gate.beginRequest(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.linger.Swap(false) {
		discardInput(c.Conn)
	}
	err := c.Conn.Close()
	c.gate.remove(c)
	return err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.New("intake: the connection has no descriptor")
}
