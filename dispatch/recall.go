package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

const (
	// sweepInterval is the time between passes over attempts and upstreams.
	sweepInterval = 100 * time.Millisecond
	// recallPatience is the factor on the expected wait in look-ahead after
	// which a task is taken back when a slot is free elsewhere.
	recallPatience = 2.0
	// resendAfter is the age at which a start that the agent does not seem to
	// hold is sent again. Connections keep order, so this is rare.
	resendAfter = 3 * time.Second
	// overdueFactor is the multiple of the expected run time beyond which a
	// task counts as overdue. A few tasks take this long by themselves.
	overdueFactor = 8.0
	// stallPenalty is added to the logarithm of the cost when most tasks of an
	// upstream are overdue (a factor of 4).
	stallPenalty = 1.4
)

// recallQueued takes back tasks that wait in look-ahead longer than expected
// while a slot is free elsewhere and nothing waits at the entry.
func (c *Core) recallQueued(now time.Duration) {
	for _, s := range c.svcOrder {
		if len(s.aheads) == 0 || s.fair.waiting > 0 || s.free.size == 0 || s.work.n < learntAfter {
			continue
		}
		for i := 0; i < len(s.aheads); i++ {
			a := s.aheads[i]
			if c.worthRecalling(now, s, a) {
				c.recall(now, a)
			}
		}
	}
}

// worthRecalling weighs two further messages against the wait.
func (c *Core) worthRecalling(now time.Duration, s *service, a *attempt) bool {
	u := a.up
	if a.recalled || !u.connected || u.queued == 0 {
		return false
	}
	expected := seconds(s.work.mean * u.slow / float64(max(u.slots(), 1)))
	patience := seconds(roundTrip*2) + time.Duration(recallPatience*(2-c.cfg.Tradeoff)*float64(expected))
	if now-a.sentAt < patience {
		return false
	}
	best := s.free.next(0)
	return best <= u.bucket+bucketsPerOctave
}

// recall asks the agent to give back a task that has not started.
func (c *Core) recall(now time.Duration, a *attempt) {
	a.recalled = true
	key := a.job.keyOf(a.index)
	a.up.mailbox.recalls = append(a.up.mailbox.recalls, a.recall())
	c.mark(a.up)
	c.msgs.Recalls++
	c.decide(now, "recall", a.up.inc, key, "waits in look-ahead")
}

// recall is the message that takes an attempt back.
func (a *attempt) recall() wire.Recall {
	return wire.Recall{Key: a.job.keyOf(a.index), Epoch: a.job.epoch, Try: a.try}
}

// recallAhead takes back everything that waits in look-ahead at u.
func (c *Core) recallAhead(now time.Duration, u *upstream) {
	for _, a := range u.attempts {
		if a.apos >= 0 && !a.recalled {
			c.recall(now, a)
		}
	}
}

// sweep looks periodically for lost starts and overdue upstreams.
func (c *Core) sweep(now time.Duration) {
	if now < c.sweepAt {
		return
	}
	c.sweepAt = now + sweepInterval
	for _, s := range c.svcOrder {
		c.recenter(s)
		c.forgetFailures(s)
		s.setLongest()
		c.recenterPace(s)
		s.noteFastest()
		s.fair.divide(int(s.capacity() * rateUnit))
	}
	for _, u := range c.upOrder {
		c.doubtOthers(now, u)
		if u.gone || len(u.attempts) == 0 {
			continue
		}
		c.resendLost(now, u)
		if u.sized() {
			c.rescue(now, u)
		} else {
			c.checkStall(now, u)
		}
	}
}

// othersAge is the age of a report above which the tasks of other entries that
// it shows are no longer believed. Agents correct a wrong view within 200 ms.
const othersAge = 3 * time.Second

// doubtOthers opens an upstream that an old report shows as full. If the message
// that would have corrected it was lost, tasks would wait for it for ever; if it
// is full, the agent refuses one start.
func (c *Core) doubtOthers(now time.Duration, u *upstream) {
	if u.connected && u.others > 0 && now-u.reportAt > othersAge {
		u.others = 0
		c.setElsewhere(u, nil)
		u.reportAt = now
		c.reindex(u)
	}
}

// resendLost repeats starts that the agent has not confirmed for a long time.
func (c *Core) resendLost(now time.Duration, u *upstream) {
	if !u.connected {
		return
	}
	for _, a := range u.attempts {
		if a.running || a.sentAt < u.confirmed || now-a.resentAt < resendAfter<<min(a.resends, 4) {
			continue
		}
		c.resend(now, a)
	}
}

// resend repeats what was last asked about an attempt, to the same incarnation.
func (c *Core) resend(now time.Duration, a *attempt) {
	a.resends++
	a.resentAt = now
	m := &a.up.mailbox
	key := a.job.keyOf(a.index)
	switch {
	case a.orphan:
		m.recalls = append(m.recalls, a.recall())
		if a.job.single {
			m.aborts = append(m.aborts, key)
		} else {
			m.cancel(wire.Ownership{Job: a.job.id, Epoch: a.job.epoch})
		}
	case a.anyTry:
		return // the agent reports adopted rows by itself
	default:
		m.starts = append(m.starts, a.message(now))
		if a.recalled {
			m.recalls = append(m.recalls, a.recall())
		}
	}
	c.msgs.Resends++
	c.mark(a.up)
}

// checkStall raises the cost of an upstream most of whose tasks are overdue.
func (c *Core) checkStall(now time.Duration, u *upstream) {
	s := u.svc
	if s.work.n < learntAfter {
		return
	}
	limit := seconds(overdueFactor*s.work.mean*u.slow) + 5*time.Millisecond
	overdue := 0
	for _, a := range u.attempts {
		if now-a.sentAt > limit {
			overdue++
		}
	}
	stall := 0.0
	if overdue >= 2 && 2*overdue > len(u.attempts) {
		stall = stallPenalty
	}
	if stall != u.stall {
		u.stall = stall
		c.reindex(u)
	}
}

// recenterLimit is the drift of the mean speed (in logarithm) that is corrected.
const recenterLimit = 0.1

// recenter keeps the mean logarithm of the speeds near zero. Only differences of
// speeds can be learnt, and placement prefers upstreams whose run time is
// underestimated, so their mean drifts.
func (c *Core) recenter(s *service) {
	sum, n := 0.0, 0
	for _, u := range s.ups {
		if u.speed.n > 0 {
			sum += u.speed.log
			n++
		}
	}
	if n == 0 || math.Abs(sum/float64(n)) < recenterLimit {
		return
	}
	shift := sum / float64(n)
	s.work.scale(shift)
	for _, u := range s.ups {
		if u.speed.n > 0 {
			u.speed.log -= shift
			c.reindex(u)
		}
	}
}
