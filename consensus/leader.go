package consensus

// leadership is the state that only a leader has.
type leadership struct {
	start             uint64 // index of the no-op entry that this leader appended first
	uncommittedBytes  int
	peers             map[ID]*progress
	round             uint64           // number of the latest heartbeat round
	rounds            []heartbeatRound // the latest confirmed round, then the unconfirmed ones
	nextHeartbeatTick uint64
	pendingReads      []pendingRead
}

// heartbeatRound is one round of heartbeats to the peers. Replies of a quorum
// confirm that this node was the leader when the round began.
type heartbeatRound struct {
	round      uint64
	startTick  uint64
	timestamps map[ID]*Timestamp // last known tick counters of the peers when the round began
}

type pendingRead struct {
	read  Read
	round uint64 // number of the heartbeat round that confirms the read
}

func (n *Node) becomeLeader() {
	n.role = leader
	n.leader = n.cfg.ID
	clear(n.ignoredVotes)
	clear(n.yieldedTo)
	n.leaderState = leadership{nextHeartbeatTick: n.now + n.cfg.HeartbeatTicks}
	// The votes count as the first confirmed round, since they were granted after
	// the campaign began.
	n.leaderState.rounds = []heartbeatRound{{startTick: n.campaignTick}}
	n.updatePeerProgress()
	for _, e := range n.log.slice(n.commit+1, n.log.last()) {
		n.leaderState.uncommittedBytes += entrySize(e)
	}
	n.leaderState.start = n.appendAsLeader(EntryNoOp, nil)
	n.startHeartbeatRound()
}

func (n *Node) tickLeader() {
	if n.now-n.quorumConfirmedTick() >= n.cfg.LeaseTicks {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.leaderState.nextHeartbeatTick {
		n.startHeartbeatRound()
	}
}

// startHeartbeatRound sends a heartbeat to every voter, and to the learners whose
// heartbeat is due.
func (n *Node) startHeartbeatRound() {
	n.leaderState.nextHeartbeatTick = n.now + n.cfg.HeartbeatTicks
	n.leaderState.round++
	timestamps := make(map[ID]*Timestamp, len(n.leaderState.peers))
	for id, p := range n.leaderState.peers {
		timestamps[id] = p.lastTimestamp
	}
	n.leaderState.rounds = append(n.leaderState.rounds, heartbeatRound{n.leaderState.round, n.now, timestamps})
	for _, peer := range n.group().Peers {
		p := n.leaderState.peers[peer.ID]
		if p == nil || n.now < p.nextHeartbeatTick && !n.group().IsVoter(peer.ID) {
			continue
		}
		p.nextHeartbeatTick = n.now + n.cfg.LearnerHeartbeatTicks
		n.sendHeartbeat(peer.ID, p)
	}
	n.confirmRounds()
}

// confirmRounds drops the rounds before the latest confirmed one and confirms
// the pending reads that it covers.
func (n *Node) confirmRounds() {
	l := &n.leaderState
	round := n.group().quorumValue(n.ackedRound)
	for len(l.rounds) > 1 && l.rounds[1].round <= round {
		l.rounds = l.rounds[1:]
	}
	confirmed := 0
	for confirmed < len(l.pendingReads) && l.pendingReads[confirmed].round <= round {
		n.confirmedReads = append(n.confirmedReads, l.pendingReads[confirmed].read)
		confirmed++
	}
	l.pendingReads = l.pendingReads[confirmed:]
	if n.hasCommittedInTerm() {
		n.confirmedTick = max(n.confirmedTick, n.quorumConfirmedTick())
	}
}

func (n *Node) ackedRound(id ID) uint64 {
	if id == n.cfg.ID {
		return n.leaderState.round
	}
	if p := n.leaderState.peers[id]; p != nil {
		return p.round
	}
	return 0
}

// quorumConfirmedTick returns the tick at which the latest confirmed round began.
func (n *Node) quorumConfirmedTick() uint64 { return n.leaderState.rounds[0].startTick }

// hasCommittedInTerm reports whether this leader has committed an entry of its
// own term. From then on its commit index covers everything that was ever
// committed.
func (n *Node) hasCommittedInTerm() bool {
	return n.role == leader && n.commit >= n.leaderState.start
}

// ReadIndex requests the confirmation of a read. Once a quorum has confirmed that
// this node was still the leader after the call, Ready.Reads contains id. If the
// node stops being the leader before that, Ready.Dropped contains it. The error is
// a *verdict.Error with verdict not-run.
func (n *Node) ReadIndex(id uint64) error {
	if e := n.notLeaderError(); e != nil {
		return e
	}
	index := max(n.commit, n.leaderState.start)
	n.leaderState.pendingReads = append(n.leaderState.pendingReads, pendingRead{Read{id, index}, n.leaderState.round + 1})
	return nil
}

// startRoundForReads starts one heartbeat round for all pending reads that no
// round covers yet.
func (n *Node) startRoundForReads() {
	w := n.leaderState.pendingReads
	if len(w) > 0 && w[len(w)-1].round > n.leaderState.round {
		n.startHeartbeatRound()
	}
}

func (n *Node) dropPendingReads() {
	for _, r := range n.leaderState.pendingReads {
		n.droppedReads = append(n.droppedReads, r.read.ID)
	}
	n.leaderState.pendingReads = nil
}

// advanceCommit commits the entries that a quorum has synced. Entries of earlier
// terms are committed only together with an entry of the leader's own term: if
// replicas of an earlier term's entry were counted alone, a later leader could
// overwrite a committed entry.
func (n *Node) advanceCommit() {
	index := n.group().quorumValue(n.Match)
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.slice(n.commit+1, index) {
		n.leaderState.uncommittedBytes -= entrySize(e)
	}
	n.commit = index
	n.confirmRounds()
	n.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader step down once a membership without it as a
// voter is committed.
func (n *Node) stepDownIfRemoved() {
	record := n.groups.latest()
	if record.index <= n.commit && !record.group.IsVoter(n.cfg.ID) {
		n.becomeFollower(n.term, "")
	}
}
