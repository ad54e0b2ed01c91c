package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
)

// dropLearnerAfter is how long a learner has to be silent before it is removed from the
// group. It asks to be added again when it returns.
const dropLearnerAfter = 30 * time.Second

// peerState is what the leader knows of a node of the group.
type peerState struct {
	consensus.Peer
	leads    bool
	silence  time.Duration // since its last reply, or since the leader began to track it
	replied  bool          // to this leader
	caughtUp bool          // may become a voter
}

func (p peerState) responds() bool { return p.leads || p.replied && p.silence < silentAfter }

// voterPolicy says which nodes of a group are to vote.
type voterPolicy struct {
	voters    int           // number of voters that a complete group has
	lostAfter time.Duration // silence after which a voter is lost
}

// newVoterPolicy returns the policy for a group that bears the losses t: a majority of
// the voters has to remain.
func newVoterPolicy(t Tolerance, lostAfter time.Duration) voterPolicy {
	losses := max(t.Nodes, t.Domains)
	return voterPolicy{voters: 2*losses + 1, lostAfter: lostAfter}
}

// nextGroup returns the next membership on the way to a group that has as many
// responsive voters as the policy asks for, spread over the failure domains. ok is false
// if the membership is to stay. It takes one step at a time, each of which leaves the
// group able to commit with the nodes that respond.
func (v voterPolicy) nextGroup(peers []peerState) (next consensus.Group, reason string, ok bool) {
	learner, hasLearner := bestLearner(peers)
	if i, j := emptiedVoter(peers); i >= 0 {
		return swapPeer(groupOf(peers), peers[i].Peer, peers[j].ID), "its data directory was emptied", true
	}
	if i := slices.IndexFunc(peers, v.lost); i >= 0 && hasLearner {
		learner, _ = bestLearner(slices.Delete(slices.Clone(peers), i, i+1))
		return swapPeer(groupOf(peers), peers[i].Peer, learner.ID), "it has been silent", true
	}
	if hasLearner && v.canGrow(peers) {
		return withVoter(groupOf(peers), learner.ID), "the group has too few voters", true
	}
	if i := crowdingVoter(peers, learner); i >= 0 && hasLearner {
		return demoted(withVoter(groupOf(peers), learner.ID), peers[i].ID), "its failure domain has more voters", true
	}
	return dropUselessLearner(peers)
}

func (v voterPolicy) lost(p peerState) bool { return p.Voter && p.silence >= v.lostAfter }

// canGrow reports whether a voter is missing, and the voters that respond stay a majority
// with one voter more, even if that one is lost again at once.
func (v voterPolicy) canGrow(peers []peerState) bool {
	voters, responding := 0, 0
	for _, p := range peers {
		if !p.Voter {
			continue
		}
		voters++
		if p.responds() {
			responding++
		}
	}
	return voters < v.voters && 2*responding > voters+1
}

// bestLearner returns the learner that may become a voter whose failure domain has the
// fewest voters.
func bestLearner(peers []peerState) (best peerState, ok bool) {
	voters := votersByDomain(peers)
	for _, p := range peers {
		if p.Voter || p.Observer || p.Leaving || !p.caughtUp || !p.responds() {
			continue
		}
		if !ok || voters[p.Domain] < voters[best.Domain] {
			best, ok = p, true
		}
	}
	return best, ok
}

func votersByDomain(peers []peerState) map[string]int {
	voters := map[string]int{}
	for _, p := range peers {
		if p.Voter {
			voters[p.Domain]++
		}
	}
	return voters
}

// emptiedVoter returns the positions of a voter and of the learner that runs at its
// address, with another instance id. The voter's data directory was emptied, so it never
// returns. The positions are negative if there is none.
func emptiedVoter(peers []peerState) (voter, learner int) {
	for j, l := range peers {
		if l.Voter || l.Observer || !l.caughtUp || !l.responds() {
			continue
		}
		for i, p := range peers {
			if p.Voter && p.Name == l.Name && p.Addr == l.Addr {
				return i, j
			}
		}
	}
	return -1, -1
}

// crowdingVoter returns the position of a voter in a failure domain that has at least two
// voters more than that of the learner, and a negative number if there is none.
func crowdingVoter(peers []peerState, learner peerState) int {
	voters := votersByDomain(peers)
	return slices.IndexFunc(peers, func(p peerState) bool {
		return p.Voter && !p.leads && voters[p.Domain] >= voters[learner.Domain]+2
	})
}

// dropUselessLearner removes a learner that has been silent for long.
func dropUselessLearner(peers []peerState) (consensus.Group, string, bool) {
	i := slices.IndexFunc(peers, func(p peerState) bool { return !p.Voter && p.silence >= dropLearnerAfter })
	if i < 0 {
		return consensus.Group{}, "", false
	}
	return groupOf(slices.Delete(slices.Clone(peers), i, i+1)), "a learner has been silent", true
}

func groupOf(peers []peerState) consensus.Group {
	var g consensus.Group
	for _, p := range peers {
		g.Peers = append(g.Peers, p.Peer)
	}
	return g
}

// withVoter returns g with the node id as a voter. It modifies g.Peers.
func withVoter(g consensus.Group, id consensus.ID) consensus.Group { return setVoter(g, id, true) }

// demoted returns g with the node id as a learner. It modifies g.Peers.
func demoted(g consensus.Group, id consensus.ID) consensus.Group { return setVoter(g, id, false) }

func setVoter(g consensus.Group, id consensus.ID, voter bool) consensus.Group {
	for i, p := range g.Peers {
		if p.ID == id {
			g.Peers[i].Voter = voter
		}
	}
	return g
}

// peerStates returns what this leader knows of the nodes of the group.
func (c *core) peerStates() []peerState {
	var out []peerState
	for _, p := range c.raft.Group().Peers {
		out = append(out, peerState{
			Peer: p, leads: p.ID == c.instance.ID, silence: c.silence(p.ID),
			replied: c.raft.Match(p.ID) > 0, caughtUp: c.raft.CaughtUp(p.ID),
		})
	}
	return out
}

// adjustVoters proposes the next membership if the voters are not those that the group
// needs. Consensus refuses it while another change is in progress.
func (c *core) adjustVoters() {
	if c.raft.Group().IsJoint() || !c.groupCommitted() {
		return
	}
	next, reason, ok := newVoterPolicy(c.opt.Tolerance, c.opt.LostAfter).nextGroup(c.peerStates())
	if !ok {
		return
	}
	klog.InfoS("control: Changing the voters", "reason", reason, "from", peerNames(c.raft.Group(), true), "to", peerNames(next, true))
	if step := c.proposeGroup(next); step.err != nil {
		klog.Warningf("control: The change of the voters was refused: %v.", step.err)
	}
}
