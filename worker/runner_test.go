package worker

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// fullWorker is a worker that refuses all starts and records when each would have expired.
type fullWorker struct {
	startTime time.Time
	expires   map[string]time.Duration // end of a start's validity on the worker's clock, by task
	renewals  int                      // that have arrived
}

func (w *fullWorker) clock() time.Duration { return time.Since(w.startTime) }

func (w *fullWorker) Start(_ context.Context, req StartRequest) (StartReply, error) {
	w.expires[req.Run.Task] = req.Until
	return StartReply{Clock: w.clock(), Refused: RefusedFull}, nil
}

func (w *fullWorker) Stop(context.Context, StopRequest) (StopReply, error) { return StopReply{}, nil }

func (w *fullWorker) Renew(context.Context, RenewRequest) (Status, error) {
	w.renewals++
	return Status{Clock: w.clock()}, nil
}

func (w *fullWorker) Close() {}

// Guards against two overlapping runs of a task: an agent freezes between the check of an
// entry's lease and the request to the worker, and starts the task when it goes on. After a
// long freeze the start is not sent; after a short one its validity counts from the handover.
func TestStartHandedOverBeforeAFreezeExpires(t *testing.T) {
	for _, freeze := range []time.Duration{maxSendDelay, 3 * time.Second} {
		t.Run(freeze.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkStartAfterFreeze(t, freeze) })
		})
	}
}

// checkStartAfterFreeze hands a start over in the middle of a freeze.
func checkStartAfterFreeze(t *testing.T, freeze time.Duration) {
	w := &fullWorker{startTime: time.Now(), expires: map[string]time.Duration{}}
	r := NewRunner(Config{Fence: 7, Lease: time.Second}, w, clock.NewStopwatch(), func(a wire.Answer) {
		if a.Key.Index == 1 {
			time.Sleep(freeze) // the loop's goroutine stands still
		}
	})
	if err := r.WaitOrphansCleared(t.Context()); err != nil {
		t.Fatal(err)
	}
	r.Run(wire.Start{Key: ids.RequestOf(1, 1), Try: 1, Name: "first"}, 0)
	time.Sleep(freeze / 2)
	handedOverAt := w.clock()
	r.Run(wire.Start{Key: ids.RequestOf(1, 2), Try: 1, Name: "second"}, 0)
	time.Sleep(freeze)
	r.Close()
	expires, sent := w.expires["second"]
	if wait := freeze / 2; sent != (wait < maxSendDelay) {
		t.Errorf("sent %v after %v", sent, wait)
	}
	if late := expires - handedOverAt; late > startValidity {
		t.Errorf("the start may be executed %v after it was handed over, want %v at most", late, startValidity)
	}
}

// Guards against two overlapping runs of a task: an agent freezes between the decision to
// request a start and the request, its worker restarts, and the start is sent when the
// agent goes on.
func TestRequestOfAStartExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 2 * time.Second
		w := &fullWorker{startTime: time.Now(), expires: map[string]time.Duration{}}
		answers := make(chan wire.Answer, 1)
		r := NewRunner(Config{Fence: 7, Lease: time.Second}, w, clock.NewStopwatch(), func(a wire.Answer) { answers <- a })
		defer r.Close()
		if err := r.WaitOrphansCleared(t.Context()); err != nil {
			t.Fatal(err)
		}
		var req StartRequest
		r.loop.Call(func(now time.Duration) {
			r.core.Run(now, wire.Start{Key: ids.RequestOf(1, 1), Try: 1, Name: "task"}, 0)
			req = r.core.Tick(now).Start[0]
		})
		time.Sleep(wait)
		r.start(req)
		synctest.Wait()
		if _, sent := w.expires["task"]; sent {
			t.Errorf("a start was sent %v after its decision, %v are allowed", wait, maxSendDelay)
		}
		if a := <-answers; a.Verdict != verdict.NotRun {
			t.Errorf("the start was answered with %v, want %v", a.Verdict, verdict.NotRun)
		}
	})
}

// Guards against a start that is sent for an incarnation of the agent that has ended.
func TestClosedRunnerSendsNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fullWorker{startTime: time.Now(), expires: map[string]time.Duration{}}
		r := NewRunner(Config{Fence: 7, Lease: time.Second}, w, clock.NewStopwatch(), func(wire.Answer) {})
		r.Close()
		r.start(StartRequest{Run: RunID{Task: "task", Number: 1}, Until: time.Second, SendBy: r.loop.Now() + time.Second})
		if len(w.expires) != 0 {
			t.Error("a start was sent after Close")
		}
	})
}

// Guards against a run that goes on for a lost owner: an agent freezes between the decision
// to renew and the request, its worker restarts, and the renewal extends the lease there
// when the agent goes on.
func TestRequestOfARenewalExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fullWorker{startTime: time.Now(), expires: map[string]time.Duration{}}
		r := NewRunner(Config{Fence: 7, Lease: time.Second}, w, clock.NewStopwatch(), func(wire.Answer) {})
		defer r.Close()
		if err := r.WaitOrphansCleared(t.Context()); err != nil {
			t.Fatal(err)
		}
		req := RenewRequest{Fence: 8, SentAt: r.loop.Now()}
		time.Sleep(maxSendDelay - time.Millisecond)
		before := w.renewals
		r.renew(req)
		synctest.Wait()
		if w.renewals != before+1 {
			t.Errorf("%d renewals were sent in time, want one", w.renewals-before)
		}
		time.Sleep(time.Millisecond)
		before = w.renewals
		r.renew(req)
		if w.renewals != before {
			t.Errorf("a renewal was sent %v after its decision", maxSendDelay)
		}
	})
}

// restartedWorker answers each renewal as another start of the worker does.
type restartedWorker struct{ fullWorker }

func (w *restartedWorker) Renew(context.Context, RenewRequest) (Status, error) {
	return Status{Refused: RefusedReplaced}, nil
}

// Guards against a restart that only the next heartbeat tells the sidecar.
func TestRestartIsReportedOnce(t *testing.T) {
	for _, tc := range []struct {
		name    string
		client  Client
		reports int64
	}{
		{"restarted", &restartedWorker{}, 1},
		{"the same start", &fullWorker{startTime: time.Now(), expires: map[string]time.Duration{}}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			var reports atomic.Int64
			cfg := Config{Fence: 7, Lease: time.Second, OnRestart: func() { reports.Add(1) }}
			r := NewRunner(cfg, tc.client, clock.NewStopwatch(), func(wire.Answer) {})
			time.Sleep(time.Second)
			for i := range uint64(2) {
				r.Run(wire.Start{Key: ids.RequestOf(1, i+1), Try: 1, Name: "task"}, 0)
				time.Sleep(time.Second)
			}
			r.Close()
			if n := reports.Load(); n != tc.reports {
				t.Errorf("%s: %d reports, want %d", tc.name, n, tc.reports)
			}
		})
	}
}
