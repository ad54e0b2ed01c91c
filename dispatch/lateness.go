package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Objective tells by when an answer should be there: Fixed, and Stretch times the
// longest chain of run times on an average worker, after the arrival. The true run
// times count, so a batch that runs longer than declared may also take longer.
type Objective struct {
	Fixed   time.Duration
	Stretch float64
}

// outlook is what is known of the run times of a batch: they exceed the declared
// ones on an average worker by a factor whose logarithm is normal.
type outlook struct {
	factor float64 // median
	sigma  float64 // standard deviation of the logarithm
}

const (
	// unevenness is the standard deviation of the logarithm of the run times of a
	// batch's tasks around their mean. The speed of a worker is known no better.
	unevenness = 0.15
	// resolution is the least standard deviation, in seconds, of when an answer is
	// there: messages take about as long.
	resolution = 2e-3
	// maxMissRisk is the probability of missing the deadline that is taken on a
	// worker that is not among the fastest.
	maxMissRisk = 0.03
	// needyRisk is the probability of missing the deadline on an average worker above
	// which a task needs a fast one. fastRange is the range of slowness, from that of
	// the fastest worker, that counts as fast.
	needyRisk = 0.05
	fastRange = 1.25
	// lateLoss is the part of its worth that a late answer loses.
	lateLoss = 0.8
	// doomed is the probability of missing the deadline above which a batch is failed.
	doomed = 0.95
)

// outlook returns what is known of j. Its tasks share most of the error of their
// declared run times, so those that have ended tell of the others.
func (j *job) outlook() outlook {
	b := j.batch
	scale := math.Exp(j.svc.basePace)
	if b.ended == 0 {
		return outlook{factor: scale * b.prior.factor, sigma: b.prior.sigma}
	}
	prior, seen := 1/(b.prior.sigma*b.prior.sigma), float64(b.ended)/(unevenness*unevenness)
	mean := (prior*math.Log(b.prior.factor) + seen*b.ratio/float64(b.ended)) / (prior + seen)
	return outlook{
		factor: scale * math.Exp(mean),
		sigma:  math.Sqrt(1/(prior+seen) + unevenness*unevenness),
	}
}

// outlookOf returns what is known of a batch before it has been taken in.
func (s *service) outlookOf(b Batch) outlook {
	o := s.runTimes(b.Queue).expect(Chain(b.Steps).Seconds())
	o.factor *= math.Exp(s.basePace)
	return o
}

// missing is the probability that a task of the given declared run time, in
// seconds, that starts now ends after a time on a worker of the given slowness.
func (o outlook) missing(now, by time.Duration, runTime, slow float64) float64 {
	if runTime <= 0 {
		return 0
	}
	slack := (by - now).Seconds()
	if slack <= 0 {
		return 1
	}
	return normalAbove(math.Log(slack/(runTime*o.factor*slow)) / o.sigma)
}

// mayEnd reports whether a task of the given declared run time, in seconds, has a
// fair chance to end in time on a worker of the given slowness.
func (o outlook) mayEnd(now, deadline time.Duration, runTime, slow float64) bool {
	return now+seconds(runTime*o.factor*slow) < deadline
}

// needsFast reports whether a task may well end after its caller has left unless
// it runs on a fast worker.
func (o outlook) needsFast(now, deadline time.Duration, runTime float64) bool {
	return o.missing(now, deadline, runTime, 1) > needyRisk
}

// late is the probability that a batch is late of which a task starts after a wait
// on a worker of the given slowness. runTime is the declared run time of the task,
// rest that of the steps that wait for it, chain that of the whole batch, in seconds.
//
// Both the end and the objective grow with the factor by which run times exceed
// the declared ones, so a task that starts at once is late only on a worker slower
// than the objective's stretch, however wrong the declared time is.
func (o outlook) late(waited time.Duration, goal Objective, chain, runTime, rest, slow float64) float64 {
	spare, deviation := o.spare(goal, chain, runTime*slow, rest)
	overdue := (waited - goal.Fixed).Seconds()
	return normalAbove((spare - overdue) / deviation)
}

// latestWait is the wait after which a batch is late with a probability, given in
// standard errors, although its tasks start on a worker of the given slowness.
func (o outlook) latestWait(goal Objective, chain, slow, errors float64) time.Duration {
	spare, deviation := o.spare(goal, chain, chain*slow, 0)
	return goal.Fixed + seconds(spare-errors*deviation)
}

// spare returns by how many seconds the objective exceeds the rest of a batch, apart
// from its fixed part, and the standard deviation of that.
func (o outlook) spare(goal Objective, chain, run, rest float64) (mean, deviation float64) {
	mean = o.factor * (goal.Stretch*chain - run - rest)
	deviation = math.Hypot(mean*o.sigma, o.factor*run*unevenness)
	return mean, max(deviation, resolution)
}

// normalAbove is the probability that a standard normal variable exceeds z.
func normalAbove(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// lateness is the probability that j is late if its next task starts now on a
// worker of the given slowness.
func (s *service) lateness(now time.Duration, j *job, slow float64) float64 {
	b, st := j.batch, j.stepAt(j.peek())
	return j.outlook().late(now-b.begun, b.objective, b.chain, st.runTime, st.rest, slow)
}

// loss is what a batch is expected to lose by its next task that starts now on a
// worker of the given slowness, from 0 to 1: a late answer loses most of its worth,
// and one after the deadline all of it.
func (s *service) loss(now time.Duration, j *job, slow float64) float64 {
	missed := j.outlook().missing(now, j.deadline, j.stepAt(j.peek()).runTime, slow)
	return lateLoss*max(s.lateness(now, j, slow), missed) + (1-lateLoss)*missed
}

// mayRisk reports whether a task of the given declared run time, in seconds, may be
// placed on a worker of the given slowness. One that misses its deadline there has
// taken the room of others for nothing, and the work of its whole batch is lost.
func (s *service) mayRisk(o outlook, now, deadline time.Duration, runTime, slow float64) bool {
	return o.missing(now, deadline, runTime, slow) <= maxMissRisk ||
		slow <= s.fastest*fastRange && o.mayEnd(now, deadline, runTime, slow)
}

// endDoomed fails a batch once the tasks that have ended show that one that still
// runs will not end before the deadline.
func (c *Core) endDoomed(now time.Duration, j *job) {
	o := j.outlook()
	for i := range j.tasks {
		a := j.tasks[i].primary
		if a == nil || o.missing(a.sentAt, j.deadline, j.stepAt(i).runTime, j.slowAt(i, a.up)) < doomed {
			continue
		}
		c.fail(now, j, wire.JobFailed, c.unfinished(j, verdict.DeadlinePassed, "the run times of its tasks don't leave time for the deadline"))
		return
	}
}
