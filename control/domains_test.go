package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const drainedDomain = ids.Domain("gt-centro-a") // of all members of a test group

// drainDomain gives an order to a node until it is confirmed, as operators do.
func (g *group) drainDomain(node int, drain bool) {
	g.t.Helper()
	g.waitFor("the confirmation of an order about a domain", func() error {
		return g.nodes[node].DrainDomain(g.ctx(), drainedDomain, drain)
	})
}

// waitForDrain waits until a member sees its domain as drained, or not.
func (g *group) waitForDrain(s *member.Session, drained bool) {
	g.t.Helper()
	g.waitFor("the drain at a member", func() error {
		m, _ := s.View().Member(s.Incarnation())
		if slices.Contains(s.View().DrainedDomains, drainedDomain) != drained || m.Draining != (drained && m.Kind == wire.KindAgent) {
			return errors.Errorf("drained domains %v, member %+v", s.View().DrainedDomains, m)
		}
		return nil
	})
}

// Guards against an order that is lost with the leader that confirmed it or with a restart
// of all nodes, against an operator whose answer was lost and who is refused at another
// node, and against a member that doesn't learn of the order.
func TestDomainDrainOutlivesLeaderAndRestart(t *testing.T) {
	g := newGroup(t, 3)
	g.apply(g.client(), "cmd-1", "1")
	entry, agent := g.session(wire.KindEntry, "e1"), g.session(wire.KindAgent, "a1")
	lost := g.leader()
	g.drainDomain(lost, true)
	g.waitForDrain(agent, true)
	g.waitForDrain(entry, true)
	g.stop(lost)
	g.drainDomain((lost+1)%3, true)
	g.start(lost)
	for i := range g.nodes {
		g.stop(i)
	}
	for i := range g.nodes {
		g.start(i)
	}
	late := g.session(wire.KindAgent, "a2")
	g.waitForDrain(late, true)
	g.drainDomain(g.leader(), false)
	g.waitForDrain(late, false)
	g.waitForDrain(agent, false)
}

// Guards against a copy of an order that was held up on its way to the leader and is
// carried out after a later order.
func TestHeldUpOrderDoesNotUndoALaterOne(t *testing.T) {
	g := newGroup(t, 3)
	g.apply(g.client(), "cmd-1", "1")
	g.drainDomain(g.leader(), false)
	st, err := g.client().Status(g.ctx(), wire.Status{})
	if err != nil || len(st.Domains) != 1 {
		t.Fatal(st.Domains, err)
	}
	heldUp := wire.DrainDomain{Domain: drainedDomain, Drain: true, Expect: st.Domains[0].Index}
	g.drainDomain(g.leader(), true)
	g.drainDomain(g.leader(), false)
	r, err := g.nodes[g.leader()].serveDrainDomain(g.ctx(), nil, heldUp)
	if err != nil || r.Err == nil || r.InForce.Drained {
		t.Fatalf("the copy was carried out: %+v, %v", r, err)
	}
}

// Guards against an order that a node confirms without a majority, before the first
// configuration, or right after a standstill in which a later order may have been given.
func TestOrderAboutADomainIsNotConfirmedInDoubt(t *testing.T) {
	g := newGroup(t, 3)
	n := g.nodes[g.leader()]
	if err := n.DrainDomain(g.ctx(), drainedDomain, true); err == nil {
		t.Error("confirmed before the first configuration")
	}
	g.apply(g.client(), "cmd-1", "1")
	resumed, err := runInLoop(g.ctx(), n, func(c *core) heldDrain {
		now := time.Now()
		c.lastRunAt = now.Add(-2 * maxLoopGap)
		return c.heldDrain(drainedDomain, now)
	})
	if err != nil || resumed.err == nil || resumed.err.Verdict != verdict.NotRun {
		t.Errorf("after a standstill: %+v, %v", resumed, err)
	}
	left := g.leader()
	for i := range g.nodes {
		if i != left {
			g.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(g.ctx(), 200*time.Millisecond)
	defer cancel()
	if err := g.nodes[left].DrainDomain(ctx, drainedDomain, true); err == nil {
		t.Error("confirmed without a majority")
	}
}
