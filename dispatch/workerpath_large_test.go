package dispatch_test

import "testing"

// largeFigures are those of a platform with more entries and workers than the default, and
// with batches that need up to ten workers.
func largeFigures() platformFigures {
	f := defaultFigures()
	f.size = platformSize{entries: 8, workers: 24, maxTasks: 32, maxPerWorker: 4}
	return f
}

// Guards against overlaps that need many workers: a batch that fails at one of them while
// it runs on at nine others.
func TestWorkerPathLarge(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		set  disruptionSet
	}{
		{"lost-answers", lostAnswers | callsOfFrozenEntries | rebornWorkers},
		{"mix", mixOfAll},
	} {
		if testing.Short() && tc.set != mixOfAll {
			continue // a seed takes 30 times as long as one of the default size
		}
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			checkPathWith(t, 6, largeFigures(), tc.set)
		})
	}
}
