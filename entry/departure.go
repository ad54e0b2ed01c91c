package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// drainPlan holds the times that a draining entry observes.
type drainPlan struct {
	closeConnsAt time.Time // from then on each answer closes its connection
	batchCutoff  time.Time // latest time for the answer of a batch, zero for no bound
}

// answerMargin is the time between batchCutoff and the end of the drain, in which the
// last answers are sent.
const answerMargin = 100 * time.Millisecond

func newDrainPlan(ctx context.Context, closeConnsDelay time.Duration) *drainPlan {
	d := &drainPlan{closeConnsAt: time.Now().Add(closeConnsDelay)}
	if end, ok := ctx.Deadline(); ok {
		d.batchCutoff = end.Add(-answerMargin)
	}
	return d
}

// capDeadline returns the deadline of a batch accepted during a drain: a batch that
// would end after the process has exited must fail before, so that its caller gets an
// answer. A nil plan leaves the deadline as it is.
func (d *drainPlan) capDeadline(arrived time.Time, deadline time.Duration) time.Duration {
	if d == nil || d.batchCutoff.IsZero() {
		return deadline
	}
	return min(deadline, d.batchCutoff.Sub(arrived))
}

// closeConnsHandler wraps h. It closes the connection after an answer if the entry is
// draining and closeConnsAt has passed, or if no agent can be reached, so that
// callers open their next connection to another entry.
func (e *Entry) closeConnsHandler(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if e.shouldCloseConns() {
			ctx.SetConnectionClose()
		}
	}
}

func (e *Entry) shouldCloseConns() bool {
	if d := e.activeDrainPlan.Load(); d != nil && time.Now().After(d.closeConnsAt) {
		return true
	}
	inc := e.incarnation.Load()
	return inc != nil && inc.agentsUnreachable.Load()
}
