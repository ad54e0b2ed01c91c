package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// noCreditBlock is the block after a refusal with reason NoCredit or
	// DeadlinePassed. It is short because the report that carries the refusal
	// also carries the current credit.
	noCreditBlock = 5 * time.Millisecond
	// refusalBlock is the block after a refusal that the reported credit doesn't
	// explain.
	refusalBlock = 50 * time.Millisecond
)

// Report takes in a report of an agent.
func (c *Core) Report(now time.Duration, r wire.Report) {
	u := c.upstreams[r.Upstream]
	if u == nil || u.lost {
		c.messageCounts.WastedUnmatched += uint64(len(r.Answers))
		return
	}
	for i := range r.Answers {
		c.applyAnswer(now, u, &r.Answers[i])
	}
	for _, key := range r.Started {
		if a := c.attempts[attemptKey{key, u.incarnation}]; a != nil {
			c.removeLookAhead(a)
			a.recallSent = false
			a.reportedRunning = true
		}
	}
	u.lastReportAt = now
	u.recordContact(now, r.ClockMS)
	c.updateLogDeclaredRatio(u, r)
	u.credit = r.Credit
	if r.Held >= u.outstanding {
		u.attemptsConfirmedAt = now
	}
	wasDraining := u.draining()
	if r.Draining && !wasDraining {
		c.markForSend(u) // an agent that drains waits for its acknowledgements
	}
	u.otherEntryTasks = max(r.Running+r.Queued-r.Held, 0)
	u.reportedOtherSize = r.OtherSize
	c.setOtherEntryRate(u, r.Others)
	u.queuedTasks = r.Queued
	u.agentDrains = r.Draining
	u.rampUpAfterDrain(wasDraining)
	u.reportedDown = r.UpstreamDown
	c.reindex(u)
}

// applyAnswer matches an answer to its attempt by key, incarnation and try. An
// answer without an attempt is dropped and counted, but still acknowledged,
// since the agent would send it for ever otherwise.
func (c *Core) applyAnswer(now time.Duration, u *upstream, ans *wire.Answer) {
	c.messageCounts.Answers++
	u.outbox.acks = append(u.outbox.acks, wire.Ack{Key: ans.Key, Try: ans.Try})
	if u.draining() {
		c.markForSend(u)
	} else {
		c.scheduleFlush(now, u)
	}
	a := c.attempts[attemptKey{ans.Key, u.incarnation}]
	if a == nil || a.try != ans.Try && !a.acceptsAnyTry {
		c.messageCounts.WastedUnmatched++
		return
	}
	c.removeAttempt(a)
	switch {
	case a.abandoned:
		c.recordAbandonedAnswer(now, u, a, ans)
	case didNotRun(ans):
		c.recordRefusal(now, u, a, ans)
	case ans.Verdict == verdict.Ran && ans.Reason != verdict.AnswerExpired && ans.Status > 0 && ans.Status < 500:
		c.recordTaskResult(now, u, a, ans)
	default:
		c.recordTaskFailure(now, u, a, ans)
	}
}

// recordAbandonedAnswer records the end of an attempt for which nobody waits.
// WastedHedge counts hedges and all abandoned attempts of single requests and
// batches, WastedCanceled the other attempts of jobs.
func (c *Core) recordAbandonedAnswer(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	if a.isHedge || a.job.unrecorded {
		c.messageCounts.WastedHedge++
	} else {
		c.messageCounts.WastedCanceled++
	}
	switch {
	case ans.Verdict == verdict.Ran && ans.Status > 0 && ans.Status < 500:
		c.learnRunTime(u, nil, ans)
		c.recordSuccess(now, u, a.sentAt)
		c.reindex(u)
	case ans.Verdict == verdict.Ran:
		c.attributeFailure(now, u, a.job, ans)
	case ans.Reason == verdict.Canceled && ans.RunUS > 0:
		u.svc.learnAbortedRunTime(u, float64(ans.RunUS)/1e6)
		learnAbortedTask(u, a, ans)
	}
}

