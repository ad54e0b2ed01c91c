package consensus

import (
	"slices"
	"testing"
)

// TestLearnerConfirmationAge guards against a learner whose last confirmation gets
// older than the 1 s after which members switch to another node, and against one
// that receives a new entry only with the next heartbeat. A message takes one tick.
func TestLearnerConfirmationAge(t *testing.T) {
	const ticksPerSecond, learnerPosition, seconds = 20, 3, 60
	var g Group
	for i, id := range []ID{"a", "b", "c", "d"} {
		g.Peers = append(g.Peers, Peer{ID: id, Voter: i != learnerPosition})
	}
	first := Bootstrap(g, nil)
	nodes := map[ID]*Node{}
	for i, p := range g.Peers {
		nodes[p.ID] = New(Config{ID: p.ID, Boot: 1, Seed: uint64(i), Snapshot: &first})
	}
	var sent []Message
	step := func() {
		delivered := sent
		sent = nil
		for _, p := range g.Peers {
			nodes[p.ID].Tick()
		}
		for _, m := range delivered {
			nodes[m.To].Step(m)
		}
		for _, p := range g.Peers {
			rd := nodes[p.ID].Ready()
			sent = append(sent, rd.Messages...)
			nodes[p.ID].Advance(rd)
		}
	}
	for range 10 * ticksPerSecond {
		step()
	}
	l := nodes[g.Peers[learnerPosition].ID]
	heartbeats, maxAge := 0, uint64(0)
	for tick := range seconds * ticksPerSecond {
		leader := nodes[l.Leader()]
		if tick%50 == 0 {
			index, err := leader.Propose([]byte("1"))
			if err != nil {
				t.Fatal(err)
			}
			step()
			if step(); l.LastIndex() < index {
				t.Fatalf("the learner does not hold entry %d after two ticks", index)
			}
		}
		step()
		for _, m := range sent {
			if m.To == l.ID() && len(m.Entries) == 0 {
				heartbeats++
			}
		}
		maxAge = max(maxAge, l.CurrentTick()-l.ConfirmedTick())
	}
	t.Logf("oldest confirmation %d ticks, %d heartbeats in %d s", maxAge, heartbeats, seconds)
	if maxAge >= ticksPerSecond {
		t.Errorf("a confirmation is %d ticks old", maxAge)
	}
	if maxHeartbeats := seconds * 3; heartbeats > maxHeartbeats {
		t.Errorf("%d heartbeats in %d s, at most %d are needed", heartbeats, seconds, maxHeartbeats)
	}
}

// TestRemovedNodeKeepsItsBootCount guards against an older copy of a disk that votes again
// because its node was removed from the group and added again in between.
func TestRemovedNodeKeepsItsBootCount(t *testing.T) {
	s := newSim(1, 3, faults{})
	run := func(ticks int) {
		for range ticks * defaultUnitsPerTick {
			s.step()
		}
	}
	run(60)
	m := s.leader()
	removed := s.machines[0]
	if removed == m {
		removed = s.machines[1]
	}
	s.crash(removed)
	s.start(removed) // raises the boot count
	run(20)
	before, _ := m.node.Group().Peer(removed.disk.id)
	s.crash(removed) // so that it doesn't report its boot count again
	without, with := m.node.Group().clone(), m.node.Group().clone()
	without.Peers = slices.DeleteFunc(without.Peers, func(p Peer) bool { return p.ID == removed.disk.id })
	with.Peers = append(slices.Clone(without.Peers), Peer{ID: removed.disk.id, Name: removed.name})
	for _, g := range []Group{without, with} {
		if err := m.node.ProposeGroup(g); err != nil {
			t.Fatal(err)
		}
		run(20)
	}
	after, ok := m.node.Group().Peer(removed.disk.id)
	if !ok || after.Voter || before.Boot < 2 || after.Boot < before.Boot {
		t.Errorf("recorded boot count %d before the removal and %d after: %+v", before.Boot, after.Boot, m.node.Group())
	}
	if n := len(m.node.Group().Former); n != 0 {
		t.Errorf("%d former nodes", n)
	}
}
