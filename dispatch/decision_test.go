package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	self = ids.Incarnation(1000)
	svc  = ids.Service("svc")
)

// fixture is a core with upstreams 1 to n, which have 8 slots each.
type fixture struct {
	*Core
	now time.Duration
	out Output
}

func newFixture(n int) *fixture {
	cfg := Config{
		Self:            self,
		Services:        map[ids.Service]Service{svc: {Slots: 8, Connections: 64, Timeout: 30 * time.Second}, "none": {}},
		Teams:           map[ids.Team]Team{"a": {Quota: 1, MaxQueued: 2000}, "b": {Quota: 3, MaxQueued: 2000}},
		Tradeoff:        1,
		RetryBudget:     0.1,
		QuarantineShare: 0.3,
		MaxDeadline:     time.Hour,
	}
	f := &fixture{Core: New(cfg, 1), now: time.Second}
	f.SetCurrent(true)
	f.SetUpstreams(f.now, upstreamMembers(n, 0))
	for i := range n {
		f.Connected(f.now, ids.Incarnation(i+1))
		f.reportCredit(ids.Incarnation(i+1), 9)
		f.upstreams[ids.Incarnation(i+1)].health = Healthy
	}
	return f
}

// upstreamMembers returns n upstreams. The first one is expired if firstExpiredAt is not
// zero.
func upstreamMembers(n int, firstExpiredAt ids.Version) []wire.Member {
	var list []wire.Member
	for i := range n {
		list = append(list, wire.Member{Incarnation: ids.Incarnation(i + 1), Registration: wire.Registration{
			Kind: wire.KindAgent, Service: svc, Slots: 8, Connections: 64, Node: ids.Node(fmt.Sprint(i)),
		}})
	}
	list[0].Expired = firstExpiredAt
	return list
}

func (f *fixture) reportCredit(up ids.Incarnation, n int) {
	f.Report(f.now, wire.Report{Upstream: up, Credit: n, Held: f.upstreams[up].outstanding, Running: f.upstreams[up].outstanding})
}

// setRunTimes sets the learnt mean work of a task, in seconds, and the learnt slowness of
// the upstreams.
func (f *fixture) setRunTimes(taskWork float64, slowness ...float64) {
	s := f.services[svc]
	s.taskWork = estimate{n: 1000, mean: taskWork}
	for i, x := range slowness {
		u := f.upstreams[ids.Incarnation(i+1)]
		u.relativeSlowness.n = 1000
		u.relativeSlowness.add(x, 1)
		f.reindex(u)
	}
}

func (f *fixture) submitJob(id ids.Job, team ids.Team, n int, deadline time.Duration) {
	f.Submit(f.now, Job{JobSpec: JobSpec{Team: team, Service: svc, Tasks: n, Deadline: f.now + deadline},
		ID: id, Epoch: 1, Specs: make([]wire.TaskSpec, n)})
}

func (f *fixture) submitRequest(seq uint64, idempotent bool) ids.TaskKey {
	key := ids.RequestOf(self, seq)
	if err := f.Request(f.now, Request{Key: key, Team: "a", Service: svc, Idempotent: idempotent, Deadline: f.now + time.Minute}); err != nil {
		panic(err)
	}
	return key
}

// tick ticks the core and returns the starts by upstream.
func (f *fixture) tick() map[ids.Incarnation][]wire.Start {
	f.out = f.Tick(f.now)
	starts := map[ids.Incarnation][]wire.Start{}
	for _, m := range f.out.Send {
		starts[m.To] = append(starts[m.To], m.Exchange.Starts...)
	}
	return starts
}

// tickOneStart ticks the core and returns the start. The test fails if there isn't exactly
// one.
func (f *fixture) tickOneStart(t *testing.T) (ids.Incarnation, wire.Start) {
	t.Helper()
	starts := f.tick()
	if len(starts) != 1 {
		t.Fatalf("starts at %d upstreams, want 1", len(starts))
	}
	for up, list := range starts {
		if len(list) == 1 {
			return up, list[0]
		}
	}
	t.Fatalf("starts %+v, want one", starts)
	return 0, wire.Start{}
}

