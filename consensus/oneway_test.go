package consensus

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
)

var oneWaySeeds = flag.Uint64("oneway", 2, "number of seeds for each set of lost links in TestOneWayLoss")

// maxOneWayGapTicks limits the time without a commit after links were lost: the longest
// election timeout, and six campaigns of the longest duration.
const maxOneWayGapTicks = 2*DefaultElectionTicks + 6*(minCampaignTicks+campaignJitterTicks)

// directedLink is the sender and the receiver of messages, as positions of machines.
type directedLink struct{ from, to int }

// newSettledSim returns a group with voters and, after them, a learner and an observer,
// which has a leader and whose logs are equal.
func newSettledSim(t *testing.T, seed uint64, voters int, f faults) *sim {
	s := newSim(seed, voters, f)
	s.clients.stopped = true
	s.runTicks(40)
	g := s.leader().node.Group().clone()
	for i := range 2 {
		m := &machine{name: fmt.Sprint("m", voters+i), disk: disk{id: s.newID()}}
		s.machines = append(s.machines, m)
		s.start(m)
		g.Peers = append(g.Peers, Peer{ID: m.disk.id, Name: m.name, Observer: i == 1})
	}
	if err := s.leader().node.ProposeGroup(g); err != nil {
		t.Fatal(err)
	}
	s.runTicks(40)
	return s
}

func (s *sim) runTicks(ticks uint64) {
	for range ticks * s.unitsPerTick {
		s.step()
	}
}

func (s *sim) lose(links []directedLink) {
	for _, l := range links {
		s.blockedUntil[[2]string{s.machines[l.from].name, s.machines[l.to].name}] = math.MaxUint64
	}
}

// linksLoss is a set of lost links.
type linksLoss struct {
	links []directedLink
	// onlyElectable is set if only nodes that can be elected propose commands. An entry that
	// another leader has left on a voter, and without whose vote there is no majority, ends
	// all elections for good if no node that holds it can be elected.
	onlyElectable bool
}

// electable reports whether the voter at position v has links in both directions to a
// majority of the voters.
func (l linksLoss) electable(v, voters int) bool {
	reached := 0
	for o := range voters {
		if !slices.Contains(l.links, directedLink{v, o}) && !slices.Contains(l.links, directedLink{o, v}) {
			reached++
		}
	}
	return v < voters && 2*reached > voters
}

func (l linksLoss) leavesElectable(voters int) bool {
	for v := range voters {
		if l.electable(v, voters) {
			return true
		}
	}
	return false
}

// longestCommitGap returns the longest time in ticks without a commit, while a command is
// proposed at each tick at which a node leads that may propose.
func (s *sim) longestCommitGap(ticks uint64, mayPropose func(position int) bool) (gap uint64) {
	since, committed := s.now, len(s.check.committed)
	for end := s.now + ticks*s.unitsPerTick; s.now < end; {
		for i, m := range s.machines {
			if s.now%s.unitsPerTick == 0 && m.node.IsLeader() && mayPropose(i) {
				_, _ = m.node.Propose([]byte("1")) // refused while too much is uncommitted
			}
		}
		s.step()
		if len(s.check.committed) > committed {
			since, committed = s.now, len(s.check.committed)
		}
		gap = max(gap, (s.now-since)/s.unitsPerTick)
	}
	return gap
}

// oneWayLosses returns the sets of lost links that TestOneWayLoss plays: each node that
// hears no voter, each whose messages are lost, each link alone, each two links, and
// random sets.
func oneWayLosses(s *sim, voters int) []linksLoss {
	var links []directedLink
	for from := range voters {
		for to := range voters {
			if from != to {
				links = append(links, directedLink{from, to})
			}
		}
	}
	var sets []linksLoss
	for node := range s.machines {
		var in, out []directedLink
		for o := range s.machines {
			in, out = append(in, directedLink{o, node}), append(out, directedLink{node, o})
		}
		sets = append(sets, linksLoss{links: in}, linksLoss{links: out})
	}
	for i, a := range links {
		sets = append(sets, linksLoss{links: []directedLink{a}})
		for _, b := range links[i+1:] {
			sets = append(sets, linksLoss{links: []directedLink{a, b}})
		}
	}
	for range 10 * voters {
		var set []directedLink
		for _, l := range links {
			if s.rng.IntN(3) == 0 {
				set = append(set, l)
			}
		}
		sets = append(sets, linksLoss{links: set, onlyElectable: true})
	}
	return slices.DeleteFunc(sets, func(l linksLoss) bool { return !l.leavesElectable(voters) })
}

