package eventloop

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against ticks that are more frequent than minTickInterval, late or missing.
func TestTicksFollowInputsAndTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const minTickInterval = time.Millisecond
		var ticks []time.Duration
		nextTick := time.Duration(0)
		l := New(minTickInterval, func(now time.Duration) time.Duration {
			ticks = append(ticks, now)
			if nextTick <= now {
				return 0
			}
			return nextTick
		})
		l.Start()
		for range 10 { // inputs within one tickMin share a tick
			l.Call(func(time.Duration) {})
		}
		time.Sleep(minTickInterval)
		synctest.Wait()
		if len(ticks) == 0 || len(ticks) > 2 || len(ticks) == 2 && ticks[1]-ticks[0] < minTickInterval {
			t.Errorf("ticks after 10 inputs: %v", ticks)
		}
		at := l.Now() + time.Minute
		l.Call(func(time.Duration) { nextTick = at })
		time.Sleep(time.Hour)
		l.Stop()
		if last := ticks[len(ticks)-1]; last != at {
			t.Errorf("last tick at %v, wanted at %v", last, at)
		}
	})
}

// Guards against callers that block forever on a stopped loop, and against inputs that
// are applied after it has stopped.
func TestStoppedLoopRejectsInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Millisecond, func(time.Duration) time.Duration { return 0 })
		l.Start()
		l.Stop()
		applied := false
		if l.Post(func(time.Duration) { applied = true }) || l.Call(func(time.Duration) { applied = true }) {
			t.Error("a stopped loop accepted an input")
		}
		synctest.Wait()
		if applied || !l.Stopped() {
			t.Error("a stopped loop applied an input")
		}
	})
}
