package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// Health is the state that decides how much new work an upstream gets.
type Health string

// The health states.
const (
	Healthy     Health = "healthy"
	Cold        Health = "cold"        // new; its number of tasks ramps up
	Recovering  Health = "recovering"  // out of quarantine; its number of tasks ramps up
	Flapping    Health = "trickle"     // registers too often; gets one task at a time
	Quarantined Health = "quarantined" // gets probes only
)

// upstream is the state of one incarnation of an upstream.
type upstream struct {
	incarnation  ids.Incarnation
	member       wire.Member
	svc          *service
	connected    bool
	lost         bool          // its incarnation has ended
	agentDrains  bool          // its agent reports that it takes no new work
	reportedDown bool          // its agent can't reach the upstream
	blockedUntil time.Duration // no new work until then, zero if not blocked
	backoff      time.Duration // length of the last block, doubled by the next

	credit            int            // number of tasks that the agent lets this entry hold
	outstanding       int            // attempts without an answer
	otherEntryTasks   int            // tasks of other entries there
	reportedOtherSize wire.Resources // what these take at a worker, zero if the agent doesn't say
	ownSize           wire.Resources // what the attempts without an answer take at a worker
	queuedTasks       int            // tasks of all entries that have not started there
	// otherEntryRate lists the rates of the teams there for other entries.
	otherEntryRate []teamRate
	lastReportAt   time.Duration

	// The following fields are used for workers only.
	reportedClockMS       int64         // the agent's clock at clockReportedAt
	clockReportedAt       time.Duration // zero until a report has carried the clock
	lastHeardAt           time.Duration // time of the last message from the agent or of the connection
	disconnectedAt        time.Duration // when the connection was lost
	lastSentAt            time.Duration // time of the last message to the agent
	logDeclaredRatio      float64       // logarithm of true over declared run times
	priorLogDeclaredRatio float64       // logDeclaredRatio before the first report of the incarnation
	unfit                 bool          // its agent reports failed or long overdue tasks and takes one task at a time
	silent                bool          // has not answered for silentAfter
	leaseRenewalDue       bool          // the next message renews the lease of the tasks there
	// attemptsConfirmedAt is when a report last accounted for all attempts here.
	attemptsConfirmedAt time.Duration

	attempts       []*attempt
	outbox         outbox
	markedForSend  bool // in Core.markedUpstreams
	flushScheduled bool // a flushTimer is set

	relativeSlowness estimate // run time relative to the service's taskWork
	recentResidual   float64  // moving average of the residual of relativeSlowness over few samples
	stallLogCost     float64  // added to the logarithm of slowness while most of its tasks are overdue, for workers while unfit
	health           Health
	rampUpLimit      int     // largest number of outstanding tasks until healthy
	failureRate      float64 // moving average
	failureStreak    int     // failures since the last success
	successStreak    int     // successes since the last failure
	nextProbeAt      time.Duration
	probeInterval    time.Duration
	quarantinedAt    time.Duration
	flappingUntil    time.Duration // when the limit after flapping ends

	slowness          float64 // expected run time relative to the service's taskWork, with penalties
	costBucket        int     // bucket of slowness
	contribution      serviceContribution
	freeSlotIndexPos  indexPos // in service.free
	lookAheadIndexPos indexPos // in service.lookAhead
}

// serviceContribution is what an upstream has added to the sums of its service,
// kept so that the same amounts can be subtracted later.
type serviceContribution struct {
	indexed          bool // it has been added
	costBucket       int
	addedFailureRate float64
	busySlots        float64
	completionRate   float64
	usable           float64 // part of service.usable
	slots            int
}

