package control

import (
	"iter"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// leases holds the renewals of members that this node knows of. They are not
// replicated: a follower forwards its rows to the leader, and a new leader starts
// with full leases.
type leases struct {
	rows map[ids.Incarnation]*lease
	// notBefore is the earliest time from which any lease counts: the election of
	// this node, or the end of a pause in which it received no renewals.
	notBefore    time.Time
	forwardRound uint64 // number of the latest forwarding round
}

type lease struct {
	renewedAt     time.Time // latest time at which the member can have sent its last renewal
	haveVersion   ids.Version
	draining      bool
	needsForward  bool // renewed since it was last forwarded to the leader
	lastForwarded wire.Renewal
	forwardRound  uint64 // round in which it was last forwarded, 0 if never
}

// Forwarding rounds after which the renewals of a member are forwarded again. The
// leader then knows a renewal at most 3.5 s old of an agent that renews every 1.5 s,
// and one at most 2 s old of an entry. If one message is lost, these are 5.5 s of
// the 6 s of an agent's lease and 3 s of the 5 s of an entry's.
const (
	agentForwardRounds = 4
	entryForwardRounds = 2
)

func newLeases() leases { return leases{rows: map[ids.Incarnation]*lease{}} }

// renew records a renewal that its member sent at the given time.
func (l *leases) renew(r wire.Renew, renewedAt time.Time) {
	row := l.rows[r.Incarnation]
	if row == nil {
		row = &lease{}
		l.rows[r.Incarnation] = row
	}
	if renewedAt.Before(row.renewedAt) {
		return
	}
	row.renewedAt = renewedAt
	row.haveVersion = max(row.haveVersion, r.Have)
	row.draining = r.Draining
	row.needsForward = true
}

// extendAll lets all leases count from now at the earliest.
func (l *leases) extendAll(now time.Time) { l.notBefore = now }

// drop removes the lease of a member that has ended.
func (l *leases) drop(inc ids.Incarnation) { delete(l.rows, inc) }

// expired returns the live members whose lease has expired.
func (l *leases) expired(now time.Time, live iter.Seq2[ids.Incarnation, wire.Kind]) []ids.Incarnation {
	var out []ids.Incarnation
	for inc, kind := range live {
		if now.Sub(l.startOf(inc)) > leaseDuration(kind) {
			out = append(out, inc)
		}
	}
	return out
}

func (l *leases) startOf(inc ids.Incarnation) time.Time {
	row := l.rows[inc]
	if row == nil || row.renewedAt.Before(l.notBefore) {
		return l.notBefore
	}
	return row.renewedAt
}

func leaseDuration(k wire.Kind) time.Duration {
	if k == wire.KindEntry {
		return wire.EntryLease
	}
	return wire.AgentLease
}

// forwardRenewals starts a forwarding round: it returns the renewals to send to the
// leader and marks them as forwarded. A changed draining mark, and the first renewal
// with at least the configuration of index config, are sent in the next round. All
// others are sent in even rounds only, those of an entry every entryForwardRounds
// rounds and those of an agent every agentForwardRounds.
func (l *leases) forwardRenewals(now time.Time, config ids.Version, kind func(ids.Incarnation) wire.Kind) wire.Renewals {
	l.forwardRound++
	var out []wire.Renewal
	for inc, row := range l.rows {
		if !row.needsForward || !row.urgent(config) && !l.due(row, kind(inc)) {
			continue
		}
		row.needsForward = false
		row.forwardRound = l.forwardRound
		row.lastForwarded = wire.Renewal{
			Incarnation: inc, Have: row.haveVersion, Draining: row.draining,
			AgeMS: now.Sub(row.renewedAt).Milliseconds(),
		}
		out = append(out, row.lastForwarded)
	}
	return wire.PackRenewals(out)
}

func (r *lease) urgent(config ids.Version) bool {
	return r.draining != r.lastForwarded.Draining || r.lastForwarded.Have < config && config <= r.haveVersion
}

func (l *leases) due(r *lease, k wire.Kind) bool {
	if l.forwardRound%2 != 0 {
		return false
	}
	if k == wire.KindEntry {
		return r.forwardRound == 0 || l.forwardRound-r.forwardRound >= entryForwardRounds
	}
	return r.forwardRound == 0 || l.forwardRound-r.forwardRound >= agentForwardRounds
}
