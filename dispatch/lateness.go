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
// batch on an average worker exceed the declared ones. It is a mixture of two
// log-normal distributions: that of the usual batches of a queue, and that of the
// few whose size the queue's usual sizes say nothing about.
type runTimeFactor struct {
	logNormal
	unusual      logNormal
	unusualShare float64 // probability that the batch is an unusual one
}

// logNormal is a log-normal distribution.
type logNormal struct {
	median float64
	sigma  float64 // standard deviation of the logarithm
}

// above returns the probability that the factor exceeds x.
func (l logNormal) above(x float64) float64 { return normalAbove(math.Log(x/l.median) / l.sigma) }

// scaled returns the distribution of the factor times scale.
func (l logNormal) scaled(scale float64) logNormal { return logNormal{l.median * scale, l.sigma} }

// given returns the distribution of the factor of the tasks that have not ended,
// given the mean of the logarithms of the factors of n tasks that have. The tasks
// of a batch vary by taskSigma around a factor that they share.
func (l logNormal) given(meanLog float64, n int) logNormal {
	prior, seen := 1/(l.sigma*l.sigma), float64(n)/(taskSigma*taskSigma)
	mean := (prior*math.Log(l.median) + seen*meanLog) / (prior + seen)
	return logNormal{median: math.Exp(mean), sigma: math.Sqrt(1/(prior+seen) + taskSigma*taskSigma)}
}

// density returns the probability density of the mean of the logarithms of the
// factors of n tasks.
func (l logNormal) density(meanLog float64, n int) float64 {
	variance := l.sigma*l.sigma + taskSigma*taskSigma/float64(n)
	deviation := meanLog - math.Log(l.median)
	return math.Exp(-deviation*deviation/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// typical returns the more probable of the two distributions.
func (f runTimeFactor) typical() logNormal {
	if f.unusualShare > 0.5 {
		return f.unusual
	}
	return f.logNormal
}

// scaled returns the distribution of the factor times scale.
func (f runTimeFactor) scaled(scale float64) runTimeFactor {
	f.logNormal, f.unusual = f.logNormal.scaled(scale), f.unusual.scaled(scale)
	return f
}

// given returns the distribution for the tasks that have not ended, given the mean
// of the logarithms of the factors of n tasks of the batch that have.
func (f runTimeFactor) given(meanLog float64, n int) runTimeFactor {
	out := runTimeFactor{logNormal: f.logNormal.given(meanLog, n)}
	if f.unusualShare == 0 {
		return out
	}
	usual := (1 - f.unusualShare) * f.logNormal.density(meanLog, n)
	unusual := f.unusualShare * f.unusual.density(meanLog, n)
	out.unusual = f.unusual.given(meanLog, n)
	if usual+unusual > 0 {
		out.unusualShare = unusual / (usual + unusual)
	}
	return out
}

// mix returns the mean of a probability over the two distributions.
func (f runTimeFactor) mix(probability func(logNormal) float64) float64 {
	if f.unusualShare == 0 {
		return probability(f.logNormal)
	}
	return (1-f.unusualShare)*probability(f.logNormal) + f.unusualShare*probability(f.unusual)
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
	factor := b.prior
	if b.measuredTasks > 0 {
		factor = factor.given(b.logExpectedRatioSum/float64(b.measuredTasks), b.measuredTasks)
	}
	return factor.scaled(math.Exp(j.svc.meanLogDeclaredRatio))
}

// runTimeFactorOf returns the distribution for a batch before it is taken in.
func (s *service) runTimeFactorOf(b Batch) runTimeFactor {
	factor := s.runTimeRegression(b.Queue).predictFactor(b.Work.chain.Seconds())
	return factor.scaled(math.Exp(s.meanLogDeclaredRatio))
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
	return f.mix(func(l logNormal) float64 { return l.above(slack / (runTime * slowness)) })
}

// mayMeetDeadline reports whether a task of the given declared run time, in
// seconds, ends in time with a probability of at least one half on a worker of
// the given slowness.
func (f runTimeFactor) mayMeetDeadline(now, deadline time.Duration, runTime, slowness float64) bool {
	return f.missProbability(now, deadline, runTime, slowness) < 0.5
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
	overdue := (waited - goal.Fixed).Seconds()
	return f.mix(func(l logNormal) float64 {
		slack, deviation := l.slack(goal, chain, runTime*slowness, rest)
		return normalAbove((slack - overdue) / deviation)
	})
}

// latestWait returns the longest wait after which the tasks of a batch can start
// on a worker of the given slowness and the batch still be on time, with a
// margin given as a number of standard deviations of the slack.
func (f runTimeFactor) latestWait(goal Objective, chain, slowness, errors float64) time.Duration {
	slack, deviation := f.typical().slack(goal, chain, chain*slowness, 0)
	return goal.Fixed + seconds(slack-errors*deviation)
}

// slack returns the mean and the standard deviation of the time, in seconds, by
// which the objective without its fixed part exceeds the rest of a batch.
func (l logNormal) slack(goal Objective, chain, run, rest float64) (mean, deviation float64) {
	mean = l.median * (goal.Stretch*chain - run - rest)
	deviation = math.Hypot(mean*l.sigma, l.median*run*taskSigma)
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
