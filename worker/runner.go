package worker

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/eventloop"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/logsink"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// orderTimeout bounds one order, beyond the time that the worker may wait. The
	// worker is on the same VM and answers within a few milliseconds. A start that
	// has been given up in error is found by the next status.
	orderTimeout = 60 * time.Millisecond
	// tickMin is the least time between two ticks of the core.
	tickMin = 200 * time.Microsecond
)

// Runner owns a Core and carries its orders out through a Port.
type Runner struct {
	loop    *eventloop.Loop
	core    *Core
	port    Port
	ended   func(wire.Answer)
	adopted chan struct{}
	budget  *logsink.Budget
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewRunner starts a runner. ended receives the answer of each task once; it is
// called from the runner's loop and must not block.
func NewRunner(cfg Config, port Port, ended func(wire.Answer)) *Runner {
	r := &Runner{port: port, ended: ended, budget: logsink.NewBudget(maxLines), adopted: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.loop = eventloop.New(tickMin, r.tick)
	r.core = New(r.loop.Now(), cfg)
	r.loop.Start()
	return r
}

// WaitAdopted returns nil once the worker runs nothing of an earlier owner.
func (r *Runner) WaitAdopted(ctx context.Context) error {
	select {
	case <-r.adopted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run begins a task.
func (r *Runner) Run(s wire.Start) {
	r.loop.Post(func(now time.Duration) { r.core.Run(now, s) })
}

// Abort asks for the end of a task.
func (r *Runner) Abort(key ids.TaskKey) {
	r.loop.Post(func(now time.Duration) { r.core.Abort(now, key) })
}

// Close gives no further orders. What runs ends with its lease.
func (r *Runner) Close() {
	r.cancel()
	r.loop.Stop()
	r.port.Close()
}

func (r *Runner) tick(now time.Duration) time.Duration {
	out := r.core.Tick(now)
	for _, o := range out.Start {
		go r.start(o)
	}
	for _, o := range out.Stop {
		go r.stop(o)
	}
	if out.Renew != nil {
		go r.renew(*out.Renew)
	}
	for _, e := range out.Ended {
		r.logEnd(e)
		r.ended(e.Answer)
	}
	closeOnce(r.adopted, r.core.Adopted())
	return out.NextTick
}

// maxLines bounds the lines each second about tasks that have not ended as done
// and orders without an answer.
const maxLines = 100

// log writes a line if the budget has room.
func (r *Runner) log(text string, keys ...any) {
	ok, omitted := r.budget.Allow(time.Now())
	if !ok {
		return
	}
	if omitted > 0 {
		keys = append(keys, "omitted", omitted)
	}
	klog.InfoS(text, keys...)
}

// logEnd tells of a task that has not ended as done.
func (r *Runner) logEnd(e Ended) {
	if e.Reason == verdict.Complete {
		return
	}
	r.log("agent: Task not done", "task", e.Run.Task, "run", e.Run.Number, "verdict", e.Verdict,
		"reason", e.Reason, "ranMs", e.RunUS/1000)
}

// closeOnce closes c if on is set and c is open. Only the loop calls it.
func closeOnce(c chan struct{}, on bool) {
	if !on {
		return
	}
	select {
	case <-c:
	default:
		close(c)
	}
}

func (r *Runner) start(o StartOrder) {
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	reply, err := r.port.Start(ctx, o)
	if err != nil {
		r.log("worker: Start unanswered", "task", o.Run.Task, "run", o.Run.Number, "err", err)
	}
	if reply.Refused != "" {
		r.log("worker: Start refused", "task", o.Run.Task, "run", o.Run.Number, "reason", reply.Refused)
	}
	r.loop.Post(func(now time.Duration) { r.core.Started(now, o.Run, reply, err != nil) })
}

func (r *Runner) stop(o StopOrder) {
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	err := r.port.Stop(ctx, o)
	if err != nil {
		r.log("worker: Stop unanswered", "task", o.Run.Task, "run", o.Run.Number, "err", err)
	}
	r.loop.Post(func(now time.Duration) { r.core.Stopped(now, o.Run, err != nil) })
}

func (r *Runner) renew(o RenewOrder) {
	ctx, cancel := context.WithTimeout(r.ctx, o.Wait+orderTimeout)
	defer cancel()
	st, err := r.port.Renew(ctx, o)
	if err != nil && r.ctx.Err() == nil {
		r.log("worker: Renewal unanswered", "cursor", o.Cursor, "err", err)
	}
	r.loop.Post(func(now time.Duration) { r.core.Renewed(now, o, st, err != nil) })
}
