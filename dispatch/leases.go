package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// leaseRenewalShare is the part of its lease after which an entry renews it.
	// Two such messages may be late before the lease runs out.
	leaseRenewalShare = 0.3
	// reconnectWaitFactor is the time that tasks wait for a lost connection to
	// return, as a multiple of the time that the agent keeps them running.
	reconnectWaitFactor = 1.5
	// leaseCheckInterval is the time between two checks of the leases.
	leaseCheckInterval = 50 * time.Millisecond
	// maxSizedTasks bounds the number of slots of a worker whose tasks need
	// little.
	maxSizedTasks = 4096
)

// isWorker reports whether u is a worker, which runs sized tasks.
func (u *upstream) isWorker() bool { return !u.member.Capacity.IsZero() }

// leaseRenewal returns the age of the last message to an agent from which the
// lease of the tasks there is renewed.
func (c *Core) leaseRenewal() time.Duration {
	return time.Duration(leaseRenewalShare * float64(c.cfg.Leases.Entry))
}

// silentAfter returns the silence of an agent with tasks after which their
// batches are failed. An agent answers a renewal with a report if its last
// report to the entry is 100 ms old or older.
func (c *Core) silentAfter() time.Duration { return c.cfg.Leases.Entry }

// reconnectWait returns how long tasks wait for a lost connection to return.
func (c *Core) reconnectWait() time.Duration {
	return time.Duration(reconnectWaitFactor * float64(c.cfg.Leases.Reconnect))
}

// recordContact records a message of the agent and the clock that it carries.
func (u *upstream) recordContact(now time.Duration, reportedClockMS int64) {
	u.lastHeardAt = now
	u.silent = false
	if reportedClockMS > 0 {
		u.reportedClockMS, u.clockReportedAt = reportedClockMS, now
	}
}

// validUntilMS returns the time on the agent's clock until which a message sent
// now may be acted on, zero for an upstream with slots. The agent read its clock
// before the report arrived, so the result is never later than the end of the
// lease.
func (c *Core) validUntilMS(now time.Duration, u *upstream) int64 {
	if !u.isWorker() {
		return 0
	}
	return u.agentClockMS(now + c.cfg.Leases.Entry)
}

// agentClockMS converts a time to the agent's clock. The result is early by the
// time that the report which carried the clock took.
func (u *upstream) agentClockMS(at time.Duration) int64 {
	return u.reportedClockMS + (at - u.clockReportedAt).Milliseconds()
}

// renewLeases renews the leases of the tasks at workers, and fails the batches
// with tasks at workers that don't answer.
func (c *Core) renewLeases(now time.Duration) {
	if c.nextLeaseCheckAt == 0 || now < c.nextLeaseCheckAt {
		return
	}
	c.nextLeaseCheckAt = 0
	for _, u := range c.sortedUpstreams {
		if !u.isWorker() || u.lost || len(u.attempts) == 0 {
			continue
		}
		c.nextLeaseCheckAt = now + leaseCheckInterval
		if c.isUnreachable(now, u) {
			c.failUnreachableBatches(now, u)
			continue
		}
		if u.connected && now-u.lastSentAt >= c.leaseRenewal() && u.hasAwaitedAttempt() {
			u.leaseRenewalDue = true
			c.markForSend(u)
		}
	}
}

// isUnreachable reports whether u has been silent or without a connection for
// too long while it holds tasks.
func (c *Core) isUnreachable(now time.Duration, u *upstream) bool {
	if !u.connected {
		return now-u.disconnectedAt > c.reconnectWait()
	}
	oldest := now
	for _, a := range u.attempts {
		oldest = min(oldest, a.sentAt)
	}
	return now-max(u.lastHeardAt, oldest) > c.silentAfter()
}

// hasAwaitedAttempt reports whether somebody waits for a task at u. The lease of
// other tasks is left to run out.
func (u *upstream) hasAwaitedAttempt() bool {
	for _, a := range u.attempts {
		if !a.abandoned {
			return true
		}
	}
	return false
}

// failUnreachableBatches fails the batches that have tasks at an unreachable
// worker. It is unknown whether the tasks go on, so they are not started
// elsewhere. Their aborts stay in the outbox until the agent can be reached.
func (c *Core) failUnreachableBatches(now time.Duration, u *upstream) {
	if !u.silent {
		u.silent = true
		c.recordDecision(now, "silent", u.incarnation, firstAttemptKey(u), "no answer to a renewal")
		c.reindex(u)
	}
	for i := 0; i < len(u.attempts); i++ {
		a := u.attempts[i]
		if a.abandoned || a.job.batch == nil {
			continue
		}
		a.job.mayHaveRun = true
		c.failJob(now, a.job, wire.JobFailed, verdict.Unknown(verdict.UpstreamLost,
			"the agent of upstream %d does not answer", u.incarnation))
	}
}
