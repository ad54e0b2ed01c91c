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

// The simulated deployment has three control nodes, two entries and eleven agents. Messages
// take 1 to 2 ms, one in a hundred is delayed by a retransmission, and a synced write takes
// 2 to 10 ms.
const (
	simNodes           = 3
	simEntries         = 2
	simMembers         = 13
	simTickInterval    = 50 * time.Millisecond
	simLatency         = time.Millisecond
	simRetransmitDelay = 200 * time.Millisecond
	simDuration        = 60 * time.Second
	simWarmUp          = 5 * time.Second
	simChangeInterval  = time.Second // mean time between changes
	simConvergeLimit   = 4 * time.Second
)

var convergeSeeds = flag.Int("converge.seeds", 40, "seeds of the convergence test, each with and without partitions")

// simEvent is an action at a point of virtual time. Events at the same time run in the order
// of seq.
type simEvent struct {
	at     time.Duration
	seq    int
	action func()
}

// simQueue is a heap of events, the earliest first.
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
	t                 *testing.T
	rng               *rand.Rand
	now               time.Duration
	queue             simQueue
	seq               int
	nodes             []*simNode
	members           []*simMember
	acceptedAt        map[uint64]time.Duration // by log index: when the leader applied the configuration change
	propagationDelays []time.Duration          // from acceptedAt until a member received the change
	stale             int                      // checks that found a member's view stale
	checks            int
}

// simNode is a control node.
type simNode struct {
	sim         *sim
	raft        *consensus.Node
	state       *controlstate.State
	writing     bool     // a synced write is in progress
	inbox       []func() // calls that wait for the node's loop
	isolated    bool     // the node can't exchange messages with any other process
	startedAt   time.Duration
	confirmedAt time.Duration // when the node was last known to be up to date, 0 if never
}

// simMember is an entry or an agent.
type simMember struct {
	sim            *sim
	renewalTracker *renewalTracker
	incarnation    ids.Incarnation
	renewalNumber  int // of the renewal in flight; a reply to an earlier one is ignored
}

// schedule runs an action after d of virtual time.
func (s *sim) schedule(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, action})
}

// messageDelay returns the delay of one message.
func (s *sim) messageDelay() time.Duration {
	if s.rng.IntN(100) == 0 {
		return simRetransmitDelay
	}
	return simLatency + time.Duration(s.rng.IntN(1000))*time.Microsecond
}

// run runs all events up to the given virtual time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.action()
	}
	s.now = until
}

// time converts virtual time to the time.Time that renewalTracker expects.
func (s *sim) time(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), acceptedAt: map[uint64]time.Duration{}}
	var g consensus.Group
	for i := range simNodes {
		g.Peers = append(g.Peers, consensus.Peer{ID: consensus.ID(fmt.Sprint(i)), Voter: true})
	}
	data, err := controlstate.New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	snapshot := consensus.Bootstrap(g, data)
	for i := range simNodes {
		n := &simNode{sim: s, state: controlstate.New(), startedAt: time.Duration(s.rng.IntN(50)) * time.Millisecond}
		n.raft = consensus.New(consensus.Config{ID: g.Peers[i].ID, Boot: 1, Seed: seed*simNodes + uint64(i), Snapshot: &snapshot})
		s.nodes = append(s.nodes, n)
		s.schedule(n.startedAt+simTickInterval, n.tick)
	}
	return s
}

func (n *simNode) tick() {
	n.sim.schedule(simTickInterval, n.tick)
	n.enqueue(n.raft.Tick)
}

// enqueue runs f in the node's loop, after any write in progress.
func (n *simNode) enqueue(f func()) {
	n.inbox = append(n.inbox, f)
	n.runLoop()
}

