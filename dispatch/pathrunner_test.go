package dispatch_test

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

const (
	// workerCallTimeout is the timeout of a request to a worker, in addition to its wait.
	workerCallTimeout = 60 * time.Millisecond
	maxWorkerDelay    = time.Millisecond
	// maxWriteDelay bounds the time from a decision of the core until its request has left
	// the agent.
	maxWriteDelay = 300 * time.Microsecond
	minLateness   = 2 * time.Second
	maxLateness   = 12 * time.Second
)

// pathRunner drives the worker.Core of one registration of an agent, as worker.Runner does.
type pathRunner struct {
	path   *pathSimulation
	node   *workerNode
	agent  *agentProc
	core   workerCore
	served *workerLife // that the requests are meant for
	pool   connPool
	// highestFence is the highest fencing token of the requests so far.
	highestFence worker.Fence
	closed       bool
	nextTick     time.Duration
	ownersLease  time.Duration // of the entries with running tasks
}

// run implements taskRunner.
func (r *pathRunner) run(s wire.Start, leaseEnd time.Duration) {
	requestedAt, ownersLease := r.path.now, r.ownersLease
	r.path.after(maxWriteDelay, func() {
		r.receive(func() {
			r.core.SetOwnersLease(ownersLease)
			r.core.Run(requestedAt, s, leaseEnd)
		})
	})
	if d := r.node.freezeAtStart; d > 0 {
		r.node.freezeAtStart = 0
		r.path.freezeAgent(r.node, d)
	}
}

// setOwnersLease implements taskRunner.
func (r *pathRunner) setOwnersLease(end time.Duration) { r.ownersLease = end }

// abort implements taskRunner.
func (r *pathRunner) abort(key ids.TaskKey) {
	r.path.after(maxWriteDelay, func() {
		r.receive(func() { r.core.Abort(r.path.now, key) })
	})
}

// receive applies an input of the core and ticks it. It does nothing once r is closed.
func (r *pathRunner) receive(input func()) {
	if r.closed {
		return
	}
	r.agent.receive(workerSource, func() {
		if r.closed {
			return
		}
		input()
		r.tick()
	})
}

func (r *pathRunner) tick() {
	if r.closed || r.agent.frozen {
		return
	}
	p := r.path
	r.core.SetOwnersLease(r.ownersLease)
	out := r.core.Tick(p.now)
	for _, req := range out.Start {
		r.sendStart(req)
	}
	for _, req := range out.Stop {
		r.sendStop(req)
	}
	if out.Renew != nil {
		r.sendRenewal(*out.Renew)
	}
	for _, e := range out.Ended {
		r.answer(e)
	}
	if r.core.OrphansCleared() && !r.agent.alive {
		r.node.agentReady(r.agent)
	}
	if out.NextTick > 0 && (r.nextTick <= p.now || out.NextTick < r.nextTick) {
		r.nextTick = max(out.NextTick, p.now+maxWriteDelay)
		p.at(r.nextTick, r.tick)
	}
}

// answer passes the answer of a task to the agent's core.
func (r *pathRunner) answer(e worker.Ended) {
	p := r.path
	p.trace.add(pathEvent{at: p.now, what: "agent answers", run: e.Run, node: r.node, detail: e.Verdict.String() + " " + string(e.Reason)})
	p.after(0, func() {
		r.receive(func() {
			r.agent.core.Finished(p.now, e.Answer)
			p.tickAgent(r.agent)
		})
	})
}

func (r *pathRunner) raiseFence(f worker.Fence) { r.highestFence = max(r.highestFence, f) }

func (r *pathRunner) sendStart(req worker.StartRequest) {
	r.raiseFence(req.Fence)
	now := func() time.Duration { return r.path.now }
	r.send(&workerCall{
		kind: callStart, run: req.Run, timeout: workerCallTimeout,
		expired: func() bool { return req.Expired(now()) },
		refused: func() {
			r.core.Started(now(), req.Run, worker.StartReply{Refused: worker.RefusedExpired}, false)
		},
		execute: func(w *workerLife, shift time.Duration, c *workerCall) {
			req := req
			req.Until += shift
			reply := w.start(req)
			c.outcome = string(reply.Refused)
			c.reply(func() { r.core.Started(now(), req.Run, reply, false) })
		},
		replaced:   func() { r.core.Started(now(), req.Run, worker.StartReply{Refused: worker.RefusedReplaced}, false) },
		fenced:     func() { r.core.Started(now(), req.Run, worker.StartReply{Refused: worker.RefusedFenced}, false) },
		unanswered: func() { r.core.Started(now(), req.Run, worker.StartReply{}, true) },
	})
}

func (r *pathRunner) sendStop(req worker.StopRequest) {
	r.raiseFence(req.Fence)
	refuse := func(reason worker.Refusal) func() {
		return func() { r.core.Stopped(r.path.now, req.Run, worker.StopReply{Refused: reason}, false) }
	}
	r.send(&workerCall{
		kind: callStop, run: req.Run, timeout: workerCallTimeout,
		execute: func(w *workerLife, _ time.Duration, c *workerCall) {
			if !w.stop(req) {
				c.outcome = "fenced"
				c.reply(c.fenced)
				return
			}
			c.reply(func() { r.core.Stopped(r.path.now, req.Run, worker.StopReply{}, false) })
		},
		replaced:   refuse(worker.RefusedReplaced),
		fenced:     refuse(worker.RefusedFenced),
		unanswered: func() { r.core.Stopped(r.path.now, req.Run, worker.StopReply{}, true) },
	})
}

func (r *pathRunner) sendRenewal(req worker.RenewRequest) {
	r.raiseFence(req.Fence)
	unanswered := func() { r.core.Renewed(r.path.now, req, worker.Status{}, true) }
	refuse := func(reason worker.Refusal) func() {
		return func() { r.core.Renewed(r.path.now, req, worker.Status{Refused: reason}, false) }
	}
	r.send(&workerCall{
		kind: callRenewal, timeout: req.Wait + workerCallTimeout,
		expired: func() bool { return req.Expired(r.path.now) },
		refused: unanswered,
		execute: func(w *workerLife, shift time.Duration, c *workerCall) {
			sent := req
			if sent.Until > 0 {
				sent.Until += shift
			}
			accepted := w.renew(sent, func(st worker.Status) {
				c.reply(func() { r.core.Renewed(r.path.now, req, st, false) })
			})
			if !accepted {
				c.outcome = "fenced"
				c.reply(c.fenced)
			}
		},
		replaced:   refuse(worker.RefusedReplaced),
		fenced:     refuse(worker.RefusedFenced),
		unanswered: unanswered,
	})
}
