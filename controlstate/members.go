package controlstate

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxMembers limits the registry: three times the members of the design scale,
	// for the rows of restarted members that open jobs still need.
	maxMembers = 10_000
	// maxWeight limits the cost of choosing an owner.
	maxWeight = 100
	// endedRetention is the minimum time that an expired row is kept, so that late
	// messages of the incarnation are answered from it.
	endedRetention = time.Minute
)

// memberRow is a row of the registry.
type memberRow struct {
	wire.Registration
	Incarnation   ids.Incarnation `json:"inc"`
	Expired       uint64          `json:"exp,omitempty"` // log index
	ExpiredAt     int64           `json:"at,omitempty"`  // Unix milliseconds
	SelfDrain     bool            `json:"sd,omitempty"`
	OperatorDrain bool            `json:"od,omitempty"`
}

func (r *memberRow) live() bool { return r.Expired == 0 }

func (r *memberRow) draining() bool { return r.SelfDrain || r.OperatorDrain }

func (r *memberRow) member() wire.Member {
	reg := r.Registration
	reg.Previous = 0 // of no use to other members
	return wire.Member{
		Registration: reg,
		Incarnation:  r.Incarnation,
		Expired:      ids.Version(r.Expired),
		Draining:     r.draining(),
	}
}

type memberTable struct {
	rows        map[ids.Incarnation]*memberRow
	nonces      map[string]ids.Incarnation
	order       []ids.Incarnation // in increasing order
	expiredRows int               // number of rows that are not live
}

func newMemberTable() memberTable {
	return memberTable{rows: map[ids.Incarnation]*memberRow{}, nonces: map[string]ids.Incarnation{}}
}

func (t *memberTable) add(r *memberRow) {
	t.rows[r.Incarnation] = r
	t.nonces[r.Nonce] = r.Incarnation
	t.order = append(t.order, r.Incarnation)
	if !r.live() {
		t.expiredRows++
	}
}

func (t *memberTable) all() []wire.Member {
	out := make([]wire.Member, 0, len(t.order))
	for _, inc := range t.order {
		out = append(out, t.rows[inc].member())
	}
	return out
}

// isLive reports whether an incarnation of the given kind is live.
func (t *memberTable) isLive(inc ids.Incarnation, k wire.Kind) bool {
	r, ok := t.rows[inc]
	return ok && r.live() && r.Kind == k
}

func (s *State) register(reg wire.Registration) Result {
	if inc, ok := s.members.nonces[reg.Nonce]; ok && reg.Nonce != "" {
		return Result{Incarnation: inc}
	}
	if e := s.checkRegistration(reg); e != nil {
		return Result{Err: e}
	}
	inc := ids.Incarnation(s.index)
	s.members.add(&memberRow{Registration: reg, Incarnation: inc, OperatorDrain: s.operatorsDrain(reg)})
	s.changes.member(s.index, inc)
	if reg.Kind == wire.KindEntry {
		s.reassignOrphanedJobs()
	}
	return Result{Incarnation: inc}
}

// operatorsDrain reports whether the operators drain the process that registers. Their
// mark lasts until the process ends, over all of its incarnations.
func (s *State) operatorsDrain(reg wire.Registration) bool {
	r, ok := s.members.rows[reg.Previous]
	return ok && r.Node == reg.Node && r.OperatorDrain
}

func (s *State) checkRegistration(r wire.Registration) *verdict.Error {
	switch {
	case r.Kind != wire.KindEntry && r.Kind != wire.KindAgent:
		return verdict.Refuse(verdict.BadRequest, "unknown kind of member %.20q", r.Kind)
	case r.Nonce == "" || len(r.Nonce) > maxIDBytes:
		return verdict.Refuse(verdict.BadRequest, "the nonce is empty or longer than %d bytes", maxIDBytes)
	case r.Node == "" || r.Addr == "":
		return verdict.Refuse(verdict.BadRequest, "a registration needs a node name and an address")
	case len(r.Node)+len(r.Addr)+len(r.Region)+len(r.Domain)+len(r.Service) > maxPairBytes:
		return verdict.Refuse(verdict.BadRequest, "the registration is longer than %d bytes", maxPairBytes)
	case r.Kind == wire.KindAgent && r.Service == "":
		return verdict.Refuse(verdict.BadRequest, "an agent needs a service")
	case r.Weight < 0 || r.Weight > maxWeight:
		return verdict.Refuse(verdict.BadRequest, "weight %d is outside 0 to %d", r.Weight, maxWeight)
	case len(s.members.rows) >= maxMembers:
		return verdict.Refuse(verdict.Overloaded, "the registry holds %d members", maxMembers).After(endedRetention)
	}
	return nil
}

func (s *State) expire(inc ids.Incarnation) {
	r, ok := s.members.rows[inc]
	if !ok || !r.live() {
		return
	}
	r.Expired = s.index
	r.ExpiredAt = s.now
	s.members.expiredRows++
	s.changes.member(s.index, inc)
	if r.Kind == wire.KindEntry {
		s.reassignOrphanedJobs()
	}
}

func (s *State) drain(d Drain) *verdict.Error {
	if d.Node == "" {
		r, ok := s.members.rows[d.Incarnation]
		if ok && r.live() && r.SelfDrain != d.Drain {
			r.SelfDrain = d.Drain
			s.changes.member(s.index, r.Incarnation)
		}
		return nil
	}
	found := false
	for _, inc := range s.members.order {
		r := s.members.rows[inc]
		if r.Node != d.Node || !r.live() {
			continue
		}
		found = true
		if r.OperatorDrain != d.Drain {
			r.OperatorDrain = d.Drain
			s.changes.member(s.index, inc)
		}
	}
	if !found {
		return verdict.Refuse(verdict.BadRequest, "no live member is named %q", d.Node)
	}
	return nil
}

// canDropMembers reports whether an expired row can be dropped.
func (s *State) canDropMembers(now int64) bool {
	if s.members.expiredRows == 0 {
		return false
	}
	oldest := s.jobs.oldestOpen()
	for _, inc := range s.members.order {
		if r := s.members.rows[inc]; oldest.allowsDrop(r, now) {
			return true
		}
	}
	return false
}

// dropExpiredMembers drops the rows of incarnations that expired at least
// endedRetention ago and can't have taken part in an open job.
func (s *State) dropExpiredMembers() {
	if s.members.expiredRows == 0 {
		return
	}
	oldest := s.jobs.oldestOpen()
	s.members.order = slices.DeleteFunc(s.members.order, func(inc ids.Incarnation) bool {
		r := s.members.rows[inc]
		if !oldest.allowsDrop(r, s.now) {
			return false
		}
		delete(s.members.rows, inc)
		delete(s.members.nonces, r.Nonce)
		s.members.expiredRows--
		s.changes.forgotten(s.index, inc, r.Kind)
		return true
	})
}

// oldestJobs holds the lowest id of an open job, for each service and overall.
type oldestJobs struct {
	overall   ids.Job // zero if no job is open
	byService map[ids.Service]ids.Job
}

// allowsDrop reports whether an expired row can be dropped. The row of an agent is
// needed by open jobs of its service that were admitted before the row ended, the
// row of an entry by any such job.
func (o oldestJobs) allowsDrop(r *memberRow, now int64) bool {
	if r.live() || r.ExpiredAt+endedRetention.Milliseconds() > now {
		return false
	}
	oldest := o.overall
	if r.Kind == wire.KindAgent {
		oldest = o.byService[r.Service]
	}
	return oldest == 0 || uint64(oldest) > r.Expired
}
