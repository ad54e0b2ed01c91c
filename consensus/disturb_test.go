package consensus

// injectFaults injects the faults of one unit of time.
func (s *sim) injectFaults() {
	if s.rng.Float64() < s.faults.crash {
		s.crashRandomMachine()
	}
	for _, m := range s.machines {
		if m.node == nil && s.faults.meanDownTicks > 0 && s.rng.IntN(s.faults.meanDownTicks*defaultUnitsPerTick) == 0 {
			s.start(m)
		}
	}
	if s.rng.Float64() < s.faults.pause {
		s.randomMachine().pausedUntil = s.now + s.rng.Uint64N(80*defaultUnitsPerTick)
	}
	if s.rng.Float64() < s.faults.partition {
		s.startPartition()
	}
	if s.rng.Float64() < s.faults.operatorStep {
		s.takeOperatorStep()
	}
}

func (s *sim) randomMachine() *machine { return s.machines[s.rng.IntN(len(s.machines))] }

func (s *sim) crashRandomMachine() {
	m := s.randomMachine()
	if s.rng.IntN(2) == 0 && s.leader() != nil {
		m = s.leader()
	}
	s.crash(m)
	if s.rng.Float64() >= s.faults.loseDisk || !s.canLoseDisk(m) {
		return
	}
	if s.rng.IntN(2) == 0 && s.canRestoreBackup(m) {
		s.lostIDs[m.disk.id] = true
		m.disk = *m.backup
		return
	}
	s.loseDisk(m)
}

// loseDisk empties the disk. The machine then restarts with a new id, unless
// faults.keepIDOnDiskLoss is set.
func (s *sim) loseDisk(m *machine) {
	old := m.disk.id
	m.disk = disk{id: old, boot: m.disk.boot} // keeping the id breaks the contract
	m.backup = nil
	if !s.faults.keepIDOnDiskLoss {
		m.disk.boot = 0
		s.lostIDs[old] = true
		m.disk.id = s.newID()
	}
	s.check.machineNames[m.disk.id] = m.name
}

// canLoseDisk reports whether the group survives the permanent loss of m's disk:
// in the view of every node, no other disk has been lost since the last repair.
func (s *sim) canLoseDisk(m *machine) bool {
	for _, o := range s.machines {
		groups := s.groups(o)
		for _, record := range groups.records {
			if record.group.IsJoint() || len(record.group.Voters()) < 3 {
				return false
			}
			for _, p := range record.group.Peers {
				if s.lostIDs[p.ID] {
					return false
				}
			}
		}
	}
	return m.node == nil
}

func (s *sim) groups(m *machine) groupHistory {
	if m.node != nil {
		return m.node.groups
	}
	n := New(Config{ID: m.disk.id, Snapshot: m.disk.snap, Entries: m.disk.log})
	return n.groups
}

// canRestoreBackup reports whether m has a backup of its disk whose next boot
// count every other node knows to be outdated. If a node doesn't know that, the
// votes of the restored disk may count there, and only a quorum of intact disks
// can protect the group.
func (s *sim) canRestoreBackup(m *machine) bool {
	if m.backup == nil || m.backup.id != m.disk.id {
		return false
	}
	for _, o := range s.machines {
		if o == m {
			continue
		}
		history := s.groups(o)
		p, ok := history.latest().group.Peer(m.disk.id)
		if !ok || p.Boot <= m.backup.boot+5 {
			return false
		}
	}
	return true
}

// startPartition blocks messages in one direction between two machines, or
// isolates one machine, or isolates a group of two machines.
func (s *sim) startPartition() {
	ticks := 1 + s.rng.Uint64N(30)
	if s.rng.Float64() < s.faults.longPartition {
		ticks = 100 + s.rng.Uint64N(200)
	}
	until := s.now + ticks*defaultUnitsPerTick
	a, b := s.randomMachine(), s.randomMachine()
	switch s.rng.IntN(3) {
	case 0:
		s.blockedUntil[[2]string{a.name, b.name}] = until
	case 1:
		s.isolate(a, until)
	case 2:
		s.isolate(a, until)
		s.isolate(b, until)
		s.blockedUntil[[2]string{a.name, b.name}] = 0
		s.blockedUntil[[2]string{b.name, a.name}] = 0
	}
}

func (s *sim) isolate(m *machine, until uint64) {
	for _, o := range s.machines {
		if o != m {
			s.blockedUntil[[2]string{m.name, o.name}] = until
			s.blockedUntil[[2]string{o.name, m.name}] = until
		}
	}
}

// takeOperatorStep takes one step of an operator: it may back up a disk, and it
// proposes the next step of a repair or of the replacement of a healthy voter.
func (s *sim) takeOperatorStep() {
	if m := s.randomMachine(); s.rng.IntN(4) == 0 && m.disk.snap != nil {
		c := m.disk
		m.backup = &c
	}
	m := s.leader()
	if m == nil {
		return
	}
	// The leader may refuse the change, for example while another one is in
	// progress. The operator then tries again later.
	_ = m.node.ProposeGroup(s.nextRepairStep(m.node.Group().clone()))
}

// nextRepairStep returns the next membership on the way from g to a group without
// nodes whose disk is lost.
func (s *sim) nextRepairStep(g Group) Group {
	for _, m := range s.machines {
		mayJoin := !s.lostIDs[m.disk.id] || s.faults.removeHealthy
		if _, ok := g.Peer(m.disk.id); !ok && m.node != nil && mayJoin {
			g.Peers = append(g.Peers, Peer{ID: m.disk.id, Name: m.name})
			return g
		}
	}
	promote, demote := -1, -1
	for i, p := range g.Peers {
		if !p.Voter && !s.lostIDs[p.ID] {
			promote = i
		}
		if p.Voter && (demote < 0 || s.lostIDs[p.ID]) {
			demote = i
		}
	}
	if promote < 0 || demote < 0 {
		return g
	}
	g.Peers[promote].Voter = true
	if s.lostIDs[g.Peers[demote].ID] || s.faults.removeHealthy {
		g.Peers = append(g.Peers[:demote:demote], g.Peers[demote+1:]...)
	} else {
		g.Peers[demote].Voter = false
	}
	return g
}
