package executor

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// endedRetention is how long the rows of a job are kept after the job has ended.
	// A former owner of the job has been expired by then, so its late starts are
	// fenced without the rows.
	endedRetention = 10 * time.Minute
	// maxRetention exceeds the longest deadline of a job by endedRetention.
	maxRetention = 70 * time.Minute
	// sweepInterval is the minimum time between two scans for expired rows.
	sweepInterval = 10 * time.Second
	// initialResendDelay is the delay before the first retransmission of an
	// unacknowledged answer. Entries acknowledge within 5 s.
	initialResendDelay = 8 * time.Second
	// maxResendDelay is the upper bound of the exponential backoff.
	maxResendDelay = 32 * time.Second
)

// Finished records the outcome of a task at the upstream. Only the first outcome
// of a running task counts.
func (c *Core) Finished(now time.Duration, a wire.Answer) {
	r := c.rows[a.Key]
	if c.releaseAbandonedCall(r) {
		return
	}
	if r == nil || r.state != wire.TaskRunning {
		return
	}
	c.running--
	c.runningSize = c.runningSize.Sub(r.size)
	delete(c.runningRows, r.key)
	r.owner.removeHeld(r)
	if a.Verdict == verdict.NotRun {
		reason := a.Reason
		if reason == "" {
			reason = verdict.UpstreamRefused
		}
		c.refuse(r, reason)
		return
	}
	a.Try = r.try
	if a.QueueUS == 0 {
		a.QueueUS = (r.startedAt - r.createdAt).Microseconds()
	}
	if a.RunUS == 0 {
		a.RunUS = (now - r.startedAt).Microseconds()
	}
	c.updateDeclaredRatio(r, a)
	c.recordOutcome(now, r, a)
	r.state = wire.TaskEnded
	r.answer = &a
	c.answerBytes += int64(len(a.Body))
	c.updateMeanRunTime(time.Duration(a.RunUS) * time.Microsecond)
	r.owner.pendingAnswers = append(r.owner.pendingAnswers, r)
}

// updateMeanRunTime adds a run time to the exponential moving average.
func (c *Core) updateMeanRunTime(d time.Duration) {
	if c.meanRunTime == 0 {
		c.meanRunTime = d
		return
	}
	c.meanRunTime += (d - c.meanRunTime) / 16
}

// recordAck marks an answer as acknowledged by its owner.
func (c *Core) recordAck(now time.Duration, s *session, a wire.Ack) {
	r := c.rows[a.Key]
	if r == nil || r.owner != s || r.answer == nil || r.answer.Try != a.Try || r.acked {
		return
	}
	r.acked, r.ackedAt = true, now
	r.removePendingAnswer()
	if j := c.jobs[a.Key.Job]; j != nil && j.ended {
		c.dropAnswerBody(r)
	} else if len(r.answer.Body) > 0 {
		c.acked = append(c.acked, r)
	}
}

// removePendingAnswer removes the answer of r from the owner's lists of pending and
// unacknowledged answers.
func (r *row) removePendingAnswer() {
	is := func(q *row) bool { return q == r }
	r.owner.unackedAnswers = slices.DeleteFunc(r.owner.unackedAnswers, is)
	r.owner.pendingAnswers = slices.DeleteFunc(r.owner.pendingAnswers, is)
}

// markJobEnded starts the retention period of a job's rows.
func (c *Core) markJobEnded(now time.Duration, s *session, id ids.Job) {
	j := c.jobs[id]
	if j == nil || j.ended || j.owner != s.entry && j.owner != 0 {
		return
	}
	j.ended, j.endedAt = true, now
	for _, r := range j.rows {
		if r.state == wire.TaskEnded {
			c.dropAnswerBody(r)
		}
	}
}

// dropAnswerBody replaces an acknowledged answer by one without body and status, with
// reason AnswerExpired. The row is kept to detect duplicates.
func (c *Core) dropAnswerBody(r *row) {
	if r.answer == nil || !r.acked {
		return
	}
	c.answerBytes -= int64(len(r.answer.Body))
	r.answer = &wire.Answer{Key: r.key, Try: r.try, Verdict: verdict.Ran, Reason: verdict.AnswerExpired}
}

// evictAnswers drops the bodies of the answers that were acknowledged first until
// the memory limit is met.
func (c *Core) evictAnswers() {
	for c.cfg.AnswerBytes > 0 && c.answerBytes > c.cfg.AnswerBytes && len(c.acked) > 0 {
		c.dropAnswerBody(c.acked[0])
		c.acked = c.acked[1:]
	}
}

// resendUnacked queues answers for retransmission whose acknowledgement is overdue,
// and returns when the next retransmission is due.
func (c *Core) resendUnacked(now time.Duration) time.Duration {
	var next time.Duration
	for _, s := range c.sortedSessions {
		if !s.connected {
			continue
		}
		for i := 0; i < len(s.unackedAnswers); {
			r := s.unackedAnswers[i]
			at := r.answerSentAt + min(initialResendDelay<<min(r.resends, 10), maxResendDelay)
			if at > now {
				next = earliest(next, at)
				i++
				continue
			}
			r.resends++
			s.unackedAnswers = slices.Delete(s.unackedAnswers, i, i+1)
			s.pendingAnswers = append(s.pendingAnswers, r)
		}
	}
	return next
}

// deleteExpiredRows deletes rows whose retention has passed. It does nothing while the
// view is not current: a former owner that the agent doesn't yet know to be expired
// could start a task a second time.
func (c *Core) deleteExpiredRows(now time.Duration) {
	if !c.viewCurrent || now-c.lastSweepAt < sweepInterval {
		return
	}
	c.lastSweepAt = now
	for id, j := range c.jobs {
		if !j.expired(now) {
			continue
		}
		for _, r := range j.rows {
			c.deleteRow(r)
		}
		delete(c.jobs, id)
	}
	for key, r := range c.rows {
		if key.IsRequest() && r.expired(now) {
			c.deleteRow(r)
		}
	}
	c.acked = slices.DeleteFunc(c.acked, func(r *row) bool { return c.rows[r.key] != r })
}

// expired reports whether a job's rows may be deleted. They are kept while any task
// of the job is queued or running.
func (j *job) expired(now time.Duration) bool {
	if !(j.ended && now-j.endedAt >= endedRetention) && now-j.createdAt < maxRetention {
		return false
	}
	for _, r := range j.rows {
		if r.state == wire.TaskRunning || r.state == wire.TaskQueued {
			return false
		}
	}
	return true
}

// expired reports whether the row of a single request or of a batch task may be
// deleted.
func (r *row) expired(now time.Duration) bool {
	if r.state == wire.TaskRunning || r.state == wire.TaskQueued {
		return false
	}
	if !r.size.IsZero() && r.acked {
		return now-r.ackedAt >= sizedRetention
	}
	return r.acked && now-r.ackedAt >= endedRetention || now-r.createdAt >= maxRetention
}

// deleteRow also removes the row's answer from all lists and from the memory count.
func (c *Core) deleteRow(r *row) {
	r.removePendingAnswer()
	if r.answer != nil {
		c.answerBytes -= int64(len(r.answer.Body))
	}
	delete(c.rows, r.key)
}
