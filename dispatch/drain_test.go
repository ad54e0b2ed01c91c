package dispatch

import (
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// setDraining replaces the registry by one in which the given worker is draining, or none
// if it is zero.
func (f *fixture) setDraining(drained ids.Incarnation) {
	rows := upstreamMembers(3, 0)
	for i := range rows {
		rows[i] = f.upstreams[rows[i].Incarnation].member
		rows[i].Draining = rows[i].Incarnation == drained
	}
	f.SetUpstreams(f.now, rows)
}

// Guards against starts on a drained worker, and against a batch that waits until its
// deadline although only drained workers suit it.
func TestDrainedWorkerGetsNoTask(t *testing.T) {
	f := newLabelFixture()
	f.setDraining(3)
	if err := f.batch(1, Step{Tasks: 2, Placement: Placement{Label: "b"}}); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("a batch that only the drained worker suits: %v, want verdict not-run", err)
	}
	if err := f.batch(2, Step{Tasks: 6}); err != nil {
		t.Fatal(err)
	}
	starts := f.tick()
	if len(starts[3]) > 0 || len(starts[1])+len(starts[2]) != 6 {
		t.Errorf("starts: %v", starts)
	}
}

// Guards against a worker that gets no work after its drain because its agent, which
// learnt of the end first, reports nothing more. Its work must return step by step.
func TestWorkReturnsAfterADrain(t *testing.T) {
	f := newLabelFixture()
	f.setDraining(3)
	f.Report(f.now, wire.Report{Upstream: 3, Draining: true, Credit: 10})
	f.Report(f.now, wire.Report{Upstream: 3, Credit: 10})
	f.setDraining(0)
	if err := f.batch(1, Step{Tasks: 8, Placement: Placement{Label: "b"}}); err != nil {
		t.Fatal(err)
	}
	if n := len(f.tick()[3]); n == 0 || n > coldWindow+1 {
		t.Errorf("%d starts on the worker, want 1 to %d", n, coldWindow+1)
	}
}
