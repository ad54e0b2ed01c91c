package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// longPollWait is how long the worker may delay its status while no run ends. It is
	// short enough that three consecutive renewals may be lost within a lease of 1 s.
	longPollWait = 200 * time.Millisecond
	// renewalOverlapDelay is the delay after which another renewal is sent while the last
	// one is still unanswered. It bounds how long a lost answer delays the ends of runs.
	renewalOverlapDelay = 30 * time.Millisecond
	// maxRenewalsInFlight is the maximum number of unanswered renewals.
	maxRenewalsInFlight = 4
	// startValidity is the age from which the worker refuses a start. A worker that has
	// left a start unanswered may still execute it, 2 s later or more; it must refuse it
	// by then.
	startValidity = 800 * time.Millisecond
	// maxSendDelay is the age from which a start or a renewal is not sent any more. Sending
	// takes less than a millisecond unless the process stands still.
	maxSendDelay = 100 * time.Millisecond
	// minRenewRetryDelay is the delay after an unanswered renewal. It doubles up to
	// maxRenewRetryDelay until one is answered, to save requests to a worker that is down.
	minRenewRetryDelay = 20 * time.Millisecond
	maxRenewRetryDelay = 320 * time.Millisecond
	// maxClockDrift is the share by which a worker's clock may be slow.
	maxClockDrift = 0.02
	// clockReadInterval is the time between two readings of the clock of an idle worker.
	clockReadInterval = 5 * time.Second
	// stopRetryDelay is the delay before an unanswered stop is sent again.
	stopRetryDelay = 20 * time.Millisecond
)

// phase is what the core knows of the start of a run.
type phase uint8

const (
	queued      phase = iota // the start request has not been sent
	starting                 // the start request is in flight
	running                  // the worker has confirmed the start
	unconfirmed              // the start was not answered; a later status shows whether it runs
)

// run is the state of a run whose end is not known yet.
type run struct {
	key         ids.TaskKey
	id          RunID
	phase       phase
	requestedAt time.Duration // when the start was requested
	sendBy      time.Duration // time from which the start must not be sent
	startBy     time.Duration // time after which the start must not be carried out
	endBy       time.Duration // time by which the owner's lease wants the run over, zero for never
	fence       Fence         // token of the start
	spec        []byte

	stopRequested   bool          // the run is to be stopped
	stopRequestedAt time.Duration // when nobody wanted the run any more, zero before
	stopInFlight    bool          // a stop request is in flight
	nextStopAt      time.Duration
	stopAcked       bool // the worker has acknowledged a stop request
	stopAckedAt     time.Duration
	acceptedAt      time.Duration // when the start was confirmed
	unconfirmedAt   time.Duration // when the start request failed or timed out

	repeats []repeatedStart // refused when the run has ended
}

// repeatedStart is the start of a task that has a run already.
type repeatedStart struct {
	key ids.TaskKey
	id  RunID
}

// Core tracks the runs on one instance of a worker, that is, from a start of the worker
// process until its end. Its requests never reach another start, so a restart of the worker
// ends all of its runs. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	fence      Fence // token of the next request
	runs       map[RunID]*run
	runsByKey  map[ids.TaskKey]*run
	queuedRuns []*run // to be started with the next tick, in order of request

	clock       time.Duration // worker's clock at clockReadAt
	clockReadAt time.Duration

	// leaseEnd is the latest end of a lease that this core has requested, by its own clock.
	// The worker's clock may be slow, but no slower than allowed for in the requests.
	leaseEnd time.Duration

	cursor           uint64        // number of the last recorded end
	ackedCursor      uint64        // number of the last end that was acknowledged to the worker
	renewalsInFlight int           // sent and not answered yet
	nextRenewalAt    time.Duration // earliest time of the next renewal
	renewRetryDelay  time.Duration // delay after the next unanswered renewal
	lastRenewalAt    time.Duration // when the last renewal was sent
	// statusNeeded makes the next renewal a short poll that doesn't wait for
	// renewalOverlapDelay. It still waits for nextRenewalAt and maxRenewalsInFlight.
	statusNeeded bool

	orphans        map[RunID]time.Duration // runs that this core has not started, with the earliest time of their next stop
	orphansCleared bool                    // a status without orphans has been received
	ownersLease    time.Duration           // earliest end of a lease of the owners of the runs, zero for none
	replaced       bool                    // the worker has restarted or has another owner
	restarted      bool                    // another instance of the worker has answered
	pendingEnded   []Ended
}

