package consensus

// mayCampaign reports whether this node is a voter with a current disk.
func (n *Node) mayCampaign() bool {
	g := n.group()
	return g.Votes(n.cfg.ID) && g.admits(n.cfg.ID, n.cfg.Boot)
}

// startPreVote asks whether a quorum would vote for this node. The term does
// not change, so a node that comes back from a partition disturbs nobody.
func (n *Node) startPreVote() {
	n.role = preCandidate
	n.leader = ""
	n.startVoting()
}

func (n *Node) startVote() {
	n.role = candidate
	n.term++
	n.vote = n.cfg.ID
	n.startVoting()
}

func (n *Node) startVoting() {
	n.campaign = n.now
	n.votes = map[ID]bool{n.cfg.ID: true}
	// A lost campaign is repeated sooner than a silent leader is given up:
	// there is no leader to disturb.
	n.deadline = n.now + minRetryTicks + uint64(n.rng.Int64N(retrySpreadTicks))
	n.requestVotes()
	n.countVotes()
}

// requestVotes asks the voters that have not granted their vote. It is repeated
// during a campaign, since a lost message would otherwise cost a whole one.
func (n *Node) requestVotes() {
	kind, term := MsgVote, n.term
	if n.role == preCandidate {
		kind, term = MsgPreVote, n.term+1
	}
	row := n.groups.latest()
	for _, p := range row.group.Peers {
		if n.votes[p.ID] || !row.group.Votes(p.ID) {
			continue
		}
		n.send(Message{
			Kind: kind, To: p.ID, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
			Group: &row.group, GroupIndex: row.index,
		})
	}
}

func (n *Node) countVotes() {
	if !n.group().majority(func(id ID) bool { return n.votes[id] }) {
		return
	}
	if n.role == preCandidate {
		n.startVote()
		return
	}
	n.becomeLeader()
}

func (n *Node) handleVoteRequest(m Message) {
	if !n.admitsCandidate(m) || n.hasLeader() {
		return
	}
	pre := m.Kind == MsgPreVote
	if !pre && m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	grant := n.log.coveredBy(m.Index, m.LogTerm)
	reply := Message{Kind: MsgVoteReply, To: m.From}
	if pre {
		reply.Kind = MsgPreVoteReply
		grant = grant && m.Term > n.term
	} else {
		grant = grant && m.Term == n.term && (n.vote == "" || n.vote == m.From)
	}
	reply.Reject = !grant
	if grant {
		reply.Term = m.Term
	}
	if grant && !pre {
		n.vote = m.From
		n.resetDeadline()
	}
	if grant && pre && n.role == preCandidate && m.From < n.cfg.ID {
		n.yield()
	}
	n.send(reply)
}

// yield leaves the campaign to another node that has asked at the same time. Both
// would otherwise win the pre-vote and split the votes.
func (n *Node) yield() {
	n.role = follower
	n.deadline = n.now + minRetryTicks + uint64(n.rng.Int64N(retrySpreadTicks))
}

// admitsCandidate reports whether the candidate is in the group with a boot
// count that is not below the recorded one. A candidate that this node does not
// know is judged by the membership record in the request if that is the later
// one: this node then missed the change that added the candidate, and without
// its vote a group that lost another node just after the change could not elect.
func (n *Node) admitsCandidate(m Message) bool {
	row := n.groups.latest()
	if _, known := row.group.Peer(m.From); known {
		return row.group.admits(m.From, m.Boot)
	}
	if m.Group == nil || m.GroupIndex <= row.index {
		return false
	}
	return m.Group.admits(m.From, m.Boot)
}

// hasLeader reports whether this node leads or has heard from the leader within
// the shortest election timeout. It refuses votes meanwhile, so that a node with
// a bad connection doesn't depose a leader that the others can reach.
func (n *Node) hasLeader() bool {
	if n.role == leader {
		return true
	}
	return n.leader != "" && n.now-n.heard < n.cfg.ElectionTicks
}

func (n *Node) handleVoteReply(m Message) {
	g := n.group()
	if !g.admits(m.From, m.Boot) {
		return
	}
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	pre := n.role == preCandidate && m.Kind == MsgPreVoteReply && m.Term == n.term+1
	real := n.role == candidate && m.Kind == MsgVoteReply && m.Term == n.term
	if pre || real {
		n.votes[m.From] = true
		n.countVotes()
	}
}
