package consensus

import "testing"

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
