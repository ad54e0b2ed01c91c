package consensus

import (
	"math/rand/v2"

	"github.com/baobabshore/baobabshore/verdict"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand
	now uint64 // tick counter, which starts at 1

	term     uint64
	vote     ID
	leader   ID // empty if unknown
	role     role
	log      entryLog
	snapshot *Snapshot // latest, nil if none
	groups   groupHistory

	commit        uint64
	applied       uint64
	lastHardState HardState // the last one returned by Ready

	electionDeadline uint64 // tick at which the next campaign begins
	lastLeaderTick   uint64 // tick of the last message from the leader
	confirmedTick    uint64 // see ConfirmedTick
	grantedVotes     map[ID]bool
	campaignTick     uint64 // tick at which the campaign began
	ignoredVotes     map[ID]IgnoreReason
	yieldedTo        map[ID]bool // nodes for which a campaign was abandoned since a leader was known

	leaderState      leadership
	outbox           []Message
	receivedSnapshot *Snapshot // not returned by Ready yet
	confirmedReads   []Read    // not returned by Ready yet
	droppedReads     []uint64
}

// Tick advances the clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == leader {
		n.tickLeader()
		return
	}
	if n.now < n.electionDeadline {
		if n.role != follower && (n.now-n.campaignTick)%n.cfg.HeartbeatTicks == 0 {
			n.requestVotes()
		}
		return
	}
	n.resetElectionDeadline()
	if n.canCampaign() {
		n.startPreVote()
	}
}

// Step delivers a message from another node. It ignores a malformed message and
// one for another node id, for example of the node that had this address before.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || !m.wellFormed() {
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.answerVoteRequest(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.recordVoteReply(m)
	case MsgAppend, MsgSnapshot:
		n.acceptLeaderMessage(m)
	case MsgAppendReply:
		n.recordAppendReply(m)
	}
}

// wellFormed reports whether the entries have consecutive indexes after m.Index
// and a MsgSnapshot has a snapshot.
func (m Message) wellFormed() bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return m.Kind != MsgSnapshot || m.Snapshot != nil
}

// Propose appends an entry with data to the leader's log and returns its index.
// If the committed entry that Ready later returns at this index has the term that
// Term returns now, it is this entry; otherwise another leader has replaced it.
// The error is a *verdict.Error with verdict not-run.
func (n *Node) Propose(data []byte) (index uint64, err error) {
	if e := n.notLeaderError(); e != nil {
		return 0, e
	}
	if n.leaderState.uncommittedBytes+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, verdict.Refuse(verdict.Overloaded, "%d bytes await their commit", n.leaderState.uncommittedBytes)
	}
	return n.appendAsLeader(EntryCommand, data), nil
}

// notLeaderError returns nil if this node is the leader, and otherwise the error
// for a request that only the leader can serve.
func (n *Node) notLeaderError() *verdict.Error {
	if n.role == leader {
		return nil
	}
	if n.leader == "" {
		return verdict.Refuse(verdict.NoQuorum, "no leader is known")
	}
	return verdict.Refuse(verdict.NotLeader, "the leader is %s", n.leader)
}

// appendAsLeader appends an entry of the current term and returns its index.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	n.leaderState.uncommittedBytes += entrySize(e)
	n.applyGroupEntries([]Entry{e})
	return e.Index
}

// applyGroupEntries puts the membership records among entries into effect.
func (n *Node) applyGroupEntries(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryGroup {
			continue
		}
		g, err := DecodeGroup(e)
		if err != nil {
			// Only a leader that runs this package writes membership records, and the
			// log has checksums, so this node runs an older, incompatible version.
			panic("consensus: undecodable membership record: " + err.Error())
		}
		n.groups.add(e.Index, g)
		n.updatePeerProgress()
	}
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	m.Boot = n.cfg.Boot
	if m.Term == 0 {
		m.Term = n.term
	}
	n.outbox = append(n.outbox, m)
}

// becomeFollower makes this node a follower in the given term, which must not be
// below the current one. leaderID is empty if the leader is not known.
func (n *Node) becomeFollower(term uint64, leaderID ID) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role == leader || leaderID != "" {
		n.resetElectionDeadline()
	}
	n.dropPendingReads()
	n.role = follower
	n.leader = leaderID
	n.leaderState = leadership{}
	if leaderID != "" {
		clear(n.ignoredVotes)
		clear(n.yieldedTo)
	}
}

func (n *Node) resetElectionDeadline() {
	jitterRange := int64(n.cfg.ElectionTicks) + 1
	n.electionDeadline = n.now + n.cfg.ElectionTicks + uint64(n.rng.Int64N(jitterRange))
}

func (n *Node) group() Group { return n.groups.latest().group }
