package consensus

// acceptLeaderMessage applies an append, a heartbeat or a snapshot of the leader of
// the message's term and replies to it.
func (n *Node) acceptLeaderMessage(m Message) {
	if m.Term < n.term {
		// The reply carries the newer term, so that the outdated leader steps down.
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
		return
	}
	if n.role == leader && m.Term == n.term {
		panic("consensus: two leaders in one term")
	}
	if n.role != follower || m.Term > n.term || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.lastLeaderTick = n.now
	n.resetElectionDeadline()
	reply := Message{
		Kind: MsgAppendReply, To: m.From, HeartbeatRound: m.HeartbeatRound,
		Timestamp: &Timestamp{Boot: n.cfg.Boot, Tick: n.now},
	}
	if m.Kind == MsgSnapshot {
		reply.Index = n.installSnapshot(m.Snapshot)
	} else {
		n.acceptAppend(m, &reply)
	}
	n.send(reply)
}

func (n *Node) acceptAppend(m Message, reply *Message) {
	last, ok := n.appendLeaderEntries(m)
	if !ok {
		reply.Reject = true
		reply.Index = m.Index
		reply.RejectHint = n.log.lastIndexWithTermAtMost(min(m.Index, n.log.last()), m.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.RejectHint)
		return
	}
	reply.Index = last
	n.commit = max(n.commit, min(m.Commit, last))
	n.recordConfirmation(m)
}

// appendLeaderEntries adds the entries of m to the log and returns the index up to
// which the log now matches the leader's. It returns false if the log does not
// hold the entry before them.
func (n *Node) appendLeaderEntries(m Message) (last uint64, ok bool) {
	last = m.Index + uint64(len(m.Entries))
	if last <= n.commit {
		// Every later leader's log holds the committed entries.
		return last, true
	}
	entries := m.Entries
	if m.Index < n.log.baseIndex {
		entries = entries[n.log.baseIndex-m.Index:]
	} else if !n.log.matches(m.Index, m.LogTerm) {
		return 0, false
	}
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncateFrom(e.Index)
		}
		n.log.append(entries[i:]...)
		n.applyGroupEntries(entries[i:])
		break
	}
	return last, true
}

func (n *Node) truncateFrom(index uint64) {
	if index <= n.commit {
		panic("consensus: the leader's log lacks a committed entry")
	}
	n.log.truncateFrom(index)
	n.groups.truncateFrom(index)
}

// recordConfirmation records that a confirmed leader reported a commit index that
// this node has reached. m.Timestamp is a tick of this node's own counter after
// which a quorum confirmed the leader. With the time of arrival instead, a delayed
// message or a paused leader process would make an old confirmation look recent.
func (n *Node) recordConfirmation(m Message) {
	s := m.Timestamp
	if s == nil || s.Boot != n.cfg.Boot || n.commit < m.Commit {
		return
	}
	n.confirmedTick = max(n.confirmedTick, s.Tick)
}

// installSnapshot replaces the log by a snapshot unless the log already holds the
// snapshot's last entry. It returns the index up to which the log matches the
// leader's.
func (n *Node) installSnapshot(s *Snapshot) uint64 {
	if s.Index <= n.commit {
		return n.commit
	}
	if n.log.matches(s.Index, s.Term) {
		n.commit = s.Index
		return s.Index
	}
	n.log.reset(s)
	n.groups.reset(s.Index, s.Group)
	n.commit = s.Index
	n.snapshot = s
	n.receivedSnapshot = s
	return s.Index
}
