package executor

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Tick expires, starts and aborts tasks as of now, and returns the resulting actions.
func (c *Core) Tick(now time.Duration) Output {
	var out Output
	lease := c.expireLeases(now, &out)
	deadline := c.expireQueued(now)
	out.Run = c.startQueuedTasks(now)
	stall := c.checkStall(now)
	out.Abort, c.pendingAborts = c.pendingAborts, nil
	out.OwnersLease = c.ownersLease()
	resend := c.resendUnacked(now)
	c.allocateCredit()
	out.Send = c.buildReports(now)
	c.evictAnswers()
	c.deleteExpiredRows(now)
	out.NextTick = earliest(earliest(earliest(deadline, resend), c.nextCreditReport()), earliest(lease, stall))
	if len(c.rows) > 0 {
		out.NextTick = earliest(out.NextTick, c.lastSweepAt+sweepInterval)
	}
	if out.NextTick != 0 && out.NextTick <= now {
		out.NextTick = now + time.Millisecond
	}
	return out
}

// expireQueued refuses queued tasks whose deadline has passed, and returns the next
// deadline.
func (c *Core) expireQueued(now time.Duration) time.Duration {
	var next time.Duration
	for _, r := range slices.Clone(c.queue) {
		switch {
		case r.deadline <= now:
			c.dequeue(r)
			c.refuse(r, verdict.DeadlinePassed)
		default:
			next = earliest(next, r.deadline)
		}
	}
	return next
}

// startQueuedTasks starts tasks in queue order until all slots are taken.
func (c *Core) startQueuedTasks(now time.Duration) []Run {
	if c.sized() {
		return c.startSizedTasks(now)
	}
	var run []Run
	for len(c.queue) > 0 && c.running < c.concurrencyLimit() {
		r := c.queue[0]
		c.queue = c.queue[1:]
		run = append(run, c.markStarted(now, r))
	}
	return run
}

// markStarted changes a row that was removed from the queue to running. It returns the
// task with the remaining time budget.
func (c *Core) markStarted(now time.Duration, r *row) Run {
	c.queued--
	c.queuedSize = c.queuedSize.Sub(r.size)
	c.running++
	c.runningSize = c.runningSize.Add(r.size)
	c.runningRows[r.key] = r
	c.fitness.nextProbe = max(c.fitness.nextProbe, now+probeInterval)
	r.state = wire.TaskRunning
	r.startedAt = now
	st := r.start
	st.BudgetMS = (r.deadline - now).Milliseconds()
	r.start = wire.Start{}
	return Run{Start: st, LeaseEnd: r.owner.leaseExpiresAt}
}

// buildReports builds a message for each connected entry that needs a report.
func (c *Core) buildReports(now time.Duration) []Envelope {
	var due []*session
	for _, s := range c.sortedSessions {
		if s.connected && c.needsReport(now, s) {
			due = append(due, s)
		}
	}
	var send []Envelope
	for _, s := range due {
		send = append(send, Envelope{To: s.entry, Report: c.buildReport(now, s)})
	}
	return send
}

// buildReport builds the report to one entry and marks its content as sent.
func (c *Core) buildReport(now time.Duration, s *session) wire.Report {
	m := wire.Report{
		Upstream:     c.cfg.Self,
		Answers:      s.detachedAnswers,
		Started:      s.startedKeys,
		Credit:       s.credit,
		Held:         s.heldCount,
		Running:      c.running,
		Queued:       c.queued,
		Others:       c.tasksOfOthers(s),
		Draining:     c.draining(),
		UpstreamDown: c.upstreamDown,
	}
	if c.sized() {
		m.ClockMS = now.Milliseconds()
		m.OtherSize = c.runningSize.Add(c.queuedSize).Sub(s.heldSize)
		m.Pace, m.PaceTasks, m.Unfit = c.declaredRatio.meanLog, c.declaredRatio.samples, c.fitness.unfit
	}
	for _, r := range s.pendingAnswers {
		m.Answers = append(m.Answers, *r.answer)
		r.answerSentAt = now
		s.unackedAnswers = append(s.unackedAnswers, r)
	}
	s.pendingAnswers, s.detachedAnswers, s.startedKeys = nil, nil, nil
	s.reportedDraining, s.reportedDown = c.draining(), c.upstreamDown
	s.reportedCredit, s.reportedOthers = s.credit, c.running+c.queued-s.heldCount
	s.creditStaleSince = 0
	s.lastReportAt, s.reportDue = now, false
	return m
}

// earliest returns the earlier of two times. Zero means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
