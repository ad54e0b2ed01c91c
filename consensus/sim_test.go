package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// defaultUnitsPerTick is the resolution of virtual time in the schedules: 10 units
// of 5 ms in a tick of 50 ms.
const defaultUnitsPerTick = 10

// disk is the state that a machine has synced.
type disk struct {
	id   ID
	boot uint64
	hard HardState
	snap *Snapshot
	log  []Entry // after snap
}

// write applies a Ready of which only the first keep entries reached the disk.
func (d *disk) write(rd Ready, keep int) {
	if rd.Snapshot != nil {
		d.install(rd.Snapshot)
	}
	for _, e := range rd.Entries[:keep] {
		if offset := int(e.Index - d.base() - 1); offset < len(d.log) {
			d.log = d.log[:offset:offset]
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
	offset := int(s.Index) - int(d.base())
	if offset > 0 && offset <= len(d.log) && d.log[offset-1].Term == s.Term {
		d.log = d.log[offset:]
	} else {
		d.log = nil
	}
	d.snap = s
}

// machine runs at most one node on its disk.
type machine struct {
	name         string
	disk         disk
	backup       *disk // older copy of disk
	node         *Node // nil while the machine is down
	tickOffset   uint64
	pendingReady *Ready // the Ready in progress, nil if none
	pendingUntil uint64
	state        register
	checked      logPosition // commit index and term as leader that were checked last
	checkedTail  logPosition // last log entry that was checked
	pausedUntil  uint64      // time until which the process is paused
	tickTimes    []uint64    // time unit before each tick of node, by the value of its tick counter
}

type packet struct {
	arrival uint64
	message Message
}

// faults sets the faults of a schedule. crash, partition, operatorStep and pause
// are probabilities per unit of time; loss and duplicate are probabilities per
// message.
type faults struct {
	loss, duplicate                float64
	minDelayUnits, maxDelayUnits   int // minDelayUnits is 0 or at most maxDelayUnits
	crash, partition, operatorStep float64
	pause                          float64
	crashAfterVote                 float64 // probability of a restart after a granted vote
	maxSyncUnits                   uint64  // limit of the duration of a sync
	meanDownTicks                  int     // mean time until a crashed node restarts, 0 for never
	longPartition                  float64 // share of partitions that last long
	loseDisk                       float64 // share of crashes that lose the disk
	removeHealthy                  bool    // operators remove the voters that they exchange, and add them again, also on an outdated disk
	// These breach the driver's contract, to show that the checks detect it.
	sendBeforeSync, keepIDOnDiskLoss, unconfirmedReads bool
}

// sim drives a group of nodes through a random schedule in virtual time.
type sim struct {
	rng              *rand.Rand
	faults           faults
	now              uint64
	machines         []*machine
	packets          []packet
	blockedUntil     map[[2]string]uint64 // sender and receiver → time until which messages are lost
	check            checker
	clients          clients
	idCount          int
	lostIDs          map[ID]bool // ids whose disk is lost or outdated
	faultsEnded      bool        // no more losses, crashes, pauses, partitions and operator steps
	unitsPerTick     uint64
	maxMessageBytes  int    // limit of the entries of a message
	snapshotInterval uint64 // entries between snapshots
	syncUnits        func() uint64
}

func newSim(seed uint64, nodes int, f faults) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), faults: f}
	s.blockedUntil = map[[2]string]uint64{}
	s.lostIDs = map[ID]bool{}
	s.check = newChecker()
	s.unitsPerTick = defaultUnitsPerTick
	s.maxMessageBytes, s.snapshotInterval = 200, 20
	s.syncUnits = func() uint64 { return 1 + s.rng.Uint64N(max(2, s.faults.maxSyncUnits)) }
	var g Group
	for i := range nodes {
		m := &machine{name: fmt.Sprintf("m%d", i), tickOffset: s.rng.Uint64N(defaultUnitsPerTick)}
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
	s.idCount++
	return ID(fmt.Sprintf("n%d", s.idCount))
}

func (s *sim) start(m *machine) {
	m.disk.boot++
	d := m.disk
	m.node = New(Config{
		ID: d.id, Boot: d.boot, Seed: s.rng.Uint64(),
		MaxMessageBytes: s.maxMessageBytes, Window: 4, KeepEntries: 8, CatchUpEntries: 16,
		HardState: d.hard, Snapshot: d.snap, Entries: d.log,
	})
	m.state = register{}
	if d.snap != nil {
		m.state = decodeRegister(d.snap.Data)
	}
	m.checked, m.checkedTail = logPosition{}, logPosition{}
	m.tickTimes = []uint64{0, max(s.now, 1) - 1}
}

