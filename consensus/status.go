package consensus

import (
	"maps"
	"slices"
)

// ID returns this node's id.
func (n *Node) ID() ID { return n.cfg.ID }

// CurrentTick returns the number of ticks since the start, counted from 1.
func (n *Node) CurrentTick() uint64 { return n.now }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the id of the leader, which may be this node, or "" if none is known.
func (n *Node) Leader() ID { return n.leader }

// TicksSinceLeader returns the number of ticks since the last message from a leader, or
// since the start. It returns 0 if this node leads.
func (n *Node) TicksSinceLeader() uint64 {
	if n.role == leader {
		return 0
	}
	return n.now - n.lastLeaderTick
}

// IsLeader reports whether this node leads and its lease held at the last tick. A
// process that was paused may not have noticed yet that another node leads; only a
// read that ReadIndex confirms rules that out.
func (n *Node) IsLeader() bool { return n.role == leader }

// HasOutdatedDisk reports whether the group has recorded a higher boot count of
// this node than the one it was started with, so that its disk is an older copy.
// Its votes and replies are ignored until a node with another id replaces it.
func (n *Node) HasOutdatedDisk() bool {
	p, ok := n.group().Peer(n.cfg.ID)
	return ok && n.cfg.Boot < p.Boot
}

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the index of the last entry that Advance has reported as
// applied.
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex returns the index of the last entry of the log, synced or not.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Group returns the membership in effect, which may not be committed yet. The
// caller must not change it.
func (n *Node) Group() Group { return n.group() }

// ConfirmedTick returns the tick, as counted by CurrentTick, up to which this node's
// commit index is known to cover everything that the group had committed: a
// leader that a quorum confirmed at or after that tick has reported the commit
// index. It is 0 if that never happened. The entries up to the commit index may not
// be applied yet.
func (n *Node) ConfirmedTick() uint64 { return n.confirmedTick }

// GroupIndex returns the log index of the membership record in effect.
func (n *Node) GroupIndex() uint64 { return n.groups.latest().index }

// GrantedVotes returns the voters that have granted their vote, or their pre-vote, in
// the campaign of this node, itself included. It is empty while the node does not
// campaign.
func (n *Node) GrantedVotes() []ID {
	if n.role != candidate && n.role != preCandidate {
		return nil
	}
	return slices.Sorted(maps.Keys(n.grantedVotes))
}

// IgnoreReason is the reason why a node ignores the vote requests of another one and its
// replies to them.
type IgnoreReason string

const (
	OutdatedDisk IgnoreReason = "outdated-disk" // the group has recorded a higher boot count
	UnknownNode  IgnoreReason = "unknown-node"  // the membership doesn't list the instance
)

// IgnoredVotes returns the nodes whose vote requests or replies this node has ignored since
// it last knew a leader, with the latest reason. The caller must not change it.
func (n *Node) IgnoredVotes() map[ID]IgnoreReason { return n.ignoredVotes }
