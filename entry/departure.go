package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// drainPlan is the plan of an entry that leaves.
type drainPlan struct {
	closeConnsAfter time.Time // from then on an answer closes its connection
	batchCutoff     time.Time // by then every batch has been answered, zero for no bound
}

// answerMargin is left between the end of the last batch and that of the drain.
const answerMargin = 100 * time.Millisecond

func newDrainPlan(ctx context.Context, closeConnsDelay time.Duration) *drainPlan {
	d := &drainPlan{closeConnsAfter: time.Now().Add(closeConnsDelay)}
	if end, ok := ctx.Deadline(); ok {
		d.batchCutoff = end.Add(-answerMargin)
	}
	return d
}

// capDeadline returns the deadline of a batch that is taken in: one that would end after
// the process has to fail before.
func (d *drainPlan) capDeadline(arrived time.Time, deadline time.Duration) time.Duration {
	if d == nil || d.batchCutoff.IsZero() {
		return deadline
	}
	return min(deadline, d.batchCutoff.Sub(arrived))
}

// closeConnsHandler has the answers of an entry that leaves, or that no agent can be reached
// from, close their connections: the callers' next ones go to other entries.
func (e *Entry) closeConnsHandler(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if e.shouldCloseConns() {
			ctx.SetConnectionClose()
		}
	}
}

func (e *Entry) shouldCloseConns() bool {
	if d := e.activeDrain.Load(); d != nil && time.Now().After(d.closeConnsAfter) {
		return true
	}
	inc := e.incarnation.Load()
	return inc != nil && inc.agentsUnreachable.Load()
}
