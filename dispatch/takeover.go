package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// takeover is the state of a job of a former owner until its missing tasks are
// queued.
type takeover struct {
	pendingClaims   map[ids.Incarnation]bool // claims without a reply
	lostIncarnation bool                     // an incarnation ended without a reply
	haveBodies      bool                     // the task bodies are known
	needBodies      bool                     // tasks can't start before Bodies supplies theirs
	timer           *timer
}

// claimRepeatInterval is the time after which a claim without a reply is sent
// again.
const claimRepeatInterval = time.Second

// startTakeover claims the job at every incarnation of its service that is not
// lost. A lost incarnation that ended after the job was admitted could have
// held rows of it, so it sets lostIncarnation.
func (c *Core) startTakeover(now time.Duration, j *job, haveBodies bool) {
	t := &takeover{pendingClaims: map[ids.Incarnation]bool{}, haveBodies: haveBodies}
	j.takeover = t
	for _, u := range c.sortedUpstreams {
		if u.svc != j.svc {
			continue
		}
		if !u.lost {
			t.pendingClaims[u.incarnation] = true
			c.queueClaim(j, u)
			continue
		}
		if u.member.Expired > ids.Version(j.id) {
			t.lostIncarnation = true
		}
	}
	t.timer = c.timers.add(now+claimRepeatInterval, &timer{kind: claimTimer, job: j})
	c.resolveTakeover(now, j)
}

// queueClaim queues a claim for the caller of Tick to send if the agent can be
// reached.
func (c *Core) queueClaim(j *job, u *upstream) {
	j.noteUsedUpstream(u)
	if !u.connected {
		return
	}
	c.messageCounts.Claims++
	c.queuedClaims = append(c.queuedClaims, ClaimRequest{To: u.incarnation, Claim: wire.Claim{
		Ownership: wire.Ownership{Job: j.id, Epoch: j.epoch},
		Entry:     c.cfg.Self,
	}})
}

// repeatClaims queues claims without a reply again.
func (c *Core) repeatClaims(now time.Duration, j *job) {
	if j.takeover == nil || len(j.takeover.pendingClaims) == 0 {
		return
	}
	for _, u := range c.sortedUpstreams {
		if j.takeover.pendingClaims[u.incarnation] {
			c.queueClaim(j, u)
		}
	}
	j.takeover.timer = c.timers.add(now+claimRepeatInterval, &timer{kind: claimTimer, job: j})
}

// queueClaimsFor queues the pending claims at an agent that has become
// reachable.
func (c *Core) queueClaimsFor(now time.Duration, u *upstream) {
	for _, j := range c.takeovers {
		if j.takeover.pendingClaims[u.incarnation] {
			c.queueClaim(j, u)
		}
	}
}

// dropClaimsOf records that an incarnation can't reply to claims any more.
func (c *Core) dropClaimsOf(now time.Duration, u *upstream) {
	for _, j := range append([]*job(nil), c.takeovers...) {
		if !j.takeover.pendingClaims[u.incarnation] {
			continue
		}
		delete(j.takeover.pendingClaims, u.incarnation)
		j.takeover.lostIncarnation = true
		c.resolveTakeover(now, j)
	}
}

// Claimed takes in the reply to a claim of the job.
func (c *Core) Claimed(now time.Duration, id ids.Job, r wire.ClaimReply) {
	j, u := c.jobs[id], c.upstreams[r.Upstream]
	if j == nil || u == nil || u.lost || j.takeover == nil || !j.takeover.pendingClaims[u.incarnation] {
		return
	}
	if r.Err != nil {
		if r.Err.Reason == verdict.Fenced {
			c.Disown(now, id)
		}
		return // an agent with a stale view catches up, and the claim is repeated
	}
	delete(j.takeover.pendingClaims, u.incarnation)
	for _, row := range r.Rows {
		if j.ended {
			return
		}
		c.adoptRow(now, j, u, row)
	}
	if !j.ended {
		c.resolveTakeover(now, j)
	}
}

