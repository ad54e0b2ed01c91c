package dispatch

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// submitTakeover submits job 100, which has three tasks, for takeover and returns the
// claims.
func submitTakeover(f *fixture, specs []wire.TaskSpec) []ClaimRequest {
	f.Submit(f.now, Job{JobSpec: JobSpec{Team: "a", Service: svc, Tasks: 3, Deadline: f.now + time.Minute},
		ID: 100, Epoch: 2, Takeover: true, Specs: specs})
	f.tick()
	return f.out.Claims
}

func endedRow(index int) wire.TaskRow {
	return wire.TaskRow{Index: index, State: wire.TaskEnded, Answer: &wire.Answer{
		Key: ids.TaskOf(100, index), Try: 7, Verdict: verdict.Ran, Status: 200}}
}

// TestTakeoverWaits guards against a start before all agents have answered the claim, a
// start without a task body, and a second start of a task for which an agent has a row.
func TestTakeoverWaits(t *testing.T) {
	f := newFixture(2)
	if claims := submitTakeover(f, nil); len(claims) != 2 || claims[0].Claim.Epoch != 2 {
		t.Fatalf("claims %+v, want one for each upstream", claims)
	}
	f.Claimed(f.now, 100, wire.ClaimReply{Upstream: 1, Rows: []wire.TaskRow{endedRow(0), {Index: 1, State: wire.TaskRunning}}})
	if err := f.Bodies(f.now, 100, make([]wire.TaskSpec, 2)); err == nil {
		t.Fatal("task bodies whose number differs from the number of tasks are accepted")
	}
	if starts := f.tick(); len(starts) != 0 {
		t.Fatalf("starts before the second claim is answered: %+v", starts)
	}
	f.Claimed(f.now, 100, wire.ClaimReply{Upstream: 2, Rows: []wire.TaskRow{{Index: 2, State: wire.TaskRecalled}}})
	if starts := f.tick(); len(starts) != 0 {
		t.Fatalf("starts without task bodies: %+v", starts)
	}
	if p, _ := f.Progress(100); !p.NeedBodies || p.Done != 1 {
		t.Fatalf("progress %+v, want one task done and bodies needed", p)
	}
	if err := f.Bodies(f.now, 100, make([]wire.TaskSpec, 3)); err != nil {
		t.Fatal(err)
	}
	up, st := f.tickOneStart(t)
	if st.Key != ids.TaskOf(100, 2) || st.Epoch != 2 {
		t.Fatalf("started %+v", st)
	}
	f.reportAnswer(up, st, verdict.Ran, 200, "")
	f.reportAnswer(1, wire.Start{Key: ids.TaskOf(100, 1), Try: 4}, verdict.Ran, 200, "")
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].State != wire.JobComplete {
		t.Fatalf("outcomes %+v, want one complete job", f.out.Finished)
	}
}

// TestTakeoverLost guards against a start of a task that may have run on an incarnation
// that expired before it answered the claim.
func TestTakeoverLost(t *testing.T) {
	for _, lostBefore := range []bool{true, false} {
		f := newFixture(2)
		if lostBefore {
			f.SetUpstreams(f.now, upstreamMembers(2, 150))
		}
		submitTakeover(f, make([]wire.TaskSpec, 3))
		if !lostBefore {
			f.SetUpstreams(f.now, upstreamMembers(2, 150))
		}
		f.Claimed(f.now, 100, wire.ClaimReply{Upstream: 2, Rows: []wire.TaskRow{endedRow(0), endedRow(1)}})
		starts := f.tick()
		if len(starts[2]) != 0 || len(f.out.Finished) != 1 || f.out.Finished[0].Err.Verdict != verdict.MayHaveRun {
			t.Fatalf("lost before %v: starts %+v, outcomes %+v", lostBefore, starts, f.out.Finished)
		}
	}
}

// TestTakeoverOfOldIncarnation guards against a takeover that fails because of an
// incarnation that expired before the job was admitted.
func TestTakeoverOfOldIncarnation(t *testing.T) {
	f := newFixture(2)
	f.SetUpstreams(f.now, upstreamMembers(2, 50))
	submitTakeover(f, nil)
	f.Claimed(f.now, 100, wire.ClaimReply{Upstream: 2, Rows: []wire.TaskRow{endedRow(0), endedRow(1), endedRow(2)}})
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].State != wire.JobComplete {
		t.Fatalf("outcomes %+v, want one complete job", f.out.Finished)
	}
}

// TestTakeoverRefusedTask guards against a start without a task body after a task of the
// former owner turned out not to have run.
func TestTakeoverRefusedTask(t *testing.T) {
	f := newFixture(1)
	submitTakeover(f, nil)
	f.Claimed(f.now, 100, wire.ClaimReply{Upstream: 1, Rows: []wire.TaskRow{endedRow(0), endedRow(1), {Index: 2, State: wire.TaskRunning}}})
	f.reportAnswer(1, wire.Start{Key: ids.TaskOf(100, 2), Try: 4}, verdict.NotRun, 0, verdict.UpstreamRefused)
	f.now += time.Second
	if starts := f.tick(); len(starts[1]) != 0 {
		t.Fatalf("started without a task body: %+v", starts)
	}
	if p, _ := f.Progress(100); !p.NeedBodies {
		t.Fatalf("progress %+v, want bodies needed", p)
	}
}

// TestFormerOwner guards against a not-run verdict from an owner that has been replaced.
func TestFormerOwner(t *testing.T) {
	f := newFixture(1)
	f.submitJob(1, "a", 1, time.Minute)
	_, st := f.tickOneStart(t)
	f.reportAnswer(1, st, verdict.NotRun, 0, verdict.Fenced)
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].Err.Verdict != verdict.MayHaveRun {
		t.Fatalf("outcomes %+v, want verdict may-have-run", f.out.Finished)
	}
}
