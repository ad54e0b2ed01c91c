package clock

import (
	"sync/atomic"
	"time"
)

// Stopwatch measures the time since its start, the time included for which the VM
// was suspended. Go's monotonic clock leaves that out, so a lease measured by it
// would outlive the one that another VM has granted.
type Stopwatch struct {
	origin time.Time
	asleep func() time.Duration // suspended time since the VM was started

	asleepAtStart time.Duration
	shift         atomic.Int64 // of the time of day against the monotonic clock, when last looked at
	suspended     atomic.Int64 // since the start
}

// shiftLimit is the shift of the time of day against the monotonic clock beyond
// which the suspended time is read again. A suspension shifts it by its length, and
// reading the suspended time each time would cost two system calls.
const shiftLimit = 20 * time.Millisecond

// NewStopwatch starts a stopwatch.
func NewStopwatch() *Stopwatch { return newStopwatch(suspendedTime) }

func newStopwatch(asleep func() time.Duration) *Stopwatch {
	return &Stopwatch{origin: time.Now(), asleep: asleep, asleepAtStart: asleep()}
}

// Elapsed is the time since the start.
func (s *Stopwatch) Elapsed() time.Duration {
	now := time.Now()
	return s.at(now.Sub(s.origin), now.Round(0).Sub(s.origin.Round(0)))
}

// at returns the elapsed time from that of the monotonic clock and of the time of day.
func (s *Stopwatch) at(steady, wall time.Duration) time.Duration {
	shift := wall - steady
	if (shift - time.Duration(s.shift.Load())).Abs() > shiftLimit {
		s.shift.Store(int64(shift))
		s.suspended.Store(int64(s.asleep() - s.asleepAtStart))
	}
	return steady + time.Duration(s.suspended.Load())
}
