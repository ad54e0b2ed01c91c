package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// takeover is the state of a job between its assignment and its first start.
type takeover struct {
	pending    map[ids.Incarnation]bool // claims without a reply
	lost       bool                     // an incarnation ended without a reply
	haveBodies bool
	needBodies bool
	timer      *timer
}

// claimRepeat is the time after which a claim without a reply is sent again.
const claimRepeat = time.Second

// startTakeover claims the job at every incarnation that could hold rows of it:
// those of its service that had not ended when the job was admitted.
func (c *Core) startTakeover(now time.Duration, j *job, haveBodies bool) {
	t := &takeover{pending: map[ids.Incarnation]bool{}, haveBodies: haveBodies}
	j.takeover = t
	for _, u := range c.upOrder {
		if u.svc != j.svc {
			continue
		}
		if !u.gone {
			t.pending[u.inc] = true
			c.orderClaim(j, u)
			continue
		}
		if u.member.Expired > ids.Version(j.id) {
			t.lost = true
		}
	}
	t.timer = c.timers.add(now+claimRepeat, &timer{kind: claimTimer, job: j})
	c.resolveTakeover(now, j)
}

// orderClaim asks the daemon to send a claim if the agent can be reached.
func (c *Core) orderClaim(j *job, u *upstream) {
	j.visit(u)
	if !u.connected {
		return
	}
	c.msgs.Claims++
	c.claims = append(c.claims, ClaimOrder{To: u.inc, Claim: wire.Claim{
		Ownership: wire.Ownership{Job: j.id, Epoch: j.epoch},
		Entry:     c.cfg.Self,
	}})
}

// repeatClaims sends claims again that have no reply.
func (c *Core) repeatClaims(now time.Duration, j *job) {
	if j.takeover == nil || len(j.takeover.pending) == 0 {
		return
	}
	for _, u := range c.upOrder {
		if j.takeover.pending[u.inc] {
			c.orderClaim(j, u)
		}
	}
	j.takeover.timer = c.timers.add(now+claimRepeat, &timer{kind: claimTimer, job: j})
}

// reclaim sends the open claims at an agent that has become reachable.
func (c *Core) reclaim(now time.Duration, u *upstream) {
	for _, j := range c.takeovers {
		if j.takeover.pending[u.inc] {
			c.orderClaim(j, u)
		}
	}
}

// claimLost notes that an incarnation can't answer any more.
func (c *Core) claimLost(now time.Duration, u *upstream) {
	for _, j := range append([]*job(nil), c.takeovers...) {
		if !j.takeover.pending[u.inc] {
			continue
		}
		delete(j.takeover.pending, u.inc)
		j.takeover.lost = true
		c.resolveTakeover(now, j)
	}
}

// Claimed takes in the reply to a claim of the job.
func (c *Core) Claimed(now time.Duration, id ids.Job, r wire.ClaimReply) {
	j, u := c.jobs[id], c.ups[r.Upstream]
	if j == nil || u == nil || u.gone || j.takeover == nil || !j.takeover.pending[u.inc] {
		return
	}
	if r.Err != nil {
		if r.Err.Reason == verdict.Fenced {
			c.Disown(now, id)
		}
		return // stale views catch up, the claim is repeated
	}
	delete(j.takeover.pending, u.inc)
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
		a := &attempt{job: j, index: row.Index, up: u, anyTry: true, running: true, sentAt: now, resentAt: now, apos: -1}
		t.primary = a
		c.addAttempt(j, u, a)
	case row.State == wire.TaskEnded && row.Answer != nil:
		a := &attempt{job: j, index: row.Index, up: u, anyTry: true, sentAt: now, resentAt: now, apos: -1}
		t.primary = a
		c.addAttempt(j, u, a)
		c.answer(now, u, row.Answer)
	case row.State == wire.TaskEnded:
		c.fail(now, j, wire.JobFailed, verdict.Failed(verdict.AnswerExpired, "the answer of task %d is no longer kept", row.Index))
	}
}

// resolveTakeover decides once all claims have a reply or can have none.
func (c *Core) resolveTakeover(now time.Duration, j *job) {
	t := j.takeover
	if len(t.pending) > 0 || j.ended {
		c.trackTakeover(j)
		return
	}
	missing := 0
	for i := range j.tasks {
		if !j.tasks[i].done && j.tasks[i].primary == nil {
			missing++
		}
	}
	if t.lost && missing > 0 {
		c.fail(now, j, wire.JobFailed, verdict.Unknown(verdict.OwnerLost,
			"%d tasks may have run on an upstream that was lost together with the job's owner", missing))
		return
	}
	c.trackTakeover(j)
	if t.haveBodies {
		c.startMissing(now, j)
		return
	}
	t.needBodies = missing > 0
}

// trackTakeover keeps the job on the list of takeovers.
func (c *Core) trackTakeover(j *job) {
	for _, o := range c.takeovers {
		if o == j {
			return
		}
	}
	c.takeovers = append(c.takeovers, j)
}

// endTakeover takes the job off the list of takeovers.
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
	if len(j.takeover.pending) == 0 {
		c.startMissing(now, j)
	}
	return nil
}

// startMissing queues the tasks that have never started.
func (c *Core) startMissing(now time.Duration, j *job) {
	c.endTakeover(j)
	j.next = len(j.tasks)
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if t := &j.tasks[i]; !t.done && t.primary == nil {
			c.requeue(j, i)
		}
	}
}
