package control

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a node that is cut off and answers a confirmed read with the
// configuration that it held before.
func TestConfirmedReadIsNeverOld(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client()
	if _, err := c.Apply(g.ctx(), wire.Apply{Revision: 1, Pairs: []wire.Pair{{Key: "k", Value: "1"}}}); err != nil {
		t.Fatal(err)
	}
	cut := (g.leader() + 1) % 3
	alone := g.only(cut)
	g.wait("the node that will be cut off", func() error {
		_, err := alone.GetConfirmed(g.ctx())
		return err
	})
	g.net.setCut(g.opts[cut].Listen, true)
	rest := g.clientAt([]string{g.opts[(cut+1)%3].Listen, g.opts[(cut+2)%3].Listen})
	if _, err := rest.Apply(g.ctx(), wire.Apply{Revision: 2, Pairs: []wire.Pair{{Key: "k", Value: "2"}}}); err != nil {
		t.Fatal(err)
	}
	// The network of the test cuts off callers too, so the node is asked directly.
	arrived := time.Now()
	r, err := ask(g.ctx(), g.nodes[cut], func(c *core) got { return c.getConfig(wire.Get{Confirmed: true}, arrived) })
	if err != nil || r.err == nil {
		t.Errorf("the node that is cut off answers with revision %d, %v", r.reply.Revision, err)
	}
	if r, err := rest.GetConfirmed(g.ctx()); err != nil || r.Revision != 2 {
		t.Errorf("the others answered with revision %d, %v", r.Revision, err)
	}
}
