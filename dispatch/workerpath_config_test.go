package dispatch_test

import "testing"

// mixOfAll has all disruptions but those that no dispatcher can prevent and
// restartsUnnoticed.
const mixOfAll = allDisruptions | lostAnswers | agentsFrozenAtRequests | agentsFrozenAfterStarts |
	stressDisruptions | memberDisruptions | configChanges | differingClocks

// Guards against overlaps when a queue moves to other workers or its timeout changes while
// its tasks run: the repeat of a batch then starts where nobody knows of the first one.
func TestWorkerPathConfigChanges(t *testing.T) {
	t.Parallel()
	const withLostAnswers = lostAnswers | callsOfFrozenEntries
	checkPathClasses(t, []pathClass{
		{"alone", 60, configChanges},
		{"lost-answers", 100, configChanges | withLostAnswers},
	})
}

// Guards against an answer that a batch has not run while one of its runs goes on or begins
// later: callers repeat such a batch at once.
func TestWorkerPathRepeatedRefusals(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		set  disruptionSet
	}{
		{"planned-stops", plannedStops | resetLinks},
		{"mix", mixOfAll},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			checkPath(t, 100, tc.set|repeatedRefusals)
		})
	}
}

// Guards against a model in which entries route all batches as before, or in which nobody
// repeats a refused batch.
func TestWorkerPathSeesConfigChangesAndRefusals(t *testing.T) {
	t.Parallel()
	routed, refused := map[string]bool{}, 0
	for seed := range uint64(10) {
		p := playPath(seed, defaultFigures(), configChanges|plannedStops|repeatedRefusals)
		for _, q := range p.queues {
			routed[string(q.service)] = true
		}
		refused += p.resultCounts["not-run"]
	}
	if len(routed) != 2 {
		t.Errorf("entries route batches to %v", routed)
	}
	if refused == 0 {
		t.Error("no batch was refused")
	}
}