func (f *fixture) reportAnswer(up ids.Incarnation, st wire.Start, v verdict.Verdict, status int, reason verdict.Reason) {
	u := f.upstreams[up]
	f.Report(f.now, wire.Report{Upstream: up, Credit: 9, Held: max(u.outstanding-1, 0), Running: max(u.outstanding-1, 0), Answers: []wire.Answer{
		{Key: st.Key, Try: st.Try, Verdict: v, Status: status, Reason: reason, RunUS: 100_000}}})
}

// TestAdmit guards against work that is admitted although it can't be served in time, and
// against a refusal without the violated constraint or the time after which to retry.
func TestAdmit(t *testing.T) {
	minute := time.Second + time.Minute
	admissible := JobSpec{Team: "a", Service: svc, Tasks: 10, Deadline: minute}
	for _, tc := range []struct {
		name   string
		change func(*JobSpec)
		setUp  func(*fixture)
		want   verdict.Reason
		retry  bool
	}{
		{"fits", nil, nil, "", false},
		{"unknown service", func(s *JobSpec) { s.Service = "other" }, nil, verdict.UnknownService, false},
		{"unknown team", func(s *JobSpec) { s.Team = "other" }, nil, verdict.UnknownTeam, false},
		{"more tasks than any job may have", func(s *JobSpec) { s.Tasks = 10_001 }, nil, verdict.Infeasible, false},
		{"more tasks than the team may queue", func(s *JobSpec) { s.Tasks = 2001 }, nil, verdict.Infeasible, false},
		{"deadline beyond the maximum", func(s *JobSpec) { s.Deadline = 2 * time.Hour }, nil, verdict.Infeasible, false},
		{"past deadline", func(s *JobSpec) { s.Deadline = 0 }, nil, verdict.DeadlinePassed, false},
		{"service without slots", func(s *JobSpec) { s.Service = "none" }, nil, verdict.Infeasible, false},
		{"view not current", nil, func(f *fixture) { f.SetCurrent(false) }, verdict.Stale, true},
		{"no upstream", nil, func(f *fixture) { f.Disconnected(f.now, 1); f.Disconnected(f.now, 2) }, verdict.NoUpstream, true},
		{"slots used by another entry", nil, func(f *fixture) {
			f.Report(f.now, wire.Report{Upstream: 1, Credit: 1, Running: 8})
			f.Report(f.now, wire.Report{Upstream: 2, Credit: 1, Running: 8})
		}, "", false},
		{"queue of the team full", nil, func(f *fixture) { f.submitJob(1, "a", 1995, time.Hour) }, verdict.OverQuota, true},
		{"own tasks take too long", func(s *JobSpec) { s.Tasks = 1000; s.Deadline = 2 * time.Second }, nil, verdict.Overloaded, true},
		{"queued tasks take too long", func(s *JobSpec) { s.Deadline = 3 * time.Second },
			func(f *fixture) {
				for i := range 200 {
					f.submitJob(ids.Job(i+1), "a", 4, 3*time.Second)
				}
			}, verdict.Overloaded, true},
	} {
		f := newFixture(2)
		f.setRunTimes(0.1, 1, 1)
		if tc.setUp != nil {
			tc.setUp(f)
		}
		spec := admissible
		if tc.change != nil {
			tc.change(&spec)
		}
		err := f.Admit(f.now, spec)
		switch {
		case tc.want == "" && err != nil:
			t.Errorf("%s: refused: %v", tc.name, err)
		case tc.want != "" && (err == nil || err.Reason != tc.want || err.Verdict != verdict.NotRun):
			t.Errorf("%s: got %v, want %s", tc.name, err, tc.want)
		case tc.want != "" && tc.retry != (err.RetryAfter > 0):
			t.Errorf("%s: retry after %v", tc.name, err.RetryAfter)
		}
	}
}

