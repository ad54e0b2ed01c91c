package entry

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/verdict"
)

// TestBatchCountersAreBounded guards against counters that grow without bound as
// configurations add and remove queues, and against batches that are not counted once
// the bound is reached.
func TestBatchCountersAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	b := newBatchCounters(scope)
	const queues = maxBatchCounters + 100
	for i := range queues {
		b.inc(batchOutcome{queue: fmt.Sprint("q", i), verdict: verdict.NotRun, reason: verdict.Overloaded})
	}
	b.inc(batchOutcome{queue: "q0", verdict: verdict.NotRun, reason: verdict.Overloaded})
	sum, counters := int64(0), 0
	for _, c := range scope.Snapshot().Counters() {
		sum += c.Value()
		counters++
		if c.Tags()["queue"] == "q0" && c.Value() != 2 {
			t.Errorf("q0 counts %d of 2 batches", c.Value())
		}
	}
	if sum != queues+1 || counters > maxBatchCounters+1 {
		t.Errorf("%d batches in %d counters, want %d in at most %d", sum, counters, queues+1, maxBatchCounters+1)
	}
}
