package member

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// The simulated deployment: three control nodes, two entries and eleven agents,
// 1 ms between them, one message in a hundred delayed by a retransmission, and
// synced writes of 2 to 10 ms.
const (
	simNodes    = 3
	simEntries  = 2
	simMembers  = 13
	simTick     = 50 * time.Millisecond
	simLatency  = time.Millisecond
	simResend   = 200 * time.Millisecond
	simLength   = 60 * time.Second
	simWarmUp   = 5 * time.Second
	simChanges  = time.Second // mean time between changes
	simConverge = 4 * time.Second
)

var convergeSeeds = flag.Int("converge.seeds", 40, "seeds of the convergence test, each with and without partitions")

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim runs control nodes and members in virtual time.
type sim struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	queue   simQueue
	seq     int
	nodes   []*simNode
	members []*simMember
	changes map[uint64]time.Duration // by index, when it was accepted
	spreads []time.Duration          // from the acceptance until a member held it
	stale   int                      // checks at which a member was not current
	checks  int
}

type simNode struct {
	sim       *sim
	raft      *consensus.Node
	state     *controlstate.State
	busy      bool
	inbox     []func()
	cut       bool
	start     time.Duration
	confirmed time.Duration
}

type simMember struct {
	sim     *sim
	tracker *tracker
	inc     ids.Incarnation
	call    int // number of the latest renewal
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, do})
}

func (s *sim) delay() time.Duration {
	if s.rng.IntN(100) == 0 {
		return simResend
	}
	return simLatency + time.Duration(s.rng.IntN(1000))*time.Microsecond
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// time turns virtual time into the time that the tracker counts in.
func (s *sim) time(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), changes: map[uint64]time.Duration{}}
	var g consensus.Group
	for i := range simNodes {
		g.Peers = append(g.Peers, consensus.Peer{ID: consensus.ID(fmt.Sprint(i)), Voter: true})
	}
	data, err := controlstate.New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	first := consensus.Bootstrap(g, data)
	for i := range simNodes {
		n := &simNode{sim: s, state: controlstate.New(), start: time.Duration(s.rng.IntN(50)) * time.Millisecond}
		n.raft = consensus.New(consensus.Config{ID: g.Peers[i].ID, Boot: 1, Seed: seed*simNodes + uint64(i), Snapshot: &first})
		s.nodes = append(s.nodes, n)
		s.after(n.start+simTick, n.tick)
	}
	return s
}

func (n *simNode) tick() {
	n.sim.after(simTick, n.tick)
	n.mail(n.raft.Tick)
}

// mail runs f in the node's loop, after the write that is in progress.
func (n *simNode) mail(f func()) {
	n.inbox = append(n.inbox, f)
	n.pump()
}

// pump does what the loop of a control node does.
func (n *simNode) pump() {
	for !n.busy {
		rd := n.raft.Ready()
		if !rd.Empty() {
			if rd.NeedsSync() {
				n.busy = true
				n.sim.after(time.Duration(2+n.sim.rng.IntN(9))*time.Millisecond, func() {
					n.busy = false
					n.finish(rd)
					n.pump()
				})
				return
			}
			n.finish(rd)
			continue
		}
		if tick := n.raft.ConfirmedTick(); tick > 0 {
			n.confirmed = n.start + time.Duration(tick-1)*simTick
		}
		if len(n.inbox) == 0 {
			return
		}
		f := n.inbox[0]
		n.inbox = n.inbox[1:]
		f()
	}
}

func (n *simNode) finish(rd consensus.Ready) {
	for _, m := range rd.Messages {
		to := n.sim.node(m.To)
		if n.cut || to.cut {
			continue
		}
		n.sim.after(n.sim.delay(), func() { to.mail(func() { to.raft.Step(m) }) })
	}
	for _, e := range rd.Committed {
		n.apply(e)
	}
	n.raft.Advance(rd)
}

func (n *simNode) apply(e consensus.Entry) {
	if e.Kind != consensus.EntryCommand {
		n.state.Skip(e.Index)
		return
	}
	c, err := controlstate.Decode(e.Data)
	if err != nil {
		n.sim.t.Fatal(err)
	}
	r := n.state.Apply(e.Index, c)
	if c.Apply != nil && r.Apply.Err == nil && n.raft.IsLeader() {
		if _, ok := n.sim.changes[e.Index]; !ok {
			n.sim.changes[e.Index] = n.sim.now
		}
	}
}

func (s *sim) node(id consensus.ID) *simNode {
	for _, n := range s.nodes {
		if n.raft.ID() == id {
			return n
		}
	}
	return nil
}

// propose passes a command to a leader, again and again until one takes it.
func (s *sim) propose(c controlstate.Command) {
	data, err := c.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	for _, n := range s.nodes {
		if !n.cut && n.raft.IsLeader() {
			n.mail(func() {
				if _, err := n.raft.Propose(data); err != nil {
					s.after(simTick, func() { s.propose(c) })
				}
			})
			return
		}
	}
	s.after(simTick, func() { s.propose(c) })
}

