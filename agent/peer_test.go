package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a task that runs beside its repetition: its start was read from a connection
// that the entry has given up for another one, on which it has recalled the task.
func TestMessageOfAFormerConnectionStartsNothing(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &leasedWorker{startTime: time.Now()}
			inc := startIncarnationOf(t, w)
			from := connOfEntry(inc, replaced)
			now := inc.loop.Now()
			_, _ = (&Agent{}).exchange(t.Context(), from, wire.Exchange{
				Entry: testEntry, ValidUntilMS: (now + 500*time.Millisecond).Milliseconds(),
				Starts: []wire.Start{{
					Key: ids.RequestOf(testEntry, 1), Try: 2, Name: "task", Size: wire.Resources{CPU: 100}, BudgetMS: 5000,
				}},
			})
			time.Sleep(100 * time.Millisecond)
			inc.loop.Call(func(time.Duration) { clear(inc.peers) })
			inc.stop()
			time.Sleep(time.Second) // the last renewal waits for its reply
			w.mu.Lock()
			defer w.mu.Unlock()
			if started := w.leaseEnd > 0; started == replaced {
				t.Errorf("connection replaced %v, task started %v", replaced, started)
			}
		})
	}
}

// Guards against a claim that is read from a connection which its entry has given up: it
// recalls queued tasks that the entry has placed again on the new one.
func TestClaimOfAFormerConnectionIsRefused(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			inc := startIncarnationOf(t, &leasedWorker{startTime: time.Now()})
			from := connOfEntry(inc, replaced)
			_, err := (&Agent{}).claim(t.Context(), from, wire.Claim{Entry: testEntry, Ownership: wire.Ownership{Job: 1, Epoch: 2}})
			if refused := err != nil; refused != replaced {
				t.Errorf("connection replaced %v, claim refused %v: %v", replaced, refused, err)
			}
			inc.loop.Call(func(time.Duration) { clear(inc.peers) })
			inc.stop()
			time.Sleep(time.Second) // the last renewal waits for its reply
		})
	}
}

// connOfEntry returns a connection of the entry, which has replaced it by another one if
// replaced is set.
func connOfEntry(inc *incarnation, replaced bool) *rpc.Conn {
	former, present := testPeer(inc), testPeer(inc)
	from := &rpc.Conn{}
	from.Peer.Store(former)
	inc.loop.Call(func(time.Duration) {
		inc.peers[testEntry] = former
		if replaced {
			inc.peers[testEntry] = present
		}
	})
	return from
}

// testPeer returns a peer without a connection, which keeps its reports.
func testPeer(inc *incarnation) *peer {
	return &peer{entry: testEntry, incarnation: inc, reports: make(chan wire.Report, maxQueuedReports)}
}
