package dispatch_test

import (
	"testing"
	"time"
)

// Guards against overlaps that depend on what a clock shows: a time that one process reads
// on its clock and another one compares with its own.
func TestWorkerPathDifferingClocks(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		set  disruptionSet
	}{
		{"frozen-and-cut-agents", frozenAgents | cutAgents | rebornWorkers},
		{"lost-answers", lostAnswers | callsOfFrozenEntries | slowProcesses},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			checkPath(t, 100, tc.set|differingClocks)
		})
	}
}

// Guards against clocks that disturb a calm day, and against an emulator in which the
// clocks agree after all.
func TestWorkerPathWithDifferingClocksOnly(t *testing.T) {
	t.Parallel()
	done, all, seeds := 0, 0, uint64(20)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		p := playPath(seed, defaultFigures(), differingClocks)
		if len(p.overlaps) > 0 {
			t.Fatalf("seed %d: %s", seed, p.report(p.overlaps[0]))
		}
		done += p.resultCounts["done"] + p.resultCounts["late"]
		all += p.sentBatches
		shown := map[time.Duration]bool{}
		for _, e := range p.entries {
			shown[e.core.clock.read(p.now).Truncate(millis)] = true
		}
		if len(shown) < len(p.entries) {
			t.Errorf("seed %d: clocks of entries show the same time", seed)
		}
	}
	if share := float64(done) / float64(all); share < 0.9 {
		t.Errorf("%.3f of the batches were done", share)
	}
}

// Guards against a tick that comes before the time that the core has asked for, and against
// times that change on their way through a clock.
func TestProcessClockRoundTrip(t *testing.T) {
	t.Parallel()
	for _, c := range []processClock{{}, {offset: time.Hour}, {offset: -3 * time.Second, slow: 0.001}, {offset: 1, slow: 0.0003}} {
		for _, now := range []time.Duration{1, millis, 4*time.Second + 12345, 14 * time.Second} {
			shown := c.read(now)
			if shown == 0 {
				continue
			}
			if at := c.when(shown); at > now || c.read(at) != shown {
				t.Errorf("clock %+v shows %d at %d and %d at %d", c, shown, now, c.read(at), at)
			}
		}
	}
}
