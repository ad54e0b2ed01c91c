package controlstate

import (
	"slices"
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

func drainOrder(l *testLog, d ids.Domain, drain bool, expect ids.Version) wire.DrainDomainReply {
	return l.apply(Command{DrainDomain: &wire.DrainDomain{Domain: d, Drain: drain, Expect: expect}}).DrainDomain
}

func registerIn(t *testing.T, l *testLog, k wire.Kind, node string, d ids.Domain) ids.Incarnation {
	t.Helper()
	r := l.apply(Command{Register: &wire.Registration{Kind: k, Node: ids.Node(node), Addr: node + ":1", Service: "s", Domain: d, Nonce: node}})
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	return r.Incarnation
}

// Guards against a copy of an order that arrives late and undoes a later, confirmed one,
// also if the later one changed nothing, and against a refusal of a repeated order.
func TestLateOrderAboutADomainIsRefused(t *testing.T) {
	l := newTestLog(t)
	first := drainOrder(l, "z1", true, 0)
	again := drainOrder(l, "z1", true, first.InForce.Index)
	if first.Err != nil || again.Err != nil || again.InForce.Index <= first.InForce.Index {
		t.Fatalf("an order and its repetition: %+v, %+v", first, again)
	}
	late := drainOrder(l, "z1", false, first.InForce.Index)
	if late.Err == nil || late.Err.Reason != verdict.VersionConflict || !late.InForce.Drained {
		t.Fatalf("an order given before the one in force was accepted: %+v", late)
	}
	if got := l.state.DomainDrain("z1"); got != again.InForce {
		t.Errorf("in force %+v, want %+v", got, again.InForce)
	}
	if r := drainOrder(l, "", true, 0); r.Err == nil {
		t.Error("a domain without a name was drained")
	}
}

// Guards against a drain that a restart from a snapshot loses, and against members that
// don't learn of it: those that are behind, those that register later, and agents of other
// domains that are told.
func TestDomainDrainInViewsAndSnapshots(t *testing.T) {
	l := newTestLog(t)
	entry := registerIn(t, l, wire.KindEntry, "e1", "z2")
	agent := registerIn(t, l, wire.KindAgent, "a1", "z1")
	other := registerIn(t, l, wire.KindAgent, "a2", "z2")
	before := ids.Version(l.state.Index())
	order := drainOrder(l, "z1", true, 0)
	l.restart()
	late := registerIn(t, l, wire.KindAgent, "a3", "z1")
	drained := func(since ids.Version, inc ids.Incarnation) bool {
		c, _ := l.state.Changes(since, inc)
		return slices.ContainsFunc(c.Domains, func(d wire.DomainDrain) bool { return d == order.InForce })
	}
	for name, got := range map[string]bool{
		"entry that is behind": drained(before, entry), "agent that is behind": drained(before, agent),
		"agent that registers later": drained(0, late), "entry without a view": drained(0, entry),
		"agent of another domain": !drained(before, other) && !drained(0, other),
	} {
		if !got {
			t.Errorf("%s: wrong view of the drain", name)
		}
	}
	drainOrder(l, "z1", false, order.InForce.Index)
	if c, _ := l.state.Changes(ids.Version(order.InForce.Index), agent); len(c.Domains) != 1 || c.Domains[0].Drained {
		t.Errorf("the end of the drain: %+v", c.Domains)
	}
}
