package executor

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Receive takes in a message of an entry. Starts come first, so that a recall
// or cancellation in the same message applies to them.
func (c *Core) Receive(now time.Duration, m wire.Exchange) {
	s := c.session(m.Entry)
	s.connected = true
	s.demand = m.Demand
	valid := c.extendLease(now, s, m.ValidUntilMS)
	for _, st := range m.Starts {
		if !valid {
			st.BudgetMS = 0
		}
		c.receiveStart(now, s, st)
	}
	for _, r := range m.Recalls {
		c.recall(now, s, r)
	}
	for _, o := range m.Cancels {
		c.cancelJob(now, s, o)
	}
	for _, k := range m.Aborts {
		c.abortRequest(now, s, k)
	}
	for _, a := range m.Acks {
		c.ack(now, s, a)
	}
	for _, id := range m.Ended {
		c.endJob(now, s, id)
	}
}

// receiveStart queues a task, answers a duplicate from the table, or refuses.
func (c *Core) receiveStart(now time.Duration, s *session, st wire.Start) {
	r := c.rows[st.Key]
	if r != nil && !r.reopenedBy(st) {
		c.answerDuplicate(s, r, st)
		return
	}
	reason := c.refusal(now, s, st)
	if r == nil {
		r = c.addRow(now, st)
	} else {
		r.withdraw()
	}
	r.epoch, r.try, r.owner, r.team = st.Epoch, st.Try, s, st.Team
	r.acked, r.answer, r.resends = false, nil, 0
	if reason != "" {
		c.refuse(r, reason)
		return
	}
	r.state = wire.TaskQueued
	r.queuedAt = now
	r.start = st
	r.size = st.Size
	r.declared = time.Duration(st.DeclaredMS) * time.Millisecond
	r.batch = st.Batch
	r.aborted = false
	r.deadline = now + time.Duration(st.BudgetMS)*time.Millisecond
	s.hold(r.team, 1)
	c.queued++
	c.queuedSize = c.queuedSize.Add(r.size)
	c.insert(r)
	c.learnSize(r.size)
	if c.sized() {
		c.trimQueue()
	}
}

// insert queues a row in order of urgency. Rows without one keep their order.
func (c *Core) insert(r *row) {
	at := len(c.queue)
	for at > 0 && r.start.MoreUrgent(&c.queue[at-1].start) {
		at--
	}
	c.queue = slices.Insert(c.queue, at, r)
}

// reopenedBy reports whether st is a later placement of a task that this agent
// has refused or returned, or that has ended for certain without being done. Anything
// else is a copy of a start already handled.
func (r *row) reopenedBy(st wire.Start) bool {
	if r.state != wire.TaskRecalled && !r.endedUndone() {
		return false
	}
	if st.Epoch != r.epoch {
		return st.Epoch > r.epoch
	}
	return st.Try > r.try
}

// endedUndone reports whether a sized task has ended and may run again: it was stopped,
// or it failed. Its entry counts the attempts.
func (r *row) endedUndone() bool {
	return r.state == wire.TaskEnded && !r.size.IsZero() && r.answer != nil &&
		r.answer.Verdict == verdict.Ran && r.answer.Reason != verdict.Complete
}

// answerDuplicate repeats what the table says of a task.
func (c *Core) answerDuplicate(s *session, r *row, st wire.Start) {
	if r.owner != s {
		s.extra = append(s.extra, wire.Answer{
			Key: r.key, Try: st.Try, Verdict: verdict.MayHaveRun, Reason: verdict.Fenced,
		})
		return
	}
	switch {
	case r.state == wire.TaskRunning:
		s.started = append(s.started, r.key)
	case r.answer != nil:
		c.sendAgain(s, r)
	default:
		s.due = true
	}
}

// sendAgain puts the answer of r into the next report of s, once.
func (c *Core) sendAgain(s *session, r *row) {
	r.acked = false
	r.withdraw()
	s.answers = append(s.answers, r)
}