// adoptRow takes over one row of an agent's start table.
func (c *Core) adoptRow(now time.Duration, j *job, u *upstream, row wire.TaskRow) {
	if row.Index < 0 || row.Index >= len(j.tasks) || j.tasks[row.Index].done {
		return
	}
	t := &j.tasks[row.Index]
	switch {
	case row.State == wire.TaskRunning:
		a := &attempt{job: j, taskIndex: row.Index, target: u, acceptsAnyTry: true, reportedRunning: true, sentAt: now, lastSentAt: now, lookAheadPos: -1}
		t.primary = a
		c.addAttempt(j, u, a)
	case row.State == wire.TaskEnded && row.Answer != nil:
		a := &attempt{job: j, taskIndex: row.Index, target: u, acceptsAnyTry: true, sentAt: now, lastSentAt: now, lookAheadPos: -1}
		t.primary = a
		c.addAttempt(j, u, a)
		c.applyAnswer(now, u, row.Answer)
	case row.State == wire.TaskEnded:
		c.failJob(now, j, wire.JobFailed, verdict.Failed(verdict.AnswerExpired, "the answer of task %d is no longer kept", row.Index))
	}
}

// resolveTakeover keeps the job on the list of takeovers until each claim has a
// reply or can't have one. It then fails the job if a missing task may have run
// on a lost incarnation, and queues the missing tasks or asks for their bodies
// otherwise.
func (c *Core) resolveTakeover(now time.Duration, j *job) {
	t := j.takeover
	if len(t.pendingClaims) > 0 || j.ended {
		c.addTakeover(j)
		return
	}
	missing := 0
	for i := range j.tasks {
		if !j.tasks[i].done && j.tasks[i].primary == nil {
			missing++
		}
	}
	if t.lostIncarnation && missing > 0 {
		c.failJob(now, j, wire.JobFailed, verdict.Unknown(verdict.OwnerLost,
			"%d tasks may have run on an upstream that was lost together with the job's owner", missing))
		return
	}
	c.addTakeover(j)
	if t.haveBodies {
		c.queueMissingTasks(now, j)
		return
	}
	t.needBodies = missing > 0
}

// addTakeover adds the job to the list of takeovers unless it is on it.
func (c *Core) addTakeover(j *job) {
	for _, o := range c.takeovers {
		if o == j {
			return
		}
	}
	c.takeovers = append(c.takeovers, j)
}

// endTakeover removes the job from the list of takeovers.
func (c *Core) endTakeover(j *job) {
	if j.takeover == nil {
		return
	}
	c.timers.cancel(j.takeover.timer)
	for i, o := range c.takeovers {
		if o == j {
			c.takeovers = append(c.takeovers[:i], c.takeovers[i+1:]...)
			break
		}
	}
	j.takeover = nil
}

// Bodies supplies the task bodies of a job that was taken over. The caller has
// checked their hash. Bodies of a job that doesn't need them are ignored.
func (c *Core) Bodies(now time.Duration, id ids.Job, specs []wire.TaskSpec) *verdict.Error {
	j := c.jobs[id]
	if j == nil {
		return verdict.Refuse(verdict.UnknownJob, "job %d is not open here", id)
	}
	if j.takeover == nil || j.takeover.haveBodies {
		return nil
	}
	if len(specs) != len(j.tasks) {
		return verdict.Refuse(verdict.BadRequest, "%d bodies for a job of %d tasks", len(specs), len(j.tasks))
	}
	for i := range specs {
		j.tasks[i].spec = specs[i]
	}
	j.takeover.haveBodies = true
	if len(j.takeover.pendingClaims) == 0 {
		c.queueMissingTasks(now, j)
	}
	return nil
}

// queueMissingTasks queues the tasks that have never started.
func (c *Core) queueMissingTasks(now time.Duration, j *job) {
	c.endTakeover(j)
	j.nextNewTask = len(j.tasks)
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if t := &j.tasks[i]; !t.done && t.primary == nil {
			c.requeue(j, i)
		}
	}
}
