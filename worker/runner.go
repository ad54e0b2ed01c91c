package worker

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/eventloop"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/logsink"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// requestTimeout is the timeout of a request, in addition to the long poll of a
	// renewal. The worker is on the same VM and replies within a few milliseconds. A
	// start that succeeds after its timeout is discovered by the next status.
	requestTimeout = 60 * time.Millisecond
	// minTickInterval is the minimum time between two ticks of the core.
	minTickInterval = 200 * time.Microsecond
)

// Runner drives a Core and sends its requests to the worker through a Client.
type Runner struct {
	loop           *eventloop.Loop
	core           *Core
	client         Client
	onEnded        func(wire.Answer)
	orphansCleared chan struct{}
	logBudget      *logsink.Budget
	ownersLease    atomic.Int64 // set by SetOwnersLease, in nanoseconds
	cfg            Config
	replaced       bool // the replacement of the worker's instance or owner has been logged
	ctx            context.Context
	cancel         context.CancelFunc
}

// NewRunner starts a runner, whose times are on the given clock. onEnded is called once with the answer of each task. It
// runs on the event loop and must not block.
func NewRunner(cfg Config, client Client, c *clock.Stopwatch, onEnded func(wire.Answer)) *Runner {
	r := &Runner{client: client, cfg: cfg, onEnded: onEnded, logBudget: logsink.NewBudget(maxLogLinesPerSecond), orphansCleared: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.loop = eventloop.NewWithClock(c, minTickInterval, r.tick)
	r.core = New(r.loop.Now(), cfg)
	r.loop.Start()
	return r
}

// WaitOrphansCleared waits until all runs of earlier owners have ended at the worker.
func (r *Runner) WaitOrphansCleared(ctx context.Context) error {
	select {
	case <-r.orphansCleared:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run requests a run of a task whose owner's lease ends at leaseEnd, zero for never. Its
// start is valid from now, also if the process stands still before it is sent.
func (r *Runner) Run(s wire.Start, leaseEnd time.Duration) {
	requestedAt, ownersLease := r.loop.Now(), time.Duration(r.ownersLease.Load())
	r.loop.Post(func(time.Duration) {
		r.core.SetOwnersLease(ownersLease)
		r.core.Run(requestedAt, s, leaseEnd)
	})
}

// Abort requests a stop of a task's run.
func (r *Runner) Abort(key ids.TaskKey) {
	r.loop.Post(func(now time.Duration) { r.core.Abort(now, key) })
}

// SetOwnersLease sets the earliest end of a lease of the owners of the runs, zero for
// none. It doesn't wake the runner: the next request to the worker takes it into account.
func (r *Runner) SetOwnersLease(end time.Duration) { r.ownersLease.Store(int64(end)) }

// Close stops sending requests. Running tasks are stopped by the worker when their lease
// expires.
func (r *Runner) Close() {
	r.cancel()
	r.loop.Stop()
	r.client.Close()
}

func (r *Runner) tick(now time.Duration) time.Duration {
	r.core.SetOwnersLease(time.Duration(r.ownersLease.Load()))
	out := r.core.Tick(now)
	for _, req := range out.Start {
		go r.start(req)
	}
	for _, req := range out.Stop {
		go r.stop(req)
	}
	if out.Renew != nil {
		go r.renew(*out.Renew)
	}
	for _, e := range out.Ended {
		r.logIncompleteTask(e)
		r.onEnded(e.Answer)
	}
	r.logReplacement()
	r.reportRestart()
	closeOnce(r.orphansCleared, r.core.OrphansCleared())
	return out.NextTick
}

// maxLogLinesPerSecond limits the log lines about incomplete tasks and failed requests.
const maxLogLinesPerSecond = 100

// log writes a line unless the rate limit is exceeded. It reports the number of lines
// omitted before.
func (r *Runner) log(text string, keys ...any) {
	ok, omitted := r.logBudget.Allow(time.Now())
	if !ok {
		return
	}
	if omitted > 0 {
		keys = append(keys, "omitted", omitted)
	}
	klog.InfoS(text, keys...)
}

// logIncompleteTask logs a task that ended with another reason than complete.
func (r *Runner) logIncompleteTask(e Ended) {
	if e.Reason == verdict.Complete {
		return
	}
	r.log("agent: Task not done", "task", e.Run.Task, "run", e.Run.Number, "verdict", e.Verdict,
		"reason", e.Reason, "evidence", e.Evidence, "ranMs", e.RunUS/1000)
}

// logReplacement logs once that the worker has restarted or obeys another owner.
func (r *Runner) logReplacement() {
	if r.replaced || !r.core.Replaced() {
		return
	}
	r.replaced = true
	r.log("worker: Another instance or owner of the worker has answered", "fence", r.cfg.Fence)
}

// reportRestart calls OnRestart once the worker has restarted.
func (r *Runner) reportRestart() {
	if r.cfg.OnRestart == nil || !r.core.Restarted() {
		return
	}
	r.cfg.OnRestart()
	r.cfg.OnRestart = nil
}

// closeOnce closes c if condition is true and c is still open. It must only be called
// on the event loop: two concurrent calls could both close c.
func closeOnce(c chan struct{}, condition bool) {
	if !condition {
		return
	}
	select {
	case <-c:
	default:
		close(c)
	}
}

// start sends a start, unless the process stood still until it was too late for that.
func (r *Runner) start(req StartRequest) {
	if r.ctx.Err() != nil {
		return
	}
	if req.Expired(r.loop.Now()) {
		r.log("worker: Start expired before it was sent", "task", req.Run.Task, "run", req.Run.Number)
		r.loop.Post(func(now time.Duration) { r.core.Started(now, req.Run, StartReply{Refused: RefusedExpired}, false) })
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	reply, err := r.client.Start(ctx, req)
	if err != nil {
		r.log("worker: Start unanswered", "task", req.Run.Task, "run", req.Run.Number, "err", err)
	}
	if reply.Refused != "" {
		r.log("worker: Start refused", "task", req.Run.Task, "run", req.Run.Number, "reason", reply.Refused)
	}
	r.loop.Post(func(now time.Duration) { r.core.Started(now, req.Run, reply, err != nil) })
}

func (r *Runner) stop(req StopRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	reply, err := r.client.Stop(ctx, req)
	if err != nil {
		r.log("worker: Stop unanswered", "task", req.Run.Task, "run", req.Run.Number, "err", err)
	}
	r.loop.Post(func(now time.Duration) { r.core.Stopped(now, req.Run, reply, err != nil) })
}

// renew sends a renewal, unless the process stood still until it was too late for that.
func (r *Runner) renew(req RenewRequest) {
	if req.Expired(r.loop.Now()) {
		r.loop.Post(func(now time.Duration) { r.core.Renewed(now, req, Status{}, true) })
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, req.Wait+requestTimeout)
	defer cancel()
	st, err := r.client.Renew(ctx, req)
	if err != nil && r.ctx.Err() == nil {
		r.log("worker: Renewal unanswered", "cursor", req.Cursor, "err", err)
	}
	r.loop.Post(func(now time.Duration) { r.core.Renewed(now, req, st, err != nil) })
}
