package member

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// tracker holds the decisions of a session without any I/O: which server to ask
// next and when, which replies to accept, and whether the view is current.
type tracker struct {
	servers   int // number of servers
	server    int // index of the server in use
	moves     int // changes of the server since the last pause of a whole interval
	failures  int // renewals without a usable reply since the last good one
	moved     bool
	view      *View
	confirmed time.Time // when the view is known to have been current
	gone      bool
	interval  time.Duration // between renewals
	settle    time.Duration // between renewals while the view changes
	spread    int           // varies which server follows the leader
	stay      int           // renewals at the leader before the others are tried again
	changedAt time.Time     // when the content of the view changed last
}

const (
	// settleInterval replaces the interval between renewals while the view has
	// changed within settleTime. Changes come in groups: processes that restart
	// together register one after the other. Entries are few and place work on the
	// agents that register, so they look more often.
	settleInterval      = 200 * time.Millisecond
	entrySettleInterval = 50 * time.Millisecond
	settleTime          = 2 * time.Second
)

// leaderStay is how many renewals a member makes at the leader after the others
// have failed. Trying two others that don't answer costs 1.1 s of currency.
const leaderStay = 8

func newTracker(servers, first int, kind wire.Kind) *tracker {
	t := &tracker{
		servers: servers, server: first % servers, view: &View{},
		interval: wire.RenewIntervalOf(kind), settle: settleInterval, spread: first / servers,
	}
	if kind == wire.KindEntry {
		t.settle = entrySettleInterval
	}
	return t
}

// accept takes over the reply to a renewal that was sent at the given time, and
// reports whether the content of the view has changed.
func (t *tracker) accept(sent time.Time, r wire.RenewReply) (changed bool) {
	if r.Gone {
		t.gone = true
		return false
	}
	t.failures = 0
	if r.Version < t.view.Version {
		t.move() // the server is behind; its view would be a step back
		return false
	}
	changed = r.ReplacesView || !r.Changes.IsZero()
	if changed || r.Version > t.view.Version {
		t.view = t.view.next(r)
	}
	if changed {
		t.changedAt = sent
	}
	age := time.Duration(max(r.ConfirmedAgeMS, 0)) * time.Millisecond
	if at := sent.Add(-age); at.After(t.confirmed) {
		t.confirmed = at
	}
	switch {
	case age > wire.SwitchNodeAfter:
		t.move()
	case r.FromLeader:
		t.leaveLeader()
	default:
		t.stay = 0
	}
	return changed
}

// leaveLeader chooses another server for the next renewal, which is not due
// sooner for that: the leader's reply was good. The leader's own duties take
// most of its budget.
func (t *tracker) leaveLeader() {
	if t.stay > 0 {
		t.stay--
		return
	}
	if t.servers == 1 {
		return
	}
	t.stay = leaderStay
	t.server = (t.server + 1 + t.spread%(t.servers-1)) % t.servers
	t.spread++
}

// failed takes note of a renewal without a usable reply.
func (t *tracker) failed() {
	t.failures++
	t.move()
}

// allFailed reports whether every server has failed twice since the last good reply.
func (t *tracker) allFailed() bool { return t.failures >= 2*t.servers }

// resize adapts to another list of servers. at is the position of the server in use
// there, negative if it is not in the list.
func (t *tracker) resize(servers, at int) {
	t.servers = servers
	if at < 0 {
		at = t.spread % servers
	}
	t.server = at
}

// timeout returns how long to wait for the reply to the next renewal. It grows
// while no server answers, so that a large view gets through a slow network.
func (t *tracker) timeout() time.Duration {
	rounds := min(t.failures/t.servers, maxDoublings)
	return renewTimeout << rounds
}

func (t *tracker) move() {
	t.server = (t.server + 1) % t.servers
	t.moved = true
}

// pause returns how long to wait before the next renewal. After a change of the
// server the next one is asked almost at once, until all have been asked.
func (t *tracker) pause(now time.Time) time.Duration {
	moved := t.moved
	t.moved = false
	if moved && t.moves+1 < t.servers {
		t.moves++
		return retryPause
	}
	t.moves = 0
	if now.Sub(t.changedAt) < settleTime {
		return min(t.settle, t.interval)
	}
	return t.interval
}

// current reports whether the view has been confirmed recently enough for new work.
func (t *tracker) current(now time.Time) bool {
	return !t.gone && !t.confirmed.IsZero() && now.Sub(t.confirmed) <= wire.StaleAfter
}

// step is what a caller of the leader does after a failed attempt.
type step uint8

const (
	stepReturn step = iota // the failure is the answer
	stepHint               // ask the node that the refusal named
	stepNext               // ask the next server
)

// afterFailure decides on the next attempt to reach the leader.
func afterFailure(v *verdict.Error, hint wire.LeaderHint) step {
	if v.Reason == verdict.NotLeader {
		if hint.Addr != "" {
			return stepHint
		}
		return stepNext
	}
	switch v.Reason {
	case verdict.NoQuorum, verdict.ConnectionFailed, verdict.Stale, verdict.Draining:
		return stepNext
	}
	if v.Verdict == verdict.MayHaveRun {
		return stepNext
	}
	return stepReturn
}
