package consensus

import "testing"

// TestAgeOfALearner guards against a learner whose confirmation grows older than
// the 1 s at which members leave it, or that waits for a heartbeat before it
// gets a new entry. Messages take one tick.
func TestAgeOfALearner(t *testing.T) {
	const switchAfter, learner, seconds = 20, 3, 60
	var g Group
	for i, id := range []ID{"a", "b", "c", "d"} {
		g.Peers = append(g.Peers, Peer{ID: id, Voter: i != learner})
	}
	first := Bootstrap(g, nil)
	nodes := map[ID]*Node{}
	for i, p := range g.Peers {
		nodes[p.ID] = New(Config{ID: p.ID, Boot: 1, Seed: uint64(i), Snapshot: &first})
	}
	var sent []Message
	step := func() {
		arrived := sent
		sent = nil
		for _, p := range g.Peers {
			nodes[p.ID].Tick()
		}
		for _, m := range arrived {
			nodes[m.To].Step(m)
		}
		for _, p := range g.Peers {
			rd := nodes[p.ID].Ready()
			sent = append(sent, rd.Messages...)
			nodes[p.ID].Advance(rd)
		}
	}
	for range 10 * switchAfter {
		step()
	}
	l := nodes[g.Peers[learner].ID]
	beats, oldest := 0, uint64(0)
	for tick := range seconds * switchAfter {
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
				beats++
			}
		}
		oldest = max(oldest, l.Now()-l.ConfirmedTick())
	}
	t.Logf("oldest confirmation %d ticks, %d heartbeats in %d s", oldest, beats, seconds)
	if oldest >= switchAfter {
		t.Errorf("a confirmation is %d ticks old", oldest)
	}
	if most := seconds * 3; beats > most {
		t.Errorf("%d heartbeats in %d s, at most %d are needed", beats, seconds, most)
	}
}
