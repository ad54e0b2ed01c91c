package eventloop

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against ticks that come too often, too late or not at all.
func TestTicksFollowInputsAndTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tickMin = time.Millisecond
		var ticks []time.Duration
		next := time.Duration(0)
		l := New(tickMin, func(now time.Duration) time.Duration {
			ticks = append(ticks, now)
			if next <= now {
				return 0
			}
			return next
		})
		l.Start()
		for range 10 { // inputs within one tickMin share a tick
			l.Call(func(time.Duration) {})
		}
		time.Sleep(tickMin)
		synctest.Wait()
		if len(ticks) == 0 || len(ticks) > 2 || len(ticks) == 2 && ticks[1]-ticks[0] < tickMin {
			t.Errorf("ticks after 10 inputs: %v", ticks)
		}
		at := l.Now() + time.Minute
		l.Call(func(time.Duration) { next = at })
		time.Sleep(time.Hour)
		l.Stop()
		if last := ticks[len(ticks)-1]; last != at {
			t.Errorf("last tick at %v, wanted at %v", last, at)
		}
	})
}

// Guards against callers that wait for ever on a loop that has ended, and
// against inputs that are applied after its end.
func TestStoppedLoopTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Millisecond, func(time.Duration) time.Duration { return 0 })
		l.Start()
		l.Stop()
		applied := false
		if l.Post(func(time.Duration) { applied = true }) || l.Call(func(time.Duration) { applied = true }) {
			t.Error("an input was taken")
		}
		synctest.Wait()
		if applied || !l.Stopped() {
			t.Error("an input was applied")
		}
	})
}
