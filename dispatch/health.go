package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Health is how far an upstream is trusted with new work.
type Health string

// The states of health.
const (
	Healthy     Health = "healthy"
	Cold        Health = "cold"        // new, ramps up
	Recovering  Health = "recovering"  // out of quarantine, ramps up
	Flapping    Health = "trickle"     // flaps, one task at a time
	Quarantined Health = "quarantined" // probes only
)

// upstream is the table row of an upstream incarnation.
type upstream struct {
	incarnation  ids.Incarnation
	member       wire.Member
	svc          *service
	connected    bool
	lost         bool
	draining     bool
	reportedDown bool
	blockedUntil time.Duration // no new work until then
	backoff      time.Duration // last block, doubled by the next

	credit          int
	outstanding     int // attempts without an answer
	otherEntryTasks int // tasks of other entries there
	queuedTasks     int // tasks queued there for all entries
	// otherEntryWork is the work of teams there for other entries.
	otherEntryWork []teamRate
	lastReportAt   time.Duration // last report

	// For workers.
	reportedClockMS  int64         // the agent's clock at clockAt
	clockReportedAt  time.Duration // zero until a report has carried the clock
	lastHeardAt      time.Duration // last message or connection
	disconnectedAt   time.Duration // when the connection was lost
	lastSentAt       time.Duration // last message to the agent
	logRunRatio      float64       // logarithm of the ratio of run times to declared ones
	priorLogRunRatio float64       // pace before the first report of the incarnation
	unfit            bool          // its agent takes one task at a time
	silent           bool          // has not answered for silentAfter
	leaseRenewalDue  bool          // the lease of the tasks there is to be renewed
	// attemptsConfirmedAt is when a report last accounted for all attempts here.
	attemptsConfirmedAt time.Duration

	attempts       []*attempt
	outbox         outbox
	markedForSend  bool
	flushScheduled bool

	runRatio       estimate // run time relative to the service's work
	recentResidual float64  // fast average of the speed's residual
	stallLogCost   float64  // penalty while its tasks are overdue
	health         Health
	rampUpLimit    int     // ramp-up limit of held tasks
	failureRate    float64 // moving average
	failureStreak  int     // failures since the last success
	successStreak  int     // successes since the last change of health
	nextProbeAt    time.Duration
	probeInterval  time.Duration
	quarantinedAt  time.Duration
	flappingUntil  time.Duration // end of the trickle after flapping

	slowness          float64 // expected run time relative to the service's work, with penalties
	costBucket        int
	contribution      serviceContribution
	freeSlotIndexPos  indexPos
	lookAheadIndexPos indexPos
}

// serviceContribution is what an upstream has contributed to the sums of its service.
type serviceContribution struct {
	indexed          bool
	costBucket       int
	addedFailureRate float64
	busySlots        float64
	completionRate   float64
	usable           float64
	slots            int
}

const (
	// failureWeight makes five or six failures in a row dominate the average.
	failureWeight = 0.15
	// minQuarantineStreak failures in a row are the least evidence for a quarantine.
	minQuarantineStreak = 3
	// certainQuarantineStreak failures in a row are enough by themselves where the others
	// mostly succeed. The average decays between rare failures.
	certainQuarantineStreak = 6
	// failureDecayTime is the time in which the failure rate decays by a factor of e.
	// Without it an upstream that failed once would be avoided for ever.
	failureDecayTime = 30 * time.Second
	// minFailureExcess is by how much the failure rate must exceed that of the service.
	minFailureExcess = 0.35
	// minProbeInterval and probeMax bound the time between probes in quarantine. A
	// probe every 2 s stays far under 1 % of the load of a busy service.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = 30 * time.Second
	// probesToRecover successes in a row end a quarantine.
	probesToRecover = 3
	// recoveringPenalty is the factor on the slowness while recovering.
	recoveringPenalty = 1.5
	// failurePenalty scales the factor on the slowness with the failure rate.
	failurePenalty = 20
)

// attributeFailure attributes a failed task. Failures of one job count against the first
// upstream on which it fails; when it fails on a second one as well, the job is
// taken to be at fault and the first upstream is cleared.
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

// clearBlamedFailures takes back the failures that a job has counted against an upstream.
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

// recordFailure records a failure of a task on u and quarantines u when it fails more
// than the other upstreams do.
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

// decayFailureRates lets the failure rates of upstreams in service decay.
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

// shouldQuarantine compares u with the rest of its service.
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

// quarantineLimit is the number of upstreams of a service that may be in quarantine.
func (c *Core) quarantineLimit(s *service) int {
	limit := int(c.cfg.QuarantineShare * float64(len(s.upstreams)))
	if limit == 0 && len(s.upstreams) > 1 && c.cfg.QuarantineShare > 0 {
		return 1
	}
	return limit
}

// otherUpstreamsFailureRate is the mean failure rate of the upstreams other than u that
// are not in quarantine.
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

// recordSuccess records a task that u ran without failure. Tasks that it started
// before its quarantine don't count as probes.
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

// endQuarantine ends a quarantine and starts the ramp-up.
func (c *Core) endQuarantine(now time.Duration, u *upstream) {
	u.removeFromQuarantined()
	u.health = Recovering
	u.rampUpLimit = 1
	u.failureRate = 0
	c.recordDecision(now, "release", u.incarnation, ids.TaskKey{}, "probes succeeded")
}

