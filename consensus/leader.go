package consensus

// leadership is the state that only a leader has.
type leadership struct {
	start       uint64 // index of the empty entry of this term
	uncommitted int    // bytes
	peers       map[ID]*progress
	seq         uint64  // number of the latest round of heartbeats
	rounds      []round // those that are not confirmed, after the latest confirmed one
	nextBeat    uint64
	waiting     []waitingRead
}

// round is a round of heartbeats. A quorum of answers to it confirms that this
// node was the leader when the round began.
type round struct {
	seq    uint64
	tick   uint64
	stamps map[ID]*Stamp // latest clocks of the peers when the round began
}

type waitingRead struct {
	read Read
	seq  uint64 // the round that confirms it
}

func (n *Node) becomeLeader() {
	n.role = leader
	n.leader = n.cfg.ID
	n.lead = leadership{nextBeat: n.now + n.cfg.HeartbeatTicks}
	// The votes stand for the first round: they were given after the campaign began.
	n.lead.rounds = []round{{tick: n.campaign}}
	n.syncProgress()
	for _, e := range n.log.slice(n.commit+1, n.log.last()) {
		n.lead.uncommitted += entrySize(e)
	}
	n.lead.start = n.appendOwn(EntryEmpty, nil)
	n.startRound()
}

func (n *Node) tickLeader() {
	if n.now-n.quorumTick() >= n.cfg.LeaseTicks {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.lead.nextBeat {
		n.startRound()
	}
}

// startRound sends a heartbeat to every voter, and to the learners that are due.
func (n *Node) startRound() {
	n.lead.nextBeat = n.now + n.cfg.HeartbeatTicks
	n.lead.seq++
	stamps := make(map[ID]*Stamp, len(n.lead.peers))
	for id, p := range n.lead.peers {
		stamps[id] = p.stamp
	}
	n.lead.rounds = append(n.lead.rounds, round{n.lead.seq, n.now, stamps})
	for _, row := range n.group().Peers {
		p := n.lead.peers[row.ID]
		if p == nil || n.now < p.nextBeat && !n.group().Votes(row.ID) {
			continue
		}
		p.nextBeat = n.now + n.cfg.LearnerHeartbeatTicks
		n.sendHeartbeat(row.ID, p)
	}
	n.confirmRounds()
}

// confirmRounds drops the rounds before the latest confirmed one and confirms
// the reads that waited for it.
func (n *Node) confirmRounds() {
	l := &n.lead
	seq := n.group().quorumValue(n.ackedRound)
	for len(l.rounds) > 1 && l.rounds[1].seq <= seq {
		l.rounds = l.rounds[1:]
	}
	done := 0
	for done < len(l.waiting) && l.waiting[done].seq <= seq {
		n.reads = append(n.reads, l.waiting[done].read)
		done++
	}
	l.waiting = l.waiting[done:]
	if n.vouches() {
		n.confirmed = max(n.confirmed, n.quorumTick())
	}
}

func (n *Node) ackedRound(id ID) uint64 {
	if id == n.cfg.ID {
		return n.lead.seq
	}
	if p := n.lead.peers[id]; p != nil {
		return p.seq
	}
	return 0
}

// quorumTick returns the tick at which the latest confirmed round began.
func (n *Node) quorumTick() uint64 { return n.lead.rounds[0].tick }

// vouches reports whether the commit index of this leader covers all that was
// ever committed, which holds from the first commit of its own term on.
func (n *Node) vouches() bool {
	return n.role == leader && n.commit >= n.lead.start
}

// ReadIndex asks for the confirmation of a read. Ready.Reads returns id once a
// quorum has confirmed that this node was still the leader after the call, or
// Ready.Dropped if it no longer is. The error is a *verdict.Error with verdict
// not-run.
func (n *Node) ReadIndex(id uint64) error {
	if e := n.refusal(); e != nil {
		return e
	}
	index := max(n.commit, n.lead.start)
	n.lead.waiting = append(n.lead.waiting, waitingRead{Read{id, index}, n.lead.seq + 1})
	return nil
}

// flushReads starts one round for all reads that no round covers yet.
func (n *Node) flushReads() {
	w := n.lead.waiting
	if len(w) > 0 && w[len(w)-1].seq > n.lead.seq {
		n.startRound()
	}
}

func (n *Node) dropReads() {
	for _, w := range n.lead.waiting {
		n.dropped = append(n.dropped, w.read.ID)
	}
	n.lead.waiting = nil
}

// advanceCommit commits what a quorum has synced. Entries of earlier terms are
// committed only through an entry of the leader's own term: counting them alone
// could commit an entry that a later leader overwrites.
func (n *Node) advanceCommit() {
	index := n.group().quorumValue(n.Match)
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.slice(n.commit+1, index) {
		n.lead.uncommitted -= entrySize(e)
	}
	n.commit = index
	n.confirmRounds()
	n.leaveIfRemoved()
}

// leaveIfRemoved steps down once the group has committed to go on without this node.
func (n *Node) leaveIfRemoved() {
	row := n.groups.latest()
	if row.index <= n.commit && !row.group.Votes(n.cfg.ID) {
		n.becomeFollower(n.term, "")
	}
}
