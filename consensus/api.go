// Package consensus is a Raft state machine without I/O. Its inputs are ticks,
// messages and proposals. Its output is a Ready value that says what to
// persist, what to send and what to apply, in that order.
//
// The driver opens the log, raises the boot count and calls New. It then calls
// Tick every 50 ms, Step for each message and Propose, ReadIndex or ProposeGroup
// for each request, and after each of them, unless a sync is running:
//
//	rd := node.Ready()
//	// if rd.NeedsSync(): write rd.HardState, rd.Snapshot and rd.Entries, sync
//	// send rd.Messages; a message that can't be sent at once may be dropped
//	// restore from rd.Snapshot if not nil, then apply rd.Committed
//	// answer rd.Reads once their index is applied, refuse rd.Dropped
//	node.Advance(rd)
//
// While a sync runs the driver may go on to call Tick, Step and Propose, so that
// the next sync covers all that has arrived meanwhile.
package consensus

// ID identifies a node of the group. It is drawn at random for each data folder,
// so a node that restarts with an empty disk is a new member, even if it keeps
// its name.
type ID string

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// EntryKind is the type of the content of Entry.Data.
type EntryKind uint8

// These are the kinds of log entries.
const (
	EntryCommand EntryKind = iota // a command for the replicated state machine
	EntryNoOp                     // the first entry of each new leader, without data
	EntryGroup                    // a membership record: a Group in JSON
)

// Peer is a node of the group.
type Peer struct {
	ID    ID     `json:"id"`
	Name  string `json:"name"`
	Addr  string `json:"addr"` // host:port for messages between nodes
	Voter bool   `json:"voter"`
	// Boot is the highest boot count of the node that the group has recorded. A
	// vote with a lower boot count is ignored, since the node then runs on an
	// older copy of its disk.
	Boot uint64 `json:"boot"`
	// Domain is the failure domain of the node.
	Domain string `json:"domain,omitempty"`
	// Observer marks a node that must not become a voter, because its log does not
	// survive the process.
	Observer bool `json:"observer,omitempty"`
	// Leaving marks a former voter that is removed when the joint phase of the
	// membership change ends.
	Leaving bool `json:"leaving,omitempty"`
}

// Group is the membership of the Raft group. At most one membership change is in
// progress at a time.
type Group struct {
	Peers []Peer `json:"peers"`
	// OldVoters holds the voters before the change during the joint phase of a
	// membership change. Elections and commits then need a majority of the new
	// voters and one of the old voters. It is empty outside the joint phase.
	OldVoters []ID `json:"old,omitempty"`
	// Former holds the nodes that were removed last. A node that is added again keeps
	// its recorded boot count, so that an older copy of its disk still doesn't vote.
	Former []FormerPeer `json:"former,omitempty"`
}

// FormerPeer is a node that was removed from the group.
type FormerPeer struct {
	ID   ID     `json:"id"`
	Boot uint64 `json:"boot"`
}

// HardState is the state that must be synced before messages that depend on it
// are sent. Commit may lag behind the node's commit index: a change of the commit
// index alone causes no sync, since a restarted node learns it from the leader.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   ID     `json:"vote,omitempty"`
	Commit uint64 `json:"commit"`
}

// Snapshot is the state machine's state up to Index.
type Snapshot struct {
	Index uint64 `json:"i"`
	Term  uint64 `json:"t"`
	Group Group  `json:"g"`
	Data  []byte `json:"d"`
}

// Ready is what the caller must do next: persist HardState, Snapshot and
// Entries with one sync, then send Messages, then apply Snapshot and Committed.
type Ready struct {
	HardState *HardState // nil if unchanged
	Entries   []Entry
	Snapshot  *Snapshot // to persist and to restore the state machine from
	Messages  []Message
	Committed []Entry
	// Reads lists confirmed reads: the caller may answer them once it has
	// applied up to Index.
	Reads []Read
	// Dropped lists the reads that this node can no longer confirm, since it
	// has stopped being the leader.
	Dropped []uint64
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && !r.ChangesLog() && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.Dropped) == 0
}

// ChangesLog reports whether entries or a snapshot have to be persisted.
func (r Ready) ChangesLog() bool { return len(r.Entries) > 0 || r.Snapshot != nil }

// NeedsSync reports whether the caller has to write and sync before it sends.
func (r Ready) NeedsSync() bool { return r.HardState != nil || r.ChangesLog() }

// Read is a read request that a quorum has confirmed.
type Read struct {
	ID    uint64
	Index uint64
}

// MessageKind is the type of a Message.
type MessageKind uint8

// These are the kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend // also the leader's heartbeat
	MsgAppendReply
	MsgSnapshot
)

// Message is sent from one node of the group to another.
type Message struct {
	Kind           MessageKind `json:"k"`
	From           ID          `json:"f"`
	To             ID          `json:"o"`
	Term           uint64      `json:"t"`
	Boot           uint64      `json:"b,omitempty"` // boot count of the sender
	Index          uint64      `json:"i,omitempty"` // last log index of a candidate, or the index before Entries
	LogTerm        uint64      `json:"lt,omitempty"`
	Entries        []Entry     `json:"e,omitempty"`
	Commit         uint64      `json:"c,omitempty"`
	Reject         bool        `json:"r,omitempty"`
	RejectHint     uint64      `json:"h,omitempty"` // where a rejecting follower's log may match the leader's
	HeartbeatRound uint64      `json:"s,omitempty"` // number of the heartbeat round, for confirmed reads and the lease
	Snapshot       *Snapshot   `json:"sn,omitempty"`
	// Timestamp is, in a MsgAppendReply, the sender's tick counter. The leader stores
	// the latest one of each peer. In a MsgAppend it returns to the peer the one that
	// it had stored when the latest confirmed heartbeat round began. A quorum thus
	// confirmed the leader after that tick of the receiver's own counter, regardless
	// of message delays.
	Timestamp *Timestamp `json:"st,omitempty"`
	// Group and GroupIndex are the candidate's latest membership record. A voter
	// whose log lacks the record that added the candidate uses them to check that
	// the candidate is a member.
	Group      *Group `json:"g,omitempty"`
	GroupIndex uint64 `json:"gi,omitempty"`
}

// IsReply reports whether m answers a message of its receiver, which has then arrived.
func (m Message) IsReply() bool {
	return m.Kind == MsgAppendReply || m.Kind == MsgPreVoteReply || m.Kind == MsgVoteReply
}

// Timestamp is a reading of a node's tick counter, which restarts with each boot.
type Timestamp struct {
	Boot uint64 `json:"b"`
	Tick uint64 `json:"t"`
}
