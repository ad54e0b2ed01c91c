package dispatch

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// flapWindow, flapLimit and flappingLimitTime define flapping: a node that
	// has registered more than flapLimit times within flapWindow gets one task
	// at a time for at least flappingLimitTime.
	flapWindow        = 60 * time.Second
	flapLimit         = 3
	flappingLimitTime = 30 * time.Second
	// coldWindow is the number of tasks that a new upstream may hold at first.
	coldWindow = 4
)

// SetUpstreams replaces the registry view. Members of other kinds are ignored.
// An incarnation that is expired or no longer listed is lost.
func (c *Core) SetUpstreams(now time.Duration, rows []wire.Member) {
	listed := make(map[ids.Incarnation]bool, len(rows))
	for _, m := range rows {
		if m.Kind != wire.KindAgent {
			continue
		}
		listed[m.Incarnation] = true
		c.setUpstream(now, m)
	}
	for _, u := range slices.Clone(c.sortedUpstreams) {
		if !listed[u.incarnation] {
			c.markLost(now, u)
			c.removeUpstream(u)
		}
	}
}

// setUpstream applies one member of the registry.
func (c *Core) setUpstream(now time.Duration, m wire.Member) {
	u := c.upstreams[m.Incarnation]
	if u == nil {
		u = c.addUpstream(now, m)
	}
	wasDraining := u.draining()
	u.member = m
	if !m.Live() {
		c.markLost(now, u)
		return
	}
	u.rampUpAfterDrain(wasDraining)
	c.reindex(u)
}

// addUpstream adds a new incarnation.
func (c *Core) addUpstream(now time.Duration, m wire.Member) *upstream {
	s := c.service(m.Service)
	u := &upstream{incarnation: m.Incarnation, member: m, svc: s, health: Cold, rampUpLimit: coldWindow}
	c.initLogDeclaredRatio(u)
	c.upstreams[u.incarnation] = u
	c.sortedUpstreams = insertByIncarnation(c.sortedUpstreams, u)
	if !m.Live() {
		u.lost = true
		return u
	}
	s.upstreams = insertByIncarnation(s.upstreams, u)
	c.limitIfFlapping(now, u)
	if c.connectedUnlisted[u.incarnation] {
		delete(c.connectedUnlisted, u.incarnation)
		c.markConnected(now, u)
	}
	return u
}

// limitIfFlapping limits an upstream whose node has registered too often.
func (c *Core) limitIfFlapping(now time.Duration, u *upstream) {
	times := c.recentRegistrations[u.member.Node]
	times = slices.DeleteFunc(times, func(at time.Duration) bool { return now-at > flapWindow })
	times = append(times, now)
	c.recentRegistrations[u.member.Node] = times
	if len(times) > flapLimit {
		u.health = Flapping
		u.rampUpLimit = 1
		u.flappingUntil = now + flappingLimitTime
		c.recordDecision(now, "trickle", u.incarnation, ids.TaskKey{}, "registers too often")
	}
}

func insertByIncarnation(list []*upstream, u *upstream) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u.incarnation, func(o *upstream, incarnation ids.Incarnation) int {
		if o.incarnation < incarnation {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, u)
}

// markLost records the end of an incarnation. Its unanswered tasks may have run.
func (c *Core) markLost(now time.Duration, u *upstream) {
	if u.lost {
		return
	}
	u.lost = true
	u.connected = false
	u.outbox = outbox{}
	c.setOtherEntryRate(u, nil)
	if u.health == Quarantined {
		u.removeFromQuarantined()
	}
	u.svc.upstreams = slices.DeleteFunc(u.svc.upstreams, func(o *upstream) bool { return o == u })
	c.reindex(u)
	c.recordDecision(now, "lost", u.incarnation, ids.TaskKey{}, "incarnation expired")
	for _, a := range slices.Clone(u.attempts) {
		if a.upstreamPos >= 0 {
			c.recordLostAttempt(now, u, a)
		}
	}
	c.dropClaimsOf(now, u)
}

// recordLostAttempt acts on a task whose outcome is unknown because its upstream
// is lost.
func (c *Core) recordLostAttempt(now time.Duration, u *upstream, a *attempt) {
	c.removeAttempt(a)
	switch {
	case a.abandoned:
	case a.job.batch != nil:
		c.retryTaskOrFailBatch(now, u, a, lostTaskAnswer(a))
	case a.job.unrecorded:
		c.retryOrFailRequest(now, u, a, &wire.Answer{
			Key: a.job.key, Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost,
		})
	default:
		a.job.mayHaveRun = true
		c.failJob(now, a.job, wire.JobFailed, verdict.Unknown(verdict.UpstreamLost,
			"upstream %d was lost while it held task %d", u.incarnation, a.taskIndex))
	}
}

// removeUpstream removes an incarnation that the registry no longer lists, so no
// open job can have used it.
func (c *Core) removeUpstream(u *upstream) {
	delete(c.upstreams, u.incarnation)
	c.sortedUpstreams = slices.DeleteFunc(c.sortedUpstreams, func(o *upstream) bool { return o == u })
}

// Connected records that the entry can reach an agent. It repeats every message
// that has no answer yet, since messages on the former connection may be lost.
func (c *Core) Connected(now time.Duration, up ids.Incarnation) {
	u := c.upstreams[up]
	if u == nil {
		c.connectedUnlisted[up] = true
		return
	}
	c.markConnected(now, u)
}

// markConnected records that u can be reached.
func (c *Core) markConnected(now time.Duration, u *upstream) {
	if u.lost {
		return
	}
	u.connected = true
	u.attemptsConfirmedAt = 0
	u.lastHeardAt = now
	for _, a := range u.attempts {
		c.repeatLastMessage(now, a)
	}
	c.queueClaimsFor(now, u)
	c.reindex(u)
}

// Disconnected records that an agent can't be reached. It gets no new work.
// Its tasks stay until it answers or its incarnation expires, but batches with
// tasks at a worker fail once it has been disconnected for reconnectWait.
func (c *Core) Disconnected(now time.Duration, up ids.Incarnation) {
	delete(c.connectedUnlisted, up)
	u := c.upstreams[up]
	if u == nil || !u.connected {
		return
	}
	u.connected = false
	u.disconnectedAt = now
	u.outbox.dropRepeatable()
	u.credit = 0
	c.setOtherEntryRate(u, nil)
	c.recordDecision(now, "suspect", u.incarnation, ids.TaskKey{}, "disconnected")
	c.reindex(u)
	for _, a := range slices.Clone(u.attempts) {
		if a.hedgeTimer != nil && a.upstreamPos >= 0 {
			c.timers.cancel(a.hedgeTimer)
			c.hedge(now, a)
		}
	}
}

// unblock lets an upstream have new work once its block has ended.
func (c *Core) unblock(now time.Duration, u *upstream) {
	if now >= u.blockedUntil {
		u.blockedUntil = 0
		c.reindex(u)
	}
}
