package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

const (
	// sweepInterval is the time between passes over attempts and upstreams.
	sweepInterval = 100 * time.Millisecond
	// recallWaitFactor, times 2 minus the tradeoff, is the multiple of the
	// expected wait of a look-ahead task after which, and after two round trips
	// more, it is recalled when a slot is free elsewhere.
	recallWaitFactor = 2.0
	// resendAfter is the age from which a start that the agent does not seem to
	// hold is sent again. Connections keep the order of messages, so this is
	// rare.
	resendAfter = 3 * time.Second
	// overdueFactor is the multiple of the expected run time beyond which a task
	// counts as overdue. A few tasks take this long without a fault of the
	// upstream.
	overdueFactor = 8.0
	// stallPenalty is added to the logarithm of the slowness, a factor of 4,
	// while most tasks of an upstream are overdue, and for a worker while it
	// reports to be unfit.
	stallPenalty = 1.4
)

// recallLookAhead recalls look-ahead tasks that have waited longer than
// expected, while a slot is free elsewhere and nothing waits at the entry.
func (c *Core) recallLookAhead(now time.Duration) {
	for _, s := range c.sortedServices {
		if len(s.lookAheadAttempts) == 0 || s.teamQueues.waitingTasks > 0 || s.free.size == 0 || s.taskWork.n < minLearntSamples {
			continue
		}
		for i := 0; i < len(s.lookAheadAttempts); i++ {
			a := s.lookAheadAttempts[i]
			if c.worthRecalling(now, s, a) {
				c.recall(now, a)
			}
		}
	}
}

// worthRecalling reports whether the wait of a look-ahead task is worth the two
// messages of a recall.
func (c *Core) worthRecalling(now time.Duration, s *service, a *attempt) bool {
	u := a.target
	if a.recallSent || !u.connected || u.queuedTasks == 0 {
		return false
	}
	expected := seconds(s.taskWork.mean * u.slowness / float64(max(u.slots(), 1)))
	patience := seconds(roundTrip*2) + time.Duration(recallWaitFactor*(2-c.cfg.Tradeoff)*float64(expected))
	if now-a.sentAt < patience {
		return false
	}
	best := s.free.nextBucket(0)
	return best <= u.costBucket+bucketsPerOctave
}

// recall asks the agent to give back a task that has not started.
func (c *Core) recall(now time.Duration, a *attempt) {
	a.recallSent = true
	key := a.job.taskKey(a.taskIndex)
	a.target.outbox.recalls = append(a.target.outbox.recalls, a.recall())
	c.markForSend(a.target)
	c.messageCounts.Recalls++
	c.recordDecision(now, "recall", a.target.incarnation, key, "waits in look-ahead")
}

// recall returns the message that recalls an attempt.
func (a *attempt) recall() wire.Recall {
	return wire.Recall{Key: a.job.taskKey(a.taskIndex), Epoch: a.job.epoch, Try: a.try}
}

// recallAllLookAhead recalls all look-ahead tasks at u.
func (c *Core) recallAllLookAhead(now time.Duration, u *upstream) {
	for _, a := range u.attempts {
		if a.lookAheadPos >= 0 && !a.recallSent {
			c.recall(now, a)
		}
	}
}

// sweep updates the estimates of services and upstreams, and looks for lost
// starts and overdue tasks.
func (c *Core) sweep(now time.Duration) {
	if now < c.nextSweepAt {
		return
	}
	c.nextSweepAt = now + sweepInterval
	for _, s := range c.sortedServices {
		c.recenterRelativeSlowness(s)
		c.decayFailureRates(s)
		s.updateLongestWork()
		c.recenterDeclaredRatios(s)
		s.updateFastestWorkers()
		s.raiseLeastWaiting(now)
		s.teamQueues.divideCapacity(int(s.capacity() * rateUnit))
	}
	for _, u := range c.sortedUpstreams {
		c.expireOtherEntryTasks(now, u)
		if u.lost || len(u.attempts) == 0 {
			continue
		}
		c.resendLost(now, u)
		if u.isWorker() {
			c.restartOverdueTasks(now, u)
		} else {
			c.updateStallCost(now, u)
		}
	}
}

