package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime is how long the VM has been suspended since its start.
func suspendedTime() time.Duration {
	return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC)
}

func read(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic("clock: " + err.Error()) // both clocks exist on every Linux that Go runs on
	}
	return time.Duration(t.Nano())
}
