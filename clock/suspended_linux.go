package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the VM has been suspended since it was started.
func suspendedTime() time.Duration { return suspendedBy(readClock) }

// maxReadingTime is the time between two readings of one clock within which the reading of
// another one counts as simultaneous.
const maxReadingTime = time.Millisecond

// suspendedBy returns the lead of the clock that counts suspended time. The process may
// stand still between two readings, so it reads again until they are close together.
func suspendedBy(read func(id int32) time.Duration) time.Duration {
	for {
		before := read(unix.CLOCK_MONOTONIC)
		boot := read(unix.CLOCK_BOOTTIME)
		if read(unix.CLOCK_MONOTONIC)-before <= maxReadingTime {
			return boot - before
		}
	}
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic("clock: " + err.Error()) // both clocks exist on every Linux that Go runs on
	}
	return time.Duration(t.Nano())
}
