package dispatch_test

import "testing"

// memberDisruptions are those of processes that come and go, as planned or not.
const memberDisruptions = plannedStops | lapsedRegistrations

// Guards against overlaps when processes come and go as planned, or lose their registration
// and go on: what one of them leaves behind runs beside what its successor starts.
func TestWorkerPathMembers(t *testing.T) {
	t.Parallel()
	const withLostAnswers = lostAnswers | callsOfFrozenEntries
	checkPathClasses(t, []pathClass{
		{"planned-stops", 60, plannedStops},
		{"planned-stops-and-lost-answers", 100, plannedStops | withLostAnswers},
		{"planned-stops-kills-and-freezes", 100, plannedStops | killedEntries | killedAgents | frozenEntries | frozenAgents},
		{"lapsed-registrations", 60, lapsedRegistrations},
		{"lapsed-registrations-freezes-and-lost-answers", 100, lapsedRegistrations | withLostAnswers | frozenEntries | frozenAgents},
	})
}

// Guards against an emulator in which these disruptions do nothing: with callers that
// repeat too early, each of them alone makes runs overlap.
func TestWorkerPathSeesOverlapsOfMembers(t *testing.T) {
	t.Parallel()
	figures := defaultFigures()
	figures.repeat = 100 * millis
	for _, set := range []disruptionSet{plannedStops, lapsedRegistrations} {
		found := false
		for seed := uint64(0); seed < 60 && !found; seed++ {
			found = len(playPath(seed, figures, set|hangingTasks).overlaps) > 0
		}
		if !found {
			t.Errorf("no overlap under %#x, although callers repeat their batches after 100 ms", set)
		}
	}
}
