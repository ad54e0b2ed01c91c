package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// blockShort follows a refusal for lack of credit: the report that carries
	// it also carries the current credit.
	blockShort = 5 * time.Millisecond
	// blockLong follows a refusal that the report's credit does not explain.
	blockLong = 50 * time.Millisecond
)

// Report takes in a message of an agent.
func (c *Core) Report(now time.Duration, r wire.Report) {
	u := c.ups[r.Upstream]
	if u == nil || u.gone {
		c.msgs.WastedUnmatched += uint64(len(r.Answers))
		return
	}
	for i := range r.Answers {
		c.answer(now, u, &r.Answers[i])
	}
	for _, key := range r.Started {
		if a := c.attempts[attemptKey{key, u.inc}]; a != nil {
			c.dropAhead(a)
			a.recalled = false
			a.running = true
		}
	}
	u.reportAt = now
	u.heard(now, r.ClockMS)
	c.setPace(u, r)
	u.credit = r.Credit
	if r.Held >= u.held {
		u.confirmed = now
	}
	if r.Draining && !u.draining {
		c.mark(u) // a leaving agent waits for its acknowledgements
	}
	u.others = max(r.Running+r.Queued-r.Held, 0)
	c.setElsewhere(u, r.Others)
	u.queued = r.Queued
	u.draining = r.Draining || u.member.Draining
	u.down = r.UpstreamDown
	c.reindex(u)
}

// answer matches an answer to its attempt by key, incarnation and try. Anything
// else is dropped and counted, but acknowledged, or it would be sent for ever.
func (c *Core) answer(now time.Duration, u *upstream, ans *wire.Answer) {
	c.msgs.Answers++
	u.mailbox.acks = append(u.mailbox.acks, wire.Ack{Key: ans.Key, Try: ans.Try})
	if u.draining {
		c.mark(u)
	} else {
		c.flushLater(now, u)
	}
	a := c.attempts[attemptKey{ans.Key, u.inc}]
	if a == nil || a.try != ans.Try && !a.anyTry {
		c.msgs.WastedUnmatched++
		return
	}
	c.drop(a)
	switch {
	case a.orphan:
		c.orphanAnswered(now, u, a, ans)
	case notRun(ans):
		c.refused(now, u, a, ans)
	case ans.Verdict == verdict.Ran && ans.Reason != verdict.AnswerExpired && ans.Status > 0 && ans.Status < 500:
		c.taskDone(now, u, a, ans)
	default:
		c.taskFailed(now, u, a, ans)
	}
}

// orphanAnswered counts the end of an attempt that nobody waits for.
func (c *Core) orphanAnswered(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	if a.isHedge || a.job.single {
		c.msgs.WastedHedge++
	} else {
		c.msgs.WastedCanceled++
	}
	switch {
	case ans.Verdict == verdict.Ran && ans.Status > 0 && ans.Status < 500:
		c.learn(u, nil, ans)
		c.succeeded(now, u, a.sentAt)
		c.reindex(u)
	case ans.Verdict == verdict.Ran:
		c.blame(now, u, a.job, ans)
	case ans.Reason == verdict.Canceled && ans.RunUS > 0:
		u.svc.learnAborted(u, float64(ans.RunUS)/1e6)
	}
}

// refused places a task again that has not run.
func (c *Core) refused(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	c.countRefusal(ans.Reason)
	c.decide(now, "refused", u.inc, ans.Key, string(ans.Reason))
	switch ans.Reason {
	case verdict.Recalled, verdict.Superseded:
	case verdict.Fenced, verdict.Canceled:
		if j.batch != nil {
			c.block(now, u, blockLong)
			break
		}
		c.fail(now, j, wire.JobFailed, verdict.Unknown(ans.Reason, "upstream %d knows a newer owner of the job or of this entry", u.inc))
		return
	case verdict.NoCredit, verdict.DeadlinePassed:
		c.block(now, u, blockShort)
	default:
		c.block(now, u, blockLong)
	}
	t := &j.tasks[a.index]
	if t.primary != nil {
		return // the other attempt of a hedged request goes on
	}
	if j.takeover != nil && !j.takeover.haveBodies {
		j.takeover.needBodies = true
		return
	}
	c.requeue(j, a.index)
}

// countRefusal files a refused start under its cause.
func (c *Core) countRefusal(r verdict.Reason) {
	switch r {
	case verdict.Recalled:
		c.msgs.WastedRecalled++
	case verdict.NoCredit:
		c.msgs.WastedNoCredit++
	default:
		c.msgs.WastedRefused++
	}
}

// taskDone takes over the result of a task.
func (c *Core) taskDone(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	c.learn(u, j, ans)
	c.succeeded(now, u, a.sentAt)
	c.reindex(u)
	c.earnRetries()
	t := &j.tasks[a.index]
	t.answer = *ans
	t.done = true
	t.spec = wire.TaskSpec{}
	j.done++
	if j.done == len(j.tasks) {
		c.complete(now, j)
		return
	}
	if j.batch != nil {
		c.releaseSteps(j, a.index)
		c.endDoomed(now, j)
	}
}

