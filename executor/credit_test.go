package executor

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// TestTradeoffSetsTheDelayOfCorrections guards against a setting without effect:
// it decides how soon a message of its own corrects an entry's view.
func TestTradeoffSetsTheDelayOfCorrections(t *testing.T) {
	for _, tc := range []struct {
		tradeoff float64
		delay    time.Duration
	}{{0, 2 * time.Second}, {0.5, 200 * time.Millisecond}, {1, 20 * time.Millisecond}} {
		c := newTest(1)
		c.SetTradeoff(tc.tradeoff)
		c.Connected(0, e1)
		c.Connected(0, e2)
		c.Tick(0)
		const taken = time.Second // when the only slot is taken, which e2 doesn't know
		c.Receive(taken, wire.Exchange{Entry: e1, Starts: []wire.Start{start(0, 1, 1)}})
		at := c.Tick(taken).NextTick
		if got := (at - taken).Round(time.Millisecond); got != tc.delay {
			t.Errorf("tradeoff %v: correction due after %v instead of %v", tc.tradeoff, got, tc.delay)
		}
		told := false
		for _, m := range c.Tick(at).Send {
			told = told || m.To == e2
		}
		if !told {
			t.Errorf("tradeoff %v: no report to the entry with the wrong view", tc.tradeoff)
		}
	}
}
