package consensus

import "math/rand/v2"

// The names of the defaults give the unit; DefaultWindow counts messages. With a
// tick of 50 ms the heartbeat interval is 100 ms, the election timeout 500 to
// 1,000 ms and the lease 400 ms. The other constants can't be configured. firstIndex
// and firstTerm are those of the snapshot with which a new group starts; pcgStream is
// the second half of the seed of the random generator.
const (
	DefaultHeartbeatTicks = 2
	// DefaultLearnerHeartbeatTicks is 400 ms with a tick of 50 ms. The last
	// confirmation of a learner is then at most two intervals and a round trip
	// old, which is less than the 1 s after which members switch to another node.
	DefaultLearnerHeartbeatTicks = 8
	DefaultElectionTicks         = 10
	// DefaultLeaseTicks is below the election timeout by two ticks: one for the
	// counting error and one for clock drift.
	DefaultLeaseTicks          = 8
	DefaultSnapshotTicks       = 40
	DefaultMaxMessageBytes     = 256 << 10
	DefaultMaxUncommittedBytes = 8 << 20
	DefaultWindow              = 16
	DefaultKeepEntries         = 1024
	DefaultKeepBytes           = 4 << 20
	DefaultCatchUpEntries      = 256
	minCampaignTicks           = 3 // long enough for a round trip and a synced write, which a vote takes
	// A node that has just started campaigns after minFirstElectionTicks to
	// minFirstElectionTicks + firstElectionJitterTicks, without a full election
	// timeout. If all nodes have started together there is no leader to wait for;
	// if there is a leader, the other nodes refuse the pre-vote.
	minFirstElectionTicks           = 2
	firstElectionJitterTicks        = 4
	campaignJitterTicks             = 8
	entryOverheadBytes              = 32
	firstIndex, firstTerm           = 1, 1
	pcgStream                uint64 = 0x9e3779b97f4a7c15
)

// Config holds the parameters and the recovered state of a Node. A parameter that
// is zero takes its default.
type Config struct {
	ID   ID
	Boot uint64 // boot count of this start
	Seed uint64 // seed of the randomized election timeout

	HeartbeatTicks uint64
	// LearnerHeartbeatTicks is the interval of heartbeats to learners. A learner
	// needs them only to know how recent its commit index is.
	LearnerHeartbeatTicks uint64
	// ElectionTicks is the shortest election timeout. The longest is twice it.
	ElectionTicks uint64
	// LeaseTicks is the time after which a leader without confirmation by a
	// quorum steps down. It must be below ElectionTicks.
	LeaseTicks uint64
	// SnapshotTicks is the time after which an unanswered snapshot is sent again.
	SnapshotTicks uint64
	// MaxMessageBytes limits the total size of the entries of a message. A single
	// entry may exceed it.
	MaxMessageBytes int
	// MaxUncommittedBytes limits the total size of the leader's uncommitted entries.
	MaxUncommittedBytes int
	// Window is the maximum number of unacknowledged messages with entries to a peer.
	Window int
	// KeepEntries is the number of entries that Compact keeps in memory, so
	// that a slightly lagging follower needs no snapshot. KeepBytes limits their total
	// size.
	KeepEntries uint64
	KeepBytes   int
	// CatchUpEntries is the maximum number of committed entries that a learner
	// may lack when it becomes a voter.
	CatchUpEntries uint64

	// HardState, Snapshot and Entries are the content of the log on disk. A node
	// of a new group starts from the result of Bootstrap. A node that joins an
	// existing group starts without a snapshot and waits for the leader.
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry // the entries after Snapshot
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.LearnerHeartbeatTicks, DefaultLearnerHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.LeaseTicks, DefaultLeaseTicks)
	setDefault(&c.SnapshotTicks, DefaultSnapshotTicks)
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	setDefault(&c.CatchUpEntries, DefaultCatchUpEntries)
	return c
}

func setDefault[T int | uint64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Bootstrap returns the first snapshot of a new group. Each of the initial voters
// must persist this same snapshot before it starts. data is the encoded initial
// state of the state machine.
func Bootstrap(g Group, data []byte) Snapshot {
	return Snapshot{Index: firstIndex, Term: firstTerm, Group: g, Data: data}
}

// New returns a node that starts as a follower with the state in cfg.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg.withDefaults(), now: 1, ignoredVotes: map[ID]IgnoreReason{}, yieldedTo: map[ID]bool{}}
	n.rng = rand.New(rand.NewPCG(cfg.Seed, pcgStream))
	n.term = cfg.HardState.Term
	n.vote = cfg.HardState.Vote
	n.commit = cfg.HardState.Commit
	n.log = newLog(cfg.Snapshot, cfg.Entries)
	if s := cfg.Snapshot; s != nil {
		n.snapshot = s
		n.groups.reset(s.Index, s.Group)
		n.commit = max(n.commit, s.Index)
		n.term = max(n.term, s.Term)
		n.applied = s.Index
	}
	n.commit = min(n.commit, n.log.last())
	n.applyGroupEntries(cfg.Entries)
	n.lastHardState = HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	n.electionDeadline = n.now + minFirstElectionTicks + uint64(n.rng.Int64N(firstElectionJitterTicks+1))
	return n
}
