package wire

import (
	"hash/fnv"
	"time"

	"github.com/baobabshore/baobabshore/ids"
)

// Kind is the role of a member.
type Kind string

// The kinds of members that register with the control group.
const (
	KindEntry Kind = "entry"
	KindAgent Kind = "agent"
)

// Registration is what an entry or agent announces of itself.
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
	// Capacity is that of a worker, which runs sized tasks. Slots don't count then.
	Capacity Resources `json:"capacity,omitzero"`
	// Labels are those of a worker: what kind of machine it is, and its rack.
	Labels []string `json:"labels,omitempty"`
	// Weight is the relative size of an entry, 1 or more.
	Weight int `json:"weight,omitempty"`
	// Nonce is random for each process start. A repeated registration with the
	// same nonce returns the first incarnation.
	Nonce string `json:"nonce"`
}

// Member is a row of the registry.
type Member struct {
	Registration
	Incarnation ids.Incarnation `json:"inc"` // log index of the registration
	// Expired is the log index of the record that ended the incarnation, zero
	// while it lives. Expired rows stay until no open job could have used them.
	Expired ids.Version `json:"expired,omitempty"`
	// Draining members receive no new work.
	Draining bool `json:"draining,omitempty"`
}

// Live reports whether the incarnation has not been ended.
func (m Member) Live() bool { return m.Expired == 0 }

// RegisterReply answers control.register.
type RegisterReply struct {
	Incarnation ids.Incarnation `json:"inc"`
}

// Renew is the periodic message of a member. It renews the lease, asks for
// changes since Have, and reports Have as the version in force at the member.
type Renew struct {
	Incarnation ids.Incarnation `json:"i"`
	Have        ids.Version     `json:"v"`
	Draining    bool            `json:"d,omitempty"`
	// Group is GroupHash of the addresses that the member has of the control nodes.
	Group uint32 `json:"g,omitempty"`
}

// GroupHash identifies a list of addresses of control nodes, in any order.
func GroupHash(addrs []string) uint32 {
	sum := uint32(0)
	for _, a := range addrs {
		h := fnv.New32a()
		_, _ = h.Write([]byte(a)) // never fails
		sum += h.Sum32()
	}
	return sum
}

// RenewReply brings a member's view to Version.
type RenewReply struct {
	Version ids.Version `json:"-"`
	// Ahead is Version less Renew.Have, in place of Version on the wire, where
	// it is shorter. It is negative at a node that is behind the member.
	Ahead int64 `json:"n,omitempty"`
	// Leads is set by the leader, which refers members to other nodes.
	Leads bool `json:"l,omitempty"`
	// ConfirmedAge is how long before the reply a leader with a confirmed
	// quorum vouched for Version, in milliseconds.
	ConfirmedAge int64 `json:"a"`
	// Whole is set when Changes replaces the member's view altogether.
	Whole   bool    `json:"w,omitempty"`
	Changes Changes `json:"c,omitzero"`
	// Gone is set when the incarnation has been ended. The member must stop
	// new work and register again as a new incarnation.
	Gone bool `json:"g,omitempty"`
	// Control lists the addresses of the control nodes if they are others than
	// those that Renew.Group stands for.
	Control []string `json:"m,omitempty"`
}

// SetVersion sets the version for a member that holds have.
func (r *RenewReply) SetVersion(have, version ids.Version) {
	r.Version, r.Ahead = version, int64(version)-int64(have)
}

// Resolve restores Version in a reply to a member that holds have.
func (r *RenewReply) Resolve(have ids.Version) { r.Version = ids.Version(int64(have) + r.Ahead) }

// RenewIntervalOf returns the renewal interval of a kind of member.
func RenewIntervalOf(k Kind) time.Duration {
	if k == KindAgent {
		return AgentRenewInterval
	}
	return RenewInterval
}

// Changes is a part of the control state that differs from a member's view.
type Changes struct {
	Config    []Pair      `json:"cfg,omitempty"`
	ConfigVer uint64      `json:"cv,omitempty"` // configuration version after the changes, 0 if unchanged
	Removed   []string    `json:"del,omitempty"`
	Members   []Member    `json:"mem,omitempty"`
	Forgotten []uint64    `json:"fmem,omitempty"` // incarnations whose rows are dropped
	Assigned  []Assigned  `json:"job,omitempty"`  // takeovers for this member
	Disowned  []Ownership `json:"own,omitempty"`  // jobs this member no longer owns
}

// IsZero reports whether there is no change.
func (c Changes) IsZero() bool {
	return c.ConfigVer == 0 && len(c.Members) == 0 && len(c.Forgotten) == 0 &&
		len(c.Assigned) == 0 && len(c.Disowned) == 0
}

// Pair is one setting in flat form, for example teams.acme.quota = "8".
type Pair struct {
	Key   string `json:"k"`
	Value string `json:"v"`
}

// Ownership names a job at an epoch.
type Ownership struct {
	Job   ids.Job   `json:"job"`
	Epoch ids.Epoch `json:"epoch"`
}

// Assigned is a job whose ownership moved to the receiving entry.
type Assigned struct {
	Ownership
	Record JobRecord `json:"rec"`
}

// Timing of the membership protocol.
const (
	// RenewInterval is that of entries, which owe answers to callers.
	RenewInterval = time.Second
	// AgentRenewInterval keeps a control node with 176 members within its
	// budget of bytes. After one control node that doesn't answer, the view of an
	// agent at a learner is 2.85 s old, below StaleAfter.
	AgentRenewInterval = 1500 * time.Millisecond
	AgentLease         = 6 * time.Second
	EntryLease         = 5 * time.Second
	// StaleAfter is the age of the last confirmation above which a member
	// refuses new work. It is below the 4 s in which a configuration must be in
	// force, so a member that missed a change has stopped by then.
	StaleAfter = 3 * time.Second
	// SwitchAfter is the age of a confirmation above which a member asks
	// another control node.
	SwitchAfter = time.Second
)
