package executor

import (
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// TestTimedOutCallKeepsItsSlot guards against more tasks than slots on an upstream that
// still works on a call that has timed out.
func TestTimedOutCallKeepsItsSlot(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	c.TimedOut(0, wire.Answer{Key: ids.TaskOf(job7, 0), Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamTimeout})
	out := c.Tick(0)
	if len(out.Run) != 0 {
		t.Fatalf("started %v while the upstream is busy", out.Run)
	}
	if got := answersTo(out, entry1); len(got) != 1 || got[0].Verdict != verdict.MayHaveRun {
		t.Fatalf("answers after the timeout: %v", got)
	}
	out = finishTask(c, 0, "late")
	if len(out.Run) != 1 || out.Run[0].Key != ids.TaskOf(job7, 1) {
		t.Fatalf("started %v after the call ended", out.Run)
	}
	if got := answersTo(out, entry1); len(got) != 0 {
		t.Fatalf("the late answer was reported: %v", got)
	}
}
