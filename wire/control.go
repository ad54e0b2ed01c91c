package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// JobState is the state of a job record.
type JobState string

// The states of a job record.
const (
	JobOpen     JobState = "open"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
	JobCanceled JobState = "canceled"
)

// JobRecord is the durable record of a job. It holds no task bodies.
type JobRecord struct {
	Job      ids.Job         `json:"job"`
	Epoch    ids.Epoch       `json:"epoch"`
	Owner    ids.Incarnation `json:"owner"`
	Team     ids.Team        `json:"team"`
	Service  ids.Service     `json:"svc"`
	Key      string          `json:"key,omitempty"`
	BodyHash string          `json:"hash,omitempty"`
	Tasks    int             `json:"n"`
	State    JobState        `json:"state"`
	Verdict  verdict.Verdict `json:"verdict,omitempty"`
	Reason   verdict.Reason  `json:"reason,omitempty"`
	Admitted int64           `json:"at"`            // Unix milliseconds
	Deadline int64           `json:"dl,omitempty"`  // Unix milliseconds, zero if the caller set none
	Ended    int64           `json:"end,omitempty"` // Unix milliseconds, zero while open
}

// BodyID identifies the body of a job by 16 bytes. It is zero without a body hash.
type BodyID [16]byte

// BodyIDOf returns the short form of a body hash.
func BodyIDOf(bodyHash string) BodyID {
	if bodyHash == "" {
		return BodyID{}
	}
	sum := sha256.Sum256([]byte(bodyHash))
	return BodyID(sum[:16])
}

// HasBody reports whether a job has the body with the given hash. The record of
// an ended job may hold the BodyID of the hash in hexadecimal instead of it.
func (r JobRecord) HasBody(bodyHash string) bool {
	if r.BodyHash == bodyHash {
		return true
	}
	id := BodyIDOf(bodyHash)
	return r.State != JobOpen && r.BodyHash == hex.EncodeToString(id[:])
}

// AdmitItem asks for the record of one job.
type AdmitItem struct {
	Owner    ids.Incarnation `json:"owner"`
	Team     ids.Team        `json:"team"`
	Service  ids.Service     `json:"svc"`
	Key      string          `json:"key,omitempty"`
	KeyTime  int64           `json:"kt,omitempty"` // Unix milliseconds, zero if the caller sent none
	BodyHash string          `json:"hash,omitempty"`
	Tasks    int             `json:"n"`
	Deadline int64           `json:"dl,omitempty"` // Unix milliseconds
	// Nonce names this attempt. A repeated attempt with the same nonce returns
	// the first result, so a lost reply does not look like a duplicate.
	Nonce string `json:"nonce"`
}

// Admit is a batch of admissions.
type Admit struct {
	Items []AdmitItem `json:"items"`
}

// AdmitResult answers one item. Exactly one of Admitted, Duplicate and Err is set.
type AdmitResult struct {
	Admitted  *Ownership     `json:"ok,omitempty"`
	Duplicate *JobRecord     `json:"dup,omitempty"` // the first submission's record
	Err       *verdict.Error `json:"err,omitempty"`
}

// AdmitReply answers Admit, one result for each item in order.
type AdmitReply struct {
	Results []AdmitResult `json:"results"`
}

