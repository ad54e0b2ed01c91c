package control

import (
	"fmt"
	"sync"
	"testing"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// configOf returns a configuration of n queues, numbered from first, with a few settings
// each.
func configOf(revision uint64, first, n int) wire.Apply {
	a := wire.Apply{Revision: revision, Source: fmt.Appendf(nil, `{"version":%d,"routes":[`, revision)}
	for i := first; i < first+n; i++ {
		a.Source = fmt.Appendf(a.Source, `{"name":"r-%06x","host":"h%d.example","prefix":"/p%d/","kind":"plain","timeout":1500},`, i*7919, i%7, i)
		for _, key := range []string{"host", "prefix", "timeout", "attempts"} {
			a.Pairs = append(a.Pairs, wire.Pair{Key: fmt.Sprintf("queues.r-%06x.%s", i*7919, key), Value: fmt.Sprint(key, i)})
		}
	}
	return a
}

// applyAt applies a configuration at a node and waits until all nodes hold it.
func (g *group) applyAt(node int, a wire.Apply) {
	g.t.Helper()
	r, err := g.nodes[node].ApplyRevision(g.ctx(), a)
	if err != nil || r.Err != nil || r.Revision < a.Revision {
		g.t.Fatalf("revision %d: %+v, %v", a.Revision, r, err)
	}
	for _, n := range g.nodes {
		if err := n.awaitIndex(g.ctx(), uint64(r.Index)); err != nil {
			g.t.Fatal(err)
		}
	}
}

// loggedBytes returns the size of the log records that a node has applied.
func (g *group) loggedBytes(node int) int64 {
	g.t.Helper()
	n, err := runInLoop(g.ctx(), g.nodes[node], func(c *core) int64 { return c.logBytes })
	if err != nil {
		g.t.Fatal(err)
	}
	return n
}

// Guards against a change whose record grows with the whole configuration.
func TestChangeCostsWhatItChanges(t *testing.T) {
	const changed = 40
	recordBytes := func(queues int) int64 {
		g := newGroup(t, 3)
		g.applyAt(0, configOf(1, 0, queues))
		before := g.loggedBytes(0)
		g.applyAt(1, configOf(2, changed, queues))
		return g.loggedBytes(0) - before
	}
	small, large := recordBytes(100), recordBytes(3000)
	if large > 2*small {
		t.Errorf("a change of %d queues takes %d bytes of log with 100 queues and %d with 3,000", changed, small, large)
	}
}

// Guards against a repeated revision that is appended to the log anew, before or after it
// is in force.
func TestRepeatedRevisionIsAppendedOnce(t *testing.T) {
	g := newGroup(t, 1)
	g.applyAt(0, configOf(1, 0, 10))
	const sent = 13
	replies := make(chan proposalResult, sent)
	appended, err := runInLoop(g.ctx(), g.nodes[0], func(c *core) uint64 {
		before := c.raft.LastIndex()
		p := c.state.ConfigSource().Patch(configOf(2, 0, 200))
		for range sent {
			c.proposePatch(p, func(r controlstate.Result, e *verdict.Error) { replies <- proposalResult{r, e} })
		}
		return c.raft.LastIndex() - before
	})
	if err != nil || appended != 1 {
		t.Errorf("%d entries for one revision that was sent %d times, %v", appended, sent, err)
	}
	for range sent {
		if r := <-replies; r.err != nil || r.Apply.Err != nil || r.Apply.Revision != 2 {
			t.Errorf("%+v, %v", r.Apply, r.err)
		}
	}
	appended, err = runInLoop(g.ctx(), g.nodes[0], func(c *core) uint64 {
		before := c.raft.LastIndex()
		p := c.state.ConfigSource().Patch(configOf(2, 0, 200))
		c.proposePatch(p, func(r controlstate.Result, e *verdict.Error) { replies <- proposalResult{r, e} })
		return c.raft.LastIndex() - before
	})
	if r := <-replies; err != nil || appended != 0 || r.err != nil || r.Apply.Revision != 2 {
		t.Errorf("%d entries for a revision in force, %+v, %v", appended, r.Apply, r.err)
	}
}

// Guards against changes from several operators of which one is lost, refused or mixed
// with another.
func TestConcurrentRevisionsEndWithTheHighest(t *testing.T) {
	g := newGroup(t, 3)
	const operators, changes = 4, 15
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			for i := range changes {
				revision := uint64(1 + operator + operators*i)
				r, err := g.nodes[(operator+i)%3].ApplyRevision(g.ctx(), configOf(revision, operator+i, 20+operator))
				if err != nil || r.Err != nil || r.Revision < revision {
					t.Errorf("revision %d: %+v, %v", revision, r, err)
				}
			}
		})
	}
	wg.Wait()
	last := configOf(operators*changes, operators-1+changes-1, 20+operators-1)
	g.applyAt(0, configOf(1, 0, 1)) // outdated, so it changes nothing
	for i, n := range g.nodes {
		c, err := n.ReadConfiguration(g.ctx())
		if err != nil || c.Revision != last.Revision || string(c.Text) != string(last.Source) {
			t.Errorf("node %d: revision %d, %v, want %d with its text", i, c.Revision, err, last.Revision)
		}
		got, err := runInLoop(g.ctx(), n, func(c *core) int { return len(c.state.Configuration().Pairs) })
		if err != nil || got != len(last.Pairs) {
			t.Errorf("node %d: %d settings, %v, want %d", i, got, err, len(last.Pairs))
		}
	}
}

// Guards against a read that carries the configuration although the node holds it, and
// against a node without current tables that can't answer.
func TestConfirmationCarriesNoConfiguration(t *testing.T) {
	g := newGroup(t, 3)
	last := configOf(1, 0, 500)
	g.applyAt(0, last)
	c := g.client()
	if r, err := c.Confirm(g.ctx(), wire.Confirm{}); err != nil || r.Source != nil || r.Revision != 1 {
		t.Errorf("%d bytes in a confirmation, %v", len(r.Source), err)
	}
	if r, err := c.Confirm(g.ctx(), wire.Confirm{WithSource: true}); err != nil || string(r.Source) != string(last.Source) {
		t.Errorf("%d bytes of text, %v", len(r.Source), err)
	}
	newNode := g.add(Peer{Node: "c3", Addr: loopback.FreeAddr(t)}, nil)
	g.opts[newNode].JoinOnly = true
	g.opts[newNode].Peers = g.opts[0].Peers
	g.start(newNode)
	r, err := g.nodes[newNode].ReadConfiguration(g.ctx())
	if err != nil || string(r.Text) != string(last.Source) {
		t.Errorf("a node without tables answers with %d bytes, %v", len(r.Text), err)
	}
}
