package wire

import (
	"hash/fnv"
	"time"

	"github.com/baobabshore/baobabshore/ids"
)

// Kind is the kind of a member.
type Kind string

// The kinds of members that register with the control group.
const (
	KindEntry Kind = "entry"
	KindAgent Kind = "agent"
)

// Registration describes an entry or agent that registers with the control group.
type Registration struct {
	Kind   Kind       `json:"kind"`
	Node   ids.Node   `json:"node"`
	Addr   string     `json:"addr"` // host:port on which peers reach it
	Region ids.Region `json:"region,omitempty"`
	Domain ids.Domain `json:"domain"`
	// Service, Slots and Connections describe the upstream beside an agent.
	Service     ids.Service `json:"service,omitempty"`
	Slots       int         `json:"slots,omitempty"`
	Connections int         `json:"connections,omitempty"`
	// Capacity is the capacity of a worker, which runs sized tasks. Slots is ignored
	// if it is set.
	Capacity Resources `json:"capacity,omitzero"`
	// Labels are the labels of a worker, such as the type of its machine and its rack.
	Labels []string `json:"labels,omitempty"`
	// Weight is the relative size of an entry, 1 or more.
	Weight int `json:"weight,omitempty"`
	// Nonce is random for each process start. A repeated registration with the
	// same nonce returns the first incarnation.
	Nonce string `json:"nonce"`
	// Previous is the last incarnation of the same process, zero for none. The new one
	// keeps the operators' draining mark.
	Previous ids.Incarnation `json:"previous,omitempty"`
}

// Member is an entry or agent in the registry of the control group.
type Member struct {
	Registration
	Incarnation ids.Incarnation `json:"inc"` // log index of the registration
	// Expired is the log index of the record that ended the incarnation, zero while
	// it is live. The member is kept until no open job could have used it.
	Expired ids.Version `json:"expired,omitempty"`
	// Draining members receive no new work.
	Draining bool `json:"draining,omitempty"`
}

// Live reports whether the incarnation has not ended.
func (m Member) Live() bool { return m.Expired == 0 }

// RegisterReply is the reply to Registration.
type RegisterReply struct {
	Incarnation ids.Incarnation `json:"inc"`
}

// Renew is the message that a member sends periodically. It renews the lease, requests
// the changes since Have, and reports Have as the version in force at the member.
type Renew struct {
	Incarnation ids.Incarnation `json:"i"`
	Have        ids.Version     `json:"v"`
	Draining    bool            `json:"d,omitempty"`
	// ControlGroupHash is the GroupHash of the control nodes' addresses that the member knows.
	ControlGroupHash uint32 `json:"g,omitempty"`
}

// GroupHash returns a hash of the control nodes' addresses that doesn't depend on their
// order.
func GroupHash(addrs []string) uint32 {
	sum := uint32(0)
	for _, a := range addrs {
		h := fnv.New32a()
		_, _ = h.Write([]byte(a)) // a hash never returns an error
		sum += h.Sum32()
	}
	return sum
}

// RenewReply updates a member's view to Version.
type RenewReply struct {
	Version ids.Version `json:"-"`
	// VersionDelta is Version minus Renew.Have. It is encoded in place of Version, since it
	// is shorter. It is negative in a reply of a node that is behind the member.
	VersionDelta int64 `json:"n,omitempty"`
	// FromLeader is set if the node is the leader. Members then switch to another node.
	FromLeader bool `json:"l,omitempty"`
	// ConfirmedAgeMS is the time since a leader with a confirmed quorum confirmed
	// Version.
	ConfirmedAgeMS int64 `json:"a"`
	// ReplacesView is set if Changes replaces the member's whole view.
	ReplacesView bool    `json:"w,omitempty"`
	Changes      Changes `json:"c,omitzero"`
	// Gone is set if the incarnation has ended. The member must stop new work and
	// register again as a new incarnation.
	Gone bool `json:"g,omitempty"`
	// Control lists the addresses of the control nodes if their GroupHash differs
	// from Renew.Group.
	Control []string `json:"m,omitempty"`
	// Leader is set for some seconds after the node has begun to follow another leader.
	Leader LeaderChange `json:"f,omitzero"`
}