// crash stops the node before or after the sync that is in progress.
func (s *sim) crash(m *machine) {
	if m.node == nil {
		return
	}
	if rd := m.pendingReady; rd != nil && s.rng.IntN(2) == 0 {
		if s.rng.IntN(3) == 0 {
			rd.HardState = nil // written after the entries, of which only a part reached the disk
			m.disk.write(*rd, s.rng.IntN(len(rd.Entries)+1))
		} else {
			m.disk.write(*rd, len(rd.Entries))
		}
	}
	s.clients.abandonOperations(m)
	m.node, m.pendingReady = nil, nil
}

// step advances virtual time by one unit.
func (s *sim) step() {
	s.now++
	s.deliver()
	for _, m := range s.machines {
		if m.node == nil || m.pausedUntil > s.now {
			continue
		}
		if (s.now+m.tickOffset)%s.unitsPerTick == 0 {
			m.node.Tick()
			m.tickTimes = append(m.tickTimes, s.now-1)
		}
		s.startReady(m)
		s.check.node(m)
	}
	s.check.commitCounts = append(s.check.commitCounts, uint64(len(s.check.committed)))
	s.clients.step(s)
	if !s.faultsEnded {
		s.injectFaults()
	}
}

// startReady starts the work of the next Ready as a driver does: persist, then
// send, then apply. It finishes it at once if no sync is needed.
func (s *sim) startReady(m *machine) {
	if m.pendingReady != nil && s.now >= m.pendingUntil {
		s.finishReady(m)
	}
	if m.pendingReady != nil {
		return
	}
	rd := m.node.Ready()
	if rd.Empty() {
		return
	}
	if s.faults.sendBeforeSync {
		s.sendMessages(rd.Messages)
		rd.Messages = nil
	}
	m.pendingReady = &rd
	m.pendingUntil = s.now
	if rd.NeedsSync() {
		m.pendingUntil += s.syncUnits()
	}
	if m.pendingUntil == s.now {
		s.finishReady(m)
	}
}

func (s *sim) finishReady(m *machine) {
	rd := *m.pendingReady
	m.pendingReady = nil
	m.disk.write(rd, len(rd.Entries))
	s.sendMessages(rd.Messages)
	if rd.Snapshot != nil {
		m.state = decodeRegister(rd.Snapshot.Data)
		s.check.checkRestored(m, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		s.check.checkApplied(m, e)
		m.state.apply(e)
	}
	m.node.Advance(rd)
	s.check.node(m)
	voted := slices.ContainsFunc(rd.Messages, func(m Message) bool { return m.Kind == MsgVoteReply && !m.Reject })
	if voted && s.rng.Float64() < s.faults.crashAfterVote && !s.faultsEnded {
		s.crash(m)
		s.start(m)
		return
	}
	s.clients.completeOperations(s, m, rd)
	s.compact(m)
}

func (s *sim) compact(m *machine) {
	if m.state.Index < m.disk.base()+s.snapshotInterval {
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

func (s *sim) sendMessages(ms []Message) {
	for _, m := range ms {
		s.check.messageSize(m, s.maxMessageBytes)
		if s.rng.Float64() < s.faults.loss && !s.faultsEnded {
			continue
		}
		s.enqueue(m)
		if s.rng.Float64() < s.faults.duplicate {
			s.enqueue(m)
		}
	}
}

func (s *sim) enqueue(m Message) {
	delay := s.faults.minDelayUnits + s.rng.IntN(s.faults.maxDelayUnits-s.faults.minDelayUnits+1)
	s.packets = append(s.packets, packet{s.now + 1 + uint64(delay), m})
}

func (s *sim) deliver() {
	due := s.packets
	s.packets = nil
	for _, p := range due {
		if p.arrival > s.now {
			s.packets = append(s.packets, p)
			continue
		}
		from, to := s.machineWithID(p.message.From), s.machineWithID(p.message.To)
		if to == nil || to.node == nil || s.isBlocked(from, to) {
			continue
		}
		if to.pausedUntil > s.now {
			s.packets = append(s.packets, packet{to.pausedUntil, p.message})
			continue
		}
		to.node.Step(p.message)
		s.check.node(to)
	}
}

// machineWithID returns the machine that last ran with the id. A message goes to
// an address, where a node with another id may run by now.
func (s *sim) machineWithID(id ID) *machine {
	if name, ok := s.check.machineNames[id]; ok {
		for _, m := range s.machines {
			if m.name == name {
				return m
			}
		}
	}
	for _, m := range s.machines {
		if m.disk.id == id {
			s.check.machineNames[id] = m.name
			return m
		}
	}
	return nil
}

func (s *sim) isBlocked(from, to *machine) bool {
	return from != nil && s.blockedUntil[[2]string{from.name, to.name}] > s.now
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
