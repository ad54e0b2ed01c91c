package dispatch

import "math"

// runTimeRegression relates the logarithm of true over declared run time to the
// logarithm of the declared one, by least squares over the tasks of a queue's
// batches. Declared times are the true ones with an error, so a batch that
// declares far more than others of its queue tends to run for less than it
// declares.
type runTimeRegression struct {
	samples  float64 // number of tasks learnt, at most regressionMemory
	declared float64 // mean logarithm of the declared run times, in seconds
	excess   float64 // mean logarithm of true over declared run times

	// The variances of the two logarithms around their means, and their covariance.
	varDeclared, varExcess, covariance float64
}

const (
	// regressionMemory is the number of tasks over which the relation is
	// averaged.
	regressionMemory = 400
	// initialLogVariance is the variance of the logarithm of true over expected
	// run times before any task has ended. It counts for regressionPriorSamples
	// tasks.
	initialLogVariance     = 0.2
	regressionPriorSamples = 20
	// minLogVariance keeps the probability of being late smooth when all run
	// times have been as declared.
	minLogVariance = 0.01
	// priorSlope is the slope of the line for a queue without samples: half of
	// the logarithm by which a declared time differs from others is believed.
	// Sizes and errors are taken to vary alike, with a variance of priorSpread.
	priorSlope  = -0.5
	priorSpread = 0.3
)

// runTimeRegression returns the regression of a queue and creates it if needed.
func (s *service) runTimeRegression(queue string) *runTimeRegression {
	r := s.runTimesByQueue[queue]
	if r == nil {
		r = &runTimeRegression{
			varExcess: initialLogVariance, varDeclared: priorSpread, covariance: priorSlope * priorSpread,
		}
		s.runTimesByQueue[queue] = r
	}
	return r
}

// learn adds a task: its declared run time in seconds, and the logarithm of
// the true one over it, both on a worker that takes as long as declared
// (logDeclaredRatio 0).
func (r *runTimeRegression) learn(declared, excess float64) {
	logDeclared := math.Log(declared)
	r.samples = min(r.samples+1, regressionMemory)
	dx, de := logDeclared-r.declared, excess-r.excess
	r.declared += dx / r.samples
	r.excess += de / (r.samples + regressionPriorSamples)
	w := 1 / (r.samples + regressionPriorSamples)
	if r.samples == 1 {
		return // the first task is the mean
	}
	r.varDeclared += w * (dx*dx - r.varDeclared)
	r.varExcess += w * (de*de - r.varExcess)
	r.covariance += w * (dx*de - r.covariance)
}

// predictFactor returns the distribution of the run times of a batch relative
// to its declared run time in seconds, on a worker whose logDeclaredRatio is
// 0. For an average worker, callers multiply the median by
// e^meanLogDeclaredRatio.
func (r *runTimeRegression) predictFactor(declared float64) runTimeFactor {
	if r.samples == 0 || declared <= 0 {
		return runTimeFactor{median: 1, sigma: math.Sqrt(initialLogVariance)}
	}
	slope := min(max(r.covariance/max(r.varDeclared, minLogVariance), -1), 0)
	excess := r.excess + slope*(math.Log(declared)-r.declared)
	rest := r.varExcess - slope*(2*r.covariance-slope*r.varDeclared)
	return runTimeFactor{median: math.Exp(excess), sigma: math.Sqrt(max(rest, minLogVariance))}
}