// TestTaskWaitsForFasterUpstream guards against tasks that start on a slow upstream
// although they would end sooner on a fast one, and against a long queue that waits for
// the fast upstream while the slow one is idle.
func TestTaskWaitsForFasterUpstream(t *testing.T) {
	f := newFixture(2)
	f.setRunTimes(0.1, 0.5, 4)
	f.submitJob(1, "a", 9, time.Minute)
	if starts := f.tick(); len(starts[1]) != 8 || len(starts[2]) != 0 {
		t.Fatalf("%d starts on the fast upstream, %d on the slow one, want 8 and 0", len(starts[1]), len(starts[2]))
	}
	f.submitJob(2, "a", 400, time.Minute)
	if starts := f.tick(); len(starts[2]) != 8 {
		t.Fatalf("%d starts on the slow upstream with a long queue, want 8", len(starts[2]))
	}
}

// TestSmallJobGoesFirst guards against a small job that waits for all tasks of a large one.
func TestSmallJobGoesFirst(t *testing.T) {
	f := newFixture(1)
	f.setRunTimes(0.5, 1)
	f.submitJob(1, "a", 850, time.Hour)
	st := f.tick()[1]
	f.submitJob(2, "a", 2, time.Hour)
	f.reportAnswer(1, st[0], verdict.Ran, 200, "")
	if next := f.tick()[1]; len(next) != 1 || next[0].Key.Job != 2 {
		t.Fatalf("after the large job filled the slots, the next start is %+v", next)
	}
}

// TestQuota guards against a team that holds slots to which another one is entitled, and
// against slots that stay idle because the team entitled to them has no work.
func TestQuota(t *testing.T) {
	f := newFixture(1)
	f.setRunTimes(0.5, 1)
	f.submitJob(1, "a", 100, time.Hour)
	starts := f.tick()[1]
	if len(starts) != 8 {
		t.Fatalf("%d starts of the only team with work, want 8", len(starts))
	}
	f.submitJob(2, "b", 100, time.Hour)
	for i := 0; i < 40; i++ {
		f.now += sweepInterval
		f.reportAnswer(1, starts[0], verdict.Ran, 200, "")
		starts = append(starts[1:], f.tick()[1]...)
		b := 0
		for _, st := range starts {
			if st.Key.Job == 2 {
				b++
			}
		}
		// Three quarters of the tasks that both teams hold, rounded to the nearest integer.
		if want := (3*len(starts) + 2) / 4; i >= 20 && b != want {
			t.Fatalf("step %d: team b with three quarters of the quota holds %d of %d tasks, want %d", i, b, len(starts), want)
		}
	}
}

// TestAnswerMatching guards against an answer to an earlier try, from another incarnation
// or repeated, that is matched to the current try.
func TestAnswerMatching(t *testing.T) {
	f := newFixture(2)
	f.submitJob(1, "a", 1, time.Minute)
	up, first := f.tickOneStart(t)
	f.reportAnswer(up, first, verdict.NotRun, 0, verdict.Recalled)
	_, second := f.tickOneStart(t)
	if second.Try <= first.Try {
		t.Fatalf("try %d follows try %d", second.Try, first.Try)
	}
	for _, up := range []ids.Incarnation{1, 2, 77} {
		f.Report(f.now, wire.Report{Upstream: up, Credit: 9, Answers: []wire.Answer{
			{Key: first.Key, Try: first.Try, Verdict: verdict.NotRun, Reason: verdict.Recalled}}})
	}
	if starts := f.tick(); len(starts[1])+len(starts[2]) != 0 || len(f.out.Finished) != 0 {
		t.Fatalf("a repeated refusal led to output %+v", f.out)
	}
	if got := f.Messages().WastedUnmatched; got != 3 {
		t.Fatalf("%d unmatched answers counted, want 3", got)
	}
}

