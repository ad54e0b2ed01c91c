package executor

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// TestTradeoffSetsCreditReportDelay guards against a tradeoff without effect: it
// determines how soon an entry with outdated credit gets a report for that alone.
func TestTradeoffSetsCreditReportDelay(t *testing.T) {
	for _, tc := range []struct {
		tradeoff float64
		delay    time.Duration
	}{{0, 2 * time.Second}, {0.5, 200 * time.Millisecond}, {1, 20 * time.Millisecond}} {
		c := newTestCore(1)
		c.SetTradeoff(tc.tradeoff)
		c.Connected(0, entry1)
		c.Connected(0, entry2)
		c.Tick(0)
		const slotTakenAt = time.Second // entry1 takes the only slot, which entry2 doesn't know
		c.Receive(slotTakenAt, wire.Exchange{Entry: entry1, Starts: []wire.Start{start(0, 1, 1)}})
		at := c.Tick(slotTakenAt).NextTick
		if got := (at - slotTakenAt).Round(time.Millisecond); got != tc.delay {
			t.Errorf("tradeoff %v: credit report due after %v instead of %v", tc.tradeoff, got, tc.delay)
		}
		reported := false
		for _, m := range c.Tick(at).Send {
			reported = reported || m.To == entry2
		}
		if !reported {
			t.Errorf("tradeoff %v: no report to the entry with outdated credit", tc.tradeoff)
		}
	}
}
