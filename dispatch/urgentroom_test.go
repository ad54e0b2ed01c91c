package dispatch_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against urgent batches, which are short and wide, that are late more often than
// others because long tasks of queues that can wait hold all slots, and against a reserve
// that starves the others. The load is as large as the capacity.
func TestUrgentBatchesFindRoom(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector takes ten times the processor time")
	}
	t.Parallel()
	count := map[string]float64{}
	for seed := range uint64(8) {
		b := newUnevenSimulation(seed, 6, 18, []float64{1, 1, 1 / 1.3})
		b.figures.entryDeadline, b.figures.callerTimeout = 4*time.Second, 4*time.Second
		b.varyRunTimes = true
		b.load(time.Second, 8*time.Second, 1)
		b.runUntil(13 * time.Second)
		for result, n := range b.resultsByTaskCount {
			count[result] += float64(n)
		}
	}
	onTime := func(tasks int) float64 {
		all := 0.0
		for _, result := range []string{"done", "late", "not-run", "may-have-run"} {
			all += count[fmt.Sprint(tasks, " ", result)]
		}
		return count[fmt.Sprint(tasks, " done")] / all
	}
	urgent, second, last := onTime(8), onTime(2), onTime(4)
	t.Logf("on time by urgency: %.3f, %.3f, %.3f", urgent, second, last)
	if urgent < second || urgent < last {
		t.Errorf("urgent batches are on time less often than others: %.3f of them, %.3f and %.3f of the others", urgent, second, last)
	}
	if min(second, last) < urgent/2 {
		t.Errorf("a queue starves: %.3f of the urgent batches are on time, %.3f and %.3f of the others", urgent, second, last)
	}
}