// refusal returns why a start can't be accepted, or "".
func (c *Core) refusal(now time.Duration, s *session, st wire.Start) verdict.Reason {
	if reason := c.fenced(s, st); reason != "" {
		return reason
	}
	switch {
	case st.Key.IsRequest() && !c.current && !c.sized():
		return verdict.Stale
	case c.draining:
		return verdict.Draining
	case c.down:
		return verdict.NoUpstream
	case c.sized() && c.refusalOfSize(now, st) != "":
		return c.refusalOfSize(now, st)
	case !c.sized() && c.queued+c.running >= c.limit()+c.cfg.LookAhead+c.overcommit():
		return verdict.NoCredit
	case c.answerBytes >= c.cfg.AnswerBytes && c.cfg.AnswerBytes > 0:
		return verdict.NoCredit
	case st.BudgetMS <= 0 || c.expectedWait() > time.Duration(st.BudgetMS)*time.Millisecond:
		return verdict.DeadlinePassed
	}
	return ""
}

// fenced checks the sender against the view and the job's epoch.
func (c *Core) fenced(s *session, st wire.Start) verdict.Reason {
	if c.view < ids.Version(c.cfg.Self) {
		return verdict.Stale
	}
	if reason := c.unlisted(s.entry); reason != "" {
		return reason
	}
	if st.Key.IsRequest() {
		if st.Key.Entry != s.entry {
			return verdict.Fenced
		}
		return ""
	}
	j := c.job(st.Key.Job)
	switch {
	case st.Epoch < j.epoch:
		return verdict.Fenced
	case st.Epoch <= j.canceled || j.ended:
		return verdict.Canceled
	}
	j.epoch, j.owner = st.Epoch, s.entry
	return ""
}

// unlisted returns why starts of an entry are refused by the view, or "". An
// entry newer than the view is not fenced: the view has yet to show it.
func (c *Core) unlisted(entry ids.Incarnation) verdict.Reason {
	switch {
	case c.live[entry]:
		return ""
	case ids.Version(entry) > c.view:
		return verdict.Stale
	}
	return verdict.Fenced
}

// overcommit is how many tasks beyond slots and look-ahead are queued rather
// than refused. Two entries may use the same free slot within a round trip.
func (c *Core) overcommit() int { return c.cfg.LookAhead }

// expectedWait is the expected time until a task accepted now would start.
func (c *Core) expectedWait() time.Duration {
	if c.running < c.limit() || c.limit() == 0 {
		return 0
	}
	return c.meanRun * time.Duration(c.queued) / time.Duration(c.limit())
}

// addRow makes an empty row and files it under its job.
func (c *Core) addRow(now time.Duration, st wire.Start) *row {
	r := &row{key: st.Key, made: now}
	c.rows[st.Key] = r
	if !st.Key.IsRequest() {
		j := c.job(st.Key.Job)
		if j.made == 0 {
			j.made = now
		}
		j.rows = append(j.rows, r)
	}
	return r
}

// job returns the table entry of a job and creates it if needed.
func (c *Core) job(id ids.Job) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{}
		c.jobs[id] = j
	}
	return j
}

// refuse ends a row that has not run with verdict not-run and reports it.
func (c *Core) refuse(r *row, reason verdict.Reason) {
	c.refused[reason]++
	r.state = wire.TaskRecalled
	r.start = wire.Start{}
	r.answer = &wire.Answer{Key: r.key, Try: r.try, Verdict: verdict.NotRun, Reason: reason}
	r.owner.answers = append(r.owner.answers, r)
}

// unqueue takes a row out of the queue. One that is left there could be queued a
// second time by a later try, and run twice.
func (c *Core) unqueue(r *row) {
	if at := slices.Index(c.queue, r); at >= 0 {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
	c.queued--
	c.queuedSize = c.queuedSize.Sub(r.size)
	r.owner.hold(r.team, -1)
}

// refuseQueued answers everything that waits with not-run.
func (c *Core) refuseQueued(reason verdict.Reason) {
	for _, r := range slices.Clone(c.queue) {
		c.unqueue(r)
		c.refuse(r, reason)
	}
}
