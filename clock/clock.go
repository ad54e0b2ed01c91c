// Package clock provides waits that end with a context, and a stopwatch that includes
// the time for which the VM is suspended.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when ctx ends before that.
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
