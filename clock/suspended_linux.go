package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns how long the VM has been suspended since it was started.
func suspendedTime() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic("clock: " + err.Error()) // both clocks exist on every Linux that Go runs on
	}
	return time.Duration(t.Nano())
}