// runLoop does the work of a control node's loop until a write starts or the inbox is empty.
func (n *simNode) runLoop() {
	for !n.writing {
		rd := n.raft.Ready()
		if !rd.Empty() {
			if rd.NeedsSync() {
				n.writing = true
				n.sim.schedule(time.Duration(2+n.sim.rng.IntN(9))*time.Millisecond, func() {
					n.writing = false
					n.finishReady(rd)
					n.runLoop()
				})
				return
			}
			n.finishReady(rd)
			continue
		}
		if tick := n.raft.ConfirmedTick(); tick > 0 {
			n.confirmedAt = n.startedAt + time.Duration(tick-1)*simTickInterval
		}
		if len(n.inbox) == 0 {
			return
		}
		f := n.inbox[0]
		n.inbox = n.inbox[1:]
		f()
	}
}

// finishReady sends the messages of rd, applies its committed entries, and advances raft.
func (n *simNode) finishReady(rd consensus.Ready) {
	for _, m := range rd.Messages {
		to := n.sim.node(m.To)
		if n.isolated || to.isolated {
			continue
		}
		n.sim.schedule(n.sim.messageDelay(), func() { to.enqueue(func() { to.raft.Step(m) }) })
	}
	for _, e := range rd.Committed {
		n.apply(e)
	}
	n.raft.Advance(rd)
}

// apply applies a committed entry and notes when the leader applied a configuration change.
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
		if _, ok := n.sim.acceptedAt[e.Index]; !ok {
			n.sim.acceptedAt[e.Index] = n.sim.now
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

// propose passes a command to a leader and retries until one accepts it.
func (s *sim) propose(c controlstate.Command) {
	data, err := c.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	for _, n := range s.nodes {
		if !n.isolated && n.raft.IsLeader() {
			n.enqueue(func() {
				if _, err := n.raft.Propose(data); err != nil {
					s.schedule(simTickInterval, func() { s.propose(c) })
				}
			})
			return
		}
	}
	s.schedule(simTickInterval, func() { s.propose(c) })
}

// addMembers registers the members and starts their renewals.
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
		sm := &simMember{sim: s, renewalTracker: newRenewalTracker(simNodes, i, m.Kind), incarnation: m.Incarnation}
		s.members = append(s.members, sm)
		s.schedule(time.Duration(s.rng.IntN(1000))*time.Millisecond, sm.renew)
	}
}

// renew sends a renewal, with the timeout that a session uses, and schedules the next one
// after the reply or the timeout.
func (m *simMember) renew() {
	m.renewalNumber++
	renewalNumber, sent := m.renewalNumber, m.sim.now
	n := m.sim.nodes[m.renewalTracker.serverIndex]
	done := func(f func()) {
		if m.renewalNumber == renewalNumber {
			m.renewalNumber++
			f()
			m.sim.schedule(m.renewalTracker.nextDelay(m.sim.time(m.sim.now)), m.renew)
		}
	}
	m.sim.schedule(m.renewalTracker.replyTimeout(), func() { done(m.renewalTracker.recordFailure) })
	if n.isolated {
		return
	}
	have := m.renewalTracker.view.Version
	m.sim.schedule(m.sim.messageDelay(), func() {
		n.enqueue(func() { m.serveRenewal(n, have, sent, done) })
	})
}

// serveRenewal answers the member's renewal at a control node.
func (m *simMember) serveRenewal(n *simNode, have ids.Version, sent time.Duration, done func(func())) {
	if n.isolated || n.confirmedAt == 0 {
		return
	}
	r := wire.RenewReply{
		Version:        ids.Version(n.state.Index()),
		FromLeader:     n.raft.IsLeader(),
		ConfirmedAgeMS: (m.sim.now - n.confirmedAt + time.Millisecond - 1).Milliseconds(),
	}
	if r.Version > have {
		r.Changes, r.ReplacesView = n.state.Changes(have, m.incarnation)
	}
	m.sim.schedule(m.sim.messageDelay(), func() {
		done(func() { m.applyReply(sent, r) })
	})
}

