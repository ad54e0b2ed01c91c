package consensus

// handleLeader takes an append, a heartbeat or a snapshot of the leader.
func (n *Node) handleLeader(m Message) {
	if m.Term < n.term {
		// The answer makes a leader step down that has missed the newer term.
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
		return
	}
	if n.role == leader && m.Term == n.term {
		panic("consensus: two leaders in one term")
	}
	if n.role != follower || m.Term > n.term || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heard = n.now
	n.resetDeadline()
	reply := Message{
		Kind: MsgAppendReply, To: m.From, Seq: m.Seq,
		Stamp: &Stamp{Boot: n.cfg.Boot, Tick: n.now},
	}
	if m.Kind == MsgSnapshot {
		reply.Index = n.restoreFrom(m.Snapshot)
	} else {
		n.acceptAppend(m, &reply)
	}
	n.send(reply)
}

func (n *Node) acceptAppend(m Message, reply *Message) {
	last, ok := n.appendAfter(m)
	if !ok {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = n.log.backOff(min(m.Index, n.log.last()), m.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.Hint)
		return
	}
	reply.Index = last
	n.commit = max(n.commit, min(m.Commit, last))
	n.noteConfirmation(m)
}

// appendAfter adds the entries of m and returns the last index up to which the
// log matches the leader's. It returns false if the entry before them is missing.
func (n *Node) appendAfter(m Message) (last uint64, ok bool) {
	last = m.Index + uint64(len(m.Entries))
	if last <= n.commit {
		// Committed entries match every later leader's log.
		return last, true
	}
	entries := m.Entries
	if m.Index < n.log.base {
		entries = entries[n.log.base-m.Index:]
	} else if !n.log.matches(m.Index, m.LogTerm) {
		return 0, false
	}
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index)
		}
		n.log.append(entries[i:]...)
		n.noteGroups(entries[i:])
		break
	}
	return last, true
}

func (n *Node) truncate(index uint64) {
	if index <= n.commit {
		panic("consensus: the leader's log lacks a committed entry")
	}
	n.log.truncate(index)
	n.groups.truncate(index)
}

// noteConfirmation records that the leader vouched for this node's commit
// index. m.Stamp is a tick of this node's clock after which a quorum confirmed
// the leader, so neither a slow message nor a leader that was frozen makes an old
// confirmation look recent.
func (n *Node) noteConfirmation(m Message) {
	s := m.Stamp
	if s == nil || s.Boot != n.cfg.Boot || n.commit < m.Commit {
		return
	}
	n.confirmed = max(n.confirmed, s.Tick)
}

// restoreFrom replaces the log by a snapshot unless the log already holds its
// last entry. It returns the index up to which the log matches the leader's.
func (n *Node) restoreFrom(s *Snapshot) uint64 {
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
	n.snap = s
	n.restore = s
	return s.Index
}
