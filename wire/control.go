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

// JobRecord is the durable record of a job. It doesn't contain the task bodies.
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
	EndedMS  int64           `json:"end,omitempty"` // Unix milliseconds, zero while open
}

// BodyID identifies the body of a job by a hash of 16 bytes. It is zero if the job has no
// body hash.
type BodyID [16]byte

// BodyIDOf returns the BodyID for a body hash.
func BodyIDOf(bodyHash string) BodyID {
	if bodyHash == "" {
		return BodyID{}
	}
	sum := sha256.Sum256([]byte(bodyHash))
	return BodyID(sum[:16])
}

// HasBody reports whether the job's body has the given hash. The record of an ended
// job may hold the BodyID in hexadecimal in place of the body hash.
func (r JobRecord) HasBody(bodyHash string) bool {
	if r.BodyHash == bodyHash {
		return true
	}
	id := BodyIDOf(bodyHash)
	return r.State != JobOpen && r.BodyHash == hex.EncodeToString(id[:])
}

// AdmitItem requests the creation of one job's record.
type AdmitItem struct {
	Owner    ids.Incarnation `json:"owner"`
	Team     ids.Team        `json:"team"`
	Service  ids.Service     `json:"svc"`
	Key      string          `json:"key,omitempty"`
	KeyTime  int64           `json:"kt,omitempty"` // creation time of the key in Unix milliseconds, zero if the caller sent none
	BodyHash string          `json:"hash,omitempty"`
	Tasks    int             `json:"n"`
	Deadline int64           `json:"dl,omitempty"` // Unix milliseconds
	// Nonce identifies this admission. A repeated request with the same nonce gets
	// the first result; without it, a retry after a lost reply would be reported as
	// a duplicate.
	Nonce string `json:"nonce"`
}

// Admit is a batch of admissions.
type Admit struct {
	Items []AdmitItem `json:"items"`
}

// AdmitResult is the result for one item. Exactly one of Admitted, Duplicate and Err is
// set.
type AdmitResult struct {
	Admitted  *Ownership     `json:"ok,omitempty"`
	Duplicate *JobRecord     `json:"dup,omitempty"` // the first submission's record
	Err       *verdict.Error `json:"err,omitempty"`
}

// AdmitReply is the reply to Admit, with one result for each item in order.
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

// Complete is a batch of job ends. A repeated item has no further effect, and an item
// with an outdated epoch is ignored.
type Complete struct {
	Items []CompleteItem `json:"items"`
}

// Empty is the parameter or result of methods that have none.
type Empty struct{}

// JobQuery asks any control node for the record of a job.
type JobQuery struct {
	Job ids.Job `json:"job"`
	// Team and Key identify the job when Job is zero.
	Team ids.Team `json:"team,omitempty"`
	Key  string   `json:"key,omitempty"`
}

// Leave ends the incarnation of a member at the member's own request.
type Leave struct {
	Incarnation ids.Incarnation `json:"inc"`
}

// Apply replaces the configuration. Pairs is the whole new configuration.
type Apply struct {
	// Expect is the configuration version that the change is based on. The change is
	// refused if another version is in force. AnyVersion skips the check.
	Expect    uint64 `json:"expect"`
	CommandID string `json:"id"`
	Pairs     []Pair `json:"pairs"`
	By        string `json:"by,omitempty"` // who applied it, for the conflict message
	// Revision is the operator's own number for the configuration, zero if there is
	// none. A command whose revision is not above the one in force is acknowledged
	// without a change; Expect and CommandID are ignored then.
	Revision uint64 `json:"rev,omitempty"`
	// Source is the text that the operator sent. It is stored and returned by Get.
	Source []byte `json:"src,omitempty"`
}

// ConfigID identifies the content of a configuration within a control group.
type ConfigID struct {
	ConfigVer  uint64 `json:"ver"`
	SourceHash uint64 `json:"hash,omitempty"` // xxHash64 of the source text
}

// Patch replaces the configuration in force by one with a higher revision of the
// operator. It holds only what differs from Base, so that its size does not depend on
// that of the configuration.
type Patch struct {
	Revision uint64 `json:"rev"`
	// Base is the configuration from which the differences lead to the new one. The
	// patch is refused with reason version-conflict if another one is in force.
	Base ConfigID `json:"base"`
	// SourceHash is the xxHash64 of the new source text.
	SourceHash uint64 `json:"hash"`
	// Changes is the result of PatchChanges.Pack. It is packed once, by the node that makes
	// the patch.
	Changes []byte `json:"c"`
}

// Same reports whether two patches lead to the same configuration from the same base.
func (p Patch) Same(other Patch) bool {
	return p.Revision == other.Revision && p.Base == other.Base && p.SourceHash == other.SourceHash
}

// AnyVersion in Apply.Expect accepts any current version.
const AnyVersion = ^uint64(0)

// ApplyReply is the reply to Apply. A repeated command gets the first reply.
type ApplyReply struct {
	ConfigVer        uint64         `json:"ver"`
	Index            ids.Version    `json:"index"` // members at this version or a later one hold the change
	Repeated         bool           `json:"repeated,omitempty"`
	Err              *verdict.Error `json:"err,omitempty"`    // for example version-conflict
	CurrentCommandID string         `json:"winner,omitempty"` // id of the command that made the current version
	Revision         uint64         `json:"rev,omitempty"`    // revision in force after the command
}