// applyReply passes a reply to the tracker, checks that the view does not revert, and records
// the propagation delays of new changes.
func (m *simMember) applyReply(sent time.Duration, r wire.RenewReply) {
	before := m.renewalTracker.view
	m.renewalTracker.acceptReply(m.sim.time(sent), r)
	after := m.renewalTracker.view
	if after.ConfigVer < before.ConfigVer || after.Version < before.Version {
		m.sim.t.Fatalf("the configuration went from %d to %d", before.ConfigVer, after.ConfigVer)
	}
	for index, at := range m.sim.acceptedAt {
		if uint64(before.Version) < index && index <= uint64(after.Version) {
			m.sim.propagationDelays = append(m.sim.propagationDelays, m.sim.now-at)
		}
	}
}

// changeConfig applies a configuration change, and further ones at random intervals with a
// mean of simChangeInterval.
func (s *sim) changeConfig(number int) {
	s.propose(controlstate.Command{Apply: &wire.Apply{
		CommandID: fmt.Sprint(number), Expect: wire.AnyVersion,
		Pairs: []wire.Pair{{Key: "teams.acme.quota", Value: fmt.Sprint(number)}},
	}})
	s.schedule(time.Duration(s.rng.Int64N(int64(2*simChangeInterval))), func() { s.changeConfig(number + 1) })
}

// partition isolates a random control node for 5 to 20 s, and after a pause of 1 to 5 s
// isolates a random one again.
func (s *sim) partition() {
	n := s.nodes[s.rng.IntN(simNodes)]
	n.isolated = true
	s.schedule(time.Duration(5+s.rng.IntN(16))*time.Second, func() {
		n.isolated = false
		s.schedule(time.Duration(1+s.rng.IntN(5))*time.Second, s.partition)
	})
}

// checkViews counts the members whose view is stale, every 100 ms.
func (s *sim) checkViews() {
	for _, m := range s.members {
		s.checks++
		if !m.renewalTracker.viewCurrent(s.time(s.now)) {
			s.stale++
		}
	}
	s.schedule(100*time.Millisecond, s.checkViews)
}

// measurePropagation runs the simulation with each seed and returns the sorted propagation
// delays of all changes, and the share of checks that found a stale view.
func measurePropagation(t *testing.T, seeds int, withPartitions bool) (propagationDelays []time.Duration, stale float64) {
	staleChecks, checks := 0, 0
	for seed := range seeds {
		s := newSim(t, uint64(seed))
		s.run(simWarmUp)
		s.addMembers()
		s.run(s.now + simWarmUp)
		s.changeConfig(0)
		s.checkViews()
		if withPartitions {
			s.partition()
		}
		s.run(s.now + simDuration)
		// Two nodes are always connected and form a quorum, so a run with few changes
		// means that the group stopped.
		if len(s.propagationDelays) < simMembers*10 {
			t.Fatalf("seed %d: %d changes at members in %v", seed, len(s.propagationDelays), simDuration)
		}
		propagationDelays = append(propagationDelays, s.propagationDelays...)
		staleChecks, checks = staleChecks+s.stale, checks+s.checks
	}
	slices.SortFunc(propagationDelays, cmp.Compare[time.Duration])
	return propagationDelays, float64(staleChecks) / float64(checks)
}

// Guards against a configuration change that takes longer than 4 s to reach a member, that
// reverts, or that a member misses while a control node is isolated.
func TestConfigurationConverges(t *testing.T) {
	seeds := *convergeSeeds
	if testing.Short() {
		seeds = min(seeds, 8)
	}
	for _, withPartitions := range []bool{false, true} {
		t.Run(fmt.Sprintf("partition=%v", withPartitions), func(t *testing.T) {
			propagationDelays, stale := measurePropagation(t, seeds, withPartitions)
			quantile := func(share float64) time.Duration {
				return propagationDelays[int(float64(len(propagationDelays)-1)*share)]
			}
			t.Logf("%d changes at members, p50 %v, p99 %v, p99.9 %v, max %v, stale %.4f %% of the time",
				len(propagationDelays), quantile(0.5), quantile(0.99), quantile(0.999), quantile(1), 100*stale)
			if quantile(0.999) >= simConvergeLimit {
				t.Errorf("p99.9 is %v", quantile(0.999))
			}
		})
	}
}
