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

// Guards against a configuration that reverts when a stale node answers first.
func TestOlderVersionIsNeverAccepted(t *testing.T) {
	tr := newTracker(3, 0, wire.KindEntry)
	start := time.Now()
	tr.accept(start, configReply(10, "new", 0))
	stale := configReply(9, "old", 0)
	stale.ReplacesView = true
	if tr.accept(start.Add(time.Second), stale) {
		t.Fatal("the older view was taken over")
	}
	if v, _ := tr.view.Value("k"); v != "new" || tr.view.Version != 10 {
		t.Fatalf("view %+v", tr.view)
	}
	if tr.confirmed.After(start) {
		t.Fatal("an older version confirmed the view")
	}
	if tr.server != 1 || tr.pause(time.Now()) != retryPause {
		t.Fatal("the session stays with the node that is behind")
	}
}

// Guards against currency that is counted from the arrival of a delayed reply, or
// that ignores the age of the node's own confirmation.
func TestCurrencyCountsFromTheQuestion(t *testing.T) {
	tr := newTracker(1, 0, wire.KindEntry)
	sent := time.Now()
	if tr.current(sent) {
		t.Fatal("current without any confirmation")
	}
	tr.accept(sent, wire.RenewReply{Version: 1, ConfirmedAgeMS: 600})
	limit := sent.Add(wire.StaleAfter - 600*time.Millisecond)
	if !tr.current(limit) || tr.current(limit.Add(time.Millisecond)) {
		t.Fatalf("currency does not end at %v", limit)
	}
	tr.accept(sent.Add(time.Second), wire.RenewReply{Version: 1, ConfirmedAgeMS: 5000})
	if !tr.confirmed.Equal(sent.Add(-600 * time.Millisecond)) {
		t.Fatal("a worse confirmation replaced a better one")
	}
	tr.accept(sent.Add(time.Second), wire.RenewReply{Gone: true})
	if tr.current(sent.Add(time.Second)) {
		t.Fatal("current after the end of the incarnation")
	}
}

// Guards against a session that waits a whole interval before it leaves a failed
// server, against one that asks failed servers without any pause, and against a
// view that never arrives because it takes longer than the time limit.
func TestChangeOfServer(t *testing.T) {
	tr := newTracker(3, 2, wire.KindEntry)
	var pauses []time.Duration
	for range 6 {
		tr.failed()
		pauses = append(pauses, tr.pause(time.Now()))
	}
	want := []time.Duration{retryPause, retryPause, wire.RenewInterval, retryPause, retryPause, wire.RenewInterval}
	for i := range want {
		if pauses[i] != want[i] {
			t.Fatalf("pauses %v, want %v", pauses, want)
		}
	}
	if tr.timeout() != 4*renewTimeout {
		t.Fatalf("the time limit is %v after two rounds of failures", tr.timeout())
	}
	tr.accept(time.Now(), wire.RenewReply{Version: 1, ConfirmedAgeMS: wire.SwitchNodeAfter.Milliseconds() + 1})
	if tr.server != 0 || tr.pause(time.Now()) != retryPause || tr.timeout() != renewTimeout {
		t.Fatalf("the session stays at a server with an old confirmation: %+v", tr)
	}
}

// Guards against a refusal that is retried although it is final, and against a
// lost leader that is not searched for.
func TestStepsAfterFailure(t *testing.T) {
	hint := wire.LeaderHint{Addr: "a"}
	for _, c := range []struct {
		err  *verdict.Error
		hint wire.LeaderHint
		want step
	}{
		{verdict.Refuse(verdict.NotLeader, ""), hint, stepHint},
		{verdict.Refuse(verdict.NotLeader, ""), wire.LeaderHint{}, stepNext},
		{verdict.Refuse(verdict.NoQuorum, ""), hint, stepNext},
		{verdict.Refuse(verdict.ConnectionFailed, ""), hint, stepNext},
		{verdict.Unknown(verdict.ConnectionFailed, ""), hint, stepNext},
		{verdict.Refuse(verdict.BadRequest, ""), hint, stepReturn},
		{verdict.Refuse(verdict.Unauthorized, ""), hint, stepReturn},
	} {
		if got := afterFailure(c.err, c.hint); got != c.want {
			t.Errorf("%v: step %d, want %d", c.err, got, c.want)
		}
	}
}

// Guards against members that stay at the leader although another node answers,
// that all go to the same node, or that lose their currency at a leader whose
// followers they can't reach.
func TestMembersLeaveTheLeader(t *testing.T) {
	const leader = 1
	now, reply := time.Now(), wire.RenewReply{Version: 1, FromLeader: true}
	var at [3]int
	for first := range 60 {
		tr := newTracker(3, first, wire.KindEntry)
		for range 2 {
			reply.FromLeader = tr.server == leader
			tr.accept(now, reply)
			if tr.pause(time.Now()) != wire.RenewInterval {
				t.Fatal("the next renewal is sooner than due")
			}
		}
		at[tr.server]++
	}
	if at[leader] != 0 || at[0] != at[2] {
		t.Errorf("members at the nodes: %v, of which %d leads", at, leader)
	}
	tr := newTracker(3, leader, wire.KindAgent)
	var elapsed, good, longest time.Duration
	tried := map[int]bool{}
	for range 100 {
		if tr.server == leader {
			reply.FromLeader = true
			tr.accept(now, reply)
			longest = max(longest, elapsed-good)
			good = elapsed
		} else {
			tried[tr.server] = true
			elapsed += tr.timeout()
			tr.failed()
		}
		elapsed += tr.pause(time.Now())
	}
	if longest >= wire.StaleAfter || len(tried) != 2 {
		t.Errorf("%v between good replies, tried %v", longest, tried)
	}
	single := newTracker(1, 0, wire.KindEntry)
	if single.accept(now, reply); single.server != 0 {
		t.Error("the only server was left")
	}
}

// Guards against a view that lags by a whole interval when members register one
// after the other: after all processes had restarted, entries refused work for
// want of agents that had registered a second before.
func TestChangesBringTheNextRenewalForward(t *testing.T) {
	for kind, settle := range map[wire.Kind]time.Duration{
		wire.KindEntry: entrySettleInterval, wire.KindAgent: settleInterval,
	} {
		tr := newTracker(3, 0, kind)
		at := time.Unix(1000, 0)
		tr.accept(at, wire.RenewReply{Version: 5, ReplacesView: true})
		if p := tr.pause(at); p != settle {
			t.Errorf("%v: pause after a change: %v, want %v", kind, p, settle)
		}
		at = at.Add(settleTime - time.Millisecond)
		tr.accept(at, wire.RenewReply{Version: 5})
		if p := tr.pause(at); p != settle {
			t.Errorf("%v: pause within the settling time: %v, want %v", kind, p, settle)
		}
		at = at.Add(settleTime)
		tr.accept(at, wire.RenewReply{Version: 5})
		if p := tr.pause(at); p != wire.RenewIntervalOf(kind) {
			t.Errorf("%v: pause of a settled view: %v, want %v", kind, p, wire.RenewIntervalOf(kind))
		}
	}
}