// removeFromQuarantined takes u off the list of quarantined upstreams.
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

// slots is the number of tasks that run at once on u.
func (u *upstream) slots() int {
	if u.isWorker() {
		return u.member.Capacity.Count(u.svc.taskSizes.average(), maxSizedTasks)
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

// usable reports whether u may get new work now, probes aside.
func (u *upstream) usable() bool { return u.serving() && u.blockedUntil == 0 }

// serving reports whether u counts towards the capacity of its service. A block
// after a refusal is too short to refuse new work for.
func (u *upstream) serving() bool {
	return u.connected && !u.lost && !u.draining && !u.reportedDown && !u.silent
}

// block keeps new work away from u for a moment after a refusal. The wait
// doubles with each refusal up to a second.
func (c *Core) block(now time.Duration, u *upstream, first time.Duration) {
	u.backoff = min(max(2*u.backoff, first), time.Second)
	u.blockedUntil = now + u.backoff
	c.timers.add(u.blockedUntil, &timer{kind: unblockTimer, target: u})
	c.reindex(u)
}

// estimate is a running average of positive samples, kept as the mean of the
// logarithm, which a heavy tail disturbs little, and as the plain mean.
type estimate struct {
	n    int
	log  float64
	mean float64
}

// add takes in a sample in seconds with a weight of at least floor.
func (e *estimate) add(sample, minWeight float64) {
	w := max(1/float64(e.n+1), minWeight)
	e.n++
	e.log += w * (math.Log(sample) - e.log)
	e.mean += w * (sample - e.mean)
}

// scale multiplies all samples by e^log.
func (e *estimate) scale(log float64) {
	e.log += log
	e.mean *= math.Exp(log)
}

// logOffset is the logarithm of the run time of a job's tasks relative to the
// service's average.
type logOffset struct {
	n   int
	sum float64
}

// offsetPriorSamples is the number of samples that the prior of an offset counts for.
// Run times within a job vary as much as those between jobs.
const offsetPriorSamples = 100

// shrunkTowards returns the offset shrunk towards a prior.
func (o logOffset) shrunkTowards(prior float64) float64 {
	return (o.sum + offsetPriorSamples*prior) / float64(o.n+offsetPriorSamples)
}

const (
	// minRunRatioWeight is the least weight of a sample in an upstream's speed. Speeds
	// differ by 4, run times of tasks by more, so single samples say little.
	minRunRatioWeight = 0.005
	// optimismErrors is how many standard errors an upstream's run time is taken to
	// be below its estimate. Placement avoids upstreams that seem slow, so an
	// estimate that is too high by chance would never be corrected.
	optimismErrors = 0.3
	// varianceWeight is the weight of a sample in the variance of residuals.
	varianceWeight = 0.01
	// runRatioPriorSamples delays the first samples, which would carry the task's own
	// run time into the speed.
	runRatioPriorSamples = 3
	// minWorkWeight is the least weight of a sample in the work of a service.
	minWorkWeight = 0.005
	// shiftResidual is the recent residual (a factor of 2.7) that shows a change of speed.
	shiftResidual = 1.0
	// recentResidualWeight is the weight of a sample in the recent residual.
	recentResidualWeight = 0.05
	minRunSeconds        = 50e-6 // seconds; shorter run times are not resolved
)

// learnRunTime takes in the run time of a task that ended without failure.
func (c *Core) learnRunTime(u *upstream, j *job, a *wire.Answer) {
	if a.Verdict != verdict.Ran || a.RunUS <= 0 {
		return
	}
	if u.isWorker() {
		c.learnDeclaredError(u, j, a)
		return
	}
	s := u.svc
	run := max(float64(a.RunUS)/1e6, minRunSeconds)
	x := math.Log(run)
	ref := s.taskWork.log
	if s.taskWork.n == 0 {
		ref = x
	}
	if j != nil {
		ref += j.logOffset.shrunkTowards(0)
	}
	e := x - ref - u.runRatio.log
	s.logRunTimeVariance += varianceWeight * (e*e - s.logRunTimeVariance)
	u.recentResidual += recentResidualWeight * (e - u.recentResidual)
	if math.Abs(u.recentResidual) > shiftResidual && u.runRatio.n > 8 {
		u.runRatio.n = 4
	}
	u.runRatio.log += e * max(1/float64(u.runRatio.n+1+runRatioPriorSamples), minRunRatioWeight)
	u.runRatio.n++
	taskWork := run * math.Exp(-u.runRatio.log)
	s.taskWork.add(taskWork, minWorkWeight)
	s.workHistogram.add(taskWork)
	if j != nil {
		j.logOffset.sum += x - s.taskWork.log - u.runRatio.log
		j.logOffset.n++
		j.updateRelativeRunTime()
	}
}

// learnAbortedRunTime takes in a task that was aborted while it ran. Without these the
// mean would only cover tasks short enough to end, and admission would plan with
// too little work. The rest of the task is taken to be an average one.
func (s *service) learnAbortedRunTime(u *upstream, run float64) {
	if s.taskWork.n == 0 {
		return
	}
	sample := run*math.Exp(-u.runRatio.log) + s.taskWork.mean
	s.taskWork.mean += minWorkWeight * (sample - s.taskWork.mean)
	s.workHistogram.add(sample)
}
