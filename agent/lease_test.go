package agent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// The incarnations in the fixed view of a test.
const (
	testEntry ids.Incarnation = 3
	testAgent ids.Incarnation = 5
)

// fixedSession is a session whose view never changes.
type fixedSession struct{}

func (fixedSession) Incarnation() ids.Incarnation { return testAgent }
func (fixedSession) Changes() <-chan struct{}     { return nil }
func (fixedSession) Ended() <-chan struct{}       { return nil }
func (fixedSession) Current(time.Time) bool       { return true }
func (fixedSession) SetDraining(bool)             {}
func (fixedSession) RenewNow()                    {}
func (fixedSession) Leave(context.Context) error  { return nil }
func (fixedSession) Close()                       {}
func (fixedSession) View() *member.View {
	entry := wire.Member{Incarnation: testEntry, Registration: wire.Registration{Kind: wire.KindEntry}}
	return &member.View{Version: ids.Version(testAgent), Members: []wire.Member{entry}}
}

// leasedWorker is a worker whose runs go on until they are stopped. It records the longest
// lease that it was asked for.
type leasedWorker struct {
	startTime time.Time

	mu       sync.Mutex
	running  []worker.RunID
	leaseEnd time.Duration // on the worker's clock
}

func (w *leasedWorker) clock() time.Duration { return time.Since(w.startTime) }

func (w *leasedWorker) Start(_ context.Context, req worker.StartRequest) (worker.StartReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = append(w.running, req.Run)
	w.leaseEnd = max(w.leaseEnd, req.Until)
	return worker.StartReply{Clock: w.clock()}, nil
}

func (w *leasedWorker) Stop(context.Context, worker.StopRequest) (worker.StopReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = nil
	return worker.StopReply{}, nil
}

func (w *leasedWorker) Renew(_ context.Context, req worker.RenewRequest) (worker.Status, error) {
	time.Sleep(req.Wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseEnd = max(w.leaseEnd, req.Until)
	return worker.Status{Clock: w.clock(), Running: w.running}, nil
}

func (w *leasedWorker) Close() {}

// startIncarnationOf starts an incarnation of an agent for a worker.
func startIncarnationOf(t *testing.T, w *leasedWorker) *incarnation {
	t.Helper()
	inc := newIncarnation(Options{
		TickMin: time.Millisecond, Capacity: wire.Resources{CPU: 1000},
		Worker: WorkerOpener(w, worker.Config{Lease: time.Second}),
	}, nil, newMetrics(tally.NoopScope), fixedSession{})
	if err := inc.openWorker(t.Context()); err != nil {
		t.Fatal(err)
	}
	inc.start()
	return inc
}

// Guards against two overlapping runs of a task: an agent freezes just before the lease of
// a lost entry ends, and the worker's own lease outlasts the repetition of the batch.
func TestLeasesOfALostEntryEndBeforeItsBatchIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const repeatedAfter = 1300 * time.Millisecond // PROTOCOL.md, RetransmitMs
		const entryLease = 500 * time.Millisecond
		w := &leasedWorker{startTime: time.Now()}
		inc := startIncarnationOf(t, w)
		lastMessageAt := w.clock()
		inc.loop.Call(func(now time.Duration) {
			inc.core.Receive(now, wire.Exchange{
				Entry: testEntry, ValidUntilMS: (now + entryLease).Milliseconds(),
				Starts: []wire.Start{{
					Key: ids.RequestOf(testEntry, 1), Try: 1, Name: "task", Size: wire.Resources{CPU: 100}, BudgetMS: 5000,
				}},
			})
		})
		time.Sleep(2 * time.Second)
		inc.stop()
		switch after := w.leaseEnd - lastMessageAt; {
		case w.leaseEnd == 0 || len(w.running) != 0:
			t.Errorf("lease until %v, running %v: the task was not started and stopped", w.leaseEnd, w.running)
		case after > repeatedAfter:
			t.Errorf("the worker's lease ends %v after the entry's last message, want %v at most", after, repeatedAfter)
		}
	})
}
