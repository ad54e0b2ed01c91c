package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// unitsPerTick is the resolution of virtual time in the schedules: 5 ms with a
// tick of 50 ms.
const unitsPerTick = 10

// disk is what a machine has synced.
type disk struct {
	id   ID
	boot uint64
	hard HardState
	snap *Snapshot
	log  []Entry // after snap
}

// write applies a Ready of which keep entries reached the disk.
func (d *disk) write(rd Ready, keep int) {
	if rd.Snapshot != nil {
		d.install(rd.Snapshot)
	}
	for _, e := range rd.Entries[:keep] {
		if at := int(e.Index - d.base() - 1); at < len(d.log) {
			d.log = d.log[:at:at]
		}
		d.log = append(d.log, e)
	}
	if rd.HardState != nil {
		d.hard = *rd.HardState
	}
}

func (d *disk) base() uint64 {
	if d.snap == nil {
		return 0
	}
	return d.snap.Index
}

func (d *disk) install(s *Snapshot) {
	at := int(s.Index) - int(d.base())
	if at > 0 && at <= len(d.log) && d.log[at-1].Term == s.Term {
		d.log = d.log[at:]
	} else {
		d.log = nil
	}
	d.snap = s
}

// machine runs at most one node on its disk.
type machine struct {
	name   string
	disk   disk
	backup *disk // older copy of disk
	node   *Node // nil while it is down
	phase  uint64
	busy   *Ready // being persisted
	doneAt uint64
	state  register
	seen   cursor   // commit index and leader's term that are checked
	tail   cursor   // last entry that is checked
	frozen uint64   // time until which the process does not run
	ticks  []uint64 // last unit before each tick of node, by its count
}

type packet struct {
	at uint64
	m  Message
}

// faults sets how often something goes wrong in a schedule. The rates are per
// unit of time, the probabilities per message.
type faults struct {
	loss, duplicate      float64
	maxDelay             int // units
	crash, cut, operator float64
	freeze               float64
	crashVoter           float64 // probability of a restart after a vote
	slow                 uint64  // longest sync in units
	down                 int     // mean ticks until a crashed node restarts, 0 for never
	longCut              float64 // share of partitions that last long
	wipe                 float64 // share of crashes that lose the disk
	// Breaks of the contract, to show that the checks notice them.
	sendFirst, reuseID, localReads bool
}

// sim drives a group of nodes through a random schedule in virtual time.
type sim struct {
	rng       *rand.Rand
	faults    faults
	now       uint64
	machines  []*machine
	packets   []packet
	cut       map[[2]string]uint64 // direction → time until which it is silent
	check     checker
	clients   clients
	ids       int
	dead      map[ID]bool // instances whose disk is gone or outdated
	quiet     bool        // no more faults
	perTick   uint64      // units
	maxBytes  int         // of a message
	compactAt uint64      // entries between snapshots
	syncTime  func() uint64
}

func newSim(seed uint64, nodes int, f faults) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), faults: f}
	s.cut = map[[2]string]uint64{}
	s.dead = map[ID]bool{}
	s.check = newChecker()
	s.perTick = unitsPerTick
	s.maxBytes, s.compactAt = 200, 20
	s.syncTime = func() uint64 { return 1 + s.rng.Uint64N(max(2, s.faults.slow)) }
	var g Group
	for i := range nodes {
		m := &machine{name: fmt.Sprintf("m%d", i), phase: s.rng.Uint64N(unitsPerTick)}
		m.disk.id = s.newID()
		s.machines = append(s.machines, m)
		g.Peers = append(g.Peers, Peer{ID: m.disk.id, Name: m.name, Voter: true})
	}
	first := Bootstrap(g, register{}.encode())
	for _, m := range s.machines {
		m.disk.snap = &first
		s.start(m)
	}
	s.check.commit(Entry{Index: first.Index, Term: first.Term}, 0)
	return s
}

func (s *sim) newID() ID {
	s.ids++
	return ID(fmt.Sprintf("n%d", s.ids))
}

func (s *sim) start(m *machine) {
	m.disk.boot++
	d := m.disk
	m.node = New(Config{
		ID: d.id, Boot: d.boot, Seed: s.rng.Uint64(),
		MaxMessageBytes: s.maxBytes, Window: 4, KeepEntries: 8, CatchUpEntries: 16,
		HardState: d.hard, Snapshot: d.snap, Entries: d.log,
	})
	m.state = register{}
	if d.snap != nil {
		m.state = decodeRegister(d.snap.Data)
	}
	m.seen, m.tail = cursor{}, cursor{}
	m.ticks = []uint64{0, max(s.now, 1) - 1}
}