// recordRefusal queues a task again that an agent has refused to run. It does
// not while another attempt of the task is in progress, nor while a takeover
// lacks the bodies of the tasks, which it then asks for by needBodies. With
// reason Fenced or Canceled it fails the job instead, unless the job is a
// batch.
func (c *Core) recordRefusal(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	c.countRefusal(ans.Reason)
	c.recordDecision(now, "refused", u.incarnation, ans.Key, string(ans.Reason))
	switch ans.Reason {
	case verdict.Recalled, verdict.Superseded:
	case verdict.Fenced, verdict.Canceled:
		if j.batch != nil {
			c.block(now, u, refusalBlock)
			break
		}
		c.failJob(now, j, wire.JobFailed, verdict.Unknown(ans.Reason, "upstream %d knows a newer owner of the job or of this entry", u.incarnation))
		return
	case verdict.NoCredit, verdict.DeadlinePassed:
		c.block(now, u, noCreditBlock)
	default:
		c.block(now, u, refusalBlock)
	}
	t := &j.tasks[a.taskIndex]
	if t.primary != nil {
		return // the other attempt of a hedged request goes on
	}
	if j.takeover != nil && !j.takeover.haveBodies {
		j.takeover.needBodies = true
		return
	}
	c.requeue(j, a.taskIndex)
}

// countRefusal counts a refused start by its cause.
func (c *Core) countRefusal(r verdict.Reason) {
	switch r {
	case verdict.Recalled:
		c.messageCounts.WastedRecalled++
	case verdict.NoCredit:
		c.messageCounts.WastedNoCredit++
	default:
		c.messageCounts.WastedRefused++
	}
}

// recordTaskResult stores the result of a task, and completes its job or
// releases its next steps.
func (c *Core) recordTaskResult(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	c.learnRunTime(u, j, ans)
	c.recordSuccess(now, u, a.sentAt)
	c.reindex(u)
	c.earnRetryTokens()
	t := &j.tasks[a.taskIndex]
	t.answer = *ans
	t.done = true
	t.spec = wire.TaskSpec{}
	j.done++
	if j.done == len(j.tasks) {
		c.completeJob(now, j)
		return
	}
	if j.batch != nil {
		c.completeStepTask(j, a.taskIndex)
		c.failIfDeadlineUnreachable(now, j)
	}
}

// recordTaskFailure acts on a task that ran without success or whose outcome is
// unknown. It fails the whole job, except that a batch or a single request may
// be retried.
func (c *Core) recordTaskFailure(now time.Duration, u *upstream, a *attempt, ans *wire.Answer) {
	j := a.job
	if j.batch != nil {
		c.retryTaskOrFailBatch(now, u, a, ans)
		return
	}
	if ans.Reason != verdict.AnswerExpired && ans.Reason != verdict.Fenced {
		c.attributeFailure(now, u, j, ans)
	}
	if j.unrecorded {
		c.retryOrFailRequest(now, u, a, ans)
		return
	}
	c.failJob(now, j, wire.JobFailed, &verdict.Error{
		Verdict: ans.Verdict,
		Reason:  failureReason(ans),
		Detail:  "task " + ans.Key.String() + failureStatus(ans),
	})
}

// completeJob ends a job all of whose tasks have results.
func (c *Core) completeJob(now time.Duration, j *job) {
	results := make([]wire.Answer, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].answer
	}
	c.finishJob(now, j, Outcome{State: wire.JobComplete, Results: results})
}

// failJob ends a job with an error.
func (c *Core) failJob(now time.Duration, j *job, state wire.JobState, err *verdict.Error) {
	c.finishJob(now, j, Outcome{State: state, Err: err})
}

// finishJob records the outcome of a job, once, and releases what it holds.
func (c *Core) finishJob(now time.Duration, j *job, o Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	o.Job, o.Request, o.Epoch = j.id, j.key, j.epoch
	c.finished = append(c.finished, o)
	c.timers.cancel(j.deadlineTimer)
	c.endTakeover(j)
	j.svc.teamQueues.removeJob(j)
	c.abandonAttempts(now, j)
	for _, u := range j.usedUpstreams {
		if !u.lost {
			u.outbox.ended = append(u.outbox.ended, j.id)
			c.scheduleFlush(now, u)
		}
	}
	if j.unrecorded {
		delete(c.requests, j.key)
	} else {
		delete(c.jobs, j.id)
	}
	// Attempts without an answer still refer to the job, but need neither its
	// bodies nor its answers.
	for i := range j.tasks {
		j.tasks[i].spec, j.tasks[i].answer = wire.TaskSpec{}, wire.Answer{}
	}
	j.usedUpstreamSet, j.usedUpstreams = nil, nil
}

