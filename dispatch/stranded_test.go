package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// TestStranded guards against work that waits until its deadline although no upstream can
// run it, against work that fails although an upstream can still run it, and against a
// verdict that contradicts what has started.
func TestStranded(t *testing.T) {
	const never = time.Duration(0)
	drain := func(f *fixture) { f.Report(f.now, wire.Report{Upstream: 1, Draining: true}) }
	submitRequest := func(f *fixture) { f.submitRequest(1, false) }
	submitJob := func(f *fixture) { f.submitJob(1, "a", 2, 2*time.Minute) }
	for _, tc := range []struct {
		name      string
		submit    func(f *fixture)
		fault     func(f *fixture)
		later     func(f *fixture) // called 3 s after the fault
		endsAfter time.Duration    // time from the fault to the failure
		want      verdict.Verdict
	}{
		{"request, drained", submitRequest, drain, nil, strandedAfter, verdict.NotRun},
		{"request, disconnected", submitRequest, func(f *fixture) { f.Disconnected(f.now, 1) }, nil, strandedAfter, verdict.NotRun},
		{"request, down", submitRequest, func(f *fixture) { f.Report(f.now, wire.Report{Upstream: 1, UpstreamDown: true}) }, nil, strandedAfter, verdict.NotRun},
		{"request, lost", submitRequest, func(f *fixture) { f.SetUpstreams(f.now, upstreamMembers(1, 9)) }, nil, strandedAfter, verdict.NotRun},
		{"job, drained", submitJob, drain, nil, strandedAfter, verdict.NotRun},
		{"request, view not current", submitRequest, drain, func(f *fixture) { f.SetCurrent(false) }, strandedAfter, verdict.NotRun},
		{"job, view not current", submitJob, drain, func(f *fixture) { f.SetCurrent(false) }, never, 0},
		{"job, view current again", submitJob, func(f *fixture) { drain(f); f.SetCurrent(false) },
			func(f *fixture) { f.SetCurrent(true) }, 3*time.Second + strandedAfter, verdict.NotRun},
		{"job, task ended", func(f *fixture) {
			submitJob(f)
			f.jobs[1].done = 1
		}, drain, nil, strandedStartedAfter, verdict.MayHaveRun},
		{"request, may have run", func(f *fixture) {
			f.requests[f.submitRequest(1, true)].mayHaveRun = true
		}, drain, nil, strandedAfter, verdict.MayHaveRun},
		{"replaced", submitRequest, drain, func(f *fixture) {
			f.SetUpstreams(f.now, append(upstreamMembers(1, 0), wire.Member{Incarnation: 2, Registration: wire.Registration{
				Kind: wire.KindAgent, Service: svc, Slots: 8, Connections: 64, Node: "new"}}))
			f.Connected(f.now, 2)
		}, never, 0},
		{"full", submitRequest, func(f *fixture) { f.reportCredit(1, 0) }, nil, never, 0},
	} {
		f := newFixture(1)
		tc.submit(f)
		tc.fault(f)
		faultAt := f.now
		endedAfter := never
		for ; f.now < faultAt+time.Minute-time.Second && endedAfter == never; f.now += sweepInterval {
			if tc.later != nil && f.now == faultAt+3*time.Second {
				tc.later(f)
			}
			if starts := f.tick(); len(starts[ids.Incarnation(1)]) > 0 {
				t.Fatalf("%s: a task started", tc.name)
			}
			if len(f.out.Finished) == 0 {
				continue
			}
			endedAfter = f.now - faultAt
			if o := f.out.Finished[0]; o.Err.Verdict != tc.want || o.Err.Reason != verdict.NoUpstream {
				t.Errorf("%s: ended with %v, want verdict %v", tc.name, o.Err, tc.want)
			}
		}
		if endedAfter != tc.endsAfter {
			t.Errorf("%s: ended after %v, want %v", tc.name, endedAfter, tc.endsAfter)
		}
	}
}