// crash stops the node before or after the sync that is in progress.
func (s *sim) crash(m *machine) {
	if m.node == nil {
		return
	}
	if rd := m.busy; rd != nil && s.rng.IntN(2) == 0 {
		if s.rng.IntN(3) == 0 {
			rd.HardState = nil // written after the entries, of which a part is there
			m.disk.write(*rd, s.rng.IntN(len(rd.Entries)+1))
		} else {
			m.disk.write(*rd, len(rd.Entries))
		}
	}
	s.clients.lost(m)
	m.node, m.busy = nil, nil
}

// step advances virtual time by one unit.
func (s *sim) step() {
	s.now++
	s.deliver()
	for _, m := range s.machines {
		if m.node == nil || m.frozen > s.now {
			continue
		}
		if (s.now+m.phase)%s.perTick == 0 {
			m.node.Tick()
			m.ticks = append(m.ticks, s.now-1)
		}
		s.drive(m)
		s.check.node(m)
	}
	s.check.lengths = append(s.check.lengths, uint64(len(s.check.committed)))
	s.clients.step(s)
	if !s.quiet {
		s.disturb()
	}
}

// drive does what a daemon does: persist, then send, then apply.
func (s *sim) drive(m *machine) {
	if m.busy != nil && s.now >= m.doneAt {
		s.finish(m)
	}
	if m.busy != nil {
		return
	}
	rd := m.node.Ready()
	if rd.Empty() {
		return
	}
	if s.faults.sendFirst {
		s.transmit(rd.Messages)
		rd.Messages = nil
	}
	m.busy = &rd
	m.doneAt = s.now
	if rd.NeedsSync() {
		m.doneAt += s.syncTime()
	}
	if m.doneAt == s.now {
		s.finish(m)
	}
}

func (s *sim) finish(m *machine) {
	rd := *m.busy
	m.busy = nil
	m.disk.write(rd, len(rd.Entries))
	s.transmit(rd.Messages)
	if rd.Snapshot != nil {
		m.state = decodeRegister(rd.Snapshot.Data)
		s.check.restored(m, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		s.check.applied(m, e)
		m.state.apply(e)
	}
	m.node.Advance(rd)
	s.check.node(m)
	voted := slices.ContainsFunc(rd.Messages, func(m Message) bool { return m.Kind == MsgVoteReply && !m.Reject })
	if voted && s.rng.Float64() < s.faults.crashVoter && !s.quiet {
		s.crash(m)
		s.start(m)
		return
	}
	s.clients.advanced(s, m, rd)
	s.compact(m)
}

func (s *sim) compact(m *machine) {
	if m.state.Index < m.disk.base()+s.compactAt {
		return
	}
	snap, err := m.node.Compact(m.state.Index, m.state.encode())
	if errors.Is(err, ErrSuperseded) {
		return
	}
	if err != nil {
		panic(err)
	}
	m.disk.install(&snap)
}

func (s *sim) transmit(ms []Message) {
	for _, m := range ms {
		s.check.size(m, s.maxBytes)
		if s.rng.Float64() < s.faults.loss && !s.quiet {
			continue
		}
		s.post(m)
		if s.rng.Float64() < s.faults.duplicate {
			s.post(m)
		}
	}
}

func (s *sim) post(m Message) {
	delay := s.rng.IntN(s.faults.maxDelay + 1)
	s.packets = append(s.packets, packet{s.now + 1 + uint64(delay), m})
}

func (s *sim) deliver() {
	due := s.packets
	s.packets = nil
	for _, p := range due {
		if p.at > s.now {
			s.packets = append(s.packets, p)
			continue
		}
		from, to := s.holder(p.m.From), s.holder(p.m.To)
		if to == nil || to.node == nil || s.silent(from, to) {
			continue
		}
		if to.frozen > s.now {
			s.packets = append(s.packets, packet{to.frozen, p.m})
			continue
		}
		to.node.Step(p.m)
		s.check.node(to)
	}
}

// holder returns the machine that had the id last: a message goes to an
// address, at which another instance may have started.
func (s *sim) holder(id ID) *machine {
	if name, ok := s.check.names[id]; ok {
		for _, m := range s.machines {
			if m.name == name {
				return m
			}
		}
	}
	for _, m := range s.machines {
		if m.disk.id == id {
			s.check.names[id] = m.name
			return m
		}
	}
	return nil
}

func (s *sim) silent(from, to *machine) bool {
	return from != nil && s.cut[[2]string{from.name, to.name}] > s.now
}

// leader returns the machine whose node leads in the highest term.
func (s *sim) leader() *machine {
	var best *machine
	for _, m := range s.machines {
		if m.node == nil || !m.node.IsLeader() {
			continue
		}
		if best == nil || m.node.Term() > best.node.Term() {
			best = m
		}
	}
	return best
}
