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
}

type lease struct {
	seen     time.Time // when the latest renewal was sent to a control node, at the latest
	have     ids.Version
	draining bool
	unsent   bool // not forwarded to the leader yet
}

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

// unsent returns the renewals that the leader has not been told, and counts
// them as told.
func (l *leases) unsent(now time.Time) wire.Renewals {
	var out []wire.Renewal
	for inc, row := range l.rows {
		if !row.unsent {
			continue
		}
		row.unsent = false
		out = append(out, wire.Renewal{
			Incarnation: inc, Have: row.have, Draining: row.draining,
			AgeMS: now.Sub(row.seen).Milliseconds(),
		})
	}
	return wire.PackRenewals(out)
}
