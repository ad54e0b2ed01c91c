package consensus

import (
	"errors"
	"fmt"
)

// ErrSuperseded means that a later snapshot exists, for example one that has
// just been received. There is nothing to do.
var ErrSuperseded = errors.New("consensus: a later snapshot exists")

// Ready returns what the caller must do next. The caller may call the other
// methods meanwhile, but must call Advance before the next Ready.
func (n *Node) Ready() Ready {
	if n.role == leader {
		n.maintainGroup()
		n.flushReads()
		n.replicate()
	}
	rd := Ready{
		Entries:   n.log.slice(n.log.stable+1, n.log.last()),
		Snapshot:  n.restore,
		Messages:  n.outbox,
		Committed: n.committed(),
		Reads:     n.reads,
		Dropped:   n.dropped,
	}
	n.restore, n.outbox, n.reads, n.dropped = nil, nil, nil, nil
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	voted := hs.Term != n.saved.Term || hs.Vote != n.saved.Vote
	if voted || rd.Durable() && hs != n.saved {
		n.saved = hs
		rd.HardState = &hs
	}
	return rd
}

// committed returns the committed entries that the caller has not applied.
func (n *Node) committed() []Entry {
	from := n.applied
	if n.restore != nil {
		from = n.restore.Index
	}
	return n.log.slice(max(from, n.log.base)+1, n.commit)
}

// Advance tells that the caller has done what rd says.
func (n *Node) Advance(rd Ready) {
	if s := rd.Snapshot; s != nil {
		n.applied = max(n.applied, s.Index)
	}
	if k := len(rd.Committed); k > 0 {
		n.applied = max(n.applied, rd.Committed[k-1].Index)
	}
	if k := len(rd.Entries); k > 0 {
		// The entries may have been replaced while they were being written.
		if e := rd.Entries[k-1]; n.log.matches(e.Index, e.Term) {
			n.log.stable = max(n.log.stable, e.Index)
		}
	}
	if n.role == leader {
		n.advanceCommit()
	}
}

// Compact drops the log up to index, which has been applied, and returns the
// snapshot that replaces it. data is the state machine's state at index. The
// caller persists the snapshot with its next write.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if n.snap != nil && index <= n.snap.Index {
		return Snapshot{}, ErrSuperseded
	}
	if index > n.applied {
		return Snapshot{}, fmt.Errorf("consensus: compact at %d: applied only up to %d", index, n.applied)
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, fmt.Errorf("consensus: compact at %d: the log starts after %d", index, n.log.base)
	}
	s := Snapshot{Index: index, Term: term, Group: n.groups.at(index), Data: data}
	n.snap = &s
	if keep := n.cfg.KeepEntries; index > keep {
		n.log.compact(index - keep)
	}
	n.groups.compact(n.log.base)
	return s, nil
}
