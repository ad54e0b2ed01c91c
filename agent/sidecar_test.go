package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// Guards against a sidecar that goes on starting an agent for a worker that is
// gone, that does not start one for its successor, or that spins when a start fails.
func TestSidecarFollowsTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var opened atomic.Int64
		var last atomic.Value
		s := NewSidecar(func(a worker.Announcement) Options {
			return Options{
				Node: "n", Service: "s", Upstream: "u:1", Listen: "256.0.0.1:bad", // never listens
				Session: func(context.Context, wire.Registration) (Session, error) {
					return nil, errors.New("no control group")
				},
				Worker: func() OpenWorker { opened.Add(1); last.Store(a.ID); return nil }(),
			}
		})
		s.Announce(worker.Announcement{ID: "a", Born: 1, Sequence: 2})
		time.Sleep(time.Second)
		if n := opened.Load(); n < 3 || n > 6 {
			t.Errorf("%d attempts in 1 s, want one each %v", n, reopenPause)
		}
		s.Announce(worker.Announcement{ID: "a", Born: 5, Sequence: 1}) // the same id, born again
		s.Announce(worker.Announcement{ID: "b", Born: 9, Sequence: 1})
		time.Sleep(time.Second)
		if last.Load() != "b" {
			t.Errorf("the latest attempt was for %v", last.Load())
		}
		s.Left("b")
		time.Sleep(time.Second)
		before := opened.Load()
		time.Sleep(time.Second)
		if n := opened.Load() - before; n != 0 {
			t.Errorf("%d attempts for a worker that has left", n)
		}
		if s.Ready() == nil {
			t.Error("ready without a worker")
		}
		s.Close()
	})
}
