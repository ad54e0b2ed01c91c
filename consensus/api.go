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
// While a sync runs the driver goes on to call Tick, Step and Propose, so that
// the next sync covers all that has arrived meanwhile.
package consensus

// ID identifies a node of the group. It is the random id of the node's data
// folder, so a node whose disk was emptied is another node, whatever its name.
type ID string

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// EntryKind tells what Entry.Data holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota // data of the replicated state machine
	EntryEmpty                    // the first entry of a new leader
	EntryGroup                    // a Group in JSON
)

// Peer is a node of the group.
type Peer struct {
	ID    ID     `json:"id"`
	Name  string `json:"name"`
	Addr  string `json:"addr"` // host:port for messages between nodes
	Voter bool   `json:"voter"`
	// Boot is the highest boot count of the node that the group has recorded.
	// Votes of a lower boot count are not counted: its disk is an older copy.
	Boot uint64 `json:"boot"`
	// Leaving marks a node that leaves the group when the exchange ends.
	Leaving bool `json:"leaving,omitempty"`
}

// Group is the membership of the group. One change at a time is in progress.
type Group struct {
	Peers []Peer `json:"peers"`
	// Old holds the voters before the change while voters are being exchanged.
	// Elections and commits then need a majority of the new voters and one of
	// the old voters. It is empty at all other times.
	Old []ID `json:"old,omitempty"`
}

// HardState must be synced before messages that depend on it are sent. Commit
// may lag behind: a commit index alone is not worth a sync, since a restarted
// node learns it again from the leader.
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
	return r.HardState == nil && !r.Durable() && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.Dropped) == 0
}

// Durable reports whether entries or a snapshot have to be persisted.
func (r Ready) Durable() bool { return len(r.Entries) > 0 || r.Snapshot != nil }

// NeedsSync reports whether the caller has to write and sync before it sends.
func (r Ready) NeedsSync() bool { return r.HardState != nil || r.Durable() }

// Read is a read request that a quorum has confirmed.
type Read struct {
	ID    uint64
	Index uint64
}

// MessageKind is the type of a message between nodes.
type MessageKind uint8

// The kinds of messages.
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
	Kind     MessageKind `json:"k"`
	From     ID          `json:"f"`
	To       ID          `json:"o"`
	Term     uint64      `json:"t"`
	Boot     uint64      `json:"b,omitempty"` // boot count of the sender
	Index    uint64      `json:"i,omitempty"` // last log index of a candidate, or the index before Entries
	LogTerm  uint64      `json:"lt,omitempty"`
	Entries  []Entry     `json:"e,omitempty"`
	Commit   uint64      `json:"c,omitempty"`
	Reject   bool        `json:"r,omitempty"`
	Hint     uint64      `json:"h,omitempty"` // last index of a follower that rejects
	Seq      uint64      `json:"s,omitempty"` // round of heartbeats, for confirmed reads and the lease
	Snapshot *Snapshot   `json:"sn,omitempty"`
	// Stamp is the sender's clock in a MsgAppendReply. In a MsgAppend it is the
	// last such clock of the receiver that the leader knew when the latest
	// confirmed round of heartbeats began. The receiver thus learns a tick of its
	// own clock after which the leader was confirmed, however slow the messages.
	Stamp *Stamp `json:"st,omitempty"`
	// Group and GroupIndex are the candidate's latest membership record. A
	// voter that missed the record which added the candidate judges it by them.
	Group      *Group `json:"g,omitempty"`
	GroupIndex uint64 `json:"gi,omitempty"`
}

// Stamp is a reading of a node's tick counter, which restarts with each boot.
type Stamp struct {
	Boot uint64 `json:"b"`
	Tick uint64 `json:"t"`
}
