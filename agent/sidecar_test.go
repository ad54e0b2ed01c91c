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

// Guards against a sidecar that keeps starting an agent for a worker that is gone,
// that starts none for the worker's successor, or that retries a failed start without
// a delay.
func TestSidecarFollowsTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var startAttempts atomic.Int64
		var lastWorker atomic.Value
		s := NewSidecar(time.Second, func(a worker.Announcement) Options {
			return Options{
				Node: "n", Service: "s", Upstream: "u:1", Listen: "127.0.0.1:99999", // no such port, so the listen fails without a lookup
				Session: func(context.Context, wire.Registration) (Session, error) {
					return nil, errors.New("no control group")
				},
				Worker: func() OpenWorker { startAttempts.Add(1); lastWorker.Store(a.ID); return nil }(),
			}
		})
		s.SetWorker(worker.Announcement{ID: "a", Born: 1, Sequence: 2})
		time.Sleep(time.Second)
		if n := startAttempts.Load(); n < 3 || n > 6 {
			t.Errorf("%d attempts in 1 s, want one each %v", n, restartDelay)
		}
		s.SetWorker(worker.Announcement{ID: "a", Born: 5, Sequence: 1}) // the same id, restarted
		s.SetWorker(worker.Announcement{ID: "b", Born: 9, Sequence: 1})
		time.Sleep(time.Second)
		if lastWorker.Load() != "b" {
			t.Errorf("the latest attempt was for %v", lastWorker.Load())
		}
		s.RemoveWorker("b")
		time.Sleep(time.Second)
		before := startAttempts.Load()
		time.Sleep(time.Second)
		if n := startAttempts.Load() - before; n != 0 {
			t.Errorf("%d attempts for a worker that has left", n)
		}
		if s.Ready() == nil {
			t.Error("ready without a worker")
		}
		s.Close()
	})
}

// Guards against an agent that is closed, with the runs of its healthy worker, by a heartbeat
// of an earlier start of the worker that a partition has held back.
func TestDelayedHeartbeatOfAnEarlierStartIsIgnored(t *testing.T) {
	s := &Sidecar{changed: make(chan struct{}, 1), starts: starts{heartbeatInterval: time.Second}}
	s.SetWorker(worker.Announcement{ID: "w", Born: 1000, Sequence: 9})
	s.SetWorker(worker.Announcement{ID: "w", Born: 2000, Sequence: 1})
	s.SetWorker(worker.Announcement{ID: "w", Born: 1000, Sequence: 8})
	if a, _ := s.Worker(); a.Born != 2000 {
		t.Errorf("the agent serves the start of %d after that of 2000 announced itself", a.Born)
	}
}

// Guards against an agent that is registered for a worker that has announced its drain, or
// beside a sidecar that is leaving, since its start began before.
func TestStartOfAnAgentEndsWithADrain(t *testing.T) {
	ready := worker.Announcement{ID: "a", Born: 1, Sequence: 1}
	draining := worker.Announcement{ID: "a", Born: 1, Sequence: 2, Draining: true}
	for _, tc := range []struct {
		name  string
		drain func(*Sidecar)
	}{
		{"the worker drains", func(s *Sidecar) { s.SetWorker(draining) }},
		{"the sidecar leaves", func(s *Sidecar) { _ = s.Drain(t.Context()) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			var registering atomic.Int64
			s := NewSidecar(time.Second, func(worker.Announcement) Options {
				return Options{
					Node: "n", Service: "s", Upstream: "u:1",
					Session: func(ctx context.Context, _ wire.Registration) (Session, error) {
						registering.Add(1)
						defer registering.Add(-1)
						<-ctx.Done()
						return nil, ctx.Err()
					},
				}
			})
			s.SetWorker(ready)
			time.Sleep(time.Second)
			if registering.Load() != 1 {
				t.Fatal("no agent registers for a worker that is ready")
			}
			tc.drain(s)
			time.Sleep(time.Second)
			if registering.Load() != 0 {
				t.Errorf("%s: an agent goes on to register", tc.name)
			}
			s.Close()
		})
	}
}

// Guards against a worker that is never used again after a heartbeat has named it as draining,
// since its agent, once drained, accepts no tasks.
func TestWorkerThatReportsReadyAgainIsServed(t *testing.T) {
	c := &scriptedControl{}
	s := NewSidecar(time.Second, func(worker.Announcement) Options {
		return Options{Node: "n", Service: "s", Upstream: "u:1", Session: c.open}
	})
	for i, draining := range []bool{false, true, false} {
		s.SetWorker(worker.Announcement{ID: "a", Born: 1, Sequence: uint64(i), Draining: draining})
		for end := time.Now().Add(time.Minute); (s.Ready() == nil) == draining && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if err := s.Ready(); (err == nil) == draining {
			t.Errorf("heartbeat %d, draining %v: the agent accepts tasks: %v", i, draining, err == nil)
		}
	}
	s.Close()
}
