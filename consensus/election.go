package consensus

// canCampaign reports whether this node is a voter and its disk is not an older
// copy.
func (n *Node) canCampaign() bool {
	g := n.group()
	return g.IsVoter(n.cfg.ID) && g.isCurrentMember(n.cfg.ID, n.cfg.Boot)
}

// startPreVote asks whether a quorum would vote for this node. The term does not
// change, so a node that returns from a partition does not depose the leader.
func (n *Node) startPreVote() {
	n.role = preCandidate
	n.leader = ""
	n.startCampaign()
}

func (n *Node) startElection() {
	n.role = candidate
	n.term++
	n.vote = n.cfg.ID
	n.startCampaign()
}

func (n *Node) startCampaign() {
	n.campaignTick = n.now
	n.grantedVotes = map[ID]bool{n.cfg.ID: true}
	// A failed campaign is retried before a full election timeout has passed,
	// since there is no leader that the retry could depose.
	n.electionDeadline = n.now + minCampaignTicks + uint64(n.rng.Int64N(campaignJitterTicks))
	n.requestVotes()
	n.countVotes()
}

// requestVotes asks the voters that have not granted their vote. It is repeated
// during a campaign, since a single lost message could otherwise make the whole
// campaign fail.
func (n *Node) requestVotes() {
	kind, term := MsgVote, n.term
	if n.role == preCandidate {
		kind, term = MsgPreVote, n.term+1
	}
	record := n.groups.latest()
	for _, p := range record.group.Peers {
		if n.grantedVotes[p.ID] || !record.group.IsVoter(p.ID) {
			continue
		}
		n.send(Message{
			Kind: kind, To: p.ID, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
			Group: &record.group, GroupIndex: record.index,
		})
	}
}

func (n *Node) countVotes() {
	if !n.group().hasQuorum(func(id ID) bool { return n.grantedVotes[id] }) {
		return
	}
	if n.role == preCandidate {
		n.startElection()
		return
	}
	n.becomeLeader()
}

func (n *Node) answerVoteRequest(m Message) {
	if n.hasActiveLeader() {
		return
	}
	if !n.isCurrentCandidate(m) {
		n.recordIgnoredVote(m)
		return
	}
	isPreVote := m.Kind == MsgPreVote
	if !isPreVote && m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	grant := n.log.isCandidateUpToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgVoteReply, To: m.From}
	if isPreVote {
		reply.Kind = MsgPreVoteReply
		grant = grant && m.Term > n.term
	} else {
		grant = grant && m.Term == n.term && (n.vote == "" || n.vote == m.From)
	}
	reply.Reject = !grant
	if grant {
		reply.Term = m.Term
	}
	if grant && !isPreVote {
		n.vote = m.From
		n.resetElectionDeadline()
	}
	if grant && isPreVote && n.role == preCandidate && m.From < n.cfg.ID && !n.yieldedTo[m.From] {
		n.yieldedTo[m.From] = true
		n.abandonCampaign()
	}
	n.send(reply)
}

// abandonCampaign makes this node a follower again in favor of another node that
// campaigns at the same time. Both would otherwise win the pre-vote and split the
// votes. It does so once for each other node until a leader is known: a node that is heard
// and doesn't hear would otherwise end the campaigns of all others, and never win.
func (n *Node) abandonCampaign() {
	n.role = follower
	n.electionDeadline = n.now + minCampaignTicks + uint64(n.rng.Int64N(campaignJitterTicks))
}

// isCurrentCandidate reports whether the candidate is a member with a boot count
// that is not below the recorded one. If this node does not know the candidate, it
// uses the membership record in the request, provided that it is later than its
// own: this node then lacks the change that added the candidate. Without its vote,
// a group that lost another node just after the change could not elect a leader.
func (n *Node) isCurrentCandidate(m Message) bool {
	record := n.groups.latest()
	if _, known := record.group.Peer(m.From); known {
		return record.group.isCurrentMember(m.From, m.Boot)
	}
	if m.Group == nil || m.GroupIndex <= record.index {
		return false
	}
	return m.Group.isCurrentMember(m.From, m.Boot)
}

// maxIgnoredVotes limits the nodes for which the reason is kept.
const maxIgnoredVotes = 64

// recordIgnoredVote records why a vote request, or the reply to one, of a node that is no
// current member is ignored.
func (n *Node) recordIgnoredVote(m Message) {
	if len(n.ignoredVotes) >= maxIgnoredVotes {
		clear(n.ignoredVotes)
	}
	n.ignoredVotes[m.From] = UnknownNode
	if _, known := n.group().Peer(m.From); known {
		n.ignoredVotes[m.From] = OutdatedDisk
	}
}

// hasActiveLeader reports whether this node leads or has received a message from
// the leader within the shortest election timeout. The node then ignores vote
// requests, so that a node with a bad connection doesn't depose a leader that the
// others can reach.
func (n *Node) hasActiveLeader() bool {
	if n.role == leader {
		return true
	}
	return n.leader != "" && n.now-n.lastLeaderTick < n.cfg.ElectionTicks
}

func (n *Node) recordVoteReply(m Message) {
	if !n.group().isCurrentMember(m.From, m.Boot) {
		n.recordIgnoredVote(m)
		return
	}
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	preVoteGranted := n.role == preCandidate && m.Kind == MsgPreVoteReply && m.Term == n.term+1
	voteGranted := n.role == candidate && m.Kind == MsgVoteReply && m.Term == n.term
	if preVoteGranted || voteGranted {
		n.grantedVotes[m.From] = true
		n.countVotes()
	}
}
