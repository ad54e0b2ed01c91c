package consensus

import "testing"

// settle runs the given machines, cut off from all others, until nothing is left
// to do. Messages with entries after limit are lost.
func (s *sim) settle(limit uint64, alive ...*machine) {
	for again := true; again; {
		again = false
		for _, m := range alive {
			rd := m.node.Ready()
			again = again || !rd.Empty()
			m.disk.write(rd, len(rd.Entries))
			m.node.Advance(rd)
			s.check.node(m)
			for _, msg := range rd.Messages {
				if k := len(msg.Entries); k > 0 && msg.Entries[k-1].Index > limit {
					continue
				}
				for _, to := range alive {
					to.node.Step(msg)
				}
			}
		}
	}
}

// elect makes m the leader of the given term by the votes of the machines, whose
// election timeouts have passed.
func (s *sim) elect(t *testing.T, term, limit uint64, m *machine, voters ...*machine) {
	for _, v := range voters {
		v.node.leader = ""
	}
	m.node.term = term - 1
	m.node.startElection()
	s.settle(limit, append(voters, m)...)
	if !m.node.IsLeader() || m.node.Term() != term {
		t.Fatalf("%s does not lead term %d", m.name, term)
	}
}

func scripted(nodes int) *sim {
	s := newSim(1, nodes, faults{})
	s.maxBytes = 1 // one entry in a message
	for _, m := range s.machines {
		s.start(m)
	}
	return s
}

const noLimit = 1 << 40

// TestOlderTerm guards against committing an entry of an older term because a
// majority holds it: a later leader may still replace it.
func TestOlderTerm(t *testing.T) {
	s := scripted(5)
	a, b, c, d, e := s.machines[0], s.machines[1], s.machines[2], s.machines[3], s.machines[4]
	s.elect(t, 2, noLimit, a, b, c, d, e)
	common := a.node.Commit()
	index, err := a.node.Propose([]byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	s.settle(noLimit, a, b)
	s.elect(t, 3, common, e, c, d) // its entries stay on its own disk
	s.start(a)
	s.elect(t, 4, index, a, b, c) // a majority now holds index, of term 2
	if got := a.node.Commit(); got != common || c.node.LastIndex() != index {
		t.Fatalf("committed %d, want %d; copied %d, want %d", got, common, c.node.LastIndex(), index)
	}
	s.start(e)
	s.elect(t, 5, noLimit, e, b, c, d)
	if e.node.Commit() <= index {
		t.Fatalf("committed %d after the last election", e.node.Commit())
	}
}

// exchange starts another machine and returns it with the two steps that put it
// in the place of the last voter.
func (s *sim) exchange(leader *machine) (d *machine, learner, exchanged Group) {
	d = &machine{name: "m3", disk: disk{id: s.newID()}}
	s.start(d)
	learner = leader.node.Group().clone()
	learner.Peers = append(learner.Peers, Peer{ID: d.disk.id, Name: d.name})
	exchanged = learner.clone()
	exchanged.Peers[2] = Peer{ID: d.disk.id, Name: d.name, Voter: true}
	exchanged.Peers = exchanged.Peers[:3]
	return d, learner, exchanged
}

// TestExchangeQuorum guards against disjoint quorums: a leader that can reach
// only the new voter must not commit, since the old voters may elect another.
func TestExchangeQuorum(t *testing.T) {
	s := scripted(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	d, learner, exchanged := s.exchange(a)
	s.elect(t, 2, noLimit, a, b, c)
	if err := a.node.ProposeGroup(learner); err != nil {
		t.Fatal(err)
	}
	s.settle(noLimit, a, b, c, d)
	a.node.startHeartbeatRound()
	s.settle(noLimit, a, b, c, d)
	if err := a.node.ProposeGroup(exchanged); err != nil {
		t.Fatal(err)
	}
	before := a.node.Commit()
	s.settle(noLimit, a, d)
	if got := a.node.Commit(); got != before {
		t.Fatalf("committed %d without a majority of the old voters, want %d", got, before)
	}
	s.elect(t, 3, noLimit, b, c)
	s.settle(noLimit, a, b, c, d)
}

// TestLossAfterExchange guards against a group that can't elect when it loses a
// node right after an exchange and the returning node has missed the exchange.
func TestLossAfterExchange(t *testing.T) {
	s := scripted(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	d, learner, exchanged := s.exchange(a)
	s.elect(t, 2, noLimit, a, c)
	for _, g := range []Group{learner, exchanged} {
		if err := a.node.ProposeGroup(g); err != nil {
			t.Fatal(err)
		}
		a.node.startHeartbeatRound()
		s.settle(noLimit, a, c, d)
		a.node.startHeartbeatRound()
		s.settle(noLimit, a, c, d)
	}
	if g := a.node.Group(); g.Joint() || !g.Votes(d.disk.id) || g.Votes(c.disk.id) {
		t.Fatalf("the exchange has led to %+v", g)
	}
	s.elect(t, 3, noLimit, d, b)
	if d.node.Commit() < a.node.Commit() {
		t.Fatalf("committed %d, want at least %d", d.node.Commit(), a.node.Commit())
	}
}

// TestOutdatedDisk guards against the loss of a committed entry when a voter
// comes back with an older copy of its disk: its vote must not count.
func TestOutdatedDisk(t *testing.T) {
	s := scripted(3)
	a, b, c := s.machines[0], s.machines[1], s.machines[2]
	s.elect(t, 2, noLimit, a, b, c)
	older := c.disk
	for range 2 {
		s.start(c)
		a.node.startHeartbeatRound()
		s.settle(noLimit, a, b, c)
	}
	if p, _ := b.node.Group().Peer(c.disk.id); p.Boot != c.disk.boot {
		t.Fatalf("recorded boot count %d, want %d", p.Boot, c.disk.boot)
	}
	index, err := a.node.Propose([]byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	s.settle(noLimit, a, c)
	if a.node.Commit() != index {
		t.Fatalf("committed %d, want %d", a.node.Commit(), index)
	}
	c.disk = older
	s.start(c)
	b.node.startElection()
	s.settle(noLimit, b, c)
	if b.node.IsLeader() || len(b.node.grantedVotes) != 1 {
		t.Fatalf("the vote of an outdated disk counts: %v", b.node.grantedVotes)
	}
}
