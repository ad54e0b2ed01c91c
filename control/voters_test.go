package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/consensus"
)

const testLostAfter = 3 * time.Second

// testPeer returns the state of a responsive node: "v" votes, "l" is a learner, "o" an
// observer. Its address is its name.
func testPeer(kind, id, name, domain string) peerState {
	return peerState{
		Peer: consensus.Peer{
			ID: consensus.ID(id), Name: name, Addr: name, Domain: domain, Voter: kind == "v", Observer: kind == "o",
		},
		replied: true, caughtUp: true,
	}
}

func silent(p peerState, d time.Duration) peerState {
	p.silence = d
	return p
}

func voterIDs(g consensus.Group) string {
	ids := g.Voters()
	slices.Sort(ids)
	return fmt.Sprint(ids)
}

// Guards against a step of the membership that leaves the group with too few voters, or
// takes the vote from a node that is needed.
func TestNextVoters(t *testing.T) {
	policy := newVoterPolicy(Tolerance{Nodes: 2, Domains: 1}, testLostAfter)
	v := func(id, domain string) peerState { return testPeer("v", id, id, domain) }
	l := func(id, domain string) peerState { return testPeer("l", id, id, domain) }
	lagging := l("4", "a")
	lagging.caughtUp = false
	unheard := v("3", "c")
	unheard.replied = false
	for _, c := range []struct {
		name  string
		peers []peerState
		want  string // voters of the next membership, empty if it stays
	}{
		{"a learner fills a group of three", []peerState{v("1", "a"), v("2", "b"), v("3", "c"), l("4", "a")}, "[1 2 3 4]"},
		{"the learner of the domain with the fewest voters comes first", []peerState{v("1", "a"), v("2", "b"), v("3", "c"), v("4", "a"), l("5", "a"), l("6", "c")}, "[1 2 3 4 6]"},
		{"a complete group keeps its learner", []peerState{v("1", "a"), v("2", "b"), v("3", "c"), v("4", "a"), v("5", "b"), l("6", "c")}, ""},
		{"a learner that lags doesn't vote", []peerState{v("1", "a"), v("2", "b"), v("3", "c"), lagging}, ""},
		{"an observer doesn't vote", []peerState{v("1", "a"), v("2", "b"), v("3", "c"), testPeer("o", "4", "4", "a")}, ""},
		{"a voter that returns as an observer is replaced by a learner", []peerState{v("1", "a"), v("2", "b"), silent(v("3", "c"), testLostAfter), testPeer("o", "new", "3", "c"), l("4", "c")}, "[1 2 4]"},
		{"a voter that returns as an observer gets no vote", []peerState{v("1", "a"), v("2", "b"), silent(v("3", "c"), testLostAfter), testPeer("o", "new", "3", "c")}, ""},
		{"no growth while a voter is silent and needed", []peerState{v("1", "a"), v("2", "b"), silent(v("3", "c"), time.Second), l("4", "a")}, ""},
		{"no growth while a voter has not answered a new leader", []peerState{v("1", "a"), v("2", "b"), unheard, l("4", "a")}, ""},
		{"a lost voter is replaced", []peerState{v("1", "a"), v("2", "b"), silent(v("3", "c"), testLostAfter), l("4", "c")}, "[1 2 4]"},
		{"a lost voter without a learner stays", []peerState{v("1", "a"), v("2", "b"), silent(v("3", "c"), time.Hour)}, ""},
		{"a silent learner doesn't replace anyone", []peerState{v("1", "a"), v("2", "b"), silent(v("3", "c"), time.Hour), silent(l("4", "c"), time.Second)}, ""},
		{"an emptied voter is replaced at once", []peerState{v("1", "a"), v("2", "b"), v("3", "c"), testPeer("l", "9", "3", "c")}, "[1 2 9]"},
		{"voters are spread over the domains", []peerState{v("1", "a"), v("2", "a"), v("3", "a"), v("4", "b"), v("5", "c"), l("6", "b")}, "[2 3 4 5 6]"},
	} {
		change, ok := policy.nextChange(c.peers)
		if got := voterIDs(change.next); ok != (c.want != "") || ok && got != c.want {
			t.Errorf("%s: next voters %s (%s, %v), want %q", c.name, got, change.reason, ok, c.want)
		}
	}
}

// Guards against learners that stay in the group for ever after their VM was exchanged.
func TestSilentLearnerIsDropped(t *testing.T) {
	policy := newVoterPolicy(Tolerance{Nodes: 1}, testLostAfter)
	peers := []peerState{
		testPeer("v", "1", "1", "a"), testPeer("v", "2", "2", "b"), testPeer("v", "3", "3", "c"),
		silent(testPeer("o", "4", "4", "a"), dropLearnerAfter), testPeer("l", "5", "5", "b"),
	}
	change, ok := policy.nextChange(peers)
	if _, present := change.next.Peer("4"); !ok || present || len(change.next.Peers) != 4 {
		t.Errorf("membership %+v, %v", change.next, ok)
	}
}

