package executor

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Receive applies a message of an entry. Starts are applied first, so that a recall or
// cancellation in the same message affects them. The lease is extended last: what a
// message aborts, it doesn't prolong.
func (c *Core) Receive(now time.Duration, m wire.Exchange) {
	s := c.session(m.Entry)
	s.connected = true
	s.demand = m.Demand
	until := time.Duration(m.ValidUntilMS) * time.Millisecond
	valid := until == 0 || until > now
	for _, st := range m.Starts {
		if !valid {
			// The message has expired. refusalReason refuses a start without a budget,
			// and a duplicate is answered from its row as usual.
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
		c.receiveAbort(now, s, k)
	}
	for _, a := range m.Acks {
		c.recordAck(now, s, a)
	}
	for _, id := range m.Ended {
		c.markJobEnded(now, s, id)
	}
	if valid && (until > 0 || c.sized()) {
		c.extendLease(now, s, until)
	}
}

// receiveStart queues the task, answers a duplicate from its row, or refuses the start.
func (c *Core) receiveStart(now time.Duration, s *session, st wire.Start) {
	r := c.rows[st.Key]
	task := identityOf(&st)
	if r != nil && !r.restartableBy(st) {
		if r.task != task {
			c.refuseKeyReuse(s, st)
			return
		}
		c.answerDuplicate(s, r, st)
		return
	}
	reason := c.refusalReason(now, s, st)
	if r == nil {
		r = c.addRow(now, st)
	} else {
		r.removePendingAnswer()
	}
	r.task, r.epoch, r.try, r.owner, r.team = task, st.Epoch, st.Try, s, st.Team
	r.acked, r.answer, r.resends = false, nil, 0
	if reason != "" {
		c.refuse(r, reason)
		return
	}
	r.state = wire.TaskQueued
	r.queuedAt = now
	r.start = st
	r.size = st.Size
	r.declaredRunTime = time.Duration(st.DeclaredMS) * time.Millisecond
	r.abortQueued = false
	r.deadline = now + time.Duration(st.BudgetMS)*time.Millisecond
	s.addHeld(r)
	c.queued++
	c.queuedSize = c.queuedSize.Add(r.size)
	c.enqueue(r)
	c.recentSizes.learn(r.size)
	if c.sized() {
		c.trimQueue()
	}
}

// enqueue inserts a row by urgency. Rows of equal urgency stay in order of arrival.
func (c *Core) enqueue(r *row) {
	at := len(c.queue)
	for at > 0 && r.start.MoreUrgent(&c.queue[at-1].start) {
		at--
	}
	c.queue = slices.Insert(c.queue, at, r)
}

// restartableBy reports whether st is a later attempt of a task that this agent has
// refused or returned, or that ended incomplete. Any other start of a known task is a
// duplicate.
func (r *row) restartableBy(st wire.Start) bool {
	if r.state != wire.TaskRecalled && !r.endedIncomplete() {
		return false
	}
	if st.Epoch != r.epoch {
		return st.Epoch > r.epoch
	}
	return st.Try > r.try
}

// endedIncomplete reports whether a sized task was aborted or has failed, and so may
// run again. The number of attempts is limited by the entry.
func (r *row) endedIncomplete() bool {
	return r.state == wire.TaskEnded && !r.size.IsZero() && r.answer != nil &&
		r.answer.Verdict == verdict.Ran && r.answer.Reason != verdict.Complete
}

// answerDuplicate answers a duplicate start with the current state of the task.
func (c *Core) answerDuplicate(s *session, r *row, st wire.Start) {
	if r.owner != s {
		s.detachedAnswers = append(s.detachedAnswers, wire.Answer{
			Key: r.key, Try: st.Try, Verdict: verdict.MayHaveRun, Reason: verdict.Fenced,
		})
		return
	}
	switch {
	case r.state == wire.TaskRunning:
		s.startedKeys = append(s.startedKeys, r.key)
	case r.answer != nil:
		c.requeueAnswer(s, r)
	default:
		s.reportDue = true
	}
}

// requeueAnswer adds the answer of r to the next report to s. It removes older entries
// of the same answer, so that the report contains it once.
func (c *Core) requeueAnswer(s *session, r *row) {
	r.acked = false
	r.removePendingAnswer()
	s.pendingAnswers = append(s.pendingAnswers, r)
}

// refusalReason returns why a start can't be accepted, or "". It may update the owner of
// the job; see verifyOwner.
func (c *Core) refusalReason(now time.Duration, s *session, st wire.Start) verdict.Reason {
	if reason := c.verifyOwner(s, st); reason != "" {
		return reason
	}
	switch {
	case st.Key.IsRequest() && !c.viewCurrent && !c.sized():
		return verdict.Stale
	case c.draining():
		return verdict.Draining
	case c.upstreamDown:
		return verdict.NoUpstream
	case c.sized() && c.sizedRefusalReason(now, st) != "":
		return c.sizedRefusalReason(now, st)
	case !c.sized() && c.queued+c.running >= c.concurrencyLimit()+c.cfg.LookAhead+c.maxOvercommit():
		return verdict.NoCredit
	case c.answerBytes >= c.cfg.AnswerBytes && c.cfg.AnswerBytes > 0:
		return verdict.NoCredit
	case st.BudgetMS <= 0 || c.expectedWait() > time.Duration(st.BudgetMS)*time.Millisecond:
		return verdict.DeadlinePassed
	}
	return ""
}

// verifyOwner checks a start against the view and the epoch of its job, and returns why
// it must be refused, or "". A start of a newer epoch makes its sender the job's owner.
func (c *Core) verifyOwner(s *session, st wire.Start) verdict.Reason {
	if c.viewVersion < ids.Version(c.cfg.Self) {
		return verdict.Stale
	}
	if reason := c.verifyEntry(s.entry); reason != "" {
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
	case st.Epoch <= j.canceledEpoch || j.ended:
		return verdict.Canceled
	}
	j.epoch, j.owner = st.Epoch, s.entry
	return ""
}

// verifyEntry returns why the view rules out starts of an entry, or "". An entry that
// registered after the version of the view is stale rather than fenced, since the view
// doesn't cover it yet.
func (c *Core) verifyEntry(entry ids.Incarnation) verdict.Reason {
	switch {
	case c.liveEntries[entry]:
		return ""
	case ids.Version(entry) > c.viewVersion:
		return verdict.Stale
	}
	return verdict.Fenced
}

// maxOvercommit returns how many tasks above slots and look-ahead are queued instead
// of refused. Two entries may use the same free slot within one round trip.
func (c *Core) maxOvercommit() int { return c.cfg.LookAhead }

// expectedWait estimates the queueing time of a task that is accepted now.
func (c *Core) expectedWait() time.Duration {
	if c.running < c.concurrencyLimit() || c.concurrencyLimit() == 0 {
		return 0
	}
	return c.meanRunTime * time.Duration(c.queued) / time.Duration(c.concurrencyLimit())
}

// addRow creates the row of a task and adds it to the task's job, if it has one.
func (c *Core) addRow(now time.Duration, st wire.Start) *row {
	r := &row{key: st.Key, createdAt: now}
	c.rows[st.Key] = r
	if !st.Key.IsRequest() {
		j := c.job(st.Key.Job)
		if j.createdAt == 0 {
			j.createdAt = now
		}
		j.rows = append(j.rows, r)
	}
	return r
}

// job returns the state of a job and creates it if there is none.
func (c *Core) job(id ids.Job) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{}
		c.jobs[id] = j
	}
	return j
}

// refuse answers a task that has not run with verdict not-run.
func (c *Core) refuse(r *row, reason verdict.Reason) {
	c.refusalCounts[reason]++
	r.state = wire.TaskRecalled
	r.start = wire.Start{}
	r.answer = &wire.Answer{Key: r.key, Try: r.try, Verdict: verdict.NotRun, Reason: reason}
	r.owner.pendingAnswers = append(r.owner.pendingAnswers, r)
}

// dequeue removes a row from the queue. If it stayed there, a later attempt could queue
// it a second time, and the task would run twice.
func (c *Core) dequeue(r *row) {
	if at := slices.Index(c.queue, r); at >= 0 {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
	c.queued--
	c.queuedSize = c.queuedSize.Sub(r.size)
	r.owner.removeHeld(r)
}

// refuseQueued refuses all queued tasks.
func (c *Core) refuseQueued(reason verdict.Reason) {
	for _, r := range slices.Clone(c.queue) {
		c.dequeue(r)
		c.refuse(r, reason)
	}
}
