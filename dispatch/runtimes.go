package dispatch

import "math"

// runTimeRegression is what has been learnt of a queue: how the true run times of its batches
// follow from the declared ones. Declared times are the true ones with an error, so a
// batch that declares far more than others of its queue tends to run less than that.
// The relation is a straight line through the logarithms, by least squares.
type runTimeRegression struct {
	samples  float64 // number of tasks learnt, at most runTimesMemory
	declared float64 // mean logarithm of the declared run times, in seconds
	excess   float64 // mean logarithm of the true ones over the declared ones

	// Variances and covariance of the two around their means.
	varDeclared, varExcess, covariance float64
}

const (
	// regressionMemory is the number of tasks over which the relation is averaged.
	regressionMemory = 400
	// initialLogVariance is the variance of the logarithm of run times over expected
	// ones before any task has ended; it counts for priorTasksOfQueue tasks.
	initialLogVariance     = 0.2
	regressionPriorSamples = 20
	// minLogVariance keeps the probability of being late smooth when all run times have
	// been as declared.
	minLogVariance = 0.01
	// Until a queue has been seen, half of the logarithm by which a declared time
	// differs from others is believed: sizes and errors are taken to vary alike, with
	// a variance of priorSpread.
	priorSlope  = -0.5
	priorSpread = 0.3
)

// runTimeRegression returns what has been learnt of a queue.
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

// learn takes in a task: its declared run time in seconds, and the logarithm of its
// true one over it, both on an average worker.
func (r *runTimeRegression) learn(declared, excess float64) {
	x := math.Log(declared)
	r.samples = min(r.samples+1, regressionMemory)
	dx, de := x-r.declared, excess-r.excess
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

// predictFactor returns what is known of a batch by its declared run time, in seconds, on an
// average worker.
func (r *runTimeRegression) predictFactor(declared float64) runTimeFactor {
	if r.samples == 0 || declared <= 0 {
		return runTimeFactor{median: 1, sigma: math.Sqrt(initialLogVariance)}
	}
	slope := min(max(r.covariance/max(r.varDeclared, minLogVariance), -1), 0)
	excess := r.excess + slope*(math.Log(declared)-r.declared)
	rest := r.varExcess - slope*(2*r.covariance-slope*r.varDeclared)
	return runTimeFactor{median: math.Exp(excess), sigma: math.Sqrt(max(rest, minLogVariance))}
}