// LeaderChange names the node that became leader in a term.
type LeaderChange struct {
	Addr string `json:"a"` // host:port
	Term uint64 `json:"t"`
}

// SetVersion sets Version and VersionDelta in a reply to a member that holds version have.
func (r *RenewReply) SetVersion(have, version ids.Version) {
	r.Version, r.VersionDelta = version, int64(version)-int64(have)
}

// Resolve sets Version from VersionDelta in a reply to a member that holds version have.
func (r *RenewReply) Resolve(have ids.Version) { r.Version = ids.Version(int64(have) + r.VersionDelta) }

// RenewIntervalOf returns the renewal interval of a kind of member.
func RenewIntervalOf(k Kind) time.Duration {
	if k == KindAgent {
		return AgentRenewInterval
	}
	return RenewInterval
}

// Changes is the part of the control state that differs from a member's view.
type Changes struct {
	Config         Pairs       `json:"cfg,omitempty"`
	ConfigVer      uint64      `json:"cv,omitempty"` // configuration version after the changes, 0 if unchanged
	RemovedKeys    Keys        `json:"del,omitempty"`
	Members        []Member    `json:"mem,omitempty"`
	RemovedMembers []uint64    `json:"fmem,omitempty"` // incarnations that are removed from the registry
	Assigned       []Assigned  `json:"job,omitempty"`  // jobs whose ownership moved to this member
	LostJobs       []Ownership `json:"own,omitempty"`  // jobs that this member no longer owns
	// Domains lists the failure domains whose drain has begun or ended. An agent gets
	// that of its own domain only.
	Domains []DomainDrain `json:"dom,omitempty"`
}

// IsZero reports whether there is no change.
func (c Changes) IsZero() bool {
	return c.ConfigVer == 0 && len(c.Members) == 0 && len(c.RemovedMembers) == 0 &&
		len(c.Assigned) == 0 && len(c.LostJobs) == 0 && len(c.Domains) == 0
}

// DomainDrain is the operators' latest order about a failure domain.
type DomainDrain struct {
	Domain  ids.Domain  `json:"domain"`
	Drained bool        `json:"drained"`
	Index   ids.Version `json:"index"` // log index of the order
	At      int64       `json:"at"`    // time of the order in Unix milliseconds
}

// Pair is one setting with its full path as the key, for example teams.acme.quota = "8".
type Pair struct {
	Key   string `json:"k"`
	Value string `json:"v"`
}

// Ownership identifies the ownership of a job by the job and its epoch.
type Ownership struct {
	Job   ids.Job   `json:"job"`
	Epoch ids.Epoch `json:"epoch"`
}

// Assigned is a job whose ownership moved to the receiving entry.
type Assigned struct {
	Ownership
	Record JobRecord `json:"rec"`
}

// Intervals and limits of the membership protocol.
const (
	// RenewInterval is the renewal interval of entries. It is shorter than that of
	// agents, since callers wait for answers of entries.
	RenewInterval = time.Second
	// AgentRenewInterval keeps the traffic of a control node with 176 members within
	// its limit. If one control node doesn't answer, the view of an agent at a learner
	// is at most 2.85 s old, which is below StaleAfter.
	AgentRenewInterval = 1500 * time.Millisecond
	AgentLease         = 6 * time.Second
	EntryLease         = 5 * time.Second
	// StaleAfter is the age of the last confirmation above which a member refuses new
	// work. It is below the 4 s within which a configuration change must be in force,
	// so a member that missed a change refuses new work by then.
	StaleAfter = 3 * time.Second
	// SwitchNodeAfter is the age of the last confirmation above which a member switches to
	// another control node.
	SwitchNodeAfter = time.Second
)
