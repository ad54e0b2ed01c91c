package dispatch_test

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/worker"
)

// workerLife simulates a worker from one start of its process to its end. It keeps the
// rules of the platform: leases, fencing, refused starts and listed ends.
type workerLife struct {
	path      *pathSimulation
	node      *workerNode
	id        string
	born      int64
	up        bool
	startedAt time.Duration
	rate      float64 // of its clock

	fence         worker.Fence  // highest seen
	leaseUntil    time.Duration // on its clock
	expiryPending bool
	runs          []*workerRun
	highestClosed map[string]uint32 // highest number of a run that was stopped or has ended, by task
	ends          []worker.End      // not acknowledged
	lastEnd       uint64
	polls         []func() // replies that wait for an end
}

type workerRun struct {
	id       worker.RunID
	life     *workerLife
	begunAt  time.Duration
	endedAt  time.Duration
	stopping bool
}

// firstClock is the clock of a worker at its start.
const firstClock = 20 * time.Millisecond

func newWorkerLife(n *workerNode, id string) *workerLife {
	p := n.path
	return &workerLife{
		path: p, node: n, id: id, born: p.drawBorn(), up: true, startedAt: p.now,
		rate: 1 - p.clockSlack*p.rng.Float64(), highestClosed: map[string]uint32{},
	}
}

// clock returns the worker's clock in whole milliseconds, as its replies do.
func (w *workerLife) clock() time.Duration {
	return firstClock + time.Duration(float64(w.path.now-w.startedAt)*w.rate).Truncate(time.Millisecond)
}

// admit records a fencing token. It returns false for a lower one than seen before.
func (w *workerLife) admit(f worker.Fence) bool {
	if f < w.fence {
		return false
	}
	w.fence = f
	return true
}

// start executes a start request.
func (w *workerLife) start(req worker.StartRequest) worker.StartReply {
	reply := worker.StartReply{Clock: w.clock()}
	switch {
	case !w.admit(req.Fence):
		reply.Refused = worker.RefusedFenced
		return reply
	case w.find(req.Run) != nil:
	case req.Run.Number <= w.highestClosed[req.Run.Task]:
		reply.Refused = worker.RefusedSuperseded
	case req.Until <= w.clock():
		reply.Refused = worker.RefusedExpired
	default:
		w.begin(req.Run)
	}
	w.extendLease(req.Until)
	return reply
}

func (w *workerLife) find(id worker.RunID) *workerRun {
	for _, r := range w.runs {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (w *workerLife) begin(id worker.RunID) {
	r := &workerRun{id: id, life: w, begunAt: w.path.now}
	w.runs = append(w.runs, r)
	w.path.runBegan(r)
	if d, ends := w.path.drawRunTime(w, id.Task); ends {
		w.path.after(d, func() { w.end(r, worker.EndDone) })
	}
}

// stop executes a stop request. It returns false if the request is fenced.
func (w *workerLife) stop(req worker.StopRequest) bool {
	if !w.admit(req.Fence) {
		return false
	}
	w.highestClosed[req.Run.Task] = max(w.highestClosed[req.Run.Task], req.Run.Number)
	if r := w.find(req.Run); r != nil && !r.stopping {
		r.stopping = true
		w.path.after(w.path.drawUpTo(w.path.figures.stopGrace), func() { w.end(r, worker.EndStopped) })
	}
	return true
}

// renew executes a renewal and calls reply when a run has ended or the wait is over. It
// returns false if the request is fenced.
func (w *workerLife) renew(req worker.RenewRequest, reply func(worker.Status)) bool {
	if !w.admit(req.Fence) {
		return false
	}
	w.ends = slices.DeleteFunc(w.ends, func(e worker.End) bool { return e.Number <= req.Cursor })
	w.extendLease(req.Until)
	if req.Wait <= 0 || len(w.ends) > 0 {
		reply(w.status())
		return true
	}
	replied := false
	answer := func() {
		if !replied && w.up {
			replied = true
			reply(w.status())
		}
	}
	w.polls = append(w.polls, answer)
	w.path.after(req.Wait, answer)
	return true
}

func (w *workerLife) status() worker.Status {
	st := worker.Status{Clock: w.clock(), Ended: slices.Clone(w.ends)}
	for _, r := range w.runs {
		st.Running = append(st.Running, r.id)
	}
	return st
}

// extendLease extends the lease of all runs, up to the longest one. It never shortens it.
func (w *workerLife) extendLease(until time.Duration) {
	until = min(until, w.clock()+w.path.figures.longestLease)
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	if !w.expiryPending {
		w.scheduleExpiry()
	}
}

func (w *workerLife) scheduleExpiry() {
	w.expiryPending = true
	w.path.after(time.Duration(float64(w.leaseUntil-w.clock())/w.rate), w.expireLease)
}

// expireLease ends all runs if the lease has expired.
func (w *workerLife) expireLease() {
	w.expiryPending = false
	switch {
	case !w.up:
	case w.clock() < w.leaseUntil:
		w.scheduleExpiry()
	default:
		w.endAll("lapsed")
	}
}

func (w *workerLife) endAll(how worker.EndKind) {
	for _, r := range slices.Clone(w.runs) {
		w.end(r, how)
	}
}

func (w *workerLife) end(r *workerRun, how worker.EndKind) {
	if r.endedAt > 0 {
		return
	}
	r.endedAt = w.path.now
	w.runs = slices.DeleteFunc(w.runs, func(o *workerRun) bool { return o == r })
	w.highestClosed[r.id.Task] = max(w.highestClosed[r.id.Task], r.id.Number)
	w.lastEnd++
	w.ends = append(w.ends, worker.End{Number: w.lastEnd, Run: r.id, How: how})
	w.path.runEnded(r, how)
	polls := w.polls
	w.polls = nil
	for _, reply := range polls {
		reply()
	}
}

// crash ends the worker and everything that runs on it.
func (w *workerLife) crash() {
	w.up = false
	w.endAll("crashed")
}