// TestOneWayLoss guards against a group that elects no leader, or keeps one that can't
// commit, because of nodes that are heard and don't hear, or the reverse: as long as a voter
// has links in both directions to a majority, commands are committed. The leader restarts
// when the links are lost, or keeps running.
func TestOneWayLoss(t *testing.T) {
	delays := []int{0, 4, 10, 20} // 0 to 100 ms
	for _, voters := range []int{3, 5} {
		runs, longest := 0, uint64(0)
		for seed := range *oneWaySeeds {
			for i, lost := range oneWayLosses(newSim(seed, voters+2, faults{}), voters) {
				delay := delays[(uint64(i)+seed/2)%uint64(len(delays))]
				s := newSettledSim(t, seed, voters, faults{maxDelayUnits: delay})
				if m := s.leader(); seed%2 == 1 {
					s.crash(m)
					s.start(m)
				}
				s.lose(lost.links)
				mayPropose := func(i int) bool { return !lost.onlyElectable || lost.electable(i, voters) }
				gap := s.longestCommitGap(2*maxOneWayGapTicks, mayPropose)
				runs, longest = runs+1, max(longest, gap)
				if gap > maxOneWayGapTicks {
					t.Errorf("seed %d, %d voters, up to %d ms delay, lost links %v: no commit for %d ticks, at most %d are allowed",
						seed, voters, delay*5, lost.links, gap, maxOneWayGapTicks)
				}
			}
		}
		t.Logf("%d voters: %d runs, longest time without a commit %d ticks", voters, runs, longest)
	}
}

// TestDeafCandidatesDoNotBlockElections guards against voters that hear nobody, but whose
// vote requests are heard, so that the others abandon their own campaigns again and again.
// The deaf nodes have the lowest ids, and all voters have just restarted.
func TestDeafCandidatesDoNotBlockElections(t *testing.T) {
	const seeds = 100
	networks := []struct {
		name   string
		faults faults
	}{
		{"no delay", faults{}},
		{"0 to 20 ms", faults{maxDelayUnits: 4}},
		{"0 to 100 ms", faults{maxDelayUnits: 20}},
		{"50 ms", faults{minDelayUnits: 10, maxDelayUnits: 10}},
	}
	for _, voters := range []int{3, 5} {
		for _, net := range networks {
			var ticks []uint64
			for seed := range uint64(seeds) {
				s := newSettledSim(t, seed, voters, net.faults)
				for deaf := range voters / 2 {
					for o := range s.machines {
						s.lose([]directedLink{{o, deaf}})
					}
				}
				for _, m := range s.machines[:voters] {
					s.crash(m)
					s.start(m)
				}
				begin := s.now
				for s.leader() == nil && s.now-begin < 10*maxOneWayGapTicks*s.unitsPerTick {
					s.step()
				}
				ticks = append(ticks, (s.now-begin)/s.unitsPerTick)
			}
			slices.Sort(ticks)
			p50, longest := ticks[seeds/2], ticks[seeds-1]
			t.Logf("%d voters, delay %s: p50 %d, max %d ticks", voters, net.name, p50, longest)
			if longest > maxOneWayGapTicks {
				t.Errorf("%d voters, delay %s: no leader for %d ticks, at most %d are allowed", voters, net.name, longest, maxOneWayGapTicks)
			}
		}
	}
}
