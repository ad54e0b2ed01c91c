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
	Trickle     Health = "trickle"     // flaps, one task at a time
	Quarantined Health = "quarantined" // probes only
)

// upstream is the table row of an upstream incarnation.
type upstream struct {
	inc       ids.Incarnation
	member    wire.Member
	svc       *service
	connected bool
	gone      bool
	draining  bool
	down      bool
	blocked   time.Duration // no new work until then
	backoff   time.Duration // last block, doubled by the next

	credit int
	held   int // attempts without an answer
	others int // tasks of other entries there
	queued int // tasks queued there for all entries
	// elsewhere is the work of teams there for other entries.
	elsewhere []teamWork
	reportAt  time.Duration // last report

	// For workers.
	clockMS int64         // the agent's clock at clockAt
	clockAt time.Duration // zero until a report has carried the clock
	heardAt time.Duration // last message or connection
	lostAt  time.Duration // when the connection was lost
	mailAt  time.Duration // last message to the agent
	pace    float64       // logarithm of the ratio of run times to declared ones
	prior   float64       // pace before the first report of the incarnation
	unfit   bool          // its agent takes one task at a time
	silent  bool          // has not answered for silentAfter
	renew   bool          // the lease of the tasks there is to be renewed
	// confirmed is when a report last accounted for all attempts here.
	confirmed time.Duration

	attempts []*attempt
	mailbox  mailbox
	marked   bool
	flushSet bool

	speed         estimate // run time relative to the service's work
	recent        float64  // fast average of the speed's residual
	stall         float64  // penalty while its tasks are overdue
	health        Health
	window        int     // ramp-up limit of held tasks
	failRate      float64 // moving average
	streak        int     // failures since the last success
	good          int     // successes since the last change of health
	probeAt       time.Duration
	probeGap      time.Duration
	quarantinedAt time.Duration
	stableAt      time.Duration // end of the trickle after flapping

	slow   float64 // expected run time relative to the service's work, with penalties
	bucket int
	weight indexed
	freeAt place
	aheadA place
}

// indexed is what an upstream has contributed to the sums of its service.
type indexed struct {
	in     bool
	bucket int
	fails  float64
	busy   float64
	rate   float64
	usable float64
	slots  int
}

const (
	// failWeight makes five or six failures in a row dominate the average.
	failWeight = 0.15
	// minStreak failures in a row are the least evidence for a quarantine.
	minStreak = 3
	// longStreak failures in a row are enough by themselves where the others
	// mostly succeed. The average decays between rare failures.
	longStreak = 6
	// failMemory is the time in which the failure rate decays by a factor of e.
	// Without it an upstream that failed once would be avoided for ever.
	failMemory = 30 * time.Second
	// failExcess is by how much the failure rate must exceed that of the service.
	failExcess = 0.35
	// probeFirst and probeMax bound the time between probes in quarantine. A
	// probe every 2 s stays far under 1 % of the load of a busy service.
	probeFirst = 2 * time.Second
	probeMax   = 30 * time.Second
	// probesToRecover successes in a row end a quarantine.
	probesToRecover = 3
	// recoveringPenalty is the factor on the slowness while recovering.
	recoveringPenalty = 1.5
	// failPenalty scales the factor on the slowness with the failure rate.
	failPenalty = 20
)

// blame attributes a failed task. Failures of one job count against the first
// upstream on which it fails; when it fails on a second one as well, the job is
// taken to be at fault and the first upstream is cleared.
func (c *Core) blame(now time.Duration, u *upstream, j *job, ans *wire.Answer) {
	switch {
	case j.single && j.batch == nil || j.blamed == nil || j.blamed == u:
		j.blamed = u
		j.blames++
		c.failed(now, u, string(ans.Reason))
	case j.blames > 0:
		c.clear(now, j)
	}
}

// clear takes back the failures that a job has counted against an upstream.
func (c *Core) clear(now time.Duration, j *job) {
	u := j.blamed
	for ; j.blames > 0; j.blames-- {
		u.failRate = max((u.failRate-failWeight)/(1-failWeight), 0)
		u.streak = max(u.streak-1, 0)
	}
	if u.health == Quarantined && u.streak < minStreak && !u.gone {
		c.release(now, u)
	}
	c.reindex(u)
}

