package consensus

import (
	"errors"
	"fmt"
)

// ErrSuperseded means that the node already has a snapshot at this index or a
// later one, for example one that was just received. The caller needs no other
// action.
var ErrSuperseded = errors.New("consensus: a later snapshot exists")

// Ready returns what the caller must do next. The caller may call other methods
// while it does so, but must call Advance before it calls Ready again.
func (n *Node) Ready() Ready {
	if n.role == leader {
		n.appendGroupUpdates()
		n.startRoundForReads()
		n.replicate()
	}
	rd := Ready{
		Entries:   n.log.slice(n.log.syncedIndex+1, n.log.last()),
		Snapshot:  n.receivedSnapshot,
		Messages:  n.outbox,
		Committed: n.unappliedEntries(),
		Reads:     n.confirmedReads,
		Dropped:   n.droppedReads,
	}
	n.receivedSnapshot, n.outbox, n.confirmedReads, n.droppedReads = nil, nil, nil, nil
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	termOrVoteChanged := hs.Term != n.lastHardState.Term || hs.Vote != n.lastHardState.Vote
	if termOrVoteChanged || rd.ChangesLog() && hs != n.lastHardState {
		n.lastHardState = hs
		rd.HardState = &hs
	}
	return rd
}

// unappliedEntries returns the committed entries that the caller has not applied.
func (n *Node) unappliedEntries() []Entry {
	from := n.applied
	if n.receivedSnapshot != nil {
		from = n.receivedSnapshot.Index
	}
	return n.log.slice(max(from, n.log.baseIndex)+1, n.commit)
}

// Advance tells the node that the caller has completed the work in rd.
func (n *Node) Advance(rd Ready) {
	if s := rd.Snapshot; s != nil {
		n.applied = max(n.applied, s.Index)
	}
	if k := len(rd.Committed); k > 0 {
		n.applied = max(n.applied, rd.Committed[k-1].Index)
	}
	if k := len(rd.Entries); k > 0 {
		// Another leader may have replaced the entries while they were written.
		if e := rd.Entries[k-1]; n.log.matches(e.Index, e.Term) {
			n.log.syncedIndex = max(n.log.syncedIndex, e.Index)
		}
	}
	if n.role == leader {
		n.advanceCommit()
	}
}

// Compact returns a snapshot at index, which must have been applied, and drops the
// entries before it except for the last ones, as many as KeepEntries and KeepBytes
// allow. data is the encoded state machine at index. The caller must persist the
// snapshot with its next write.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if n.snapshot != nil && index <= n.snapshot.Index {
		return Snapshot{}, ErrSuperseded
	}
	if index > n.applied {
		return Snapshot{}, fmt.Errorf("consensus: compact at %d: applied only up to %d", index, n.applied)
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, fmt.Errorf("consensus: compact at %d: the log starts after %d", index, n.log.baseIndex)
	}
	s := Snapshot{Index: index, Term: term, Group: n.groups.at(index), Data: data}
	n.snapshot = &s
	n.log.compact(n.log.compactIndex(index, n.cfg.KeepEntries, n.cfg.KeepBytes))
	n.groups.compact(n.log.baseIndex)
	return s, nil
}
