package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// formationTimeout limits the wait for all nodes of a new group to join it.
const formationTimeout = 15 * time.Second

// newTolerantGroup starts a group of nodes in three failure domains. The first three
// nodes are the seeds that form the group. The others join it.
func newTolerantGroup(t *testing.T, size int, tolerance Tolerance) *group {
	const seeds = 3
	domain := 0
	g := newGroupWith(t, seeds, func(o *Options) {
		o.AutoJoin, o.Tolerance, o.Domain = true, tolerance, testDomain(domain)
		domain++
	})
	for i := seeds; i < size; i++ {
		g.start(g.addJoining(ids.Node(fmt.Sprint("c", i)), tolerance))
	}
	return g
}

// addJoining adds a node that knows the seeds and joins their group.
func (g *group) addJoining(name ids.Node, tolerance Tolerance) int {
	self := Peer{Node: name, Addr: loopback.FreeAddr(g.t)}
	i := g.add(self, append([]Peer{self}, g.opts[0].Peers...))
	g.opts[i].AutoJoin, g.opts[i].JoinOnly, g.opts[i].Tolerance, g.opts[i].Domain = true, true, tolerance, testDomain(i)
	return i
}

// testDomain returns the failure domain of a node. There are three.
func testDomain(node int) ids.Domain { return ids.Domain(fmt.Sprint("d", node%3)) }

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

// waitUntilListed waits until a node is in the group with its present instance, and with
// no other one.
func (g *group) waitUntilListed(c *member.Client, i int) {
	g.t.Helper()
	g.waitFor("the node to be listed", func() error {
		st, err := c.Status(g.ctx(), wire.Status{})
		if err != nil {
			return err
		}
		listed := 0
		for _, n := range st.Nodes {
			if n.Node == g.opts[i].Node {
				listed++
			}
			if n.Instance == g.nodes[i].Instance() && listed == 1 {
				return nil
			}
		}
		return errors.Errorf("%+v", st.Nodes)
	})
}

// Guards against a group whose majority is on disks that don't survive a restart, and
// against one that never forms because a seed has no disk.
func TestObserversDoNotVote(t *testing.T) {
	const observer = 2
	index := 0
	g := newGroupWith(t, 3, func(o *Options) {
		o.AutoJoin, o.Observer, o.JoinOnly = true, index == observer, index == observer
		index++
	})
	fourth := g.addJoining("c3", Tolerance{Nodes: 1})
	g.start(fourth)
	c := g.client()
	g.waitForVoterCount(c, 3)
	g.waitUntilListed(c, observer)
	st, err := c.Status(g.ctx(), wire.Status{})
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range st.Nodes {
		if n.Instance == g.nodes[observer].Instance() && n.Voter {
			t.Fatalf("the observer votes: %+v", st.Nodes)
		}
	}
	g.waitFor("the observer to answer reads", func() error {
		_, err := g.clientOfNode(observer).Get(g.ctx())
		return err
	})
}

// Guards against an observer that ends at its start on a VM where it can write no files.
func TestObserverNeedsNoFileSystem(t *testing.T) {
	g := newTolerantGroup(t, 3, Tolerance{Nodes: 1})
	observer := g.addJoining("observer", Tolerance{Nodes: 1})
	data := g.opts[observer].Data
	g.opts[observer].Observer, g.opts[observer].Data = true, ""
	c := g.client()
	for range 2 { // It starts again as another instance.
		g.start(observer)
		g.waitUntilListed(c, observer)
		g.stop(observer)
	}
	files, err := os.ReadDir(data)
	if err != nil || len(files) != 0 {
		t.Errorf("files of the observer: %v %v", files, err)
	}
}

// Guards against a group that nobody finds after all processes have restarted: the seeds
// have been exchanged for observers, which remember no addresses.
func TestGroupIsFoundThroughSeedsThatRememberNothing(t *testing.T) {
	g := newTolerantGroup(t, 3, Tolerance{Nodes: 1})
	g.apply(g.client(), "cmd", "1")
	var seeds []string
	for i := range 2 {
		o := g.addJoining(ids.Node(fmt.Sprint("observer-", i)), Tolerance{Nodes: 1})
		g.opts[o].Observer = true
		seeds = append(seeds, g.opts[o].Listen)
	}
	for i := range g.opts {
		g.stop(i)
		g.opts[i].Directory = member.NewDirectory(seeds...)
	}
	for i := range g.opts {
		if g.opts[i].Observer {
			g.opts[i].Peers = nil
		}
		g.start(i)
	}
	s := g.sessionVia(wire.KindAgent, "agent", seeds)
	g.waitForValue(s, "1")
}

// Guards against a group of an earlier version, whose membership lacks the failure
// domains of its nodes, that never learns them.
func TestNodesReportTheirFailureDomain(t *testing.T) {
	g := newTolerantGroup(t, 3, Tolerance{Nodes: 1})
	g.apply(g.client(), "cmd", "1")
	g.waitFor("the failure domains", func() error {
		peers, err := runInLoop(g.ctx(), g.nodes[g.leader()], func(c *core) []consensus.Peer { return c.raft.Group().Peers })
		for _, p := range peers {
			if p.Domain == "" {
				return errors.Errorf("%+v %v", peers, err)
			}
		}
		return err
	})
}

// Guards against a learner that stays out of the group after its data directory was
// emptied, because its earlier instance still holds its name.
func TestEmptiedLearnerRejoins(t *testing.T) {
	g := newTolerantGroup(t, 4, Tolerance{Nodes: 1})
	c := g.client()
	g.waitForVoterCount(c, 3)
	const learner = 3
	g.waitUntilListed(c, learner)
	g.stop(learner)
	g.emptyDisk(learner)
	g.start(learner)
	g.waitUntilListed(c, learner)
	g.waitForVoterCount(c, 3)
	g.stop(0)
	g.emptyDisk(0)
	g.apply(g.clientOf(addrsOf(g.running())), "cmd-1", "1")
}

