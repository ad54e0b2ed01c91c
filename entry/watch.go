package entry

import (
	"cmp"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/netconn"
)

// callerPollInterval is the time between two checks whether a waiting caller has
// disconnected.
const callerPollInterval = 250 * time.Millisecond

// callerWait bounds the wait of a caller by a deadline and by its connection.
type callerWait struct {
	deadline time.Time
	conn     net.Conn // nil if the caller is another entry
	// pollInterval is the time between two checks whether the caller has disconnected;
	// zero means callerPollInterval.
	pollInterval time.Duration
}

// callerWait returns the wait of the caller of ctx, bounded by limit.
func (e *Entry) callerWait(ctx *fasthttp.RequestCtx, limit time.Duration) callerWait {
	return callerWait{deadline: time.Now().Add(limit), conn: ctx.Conn()}
}

// remaining returns the time until the deadline, zero when it has passed.
func (w callerWait) remaining() time.Duration { return max(time.Until(w.deadline), 0) }

// waitResult is the reason why a wait ended.
type waitResult uint8

const (
	waitDone waitResult = iota // the channel was closed
	waitTimedOut
	waitCallerGone // the caller has closed its connection
	waitStopped
)

// wait returns when done is closed, the deadline has passed, the caller has
// disconnected, or stop is closed.
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
	poll := time.NewTicker(cmp.Or(w.pollInterval, callerPollInterval))
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
			if netconn.ClosedByPeer(w.conn) {
				return waitCallerGone
			}
		}
	}
}
