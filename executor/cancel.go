package executor

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// recall takes back a task that has not started. A task without a row gets one,
// so that its start can't run when it arrives late.
func (c *Core) recall(now time.Duration, s *session, m wire.Recall) {
	r := c.rows[m.Key]
	switch {
	case r == nil:
		r = c.addRow(now, wire.Start{Key: m.Key})
		r.epoch, r.try, r.owner = m.Epoch, m.Try, s
		c.refuse(r, verdict.Recalled)
	case r.owner != s:
		return
	case r.state == wire.TaskQueued && m.Try >= r.try:
		c.unqueue(r)
		c.refuse(r, verdict.Recalled)
	case r.state == wire.TaskRecalled && m.Try > r.try:
		r.try = m.Try
		r.acked = false
		r.withdraw()
		c.refuse(r, verdict.Recalled)
	case r.state == wire.TaskRunning:
		s.started = append(s.started, r.key)
	case r.answer != nil:
		c.sendAgain(s, r)
	}
}

// cancelJob drops the unstarted tasks of a job, aborts the running ones, and
// refuses later starts up to the given epoch.
func (c *Core) cancelJob(now time.Duration, s *session, o wire.Ownership) {
	j := c.job(o.Job)
	if j.made == 0 {
		j.made = now
	}
	if o.Epoch < j.epoch {
		return
	}
	j.canceled = max(j.canceled, o.Epoch)
	for _, r := range j.rows {
		switch r.state {
		case wire.TaskQueued:
			c.unqueue(r)
			c.refuse(r, verdict.Canceled)
		case wire.TaskRunning:
			c.abortRow(now, r)
		}
	}
}

// abortRequest ends a single request whose answer nobody waits for.
func (c *Core) abortRequest(now time.Duration, s *session, key ids.TaskKey) {
	r := c.rows[key]
	switch {
	case r == nil || r.owner != s:
		return
	case r.state == wire.TaskQueued:
		c.unqueue(r)
		c.refuse(r, verdict.Canceled)
	case r.state == wire.TaskRunning:
		c.abortRow(now, r)
	}
}

// Claim hands a job over to a new owner. Afterwards starts of older epochs are
// refused, queued rows are recalled, and running rows report to the new owner.
func (c *Core) Claim(now time.Duration, m wire.Claim) wire.ClaimReply {
	reply := wire.ClaimReply{Upstream: c.cfg.Self}
	if reason := c.unlisted(m.Entry); reason != "" {
		reply.Err = verdict.Refuse(reason, "entry %d is not live in the view of version %d", m.Entry, c.view)
		return reply
	}
	j := c.job(m.Job)
	if j.made == 0 {
		j.made = now
	}
	if m.Epoch < j.epoch || m.Epoch == j.epoch && j.owner != m.Entry {
		reply.Err = verdict.Refuse(verdict.Fenced, "job %d is at epoch %d", m.Job, j.epoch)
		return reply
	}
	j.epoch, j.owner = m.Epoch, m.Entry
	s := c.session(m.Entry)
	for _, r := range j.rows {
		c.handOver(s, r)
		reply.Rows = append(reply.Rows, wire.TaskRow{Index: int(r.key.Index), State: r.state, Answer: r.answer})
	}
	return reply
}

// handOver makes s the owner of r. The claim's reply reports the row.
func (c *Core) handOver(s *session, r *row) {
	old := r.owner
	r.withdraw()
	if r.state == wire.TaskQueued {
		c.unqueue(r)
		r.state = wire.TaskRecalled
		r.start = wire.Start{}
		r.answer = &wire.Answer{Key: r.key, Try: r.try, Verdict: verdict.NotRun, Reason: verdict.Recalled}
	}
	if r.state == wire.TaskRunning && old != s {
		old.hold(r.team, -1)
		s.hold(r.team, 1)
	}
	r.owner = s
}
