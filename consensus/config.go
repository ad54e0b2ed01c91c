package consensus

import "math/rand/v2"

// Defaults in ticks and bytes. With a tick of 50 ms the heartbeat is 100 ms,
// the election timeout 500 to 1,000 ms and the lease 400 ms.
const (
	DefaultHeartbeatTicks = 2
	// DefaultLearnerHeartbeatTicks is 400 ms. A learner's confirmation is then at
	// most two intervals and a round trip old, below the 1 s at which members
	// switch to another node.
	DefaultLearnerHeartbeatTicks = 8
	DefaultElectionTicks         = 10
	// DefaultLeaseTicks is below the election timeout by one tick of counting
	// error and one tick of clock drift.
	DefaultLeaseTicks      = 8
	DefaultSnapshotTicks   = 40
	DefaultMaxMessageBytes = 256 << 10
	DefaultMaxUncommitted  = 8 << 20
	DefaultWindow          = 16
	DefaultKeepEntries     = 1024
	DefaultCatchUpEntries  = 256
	minRetryTicks          = 3 // a vote takes a round trip and a synced write
	// A node that has just started campaigns after startTicks to startTicks +
	// startSpreadTicks. When all nodes have started together there is no leader to
	// wait for, and where there is one the others refuse the pre-vote.
	startTicks                   = 2
	startSpreadTicks             = 4
	retrySpreadTicks             = 8
	entryOverheadBytes           = 32
	firstIndex, firstTerm        = 1, 1
	seedStream            uint64 = 0x9e3779b97f4a7c15
)

// Config holds what a Node starts from. A numeric field that is zero takes its
// default.
type Config struct {
	ID   ID
	Boot uint64 // boot count of this start
	Seed uint64 // of the randomised election timeout

	HeartbeatTicks uint64
	// LearnerHeartbeatTicks is the interval of heartbeats to learners, which
	// need them only to know how recent their commit index is.
	LearnerHeartbeatTicks uint64
	// ElectionTicks is the shortest election timeout. The longest is twice it.
	ElectionTicks uint64
	// LeaseTicks is how long a leader leads without confirmation by a quorum.
	// It must be below ElectionTicks.
	LeaseTicks uint64
	// SnapshotTicks is the time after which an unanswered snapshot is sent again.
	SnapshotTicks uint64
	// MaxMessageBytes bounds the entries of a message. A single entry may exceed it.
	MaxMessageBytes int
	// MaxUncommittedBytes bounds the entries that await their commit at the leader.
	MaxUncommittedBytes int
	// Window is the number of unanswered messages with entries for each peer.
	Window int
	// KeepEntries is the number of entries that Compact keeps in memory, so
	// that a slightly lagging follower needs no snapshot.
	KeepEntries uint64
	// CatchUpEntries is how far a learner may lag when it becomes a voter.
	CatchUpEntries uint64

	// HardState, Snapshot and Entries are what the log on disk holds. A node of
	// a new group starts from the result of Bootstrap. A node that joins an
	// existing group starts without a snapshot and waits for the leader.
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry // those after Snapshot
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.LearnerHeartbeatTicks, DefaultLearnerHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.LeaseTicks, DefaultLeaseTicks)
	setDefault(&c.SnapshotTicks, DefaultSnapshotTicks)
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommitted)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.CatchUpEntries, DefaultCatchUpEntries)
	return c
}

func setDefault[T int | uint64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Bootstrap returns the first snapshot of a new group. Each of its first voters
// persists the same one before it starts. data is the empty state machine.
func Bootstrap(g Group, data []byte) Snapshot {
	return Snapshot{Index: firstIndex, Term: firstTerm, Group: g, Data: data}
}

// New returns a follower with the given state.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg.withDefaults(), now: 1}
	n.rng = rand.New(rand.NewPCG(cfg.Seed, seedStream))
	n.term = cfg.HardState.Term
	n.vote = cfg.HardState.Vote
	n.commit = cfg.HardState.Commit
	n.log = newLog(cfg.Snapshot, cfg.Entries)
	if s := cfg.Snapshot; s != nil {
		n.snap = s
		n.groups.reset(s.Index, s.Group)
		n.commit = max(n.commit, s.Index)
		n.term = max(n.term, s.Term)
		n.applied = s.Index
	}
	n.commit = min(n.commit, n.log.last())
	n.noteGroups(cfg.Entries)
	n.saved = HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	n.deadline = n.now + startTicks + uint64(n.rng.Int64N(startSpreadTicks+1))
	return n
}
