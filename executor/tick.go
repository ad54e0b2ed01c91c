package executor

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Tick runs the systems in order and returns what they decided.
func (c *Core) Tick(now time.Duration) Output {
	var out Output
	lease := c.endLapsed(now)
	deadline := c.expireQueued(now)
	out.Run = c.runQueued(now)
	stall := c.checkStall(now)
	out.Abort, c.abort = c.abort, nil
	resend := c.resendUnacked(now)
	c.shareCredit()
	out.Send = c.report(now)
	c.limitAnswers()
	c.sweep(now)
	out.NextTick = earliest(earliest(earliest(deadline, resend), c.creditDue()), earliest(lease, stall))
	if len(c.rows) > 0 {
		out.NextTick = earliest(out.NextTick, c.lastSweep+sweepInterval)
	}
	if out.NextTick != 0 && out.NextTick <= now {
		out.NextTick = now + time.Millisecond
	}
	return out
}

// expireQueued refuses queued tasks whose budget has passed, and returns when
// the next one passes.
func (c *Core) expireQueued(now time.Duration) time.Duration {
	var next time.Duration
	for _, r := range slices.Clone(c.queue) {
		switch {
		case r.deadline <= now:
			c.unqueue(r)
			c.refuse(r, verdict.DeadlinePassed)
		default:
			next = earliest(next, r.deadline)
		}
	}
	return next
}

// runQueued fills free slots in order of arrival.
func (c *Core) runQueued(now time.Duration) []wire.Start {
	if c.sized() {
		return c.runSized(now)
	}
	var run []wire.Start
	for len(c.queue) > 0 && c.running < c.limit() {
		r := c.queue[0]
		c.queue = c.queue[1:]
		run = append(run, c.begin(now, r))
	}
	return run
}

// begin moves a row that has left the queue to the running ones.
func (c *Core) begin(now time.Duration, r *row) wire.Start {
	c.queued--
	c.queuedSize = c.queuedSize.Sub(r.size)
	c.running++
	c.used = c.used.Add(r.size)
	c.active[r.key] = r
	c.fitness.probeAt = max(c.fitness.probeAt, now+probeInterval)
	r.state = wire.TaskRunning
	r.began = now
	st := r.start
	st.BudgetMS = (r.deadline - now).Milliseconds()
	r.start = wire.Start{}
	return st
}

// report builds one message for each entry that has something to learn.
func (c *Core) report(now time.Duration) []Envelope {
	var due []*session
	for _, s := range c.order {
		if s.connected && c.worthReporting(now, s) {
			due = append(due, s)
		}
	}
	var send []Envelope
	for _, s := range due {
		send = append(send, Envelope{To: s.entry, Report: c.reportTo(now, s)})
	}
	return send
}

// reportTo builds the message to one entry and marks its content as sent.
func (c *Core) reportTo(now time.Duration, s *session) wire.Report {
	m := wire.Report{
		Upstream: c.cfg.Self,
		Answers:  s.extra,
		Started:  s.started,
		Credit:   s.credit,
		Held:     s.holding,
		Running:  c.running,
		Queued:   c.queued,
		Others:   c.othersOf(s),
		Draining: c.draining,
		Down:     c.down,
	}
	if c.sized() {
		m.ClockMS = now.Milliseconds()
		m.Pace, m.PaceTasks, m.Unfit = c.pace.log, c.pace.tasks, c.fitness.unfit
	}
	for _, r := range s.answers {
		m.Answers = append(m.Answers, *r.answer)
		r.sentAt = now
		s.unacked = append(s.unacked, r)
	}
	s.answers, s.extra, s.started = nil, nil, nil
	s.reportedD, s.reportedX = c.draining, c.down
	s.sentCredit, s.sentOthers = s.credit, c.running+c.queued-s.holding
	s.changedAt = 0
	s.reportAt, s.due = now, false
	return m
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
