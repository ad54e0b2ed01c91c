package executor

import (
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a task that is reported as done without having run: its start has the key of
// an earlier task, and is answered from the row of that one.
func TestStartWithTheKeyOfAnotherTaskIsRefused(t *testing.T) {
	first := sizedStart(entry1, 1, 100)
	for name, alter := range map[string]func(*wire.Start){
		"name":  func(st *wire.Start) { st.Name = "other" },
		"batch": func(st *wire.Start) { st.Batch++ },
		"size":  func(st *wire.Start) { st.Size.Memory++ },
		"body":  func(st *wire.Start) { st.Body = []byte("other") },
	} {
		for _, try := range []uint32{1, 2} {
			c := newSizedCore()
			sendStarts(c, entry1, first)
			c.Finished(0, wire.Answer{Key: first.Key, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200})
			c.Tick(0)
			other := first
			other.Try = try
			alter(&other)
			out := sendStarts(c, entry1, other)
			if got := refusalReasons(out, entry1)[first.Key]; got != verdict.KeyReuse || len(out.Run) > 0 {
				t.Errorf("another %s, try %d: refused with %q, started %v", name, try, got, out.Run)
			}
		}
	}
}

// Guards against a refusal of a repeated start, which differs from the first one only by what
// depends on the time of sending.
func TestRepeatedStartIsTheSameTask(t *testing.T) {
	first := sizedStart(entry1, 1, 100)
	c := newSizedCore()
	sendStarts(c, entry1, first)
	again := first
	again.BudgetMS, again.DueMS = first.BudgetMS/2, first.DueMS+1
	out := sendStarts(c, entry1, again)
	if got := refusalReasons(out, entry1); len(got) > 0 || len(out.Run) > 0 {
		t.Errorf("refused %v, started %v", got, out.Run)
	}
	c.Finished(0, wire.Answer{Key: first.Key, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200})
	if got := answersTo(sendStarts(c, entry1, again), entry1); len(got) == 0 || got[0].Key != (ids.TaskKey{Entry: entry1, Index: 1}) || got[0].Verdict != verdict.Ran {
		t.Errorf("a repeated start after the end is answered with %+v", got)
	}
}
