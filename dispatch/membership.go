package dispatch

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// flapWindow, flapLimit and flapTrickle define flapping: more than
	// flapLimit registrations of a node within flapWindow, after which it gets
	// a trickle until it has been stable for flapTrickle.
	flapWindow  = 60 * time.Second
	flapLimit   = 3
	flapTrickle = 30 * time.Second
	// coldWindow is the number of tasks a new upstream may hold at first.
	coldWindow = 4
)

// SetUpstreams replaces the registry view. Rows of other kinds are ignored. An
// incarnation that is expired or no longer listed is lost.
func (c *Core) SetUpstreams(now time.Duration, rows []wire.Member) {
	listed := make(map[ids.Incarnation]bool, len(rows))
	for _, m := range rows {
		if m.Kind != wire.KindAgent {
			continue
		}
		listed[m.Incarnation] = true
		c.setUpstream(now, m)
	}
	for _, u := range slices.Clone(c.upOrder) {
		if !listed[u.inc] {
			c.lose(now, u)
			c.forget(u)
		}
	}
}

// setUpstream takes in one row of the registry.
func (c *Core) setUpstream(now time.Duration, m wire.Member) {
	u := c.ups[m.Incarnation]
	if u == nil {
		u = c.addUpstream(now, m)
	}
	u.member = m
	if !m.Live() {
		c.lose(now, u)
		return
	}
	if m.Draining {
		u.draining = true
	}
	c.reindex(u)
}

// addUpstream makes the row of a new incarnation.
func (c *Core) addUpstream(now time.Duration, m wire.Member) *upstream {
	s := c.service(m.Service)
	u := &upstream{inc: m.Incarnation, member: m, svc: s, health: Cold, window: coldWindow}
	c.startPace(u)
	c.ups[u.inc] = u
	c.upOrder = insertByIncarnation(c.upOrder, u)
	if !m.Live() {
		u.gone = true
		return u
	}
	s.ups = insertByIncarnation(s.ups, u)
	c.damp(now, u)
	if c.early[u.inc] {
		delete(c.early, u.inc)
		c.connect(now, u)
	}
	return u
}

// damp limits an upstream whose node has registered too often.
func (c *Core) damp(now time.Duration, u *upstream) {
	times := c.registered[u.member.Node]
	times = slices.DeleteFunc(times, func(at time.Duration) bool { return now-at > flapWindow })
	times = append(times, now)
	c.registered[u.member.Node] = times
	if len(times) > flapLimit {
		u.health = Trickle
		u.window = 1
		u.stableAt = now + flapTrickle
		c.decide(now, "trickle", u.inc, ids.TaskKey{}, "registers too often")
	}
}

func insertByIncarnation(list []*upstream, u *upstream) []*upstream {
	at, _ := slices.BinarySearchFunc(list, u.inc, func(o *upstream, inc ids.Incarnation) int {
		if o.inc < inc {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, u)
}

// lose ends an incarnation. Its unanswered tasks may have run.
func (c *Core) lose(now time.Duration, u *upstream) {
	if u.gone {
		return
	}
	u.gone = true
	u.connected = false
	u.mailbox = mailbox{}
	c.setElsewhere(u, nil)
	if u.health == Quarantined {
		u.leaveQuarantine()
	}
	u.svc.ups = slices.DeleteFunc(u.svc.ups, func(o *upstream) bool { return o == u })
	c.reindex(u)
	c.decide(now, "lost", u.inc, ids.TaskKey{}, "incarnation expired")
	for _, a := range slices.Clone(u.attempts) {
		if a.pos >= 0 {
			c.attemptLost(now, u, a)
		}
	}
	c.claimLost(now, u)
}

// attemptLost handles a task whose outcome is unknown.
func (c *Core) attemptLost(now time.Duration, u *upstream, a *attempt) {
	c.drop(a)
	switch {
	case a.orphan:
	case a.job.batch != nil:
		c.batchTaskFailed(now, u, a, lostAnswer(a))
	case a.job.single:
		c.requestFailed(now, u, a, &wire.Answer{
			Key: a.job.key, Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost,
		})
	default:
		a.job.maybeRan = true
		c.fail(now, a.job, wire.JobFailed, verdict.Unknown(verdict.UpstreamLost,
			"upstream %d was lost while it held task %d", u.inc, a.index))
	}
}

// forget drops the row of an incarnation that no open job could have used.
func (c *Core) forget(u *upstream) {
	delete(c.ups, u.inc)
	c.upOrder = slices.DeleteFunc(c.upOrder, func(o *upstream) bool { return o == u })
}

// Connected records that the entry can reach an agent. Everything without an
// answer is asked again, since messages on the former connection may be lost.
func (c *Core) Connected(now time.Duration, up ids.Incarnation) {
	u := c.ups[up]
	if u == nil {
		c.early[up] = true
		return
	}
	c.connect(now, u)
}

// connect marks u as reachable.
func (c *Core) connect(now time.Duration, u *upstream) {
	if u.gone {
		return
	}
	u.connected = true
	u.confirmed = 0
	u.heardAt = now
	for _, a := range u.attempts {
		c.resend(now, a)
	}
	c.reclaim(now, u)
	c.reindex(u)
}

// Disconnected records that an agent can't be reached. It gets nothing new; its
// tasks stay until it answers or its incarnation is expired.
func (c *Core) Disconnected(now time.Duration, up ids.Incarnation) {
	delete(c.early, up)
	u := c.ups[up]
	if u == nil || !u.connected {
		return
	}
	u.connected = false
	u.lostAt = now
	u.mailbox.clear()
	u.credit = 0
	c.setElsewhere(u, nil)
	c.decide(now, "suspect", u.inc, ids.TaskKey{}, "disconnected")
	c.reindex(u)
	for _, a := range slices.Clone(u.attempts) {
		if a.hedgeTimer != nil && a.pos >= 0 {
			c.timers.cancel(a.hedgeTimer)
			c.hedge(now, a)
		}
	}
}

// unblock lets an upstream have work again after a refusal.
func (c *Core) unblock(now time.Duration, u *upstream) {
	if now >= u.blocked {
		u.blocked = 0
		c.reindex(u)
	}
}