const (
	// failureWeight is the weight of a sample in the failure rate. With it, five
	// or six failures in a row dominate the average.
	failureWeight = 0.15
	// minQuarantineStreak is the least number of failures in a row for a
	// quarantine.
	minQuarantineStreak = 3
	// certainQuarantineStreak is the number of failures in a row that is enough
	// by itself where the other upstreams mostly succeed. The failure rate alone
	// is not enough, since it decays between rare failures.
	certainQuarantineStreak = 6
	// failureDecayTime is the time in which the failure rate decays by a factor
	// of e. Without decay, an upstream that failed once would be avoided for
	// ever.
	failureDecayTime = 30 * time.Second
	// minFailureExcess is by how much the failure rate must exceed that of the
	// service's other upstreams.
	minFailureExcess = 0.35
	// minProbeInterval and maxProbeInterval bound the time to the next probe
	// after the start of a quarantine and after a probe that failed. After a
	// probe that succeeded, the next follows in a quarter of that time. A probe
	// every 2 s stays far under 1 % of the load of a busy service.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = 30 * time.Second
	// probesToRecover is the number of successes in a row that ends a
	// quarantine.
	probesToRecover = 3
	// recoveringPenalty is the factor on the slowness of a recovering upstream.
	recoveringPenalty = 1.5
	// failurePenalty scales the penalty on the slowness, which grows with the
	// square of the failure rate.
	failurePenalty = 20
)

// attributeFailure counts a failed task against an upstream. The failures of a
// job count against the first upstream on which it fails. If it fails on a
// second one as well, the job is taken to be at fault and its failures are taken
// back.
func (c *Core) attributeFailure(now time.Duration, u *upstream, j *job, ans *wire.Answer) {
	switch {
	case j.unrecorded && j.batch == nil || j.blamedUpstream == nil || j.blamedUpstream == u:
		j.blamedUpstream = u
		j.blamedFailures++
		c.recordFailure(now, u, string(ans.Reason))
	case j.blamedFailures > 0:
		c.clearBlamedFailures(now, j)
	}
}

// clearBlamedFailures takes back the failures that a job has counted against an
// upstream.
func (c *Core) clearBlamedFailures(now time.Duration, j *job) {
	u := j.blamedUpstream
	for ; j.blamedFailures > 0; j.blamedFailures-- {
		u.failureRate = max((u.failureRate-failureWeight)/(1-failureWeight), 0)
		u.failureStreak = max(u.failureStreak-1, 0)
	}
	if u.health == Quarantined && u.failureStreak < minQuarantineStreak && !u.lost {
		c.endQuarantine(now, u)
	}
	c.reindex(u)
}

// recordFailure records a failed task on u and quarantines u if it fails more
// often than the other upstreams do.
func (c *Core) recordFailure(now time.Duration, u *upstream, why string) {
	u.failureStreak++
	u.successStreak = 0
	u.failureRate += failureWeight * (1 - u.failureRate)
	switch u.health {
	case Quarantined:
		u.probeInterval = min(2*u.probeInterval, maxProbeInterval)
		u.nextProbeAt = now + u.probeInterval
	default:
		if c.shouldQuarantine(u) {
			c.quarantine(now, u, why)
		}
	}
	c.reindex(u)
}

// decayFailureRates lets the failure rates of the upstreams outside quarantine
// decay.
func (c *Core) decayFailureRates(s *service) {
	for _, u := range s.upstreams {
		if u.failureRate == 0 || u.health == Quarantined {
			continue
		}
		u.failureRate -= u.failureRate * sweepInterval.Seconds() / failureDecayTime.Seconds()
		if u.failureRate < 0.01 {
			u.failureRate = 0
		}
		c.reindex(u)
	}
}

// shouldQuarantine reports whether u fails so much more often than the rest of
// its service that it belongs in quarantine, and quarantineLimit leaves room for
// it.
func (c *Core) shouldQuarantine(u *upstream) bool {
	s := u.svc
	if u.health == Recovering && u.failureStreak > 0 {
		return s.quarantinedCount < c.quarantineLimit(s)
	}
	others := s.otherUpstreamsFailureRate(u)
	bad := u.failureStreak >= minQuarantineStreak && u.failureRate >= others+minFailureExcess
	bad = bad || u.failureStreak >= certainQuarantineStreak && others < minFailureExcess
	return bad && s.quarantinedCount < c.quarantineLimit(s)
}

// quarantineLimit returns how many upstreams of a service may be in quarantine
// at once.
func (c *Core) quarantineLimit(s *service) int {
	limit := int(c.cfg.QuarantineShare * float64(len(s.upstreams)))
	if limit == 0 && len(s.upstreams) > 1 && c.cfg.QuarantineShare > 0 {
		return 1
	}
	return limit
}