// TestLostUpstream guards against a second start of work whose outcome is unknown, and
// against an idempotent request that fails instead of being retried.
func TestLostUpstream(t *testing.T) {
	f := newFixture(3)
	f.cfg.Tradeoff = 0 // prevents a hedge after the disconnect
	f.submitJob(1, "a", 1, time.Minute)
	f.submitRequest(1, false)
	f.submitRequest(2, true)
	f.setRunTimes(0.1, 0.1, 10, 10)
	f.tick()
	if f.upstreams[1].outstanding != 3 {
		t.Fatalf("upstream 1 holds %d attempts, want 3", f.upstreams[1].outstanding)
	}
	f.Disconnected(f.now, 1)
	if starts := f.tick(); len(starts) != 0 || len(f.out.Finished) != 0 {
		t.Fatalf("a disconnect alone led to output %+v", f.out)
	}
	f.SetUpstreams(f.now, upstreamMembers(3, 50))
	starts := f.tick()
	retried := append(starts[2], starts[3]...)
	if len(retried) != 1 || retried[0].Key != ids.RequestOf(self, 2) {
		t.Fatalf("restarted %+v, want only the idempotent request", retried)
	}
	if len(f.out.Finished) != 2 {
		t.Fatalf("%d outcomes, want 2", len(f.out.Finished))
	}
	for _, o := range f.out.Finished {
		if o.Err == nil || o.Err.Verdict != verdict.MayHaveRun || o.Err.Reason != verdict.UpstreamLost {
			t.Fatalf("outcome %+v", o)
		}
	}
}

// TestReconnect guards against a start that is lost with its connection, and against one
// that is sent again as a new try or to another upstream.
func TestReconnect(t *testing.T) {
	f := newFixture(2)
	f.submitJob(1, "a", 1, time.Minute)
	up, first := f.tickOneStart(t)
	f.Disconnected(f.now, up)
	f.Connected(f.now, up)
	again, st := f.tickOneStart(t)
	if again != up || st.Try != first.Try || st.Key != first.Key {
		t.Fatalf("%+v at %d was sent again as %+v at %d", first, up, st, again)
	}
}

// TestOutdatedReport guards against tasks that wait until their deadline for an upstream
// that other entries no longer use, because the report that showed this was lost.
func TestOutdatedReport(t *testing.T) {
	f := newFixture(1)
	f.setRunTimes(0.1, 1)
	f.Report(f.now, wire.Report{Upstream: 1, Credit: 9, Running: 9})
	f.submitJob(1, "a", 1, time.Minute)
	if starts := f.tick(); len(starts) != 0 {
		t.Fatalf("starts at a full upstream: %+v", starts)
	}
	started := 0
	for range 40 {
		f.now += sweepInterval
		started += len(f.tick()[1])
	}
	if started != 1 {
		t.Fatalf("%d starts within 4 s, want 1", started)
	}
}

// TestRetryBudget guards against retries that multiply the load during a failure.
func TestRetryBudget(t *testing.T) {
	f := newFixture(11)
	f.setRunTimes(0.1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	const n = 200
	starts := 0
	for i := range n {
		f.now += 10 * time.Millisecond
		f.submitRequest(uint64(i), true)
		for moreStarts := true; moreStarts; {
			moreStarts = false
			for up, list := range f.tick() {
				for _, st := range list {
					starts++
					moreStarts = true
					f.reportAnswer(up, st, verdict.Ran, 500, "")
				}
			}
		}
	}
	if starts > n+retryBurst {
		t.Fatalf("%d starts for %d requests that all fail", starts, n)
	}
}

// TestHedge guards against more than one hedge of a request, a hedge of a request that is
// not idempotent, and an attempt that is not aborted after the other one has succeeded.
func TestHedge(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		f := newFixture(3)
		f.setRunTimes(0.1, 1, 1, 1)
		key := f.submitRequest(1, idempotent)
		up, st := f.tickOneStart(t)
		hedges := map[ids.Incarnation]wire.Start{}
		for range 50 {
			f.now += 100 * time.Millisecond
			for other, list := range f.tick() {
				for _, h := range list {
					if h.Try != st.Try {
						hedges[other] = h
					}
				}
			}
		}
		if !idempotent && len(hedges) != 0 || idempotent && len(hedges) != 1 {
			t.Fatalf("idempotent %v: %d hedges", idempotent, len(hedges))
		}
		for other, h := range hedges {
			f.reportAnswer(other, h, verdict.Ran, 200, "")
			f.tick()
			if len(f.out.Finished) != 1 || len(f.out.Send) == 0 || f.out.Send[0].To != up || f.out.Send[0].Exchange.Aborts[0] != key {
				t.Fatalf("after the hedge has succeeded: output %+v, want one outcome and an abort of the first attempt", f.out)
			}
		}
	}
}

