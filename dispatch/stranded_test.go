package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// TestStranded guards against work that waits for its deadline although no
// upstream can run it, against work that is given up although one may, and
// against a verdict that doesn't fit what has started.
func TestStranded(t *testing.T) {
	const never = time.Duration(0)
	drain := func(f *fixture) { f.Report(f.now, wire.Report{Upstream: 1, Draining: true}) }
	request := func(f *fixture) { f.request(1, false) }
	job := func(f *fixture) { f.job(1, "a", 2, 2*time.Minute) }
	for _, tc := range []struct {
		name   string
		submit func(f *fixture)
		lose   func(f *fixture)
		later  func(f *fixture) // 3 s later
		ends   time.Duration    // after the loss
		want   verdict.Verdict
	}{
		{"request, drained", request, drain, nil, strandedAfter, verdict.NotRun},
		{"request, disconnected", request, func(f *fixture) { f.Disconnected(f.now, 1) }, nil, strandedAfter, verdict.NotRun},
		{"request, down", request, func(f *fixture) { f.Report(f.now, wire.Report{Upstream: 1, UpstreamDown: true}) }, nil, strandedAfter, verdict.NotRun},
		{"request, lost", request, func(f *fixture) { f.SetUpstreams(f.now, members(1, 9)) }, nil, strandedAfter, verdict.NotRun},
		{"job, drained", job, drain, nil, strandedAfter, verdict.NotRun},
		{"request, view not current", request, drain, func(f *fixture) { f.SetCurrent(false) }, strandedAfter, verdict.NotRun},
		{"job, view not current", job, drain, func(f *fixture) { f.SetCurrent(false) }, never, 0},
		{"job, view current again", job, func(f *fixture) { drain(f); f.SetCurrent(false) },
			func(f *fixture) { f.SetCurrent(true) }, 3*time.Second + strandedAfter, verdict.NotRun},
		{"job, task ended", func(f *fixture) {
			job(f)
			f.jobs[1].done = 1
		}, drain, nil, strandedStartedAfter, verdict.MayHaveRun},
		{"request, may have run", func(f *fixture) {
			f.requests[f.request(1, true)].mayHaveRun = true
		}, drain, nil, strandedAfter, verdict.MayHaveRun},
		{"replaced", request, drain, func(f *fixture) {
			f.SetUpstreams(f.now, append(members(1, 0), wire.Member{Incarnation: 2, Registration: wire.Registration{
				Kind: wire.KindAgent, Service: svc, Slots: 8, Connections: 64, Node: "new"}}))
			f.Connected(f.now, 2)
		}, never, 0},
		{"full", request, func(f *fixture) { f.credit(1, 0) }, nil, never, 0},
	} {
		f := newFixture(1)
		tc.submit(f)
		tc.lose(f)
		begin := f.now
		ended := never
		for ; f.now < begin+time.Minute-time.Second && ended == never; f.now += sweepInterval {
			if tc.later != nil && f.now == begin+3*time.Second {
				tc.later(f)
			}
			if starts := f.tick(); len(starts[ids.Incarnation(1)]) > 0 {
				t.Fatalf("%s: started", tc.name)
			}
			if len(f.out.Finished) == 0 {
				continue
			}
			ended = f.now - begin
			if o := f.out.Finished[0]; o.Err.Verdict != tc.want || o.Err.Reason != verdict.NoUpstream {
				t.Errorf("%s: %v, want %v", tc.name, o.Err, tc.want)
			}
		}
		if ended != tc.ends {
			t.Errorf("%s: ended after %v, want %v", tc.name, ended, tc.ends)
		}
	}
}
