package consensus

// progressMode is the way in which entries are sent to a peer.
type progressMode uint8

const (
	probing         progressMode = iota // one message at a time, until a match of the logs is found
	streaming                           // several messages without waiting for replies, up to Config.Window
	sendingSnapshot                     // no entries, until the peer has the snapshot that was sent
)

// progress is the leader's view of the replication to a peer.
type progress struct {
	mode              progressMode
	matchIndex        uint64 // highest index known to be synced by the peer
	nextIndex         uint64 // index of the next entry to send
	inflight          []uint64
	probePending      bool // the probe has not been answered yet
	snapshotSentTick  uint64
	snapshotIndex     uint64 // index of the snapshot that was sent
	round             uint64 // highest heartbeat round that the peer has answered
	bootCount         uint64 // highest boot count that the peer has sent
	lastTimestamp     *Timestamp
	nextHeartbeatTick uint64 // tick of the next heartbeat if the peer is a learner
	lastReplyTick     uint64 // tick of the peer's last reply, or when the leader began to track the peer
}

// updatePeerProgress adds and removes the progress of peers so that it covers the
// members in effect.
func (n *Node) updatePeerProgress() {
	if n.role != leader {
		return
	}
	peers := make(map[ID]*progress, len(n.group().Peers))
	for _, p := range n.group().Peers {
		if p.ID == n.cfg.ID {
			continue
		}
		peers[p.ID] = n.leaderState.peers[p.ID]
		if peers[p.ID] == nil {
			peers[p.ID] = &progress{nextIndex: n.log.last() + 1, lastReplyTick: n.now}
		}
	}
	n.leaderState.peers = peers
}

// Match returns the highest index that the node with the given id is known to
// have synced. Only the leader knows it for other nodes; a node that doesn't lead
// returns 0 for them.
func (n *Node) Match(id ID) uint64 {
	if id == n.cfg.ID {
		return n.log.syncedIndex
	}
	if p := n.leaderState.peers[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// TicksSinceReply returns the number of ticks since the last reply of the peer to this
// leader, or since the leader began to track the peer. It returns 0 if id is not a
// peer or this node doesn't lead.
func (n *Node) TicksSinceReply(id ID) uint64 {
	if p := n.leaderState.peers[id]; p != nil && n.role == leader {
		return n.now - p.lastReplyTick
	}
	return 0
}

// replicate sends each peer the entries that it lacks, as far as flow control
// permits.
func (n *Node) replicate() {
	for _, peer := range n.group().Peers {
		if peer.ID == n.cfg.ID {
			continue
		}
		p := n.leaderState.peers[peer.ID]
		for p.nextIndex <= n.log.last() && !p.blocked(n.cfg.Window) {
			n.sendEntries(peer.ID, p)
		}
	}
}

func (p *progress) blocked(maxInflight int) bool {
	switch p.mode {
	case probing:
		return p.probePending
	case streaming:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (n *Node) sendEntries(id ID, p *progress) {
	prev := p.nextIndex - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.batch(p.nextIndex, n.cfg.MaxMessageBytes)
	n.sendAppend(id, p, Message{Index: prev, LogTerm: term, Entries: entries})
	if p.mode == probing {
		p.probePending = true
		return
	}
	p.nextIndex += uint64(len(entries))
	p.inflight = append(p.inflight, p.nextIndex-1)
}

// sendHeartbeat sends an append without entries that follows the last entry sent,
// so that the reply also shows whether a message with entries was lost. A peer
// that needs a snapshot gets a heartbeat at index 0, which every log matches.
func (n *Node) sendHeartbeat(id ID, p *progress) {
	if p.mode == sendingSnapshot && n.now-p.snapshotSentTick >= n.cfg.SnapshotTicks {
		p.startProbing(p.matchIndex + 1)
	}
	p.probePending = false
	m := Message{}
	term, ok := n.log.term(p.nextIndex - 1)
	if p.mode != sendingSnapshot && ok {
		m.Index, m.LogTerm = p.nextIndex-1, term
	}
	if p.mode != sendingSnapshot && !ok {
		// Compact has dropped entries that the peer lacks. Without this reset,
		// unanswered messages could fill the window for good, so that the
		// snapshot would never be sent.
		p.startProbing(p.nextIndex)
	}
	n.sendAppend(id, p, m)
}

func (n *Node) sendAppend(id ID, p *progress, m Message) {
	m.Kind, m.To = MsgAppend, id
	m.Commit = n.commit
	m.HeartbeatRound = n.leaderState.round
	if n.hasCommittedInTerm() {
		m.Timestamp = n.leaderState.rounds[0].timestamps[id]
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	p.mode = sendingSnapshot
	p.inflight = nil
	p.snapshotIndex = n.snapshot.Index
	p.snapshotSentTick = n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: n.snapshot, HeartbeatRound: n.leaderState.round})
}

func (p *progress) startProbing(nextIndex uint64) {
	p.mode = probing
	p.nextIndex = nextIndex
	p.probePending = false
	p.inflight = nil
}

func (p *progress) startStreaming() {
	p.mode = streaming
	p.nextIndex = p.matchIndex + 1
	p.probePending = false
	p.inflight = nil
}

func (n *Node) recordAppendReply(m Message) {
	p := n.leaderState.peers[m.From]
	if n.role != leader || p == nil || !n.group().isCurrentMember(m.From, m.Boot) || m.Boot < p.bootCount {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.term {
		return
	}
	if m.Boot > p.bootCount && p.bootCount > 0 {
		// The peer has restarted, so the messages in flight to it are lost.
		*p = progress{nextIndex: n.log.last() + 1}
	}
	p.bootCount = m.Boot
	p.lastReplyTick = n.now
	p.lastTimestamp = m.Timestamp
	if m.HeartbeatRound > p.round {
		p.round = m.HeartbeatRound
		n.confirmRounds()
	}
	if m.Reject {
		n.probeAfterRejection(p, m)
		return
	}
	p.recordMatch(m.Index)
	n.advanceCommit()
}

func (n *Node) probeAfterRejection(p *progress, m Message) {
	stale := m.Index <= p.matchIndex || p.mode == probing && m.Index != p.nextIndex-1
	if stale || p.mode == sendingSnapshot {
		return
	}
	nextIndex := n.log.lastIndexWithTermAtMost(m.RejectHint, m.LogTerm) + 1
	p.startProbing(max(p.matchIndex+1, min(nextIndex, m.Index)))
}

// recordMatch records that the peer's log matches this node's up to index.
func (p *progress) recordMatch(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	switch p.mode {
	case probing:
		if index+1 >= p.nextIndex {
			p.startStreaming()
		}
	case sendingSnapshot:
		if p.matchIndex >= p.snapshotIndex {
			p.startStreaming()
		}
	case streaming:
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		for len(p.inflight) > 0 && p.inflight[0] <= index {
			p.inflight = p.inflight[1:]
		}
	}
}
