package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Objective is the time after arrival within which an answer is on time: Fixed
// plus Stretch times the longest chain of run times on an average worker. The
// true run times count, so a batch that runs longer than declared may also take
// longer.
type Objective struct {
	Fixed   time.Duration
	Stretch float64
}

// runTimeFactor is the distribution of the factor by which the run times of a
// batch on an average worker exceed the declared ones. It is log-normal.
type runTimeFactor struct {
	median float64
	sigma  float64 // standard deviation of the logarithm
}

const (
	// taskSigma is the standard deviation of the logarithm of the run times of a
	// batch's tasks around their mean. The speed of a worker is not known more
	// precisely.
	taskSigma = 0.15
	// minLateDeviation is the least standard deviation, in seconds, of the time
	// of an answer. It is about the time that messages take.
	minLateDeviation = 2e-3
	// maxMissRisk is the largest accepted probability of missing the deadline on
	// a worker that is not among the fast ones.
	maxMissRisk = 0.03
	// fastWorkerMissRisk is the probability of missing the deadline on an
	// average worker above which a task needs a fast one. fastSlownessRange is
	// the factor on the slowness of the fastest worker up to which a worker
	// counts as fast.
	fastWorkerMissRisk = 0.05
	fastSlownessRange  = 1.25
	// lateAnswerLoss is the share of its value that a late answer loses.
	lateAnswerLoss = 0.8
	// failMissProbability is the probability of missing the deadline from which
	// a batch is failed.
	failMissProbability = 0.95
)

// runTimeFactor returns the distribution for the tasks of j that have not ended.
// Tasks of one batch share most of the error of their declared run times, so the
// measured ones narrow the distribution for the others.
func (j *job) runTimeFactor() runTimeFactor {
	b := j.batch
	scale := math.Exp(j.svc.meanLogDeclaredRatio)
	if b.measuredTasks == 0 {
		return runTimeFactor{median: scale * b.prior.median, sigma: b.prior.sigma}
	}
	prior, seen := 1/(b.prior.sigma*b.prior.sigma), float64(b.measuredTasks)/(taskSigma*taskSigma)
	mean := (prior*math.Log(b.prior.median) + seen*b.logExpectedRatioSum/float64(b.measuredTasks)) / (prior + seen)
	return runTimeFactor{
		median: scale * math.Exp(mean),
		sigma:  math.Sqrt(1/(prior+seen) + taskSigma*taskSigma),
	}
}

// runTimeFactorOf returns the distribution for a batch before it is taken in.
func (s *service) runTimeFactorOf(b Batch) runTimeFactor {
	factor := s.runTimeRegression(b.Queue).predictFactor(LongestChain(b.Steps).Seconds())
	factor.median *= math.Exp(s.meanLogDeclaredRatio)
	return factor
}

// missProbability returns the probability that a task of the given declared run
// time, in seconds, that starts now on a worker of the given slowness ends later
// than by.
func (f runTimeFactor) missProbability(now, by time.Duration, runTime, slowness float64) float64 {
	if runTime <= 0 {
		return 0
	}
	slack := (by - now).Seconds()
	if slack <= 0 {
		return 1
	}
	return normalAbove(math.Log(slack/(runTime*f.median*slowness)) / f.sigma)
}

// mayMeetDeadline reports whether a task of the given declared run time, in
// seconds, ends in time with a probability of at least one half on a worker of
// the given slowness.
func (f runTimeFactor) mayMeetDeadline(now, deadline time.Duration, runTime, slowness float64) bool {
	return now+seconds(runTime*f.median*slowness) < deadline
}

// needsFastWorker reports whether a task would often miss its deadline on an
// average worker.
func (f runTimeFactor) needsFastWorker(now, deadline time.Duration, runTime float64) bool {
	return f.missProbability(now, deadline, runTime, 1) > fastWorkerMissRisk
}

