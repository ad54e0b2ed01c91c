package executor

import (
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a worker that grants no more than what runs there although small tasks fit
// beside it: the average of earlier, large tasks decided whether one more may come.
func TestLargeTasksLeaveRoomForSmallOnes(t *testing.T) {
	c := New(Config{Self: selfInc, LookAhead: 1, AnswerBytes: 1000, Capacity: wire.Resources{CPU: 16000, Memory: 1000, GPU: 8}})
	c.SetEntries(0, 10, []wire.Member{entryMember(entry1, 0)})
	c.SetCurrent(true)
	for i := range uint64(20) {
		large := sizedStart(entry1, i+1, 9000)
		large.Size.GPU = 8
		sendStarts(c, entry1, large)
		c.Finished(0, wire.Answer{Key: large.Key})
	}
	small := sizedStart(entry1, 100, 500)
	sendStarts(c, entry1, small)
	c.Finished(0, wire.Answer{Key: small.Key})
	blocking := sizedStart(entry1, 101, 9000)
	blocking.Size.GPU = 8
	sendStarts(c, entry1, blocking)
	running := 1
	for i := range uint64(14) { // as many as fit into 7,000
		if limit := c.sizedConcurrencyLimit(); limit <= running {
			t.Fatalf("%d tasks run and small ones fit beside them, at most %d may", running, limit)
		}
		out := sendStarts(c, entry1, sizedStart(entry1, 102+i, 500))
		if len(out.Run) != 1 || out.Run[0].Key != ids.RequestOf(entry1, 102+i) {
			t.Fatalf("with %d tasks running, started %v", running, out.Run)
		}
		running++
	}
}

// Guards against an entry that takes the room of a worker for free, or for taken, because
// the agent's report shows the number of the other entries' tasks only.
func TestReportShowsWhatOthersTake(t *testing.T) {
	c := newSizedCore()
	sendStarts(c, entry2, sizedStart(entry2, 1, 5000), sizedStart(entry2, 2, 100))
	sendStarts(c, entry1, sizedStart(entry1, 1, 300), sizedStart(entry1, 2, 300))
	for i, want := range []wire.Resources{{CPU: 5100, Memory: 20}, {CPU: 100, Memory: 10}} {
		c.Finished(0, wire.Answer{Key: ids.RequestOf(entry1, uint64(i+1))})
		out := c.Tick(0)
		if len(out.Send) != 1 || out.Send[0].To != entry1 || out.Send[0].Report.OtherSize != want {
			t.Errorf("sent %+v, want one report with %+v", out.Send, want)
		}
		c.Finished(0, wire.Answer{Key: ids.RequestOf(entry2, 1)})
		c.Tick(0)
	}
}
