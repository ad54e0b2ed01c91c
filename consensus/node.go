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
	now uint64 // ticks since the start, from 1

	term   uint64
	vote   ID
	leader ID // empty if unknown
	role   role
	log    entryLog
	snap   *Snapshot // latest, nil if none
	groups groupTable

	commit  uint64
	applied uint64
	saved   HardState // last one handed out

	deadline  uint64 // tick of the next campaign
	heard     uint64 // tick of the last message of the leader
	confirmed uint64 // see ConfirmedTick
	votes     map[ID]bool
	campaign  uint64 // tick at which the campaign began

	lead    leadership
	outbox  []Message
	restore *Snapshot // received, not handed out yet
	reads   []Read    // confirmed, not handed out yet
	dropped []uint64
}

// Tick advances the clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == leader {
		n.tickLeader()
		return
	}
	if n.now < n.deadline {
		if n.role != follower && (n.now-n.campaign)%n.cfg.HeartbeatTicks == 0 {
			n.requestVotes()
		}
		return
	}
	n.resetDeadline()
	if n.mayCampaign() {
		n.startPreVote()
	}
}

// Step takes a message of another node. It ignores a message for another
// instance and a malformed one.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || !m.wellFormed() {
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend, MsgSnapshot:
		n.handleLeader(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	}
}

// wellFormed reports whether the entries follow each other after Index and a
// snapshot is present where it has to be.
func (m Message) wellFormed() bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return m.Kind != MsgSnapshot || m.Snapshot != nil
}

// Propose appends data to the log of the leader and returns its index. The
// entry is committed if the entry that Ready later returns at this index has
// the term that Term returns now; otherwise another leader has replaced it. The
// error is a *verdict.Error with verdict not-run.
func (n *Node) Propose(data []byte) (index uint64, err error) {
	if e := n.refusal(); e != nil {
		return 0, e
	}
	if n.lead.uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, verdict.Refuse(verdict.Overloaded, "%d bytes await their commit", n.lead.uncommitted)
	}
	return n.appendOwn(EntryCommand, data), nil
}

// refusal returns why this node can't take a request for the leader.
func (n *Node) refusal() *verdict.Error {
	if n.role == leader {
		return nil
	}
	if n.leader == "" {
		return verdict.Refuse(verdict.NoQuorum, "no leader is known")
	}
	return verdict.Refuse(verdict.NotLeader, "the leader is %s", n.leader)
}

// appendOwn appends an entry of the leader's term.
func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	n.lead.uncommitted += entrySize(e)
	n.noteGroups([]Entry{e})
	return e.Index
}

// noteGroups puts the membership records among entries into effect.
func (n *Node) noteGroups(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryGroup {
			continue
		}
		g, err := DecodeGroup(e)
		if err != nil {
			// Only a leader of this package writes the record, and the log has
			// checksums, so this node runs an older, incompatible version.
			panic("consensus: undecodable membership record: " + err.Error())
		}
		n.groups.add(e.Index, g)
		n.syncProgress()
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

// becomeFollower enters term, which is not below the current one. leader is
// empty if it is not known.
func (n *Node) becomeFollower(term uint64, leaderID ID) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role == leader || leaderID != "" {
		n.resetDeadline()
	}
	n.dropReads()
	n.role = follower
	n.leader = leaderID
	n.lead = leadership{}
}

func (n *Node) resetDeadline() {
	spread := int64(n.cfg.ElectionTicks) + 1
	n.deadline = n.now + n.cfg.ElectionTicks + uint64(n.rng.Int64N(spread))
}

func (n *Node) group() Group { return n.groups.latest().group }