// failed records a failure of a task on u and quarantines u when it fails more
// than the other upstreams do.
func (c *Core) failed(now time.Duration, u *upstream, why string) {
	u.streak++
	u.good = 0
	u.failRate += failWeight * (1 - u.failRate)
	switch u.health {
	case Quarantined:
		u.probeGap = min(2*u.probeGap, probeMax)
		u.probeAt = now + u.probeGap
	default:
		if c.deservesQuarantine(u) {
			c.quarantine(now, u, why)
		}
	}
	c.reindex(u)
}

// forgetFailures lets the failure rates of upstreams in service decay.
func (c *Core) forgetFailures(s *service) {
	for _, u := range s.ups {
		if u.failRate == 0 || u.health == Quarantined {
			continue
		}
		u.failRate -= u.failRate * sweepInterval.Seconds() / failMemory.Seconds()
		if u.failRate < 0.01 {
			u.failRate = 0
		}
		c.reindex(u)
	}
}

// deservesQuarantine compares u with the rest of its service.
func (c *Core) deservesQuarantine(u *upstream) bool {
	s := u.svc
	if u.health == Recovering && u.streak > 0 {
		return s.quar < c.quarantineLimit(s)
	}
	others := s.othersFailRate(u)
	bad := u.streak >= minStreak && u.failRate >= others+failExcess
	bad = bad || u.streak >= longStreak && others < failExcess
	return bad && s.quar < c.quarantineLimit(s)
}

// quarantineLimit is the number of upstreams of a service that may be in quarantine.
func (c *Core) quarantineLimit(s *service) int {
	limit := int(c.cfg.QuarantineShare * float64(len(s.ups)))
	if limit == 0 && len(s.ups) > 1 && c.cfg.QuarantineShare > 0 {
		return 1
	}
	return limit
}

// othersFailRate is the mean failure rate of the upstreams other than u that
// are not in quarantine.
func (s *service) othersFailRate(u *upstream) float64 {
	n := len(s.ups) - s.quar - 1
	if n <= 0 {
		return 0
	}
	return max(s.failSum-u.failRate, 0) / float64(n)
}

// quarantine takes u out of service except for probes.
func (c *Core) quarantine(now time.Duration, u *upstream, why string) {
	u.health = Quarantined
	u.svc.quar++
	u.svc.quarantined = append(u.svc.quarantined, u)
	u.quarantinedAt = now
	u.probeGap = max(u.probeGap, probeFirst)
	u.probeAt = now + u.probeGap
	c.decide(now, "quarantine", u.inc, ids.TaskKey{}, why)
	c.recallAhead(now, u)
}

// succeeded records a task that u ran without failure. Tasks that it started
// before its quarantine don't count as probes.
func (c *Core) succeeded(now time.Duration, u *upstream, sentAt time.Duration) {
	if u.health == Quarantined && sentAt < u.quarantinedAt {
		return
	}
	u.streak = 0
	u.good++
	u.backoff = 0
	u.failRate -= failWeight * u.failRate
	switch u.health {
	case Quarantined:
		u.probeAt = now + u.probeGap/4
		if u.good >= probesToRecover {
			c.release(now, u)
		}
	case Cold, Recovering:
		u.window++
		if u.window >= u.slots()+c.cfg.LookAhead {
			u.health = Healthy
			u.probeGap = 0
		}
	case Trickle:
		if now >= u.stableAt {
			u.health = Cold
		}
	}
}

// release ends a quarantine and starts the ramp-up.
func (c *Core) release(now time.Duration, u *upstream) {
	u.leaveQuarantine()
	u.health = Recovering
	u.window = 1
	u.failRate = 0
	c.decide(now, "release", u.inc, ids.TaskKey{}, "probes succeeded")
}

// leaveQuarantine takes u off the list of quarantined upstreams.
func (u *upstream) leaveQuarantine() {
	s := u.svc
	for i, q := range s.quarantined {
		if q == u {
			s.quarantined = append(s.quarantined[:i], s.quarantined[i+1:]...)
			s.quar--
			return
		}
	}
}

