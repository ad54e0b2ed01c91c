//go:build !linux

package clock

import "time"

// suspendedTime is not known on other systems.
func suspendedTime() time.Duration { return 0 }
