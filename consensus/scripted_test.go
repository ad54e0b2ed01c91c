package consensus

import "testing"

// runUntilIdle runs the given machines, isolated from all others, until nothing is
// left to do. Messages with entries after index maxIndex are lost.
func (s *sim) runUntilIdle(maxIndex uint64, machines ...*machine) {
	for pending := true; pending; {
		pending = false
		for _, m := range machines {
			rd := m.node.Ready()
			pending = pending || !rd.Empty()
			m.disk.write(rd, len(rd.Entries))
			m.node.Advance(rd)
			s.check.node(m)
			for _, msg := range rd.Messages {
				if k := len(msg.Entries); k > 0 && msg.Entries[k-1].Index > maxIndex {
					continue
				}
				for _, to := range machines {
					to.node.Step(msg)
				}
			}
		}
	}
}

// elect makes m the leader of the given term with the votes of the given machines,
// as if their election timeouts had passed.
func (s *sim) elect(t *testing.T, term, maxIndex uint64, m *machine, voters ...*machine) {
	for _, v := range voters {
		v.node.leader = ""
	}
	m.node.term = term - 1
	m.node.startElection()
	s.runUntilIdle(maxIndex, append(voters, m)...)
	if !m.node.IsLeader() || m.node.Term() != term {
		t.Fatalf("%s does not lead term %d", m.name, term)
	}
}

func newScriptedSim(nodes int) *sim {
	s := newSim(1, nodes, faults{})
	s.maxMessageBytes = 1 // one entry in a message
	for _, m := range s.machines {
		s.start(m)
	}
	return s
}

const noLimit = 1 << 40