// otherUpstreamsFailureRate returns the mean failure rate of the upstreams other
// than u that are not in quarantine.
func (s *service) otherUpstreamsFailureRate(u *upstream) float64 {
	n := len(s.upstreams) - s.quarantinedCount - 1
	if n <= 0 {
		return 0
	}
	return max(s.failureRateSum-u.failureRate, 0) / float64(n)
}

// quarantine takes u out of service except for probes.
func (c *Core) quarantine(now time.Duration, u *upstream, why string) {
	u.health = Quarantined
	u.svc.quarantinedCount++
	u.svc.quarantined = append(u.svc.quarantined, u)
	u.quarantinedAt = now
	u.probeInterval = max(u.probeInterval, minProbeInterval)
	u.nextProbeAt = now + u.probeInterval
	c.recordDecision(now, "quarantine", u.incarnation, ids.TaskKey{}, why)
	c.recallAllLookAhead(now, u)
}

// recordSuccess records a task that u ran without failure. Tasks sent before its
// quarantine don't count as probes.
func (c *Core) recordSuccess(now time.Duration, u *upstream, sentAt time.Duration) {
	if u.health == Quarantined && sentAt < u.quarantinedAt {
		return
	}
	u.failureStreak = 0
	u.successStreak++
	u.backoff = 0
	u.failureRate -= failureWeight * u.failureRate
	switch u.health {
	case Quarantined:
		u.nextProbeAt = now + u.probeInterval/4
		if u.successStreak >= probesToRecover {
			c.endQuarantine(now, u)
		}
	case Cold, Recovering:
		u.rampUpLimit++
		if u.rampUpLimit >= u.slots()+c.cfg.LookAhead {
			u.health = Healthy
			u.probeInterval = 0
		}
	case Flapping:
		if now >= u.flappingUntil {
			u.health = Cold
		}
	}
}

// endQuarantine returns u to service and starts its ramp-up.
func (c *Core) endQuarantine(now time.Duration, u *upstream) {
	u.removeFromQuarantined()
	u.health = Recovering
	u.rampUpLimit = 1
	u.failureRate = 0
	c.recordDecision(now, "release", u.incarnation, ids.TaskKey{}, "probes succeeded")
}

// removeFromQuarantined removes u from its service's list of quarantined
// upstreams.
func (u *upstream) removeFromQuarantined() {
	s := u.svc
	for i, q := range s.quarantined {
		if q == u {
			s.quarantined = append(s.quarantined[:i], s.quarantined[i+1:]...)
			s.quarantinedCount--
			return
		}
	}
}

// slots returns the number of tasks of typical size that u runs at once, at least 1 for a
// worker.
func (u *upstream) slots() int {
	if u.isWorker() {
		return u.member.Capacity.CountFitting(u.typicalSize(), maxSizedTasks)
	}
	n := u.member.Slots
	if u.member.Connections > 0 {
		n = min(n, u.member.Connections)
	}
	if u.svc.cfg.Slots > 0 && (n == 0 || u.svc.cfg.Slots < n) {
		n = u.svc.cfg.Slots
	}
	return n
}

// usable reports whether u may get new work now, apart from probes.
func (u *upstream) usable() bool { return u.serving() && u.blockedUntil == 0 }

// serving reports whether u counts towards the capacity of its service. A block
// after a refusal doesn't matter here: it is too short to refuse new work for.
func (u *upstream) serving() bool {
	return u.connected && !u.lost && !u.draining() && !u.reportedDown && !u.silent
}

// draining reports whether u gets no new work because its agent or the registry says so.
func (u *upstream) draining() bool { return u.agentDrains || u.member.Draining }

// rampUpAfterDrain starts the ramp-up of an upstream whose drain has ended. It may be
// slow at first, and entries that learn of the end at the same time would fill it at once.
func (u *upstream) rampUpAfterDrain(wasDraining bool) {
	if wasDraining && !u.draining() && u.health == Healthy {
		u.health = Cold
		u.rampUpLimit = coldWindow
	}
}

// block stops new work for u for a moment after a refusal. Each refusal in a row
// doubles the time, up to a second.
func (c *Core) block(now time.Duration, u *upstream, first time.Duration) {
	u.backoff = min(max(2*u.backoff, first), time.Second)
	u.blockedUntil = now + u.backoff
	c.timers.add(u.blockedUntil, &timer{kind: unblockTimer, target: u})
	c.reindex(u)
}
