package consensus

import (
	"slices"

	"github.com/baobabshore/baobabshore/verdict"
)

// ProposeGroup starts the change to the given membership. A recorded boot count
// is never lowered, and target.OldVoters and target.Former are ignored.
//
// A change that adds or removes at most one voter takes effect with one record,
// since every majority before it overlaps every majority after it. Any other
// change, in particular the replacement of one voter by another, uses joint
// consensus: once the joint record is appended, elections and commits need a
// majority of the old voters and one of the new voters. When the joint record is
// committed, the leader or its successor appends the final record. Two disjoint
// quorums, which could elect two leaders, are therefore never possible.
//
// A new voter must be a learner that has caught up. The change is refused with
// verdict not-run while another one is in progress.
func (n *Node) ProposeGroup(target Group) error {
	if e := n.notLeaderError(); e != nil {
		return e
	}
	if e := n.checkTarget(target); e != nil {
		return e
	}
	current := n.group()
	next := Group{Peers: slices.Clone(target.Peers), Former: formerAfter(current, target)}
	for i, p := range next.Peers {
		next.Peers[i].Leaving = false
		next.Peers[i].Boot = max(p.Boot, current.recordedBoot(p.ID))
	}
	if countVoterChanges(current, next) > 1 {
		next = jointGroup(current, next)
	}
	n.appendAsLeader(EntryGroup, next.encode())
	return nil
}

func (n *Node) checkTarget(target Group) *verdict.Error {
	if len(target.Voters()) == 0 {
		return verdict.Refuse(verdict.BadRequest, "the group has no voter")
	}
	seen := map[ID]bool{}
	for _, p := range target.Peers {
		if p.ID == "" || seen[p.ID] {
			return verdict.Refuse(verdict.BadRequest, "the id %q is empty or occurs twice", p.ID)
		}
		seen[p.ID] = true
	}
	if !n.hasCommittedInTerm() {
		return verdict.Refuse(verdict.NoQuorum, "the leader of term %d has committed nothing yet", n.term)
	}
	if n.changeInProgress() {
		return verdict.Refuse(verdict.VersionConflict, "a membership change is in progress")
	}
	return n.checkNewVoters(target)
}

func (n *Node) checkNewVoters(target Group) *verdict.Error {
	current := n.group()
	for _, id := range target.Voters() {
		if current.IsVoter(id) {
			continue
		}
		if _, ok := current.Peer(id); !ok {
			return verdict.Refuse(verdict.BadRequest, "node %s must be a learner first", id)
		}
		if p, _ := target.Peer(id); p.Observer {
			return verdict.Refuse(verdict.BadRequest, "node %s is an observer", id)
		}
		if !n.CaughtUp(id) {
			return verdict.Refuse(verdict.Stale, "node %s has synced index %d of %d", id, n.Match(id), n.commit)
		}
	}
	return nil
}

// CaughtUp reports whether a learner may become a voter. It must hold at least the
// record that made it a learner, so that it knows the membership if the other nodes are
// lost. Only the leader knows.
func (n *Node) CaughtUp(id ID) bool {
	match := n.Match(id)
	return match >= n.groups.latest().index && match+n.cfg.CatchUpEntries >= n.commit
}

// changeInProgress reports whether the latest membership record is uncommitted
// or a joint one.
func (n *Node) changeInProgress() bool {
	record := n.groups.latest()
	return record.index > n.commit || record.group.IsJoint()
}

func countVoterChanges(a, b Group) int {
	count := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			count++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			count++
		}
	}
	return count
}

// jointGroup returns the membership of the joint phase between current and next.
// Voters that are removed by next stay in it as nodes that do not vote in next.
func jointGroup(current, next Group) Group {
	g := Group{Peers: slices.Clone(next.Peers), OldVoters: current.Voters(), Former: next.Former}
	for _, p := range current.Peers {
		if _, remains := next.Peer(p.ID); !remains && p.Voter {
			p.Voter = false
			p.Leaving = true
			g.Peers = append(g.Peers, p)
		}
	}
	return g
}

// maxFormerPeers limits the removed nodes that a group remembers.
const maxFormerPeers = 64

// formerAfter returns the former nodes of the group once current has changed to target.
func formerAfter(current, target Group) []FormerPeer {
	isTarget := func(f FormerPeer) bool {
		_, ok := target.Peer(f.ID)
		return ok
	}
	former := slices.DeleteFunc(slices.Clone(current.Former), isTarget)
	for _, p := range current.Peers {
		if f := (FormerPeer{ID: p.ID, Boot: p.Boot}); !isTarget(f) {
			former = append(former, f)
		}
	}
	return former[max(0, len(former)-maxFormerPeers):]
}

// recordedBoot returns the highest boot count of a node that the group has recorded, also
// if the node was removed, and 0 if it has none.
func (g Group) recordedBoot(id ID) uint64 {
	if p, ok := g.Peer(id); ok {
		return p.Boot
	}
	for _, f := range g.Former {
		if f.ID == id {
			return f.Boot
		}
	}
	return 0
}