// lateProbability returns the probability that a batch is late if one of its
// tasks starts after a wait on a worker of the given slowness. runTime is the
// declared run time of the task, rest that of the steps that wait for it, and
// chain that of the whole batch, in seconds.
//
// Both the end and the objective grow with the factor by which run times exceed
// the declared ones. A task that starts at once is therefore late only on a
// worker slower than the objective's stretch, however wrong the declared time
// is.
func (f runTimeFactor) lateProbability(waited time.Duration, goal Objective, chain, runTime, rest, slowness float64) float64 {
	slack, deviation := f.slack(goal, chain, runTime*slowness, rest)
	overdue := (waited - goal.Fixed).Seconds()
	return normalAbove((slack - overdue) / deviation)
}

// latestWait returns the longest wait after which the tasks of a batch can start
// on a worker of the given slowness and the batch still be on time, with a
// margin given as a number of standard deviations of the slack.
func (f runTimeFactor) latestWait(goal Objective, chain, slowness, errors float64) time.Duration {
	slack, deviation := f.slack(goal, chain, chain*slowness, 0)
	return goal.Fixed + seconds(slack-errors*deviation)
}

// slack returns the mean and the standard deviation of the time, in seconds, by
// which the objective without its fixed part exceeds the rest of a batch.
func (f runTimeFactor) slack(goal Objective, chain, run, rest float64) (mean, deviation float64) {
	mean = f.median * (goal.Stretch*chain - run - rest)
	deviation = math.Hypot(mean*f.sigma, f.median*run*taskSigma)
	return mean, max(deviation, minLateDeviation)
}

// normalAbove returns the probability that a standard normal variable exceeds z.
func normalAbove(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// nextTaskLateProbability returns the probability that j is late if its next
// task starts now on a worker of the given slowness.
func (s *service) nextTaskLateProbability(now time.Duration, j *job, slowness float64) float64 {
	b, st := j.batch, j.stepOfTask(j.nextTask())
	return j.runTimeFactor().lateProbability(now-b.arrivedAt, b.objective, b.chainRunTime, st.runTime, st.remainingChain, slowness)
}

// expectedLoss returns the share of the value of j, from 0 to 1, that it is
// expected to lose if its next task starts now on a worker of the given
// slowness. A late answer loses lateAnswerLoss, and one after the deadline all.
func (s *service) expectedLoss(now time.Duration, j *job, slowness float64) float64 {
	missed := j.runTimeFactor().missProbability(now, j.deadline, j.stepOfTask(j.nextTask()).runTime, slowness)
	return lateAnswerLoss*max(s.nextTaskLateProbability(now, j, slowness), missed) + (1-lateAnswerLoss)*missed
}

// missRiskAccepted reports whether a task of the given declared run time, in
// seconds, may be placed on a worker of the given slowness. A task that misses
// its deadline there has taken the room of others, and the work of its whole
// batch is lost.
func (s *service) missRiskAccepted(factor runTimeFactor, now, deadline time.Duration, runTime, slowness float64) bool {
	return factor.missProbability(now, deadline, runTime, slowness) <= maxMissRisk ||
		slowness <= s.minSlowness*fastSlownessRange && factor.mayMeetDeadline(now, deadline, runTime, slowness)
}

// failIfDeadlineUnreachable fails a batch once the run times of the tasks that
// have ended show that a running task will almost certainly miss the deadline.
func (c *Core) failIfDeadlineUnreachable(now time.Duration, j *job) {
	factor := j.runTimeFactor()
	for i := range j.tasks {
		a := j.tasks[i].primary
		if a == nil || factor.missProbability(a.sentAt, j.deadline, j.stepOfTask(i).runTime, j.slownessAt(i, a.target)) < failMissProbability {
			continue
		}
		c.failJob(now, j, wire.JobFailed, c.unfinishedError(j, verdict.DeadlinePassed, "the run times of its tasks don't leave time for the deadline"))
		return
	}
}
