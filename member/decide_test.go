package member

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

func configReply(version ids.Version, value string, age time.Duration) wire.RenewReply {
	return wire.RenewReply{
		Version: version, ConfirmedAgeMS: age.Milliseconds(),
		Changes: wire.Changes{ConfigVer: uint64(version), Config: []wire.Pair{{Key: "k", Value: value}}},
	}
}

// Guards against a configuration that reverts when a member switches to a node that is
// behind.
func TestOlderVersionIsRejected(t *testing.T) {
	tr := newRenewalTracker(3, 0, wire.KindEntry)
	start := time.Now()
	tr.acceptReply(start, configReply(10, "new", 0))
	stale := configReply(9, "old", 0)
	stale.ReplacesView = true
	if tr.acceptReply(start.Add(time.Second), stale) {
		t.Fatal("a view with an older version was accepted")
	}
	if v, _ := tr.view.Value("k"); v != "new" || tr.view.Version != 10 {
		t.Fatalf("view after a reply with an older version: %+v", tr.view)
	}
	if tr.confirmedAt.After(start) {
		t.Fatal("a reply with an older version confirmed the view")
	}
	if tr.serverIndex != 1 || tr.nextDelay(time.Now()) != retryPause {
		t.Fatal("the tracker does not switch at once from a server that is behind")
	}
}

// Guards against an age of the view that is counted from the arrival of a delayed reply
// instead of the renewal's send time, or that omits the age of the node's own confirmation.
func TestViewAgeCountsFromSendTime(t *testing.T) {
	tr := newRenewalTracker(1, 0, wire.KindEntry)
	sent := time.Now()
	if tr.viewCurrent(sent) {
		t.Fatal("the view is current without any confirmation")
	}
	tr.acceptReply(sent, wire.RenewReply{Version: 1, ConfirmedAgeMS: 600})
	limit := sent.Add(wire.StaleAfter - 600*time.Millisecond)
	if !tr.viewCurrent(limit) || tr.viewCurrent(limit.Add(time.Millisecond)) {
		t.Fatalf("the view does not become stale right after %v", limit)
	}
	tr.acceptReply(sent.Add(time.Second), wire.RenewReply{Version: 1, ConfirmedAgeMS: 5000})
	if !tr.confirmedAt.Equal(sent.Add(-600 * time.Millisecond)) {
		t.Fatal("an older confirmation replaced a newer one")
	}
	tr.acceptReply(sent.Add(time.Second), wire.RenewReply{Gone: true})
	if tr.viewCurrent(sent.Add(time.Second)) {
		t.Fatal("the view is current after the end of the incarnation")
	}
}

// Guards against a session that waits a whole interval before it tries another server, that
// retries failed servers without a pause, or that never receives its view because the
// transfer takes longer than a fixed timeout.
func TestServerSwitchAfterFailures(t *testing.T) {
	tr := newRenewalTracker(3, 2, wire.KindEntry)
	var delays []time.Duration
	for range 6 {
		tr.recordFailure()
		delays = append(delays, tr.nextDelay(time.Now()))
	}
	want := []time.Duration{retryPause, retryPause, wire.RenewInterval, retryPause, retryPause, wire.RenewInterval}
	for i := range want {
		if delays[i] != want[i] {
			t.Fatalf("pauses %v, want %v", delays, want)
		}
	}
	if tr.replyTimeout() != 4*renewTimeout {
		t.Fatalf("the timeout is %v after every server has failed twice", tr.replyTimeout())
	}
	tr.acceptReply(time.Now(), wire.RenewReply{Version: 1, ConfirmedAgeMS: wire.SwitchNodeAfter.Milliseconds() + 1})
	if tr.serverIndex != 0 || tr.nextDelay(time.Now()) != retryPause || tr.replyTimeout() != renewTimeout {
		t.Fatalf("the tracker does not switch from a server whose confirmation is old: %+v", tr)
	}
}

