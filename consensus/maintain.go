package consensus

import "slices"

// appendGroupUpdates appends a membership record if one is due: the final record
// after the joint phase of a change, or a record with higher boot counts.
func (n *Node) appendGroupUpdates() {
	record := n.groups.latest()
	if !n.hasCommittedInTerm() || record.index > n.commit {
		return
	}
	next := record.group.clone()
	changed := n.recordBootCounts(&next)
	if next.IsJoint() {
		next = finalGroup(next)
		changed = true
	}
	if changed {
		n.appendAsLeader(EntryGroup, next.encode())
	}
}

func (n *Node) recordBootCounts(g *Group) bool {
	changed := false
	for i := range g.Peers {
		p := &g.Peers[i]
		bootCount := n.cfg.Boot
		if p.ID != n.cfg.ID {
			bootCount = n.leaderState.peers[p.ID].bootCount
		}
		if bootCount > p.Boot {
			p.Boot = bootCount
			changed = true
		}
	}
	return changed
}

// finalGroup returns the membership after the joint phase: the new voters and the
// learners, without the voters that were removed. It modifies g.Peers.
func finalGroup(g Group) Group {
	leaves := func(p Peer) bool { return p.Leaving }
	return Group{Peers: slices.DeleteFunc(g.Peers, leaves), Former: g.Former}
}
