package member

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// renewalTracker makes the decisions of a session about its renewals: which server to ask
// next and when, which replies to accept, and whether the view is current. It does no I/O.
type renewalTracker struct {
	serverCount   int
	serverIndex   int  // server for the next renewal, as an index into Session.controlAddrs
	quickSwitches int  // switches that were followed by retryPause, since the last full interval
	failures      int  // renewals that failed since the last reply
	switched      bool // switchServer was called since the last nextDelay
	view          *View
	confirmedAt   time.Time     // latest time at which the view is known to have been current
	ended         bool          // the control group has ended the incarnation
	renewInterval time.Duration // between renewals
	fastInterval  time.Duration // between renewals while the view changes
	// rotation selects the server to use after the leader, modulo the number of the other
	// servers, or after a server that left the list, modulo the number of all servers. It
	// rises by one each time it selects the server after the leader.
	rotation           int
	leaderRenewalsLeft int       // renewals to send to the leader before the other servers are tried again
	viewChangedAt      time.Time // send time of the renewal that last changed the view's content
}

const (
	// fastRenewInterval, or entryFastRenewInterval at an entry, replaces the interval
	// between renewals for fastRenewPeriod after a change of the view. Changes come in
	// groups, since processes that restart together register one after the other.
	// Entries renew more often than agents, because they are few and place work on the
	// agents that register.
	fastRenewInterval      = 200 * time.Millisecond
	entryFastRenewInterval = 50 * time.Millisecond
	fastRenewPeriod        = 2 * time.Second
)

// leaderRenewals is the number of renewals that a member sends to the leader after the
// other servers have failed. Trying two servers that don't answer ages the view by 1.1 s.
const leaderRenewals = 8

// newRenewalTracker returns the tracker of a member of the given kind. The seed determines
// which servers it uses, so that different seeds spread members over the servers.
func newRenewalTracker(serverCount, seed int, kind wire.Kind) *renewalTracker {
	t := &renewalTracker{
		serverCount: serverCount, serverIndex: seed % serverCount, view: &View{},
		renewInterval: wire.RenewIntervalOf(kind), fastInterval: fastRenewInterval, rotation: seed / serverCount,
	}
	if kind == wire.KindEntry {
		t.fastInterval = entryFastRenewInterval
	}
	return t
}

// acceptReply applies the reply to a renewal that was sent at the given time, and reports
// whether the content of the view has changed. It ignores a view that is older than the
// one held.
func (t *renewalTracker) acceptReply(sent time.Time, r wire.RenewReply) (changed bool) {
	if r.Gone {
		t.ended = true
		return false
	}
	t.failures = 0
	if r.Version < t.view.Version {
		t.switchServer() // the server is behind, and its view would revert changes
		return false
	}
	changed = r.ReplacesView || !r.Changes.IsZero()
	if changed || r.Version > t.view.Version {
		t.view = t.view.withReply(r)
	}
	if changed {
		t.viewChangedAt = sent
	}
	age := time.Duration(max(r.ConfirmedAgeMS, 0)) * time.Millisecond
	if confirmed := sent.Add(-age); confirmed.After(t.confirmedAt) {
		t.confirmedAt = confirmed
	}
	switch {
	case age > wire.SwitchNodeAfter:
		t.switchServer()
	case r.FromLeader:
		t.switchFromLeader()
	default:
		t.leaderRenewalsLeft = 0
	}
	return changed
}

// switchFromLeader selects another server for the next renewals, because the leader's
// other duties take most of its resource budget. It does not bring the next renewal
// forward, since the leader's reply was good.
func (t *renewalTracker) switchFromLeader() {
	if t.leaderRenewalsLeft > 0 {
		t.leaderRenewalsLeft--
		return
	}
	if t.serverCount == 1 {
		return
	}
	t.leaderRenewalsLeft = leaderRenewals
	t.serverIndex = (t.serverIndex + 1 + t.rotation%(t.serverCount-1)) % t.serverCount
	t.rotation++
}

// recordFailure counts a failed renewal and switches to the next server.
func (t *renewalTracker) recordFailure() {
	t.failures++
	t.switchServer()
}

// allServersFailed reports whether every server has failed twice since the last reply.
func (t *renewalTracker) allServersFailed() bool { return t.failures >= 2*t.serverCount }

// setServers adapts the tracker to a changed list of servers. index is the position of the
// current server in the new list, negative if the list does not contain it.
func (t *renewalTracker) setServers(serverCount, index int) {
	t.serverCount = serverCount
	if index < 0 {
		index = t.rotation % serverCount
	}
	t.serverIndex = index
}

// replyTimeout returns the timeout of the next renewal. It grows while no server answers,
// so that a large view can arrive over a slow network.
func (t *renewalTracker) replyTimeout() time.Duration {
	doublings := min(t.failures/t.serverCount, maxTimeoutDoublings)
	return renewTimeout << doublings
}

// switchServer selects the next server and brings the next renewal forward.
func (t *renewalTracker) switchServer() {
	t.serverIndex = (t.serverIndex + 1) % t.serverCount
	t.switched = true
}

// nextDelay returns the delay before the next renewal, and updates the state that it
// depends on. After switchServer the delay is short, until every server has been tried.
func (t *renewalTracker) nextDelay(now time.Time) time.Duration {
	switched := t.switched
	t.switched = false
	if switched && t.quickSwitches+1 < t.serverCount {
		t.quickSwitches++
		return retryPause
	}
	t.quickSwitches = 0
	if now.Sub(t.viewChangedAt) < fastRenewPeriod {
		return min(t.fastInterval, t.renewInterval)
	}
	return t.renewInterval
}

// viewCurrent reports whether the view has been confirmed recently enough for new work.
func (t *renewalTracker) viewCurrent(now time.Time) bool {
	return !t.ended && !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) <= wire.StaleAfter
}

// retryAction is the action after a failed attempt to call the leader.
type retryAction uint8

const (
	returnFailure   retryAction = iota // return the failure to the caller
	tryHintedLeader                    // retry at the node that the refusal names
	tryNextServer                      // retry at the next server
)

// retryActionFor returns the action after an attempt that failed with v. It retries only
// failures that another server or a new leader may resolve.
func retryActionFor(v *verdict.Error, hint wire.LeaderHint) retryAction {
	if v.Reason == verdict.NotLeader {
		if hint.Addr != "" {
			return tryHintedLeader
		}
		return tryNextServer
	}
	switch v.Reason {
	case verdict.NoQuorum, verdict.ConnectionFailed, verdict.Stale, verdict.Draining:
		return tryNextServer
	}
	if v.Verdict == verdict.MayHaveRun {
		return tryNextServer
	}
	return returnFailure
}