// abandonAttempts cancels the attempts of an ended job, with one cancellation to
// each agent.
func (c *Core) abandonAttempts(now time.Duration, j *job) {
	if j.outstanding == 0 {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		for _, a := range [...]*attempt{t.primary, t.hedge} {
			if a != nil {
				c.abandonAttempt(now, a)
			}
		}
	}
}

// abandonAttempt tells the agent that nobody waits for an attempt.
func (c *Core) abandonAttempt(now time.Duration, a *attempt) {
	a.abandoned = true
	c.removeLookAhead(a)
	c.timers.cancel(a.hedgeTimer)
	box := &a.target.outbox
	if a.job.unrecorded {
		box.aborts = append(box.aborts, a.job.taskKey(a.taskIndex))
	} else {
		box.cancel(wire.Ownership{Job: a.job.id, Epoch: a.job.epoch})
	}
	c.markForSend(a.target)
}

// Cancel ends a job on request of its caller.
func (c *Core) Cancel(now time.Duration, id ids.Job) {
	if j := c.jobs[id]; j != nil {
		c.failJob(now, j, wire.JobCanceled, c.unfinishedError(j, verdict.Canceled, "canceled by the caller"))
	}
}

// CancelRequest ends a single request or batch whose caller has gone.
func (c *Core) CancelRequest(now time.Duration, key ids.TaskKey) {
	if j := c.requests[key]; j != nil {
		c.failJob(now, j, wire.JobCanceled, c.unfinishedError(j, verdict.Canceled, "canceled by the caller"))
	}
}

// DeleteBatch ends a batch that its caller has deleted. HeldBatches tells when its tasks
// have ended.
func (c *Core) DeleteBatch(now time.Duration, key ids.TaskKey) {
	if j := c.requests[key]; j != nil {
		c.failJob(now, j, wire.JobCanceled, c.unfinishedError(j, verdict.Deleted, "deleted by the caller"))
	}
}

// HeldBatches returns the keys of the batches and single requests of which agents hold
// tasks, also of those that have ended here.
func (c *Core) HeldBatches() map[ids.TaskKey]bool {
	held := map[ids.TaskKey]bool{}
	for _, a := range c.attempts {
		if a.job.unrecorded {
			held[a.job.key] = true
		}
	}
	return held
}

// Disown drops a job that has been given to another owner. The outcome has an
// unknown verdict, since the new owner has the answer. The agents get no
// message, since the tasks now belong to the new owner.
func (c *Core) Disown(now time.Duration, id ids.Job) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for i := range j.tasks {
		for _, a := range [...]*attempt{j.tasks[i].primary, j.tasks[i].hedge} {
			if a != nil {
				a.abandoned = true
				c.removeAttempt(a)
			}
		}
	}
	j.usedUpstreams = nil
	c.failJob(now, j, wire.JobFailed, verdict.Unknown(verdict.OwnerLost, "the job has a new owner"))
}

// failAtDeadline fails a job that is not complete at its deadline.
func (c *Core) failAtDeadline(now time.Duration, j *job) {
	c.now = now
	c.failJob(now, j, wire.JobFailed, c.unfinishedError(j, verdict.DeadlinePassed, "the deadline has passed"))
}

// unfinishedError returns the error of a job that ends early. Its verdict is
// not-run only if no task can have started: an owner whose view is not current
// may have been replaced by another that starts the tasks.
func (c *Core) unfinishedError(j *job, reason verdict.Reason, detail string) *verdict.Error {
	mine := j.unrecorded || c.viewCurrent && j.takeover == nil
	if j.outstanding == 0 && j.done == 0 && !j.mayHaveRun && mine {
		return verdict.Refuse(reason, "%s", detail)
	}
	return verdict.Unknown(reason, "%s; %d of %d tasks have results%s", detail, j.done, len(j.tasks), c.describeOpenTasks(j))
}

// failureReason returns the reason of a failed job.
func failureReason(ans *wire.Answer) verdict.Reason {
	if ans.Verdict == verdict.Ran && ans.Reason != verdict.AnswerExpired {
		return verdict.TaskFailed
	}
	if ans.Reason == "" {
		return verdict.UpstreamFailed
	}
	return ans.Reason
}

// failureStatus describes the failure by the upstream's status or, without one,
// by its reason.
func failureStatus(ans *wire.Answer) string {
	if ans.Status == 0 {
		return " failed: " + string(ans.Reason)
	}
	return " failed with status " + itoa(ans.Status)
}
