package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// taskLease is how long the sized tasks of an entry go on at an agent after a
	// message of the entry. A caller repeats a batch 1.3 s after it lost the
	// entry; the tasks have to be over by then.
	taskLease = 500 * time.Millisecond
	// leaseRenewal is the age of the last message to an agent after which the
	// lease of the tasks there is renewed, so that two messages may be late.
	leaseRenewal = 150 * time.Millisecond
	// silentAfter is the silence of an agent with tasks after which they are given
	// up. Agents answer each renewal.
	silentAfter = 500 * time.Millisecond
	// reconnectWait is how long tasks wait for a lost connection to return. It is
	// above the time for which the agent keeps them running.
	reconnectWait = 300 * time.Millisecond
	// leasePass is the time between two passes over the leases.
	leasePass = 50 * time.Millisecond
	// maxSizedTasks bounds the tasks at once of a worker whose tasks need little.
	maxSizedTasks = 4096
)

// sized reports whether u is a worker, which runs sized tasks.
func (u *upstream) sized() bool { return !u.member.Capacity.IsZero() }

// heard takes over the agent's clock from a report.
func (u *upstream) heard(now time.Duration, clockMS int64) {
	u.heardAt = now
	u.silent = false
	if clockMS > 0 {
		u.clockMS, u.clockAt = clockMS, now
	}
}

// validUntilMS is the time on the agent's clock until which a message sent now
// may be acted on, zero for an upstream with slots. The agent's clock was read
// before the report arrived, so the result is never later than now + taskLease.
func (u *upstream) validUntilMS(now time.Duration) int64 {
	if !u.sized() {
		return 0
	}
	return u.agentClockMS(now + taskLease)
}

// agentClockMS is a time on the agent's clock, early by the time that the report
// took which carried the clock.
func (u *upstream) agentClockMS(at time.Duration) int64 {
	return u.clockMS + (at - u.clockAt).Milliseconds()
}

// renewLeases renews the leases of the tasks at workers, and gives up the tasks
// at workers that have gone silent.
func (c *Core) renewLeases(now time.Duration) {
	if c.leaseAt == 0 || now < c.leaseAt {
		return
	}
	c.leaseAt = 0
	for _, u := range c.upOrder {
		if !u.sized() || u.gone || len(u.attempts) == 0 {
			continue
		}
		c.leaseAt = now + leasePass
		if u.unreachable(now) {
			c.giveUpTasks(now, u)
			continue
		}
		if u.connected && now-u.mailAt >= leaseRenewal && u.hasLiveAttempt() {
			u.renew = true
			c.mark(u)
		}
	}
}

// unreachable reports whether u has been silent or without a connection for too
// long while it holds tasks.
func (u *upstream) unreachable(now time.Duration) bool {
	if !u.connected {
		return now-u.lostAt > reconnectWait
	}
	oldest := now
	for _, a := range u.attempts {
		oldest = min(oldest, a.sentAt)
	}
	return now-max(u.heardAt, oldest) > silentAfter
}

// hasLiveAttempt reports whether somebody waits for a task at u. The lease of
// other tasks is left to run out.
func (u *upstream) hasLiveAttempt() bool {
	for _, a := range u.attempts {
		if !a.orphan {
			return true
		}
	}
	return false
}

// giveUpTasks fails the batches that have tasks at an unreachable worker. It is
// not known whether the tasks go on, so they are not started elsewhere. Their
// aborts stay queued until the agent can be reached.
func (c *Core) giveUpTasks(now time.Duration, u *upstream) {
	if !u.silent {
		u.silent = true
		c.decide(now, "silent", u.inc, lostKey(u), "no answer to a renewal")
		c.reindex(u)
	}
	for i := 0; i < len(u.attempts); i++ {
		a := u.attempts[i]
		if a.orphan || a.job.batch == nil {
			continue
		}
		a.job.maybeRan = true
		c.fail(now, a.job, wire.JobFailed, verdict.Unknown(verdict.UpstreamLost,
			"the agent of upstream %d does not answer", u.inc))
	}
}