// votersModel is a deployment whose machines are lost and return. Time passes in steps of
// the interval at which the leader adjusts the voters.
type votersModel struct {
	t        *rapid.T
	policy   voterPolicy
	nodes    []modelNode
	group    consensus.Group
	nextID   int
	tolerate int
}

// modelNode is a machine with the control node on its disk.
type modelNode struct {
	id        consensus.ID
	name      string
	domain    string
	downSince time.Duration // meaningful while down
	down      bool
	countsFor time.Duration // until then the machine counts as lost
}

const (
	modelStep    = 200 * time.Millisecond
	modelCatchUp = 2 * testLostAfter
	modelDown    = 2 * time.Second
)

func (m *votersModel) newID() consensus.ID {
	m.nextID++
	return consensus.ID(fmt.Sprintf("n%03d", m.nextID))
}

func (m *votersModel) lostNow(now time.Duration) int {
	lost := 0
	for _, n := range m.nodes {
		if n.down || n.countsFor > now {
			lost++
		}
	}
	return lost
}

func (m *votersModel) node(id consensus.ID) (modelNode, bool) {
	i := slices.IndexFunc(m.nodes, func(n modelNode) bool { return n.id == id && !n.down })
	if i < 0 {
		return modelNode{}, false
	}
	return m.nodes[i], true
}

// canCommit reports whether the running nodes hold a majority of the group.
func (m *votersModel) canCommit(g consensus.Group) bool {
	running := 0
	for _, id := range g.Voters() {
		if _, ok := m.node(id); ok {
			running++
		}
	}
	return 2*running > len(g.Voters())
}

// lose takes a machine away: its disk stays, is emptied, or the machine is exchanged for
// another one.
func (m *votersModel) lose(now time.Duration) {
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "machine")
	n := &m.nodes[i]
	if n.down {
		return
	}
	n.down, n.downSince = true, now
	switch rapid.IntRange(0, 2).Draw(m.t, "how") {
	case 0: // the disk stays
	case 1:
		n.id = m.newID()
	case 2:
		n.id = m.newID()
		n.name = string(n.id)
	}
}

// step lets machines return, lets nodes outside the group join, and takes one step of the
// policy.
func (m *votersModel) step(now time.Duration, silentSince map[consensus.ID]time.Duration) {
	for i := range m.nodes {
		if n := &m.nodes[i]; n.down && now-n.downSince >= modelDown {
			n.down, n.countsFor = false, now+modelCatchUp
		}
	}
	if !m.canCommit(m.group) {
		m.t.Fatalf("at %v no majority of %+v responds; machines %+v", now, m.group.Peers, m.nodes)
	}
	for _, n := range m.nodes {
		if _, member := m.group.Peer(n.id); !member && !n.down {
			m.group.Peers = append(m.group.Peers, consensus.Peer{ID: n.id, Name: n.name, Addr: n.name, Domain: n.domain})
			return
		}
	}
	var peers []peerState
	for _, p := range m.group.Peers {
		_, running := m.node(p.ID)
		if _, known := silentSince[p.ID]; running || !known {
			silentSince[p.ID] = now
		}
		peers = append(peers, peerState{Peer: p, replied: true, caughtUp: running, silence: now - silentSince[p.ID]})
	}
	change, ok := m.policy.nextChange(peers)
	if !ok {
		return
	}
	if !m.canCommit(change.next) {
		m.t.Fatalf("at %v the next membership %+v has no majority; machines %+v", now, change.next.Peers, m.nodes)
	}
	m.group = change.next
}

// Guards against a policy that loses the majority although no more machines are lost at
// once than tolerated, where a machine counts as lost until its successor, or the machine
// itself with an emptied disk, has had the time to catch up.
func TestVotersBearRepeatedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerate := rapid.IntRange(1, 2).Draw(t, "tolerate")
		size := 2*tolerate + 1 + rapid.IntRange(0, 3).Draw(t, "spare")
		m := &votersModel{t: t, policy: newVoterPolicy(Tolerance{Nodes: tolerate}, testLostAfter), tolerate: tolerate}
		for i := range size {
			id := m.newID()
			n := modelNode{id: id, name: string(id), domain: fmt.Sprint("d", i%3)}
			m.nodes = append(m.nodes, n)
			m.group.Peers = append(m.group.Peers, consensus.Peer{ID: id, Name: n.name, Addr: n.name, Domain: n.domain, Voter: i < 3})
		}
		silentSince := map[consensus.ID]time.Duration{}
		for now := modelStep; now < modelCatchUp; now += modelStep {
			m.step(now, silentSince)
		}
		if got := len(m.group.Voters()); got != 2*tolerate+1 {
			t.Fatalf("%d voters in steady state, %d are needed", got, 2*tolerate+1)
		}
		for now := modelCatchUp; now < modelCatchUp+2*time.Minute; now += modelStep {
			if m.lostNow(now) < tolerate && rapid.IntRange(0, 4).Draw(t, "loss") == 0 {
				m.lose(now)
			}
			m.step(now, silentSince)
		}
	})
}
