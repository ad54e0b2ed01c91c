package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// departure is the plan of an entry that leaves.
type departure struct {
	moves time.Time // from then on an answer closes its connection
	until time.Time // by then every batch has been answered, zero for no bound
}

// answerTime is left between the end of the last batch and that of the drain.
const answerTime = 100 * time.Millisecond

func newDeparture(ctx context.Context, moveAfter time.Duration) *departure {
	d := &departure{moves: time.Now().Add(moveAfter)}
	if end, ok := ctx.Deadline(); ok {
		d.until = end.Add(-answerTime)
	}
	return d
}

// shorten returns the deadline of a batch that is taken in: one that would end after
// the process has to fail before.
func (d *departure) shorten(arrived time.Time, deadline time.Duration) time.Duration {
	if d == nil || d.until.IsZero() {
		return deadline
	}
	return min(deadline, d.until.Sub(arrived))
}

// moveCallers has the answers of an entry that leaves, or that no agent can be reached
// from, close their connections: the callers' next ones go to other entries.
func (e *Entry) moveCallers(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if e.movesCallers() {
			ctx.SetConnectionClose()
		}
	}
}

func (e *Entry) movesCallers() bool {
	if d := e.leaving.Load(); d != nil && time.Now().After(d.moves) {
		return true
	}
	inc := e.incarnation.Load()
	return inc != nil && inc.agentsUnreachable.Load()
}
