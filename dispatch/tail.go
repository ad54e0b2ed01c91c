package dispatch

import (
	"math"
	"math/bits"
	"time"
)

const (
	// planTail and placeTail divide the share of tasks that may run longer than
	// the expected longest of n tasks, 1/n. Larger values refuse and hold back
	// more work, and take large jobs' teams further from their share.
	planTail  = 1
	placeTail = 4
	// tailBuckets and tailPerOctave cover run times from tailLeast seconds up
	// over a range of 2^20 at a resolution of 19 %.
	tailBuckets   = 80
	tailPerOctave = 4
	tailLeast     = 1e-4
	// tailMemory is the number of samples after which older ones count half.
	// It is several times the size of the largest jobs.
	tailMemory = 8192
)

// tailTable is a histogram of normalized run times. The mean says little about
// the longest of many tasks when a few tasks run very long.
type tailTable struct {
	counts [tailBuckets]float64
	total  float64
}

// add takes in a normalized run time in seconds.
func (t *tailTable) add(work float64) {
	if work <= 0 {
		return
	}
	b := int(math.Log2(work/tailLeast) * tailPerOctave)
	t.counts[min(max(b, 0), tailBuckets-1)]++
	t.total++
	if t.total < tailMemory {
		return
	}
	for i := range t.counts {
		t.counts[i] /= 2
	}
	t.total /= 2
}

// above returns the run time that the given share of the tasks exceeds, in
// seconds, or zero without samples.
func (t *tailTable) above(share float64) float64 {
	left := share * t.total
	for b := tailBuckets - 1; b >= 0; b-- {
		if left -= t.counts[b]; left < 0 {
			return tailLeast * math.Exp2(float64(b+1)/tailPerOctave)
		}
	}
	return 0
}

// lastTask is the expected time that the longest of n tasks runs on a typical
// slot. Until run times are known their tail is taken to be exponential.
func (s *service) lastTask(n int, work float64) time.Duration {
	n = max(n, 1)
	longest := work * (1 + math.Log(float64(n)))
	if s.work.n >= learntAfter {
		longest = max(longest, s.tail.above(1/(planTail*float64(n))))
	}
	return seconds(longest * s.meanSlowness())
}

// setLongest updates what placement needs of the tail of run times.
func (s *service) setLongest() {
	s.typical = s.meanSlowness()
	for m := range s.longest {
		s.longest[m] = s.tail.above(1 / (placeTail * float64(int(1)<<m)))
	}
}

// endsOn reports whether the longest waiting task of j is expected to end in
// time on u. Upstreams of typical speed or above are never ruled out, so a job
// that is late can still run.
func (j *job) endsOn(now time.Duration, u *upstream) bool {
	s := j.svc
	if u.slow <= s.typical {
		return true
	}
	return now+seconds(s.longest[bits.Len(uint(j.waiting))]*u.slow) <= j.deadline
}
