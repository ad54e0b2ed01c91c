package consensus

// progressMode tells how entries are sent to a peer.
type progressMode uint8

const (
	probing   progressMode = iota // one message at a time until the logs match
	streaming                     // a window of messages
	restoring                     // a snapshot is on its way
)

// progress is what a leader knows of a peer.
type progress struct {
	mode     progressMode
	match    uint64 // highest index known to be synced by the peer
	next     uint64 // index of the next entry to send
	inflight []uint64
	paused   bool // the probe awaits its answer
	sentAt   uint64
	snapshot uint64 // index of the snapshot that is on its way
	seq      uint64 // highest round of heartbeats that it has answered
	boot     uint64 // highest boot count seen
	stamp    *Stamp
	nextBeat uint64 // tick at which a heartbeat is due if it is a learner
	heardAt  uint64 // tick of its last answer, or of the start of the leadership
}

// syncProgress makes the table of peers follow the group.
func (n *Node) syncProgress() {
	if n.role != leader {
		return
	}
	peers := make(map[ID]*progress, len(n.group().Peers))
	for _, p := range n.group().Peers {
		if p.ID == n.cfg.ID {
			continue
		}
		peers[p.ID] = n.lead.peers[p.ID]
		if peers[p.ID] == nil {
			peers[p.ID] = &progress{next: n.log.last() + 1, heardAt: n.now}
		}
	}
	n.lead.peers = peers
}

// Match returns the highest index that the node with the given id is known to
// have synced. Only the leader knows that of other nodes.
func (n *Node) Match(id ID) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
	}
	if p := n.lead.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// SilentFor returns for how many ticks the leader has had no answer of a peer,
// zero for a node that is not a peer or when this node doesn't lead.
func (n *Node) SilentFor(id ID) uint64 {
	if p := n.lead.peers[id]; p != nil && n.role == leader {
		return n.now - p.heardAt
	}
	return 0
}

// replicate sends each peer the entries that it lacks, within its window.
func (n *Node) replicate() {
	for _, row := range n.group().Peers {
		if row.ID == n.cfg.ID {
			continue
		}
		p := n.lead.peers[row.ID]
		for p.next <= n.log.last() && !p.blocked(n.cfg.Window) {
			n.sendEntries(row.ID, p)
		}
	}
}

func (p *progress) blocked(window int) bool {
	switch p.mode {
	case probing:
		return p.paused
	case streaming:
		return len(p.inflight) >= window
	}
	return true
}

func (n *Node) sendEntries(id ID, p *progress) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.batch(p.next, n.cfg.MaxMessageBytes)
	n.sendAppend(id, p, Message{Index: prev, LogTerm: term, Entries: entries})
	if p.mode == probing {
		p.paused = true
		return
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

// sendHeartbeat sends an empty append after the last entry sent, so that the
// answer also tells whether a message with entries was lost. A peer that needs
// a snapshot gets one at index 0, which every log matches.
func (n *Node) sendHeartbeat(id ID, p *progress) {
	if p.mode == restoring && n.now-p.sentAt >= n.cfg.SnapshotTicks {
		p.probe(p.match + 1)
	}
	p.paused = false
	m := Message{}
	term, ok := n.log.term(p.next - 1)
	if p.mode != restoring && ok {
		m.Index, m.LogTerm = p.next-1, term
	}
	if p.mode != restoring && !ok {
		// Compact has dropped what the peer lacks. Unanswered messages would
		// otherwise keep the window full, so that no snapshot is ever sent.
		p.probe(p.next)
	}
	n.sendAppend(id, p, m)
}

func (n *Node) sendAppend(id ID, p *progress, m Message) {
	m.Kind, m.To = MsgAppend, id
	m.Commit = n.commit
	m.Seq = n.lead.seq
	if n.vouches() {
		m.Stamp = n.lead.rounds[0].stamps[id]
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	p.mode = restoring
	p.inflight = nil
	p.snapshot = n.snap.Index
	p.sentAt = n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: n.snap, Seq: n.lead.seq})
}

func (p *progress) probe(next uint64) {
	p.mode = probing
	p.next = next
	p.paused = false
	p.inflight = nil
}

func (p *progress) stream() {
	p.mode = streaming
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (n *Node) handleAppendReply(m Message) {
	p := n.lead.peers[m.From]
	if n.role != leader || p == nil || !n.group().admits(m.From, m.Boot) || m.Boot < p.boot {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.term {
		return
	}
	if m.Boot > p.boot && p.boot > 0 {
		// The peer has restarted; what it had in flight is gone.
		*p = progress{next: n.log.last() + 1}
	}
	p.boot = m.Boot
	p.heardAt = n.now
	p.stamp = m.Stamp
	if m.Seq > p.seq {
		p.seq = m.Seq
		n.confirmRounds()
	}
	if m.Reject {
		n.rejected(p, m)
		return
	}
	p.accepted(m.Index)
	n.advanceCommit()
}

func (n *Node) rejected(p *progress, m Message) {
	stale := m.Index <= p.match || p.mode == probing && m.Index != p.next-1
	if stale || p.mode == restoring {
		return
	}
	next := n.log.backOff(m.Hint, m.LogTerm) + 1
	p.probe(max(p.match+1, min(next, m.Index)))
}

// accepted notes that the peer's log matches up to index.
func (p *progress) accepted(index uint64) {
	p.match = max(p.match, index)
	switch p.mode {
	case probing:
		if index+1 >= p.next {
			p.stream()
		}
	case restoring:
		if p.match >= p.snapshot {
			p.stream()
		}
	case streaming:
		p.next = max(p.next, p.match+1)
		for len(p.inflight) > 0 && p.inflight[0] <= index {
			p.inflight = p.inflight[1:]
		}
	}
}
