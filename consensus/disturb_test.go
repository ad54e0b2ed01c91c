package consensus

// disturb injects the faults of one unit of time.
func (s *sim) disturb() {
	if s.rng.Float64() < s.faults.crash {
		s.crashOne()
	}
	for _, m := range s.machines {
		if m.node == nil && s.faults.down > 0 && s.rng.IntN(s.faults.down*unitsPerTick) == 0 {
			s.start(m)
		}
	}
	if s.rng.Float64() < s.faults.freeze {
		s.pick().frozen = s.now + s.rng.Uint64N(80*unitsPerTick)
	}
	if s.rng.Float64() < s.faults.cut {
		s.partition()
	}
	if s.rng.Float64() < s.faults.operator {
		s.operate()
	}
}

func (s *sim) pick() *machine { return s.machines[s.rng.IntN(len(s.machines))] }

func (s *sim) crashOne() {
	m := s.pick()
	if s.rng.IntN(2) == 0 && s.leader() != nil {
		m = s.leader()
	}
	s.crash(m)
	if s.rng.Float64() >= s.faults.wipe || !s.spare(m) {
		return
	}
	if s.rng.IntN(2) == 0 && s.outdated(m) {
		s.dead[m.disk.id] = true
		m.disk = *m.backup
		return
	}
	s.wipe(m)
}

// wipe empties the disk. The machine comes back as another instance.
func (s *sim) wipe(m *machine) {
	old := m.disk.id
	m.disk = disk{id: old, boot: m.disk.boot} // a wrong identity if it stays
	m.backup = nil
	if !s.faults.reuseID {
		m.disk.boot = 0
		s.dead[old] = true
		m.disk.id = s.newID()
	}
	s.check.names[m.disk.id] = m.name
}

// spare reports whether the group survives the loss of m's disk for good: no
// other disk has been lost since the last repair, in any node's view.
func (s *sim) spare(m *machine) bool {
	for _, o := range s.machines {
		groups := s.groups(o)
		for _, row := range groups.records {
			if row.group.Joint() || len(row.group.Voters()) < 3 {
				return false
			}
			for _, p := range row.group.Peers {
				if s.dead[p.ID] {
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

// outdated reports whether m has a copy of its disk whose next boot count every
// other node knows to be old. If some don't know it, nothing but a quorum of
// intact disks can protect the group.
func (s *sim) outdated(m *machine) bool {
	if m.backup == nil || m.backup.id != m.disk.id {
		return false
	}
	for _, o := range s.machines {
		if o == m {
			continue
		}
		table := s.groups(o)
		p, ok := table.latest().group.Peer(m.disk.id)
		if !ok || p.Boot <= m.backup.boot+5 {
			return false
		}
	}
	return true
}

// partition silences one direction, one machine, or a minority.
func (s *sim) partition() {
	ticks := 1 + s.rng.Uint64N(30)
	if s.rng.Float64() < s.faults.longCut {
		ticks = 100 + s.rng.Uint64N(200)
	}
	until := s.now + ticks*unitsPerTick
	a, b := s.pick(), s.pick()
	switch s.rng.IntN(3) {
	case 0:
		s.cut[[2]string{a.name, b.name}] = until
	case 1:
		s.isolate(a, until)
	case 2:
		s.isolate(a, until)
		s.isolate(b, until)
		s.cut[[2]string{a.name, b.name}] = 0
		s.cut[[2]string{b.name, a.name}] = 0
	}
}

func (s *sim) isolate(m *machine, until uint64) {
	for _, o := range s.machines {
		if o != m {
			s.cut[[2]string{m.name, o.name}] = until
			s.cut[[2]string{o.name, m.name}] = until
		}
	}
}

// operate does one step of an operator: it takes a copy of a disk, or repairs
// the group through the leader, or exchanges a healthy voter for the spare.
func (s *sim) operate() {
	if m := s.pick(); s.rng.IntN(4) == 0 && m.disk.snap != nil {
		c := m.disk
		m.backup = &c
	}
	m := s.leader()
	if m == nil {
		return
	}
	// The leader may refuse, for example while a change is in progress; the
	// operator then tries again later.
	_ = m.node.ProposeGroup(s.target(m.node.Group().clone()))
}

// target returns the next step from g to a group without dead nodes.
func (s *sim) target(g Group) Group {
	for _, m := range s.machines {
		if _, ok := g.Peer(m.disk.id); !ok && m.node != nil && !s.dead[m.disk.id] {
			g.Peers = append(g.Peers, Peer{ID: m.disk.id, Name: m.name})
			return g
		}
	}
	promote, demote := -1, -1
	for i, p := range g.Peers {
		if !p.Voter && !s.dead[p.ID] {
			promote = i
		}
		if p.Voter && (demote < 0 || s.dead[p.ID]) {
			demote = i
		}
	}
	if promote < 0 || demote < 0 {
		return g
	}
	g.Peers[promote].Voter = true
	if s.dead[g.Peers[demote].ID] {
		g.Peers = append(g.Peers[:demote:demote], g.Peers[demote+1:]...)
	} else {
		g.Peers[demote].Voter = false
	}
	return g
}
