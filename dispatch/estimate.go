package dispatch

import (
	"math"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// estimate is a moving average of positive samples: the mean of their logarithm,
// which a heavy tail disturbs little, and the plain mean.
type estimate struct {
	n    int     // number of samples
	log  float64 // mean of the logarithm
	mean float64
}

// add adds a sample, in seconds, with a weight of at least minWeight.
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
	n   int // number of samples
	sum float64
}

// offsetPriorSamples is the number of samples that the prior of a logOffset
// counts for. Run times vary as much within a job as between jobs.
const offsetPriorSamples = 100

// shrunkTowards returns the mean of the samples and the prior, weighted by their
// number.
func (o logOffset) shrunkTowards(prior float64) float64 {
	return (o.sum + offsetPriorSamples*prior) / float64(o.n+offsetPriorSamples)
}

const (
	// minRelativeSlownessWeight is the least weight of a sample in an
	// upstream's relativeSlowness. Upstreams differ by a factor of 4 and run
	// times of tasks by more, so single samples say little.
	minRelativeSlownessWeight = 0.005
	// optimismErrors is the number of standard errors by which an upstream's run
	// time is taken to be below its estimate. Placement avoids upstreams that
	// seem slow, so an estimate that is too high by chance would never be
	// corrected.
	optimismErrors = 0.3
	// varianceWeight is the weight of a sample in the variance of the residuals.
	varianceWeight = 0.01
	// relativeSlownessPriorSamples reduces the weight of the first samples,
	// which would carry the task's own run time into the upstream's
	// relativeSlowness.
	relativeSlownessPriorSamples = 3
	// minWorkWeight is the least weight of a sample in a service's taskWork.
	minWorkWeight = 0.005
	// shiftResidual is the recent residual, a factor of 2.7, that shows a change
	// of an upstream's speed.
	shiftResidual = 1.0
	// recentResidualWeight is the weight of a sample in the recent residual.
	recentResidualWeight = 0.05
	// minRunSeconds is the least run time; shorter ones are not resolved.
	minRunSeconds = 50e-6
)

// learnRunTime updates the estimates with the run time of a task that ended
// without failure.
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
	logRunTime := math.Log(run)
	expectedLog := s.taskWork.log
	if s.taskWork.n == 0 {
		expectedLog = logRunTime
	}
	if j != nil {
		expectedLog += j.logOffset.shrunkTowards(0)
	}
	residual := logRunTime - expectedLog - u.relativeSlowness.log
	s.logRunTimeVariance += varianceWeight * (residual*residual - s.logRunTimeVariance)
	u.recentResidual += recentResidualWeight * (residual - u.recentResidual)
	if math.Abs(u.recentResidual) > shiftResidual && u.relativeSlowness.n > 8 {
		u.relativeSlowness.n = 4
	}
	u.relativeSlowness.log += residual * max(1/float64(u.relativeSlowness.n+1+relativeSlownessPriorSamples), minRelativeSlownessWeight)
	u.relativeSlowness.n++
	taskWork := run * math.Exp(-u.relativeSlowness.log)
	s.taskWork.add(taskWork, minWorkWeight)
	s.workHistogram.add(taskWork)
	if j != nil {
		j.logOffset.sum += logRunTime - s.taskWork.log - u.relativeSlowness.log
		j.logOffset.n++
		j.updateRelativeRunTime()
	}
}

// learnAbortedRunTime updates the mean run time with a task that was aborted
// while it ran. Without these the mean would cover only tasks short enough to
// end, and admission would plan with too little work. The rest of the task is
// taken to be as long as an average task.
func (s *service) learnAbortedRunTime(u *upstream, run float64) {
	if s.taskWork.n == 0 {
		return
	}
	sample := run*math.Exp(-u.relativeSlowness.log) + s.taskWork.mean
	s.taskWork.mean += minWorkWeight * (sample - s.taskWork.mean)
	s.workHistogram.add(sample)
}
