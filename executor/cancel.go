package executor

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// recall returns a task that has not started to its entry. The row of a task, also one that
// is unknown or has ended in an earlier try, makes its start be refused if it arrives after
// the recall.
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
		c.dequeue(r)
		c.refuse(r, verdict.Recalled)
	case m.Try > r.try && (r.state == wire.TaskRecalled || r.endedIncomplete()):
		r.try = m.Try
		r.acked = false
		r.removePendingAnswer()
		c.refuse(r, verdict.Recalled)
	case r.state == wire.TaskRunning:
		s.startedKeys = append(s.startedKeys, r.key)
	case r.answer != nil:
		c.requeueAnswer(s, r)
	}
}

// cancelJob refuses the queued tasks of a job and aborts the running ones. Later
// starts up to the given epoch are refused.
func (c *Core) cancelJob(now time.Duration, s *session, o wire.Ownership) {
	j := c.job(o.Job)
	if j.createdAt == 0 {
		j.createdAt = now
	}
	if o.Epoch < j.epoch {
		return
	}
	j.canceledEpoch = max(j.canceledEpoch, o.Epoch)
	for _, r := range j.rows {
		switch r.state {
		case wire.TaskQueued:
			c.dequeue(r)
			c.refuse(r, verdict.Canceled)
		case wire.TaskRunning:
			c.queueAbort(now, r)
		}
	}
}

// receiveAbort refuses a queued single request or batch task, and aborts a running one.
// Its entry no longer needs the answer, or wants to start an overdue batch task
// elsewhere.
func (c *Core) receiveAbort(now time.Duration, s *session, key ids.TaskKey) {
	r := c.rows[key]
	switch {
	case r == nil || r.owner != s:
		return
	case r.state == wire.TaskQueued:
		c.dequeue(r)
		c.refuse(r, verdict.Canceled)
	case r.state == wire.TaskRunning:
		c.queueAbort(now, r)
	}
}

// Claim makes an entry the new owner of a job. From then on, starts of older epochs
// are refused. Queued tasks are recalled, and running tasks report to the new owner.
func (c *Core) Claim(now time.Duration, m wire.Claim) wire.ClaimReply {
	reply := wire.ClaimReply{Upstream: c.cfg.Self}
	if reason := c.verifyEntry(m.Entry); reason != "" {
		reply.Err = verdict.Refuse(reason, "entry %d is not live in the view of version %d", m.Entry, c.viewVersion)
		return reply
	}
	j := c.job(m.Job)
	if j.createdAt == 0 {
		j.createdAt = now
	}
	if m.Epoch < j.epoch || m.Epoch == j.epoch && j.owner != m.Entry {
		reply.Err = verdict.Refuse(verdict.Fenced, "job %d is at epoch %d", m.Job, j.epoch)
		return reply
	}
	j.epoch, j.owner = m.Epoch, m.Entry
	s := c.session(m.Entry)
	for _, r := range j.rows {
		c.transferRow(s, r)
		reply.Rows = append(reply.Rows, wire.TaskRow{Index: int(r.key.Index), State: r.state, Answer: r.answer})
	}
	return reply
}

// transferRow makes s the owner of r. No report is queued, since the reply to the
// claim contains the row.
func (c *Core) transferRow(s *session, r *row) {
	old := r.owner
	r.removePendingAnswer()
	if r.state == wire.TaskQueued {
		c.dequeue(r)
		r.state = wire.TaskRecalled
		r.start = wire.Start{}
		r.answer = &wire.Answer{Key: r.key, Try: r.try, Verdict: verdict.NotRun, Reason: verdict.Recalled}
	}
	if r.state == wire.TaskRunning && old != s {
		old.removeHeld(r)
		s.addHeld(r)
	}
	r.owner = s
}
