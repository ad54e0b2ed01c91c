package control

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/wire"
)

// formationTimeout limits the wait for all nodes of a new group to join it.
const formationTimeout = 15 * time.Second

// newTolerantGroup starts a group of nodes in three failure domains. The first three
// nodes are the seeds that form the group. The others join it.
func newTolerantGroup(t *testing.T, size int, tolerance Tolerance) *group {
	const seeds = 3
	g := newGroupWith(t, seeds, func(o *Options) { o.AutoJoin, o.Tolerance = true, tolerance })
	for i := seeds; i < size; i++ {
		g.start(g.addJoining(ids.Node(fmt.Sprint("c", i)), tolerance))
	}
	return g
}

// addJoining adds a node that knows the seeds and joins their group.
func (g *group) addJoining(name ids.Node, tolerance Tolerance) int {
	self := Peer{Node: name, Addr: freeAddr(g.t)}
	i := g.add(self, append([]Peer{self}, g.opts[0].Peers...))
	g.opts[i].AutoJoin, g.opts[i].Tolerance = true, tolerance
	return i
}

// waitForVoterCount waits until the given number of nodes vote and all running nodes
// are members.
func (g *group) waitForVoterCount(c *member.Client, want int) {
	g.t.Helper()
	deadline := time.Now().Add(formationTimeout)
	g.waitFor("the voters", func() error {
		st, err := c.Status(g.ctx(), wire.Status{})
		voters := 0
		for _, n := range st.Nodes {
			if n.Voter {
				voters++
			}
		}
		if err == nil && voters == want {
			return nil
		}
		if time.Now().After(deadline) {
			g.t.Fatalf("%d voters after %v, %d are needed: %+v %v", voters, formationTimeout, want, st.Nodes, err)
		}
		return errors.Errorf("%+v %v", st.Nodes, err)
	})
}

func (g *group) emptyDisk(i int) {
	g.t.Helper()
	if err := os.RemoveAll(g.opts[i].Data); err != nil {
		g.t.Fatal(err)
	}
}

// Guards against a group with too few voters for the losses that it has to bear: two
// of its nodes lose their disks while all are without power, right after a change was
// acknowledged.
func TestTwoEmptiedDisksKeepTheConfiguration(t *testing.T) {
	g := newTolerantGroup(t, 6, Tolerance{Nodes: 2})
	c := g.client()
	g.waitForVoterCount(c, 5)
	g.apply(c, "cmd-1", "1")
	for i := range g.nodes {
		g.stop(i)
	}
	g.emptyDisk(0)
	g.emptyDisk(1)
	for i := range g.nodes {
		g.start(i)
	}
	if r := g.apply(g.client(), "cmd-1", "2"); !r.Repeated {
		t.Fatalf("the group has forgotten an acknowledged change: %+v", r)
	}
}
