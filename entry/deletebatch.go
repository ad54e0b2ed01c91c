package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// deleteRetryDelay is the pause between two attempts to reach another entry.
	deleteRetryDelay = 100 * time.Millisecond
	// deletedBatchSenders is how many of the entries that have been registered longest
	// tell a new entry of all deleted batches.
	deletedBatchSenders = 2
	// shareTimeout bounds how long an entry tries to tell a new one of deleted batches.
	shareTimeout = 10 * time.Second
)

// DeleteBatch ends a batch at every entry: each may run a copy that its caller has sent
// again. When it returns without an error, no task of the batch runs or will start, and
// known tells whether an entry has run the batch or knows of an earlier deletion. An error
// means that an entry has not confirmed this before the limit.
func (e *Entry) DeleteBatch(id wire.BatchID, limit time.Duration) (known bool, err *verdict.Error) {
	ctx, cancel := context.WithTimeout(e.ctx, limit)
	defer cancel()
	inc := e.incarnation.Load()
	if inc.hasEnded() || !inc.session.Current(time.Now()) {
		return false, verdict.Refuse(verdict.Stale, "the other entries are not known").After(defaultRetryAfter)
	}
	others := inc.otherEntries()
	batches := []wire.BatchID{id}
	replies := make(chan deleteReply, len(others)+1)
	go func() { replies <- e.deleteHere(ctx, batches, true) }()
	for _, m := range others {
		go func() { replies <- e.deleteAt(ctx, m, wire.DeleteBatches{Batches: batches}) }()
	}
	for range len(others) + 1 {
		r := <-replies
		known = known || r.known
		if r.err != nil {
			err = r.err
		}
	}
	return known, err
}

// deleteReply is the result of a deletion at one entry.
type deleteReply struct {
	known bool
	err   *verdict.Error
}

// otherEntries returns the other live entries, those that have been registered longest first.
func (inc *incarnation) otherEntries() []wire.Member {
	var list []wire.Member
	for _, m := range inc.session.View().Members {
		if m.Kind == wire.KindEntry && m.Live() && m.Incarnation != inc.self {
			list = append(list, m)
		}
	}
	return list
}

// deleteAt deletes batches at another entry. It tries again until the entry has confirmed
// this, it is no longer live, whereupon agents refuse its starts, or ctx ends.
func (e *Entry) deleteAt(ctx context.Context, m wire.Member, d wire.DeleteBatches) deleteReply {
	for {
		reply, err := e.peers.sendDelete(ctx, m.Addr, d)
		if err == nil {
			return deleteReply{known: reply.Known}
		}
		if row, ok := e.incarnation.Load().session.View().Member(m.Incarnation); !ok || !row.Live() {
			return e.awaitEndOfLostEntry(ctx)
		}
		if !clock.Sleep(ctx, deleteRetryDelay) {
			return deleteReply{err: verdict.Unknown(err.Reason, "entry %s: %s", m.Node, err.Detail).After(defaultRetryAfter)}
		}
	}
}

// awaitEndOfLostEntry waits until the runs of an entry that is no longer live are over: its
// leases bound them.
func (e *Entry) awaitEndOfLostEntry(ctx context.Context) deleteReply {
	if !clock.Sleep(ctx, e.leases().Bound()) {
		return deleteReply{err: verdict.Unknown(verdict.OwnerLost, "runs of a lost entry may go on").After(defaultRetryAfter)}
	}
	return deleteReply{}
}

// deleteHere deletes batches at this entry and returns when their tasks have ended. received
// is set if the caller's request came to this entry.
func (e *Entry) deleteHere(ctx context.Context, batches []wire.BatchID, received bool) deleteReply {
	// The rows precede the search for the batches: one that arrives later finds its row.
	known, err := e.deleted.add(time.Now(), batches, received)
	if err != nil {
		return deleteReply{err: err}
	}
	ended, found := e.incarnation.Load().deleteBatches(batches)
	if !e.awaitFormerRuns(ctx) {
		return deleteReply{known: true, err: errMayStillRun()}
	}
	if !found {
		return deleteReply{known: known}
	}
	// Whatever has become of the agents, their leases end the tasks within the bound.
	limit := time.NewTimer(e.leases().Bound())
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
	case <-ctx.Done():
		return deleteReply{known: true, err: errMayStillRun()}
	}
	return deleteReply{known: true}
}

