package worker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// fullWorker is a worker that refuses all starts and records when each would have expired.
type fullWorker struct {
	startTime time.Time
	expires   map[string]time.Duration // end of a start's validity on the worker's clock, by task
}

func (w *fullWorker) clock() time.Duration { return time.Since(w.startTime) }

func (w *fullWorker) Start(_ context.Context, req StartRequest) (StartReply, error) {
	w.expires[req.Run.Task] = req.Until
	return StartReply{Clock: w.clock(), Refused: RefusedFull}, nil
}

func (w *fullWorker) Stop(context.Context, StopRequest) (StopReply, error) { return StopReply{}, nil }

func (w *fullWorker) Renew(context.Context, RenewRequest) (Status, error) {
	return Status{Clock: w.clock()}, nil
}

func (w *fullWorker) Close() {}

// Guards against two overlapping runs of a task: an agent freezes between the check of an
// entry's lease and the request to the worker, and starts the task when it goes on.
func TestStartHandedOverBeforeAFreezeExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const freeze = 3 * time.Second
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
		if late := w.expires["second"] - handedOverAt; late > startValidity {
			t.Errorf("the start may be executed %v after it was handed over, want %v at most", late, startValidity)
		}
	})
}
