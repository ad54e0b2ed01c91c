// Package netconn tells facts about network connections that the standard library doesn't.
package netconn

import (
	"net"
	"syscall"
)

// ClosedByPeer reports whether the peer has closed a connection. It reads nothing from it.
// A connection that gives no access to its descriptor counts as open; one that this
// process has closed counts as closed.
func ClosedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