// Guards against a voter that was replaced while it could not be reached, and then keeps
// its data directory but belongs to no group for ever.
func TestReplacedVoterJoinsAgain(t *testing.T) {
	g := newGroupWith(t, 3, func(o *Options) { o.AutoJoin, o.LostAfter = true, time.Second })
	c := g.client()
	g.apply(c, "cmd-1", "1")
	cut := (g.leader() + 1) % 3
	g.net.setIsolated(g.opts[cut].Listen, true)
	fresh := g.addJoining("fresh", Tolerance{Nodes: 1})
	g.opts[fresh].LostAfter = time.Second
	g.start(fresh)
	g.waitUntilUnlisted(c, cut)
	g.net.setIsolated(g.opts[cut].Listen, false)
	g.waitUntilListed(c, cut)
	g.stop((cut + 1) % 3)
	g.waitForVoters(g.clientOf(addrsOf(g.running())), g.running())
	g.apply(g.clientOf(addrsOf(g.running())), "cmd-2", "2")
}

func (g *group) waitUntilUnlisted(c *member.Client, i int) {
	g.t.Helper()
	g.waitFor("the node to be replaced", func() error {
		st, err := c.Status(g.ctx(), wire.Status{})
		if err != nil {
			return err
		}
		for _, n := range st.Nodes {
			if n.Node == g.opts[i].Node {
				return errors.Errorf("%+v", st.Nodes)
			}
		}
		return nil
	})
}

// Guards against a second group: nodes whose disks were emptied, or that replace others,
// find only each other under the seeds of their settings and must not start anew.
func TestNodesThatMayOnlyJoinFormNoGroup(t *testing.T) {
	g := newGroupWith(t, 3, func(o *Options) { o.AutoJoin, o.JoinOnly = true, true })
	ctx, cancel := context.WithTimeout(g.ctx(), 3*time.Second)
	defer cancel()
	r, err := g.client().Apply(ctx, wire.Apply{CommandID: "cmd", Expect: wire.AnyVersion})
	if err == nil {
		t.Fatalf("a group without its disks accepted a change: %+v", r)
	}
}

// Guards against a new group that never forms because one of its nodes was restarted
// before it had formed, and only the first start may form a group.
func TestSeedRestartedBeforeTheGroupFormed(t *testing.T) {
	g := newGroupWith(t, 3, func(o *Options) { o.AutoJoin = true }, 0)
	g.stop(0)
	g.opts[0].JoinOnly = true
	for i := range 3 {
		g.start(i)
	}
	g.apply(g.client(), "cmd", "1")
}

// Guards against a confirmed read that a node gives up before it can be confirmed: an
// operator has 900 ms, and asks any node of a group whose leader is not among the seeds.
func TestEveryNodeAnswersConfirmedReads(t *testing.T) {
	g := newTolerantGroup(t, 6, Tolerance{Nodes: 2})
	c := g.client()
	g.waitForVoterCount(c, 5)
	if _, err := c.Apply(g.ctx(), wire.Apply{Revision: 7, Pairs: []wire.Pair{{Key: "k", Value: "1"}}}); err != nil {
		t.Fatal(err)
	}
	for i, n := range g.nodes {
		if r, err := n.ReadConfiguration(g.ctx()); err != nil || r.Revision != 7 {
			t.Errorf("node %d: revision %d, %v", i, r.Revision, err)
		}
		g.waitFor("a leader", func() error {
			r, err := runInLoop(g.ctx(), n, answerAtOnce)
			switch {
			case err != nil:
				return err
			case !r.knowsLeader:
				return errors.New("an election is under way")
			case r.leads:
				return nil
			case r.err == nil || r.err.Reason != verdict.NotLeader:
				t.Errorf("node %d: %v; a follower has to name the leader at once", i, r.err)
			}
			return nil
		})
	}
}

// immediateAnswer is the answer to a read, and what the node knew of the leader.
type immediateAnswer struct {
	knowsLeader, leads bool
	err                *verdict.Error // nil without an answer
}

// answerAtOnce requests a confirmed read and returns the answer that is given without
// waiting for other nodes.
func answerAtOnce(c *core) immediateAnswer {
	r := immediateAnswer{knowsLeader: c.raft.Leader() != "", leads: c.raft.IsLeader()}
	c.readConfirmed(func(e *verdict.Error) { r.err = e })
	return r
}

// Guards against a node that is back after a loss of power and hears nothing for seconds,
// because the others still send over the connections from before.
func TestLinkReconnectsToASilentPeer(t *testing.T) {
	server := silentServer(t)
	dials := make(chan struct{}, 16)
	ls := newLinks(func(ctx context.Context, addr string) (*rpc.Conn, error) {
		dials <- struct{}{}
		return rpc.Dial(ctx, addr, rpc.Security{}, nil, nil)
	}, "from", "from:1")
	defer ls.close()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(testTimeout)
	for seen := 0; seen < 2; {
		select {
		case <-ticker.C:
			ls.queueMessage(server, consensus.Message{Kind: consensus.MsgAppend, From: "from", To: "to"})
		case <-dials:
			seen++
		case <-timeout:
			t.Fatalf("%d connections to a peer that does not answer", seen)
		}
	}
}

// silentServer accepts connections and answers nothing.
func silentServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return l.Addr().String()
}
