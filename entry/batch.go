package entry

import (
	"net"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/netconn"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// batchTeam is the team of all batches. Batches are ordered by the time at which
// their answers are due, not by team shares.
const batchTeam ids.Team = "batches"

// Batch is a job without a record in the control group, whose caller waits for the
// answer.
type Batch struct {
	ID       string // given by the caller, who may delete the batch by it
	Service  ids.Service
	Work     dispatch.Work
	Name     func(step, index int) string // returns the name of a task at its worker
	Attempts int                          // failures of one task after which the batch fails
	Queue    string
	Priority int       // rank among the queues of the service, 0 first
	Arrived  time.Time // arrival at this entry
	// Objective defines when the answer is due.
	Objective dispatch.Objective
	// Deadline is the time from the arrival after which the caller no longer waits.
	Deadline time.Duration
	// StartBy is the time from the arrival within which a task has to start, zero for no
	// bound. A batch that only waits until then is refused.
	StartBy time.Duration
}

// Target returns the time from the arrival by which the answer is due if the tasks
// run as long as declared.
func (b Batch) Target() time.Duration {
	return b.Objective.Fixed + time.Duration(b.Objective.Stretch*float64(b.Work.LongestChain()))
}

// id returns the name of the batch among those of all callers.
func (b Batch) id() wire.BatchID { return wire.BatchID{Queue: b.Queue, ID: b.ID} }

// RunBatch runs a batch and returns when all its tasks are done. It stops when the
// caller closes conn; a nil conn is not watched. The verdict of an error tells
// whether a task may have run.
func (e *Entry) RunBatch(b Batch, conn net.Conn) *verdict.Error {
	begin := time.Now()
	err := e.runBatch(b, conn)
	outcome := batchOutcome{queue: b.Queue, verdict: verdict.Ran, reason: verdict.Complete}
	if err != nil {
		outcome.verdict, outcome.reason = err.Verdict, err.Reason
	}
	e.metrics.requestEnded(outcome.verdict, time.Since(begin))
	e.metrics.batches.inc(outcome)
	return err
}

func (e *Entry) runBatch(b Batch, conn net.Conn) *verdict.Error {
	inc := e.incarnation.Load()
	switch {
	case e.refusingWork.Load():
		return verdict.Refuse(verdict.Draining, "the entry is leaving").After(defaultRetryAfter)
	case inc.hasEnded():
		return verdict.Refuse(verdict.Stale, "the entry is registering again").After(defaultRetryAfter)
	}
	if netconn.ClosedByPeer(conn) {
		// The entry may have stood still with the request unread. The caller has sent it
		// to another entry since.
		return verdict.Refuse(verdict.Canceled, "nobody waits for the batch any more")
	}
	b.Deadline = e.activeDrainPlan.Load().capDeadline(b.Arrived, b.Deadline)
	r, err := inc.startBatch(b, conn)
	if err != nil {
		return err
	}
	// The core ends the batch at its deadline. This longer wait only applies if the
	// core fails to do so.
	w := callerWait{deadline: b.Arrived.Add(b.Deadline + e.opts.SuspectAfter), conn: conn, pollInterval: e.leases().Notice}
	switch w.wait(r.done, e.ctx.Done()) {
	case waitDone:
	case waitTimedOut:
		inc.abortRequest(r)
		return verdict.Unknown(verdict.DeadlinePassed, "no answer before the deadline")
	default:
		inc.abortRequest(r)
		return verdict.Unknown(verdict.Canceled, "nobody waits for the batch any more")
	}
	if r.lostErr != nil {
		return r.lostErr
	}
	return r.outcome.Err
}

// leases returns the leases of the tasks of batches.
func (e *Entry) leases() lease.Times {
	if e.opts.Leases == (lease.Times{}) {
		return lease.Default()
	}
	return e.opts.Leases
}

// startBatch passes a batch to the core. conn is the connection of its caller, or nil.
func (inc *incarnation) startBatch(b Batch, conn net.Conn) (*request, *verdict.Error) {
	r := &request{batch: b.id(), conn: conn, done: make(chan struct{})}
	var refused *verdict.Error
	ok := inc.loop.Call(func(now time.Duration) { refused = inc.addBatch(now, b, r) })
	if !ok {
		return nil, verdict.Refuse(verdict.Stale, "the entry is registering again").After(defaultRetryAfter)
	}
	return r, refused
}

// addBatch passes a batch to the core on the event loop. r gets its key and its outcome.
func (inc *incarnation) addBatch(now time.Duration, b Batch, r *request) *verdict.Error {
	if inc.entry.deleted.contains(b.id()) {
		return verdict.Refuse(verdict.Deleted, "the caller has deleted the batch")
	}
	arrived := now - time.Since(b.Arrived)
	startBy := time.Duration(0)
	if b.StartBy > 0 {
		startBy = arrived + b.StartBy
	}
	r.key = inc.core.NextKey()
	refused := inc.core.Batch(now, dispatch.Batch{
		StartBy: startBy,
		Key:     r.key, Team: batchTeam, Service: b.Service, Work: b.Work, Name: b.Name, Attempts: b.Attempts,
		Queue: b.Queue, Priority: b.Priority, Arrived: arrived, Objective: b.Objective, Deadline: arrived + b.Deadline,
	})
	if refused == nil {
		inc.requests[r.key] = r
	}
	return refused
}

// cancelForGoneCallers cancels the batches whose callers have disconnected. After a
// standstill the next tick may come before the polls of the connections. It would start and
// prolong tasks that these callers are about to repeat.
func (inc *incarnation) cancelForGoneCallers(now time.Duration) {
	for key, r := range inc.requests {
		if r.conn != nil && netconn.ClosedByPeer(r.conn) {
			inc.core.CancelRequest(now, key)
		}
	}
}