// TestOlderTermIsNotCommittedAlone guards against committing an entry of an older
// term only because a majority holds it: a later leader may still replace it.
func TestOlderTermIsNotCommittedAlone(t *testing.T) {
	s := newScriptedSim(5)
	a, b, c, d, e := s.machines[0], s.machines[1], s.machines[2], s.machines[3], s.machines[4]
	s.elect(t, 2, noLimit, a, b, c, d, e)
	common := a.node.Commit()
	index, err := a.node.Propose([]byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle(noLimit, a, b)
	s.elect(t, 3, common, e, c, d) // its entries do not reach the other nodes
	s.start(a)
	s.elect(t, 4, index, a, b, c) // a majority now holds the entry at index, which is of term 2
	if got := a.node.Commit(); got != common || c.node.LastIndex() != index {
		t.Fatalf("committed %d, want %d; copied %d, want %d", got, common, c.node.LastIndex(), index)
	}
	s.start(e)
	s.elect(t, 5, noLimit, e, b, c, d)
	if e.node.Commit() <= index {
		t.Fatalf("committed %d after the last election", e.node.Commit())
	}
}

// voterReplacement starts another machine and returns it with the two memberships
// that replace the last voter by it: first as a learner, then as a voter.
func (s *sim) voterReplacement(leader *machine) (d *machine, withLearner, replaced Group) {
	d = &machine{name: "m3", disk: disk{id: s.newID()}}
	s.start(d)
	withLearner = leader.node.Group().clone()
	withLearner.Peers = append(withLearner.Peers, Peer{ID: d.disk.id, Name: d.name})
	replaced = withLearner.clone()
	replaced.Peers[2] = Peer{ID: d.disk.id, Name: d.name, Voter: true}
	replaced.Peers = replaced.Peers[:3]
	return d, withLearner, replaced
}

// TestJointQuorum guards against disjoint quorums: a leader that can reach only
// the new voter must not commit, since the old voters may elect another leader.
func TestJointQuorum(t *testing.T) {
	s := newScriptedSim(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	d, withLearner, replaced := s.voterReplacement(a)
	s.elect(t, 2, noLimit, a, b, c)
	if err := a.node.ProposeGroup(withLearner); err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle(noLimit, a, b, c, d)
	a.node.startHeartbeatRound()
	s.runUntilIdle(noLimit, a, b, c, d)
	if err := a.node.ProposeGroup(replaced); err != nil {
		t.Fatal(err)
	}
	before := a.node.Commit()
	s.runUntilIdle(noLimit, a, d)
	if got := a.node.Commit(); got != before {
		t.Fatalf("committed %d without a majority of the old voters, want %d", got, before)
	}
	s.elect(t, 3, noLimit, b, c)
	s.runUntilIdle(noLimit, a, b, c, d)
}

// TestNodeLossAfterVoterReplacement guards against a group that can't elect a
// leader if it loses a node right after the replacement of a voter, and another
// voter was down during the replacement and does not know of it.
func TestNodeLossAfterVoterReplacement(t *testing.T) {
	s := newScriptedSim(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	d, withLearner, replaced := s.voterReplacement(a)
	s.elect(t, 2, noLimit, a, c)
	for _, g := range []Group{withLearner, replaced} {
		if err := a.node.ProposeGroup(g); err != nil {
			t.Fatal(err)
		}
		a.node.startHeartbeatRound()
		s.runUntilIdle(noLimit, a, c, d)
		a.node.startHeartbeatRound()
		s.runUntilIdle(noLimit, a, c, d)
	}
	if g := a.node.Group(); g.IsJoint() || !g.IsVoter(d.disk.id) || g.IsVoter(c.disk.id) {
		t.Fatalf("the replacement has led to %+v", g)
	}
	s.elect(t, 3, noLimit, d, b)
	if d.node.Commit() < a.node.Commit() {
		t.Fatalf("committed %d, want at least %d", d.node.Commit(), a.node.Commit())
	}
}

// TestOutdatedDisk guards against the loss of a committed entry after a voter
// restarts with an older copy of its disk: its vote must not count.
func TestOutdatedDisk(t *testing.T) {
	s := newScriptedSim(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	s.elect(t, 2, noLimit, a, b, c)
	oldDisk := c.disk
	for range 2 {
		s.start(c)
		a.node.startHeartbeatRound()
		s.runUntilIdle(noLimit, a, b, c)
	}
	if p, _ := b.node.Group().Peer(c.disk.id); p.Boot != c.disk.boot {
		t.Fatalf("recorded boot count %d, want %d", p.Boot, c.disk.boot)
	}
	index, err := a.node.Propose([]byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	s.runUntilIdle(noLimit, a, c)
	if a.node.Commit() != index {
		t.Fatalf("committed %d, want %d", a.node.Commit(), index)
	}
	c.disk = oldDisk
	s.start(c)
	b.node.startElection()
	s.runUntilIdle(noLimit, b, c)
	if b.node.IsLeader() || len(b.node.grantedVotes) != 1 {
		t.Fatalf("the vote of an outdated disk counts: %v", b.node.grantedVotes)
	}
}

// TestIgnoredVotesAreTold guards against a voter that ignores a candidate, or the vote of a
// peer, without a way to learn why.
func TestIgnoredVotesAreTold(t *testing.T) {
	s := newScriptedSim(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	s.elect(t, 2, noLimit, a, b, c)
	a.node.leader, a.node.role = "", follower
	boot := a.node.Group().Peers[1].Boot
	a.node.groups.latest().group.Peers[1].Boot = boot + 1
	for from, want := range map[ID]IgnoreReason{b.disk.id: OutdatedDisk, "other": UnknownNode} {
		a.node.Step(Message{Kind: MsgPreVote, From: from, To: a.disk.id, Term: 3, Boot: boot})
		if got := a.node.IgnoredVotes()[from]; got != want {
			t.Errorf("the request of %q is ignored as %q, want %q", from, got, want)
		}
	}
	a.node.becomeFollower(3, c.disk.id)
	if got := a.node.IgnoredVotes(); len(got) > 0 {
		t.Errorf("with a leader: %v", got)
	}
}
