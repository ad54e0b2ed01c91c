package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that outlives its context, or one that ends early.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		if !Sleep(t.Context(), time.Minute) || time.Since(begin) != time.Minute {
			t.Errorf("woke after %v", time.Since(begin))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if begin = time.Now(); Sleep(ctx, time.Hour) || time.Since(begin) != time.Second {
			t.Errorf("woke after %v in spite of its context", time.Since(begin))
		}
	})
}

// Guards against leases that stand still while the VM is suspended, and against
// a time of day that is set and moves them.
func TestStopwatchCountsSuspendedTime(t *testing.T) {
	var asleep time.Duration
	s := newStopwatch(func() time.Duration { return asleep })
	if got := s.at(time.Second, time.Second); got != time.Second {
		t.Errorf("%v after 1 s", got)
	}
	// The monotonic clock stands still during a suspension, the time of day goes on.
	asleep = 3 * time.Second
	if got := s.at(2*time.Second, 5*time.Second); got != 5*time.Second {
		t.Errorf("%v after 2 s awake and 3 s suspended", got)
	}
	if got := s.at(3*time.Second, time.Hour); got != 6*time.Second {
		t.Errorf("%v after 3 s awake, 3 s suspended and a time of day that was set", got)
	}
	if got := s.at(4*time.Second, 4*time.Second); got != 7*time.Second {
		t.Errorf("%v after the time of day was set back", got)
	}
}