// Guards against retries of a final refusal, and against a call that does not look for the
// new leader after the old one was lost.
func TestRetryActionAfterFailure(t *testing.T) {
	hint := wire.LeaderHint{Addr: "a"}
	for _, c := range []struct {
		err  *verdict.Error
		hint wire.LeaderHint
		want retryAction
	}{
		{verdict.Refuse(verdict.NotLeader, ""), hint, tryHintedLeader},
		{verdict.Refuse(verdict.NotLeader, ""), wire.LeaderHint{}, tryNextServer},
		{verdict.Refuse(verdict.NoQuorum, ""), hint, tryNextServer},
		{verdict.Refuse(verdict.ConnectionFailed, ""), hint, tryNextServer},
		{verdict.Unknown(verdict.ConnectionFailed, ""), hint, tryNextServer},
		{verdict.Refuse(verdict.BadRequest, ""), hint, returnFailure},
		{verdict.Refuse(verdict.Unauthorized, ""), hint, returnFailure},
	} {
		if got := retryActionFor(c.err, c.hint); got != c.want {
			t.Errorf("%v: action %d, want %d", c.err, got, c.want)
		}
	}
}

// Guards against members that keep renewing at the leader although another node answers,
// that all switch to the same follower, or whose view becomes stale because they can reach
// only the leader.
func TestMembersRenewAtFollowers(t *testing.T) {
	const leader = 1
	now, reply := time.Now(), wire.RenewReply{Version: 1, FromLeader: true}
	var membersAtNode [3]int
	for seed := range 60 {
		tr := newRenewalTracker(3, seed, wire.KindEntry)
		for range 2 {
			reply.FromLeader = tr.serverIndex == leader
			tr.acceptReply(now, reply)
			if tr.nextDelay(time.Now()) != wire.RenewInterval {
				t.Fatal("the next renewal was brought forward")
			}
		}
		membersAtNode[tr.serverIndex]++
	}
	if membersAtNode[leader] != 0 || membersAtNode[0] != membersAtNode[2] {
		t.Errorf("members at each node: %v; node %d is the leader", membersAtNode, leader)
	}
	tr := newRenewalTracker(3, leader, wire.KindAgent)
	var elapsed, lastGood, longestGap time.Duration
	tried := map[int]bool{}
	for range 100 {
		if tr.serverIndex == leader {
			reply.FromLeader = true
			tr.acceptReply(now, reply)
			longestGap = max(longestGap, elapsed-lastGood)
			lastGood = elapsed
		} else {
			tried[tr.serverIndex] = true
			elapsed += tr.replyTimeout()
			tr.recordFailure()
		}
		elapsed += tr.nextDelay(time.Now())
	}
	if longestGap >= wire.StaleAfter || len(tried) != 2 {
		t.Errorf("at most %v between good replies, tried followers %v", longestGap, tried)
	}
	single := newRenewalTracker(1, 0, wire.KindEntry)
	if single.acceptReply(now, reply); single.serverIndex != 0 {
		t.Error("the tracker switched from the only server")
	}
}

// Guards against a view that lags by a whole interval while members register one after the
// other. After a restart of all processes, entries refused work because their views lacked
// agents that had registered 1 s before.
func TestViewChangesShortenRenewalInterval(t *testing.T) {
	for kind, fastInterval := range map[wire.Kind]time.Duration{
		wire.KindEntry: entryFastRenewInterval, wire.KindAgent: fastRenewInterval,
	} {
		tr := newRenewalTracker(3, 0, kind)
		now := time.Unix(1000, 0)
		tr.acceptReply(now, wire.RenewReply{Version: 5, ReplacesView: true})
		if p := tr.nextDelay(now); p != fastInterval {
			t.Errorf("%v: delay after a change: %v, want %v", kind, p, fastInterval)
		}
		now = now.Add(fastRenewPeriod - time.Millisecond)
		tr.acceptReply(now, wire.RenewReply{Version: 5})
		if p := tr.nextDelay(now); p != fastInterval {
			t.Errorf("%v: delay within fastRenewPeriod of a change: %v, want %v", kind, p, fastInterval)
		}
		now = now.Add(fastRenewPeriod)
		tr.acceptReply(now, wire.RenewReply{Version: 5})
		if p := tr.nextDelay(now); p != wire.RenewIntervalOf(kind) {
			t.Errorf("%v: delay after fastRenewPeriod without a change: %v, want %v", kind, p, wire.RenewIntervalOf(kind))
		}
	}
}
