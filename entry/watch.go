package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// callerPollInterval is the time between two looks whether a waiting caller has left.
const callerPollInterval = 250 * time.Millisecond

// callerWait bounds the wait of a caller.
type callerWait struct {
	deadline time.Time
	conn     net.Conn // nil when the caller is another entry
}

func (e *Entry) callerWait(ctx *fasthttp.RequestCtx, limit time.Duration) callerWait {
	return callerWait{deadline: time.Now().Add(limit), conn: ctx.Conn()}
}

// remaining returns the rest of the wait, zero when it is over.
func (w callerWait) remaining() time.Duration { return max(time.Until(w.deadline), 0) }

// waitResult is how a wait waitResult.
type waitResult uint8

const (
	waitDone waitResult = iota // the channel was closed
	waitTimedOut
	waitCallerGone // the caller closed its connection
	waitStopped
)

// wait returns when done is closed, at the limit, when the caller has left, or
// when stop is closed.
func (w callerWait) wait(done, stop <-chan struct{}) waitResult {
	select {
	case <-done:
		return waitDone
	default:
	}
	remaining := w.remaining()
	if remaining == 0 {
		return waitTimedOut
	}
	limit := time.NewTimer(remaining)
	defer limit.Stop()
	poll := time.NewTicker(callerPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-done:
			return waitDone
		case <-limit.C:
			return waitTimedOut
		case <-stop:
			return waitStopped
		case <-poll.C:
			if closedByPeer(w.conn) {
				return waitCallerGone
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
