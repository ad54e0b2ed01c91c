package executor

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// endedRetention is how long rows outlive the end of their job. A former
	// owner is known to be expired by then.
	endedRetention = 10 * time.Minute
	// maxRetention exceeds the longest deadline of a job by endedRetention.
	maxRetention = 70 * time.Minute
	// sweepInterval is the time between two passes over the rows.
	sweepInterval = 10 * time.Second
	// resendFirst is the wait for an acknowledgement before the first
	// retransmission. Entries acknowledge within 5 s.
	resendFirst = 8 * time.Second
	// resendMax bounds the doubling of the wait.
	resendMax = 32 * time.Second
)

// Finished takes in the end of a task from the upstream. A second end of the
// same task is ignored.
func (c *Core) Finished(now time.Duration, a wire.Answer) {
	r := c.rows[a.Key]
	if c.endLinger(r) {
		return
	}
	if r == nil || r.state != wire.TaskRunning {
		return
	}
	c.running--
	c.used = c.used.Sub(r.size)
	delete(c.active, r.key)
	r.owner.hold(r.team, -1)
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
		a.QueueUS = (r.began - r.made).Microseconds()
	}
	if a.RunUS == 0 {
		a.RunUS = (now - r.began).Microseconds()
	}
	c.learnPace(r, a)
	c.judgeEnd(now, r, a)
	r.state = wire.TaskEnded
	r.answer = &a
	c.answerBytes += int64(len(a.Body))
	c.learnRun(time.Duration(a.RunUS) * time.Microsecond)
	r.owner.answers = append(r.owner.answers, r)
}

// learnRun updates the moving average of run times.
func (c *Core) learnRun(d time.Duration) {
	if c.meanRun == 0 {
		c.meanRun = d
		return
	}
	c.meanRun += (d - c.meanRun) / 16
}

// ack records that the owner has taken over an answer.
func (c *Core) ack(now time.Duration, s *session, a wire.Ack) {
	r := c.rows[a.Key]
	if r == nil || r.owner != s || r.answer == nil || r.answer.Try != a.Try || r.acked {
		return
	}
	r.acked, r.ackedAt = true, now
	r.withdraw()
	if j := c.jobs[a.Key.Job]; j != nil && j.ended {
		c.dropBody(r)
	} else if len(r.answer.Body) > 0 {
		c.acked = append(c.acked, r)
	}
}

// withdraw takes the answer of r off the lists of what is to be sent or
// acknowledged.
func (r *row) withdraw() {
	is := func(q *row) bool { return q == r }
	r.owner.unacked = slices.DeleteFunc(r.owner.unacked, is)
	r.owner.answers = slices.DeleteFunc(r.owner.answers, is)
}

// endJob starts the retention of a job's rows.
func (c *Core) endJob(now time.Duration, s *session, id ids.Job) {
	j := c.jobs[id]
	if j == nil || j.ended || j.owner != s.entry && j.owner != 0 {
		return
	}
	j.ended, j.endedAt = true, now
	for _, r := range j.rows {
		if r.state == wire.TaskEnded {
			c.dropBody(r)
		}
	}
}

// dropBody frees the answer of a row. The row stays.
func (c *Core) dropBody(r *row) {
	if r.answer == nil || !r.acked {
		return
	}
	c.answerBytes -= int64(len(r.answer.Body))
	r.answer = &wire.Answer{Key: r.key, Try: r.try, Verdict: verdict.Ran, Reason: verdict.AnswerExpired}
}

// limitAnswers drops the oldest acknowledged answers above the memory limit.
func (c *Core) limitAnswers() {
	for c.cfg.AnswerBytes > 0 && c.answerBytes > c.cfg.AnswerBytes && len(c.acked) > 0 {
		c.dropBody(c.acked[0])
		c.acked = c.acked[1:]
	}
}

// resendUnacked queues answers again that have waited too long for their
// acknowledgement, and returns when the next one is due.
func (c *Core) resendUnacked(now time.Duration) time.Duration {
	var next time.Duration
	for _, s := range c.order {
		if !s.connected {
			continue
		}
		for i := 0; i < len(s.unacked); {
			r := s.unacked[i]
			at := r.sentAt + min(resendFirst<<min(r.resends, 10), resendMax)
			if at > now {
				next = earliest(next, at)
				i++
				continue
			}
			r.resends++
			s.unacked = slices.Delete(s.unacked, i, i+1)
			s.answers = append(s.answers, r)
		}
	}
	return next
}

// sweep deletes rows whose retention has passed, while the view is current.
func (c *Core) sweep(now time.Duration) {
	if !c.current || now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	for id, j := range c.jobs {
		if !j.expired(now) {
			continue
		}
		for _, r := range j.rows {
			c.forget(r)
		}
		delete(c.jobs, id)
	}
	for key, r := range c.rows {
		if key.IsRequest() && r.expired(now) {
			c.forget(r)
		}
	}
	c.acked = slices.DeleteFunc(c.acked, func(r *row) bool { return c.rows[r.key] != r })
}

// expired reports whether a job's rows may be deleted. A running task keeps them.
func (j *job) expired(now time.Duration) bool {
	if !(j.ended && now-j.endedAt >= endedRetention) && now-j.made < maxRetention {
		return false
	}
	for _, r := range j.rows {
		if r.state == wire.TaskRunning || r.state == wire.TaskQueued {
			return false
		}
	}
	return true
}

// expired reports whether the row of a single request may be deleted.
func (r *row) expired(now time.Duration) bool {
	if r.state == wire.TaskRunning || r.state == wire.TaskQueued {
		return false
	}
	if !r.size.IsZero() && r.acked {
		return now-r.ackedAt >= sizedRetention
	}
	return r.acked && now-r.ackedAt >= endedRetention || now-r.made >= maxRetention
}

// forget deletes a row.
func (c *Core) forget(r *row) {
	r.withdraw()
	if r.answer != nil {
		c.answerBytes -= int64(len(r.answer.Body))
	}
	delete(c.rows, r.key)
}
