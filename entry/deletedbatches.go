package entry

import (
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// deletedBatchRetention is how long an entry refuses a batch after its deletion. A
	// request that was held up on its way, or that its caller repeats, arrives sooner.
	deletedBatchRetention = 2 * time.Minute
	// maxDeletedBatches bounds the memory of the table. Above it deletions are refused:
	// a batch whose deletion is forgotten would run.
	maxDeletedBatches = 100_000
)

// deletedBatches holds the batches that callers have deleted. An entry runs none of them,
// also when it arrives after its deletion. Several goroutines may use it.
type deletedBatches struct {
	mu    sync.Mutex
	rows  map[wire.BatchID]*deletedBatch
	order []*deletedBatch // in order of their deletion
}

// deletedBatch is a row of the table.
type deletedBatch struct {
	id        wire.BatchID
	deletedAt time.Time
	received  bool // the caller's request came to this entry
}

func newDeletedBatches() *deletedBatches {
	return &deletedBatches{rows: map[wire.BatchID]*deletedBatch{}}
}

// add records deletions. received is set if the caller's request came to this entry. A
// repeated deletion keeps its time; known reports whether there is one.
func (t *deletedBatches) add(now time.Time, batches []wire.BatchID, received bool) (known bool, err *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if len(t.rows)+len(batches) > maxDeletedBatches {
		return false, verdict.Refuse(verdict.Overloaded, "%d deleted batches are kept", len(t.rows)).After(defaultRetryAfter)
	}
	for _, id := range batches {
		if r := t.rows[id]; r != nil {
			r.received = r.received || received
			known = true
			continue
		}
		r := &deletedBatch{id: id, deletedAt: now, received: received}
		t.rows[id] = r
		t.order = append(t.order, r)
	}
	return known, nil
}

// expire removes the rows whose retention has passed. The caller holds the lock.
func (t *deletedBatches) expire(now time.Time) {
	n := 0
	for n < len(t.order) && now.Sub(t.order[n].deletedAt) > deletedBatchRetention {
		delete(t.rows, t.order[n].id)
		n++
	}
	t.order = t.order[n:]
}

func (t *deletedBatches) contains(id wire.BatchID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[id] != nil
}

// list returns the deleted batches in order, all of them or only those whose deletion this
// entry has received from the caller.
func (t *deletedBatches) list(receivedOnly bool) []wire.BatchID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []wire.BatchID
	for _, r := range t.order {
		if r.received || !receivedOnly {
			ids = append(ids, r.id)
		}
	}
	return ids
}
