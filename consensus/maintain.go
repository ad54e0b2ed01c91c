package consensus

import "slices"

// maintainGroup appends the membership records that the leader owes: the final
// one of an exchange, and higher boot counts of peers.
func (n *Node) maintainGroup() {
	row := n.groups.latest()
	if !n.vouches() || row.index > n.commit {
		return
	}
	next := row.group.clone()
	changed := n.recordBoots(&next)
	if next.Joint() {
		next = settled(next)
		changed = true
	}
	if changed {
		n.appendOwn(EntryGroup, next.encode())
	}
}

func (n *Node) recordBoots(g *Group) bool {
	changed := false
	for i := range g.Peers {
		p := &g.Peers[i]
		boot := n.cfg.Boot
		if p.ID != n.cfg.ID {
			boot = n.lead.peers[p.ID].boot
		}
		if boot > p.Boot {
			p.Boot = boot
			changed = true
		}
	}
	return changed
}

// settled returns the membership after an exchange: the new voters and the
// learners, without the nodes that leave. It changes g.
func settled(g Group) Group {
	leaves := func(p Peer) bool { return p.Leaving }
	return Group{Peers: slices.DeleteFunc(g.Peers, leaves)}
}
