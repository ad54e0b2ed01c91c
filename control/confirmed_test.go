package control

import (
	"context"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// Guards against an isolated node that answers a confirmed read with an outdated
// configuration.
func TestConfirmedReadIsNeverOld(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client()
	if _, err := c.Apply(g.ctx(), wire.Apply{Revision: 1, Pairs: []wire.Pair{{Key: "k", Value: "1"}}}); err != nil {
		t.Fatal(err)
	}
	isolated := (g.leader() + 1) % 3
	isolatedClient := g.clientOfNode(isolated)
	g.waitFor("a confirmed read from the node before it is isolated", func() error {
		_, err := isolatedClient.Confirm(g.ctx(), wire.Confirm{})
		return err
	})
	g.net.setIsolated(g.opts[isolated].Listen, true)
	others := g.clientOf([]string{g.opts[(isolated+1)%3].Listen, g.opts[(isolated+2)%3].Listen})
	if _, err := others.Apply(g.ctx(), wire.Apply{Revision: 2, Pairs: []wire.Pair{{Key: "k", Value: "2"}}}); err != nil {
		t.Fatal(err)
	}
	// The test network isolates the node from clients too, so the node is called
	// directly.
	if r, err := g.nodes[isolated].serveConfirm(g.ctx(), nil, wire.Confirm{}); err == nil {
		t.Errorf("the isolated node confirmed revision %d", r.Revision)
	}
	ctx, cancel := context.WithTimeout(g.ctx(), time.Second)
	defer cancel()
	if r, err := g.nodes[isolated].ReadConfiguration(ctx); err == nil {
		t.Errorf("the isolated node answered with revision %d", r.Revision)
	}
	if r, err := others.Confirm(g.ctx(), wire.Confirm{}); err != nil || r.Revision != 2 {
		t.Errorf("the others answered with revision %d, %v", r.Revision, err)
	}
}
