package consensus

import (
	"slices"

	"github.com/baobabshore/baobabshore/verdict"
)

// ProposeGroup starts the change to the given membership. Boot counts are kept
// as recorded, and target.Old is ignored.
//
// A change that adds or removes at most one voter takes effect with one record,
// since every majority before it overlaps every majority after it. Any other
// change, in particular the exchange of one voter for another, goes through a
// joint record: from its append on, elections and commits need a majority of
// the old and one of the new voters. Once the joint record is committed, the
// leader, or its successor, appends the final one by itself. So at no time can
// two disjoint quorums exist.
//
// A new voter must have been a learner that has caught up. The change is
// refused with verdict not-run while another one is in progress.
func (n *Node) ProposeGroup(target Group) error {
	if e := n.refusal(); e != nil {
		return e
	}
	if e := n.checkTarget(target); e != nil {
		return e
	}
	current := n.group()
	next := Group{Peers: slices.Clone(target.Peers)}
	for i, p := range next.Peers {
		next.Peers[i].Leaving = false
		if q, ok := current.Peer(p.ID); ok {
			next.Peers[i].Boot = max(p.Boot, q.Boot)
		}
	}
	if votersDiffer(current, next) > 1 {
		next = joint(current, next)
	}
	n.appendOwn(EntryGroup, next.encode())
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
	if !n.vouches() {
		return verdict.Refuse(verdict.NoQuorum, "the leader of term %d has committed nothing yet", n.term)
	}
	if n.changing() {
		return verdict.Refuse(verdict.VersionConflict, "a membership change is in progress")
	}
	return n.checkNewVoters(target)
}

func (n *Node) checkNewVoters(target Group) *verdict.Error {
	row := n.groups.latest()
	current := row.group
	for _, id := range target.Voters() {
		if current.Votes(id) {
			continue
		}
		if _, ok := current.Peer(id); !ok {
			return verdict.Refuse(verdict.BadRequest, "node %s must be a learner first", id)
		}
		// It must at least hold the record that made it a learner, so that it
		// knows the group when the others are lost.
		if match := n.Match(id); match < row.index || match+n.cfg.CatchUpEntries < n.commit {
			return verdict.Refuse(verdict.Stale, "node %s has synced index %d of %d", id, n.Match(id), n.commit)
		}
	}
	return nil
}

// changing reports whether a membership record is not committed or not final.
func (n *Node) changing() bool {
	row := n.groups.latest()
	return row.index > n.commit || row.group.Joint()
}

func votersDiffer(a, b Group) int {
	count := 0
	for _, id := range a.Voters() {
		if !b.Votes(id) {
			count++
		}
	}
	for _, id := range b.Voters() {
		if !a.Votes(id) {
			count++
		}
	}
	return count
}

// joint returns the membership on the way from current to next. The nodes that
// leave stay in it as non-voters of next.
func joint(current, next Group) Group {
	g := Group{Peers: slices.Clone(next.Peers), Old: current.Voters()}
	for _, p := range current.Peers {
		if _, stays := next.Peer(p.ID); !stays && p.Voter {
			p.Voter = false
			p.Leaving = true
			g.Peers = append(g.Peers, p)
		}
	}
	return g
}