// New returns the core of a worker whose runs are unknown.
func New(now time.Duration, cfg Config) *Core {
	if cfg.StopWindow == 0 {
		cfg.StopWindow = lease.Default().Worker
	}
	return &Core{
		cfg: cfg, fence: cfg.Fence, clock: cfg.Clock, clockReadAt: now, renewRetryDelay: minRenewRetryDelay,
		runs: map[RunID]*run{}, runsByKey: map[ids.TaskKey]*run{}, orphans: map[RunID]time.Duration{},
	}
}

// OrphansCleared reports whether all runs of earlier owners have ended at the worker.
func (c *Core) OrphansCleared() bool { return c.orphansCleared }

// Restarted reports whether another instance of the worker has answered.
func (c *Core) Restarted() bool { return c.restarted }

// Replaced reports whether the worker has restarted or obeys an owner with a higher
// fencing token. The core refuses new runs then.
func (c *Core) Replaced() bool { return c.replaced }

// Idle reports whether there are no runs and every recorded end has been acknowledged.
func (c *Core) Idle() bool { return len(c.runs) == 0 && c.ackedCursor == c.cursor }

// Run requests a run of a task whose owner's lease ends at leaseEnd, zero for never. If the
// task has a run already, that run is stopped, and the new one is refused once it has ended.
func (c *Core) Run(now time.Duration, s wire.Start, leaseEnd time.Duration) {
	id := RunID{Task: s.Name, Number: s.Try}
	if c.replaced {
		c.queueAnswer(s.Key, id, EvidenceRefused, verdict.NotRun, verdict.UpstreamRefused, 0)
		return
	}
	if other := c.findRunOf(s.Name); other != nil {
		// The caller has repeated its batch before the previous run has ended. A refusal
		// now would let the entry start the task elsewhere beside it.
		c.markForStop(now, other)
		other.repeats = append(other.repeats, repeatedStart{s.Key, id})
		return
	}
	r := &run{key: s.Key, id: id, requestedAt: now, startBy: c.withinOwnersLease(now + startValidity), spec: s.Body}
	r.sendBy = min(r.startBy, now+maxSendDelay)
	if leaseEnd > 0 {
		r.endBy = leaseEnd + c.cfg.StopWindow
	}
	c.runs[id], c.runsByKey[s.Key] = r, r
	c.queuedRuns = append(c.queuedRuns, r)
}

// findRunOf returns a run of the task, whatever its number, or nil.
func (c *Core) findRunOf(task string) *run {
	for _, r := range c.runs {
		if r.id.Task == task {
			return r
		}
	}
	return nil
}

// Abort requests a stop of a task's run. The task is answered once the run has ended.
func (c *Core) Abort(now time.Duration, key ids.TaskKey) {
	if r := c.runsByKey[key]; r != nil {
		c.markForStop(now, r)
	}
}

// markForStop makes the next ticks stop r, until the worker acknowledges it.
func (c *Core) markForStop(now time.Duration, r *run) {
	r.stopRequested = true
	if r.stopRequestedAt == 0 {
		r.stopRequestedAt = now
	}
}

// Started records the reply to a start request. unanswered means that there was none
// because the request failed or timed out.
func (c *Core) Started(now time.Duration, id RunID, reply StartReply, unanswered bool) {
	c.updateClock(now, reply.Clock)
	if unanswered {
		c.rejectUnanswered()
	}
	r := c.runs[id]
	if r == nil || r.phase != starting {
		return
	}
	switch {
	case unanswered:
		r.phase = unconfirmed
		r.unconfirmedAt = now
		c.statusNeeded = true
	case reply.Refused == "":
		r.phase = running
		r.acceptedAt = now
	case reply.Refused == RefusedFenced && r.fence < c.fence:
		r.phase = queued // a later request of this owner has overtaken the start
		c.queuedRuns = append(c.queuedRuns, r)
	default:
		c.startRefused(now, r, reply.Refused)
	}
}

