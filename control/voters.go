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

// mayVote reports whether the node is a learner that may become a voter now.
func (p peerState) mayVote() bool {
	return !p.Voter && !p.Observer && !p.Leaving && p.caughtUp && p.responds()
}

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

// voterChange is a step of the membership, with its reason for the log.
type voterChange struct {
	next   consensus.Group
	reason string
}

// nextChange returns the next step on the way to a group that has as many responsive
// voters as the policy asks for, spread over the failure domains. ok is false if the
// membership is to stay. Each step leaves the group able to commit with the nodes that
// respond.
func (v voterPolicy) nextChange(peers []peerState) (change voterChange, ok bool) {
	rules := []func([]peerState) (voterChange, bool){
		replaceEmptiedVoter, v.replaceLostVoter, v.fillGroup, spreadVoters, dropSilentLearner,
	}
	for _, rule := range rules {
		if change, ok := rule(peers); ok {
			return change, true
		}
	}
	return voterChange{}, false
}

// replaceEmptiedVoter exchanges a voter for a learner that runs at its address with
// another instance id. The voter's data directory was emptied, so it never returns.
func replaceEmptiedVoter(peers []peerState) (voterChange, bool) {
	for _, l := range peers {
		if !l.mayVote() {
			continue
		}
		for _, p := range peers {
			if p.Voter && p.Name == l.Name && p.Addr == l.Addr {
				return voterChange{swapPeer(groupOf(peers), p.Peer, l.ID), "the data directory of a voter was emptied"}, true
			}
		}
	}
	return voterChange{}, false
}

// replaceLostVoter exchanges a lost voter for a learner.
func (v voterPolicy) replaceLostVoter(peers []peerState) (voterChange, bool) {
	i := slices.IndexFunc(peers, v.lost)
	if i < 0 {
		return voterChange{}, false
	}
	learner, ok := bestLearner(without(peers, i))
	if !ok {
		return voterChange{}, false
	}
	return voterChange{swapPeer(groupOf(peers), peers[i].Peer, learner.ID), "a voter has been silent"}, true
}

// fillGroup makes a learner a voter if voters are missing.
func (v voterPolicy) fillGroup(peers []peerState) (voterChange, bool) {
	learner, ok := bestLearner(peers)
	if !ok || !v.canGrow(peers) {
		return voterChange{}, false
	}
	return voterChange{withVote(groupOf(peers), learner.ID, true), "the group has too few voters"}, true
}

// spreadVoters exchanges the vote of a node for that of a learner in a failure domain that
// has at least two voters less.
func spreadVoters(peers []peerState) (voterChange, bool) {
	learner, ok := bestLearner(peers)
	if !ok {
		return voterChange{}, false
	}
	voters := votersByDomain(peers)
	i := slices.IndexFunc(peers, func(p peerState) bool {
		return p.Voter && !p.leads && voters[p.Domain] >= voters[learner.Domain]+2
	})
	if i < 0 {
		return voterChange{}, false
	}
	next := withVote(withVote(groupOf(peers), learner.ID, true), peers[i].ID, false)
	return voterChange{next, "a failure domain has more voters than another one"}, true
}

// dropSilentLearner removes a learner that has been silent for long.
func dropSilentLearner(peers []peerState) (voterChange, bool) {
	i := slices.IndexFunc(peers, func(p peerState) bool { return !p.Voter && p.silence >= dropLearnerAfter })
	if i < 0 {
		return voterChange{}, false
	}
	return voterChange{groupOf(without(peers, i)), "a learner has been silent"}, true
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
		if !p.mayVote() {
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

func groupOf(peers []peerState) consensus.Group {
	var g consensus.Group
	for _, p := range peers {
		g.Peers = append(g.Peers, p.Peer)
	}
	return g
}

// without returns the peers but for the one at position i.
func without(peers []peerState, i int) []peerState { return slices.Delete(slices.Clone(peers), i, i+1) }

// withVote returns g with the vote of the node id given or taken. It modifies g.Peers.
func withVote(g consensus.Group, id consensus.ID, vote bool) consensus.Group {
	for i, p := range g.Peers {
		if p.ID == id {
			g.Peers[i].Voter = vote
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
	change, ok := newVoterPolicy(c.opt.Tolerance, c.opt.LostAfter).nextChange(c.peerStates())
	if !ok {
		return
	}
	klog.InfoS("control: Changing the voters", "reason", change.reason, "from", peerNames(c.raft.Group(), true), "to", peerNames(change.next, true))
	if step := c.proposeGroup(change.next); step.err != nil {
		klog.Warningf("control: The change of the voters was refused: %v.", step.err)
	}
}
