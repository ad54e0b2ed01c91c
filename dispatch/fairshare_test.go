package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// TestShareAcrossEntries guards against teams that get their share at each entry but not
// of the whole service: the tasks that a team runs through other entries count too.
func TestShareAcrossEntries(t *testing.T) {
	for _, tc := range []struct {
		name           string
		others         []wire.TeamTasks
		slotsA, slotsB int // of the 8 slots, for teams with quotas 1 and 3
	}{
		{"no other entry", nil, 2, 6},
		{"equal mix elsewhere", []wire.TeamTasks{{Team: "a", Tasks: 1}, {Team: "b", Tasks: 3}}, 1, 3},
		{"one team has no work elsewhere", []wire.TeamTasks{{Team: "b", Tasks: 4}}, 2, 2},
		{"a team has its share elsewhere", []wire.TeamTasks{{Team: "a", Tasks: 2}}, 0, 6},
		{"a team exceeds its share elsewhere", []wire.TeamTasks{{Team: "a", Tasks: 4}}, 0, 4},
		{"a team that is not configured", []wire.TeamTasks{{Team: "x", Tasks: 4}}, 1, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(1)
			f.setRunTimes(0.5, 1)
			n := 0
			for _, o := range tc.others {
				n += o.Tasks
			}
			f.Report(f.now, wire.Report{Upstream: 1, Credit: 8 - n, Running: n, Others: tc.others})
			f.submitJob(1, "a", 100, time.Hour)
			f.submitJob(2, "b", 100, time.Hour)
			s := f.services[svc]
			for range 10 * surplusAveragingSweeps {
				s.teamQueues.divideCapacity(int(s.capacity() * rateUnit))
			}
			got := map[ids.Job]int{}
			for _, st := range f.tick()[1] {
				got[st.Key.Job]++
			}
			if got[1] != tc.slotsA || got[2] != tc.slotsB {
				t.Errorf("teams a and b hold %d and %d slots, want %d and %d", got[1], got[2], tc.slotsA, tc.slotsB)
			}
		})
	}
}

// TestWorkAtOtherEntriesEnds guards against a team that keeps getting less because of work
// at another entry that the agent no longer reports or can't report.
func TestWorkAtOtherEntriesEnds(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"new report":   func(f *fixture) { f.Report(f.now, wire.Report{Upstream: 1, Credit: 8}) },
		"old report":   func(f *fixture) { f.now += maxOtherEntryReportAge + sweepInterval; f.tick() },
		"disconnected": func(f *fixture) { f.Disconnected(f.now, 1) },
		"lost":         func(f *fixture) { f.SetUpstreams(f.now, upstreamMembers(1, 9)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			f.Report(f.now, wire.Report{Upstream: 1, Credit: 4, Running: 4, Others: []wire.TeamTasks{{Team: "a", Tasks: 4}}})
			before := f.services[svc].teamQueues.teams["a"].otherEntryRate
			end(f)
			if after := f.services[svc].teamQueues.teams["a"].otherEntryRate; before <= 0 || after != 0 {
				t.Errorf("work at other entries %d before and %d after, want a positive value and 0", before, after)
			}
		})
	}
}