// TestQuarantine guards against an upstream that fails all tasks and still gets work,
// upstreams in quarantine because of jobs whose tasks fail everywhere, and more upstreams
// in quarantine than the configured share allows.
func TestQuarantine(t *testing.T) {
	for _, tc := range []struct {
		name           string
		failing        func(up ids.Incarnation) bool
		tasks          int
		maxLoadShare   float64 // of the failing upstreams, after 2 s
		maxQuarantined int
	}{
		{"one bad upstream", func(up ids.Incarnation) bool { return up == 1 }, 1, 0.01, 1},
		{"half of them", func(up ids.Incarnation) bool { return up <= 5 }, 1, 0.05, 3},
		{"bad jobs", func(ids.Incarnation) bool { return true }, 30, 1, 0},
	} {
		f := newFixture(10)
		f.setRunTimes(0.1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		failing, allStarts := 0, 0
		for i := range 600 {
			f.now += 10 * time.Millisecond
			f.submitJob(ids.Job(i+1), "a", tc.tasks, time.Minute)
			for up, list := range f.tick() {
				for _, st := range list {
					status := 200
					if tc.failing(up) {
						status = 500
					}
					if i >= 200 {
						allStarts++
						if tc.failing(up) {
							failing++
						}
					}
					f.reportAnswer(up, st, verdict.Ran, status, "")
				}
			}
			if got := f.services[svc].quarantinedCount; got > tc.maxQuarantined {
				t.Fatalf("%s: %d upstreams in quarantine, at most %d allowed", tc.name, got, tc.maxQuarantined)
			}
		}
		if got := float64(failing) / float64(allStarts); got > tc.maxLoadShare {
			t.Errorf("%s: failing upstreams get %.3f of the load after 2 s, want at most %.3f", tc.name, got, tc.maxLoadShare)
		}
	}
}

// TestFlapping guards against an upstream that gets full load although it keeps
// registering anew.
func TestFlapping(t *testing.T) {
	f := newFixture(1)
	for i := range 4 {
		m := upstreamMembers(1, 0)
		m[0].Incarnation = ids.Incarnation(10 + i)
		f.now += time.Second
		f.SetUpstreams(f.now, m)
	}
	f.Connected(f.now, 13)
	f.reportCredit(13, 9)
	f.submitJob(1, "a", 5, time.Minute)
	if starts := f.tick(); len(starts[13]) != 1 {
		t.Fatalf("%d starts at an upstream that flaps, want 1", len(starts[13]))
	}
}

// TestCancelTakesOneMessagePerAgent guards against a cancellation that sends a message for
// each task.
func TestCancelTakesOneMessagePerAgent(t *testing.T) {
	f := newFixture(2)
	f.submitJob(1, "a", 16, time.Minute)
	f.submitJob(2, "a", 4, time.Minute)
	f.tick()
	f.Cancel(f.now, 1)
	f.Cancel(f.now, 2)
	f.tick()
	if len(f.out.Send) > 2 || len(f.out.Finished) != 2 {
		t.Fatalf("%d messages and %d outcomes for two canceled jobs on two agents", len(f.out.Send), len(f.out.Finished))
	}
}

// TestVerdictOfUnfinishedJob guards against the verdict not-run from an owner that may have
// been replaced or for a job of which an upstream has been sent tasks.
func TestVerdictOfUnfinishedJob(t *testing.T) {
	for _, tc := range []struct {
		name              string
		current, upstream bool
		want              verdict.Verdict
	}{
		{"nothing started", true, false, verdict.NotRun},
		{"stale owner", false, false, verdict.MayHaveRun},
		{"tasks under way", true, true, verdict.MayHaveRun},
	} {
		f := newFixture(1)
		if !tc.upstream {
			f.Disconnected(f.now, 1)
		}
		f.submitJob(1, "a", 2, time.Second)
		f.tick()
		f.SetCurrent(tc.current)
		f.now += 2 * time.Second
		f.tick()
		if len(f.out.Finished) != 1 || f.out.Finished[0].Err.Verdict != tc.want {
			t.Errorf("%s: %+v, want %v", tc.name, f.out.Finished, tc.want)
		}
	}
}
