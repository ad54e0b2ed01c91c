package entry

import (
	"net"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// batchTeam is the team of all batches: they are ordered by the time at which
// their answers are due, not by shares.
const batchTeam ids.Team = "batches"

// Batch is a job without a record, whose caller waits for the answer.
type Batch struct {
	Service  ids.Service
	Steps    []dispatch.Step
	Name     func(step, index int) string // of a task at its worker
	Attempts int
	Queue    string
	Priority int       // 0 goes first
	Arrived  time.Time // at the entry
	// Objective tells by when the answer should be there.
	Objective dispatch.Objective
	// Deadline is the time from the arrival after which nobody waits for the answer.
	Deadline time.Duration
}

// Target is the time from the arrival by which the answer should be there if the run
// times are as declared.
func (b Batch) Target() time.Duration {
	return b.Objective.Fixed + time.Duration(b.Objective.Stretch*float64(dispatch.LongestChain(b.Steps)))
}

// Tasks is the number of tasks of all steps.
func (b Batch) Tasks() int {
	n := 0
	for _, s := range b.Steps {
		n += s.Tasks
	}
	return n
}

// RunBatch runs a batch and returns when all its tasks are done. conn is the
// caller's connection, nil if it isn't to be watched. The verdict of an error
// tells whether a task may have run.
func (e *Entry) RunBatch(b Batch, conn net.Conn) *verdict.Error {
	begin := time.Now()
	err := e.runBatch(b, conn)
	end := batchEnd{queue: b.Queue, verdict: verdict.Ran, reason: verdict.Complete}
	if err != nil {
		end.verdict, end.reason = err.Verdict, err.Reason
	}
	e.metrics.requestEnded(end.verdict, time.Since(begin))
	e.metrics.batches.inc(end)
	return err
}

func (e *Entry) runBatch(b Batch, conn net.Conn) *verdict.Error {
	l := e.life.Load()
	switch {
	case e.draining.Load():
		return verdict.Refuse(verdict.Draining, "the entry is leaving").After(defaultRetryAfter)
	case l.hasEnded():
		return verdict.Refuse(verdict.Stale, "the entry is registering again").After(defaultRetryAfter)
	}
	b.Deadline = e.leaving.Load().shorten(b.Arrived, b.Deadline)
	r, err := l.startBatch(b)
	if err != nil {
		return err
	}
	// The core ends the batch at its deadline, so this wait only bounds a fault.
	w := watch{until: b.Arrived.Add(b.Deadline + e.opts.SuspectAfter), conn: conn}
	switch w.wait(r.done, e.ctx.Done()) {
	case waitDone:
	case waitLimit:
		l.abort(r)
		return verdict.Unknown(verdict.DeadlinePassed, "no answer before the deadline")
	default:
		l.abort(r)
		return verdict.Unknown(verdict.Canceled, "nobody waits for the batch any more")
	}
	if r.lost != nil {
		return r.lost
	}
	return r.out.Err
}

// startBatch passes a batch to the core.
func (l *life) startBatch(b Batch) (*request, *verdict.Error) {
	span := uint64(max(b.Tasks(), 1))
	r := &request{key: ids.RequestOf(l.self, l.seq.Add(span)-span+1), done: make(chan struct{})}
	var refused *verdict.Error
	ok := l.loop.Call(func(now time.Duration) {
		arrived := now - time.Since(b.Arrived)
		refused = l.core.Batch(now, dispatch.Batch{
			Key: r.key, Team: batchTeam, Service: b.Service, Steps: b.Steps, Name: b.Name, Attempts: b.Attempts,
			Queue: b.Queue, Priority: b.Priority, Arrived: arrived, Objective: b.Objective, Deadline: arrived + b.Deadline,
		})
		if refused == nil {
			l.requests[r.key] = r
		}
	})
	if !ok {
		return nil, verdict.Refuse(verdict.Stale, "the entry is registering again").After(defaultRetryAfter)
	}
	return r, refused
}