// slots is the number of tasks that run at once on u.
func (u *upstream) slots() int {
	if u.sized() {
		return u.member.Capacity.CountFitting(u.svc.sizes.typical(), maxSizedTasks)
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
func (u *upstream) usable() bool { return u.serving() && u.blocked == 0 }

// serving reports whether u counts towards the capacity of its service. A block
// after a refusal is too short to refuse new work for.
func (u *upstream) serving() bool {
	return u.connected && !u.gone && !u.draining && !u.down && !u.silent
}

// block keeps new work away from u for a moment after a refusal. The wait
// doubles with each refusal up to a second.
func (c *Core) block(now time.Duration, u *upstream, first time.Duration) {
	u.backoff = min(max(2*u.backoff, first), time.Second)
	u.blocked = now + u.backoff
	c.timers.add(u.blocked, &timer{kind: unblockTimer, up: u})
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
func (e *estimate) add(sample, floor float64) {
	w := max(1/float64(e.n+1), floor)
	e.n++
	e.log += w * (math.Log(sample) - e.log)
	e.mean += w * (sample - e.mean)
}

// scale multiplies all samples by e^log.
func (e *estimate) scale(log float64) {
	e.log += log
	e.mean *= math.Exp(log)
}

// offset is the logarithm of the run time of a job's tasks relative to the
// service's average.
type offset struct {
	n   int
	sum float64
}

// offsetPrior is the number of samples that the prior of an offset counts for.
// Run times within a job vary as much as those between jobs.
const offsetPrior = 100

// value returns the offset shrunk towards a prior.
func (o offset) value(prior float64) float64 {
	return (o.sum + offsetPrior*prior) / float64(o.n+offsetPrior)
}

const (
	// speedFloor is the least weight of a sample in an upstream's speed. Speeds
	// differ by 4, run times of tasks by more, so single samples say little.
	speedFloor = 0.005
	// optimism is how many standard errors an upstream's run time is taken to
	// be below its estimate. Placement avoids upstreams that seem slow, so an
	// estimate that is too high by chance would never be corrected.
	optimism = 0.3
	// spreadWeight is the weight of a sample in the variance of residuals.
	spreadWeight = 0.01
	// speedPrior delays the first samples, which would carry the task's own
	// run time into the speed.
	speedPrior = 3
	// workFloor is the least weight of a sample in the work of a service.
	workFloor = 0.005
	// shiftLimit is the recent residual (a factor of 2.7) that shows a change of speed.
	shiftLimit = 1.0
	// recentWeight is the weight of a sample in the recent residual.
	recentWeight = 0.05
	minRun       = 50e-6 // seconds; shorter run times are not resolved
)

// learn takes in the run time of a task that ended without failure.
func (c *Core) learn(u *upstream, j *job, a *wire.Answer) {
	if a.Verdict != verdict.Ran || a.RunUS <= 0 {
		return
	}
	if u.sized() {
		c.learnError(u, j, a)
		return
	}
	s := u.svc
	run := max(float64(a.RunUS)/1e6, minRun)
	x := math.Log(run)
	ref := s.work.log
	if s.work.n == 0 {
		ref = x
	}
	if j != nil {
		ref += j.offset.value(0)
	}
	e := x - ref - u.speed.log
	s.spread += spreadWeight * (e*e - s.spread)
	u.recent += recentWeight * (e - u.recent)
	if math.Abs(u.recent) > shiftLimit && u.speed.n > 8 {
		u.speed.n = 4
	}
	u.speed.log += e * max(1/float64(u.speed.n+1+speedPrior), speedFloor)
	u.speed.n++
	work := run * math.Exp(-u.speed.log)
	s.work.add(work, workFloor)
	s.tail.add(work)
	if j != nil {
		j.offset.sum += x - s.work.log - u.speed.log
		j.offset.n++
		j.setRatio()
	}
}

// learnAborted takes in a task that was aborted while it ran. Without these the
// mean would only cover tasks short enough to end, and admission would plan with
// too little work. The rest of the task is taken to be an average one.
func (s *service) learnAborted(u *upstream, run float64) {
	if s.work.n == 0 {
		return
	}
	sample := run*math.Exp(-u.speed.log) + s.work.mean
	s.work.mean += workFloor * (sample - s.work.mean)
	s.tail.add(sample)
}