// errMayStillRun is the answer to a deletion whose tasks have not ended in time.
func errMayStillRun() *verdict.Error {
	return verdict.Unknown(verdict.DeadlinePassed, "tasks may still run").After(defaultRetryAfter)
}

// awaitFormerRuns waits until the runs of the incarnation before the present one are over.
// It left them to their leases. It returns false if ctx ends before.
func (e *Entry) awaitFormerRuns(ctx context.Context) bool {
	left := e.leases().Bound() - time.Since(*e.formerEndedAt.Load())
	return left <= 0 || clock.Sleep(ctx, left)
}

// batchDeletion is a deletion that waits for the end of the tasks at the agents.
type batchDeletion struct {
	keys  []ids.TaskKey // of the copies of the batches at this entry
	ended chan struct{} // closed when no agent holds a task of them any more
}

// deleteBatches ends the copies of batches in this incarnation. ended is closed when no
// agent holds any of their tasks. found is false if there is no copy, or if the incarnation
// has ended.
func (inc *incarnation) deleteBatches(batches []wire.BatchID) (ended <-chan struct{}, found bool) {
	d := &batchDeletion{ended: make(chan struct{})}
	inc.loop.Call(func(now time.Duration) {
		for key, r := range inc.requests {
			if slices.Contains(batches, r.batch) {
				inc.core.DeleteBatch(now, key)
				d.keys = append(d.keys, key)
			}
		}
		if len(d.keys) > 0 {
			inc.deletions = append(inc.deletions, d)
		}
	})
	return d.ended, len(d.keys) > 0
}

// endDeletions reports the deletions whose tasks have ended. It runs on the event loop,
// after the tick that has sent the aborts.
func (inc *incarnation) endDeletions() {
	if len(inc.deletions) == 0 {
		return
	}
	held := inc.core.HeldBatches()
	inc.deletions = slices.DeleteFunc(inc.deletions, func(d *batchDeletion) bool {
		if slices.ContainsFunc(d.keys, func(k ids.TaskKey) bool { return held[k] }) {
			return false
		}
		close(d.ended)
		return true
	})
}

// serveDelete deletes batches at this entry on behalf of another one.
func (e *Entry) serveDelete(ctx context.Context, d wire.DeleteBatches) (wire.BatchesDeleted, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r := e.deleteHere(ctx, d.Batches, false)
	if r.err != nil {
		return wire.BatchesDeleted{}, r.err
	}
	return wire.BatchesDeleted{Known: r.known}, nil
}

// shareDeletions tells entries that have registered since the last view of the deleted
// batches. The entry that has received a deletion does so, since its view may have lacked
// the new entry then, and the entries that have been registered longest, since the former
// may be gone.
func (inc *incarnation) shareDeletions() {
	others := inc.otherEntries()
	older := 0
	for _, m := range others {
		if m.Incarnation < inc.self {
			older++
		}
	}
	latest := inc.latestEntry
	for _, m := range others {
		if m.Incarnation <= latest {
			continue
		}
		inc.latestEntry = max(inc.latestEntry, m.Incarnation)
		batches := inc.entry.deleted.list(older >= deletedBatchSenders)
		if len(batches) > 0 {
			go inc.entry.shareWith(m, batches)
		}
	}
}

func (e *Entry) shareWith(m wire.Member, batches []wire.BatchID) {
	ctx, cancel := context.WithTimeout(e.ctx, shareTimeout)
	defer cancel()
	if r := e.deleteAt(ctx, m, wire.DeleteBatches{Batches: batches}); r.err != nil {
		klog.Warningf("entry: Entry %s was not told of %d deleted batches: %v.", m.Node, len(batches), r.err)
	}
}