// PatchChanges are the differences between two configurations. Set and Removed are in
// order of their keys.
type PatchChanges struct {
	Set     []Pair
	Removed []string
	// Source holds the differences between the source texts, as delta.Make returns them.
	Source []byte
}

// Confirm asks the leader for the configuration in force at the arrival of the call or
// later.
type Confirm struct {
	// WithSource requests the source text, which a node without current tables needs.
	WithSource bool `json:"src,omitempty"`
}

// ConfirmReply identifies the configuration in force.
type ConfirmReply struct {
	ConfigID
	Revision uint64      `json:"rev,omitempty"`
	Index    ids.Version `json:"index"` // tables up to this index hold the configuration
	Source   Text        `json:"src,omitempty"`
}

// Get asks for the configuration in force. The reply may be up to StaleAfter old.
type Get struct{}

// GetReply is the configuration in force with the command that last changed each value.
type GetReply struct {
	ConfigVer uint64       `json:"ver"`
	CommandID string       `json:"id"`
	Pairs     []SourcePair `json:"pairs"`
	Revision  uint64       `json:"rev,omitempty"`
	Source    []byte       `json:"src,omitempty"`
}

// SourcePair is a setting with the version and command that last changed it.
type SourcePair struct {
	Pair
	ConfigVer uint64 `json:"ver"`
	CommandID string `json:"id"`
	By        string `json:"by,omitempty"`
}

// Status asks a control node for the state of the control group.
type Status struct {
	Index ids.Version `json:"index,omitempty"` // the reply counts the members that hold at least this version
}

// StatusReply is the state of the control group as seen by one node.
type StatusReply struct {
	Node      ids.Node       `json:"node"`
	Leader    ids.Node       `json:"leader"`
	Term      uint64         `json:"term"`
	Commit    ids.Version    `json:"commit"`
	ConfigVer uint64         `json:"ver"`
	Nodes     []ControlNode  `json:"nodes"`
	Members   []MemberStatus `json:"members"`
	Holding   int            `json:"holding"` // number of live members that hold Status.Index
	Live      int            `json:"live"`
	OpenJobs  int            `json:"open_jobs"`
	// Domains lists the failure domains that operators have drained at some time.
	Domains []DomainDrain `json:"domains,omitempty"`
}

// ControlNode is a node of the control group.
type ControlNode struct {
	Node     ids.Node    `json:"node"`
	Addr     string      `json:"addr"`
	Instance string      `json:"instance"` // id of the node's data folder
	Voter    bool        `json:"voter"`
	Match    ids.Version `json:"match"` // known only at the leader
}

// MemberStatus is a member with the version that it last reported.
type MemberStatus struct {
	Member
	Have  ids.Version `json:"have"`
	AgeMS int64       `json:"age_ms"` // time since the last renewal
}

// Replace exchanges a control node whose disk or VM is lost.
type Replace struct {
	Old      ids.Node `json:"old"` // empty to add a learner only
	Node     ids.Node `json:"node"`
	Addr     string   `json:"addr"`
	Instance string   `json:"instance"`
}

// Join requests to add a control node to the group, or to add it again. The group then
// makes it a voter if it has too few, or if one is lost.
type Join struct {
	Node     ids.Node   `json:"node"`
	Addr     string     `json:"addr"`
	Instance string     `json:"instance"`
	Domain   ids.Domain `json:"domain,omitempty"`
	// Observer marks a node that must not vote, because its log does not survive a
	// restart.
	Observer bool `json:"observer,omitempty"`
}

// DrainNode asks the leader of the control group to set or clear the draining mark of a
// member's live incarnation.
type DrainNode struct {
	Node  ids.Node `json:"node"`
	Drain bool     `json:"drain"`
}

// DrainDomain asks the leader of the control group to drain a failure domain, or to end
// its drain. No agent of a drained domain starts a task.
type DrainDomain struct {
	Domain ids.Domain `json:"domain"`
	Drain  bool       `json:"drain"`
	// Expect is the DomainDrain.Index that the order follows, zero if none is known. The
	// order is refused with reason version-conflict if another one is in force, so that a
	// copy that arrives late doesn't undo a later order.
	Expect ids.Version `json:"expect"`
}

// DrainDomainReply is the reply to DrainDomain.
type DrainDomainReply struct {
	InForce DomainDrain    `json:"in_force"`
	Err     *verdict.Error `json:"err,omitempty"` // nil if the order is in force
}

// LeaderHint names the leader in a refusal with reason not-leader.
type LeaderHint struct {
	Node ids.Node `json:"node"`
	Addr string   `json:"addr"`
}

// Limits of requests, used by all processes.
const (
	MaxTasksPerJob = 10_000
	MaxKeyBytes    = 200
	MaxBodyBytes   = 4 << 20
	// MaxMessageBytes bounds one message between processes. It leaves room for
	// a body of MaxBodyBytes in base64.
	MaxMessageBytes = 16 << 20
	// DefaultDeadline applies to a request without a deadline.
	DefaultDeadline = 30 * time.Second
)
