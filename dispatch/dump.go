package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// Messages counts messages to and from agents. The unit is one start, recall,
// answer and so on; Envelopes counts the messages on the wire that carry them.
type Messages struct {
	Envelopes uint64 `json:"envelopes"`
	Starts    uint64 `json:"starts"`
	Answers   uint64 `json:"answers"`
	Recalls   uint64 `json:"recalls"`
	Resends   uint64 `json:"resends"`
	Claims    uint64 `json:"claims"`
	Retries   uint64 `json:"retries"`
	Hedges    uint64 `json:"hedges"`
	// The following counters count wasted messages by cause.
	WastedNoCredit  uint64 `json:"wasted_no_credit"`
	WastedRefused   uint64 `json:"wasted_refused"`
	WastedRecalled  uint64 `json:"wasted_recalled"`
	WastedHedge     uint64 `json:"wasted_hedge"`
	WastedCanceled  uint64 `json:"wasted_canceled"`
	WastedUnmatched uint64 `json:"wasted_unmatched"`
}

// Sent returns the number of starts, answers, recalls and resends.
func (m Messages) Sent() uint64 { return m.Starts + m.Answers + m.Recalls + m.Resends }

// Wasted returns the number of messages that did not contribute to an answer. A
// refused, recalled or abandoned start wastes the start and its answer.
func (m Messages) Wasted() uint64 {
	pairs := m.WastedNoCredit + m.WastedRefused + m.WastedRecalled + m.WastedHedge + m.WastedCanceled
	return 2*pairs + m.Recalls + m.Resends + m.WastedUnmatched
}

// Useful returns the number of messages that contributed to an answer.
func (m Messages) Useful() uint64 { return m.Sent() - min(m.Wasted(), m.Sent()) }

// Messages returns the counts since New.
func (c *Core) Messages() Messages { return c.messageCounts }

// Decision is a recent decision with its reason.
type Decision struct {
	At       time.Duration   `json:"at"`
	Kind     string          `json:"kind"`
	Upstream ids.Incarnation `json:"upstream,omitempty"`
	Key      ids.TaskKey     `json:"key"`
	Reason   string          `json:"reason,omitempty"`
}

// decisionRingSize is the number of decisions kept for dumps.
const decisionRingSize = 256

// decisionRing is a ring buffer of the most recent decisions.
type decisionRing struct {
	items [decisionRingSize]Decision
	next  int
	full  bool
}

// recordDecision adds a decision to the ring.
func (c *Core) recordDecision(now time.Duration, kind string, up ids.Incarnation, key ids.TaskKey, reason string) {
	r := &c.recentDecisions
	r.items[r.next] = Decision{At: now, Kind: kind, Upstream: up, Key: key, Reason: reason}
	r.next++
	if r.next == decisionRingSize {
		r.next, r.full = 0, true
	}
}

// list returns the decisions, oldest first.
func (r *decisionRing) list() []Decision {
	var out []Decision
	if r.full {
		out = append(out, r.items[r.next:]...)
	}
	return append(out, r.items[:r.next]...)
}

// UpstreamDump is the dumped state of an upstream.
type UpstreamDump struct {
	Incarnation ids.Incarnation `json:"incarnation"`
	Node        ids.Node        `json:"node"`
	Service     ids.Service     `json:"service"`
	Health      Health          `json:"health"`
	Connected   bool            `json:"connected"`
	Gone        bool            `json:"gone,omitempty"`
	Draining    bool            `json:"draining,omitempty"`
	Down        bool            `json:"down,omitempty"`
	Credit      int             `json:"credit"`
	Held        int             `json:"held"`
	Others      int             `json:"others"`
	// Free is what the known tasks leave of a worker, negative where tasks wait.
	Free     wire.Resources `json:"free,omitzero"`
	Slowness float64        `json:"slowness"`
	FailRate float64        `json:"fail_rate"`
}

// ServiceDump is the dumped state of a service.
type ServiceDump struct {
	Name     ids.Service `json:"name"`
	Waiting  int         `json:"waiting"`
	Work     float64     `json:"work_s"`
	Capacity float64     `json:"capacity"`
}

// JobDump is the dumped state of an open job, single request or batch.
type JobDump struct {
	Job        ids.Job     `json:"job,omitempty"`
	Request    ids.TaskKey `json:"request"`
	Epoch      ids.Epoch   `json:"epoch,omitempty"`
	Team       ids.Team    `json:"team"`
	Tasks      int         `json:"tasks"`
	Done       int         `json:"done"`
	Waiting    int         `json:"waiting"`
	Sent       int         `json:"sent"`
	NeedBodies bool        `json:"need_bodies,omitempty"`
}

// Dump holds the state of a core and its recent decisions.
type Dump struct {
	Current   bool           `json:"current"`
	Services  []ServiceDump  `json:"services"`
	Upstreams []UpstreamDump `json:"upstreams"`
	Jobs      []JobDump      `json:"jobs"`
	Messages  Messages       `json:"messages"`
	Retry     float64        `json:"retry_tokens"`
	Recent    []Decision     `json:"recent"`
}

// Dump returns a copy of the core's state.
func (c *Core) Dump() Dump {
	d := Dump{Current: c.viewCurrent, Messages: c.messageCounts, Retry: c.retryTokens, Recent: c.recentDecisions.list()}
	for _, s := range c.sortedServices {
		d.Services = append(d.Services, ServiceDump{
			Name: s.name, Waiting: s.teamQueues.waitingTasks, Work: s.taskWork.mean, Capacity: s.capacity(),
		})
	}
	for _, u := range c.sortedUpstreams {
		d.Upstreams = append(d.Upstreams, u.dump())
	}
	for _, j := range c.sortedJobs() {
		d.Jobs = append(d.Jobs, j.dump())
	}
	return d
}

// dump copies the state of an upstream.
func (u *upstream) dump() UpstreamDump {
	d := UpstreamDump{
		Incarnation: u.incarnation, Node: u.member.Node, Service: u.svc.name, Health: u.health,
		Connected: u.connected, Gone: u.lost, Draining: u.draining(), Down: u.reportedDown,
		Credit: u.credit, Held: u.outstanding, Others: u.otherEntryTasks, Slowness: u.slowness, FailRate: u.failureRate,
	}
	if u.isWorker() {
		d.Free = u.freeRoom()
	}
	return d
}

// dump copies the state of a job.
func (j *job) dump() JobDump {
	return JobDump{
		Job: j.id, Request: j.key, Epoch: j.epoch, Team: j.team, Tasks: len(j.tasks), Done: j.done,
		Waiting: j.waitingTasks, Sent: j.outstanding, NeedBodies: j.takeover != nil && j.takeover.needBodies,
	}
}
