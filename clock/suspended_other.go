//go:build !linux

package clock

import "time"

// suspendedTime returns zero, since the suspended time is known on Linux only.
func suspendedTime() time.Duration { return 0 }