// CompleteItem records the end of a job.
type CompleteItem struct {
	Ownership
	State   JobState        `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
}

// Complete is a batch of job ends. A repeated item has no further effect. An
// item with an old epoch is ignored.
type Complete struct {
	Items []CompleteItem `json:"items"`
}

// Empty is the result of methods that return nothing.
type Empty struct{}

// JobQuery asks any control node for the record of a job.
type JobQuery struct {
	Job ids.Job `json:"job"`
	// Team and Key name the job when Job is zero.
	Team ids.Team `json:"team,omitempty"`
	Key  string   `json:"key,omitempty"`
}

// Leave ends an incarnation at its own wish.
type Leave struct {
	Incarnation ids.Incarnation `json:"inc"`
}

// Apply changes the configuration. Pairs is the whole new configuration.
type Apply struct {
	// Expect is the configuration version that the change was made from.
	// AnyVersion skips the check.
	Expect    uint64 `json:"expect"`
	CommandID string `json:"id"`
	Pairs     []Pair `json:"pairs"`
	By        string `json:"by,omitempty"` // who applied it, for the conflict message
	// Revision is the operator's own number of the configuration, zero if there is
	// none. One that is not above the revision in force is acknowledged and
	// changes nothing, and Expect and CommandID don't count.
	Revision uint64 `json:"rev,omitempty"`
	// Source is the text that the operator sent, kept for reads.
	Source []byte `json:"src,omitempty"`
}

// AnyVersion in Apply.Expect accepts whatever version is current.
const AnyVersion = ^uint64(0)

// ApplyReply answers Apply. A repeated command gets the first reply.
type ApplyReply struct {
	ConfigVer uint64         `json:"ver"`
	Index     ids.Version    `json:"index"` // log index from which members hold it
	Repeated  bool           `json:"repeated,omitempty"`
	Err       *verdict.Error `json:"err,omitempty"`    // version-conflict and the like
	Winner    string         `json:"winner,omitempty"` // command id that made the current version
	Revision  uint64         `json:"rev,omitempty"`    // in force after the command
}

// Get asks for the configuration in force.
type Get struct {
	// Confirmed asks for a configuration no older than the arrival of the call.
	// Without it, one of the last StaleAfter may be returned.
	Confirmed bool `json:"confirmed,omitempty"`
}

// GetReply is the configuration with the origin of each value.
type GetReply struct {
	ConfigVer uint64       `json:"ver"`
	CommandID string       `json:"id"`
	Pairs     []SourcePair `json:"pairs"`
	Revision  uint64       `json:"rev,omitempty"`
	Source    []byte       `json:"src,omitempty"`
}

// SourcePair is a setting with the command that last changed it.
type SourcePair struct {
	Pair
	ConfigVer uint64 `json:"ver"`
	CommandID string `json:"id"`
	By        string `json:"by,omitempty"`
}

// Status asks a control node for the state of the group.
type Status struct {
	Index ids.Version `json:"index,omitempty"` // count members that hold at least this version
}

// StatusReply is the state of the group as one node sees it.
type StatusReply struct {
	Node      ids.Node       `json:"node"`
	Leader    ids.Node       `json:"leader"`
	Term      uint64         `json:"term"`
	Commit    ids.Version    `json:"commit"`
	ConfigVer uint64         `json:"ver"`
	Nodes     []ControlNode  `json:"nodes"`
	Members   []MemberStatus `json:"members"`
	Holding   int            `json:"holding"` // live members that hold Status.Index
	Live      int            `json:"live"`
	OpenJobs  int            `json:"open_jobs"`
}

// ControlNode is a node of the control group.
type ControlNode struct {
	Node     ids.Node    `json:"node"`
	Addr     string      `json:"addr"`
	Instance string      `json:"instance"` // id of its data folder
	Voter    bool        `json:"voter"`
	Match    ids.Version `json:"match"` // known only at the leader
}

// MemberStatus is a member with the version it last reported.
type MemberStatus struct {
	Member
	Have  ids.Version `json:"have"`
	AgeMS int64       `json:"age_ms"` // since its last renewal
}

// Replace exchanges a control node whose disk or VM is lost.
type Replace struct {
	Old      ids.Node `json:"old"` // empty to add a learner only
	Node     ids.Node `json:"node"`
	Addr     string   `json:"addr"`
	Instance string   `json:"instance"`
}

// Join asks for the place of a lost control node: that of the same name whose
// folder was emptied, or one that has not answered for long.
type Join struct {
	Node     ids.Node `json:"node"`
	Addr     string   `json:"addr"`
	Instance string   `json:"instance"`
}

// DrainNode asks a control leader to mark the live incarnation of a member as draining.
type DrainNode struct {
	Node  ids.Node `json:"node"`
	Drain bool     `json:"drain"`
}

// LeaderHint is the data of a not-leader refusal.
type LeaderHint struct {
	Node ids.Node `json:"node"`
	Addr string   `json:"addr"`
}

// Limits of requests, shared by all parts.
const (
	MaxTasksPerJob = 10_000
	MaxKeyBytes    = 200
	MaxBodyBytes   = 4 << 20
	// MaxMessageBytes bounds one message between processes. It leaves room for
	// a body of MaxBodyBytes in base64.
	MaxMessageBytes = 16 << 20
	// DefaultDeadline applies to a request that names none.
	DefaultDeadline = 30 * time.Second
)