func (s *sim) addMembers() {
	for i := range simMembers {
		r := wire.Registration{Kind: wire.KindAgent, Node: "m", Addr: "a", Service: "s", Nonce: fmt.Sprint(i)}
		if i < simEntries {
			r.Kind = wire.KindEntry
		}
		s.propose(controlstate.Command{Register: &r})
	}
	s.run(s.now + simWarmUp)
	for i, m := range s.nodes[0].state.Members() {
		sm := &simMember{sim: s, tracker: newTracker(simNodes, i, m.Kind), inc: m.Incarnation}
		s.members = append(s.members, sm)
		s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, sm.renew)
	}
}

// renew is a member's renewal, with the time limit of a session.
func (m *simMember) renew() {
	m.call++
	call, sent := m.call, m.sim.now
	n := m.sim.nodes[m.tracker.server]
	done := func(f func()) {
		if m.call == call {
			m.call++
			f()
			m.sim.after(m.tracker.pause(m.sim.time(m.sim.now)), m.renew)
		}
	}
	m.sim.after(m.tracker.timeout(), func() { done(m.tracker.failed) })
	if n.cut {
		return
	}
	have := m.tracker.view.Version
	m.sim.after(m.sim.delay(), func() {
		n.mail(func() { m.answer(n, have, sent, done) })
	})
}

// answer is what a control node does with a renewal.
func (m *simMember) answer(n *simNode, have ids.Version, sent time.Duration, done func(func())) {
	if n.cut || n.confirmed == 0 {
		return
	}
	r := wire.RenewReply{
		Version:        ids.Version(n.state.Index()),
		FromLeader:     n.raft.IsLeader(),
		ConfirmedAgeMS: (m.sim.now - n.confirmed + time.Millisecond - 1).Milliseconds(),
	}
	if r.Version > have {
		r.Changes, r.ReplacesView = n.state.Changes(have, m.inc)
	}
	m.sim.after(m.sim.delay(), func() {
		done(func() { m.take(sent, r) })
	})
}

func (m *simMember) take(sent time.Duration, r wire.RenewReply) {
	before := m.tracker.view
	m.tracker.accept(m.sim.time(sent), r)
	after := m.tracker.view
	if after.ConfigVer < before.ConfigVer || after.Version < before.Version {
		m.sim.t.Fatalf("the configuration went from %d to %d", before.ConfigVer, after.ConfigVer)
	}
	for index, at := range m.sim.changes {
		if uint64(before.Version) < index && index <= uint64(after.Version) {
			m.sim.spreads = append(m.sim.spreads, m.sim.now-at)
		}
	}
}

// operator applies changes until the end of the run.
func (s *sim) operator(number int) {
	s.propose(controlstate.Command{Apply: &wire.Apply{
		CommandID: fmt.Sprint(number), Expect: wire.AnyVersion,
		Pairs: []wire.Pair{{Key: "teams.acme.quota", Value: fmt.Sprint(number)}},
	}})
	s.after(time.Duration(s.rng.Int64N(int64(2*simChanges))), func() { s.operator(number + 1) })
}

// partition cuts one control node off from all others for 5 to 20 s, then another.
func (s *sim) partition() {
	n := s.nodes[s.rng.IntN(simNodes)]
	n.cut = true
	s.after(time.Duration(5+s.rng.IntN(16))*time.Second, func() {
		n.cut = false
		s.after(time.Duration(1+s.rng.IntN(5))*time.Second, s.partition)
	})
}

func (s *sim) watch() {
	for _, m := range s.members {
		s.checks++
		if !m.tracker.current(s.time(s.now)) {
			s.stale++
		}
	}
	s.after(100*time.Millisecond, s.watch)
}

func converge(t *testing.T, seeds int, faults bool) (spreads []time.Duration, stale float64) {
	staleChecks, checks := 0, 0
	for seed := range seeds {
		s := newSim(t, uint64(seed))
		s.run(simWarmUp)
		s.addMembers()
		s.run(s.now + simWarmUp)
		s.operator(0)
		s.watch()
		if faults {
			s.partition()
		}
		s.run(s.now + simLength)
		// Without a quorum of two nodes no change is accepted, so an empty run
		// means that the group stopped.
		if len(s.spreads) < simMembers*10 {
			t.Fatalf("seed %d: %d changes at members in %v", seed, len(s.spreads), simLength)
		}
		spreads = append(spreads, s.spreads...)
		staleChecks, checks = staleChecks+s.stale, checks+s.checks
	}
	slices.SortFunc(spreads, cmp.Compare[time.Duration])
	return spreads, float64(staleChecks) / float64(checks)
}

// Guards against a configuration that takes longer than 4 s to reach a member,
// that reverts, or that a member misses while a control node is cut off.
func TestConfigurationConverges(t *testing.T) {
	seeds := *convergeSeeds
	if testing.Short() {
		seeds = min(seeds, 8)
	}
	for _, faults := range []bool{false, true} {
		t.Run(fmt.Sprintf("partition=%v", faults), func(t *testing.T) {
			spreads, stale := converge(t, seeds, faults)
			at := func(share float64) time.Duration { return spreads[int(float64(len(spreads)-1)*share)] }
			t.Logf("%d changes at members, p50 %v, p99 %v, p99.9 %v, max %v, stale %.4f %% of the time",
				len(spreads), at(0.5), at(0.99), at(0.999), at(1), 100*stale)
			if at(0.999) >= simConverge {
				t.Errorf("p99.9 is %v", at(0.999))
			}
		})
	}
}
