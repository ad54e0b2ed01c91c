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

// runTimeFactor is what is known of the run times of a batch: they exceed the declared
// ones on an average worker by a factor whose logarithm is normal.
type runTimeFactor struct {
	median float64 // median
	sigma  float64 // standard deviation of the logarithm
}

const (
	// taskSigma is the standard deviation of the logarithm of the run times of a
	// batch's tasks around their mean. The speed of a worker is known no better.
	taskSigma = 0.15
	// minLateDeviation is the least standard deviation, in seconds, of when an answer is
	// there: messages take about as long.
	minLateDeviation = 2e-3
	// maxMissRisk is the probability of missing the deadline that is taken on a
	// worker that is not among the fastest.
	maxMissRisk = 0.03
	// fastWorkerMissRisk is the probability of missing the deadline on an average worker above
	// which a task needs a fast one. fastRange is the range of slowness, from that of
	// the fastest worker, that counts as fast.
	fastWorkerMissRisk = 0.05
	fastSlownessRange  = 1.25
	// lateAnswerLoss is the part of its worth that a late answer loses.
	lateAnswerLoss = 0.8
	// failMissProbability is the probability of missing the deadline above which a batch is failed.
	failMissProbability = 0.95
)

// runTimeFactor returns what is known of j. Its tasks share most of the error of their
// declared run times, so those that have ended tell of the others.
func (j *job) runTimeFactor() runTimeFactor {
	b := j.batch
	scale := math.Exp(j.svc.meanLogRunRatio)
	if b.measuredTasks == 0 {
		return runTimeFactor{median: scale * b.prior.median, sigma: b.prior.sigma}
	}
	prior, seen := 1/(b.prior.sigma*b.prior.sigma), float64(b.measuredTasks)/(taskSigma*taskSigma)
	mean := (prior*math.Log(b.prior.median) + seen*b.logRunRatioSum/float64(b.measuredTasks)) / (prior + seen)
	return runTimeFactor{
		median: scale * math.Exp(mean),
		sigma:  math.Sqrt(1/(prior+seen) + taskSigma*taskSigma),
	}
}

// runTimeFactorOf returns what is known of a batch before it has been taken in.
func (s *service) runTimeFactorOf(b Batch) runTimeFactor {
	o := s.runTimeRegression(b.Queue).predictFactor(Chain(b.Steps).Seconds())
	o.median *= math.Exp(s.meanLogRunRatio)
	return o
}

// missProbability is the probability that a task of the given declared run time, in
// seconds, that starts now ends after a time on a worker of the given slowness.
func (o runTimeFactor) missProbability(now, by time.Duration, runTime, slowness float64) float64 {
	if runTime <= 0 {
		return 0
	}
	slack := (by - now).Seconds()
	if slack <= 0 {
		return 1
	}
	return normalAbove(math.Log(slack/(runTime*o.median*slowness)) / o.sigma)
}

// mayMeetDeadline reports whether a task of the given declared run time, in seconds, has a
// fair chance to end in time on a worker of the given slowness.
func (o runTimeFactor) mayMeetDeadline(now, deadline time.Duration, runTime, slowness float64) bool {
	return now+seconds(runTime*o.median*slowness) < deadline
}

// needsFastWorker reports whether a task may well end after its caller has left unless
// it runs on a fast worker.
func (o runTimeFactor) needsFastWorker(now, deadline time.Duration, runTime float64) bool {
	return o.missProbability(now, deadline, runTime, 1) > fastWorkerMissRisk
}

// lateProbability is the probability that a batch is lateProbability of which a task starts after a wait
// on a worker of the given slowness. runTime is the declared run time of the task,
// rest that of the steps that wait for it, chain that of the whole batch, in seconds.
//
// Both the end and the objective grow with the factor by which run times exceed
// the declared ones, so a task that starts at once is lateProbability only on a worker slower
// than the objective's stretch, however wrong the declared time is.
func (o runTimeFactor) lateProbability(waited time.Duration, goal Objective, chain, runTime, rest, slowness float64) float64 {
	slack, deviation := o.slack(goal, chain, runTime*slowness, rest)
	overdue := (waited - goal.Fixed).Seconds()
	return normalAbove((slack - overdue) / deviation)
}

// latestWait is the wait after which a batch is late with a probability, given in
// standard errors, although its tasks start on a worker of the given slowness.
func (o runTimeFactor) latestWait(goal Objective, chain, slowness, errors float64) time.Duration {
	slack, deviation := o.slack(goal, chain, chain*slowness, 0)
	return goal.Fixed + seconds(slack-errors*deviation)
}

// slack returns by how many seconds the objective exceeds the rest of a batch, apart
// from its fixed part, and the standard deviation of that.
func (o runTimeFactor) slack(goal Objective, chain, run, rest float64) (mean, deviation float64) {
	mean = o.median * (goal.Stretch*chain - run - rest)
	deviation = math.Hypot(mean*o.sigma, o.median*run*taskSigma)
	return mean, max(deviation, minLateDeviation)
}

// normalAbove is the probability that a standard normal variable exceeds z.
func normalAbove(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// nextTaskLateProbability is the probability that j is late if its next task starts now on a
// worker of the given slowness.
func (s *service) nextTaskLateProbability(now time.Duration, j *job, slowness float64) float64 {
	b, st := j.batch, j.stepOfTask(j.nextTask())
	return j.runTimeFactor().lateProbability(now-b.arrivedAt, b.objective, b.chainRunTime, st.runTime, st.remainingChain, slowness)
}

// expectedLoss is what a batch is expected to lose by its next task that starts now on a
// worker of the given slowness, from 0 to 1: a late answer loses most of its worth,
// and one after the deadline all of it.
func (s *service) expectedLoss(now time.Duration, j *job, slowness float64) float64 {
	missed := j.runTimeFactor().missProbability(now, j.deadline, j.stepOfTask(j.nextTask()).runTime, slowness)
	return lateAnswerLoss*max(s.nextTaskLateProbability(now, j, slowness), missed) + (1-lateAnswerLoss)*missed
}

// missRiskAccepted reports whether a task of the given declared run time, in seconds, may be
// placed on a worker of the given slowness. One that misses its deadline there has
// taken the room of others for nothing, and the work of its whole batch is lost.
func (s *service) missRiskAccepted(o runTimeFactor, now, deadline time.Duration, runTime, slowness float64) bool {
	return o.missProbability(now, deadline, runTime, slowness) <= maxMissRisk ||
		slowness <= s.minSlowness*fastSlownessRange && o.mayMeetDeadline(now, deadline, runTime, slowness)
}

// failIfDeadlineUnreachable fails a batch once the tasks that have ended show that one that still
// runs will not end before the deadline.
func (c *Core) failIfDeadlineUnreachable(now time.Duration, j *job) {
	o := j.runTimeFactor()
	for i := range j.tasks {
		a := j.tasks[i].primary
		if a == nil || o.missProbability(a.sentAt, j.deadline, j.stepOfTask(i).runTime, j.slownessAt(i, a.target)) < failMissProbability {
			continue
		}
		c.failJob(now, j, wire.JobFailed, c.unfinishedError(j, verdict.DeadlinePassed, "the run times of its tasks don't leave time for the deadline"))
		return
	}
}
