package control

import (
	"iter"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// leases holds what a node knows of the renewals of members. It is not
// replicated: a follower forwards its rows, and a new leader starts over.
type leases struct {
	rows map[ids.Incarnation]*lease
	// since is the least time from which any lease counts: the election of this
	// node, or the end of a pause in which it saw no renewals.
	since time.Time
	round uint64 // number of the latest round of forwarding
}

type lease struct {
	seen     time.Time // when the latest renewal was sent to a control node, at the latest
	have     ids.Version
	draining bool
	unsent   bool         // not forwarded to the leader yet
	told     wire.Renewal // as forwarded last
	round    uint64       // in which it was forwarded last, 0 if never
}

// Rounds of forwarding after which a member's renewals are told again. An agent
// that renews every 1.5 s is then known at the leader with a renewal at most
// 3.5 s old, an entry with one at most 2 s old. If one message is lost, these
// are 5.5 of the 6 s of an agent's lease and 3 of the 5 s of an entry's.
const (
	agentRounds = 4
	entryRounds = 2
)

func newLeases() leases { return leases{rows: map[ids.Incarnation]*lease{}} }

// renew takes note of a renewal.
func (l *leases) renew(r wire.Renew, seen time.Time) {
	row := l.rows[r.Incarnation]
	if row == nil {
		row = &lease{}
		l.rows[r.Incarnation] = row
	}
	if seen.Before(row.seen) {
		return
	}
	row.seen = seen
	row.have = max(row.have, r.Have)
	row.draining = r.Draining
	row.unsent = true
}

// restart counts all leases from now on.
func (l *leases) restart(now time.Time) { l.since = now }

// forget drops a member that has ended.
func (l *leases) forget(inc ids.Incarnation) { delete(l.rows, inc) }

// overdue returns the live members whose lease has run out.
func (l *leases) overdue(now time.Time, live iter.Seq2[ids.Incarnation, wire.Kind]) []ids.Incarnation {
	var out []ids.Incarnation
	for inc, kind := range live {
		if now.Sub(l.from(inc)) > leaseOf(kind) {
			out = append(out, inc)
		}
	}
	return out
}

func (l *leases) from(inc ids.Incarnation) time.Time {
	row := l.rows[inc]
	if row == nil || row.seen.Before(l.since) {
		return l.since
	}
	return row.seen
}

func leaseOf(k wire.Kind) time.Duration {
	if k == wire.KindEntry {
		return wire.EntryLease
	}
	return wire.AgentLease
}

// forward returns the renewals that the leader is told in the next round, and
// counts them as told. A changed draining mark and the first renewal with the
// configuration of index config go with each round, all others with every second one.
func (l *leases) forward(now time.Time, config ids.Version, kind func(ids.Incarnation) wire.Kind) wire.Renewals {
	l.round++
	var out []wire.Renewal
	for inc, row := range l.rows {
		if !row.unsent || !row.urgent(config) && !l.due(row, kind(inc)) {
			continue
		}
		row.unsent = false
		row.round = l.round
		row.told = wire.Renewal{
			Incarnation: inc, Have: row.have, Draining: row.draining,
			AgeMS: now.Sub(row.seen).Milliseconds(),
		}
		out = append(out, row.told)
	}
	return wire.PackRenewals(out)
}

func (r *lease) urgent(config ids.Version) bool {
	return r.draining != r.told.Draining || r.told.Have < config && config <= r.have
}

func (l *leases) due(r *lease, k wire.Kind) bool {
	if l.round%2 != 0 {
		return false
	}
	if k == wire.KindEntry {
		return r.round == 0 || l.round-r.round >= entryRounds
	}
	return r.round == 0 || l.round-r.round >= agentRounds
}
