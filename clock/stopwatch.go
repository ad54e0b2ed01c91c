package clock

import (
	"sync/atomic"
	"time"
)

// Stopwatch measures the time since its start, including the time for which the VM was
// suspended. Go's monotonic clock doesn't include that time, so a lease measured with it
// would last longer here than on the VM that has granted it.
type Stopwatch struct {
	start         time.Time
	readSuspended func() time.Duration // returns the suspended time since the VM was started

	suspendedAtStart time.Duration
	wallDrift        atomic.Int64 // drift at the last call of readSuspended
	suspended        atomic.Int64 // suspended time since the start of the stopwatch
}

// maxWallDrift is the change of the difference between the time of day and the monotonic
// clock above which the suspended time is read again. A suspension changes the difference
// by its length. Reading the suspended time for each call would take two system calls.
const maxWallDrift = 20 * time.Millisecond

// NewStopwatch returns a stopwatch that starts now.
func NewStopwatch() *Stopwatch { return newStopwatch(suspendedTime) }

func newStopwatch(readSuspended func() time.Duration) *Stopwatch {
	return &Stopwatch{start: time.Now(), readSuspended: readSuspended, suspendedAtStart: readSuspended()}
}

// Elapsed returns the time since the start.
func (s *Stopwatch) Elapsed() time.Duration {
	now := time.Now()
	return s.elapsedAt(now.Sub(s.start), now.Round(0).Sub(s.start.Round(0)))
}

// elapsedAt returns the elapsed time, given the time since the start by the monotonic
// clock and by the time of day.
func (s *Stopwatch) elapsedAt(monotonic, wall time.Duration) time.Duration {
	wallDrift := wall - monotonic
	if (wallDrift - time.Duration(s.wallDrift.Load())).Abs() > maxWallDrift {
		s.suspended.Store(int64(s.readSuspended() - s.suspendedAtStart))
		s.wallDrift.Store(int64(wallDrift)) // last, since another loop reads on once it is set
	}
	return monotonic + time.Duration(s.suspended.Load())
}
