package dispatch_test

import (
	"fmt"
	"testing"
	"time"
)

// longTail returns a simulation of the load that run times with a long tail are: of each
// class 3 in 100 batches run seven times as long as the others, declared run times are off
// by a factor with a spread of 0.4, and a third of the workers is faster by 1.3.
func longTail(seed uint64) *batchSimulation {
	b := newUnevenSimulation(seed, 6, 18, []float64{1, 1, 1 / 1.3})
	b.varyRunTimes, b.longShare, b.longFactor, b.runTimeScale = true, 0.03, 7, 0.78
	return b
}

// Guards against batches that are known to be too long when they arrive, and are taken in
// all the same: they declare two or three times what the fastest worker can do before the
// deadline, but the usual run times of their queue make that look like an error. They hold
// room until their deadline, and their callers learn only then that they can't be served.
func TestBatchesThatAreTooLongAreRefusedOnArrival(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector takes ten times the processor time")
	}
	const known = 5 * time.Second // entries have seen enough of a queue by then
	multiples := []int{2, 3}
	tooLong, waited := map[int]int{}, map[int]int{}
	// Run times are drawn in the order of decisions; with 20 seeds some code sees fewer than
	// the 10 batches of three times that the check asks for.
	for seed := range uint64(30) {
		b := longTail(seed)
		fastest := time.Duration(1.3 * float64(b.figures.entryDeadline))
		b.ended = func(e batchEnd) {
			for _, m := range multiples {
				if b.now-e.waited < known || e.times.declared < time.Duration(m)*fastest {
					continue
				}
				tooLong[m]++
				if !e.refused || e.waited > 10*time.Millisecond {
					waited[m]++
				}
			}
		}
		b.load(time.Second, 16*time.Second, 0.46)
		b.runUntil(20 * time.Second)
	}
	for _, m := range multiples {
		t.Run(fmt.Sprint("multiple=", m), func(t *testing.T) {
			if tooLong[m] < 10 || 20*waited[m] > tooLong[m] {
				t.Errorf("%d of %d batches that declare %d times what the fastest worker can do were taken in, want at most one in 20", waited[m], tooLong[m], m)
			}
		})
	}
}
