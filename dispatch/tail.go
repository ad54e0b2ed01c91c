package dispatch

import (
	"math"
	"math/bits"
	"time"
)

const (
	// The longest of n tasks is taken to be the run time that a share of
	// 1/(divisor*n) of all tasks exceeds. planTailDivisor is used for admission
	// and planning, placementTailDivisor for placement. Larger divisors refuse
	// and hold back more work, and move the teams of large jobs further from
	// their share.
	planTailDivisor      = 1
	placementTailDivisor = 4
	// histogramBuckets and histogramBucketsPerOctave cover run times from
	// minHistogramWork seconds up over a range of 2^20 at a resolution of 19 %.
	histogramBuckets          = 80
	histogramBucketsPerOctave = 4
	minHistogramWork          = 1e-4
	// histogramMemory is the number of samples after which older ones count
	// half. It is several times the number of tasks of the largest jobs.
	histogramMemory = 8192
)

// histogram counts tasks by their normalized run time. The mean says little
// about the longest of many tasks when a few tasks run very long.
type histogram struct {
	counts [histogramBuckets]float64
	total  float64
}

// add adds a normalized run time in seconds.
func (h *histogram) add(work float64) {
	if work <= 0 {
		return
	}
	b := int(math.Log2(work/minHistogramWork) * histogramBucketsPerOctave)
	h.counts[min(max(b, 0), histogramBuckets-1)]++
	h.total++
	if h.total < histogramMemory {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// exceededBy returns the run time that the given share of the tasks exceeds, in
// seconds, or zero without samples.
func (h *histogram) exceededBy(share float64) float64 {
	left := share * h.total
	for b := histogramBuckets - 1; b >= 0; b-- {
		if left -= h.counts[b]; left < 0 {
			return minHistogramWork * math.Exp2(float64(b+1)/histogramBucketsPerOctave)
		}
	}
	return 0
}

// expectedLongestRun returns the expected run time of the longest of n tasks on
// a typical slot. Until run times are known, their tail is taken to be
// exponential.
func (s *service) expectedLongestRun(n int, taskWork float64) time.Duration {
	n = max(n, 1)
	longest := taskWork * (1 + math.Log(float64(n)))
	if s.taskWork.n >= minLearntSamples {
		longest = max(longest, s.workHistogram.exceededBy(1/(planTailDivisor*float64(n))))
	}
	return seconds(longest * s.meanSlowness())
}

// updateLongestWork updates what placement needs of the distribution of run
// times.
func (s *service) updateLongestWork() {
	s.typicalSlowness = s.meanSlowness()
	for m := range s.longestWork {
		s.longestWork[m] = s.workHistogram.exceededBy(1 / (placementTailDivisor * float64(int(1)<<m)))
	}
}

// endsInTimeOn reports whether the longest waiting task of j is expected to end
// in time on u. Upstreams of typical speed or above are never excluded, so a job
// that is late can still run.
func (j *job) endsInTimeOn(now time.Duration, u *upstream) bool {
	s := j.svc
	if u.slowness <= s.typicalSlowness {
		return true
	}
	return now+seconds(s.longestWork[bits.Len(uint(j.waitingTasks))]*u.slowness) <= j.deadline
}
