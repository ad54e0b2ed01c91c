package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newLabelFixture returns a core with three workers: two of kind a, the second and
// the third in rack r2.
func newLabelFixture() *fixture {
	f := newFixture(3)
	rows := members(3, 0)
	for i, labels := range [][]string{{"a", "r1"}, {"a", "r2"}, {"b", "r2"}} {
		rows[i].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
		rows[i].Labels = labels
	}
	f.Core = New(Config{Self: me, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.SetUpstreams(f.now, rows)
	for i := range rows {
		f.Connected(f.now, ids.Incarnation(i+1))
		f.upstreams[ids.Incarnation(i+1)].health = Healthy
		f.workerReport(ids.Incarnation(i+1), 10)
	}
	return f
}

// Guards against tasks on workers without the label that they need, or on more of a
// step's tasks at one worker than it allows, and against a label that nobody has, for
// which a batch would wait until its deadline.
func TestPlacementIsKept(t *testing.T) {
	for _, tc := range []struct {
		name      string
		tasks     int
		placement Placement
		want      [3]int // starts by worker; -1 stands for any number
	}{
		{"a label of one worker", 4, Placement{Label: "b"}, [3]int{0, 0, 4}},
		{"a label of two", 4, Placement{Label: "r2"}, [3]int{0, -1, -1}},
		{"one on each worker", 4, Placement{MaxPerWorker: 1}, [3]int{1, 1, 1}},
		{"two on each of two", 6, Placement{Label: "a", MaxPerWorker: 2}, [3]int{2, 2, 0}},
		{"near its data", 4, Placement{Near: "r1", FarFactor: 4}, [3]int{4, 0, 0}},
	} {
		f := newLabelFixture()
		if err := f.batch(1, Step{Tasks: tc.tasks, Placement: tc.placement}); err != nil {
			t.Fatalf("%s: %v", tc.name, err)
		}
		starts := f.tick()
		for i, want := range tc.want {
			if got := len(starts[ids.Incarnation(i+1)]); want >= 0 && got != want {
				t.Errorf("%s: %d starts at worker %d, want %d", tc.name, got, i+1, want)
			}
		}
	}
	f := newLabelFixture()
	if err := f.batch(1, Step{Tasks: 1, Placement: Placement{Label: "c"}}); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("a label that no worker has: %v", err)
	}
}

// Guards against a task that starts beside another one of its step while the worker
// is still ending that.
func TestLimitCountsWhatIsBeingEnded(t *testing.T) {
	f := newLabelFixture()
	if err := f.batch(1, Step{Tasks: 1, Placement: Placement{Label: "b", MaxPerWorker: 1}}); err != nil {
		t.Fatal(err)
	}
	f.tick()
	j := f.requests[ids.RequestOf(me, 1)]
	j.tasks[0].primary.restartRequested = true
	if j.isEligible(0, f.upstreams[3]) {
		t.Error("a worker that ends the task of a step may take another one")
	}
}

// Guards against the pace of a worker that is blamed for the distance to the data.
func TestFarTasksAreExpectedToRunLonger(t *testing.T) {
	f := newLabelFixture()
	if err := f.batch(1, Step{Tasks: 1, Placement: Placement{Label: "b", Near: "r1", FarFactor: 2}}); err != nil {
		t.Fatal(err)
	}
	st := f.tick()[3]
	if len(st) != 1 || st[0].DeclaredMS != 200 {
		t.Fatalf("starts %+v, want one with twice the declared 100 ms", st)
	}
	j := f.requests[ids.RequestOf(me, 1)]
	f.now += 200 * time.Millisecond
	f.workerReport(3, 10, wire.Answer{Key: st[0].Key, Try: st[0].Try, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 200_000})
	if e := j.batch.logExpectedRatioSum; e < -0.01 || e > 0.01 {
		t.Errorf("the run time differs from the expected one by %.2f", e)
	}
}
