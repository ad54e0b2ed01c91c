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