// taskFailed handles a task that ran without success or whose outcome is
// unknown. The job fails whole; a single request may be retried.
func (c *Core) taskFailed(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	if j.batch != nil {
		c.batchTaskFailed(now, u, a, ans)
		return
	}
	if ans.Reason != verdict.AnswerExpired && ans.Reason != verdict.Fenced {
		c.blame(now, u, j, ans)
	}
	if j.single {
		c.requestFailed(now, u, a, ans)
		return
	}
	c.fail(now, j, wire.JobFailed, &verdict.Error{
		Verdict: ans.Verdict,
		Reason:  failureReason(ans),
		Detail:  "task " + ans.Key.String() + failureStatus(ans),
	})
}

// complete ends a job all of whose tasks have results.
func (c *Core) complete(now time.Duration, j *job) {
	results := make([]wire.Answer, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].answer
	}
	c.finish(now, j, Outcome{State: wire.JobComplete, Results: results})
}

// fail ends a job without an answer.
func (c *Core) fail(now time.Duration, j *job, state wire.JobState, err *verdict.Error) {
	c.finish(now, j, Outcome{State: state, Err: err})
}

// finish returns the outcome of a job once and ends what is left of it.
func (c *Core) finish(now time.Duration, j *job, o Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	o.Job, o.Request, o.Epoch = j.id, j.key, j.epoch
	c.finished = append(c.finished, o)
	c.timers.cancel(j.deadlineTimer)
	c.endTakeover(j)
	j.svc.fair.remove(j)
	c.abandonAttempts(now, j)
	for _, u := range j.visited {
		if !u.gone {
			u.mailbox.ended = append(u.mailbox.ended, j.id)
			c.flushLater(now, u)
		}
	}
	if j.single {
		delete(c.requests, j.key)
	} else {
		delete(c.jobs, j.id)
	}
	// Attempts without an answer still refer to the job; its bodies and
	// answers are not needed for them.
	for i := range j.tasks {
		j.tasks[i].spec, j.tasks[i].answer = wire.TaskSpec{}, wire.Answer{}
	}
	j.touched, j.visited = nil, nil
}

// abandonAttempts cancels the attempts of an ended job, one message to each agent.
func (c *Core) abandonAttempts(now time.Duration, j *job) {
	if j.sent == 0 {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		for _, a := range [...]*attempt{t.primary, t.hedge} {
			if a != nil {
				c.abandon(now, a)
			}
		}
	}
}

// abandon tells the agent that nobody waits for an attempt.
func (c *Core) abandon(now time.Duration, a *attempt) {
	a.orphan = true
	c.dropAhead(a)
	c.timers.cancel(a.hedgeTimer)
	m := &a.up.mailbox
	if a.job.single {
		m.aborts = append(m.aborts, a.job.keyOf(a.index))
	} else {
		m.cancel(wire.Ownership{Job: a.job.id, Epoch: a.job.epoch})
	}
	c.mark(a.up)
}

// Cancel ends a job at the wish of its caller.
func (c *Core) Cancel(now time.Duration, id ids.Job) {
	if j := c.jobs[id]; j != nil {
		c.fail(now, j, wire.JobCanceled, c.unfinished(j, verdict.Canceled, "canceled by the caller"))
	}
}

// CancelRequest ends a single request whose caller has gone.
func (c *Core) CancelRequest(now time.Duration, key ids.TaskKey) {
	if j := c.requests[key]; j != nil {
		c.fail(now, j, wire.JobCanceled, c.unfinished(j, verdict.Canceled, "canceled by the caller"))
	}
}

// Disown drops a job that has been given to another owner. It returns an
// outcome of unknown verdict: the new owner has the answer. Agents are told
// nothing, since the tasks now belong to the new owner.
func (c *Core) Disown(now time.Duration, id ids.Job) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for i := range j.tasks {
		for _, a := range [...]*attempt{j.tasks[i].primary, j.tasks[i].hedge} {
			if a != nil {
				a.orphan = true
				c.drop(a)
			}
		}
	}
	j.visited = nil
	c.fail(now, j, wire.JobFailed, verdict.Unknown(verdict.OwnerLost, "the job has a new owner"))
}

// deadlinePassed fails a job that is not complete in time.
func (c *Core) deadlinePassed(now time.Duration, j *job) {
	c.now = now
	c.fail(now, j, wire.JobFailed, c.unfinished(j, verdict.DeadlinePassed, "the deadline has passed"))
}

// unfinished returns the error of a job that ends early. Its verdict is
// not-run only if no task has started or may have. An owner whose view is not
// current may have been replaced by another that starts the tasks.
func (c *Core) unfinished(j *job, reason verdict.Reason, detail string) *verdict.Error {
	mine := j.single || c.current && j.takeover == nil
	if j.sent == 0 && j.done == 0 && !j.maybeRan && mine {
		return verdict.Refuse(reason, "%s", detail)
	}
	return verdict.Unknown(reason, "%s; %d of %d tasks have results%s", detail, j.done, len(j.tasks), c.openTasks(j))
}

// failureReason is the reason of a failed job.
func failureReason(ans *wire.Answer) verdict.Reason {
	if ans.Verdict == verdict.Ran && ans.Reason != verdict.AnswerExpired {
		return verdict.TaskFailed
	}
	if ans.Reason == "" {
		return verdict.UpstreamFailed
	}
	return ans.Reason
}

// failureStatus describes the upstream's status, if there was one.
func failureStatus(ans *wire.Answer) string {
	if ans.Status == 0 {
		return " failed: " + string(ans.Reason)
	}
	return " failed with status " + itoa(ans.Status)
}