// startRefused answers a run that the worker has refused to start.
func (c *Core) startRefused(now time.Duration, r *run, refusal Refusal) {
	reason := verdict.UpstreamRefused
	switch refusal {
	case RefusedSuperseded:
		reason = verdict.Superseded
	case RefusedFull:
		reason = verdict.NoCredit
	}
	c.deleteRun(r)
	c.answerNotRun(r, EvidenceRefused, reason)
	switch refusal {
	case RefusedFenced:
		c.answerAllRuns(now, EvidenceFenced, verdict.MayHaveRun, verdict.Fenced)
	case RefusedReplaced:
		c.endWithWorker(now)
	}
}

// Stopped records the reply to a stop request, or that there was none.
func (c *Core) Stopped(now time.Duration, id RunID, reply StopReply, unanswered bool) {
	if unanswered {
		c.rejectUnanswered()
	}
	if reply.Refused == RefusedReplaced {
		c.endWithWorker(now)
		return
	}
	r := c.runs[id]
	if r == nil {
		return
	}
	r.stopInFlight = false
	if unanswered || reply.Refused != "" {
		r.nextStopAt = now + stopRetryDelay
		return
	}
	r.stopAcked, r.stopAckedAt = true, now
	c.statusNeeded = true
}

// Renewed records the reply to a renewal, or that there was none.
func (c *Core) Renewed(now time.Duration, req RenewRequest, st Status, unanswered bool) {
	c.renewalsInFlight--
	if unanswered {
		c.nextRenewalAt = now + c.renewRetryDelay
		c.renewRetryDelay = min(2*c.renewRetryDelay, maxRenewRetryDelay)
		c.rejectUnanswered()
		return
	}
	c.renewRetryDelay = minRenewRetryDelay
	switch {
	case c.replaced:
		return
	case st.Refused == RefusedReplaced:
		c.endWithWorker(now)
		return
	case st.Refused != "":
		if req.Fence == c.fence { // otherwise a later request of this owner has overtaken it
			c.answerAllRuns(now, EvidenceFenced, verdict.MayHaveRun, verdict.Fenced)
		}
		return
	}
	c.updateClock(now, st.Clock)
	c.ackedCursor = max(c.ackedCursor, req.Cursor)
	for _, e := range st.Ended {
		c.recordEnd(now, e)
	}
	c.reconcile(now, req.SentAt, st)
}

func (c *Core) sortedRuns() []*run {
	list := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if d := cmp.Compare(a.id.Task, b.id.Task); d != 0 {
			return d
		}
		return cmp.Compare(a.id.Number, b.id.Number)
	})
	return list
}

// deleteRun removes a run that has ended, and refuses the starts that waited for its end. Only
// the entry of the last one may start the task again.
func (c *Core) deleteRun(r *run) {
	for i, s := range r.repeats {
		v := verdict.MayHaveRun
		if i == len(r.repeats)-1 {
			v = verdict.NotRun
		}
		c.queueAnswer(s.key, s.id, EvidenceRefused, v, verdict.Superseded, 0)
	}
	delete(c.runs, r.id)
	if c.runsByKey[r.key] == r {
		delete(c.runsByKey, r.key)
	}
}

func (c *Core) queueAnswer(key ids.TaskKey, id RunID, evidence Evidence, v verdict.Verdict, reason verdict.Reason, ranUS int64) {
	a := wire.Answer{Key: key, Verdict: v, Reason: reason, RunUS: ranUS}
	switch reason {
	case verdict.Complete:
		a.Status = httpStatusDone
	case verdict.UpstreamFailed:
		a.Status = httpStatusFailed
	}
	c.pendingEnded = append(c.pendingEnded, Ended{a, id, evidence})
}

// HTTP statuses that represent the outcomes of sized tasks.
const (
	httpStatusDone   = 200
	httpStatusFailed = 500
)
