package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// gonePoll is the time between two looks whether a waiting caller has left.
const gonePoll = 250 * time.Millisecond

// watch bounds the wait of a caller.
type watch struct {
	until time.Time
	conn  net.Conn // nil when the caller is another entry
}

func (e *Entry) watch(ctx *fasthttp.RequestCtx, limit time.Duration) watch {
	return watch{until: time.Now().Add(limit), conn: ctx.Conn()}
}

// left returns the rest of the wait, zero when it is over.
func (w watch) left() time.Duration { return max(time.Until(w.until), 0) }

// ended is how a wait ended.
type ended uint8

const (
	waitDone ended = iota // the channel was closed
	waitLimit
	waitGone // the caller closed its connection
	waitStop
)

// wait returns when done is closed, at the limit, when the caller has left, or
// when stop is closed.
func (w watch) wait(done, stop <-chan struct{}) ended {
	select {
	case <-done:
		return waitDone
	default:
	}
	left := w.left()
	if left == 0 {
		return waitLimit
	}
	limit := time.NewTimer(left)
	defer limit.Stop()
	poll := time.NewTicker(gonePoll)
	defer poll.Stop()
	for {
		select {
		case <-done:
			return waitDone
		case <-limit.C:
			return waitLimit
		case <-stop:
			return waitStop
		case <-poll.C:
			if closedByPeer(w.conn) {
				return waitGone
			}
		}
	}
}

// closedByPeer looks at a connection without reading from it. A connection
// that can't be looked at counts as open.
func closedByPeer(c net.Conn) bool {
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
