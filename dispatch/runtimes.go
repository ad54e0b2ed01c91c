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

	sizes declaredSizes
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
			sizes: declaredSizes{variance: priorSpread, unusual: &s.unusualShare},
		}
		s.runTimesByQueue[queue] = r
	}
	return r
}

// declaredSizes is the distribution of the logarithm of the declared run times of a
// queue's batches: a normal distribution for the usual ones, and a share of unusual
// ones of any greater size.
type declaredSizes struct {
	samples        float64 // number of batches, at most regressionMemory
	mean, variance float64 // of the usual ones
	unusual        *unusualShare
}

// unusualShare is the share of unusual batches among all batches of a service. A queue
// alone has too few to learn it soon.
type unusualShare struct{ samples, share float64 }

func (u *unusualShare) learn(probability float64) {
	u.samples = min(u.samples+1, unusualMemory)
	u.share += (probability - u.share) / (u.samples + unusualPriorBatches)
	u.share = min(u.share, maxUnusualShare)
}

const (
	// initialUnusualShare is the share of unusual batches that is assumed for a new
	// service. It counts for unusualPriorBatches batches, and the share is averaged
	// over unusualMemory batches.
	initialUnusualShare = 0.02
	unusualPriorBatches = 100
	unusualMemory       = 2000
	maxUnusualShare     = 0.2
	// minSizeSamples is the number of batches from which the usual sizes are known.
	minSizeSamples = 3
	// unusualLogRange is the range of the logarithm of the sizes of unusual batches:
	// up to 30 times the usual size.
	unusualLogRange = 3.4
)

// learn adds the declared run time of a batch that has arrived, in seconds.
func (d *declaredSizes) learn(declared float64) {
	unusual := d.unusualProbability(declared)
	if d.samples >= minSizeSamples {
		d.unusual.learn(unusual)
	}
	d.samples = min(d.samples+1, regressionMemory)
	deviation := math.Log(declared) - d.mean
	if d.samples == 1 {
		d.mean = math.Log(declared)
		return
	}
	w := (1 - unusual) / d.samples
	d.mean += w * deviation
	d.variance += (1 - unusual) / (d.samples + regressionPriorSamples) * (deviation*deviation - d.variance)
}

// learnDeclaredSize adds a batch that fits the workers to the sizes of its queue, whether
// it is taken in or not.
func (s *service) learnDeclaredSize(b Batch) {
	if chain := b.Work.chain.Seconds(); chain > 0 {
		s.runTimeRegression(b.Queue).sizes.learn(chain)
	}
}

// unusualProbability returns the probability that a batch with the given declared run
// time, in seconds, is an unusual one.
func (d *declaredSizes) unusualProbability(declared float64) float64 {
	deviation := math.Log(declared) - d.mean
	if d.samples < minSizeSamples || deviation <= 0 {
		return 0
	}
	variance := max(d.variance, minLogVariance) * (1 + 1/d.samples) // the mean is an estimate, too
	usual := (1 - d.unusual.share) * math.Exp(-deviation*deviation/(2*variance)) / math.Sqrt(2*math.Pi*variance)
	unusual := d.unusual.share / unusualLogRange
	return unusual / (usual + unusual)
}

// learn adds a task: its declared run time in seconds, and the logarithm of
// the true one over it, both on a worker that takes as long as declared
// (logDeclaredRatio 0).
func (r *runTimeRegression) learn(declared, excess float64) {
	if r.sizes.unusualProbability(declared) > 0.5 {
		return // it says nothing about the usual ones
	}
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

// learnAborted adds a task that was aborted after it had run for longer than expected.
// excess is the logarithm of its run time until then over the declared one. The task
// counts as one of the mean length of those that run for longer. Without these, only
// tasks short enough to end before their deadline would be learnt.
func (r *runTimeRegression) learnAborted(declared, excess float64) {
	l := r.predictFactor(declared).logNormal
	z := (excess - math.Log(l.median)) / l.sigma
	if z <= 0 || z > maxAbortedErrors {
		return
	}
	hazard := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / normalAbove(z)
	r.learn(declared, math.Log(l.median)+l.sigma*hazard)
}

// maxAbortedErrors is the number of standard deviations above which an aborted task
// says more about its worker than about its queue.
const maxAbortedErrors = 4

// predictFactor returns the distribution of the run times of a batch relative
// to its declared run time in seconds, on a worker whose logDeclaredRatio is
// 0. For an average worker, callers multiply the median by
// e^meanLogDeclaredRatio.
func (r *runTimeRegression) predictFactor(declared float64) runTimeFactor {
	if r.samples == 0 || declared <= 0 {
		return runTimeFactor{logNormal: logNormal{median: 1, sigma: math.Sqrt(initialLogVariance)}}
	}
	slope := min(max(r.covariance/max(r.varDeclared, minLogVariance), -1), 0)
	excess := r.excess + slope*(math.Log(declared)-r.declared)
	rest := r.varExcess - slope*(2*r.covariance-slope*r.varDeclared)
	return runTimeFactor{
		logNormal: logNormal{median: math.Exp(excess), sigma: math.Sqrt(max(rest, minLogVariance))},
		// The size of an unusual batch is known from its declared run time alone, so
		// nothing draws the estimate towards the usual sizes.
		unusual:      logNormal{median: math.Exp(r.excess), sigma: math.Sqrt(max(r.varExcess, minLogVariance))},
		unusualShare: r.sizes.unusualProbability(declared),
	}
}
