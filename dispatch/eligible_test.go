package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newLabelFixture returns a core with three workers: the first two have the label a, and
// the last two have the label r2.
func newLabelFixture() *fixture {
	f := newFixture(3)
	rows := upstreamMembers(3, 0)
	for i, labels := range [][]string{{"a", "r1"}, {"a", "r2"}, {"b", "r2"}} {
		rows[i].Capacity = wire.Resources{CPU: 16000, Memory: 32768}
		rows[i].Labels = labels
	}
	f.Core = New(Config{Self: self, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.SetUpstreams(f.now, rows)
	for i := range rows {
		f.Connected(f.now, ids.Incarnation(i+1))
		f.upstreams[ids.Incarnation(i+1)].health = Healthy
		f.reportFromWorker(ids.Incarnation(i+1), 10)
	}
	return f
}

// Guards against tasks on workers without the required label, against more tasks of a step
// on one worker than the step allows, and against a batch that waits until its deadline
// for a label that no worker has.
func TestPlacementIsRespected(t *testing.T) {
	for _, tc := range []struct {
		name      string
		tasks     int
		placement Placement
		want      [3]int // starts by worker, -1 for any number
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
				t.Errorf("%s: %d starts on worker %d, want %d", tc.name, got, i+1, want)
			}
		}
	}
	f := newLabelFixture()
	if err := f.batch(1, Step{Tasks: 1, Placement: Placement{Label: "c"}}); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("a batch with a label that no worker has: got %v, want verdict not-run", err)
	}
}

// Guards against a worker that exceeds the limit of a step because a task that it is still
// stopping isn't counted.
func TestWorkerLimitCountsTasksBeingStopped(t *testing.T) {
	f := newLabelFixture()
	if err := f.batch(1, Step{Tasks: 1, Placement: Placement{Label: "b", MaxPerWorker: 1}}); err != nil {
		t.Fatal(err)
	}
	f.tick()
	j := f.requests[ids.RequestOf(self, 1)]
	j.tasks[0].primary.restartRequested = true
	if j.isEligible(0, f.upstreams[3]) {
		t.Error("a worker that is stopping a task of a step with a limit of one is eligible for another one")
	}
}

// Guards against a worker that is taken for slow because its tasks run far from their
// data.
func TestFarTasksAreExpectedToRunLonger(t *testing.T) {
	f := newLabelFixture()
	if err := f.batch(1, Step{Tasks: 1, Placement: Placement{Label: "b", Near: "r1", FarFactor: 2}}); err != nil {
		t.Fatal(err)
	}
	st := f.tick()[3]
	if len(st) != 1 || st[0].DeclaredMS != 200 {
		t.Fatalf("starts %+v, want one with twice the declared 100 ms", st)
	}
	j := f.requests[ids.RequestOf(self, 1)]
	f.now += 200 * time.Millisecond
	f.reportFromWorker(3, 10, wire.Answer{Key: st[0].Key, Try: st[0].Try, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 200_000})
	if e := j.batch.logExpectedRatioSum; e < -0.01 || e > 0.01 {
		t.Errorf("the logarithm of the run time differs from that of the expected one by %.2f", e)
	}
}
