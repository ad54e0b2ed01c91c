package worker

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
)

// recordEnd answers the run that has ended and advances the cursor. Ends up to the
// cursor are ignored.
func (c *Core) recordEnd(now time.Duration, e End) {
	if e.Number <= c.cursor {
		return
	}
	c.cursor = e.Number
	delete(c.orphans, e.Run)
	r := c.runs[e.Run]
	if r == nil || r.phase == queued { // the end of a run of an earlier owner
		return
	}
	c.deleteRun(r)
	ran := (now - r.requestedAt).Microseconds()
	switch e.How {
	case EndDone:
		c.queueAnswer(r.key, r.id, EvidenceListed, verdict.Ran, verdict.Complete, ran)
	case EndFailed:
		c.answerUnfinished(r, EvidenceListed, verdict.UpstreamFailed, ran)
	default:
		c.answerUnfinished(r, EvidenceListed, verdict.Canceled, ran)
	}
}

// answerUnfinished answers a run that has ended without a result. Its entry may start the
// task again, unless the caller has repeated the batch: the repeated one would run beside.
func (c *Core) answerUnfinished(r *run, evidence Evidence, reason verdict.Reason, ranUS int64) {
	if len(r.repeats) > 0 {
		c.queueAnswer(r.key, r.id, evidence, verdict.MayHaveRun, verdict.Superseded, ranUS)
		return
	}
	c.queueAnswer(r.key, r.id, evidence, verdict.Ran, reason, ranUS)
}

// answerNotRun answers a run that has not begun and will not. Its entry may start the task
// elsewhere, unless the caller has repeated the batch; see answerUnfinished.
func (c *Core) answerNotRun(r *run, evidence Evidence, reason verdict.Reason) {
	if len(r.repeats) > 0 {
		c.queueAnswer(r.key, r.id, evidence, verdict.MayHaveRun, verdict.Superseded, 0)
		return
	}
	c.queueAnswer(r.key, r.id, evidence, verdict.NotRun, reason, 0)
}

// reconcile compares the runs listed by the worker with those of the core. Unknown
// runs become orphans to be stopped, listed runs with an unanswered start are confirmed,
// and runs missing from the list are answered as ended if endedBefore allows it. sentAt
// is when the status was requested.
func (c *Core) reconcile(now, sentAt time.Duration, st Status) {
	listed := make(map[RunID]bool, len(st.Running))
	orphans := 0
	for _, id := range st.Running {
		listed[id] = true
		if c.runs[id] == nil {
			orphans++
			if _, known := c.orphans[id]; !known {
				c.orphans[id] = 0
			}
		}
	}
	for id := range c.orphans {
		if !listed[id] {
			delete(c.orphans, id)
		}
	}
	c.orphansCleared = c.orphansCleared || orphans == 0
	for _, r := range c.sortedRuns() {
		switch {
		case listed[r.id] && r.phase == unconfirmed:
			r.phase, r.acceptedAt = running, now
		case !listed[r.id] && r.endedBefore(sentAt):
			c.deleteRun(r)
			c.answerUnfinished(r, EvidenceAbsent, verdict.Canceled, (now - r.requestedAt).Microseconds())
		case !listed[r.id] && r.phase == unconfirmed && sentAt >= r.unconfirmedAt:
			r.stopRequested = true // the stop makes the worker refuse a start that arrives late
		}
	}
}

// endedBefore reports whether r has ended for certain, and will not start later, if a
// status requested at sentAt doesn't list it. This holds if the status was requested
// after the worker had confirmed the start or acknowledged a stop: ends are listed until
// they are acknowledged, and a run that is being stopped is listed as running.
func (r *run) endedBefore(sentAt time.Duration) bool {
	switch {
	case r.stopAcked:
		return sentAt >= r.stopAckedAt
	case r.phase == running:
		return sentAt > r.acceptedAt
	}
	return false
}

// endWithWorker answers every run as over: the worker's process has ended, and with it the
// runs and all requests that were on their way to it.
func (c *Core) endWithWorker(now time.Duration) {
	c.restarted = true
	c.answerAllRuns(now, EvidenceRestarted, verdict.Ran, verdict.Canceled)
}

// answerAllRuns answers every run and marks the worker as replaced: its process has ended,
// or it has another owner and the runs may continue.
func (c *Core) answerAllRuns(now time.Duration, evidence Evidence, v verdict.Verdict, reason verdict.Reason) {
	c.replaced = true
	for _, r := range c.sortedRuns() {
		if r.phase == queued {
			c.deleteRun(r)
			c.answerNotRun(r, evidence, reason)
			continue
		}
		if v != verdict.MayHaveRun {
			c.deleteRun(r)
			c.answerUnfinished(r, evidence, reason, (now - r.requestedAt).Microseconds())
			continue
		}
		repeats := r.repeats
		r.repeats = nil // the run may go on, so a refusal would not be safe either
		c.deleteRun(r)
		c.queueAnswer(r.key, r.id, evidence, v, reason, (now - r.requestedAt).Microseconds())
		for _, s := range repeats {
			c.queueAnswer(s.key, s.id, evidence, v, reason, 0)
		}
	}
	c.ackedCursor = c.cursor
}