// maxOtherEntryReportAge is the age of a report above which the tasks of other
// entries that it shows are no longer counted. Agents correct a wrong view
// within 200 ms at a tradeoff of 0.5, and within 2 s at 0.
const maxOtherEntryReportAge = 3 * time.Second

// expireOtherEntryTasks opens an upstream that an old report shows as full. If
// the message that would have corrected the report was lost, tasks would wait
// for the upstream for ever; if the upstream is full, the agent only refuses one
// start.
func (c *Core) expireOtherEntryTasks(now time.Duration, u *upstream) {
	if u.connected && u.otherEntryTasks > 0 && now-u.lastReportAt > maxOtherEntryReportAge {
		u.otherEntryTasks, u.reportedOtherSize = 0, wire.Resources{}
		c.setOtherEntryRate(u, nil)
		u.lastReportAt = now
		c.reindex(u)
	}
}

// resendLost repeats starts that the agent has not confirmed for a long time.
func (c *Core) resendLost(now time.Duration, u *upstream) {
	if !u.connected {
		return
	}
	for _, a := range u.attempts {
		if a.reportedRunning || a.sentAt < u.attemptsConfirmedAt || now-a.lastSentAt < resendAfter<<min(a.resendCount, 4) {
			continue
		}
		c.repeatLastMessage(now, a)
	}
}

// repeatLastMessage repeats the last request about an attempt, to the same
// incarnation.
func (c *Core) repeatLastMessage(now time.Duration, a *attempt) {
	a.resendCount++
	a.lastSentAt = now
	box := &a.target.outbox
	key := a.job.taskKey(a.taskIndex)
	switch {
	case a.abandoned:
		box.recalls = append(box.recalls, a.recall())
		if a.job.unrecorded {
			box.aborts = append(box.aborts, key)
		} else {
			box.cancel(wire.Ownership{Job: a.job.id, Epoch: a.job.epoch})
		}
	case a.acceptsAnyTry:
		return // the agent reports the end of adopted tasks without being asked
	default:
		box.starts = append(box.starts, a.startMessage(now))
		if a.recallSent {
			box.recalls = append(box.recalls, a.recall())
		}
	}
	c.messageCounts.Resends++
	c.markForSend(a.target)
}

// updateStallCost raises the cost of an upstream while most of its tasks are
// overdue.
func (c *Core) updateStallCost(now time.Duration, u *upstream) {
	s := u.svc
	if s.taskWork.n < minLearntSamples {
		return
	}
	limit := seconds(overdueFactor*s.taskWork.mean*u.slowness) + 5*time.Millisecond
	overdue := 0
	for _, a := range u.attempts {
		if now-a.sentAt > limit {
			overdue++
		}
	}
	stallLogCost := 0.0
	if overdue >= 2 && 2*overdue > len(u.attempts) {
		stallLogCost = stallPenalty
	}
	if stallLogCost != u.stallLogCost {
		u.stallLogCost = stallLogCost
		c.reindex(u)
	}
}

// relativeSlownessDriftLimit is the drift of the mean logarithm of
// relativeSlowness from which it is corrected.
const relativeSlownessDriftLimit = 0.1

// recenterRelativeSlowness keeps the mean logarithm of relativeSlowness near
// zero. Only differences between upstreams can be learnt, and placement
// prefers upstreams whose run time is underestimated, so the mean drifts.
func (c *Core) recenterRelativeSlowness(s *service) {
	sum, n := 0.0, 0
	for _, u := range s.upstreams {
		if u.relativeSlowness.n > 0 {
			sum += u.relativeSlowness.log
			n++
		}
	}
	if n == 0 || math.Abs(sum/float64(n)) < relativeSlownessDriftLimit {
		return
	}
	shift := sum / float64(n)
	s.taskWork.scale(shift)
	for _, u := range s.upstreams {
		if u.relativeSlowness.n > 0 {
			u.relativeSlowness.log -= shift
			c.reindex(u)
		}
	}
}
