// Package clock holds waits that end with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns false when ctx ends before.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
