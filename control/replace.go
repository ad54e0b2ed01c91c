package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// replaceStep is how often the progress of a replacement is looked at.
	replaceStep = 50 * time.Millisecond
	// replaceWait bounds one call. The client repeats it until it is done.
	replaceWait = 2 * time.Second
)

// serveReplace adds the new node as a learner, waits until it has caught up, and
// exchanges it for the old voter in one change. Each step looks at the group
// afresh, so the call can be repeated at any time, also at another leader.
func (n *Node) serveReplace(ctx context.Context, _ *rpc.Conn, p wire.Replace) (wire.Empty, error) {
	if p.Node == "" || p.Addr == "" || p.Instance == "" {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "node, address and instance of the new node are needed")
	}
	ctx, cancel := context.WithTimeout(ctx, replaceWait)
	defer cancel()
	for {
		st, err := ask(ctx, n, func(c *core) progress { return c.replace(p) })
		if err != nil {
			return wire.Empty{}, verdict.Refuse(verdict.Stale, "node %s has not caught up yet", p.Node).After(time.Second)
		}
		if st.done {
			return wire.Empty{}, nil
		}
		if st.err != nil {
			return wire.Empty{}, st.err
		}
		select {
		case <-ctx.Done():
		case <-time.After(replaceStep):
		}
	}
}

// serveJoin gives a new node the place of a lost one, or adds it as a learner
// until one is lost.
func (n *Node) serveJoin(ctx context.Context, c *rpc.Conn, p wire.Join) (wire.Empty, error) {
	if p.Node == "" || p.Addr == "" || p.Instance == "" {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "node, address and instance of the new node are needed")
	}
	old, err := ask(ctx, n, func(c *core) ids.Node { return c.lostNode(p) })
	if err != nil {
		return wire.Empty{}, err
	}
	return n.serveReplace(ctx, c, wire.Replace{Old: old, Node: p.Node, Addr: p.Addr, Instance: p.Instance})
}

// lostNode names the voter whose place a new node takes, empty if none is lost. A
// voter of the same name and address is lost: its folder was emptied.
func (c *core) lostNode(p wire.Join) ids.Node {
	var silent ids.Node
	for _, q := range c.raft.Group().Peers {
		switch {
		case !q.Voter || string(q.ID) == p.Instance:
		case q.Name == string(p.Node) && q.Addr == p.Addr:
			return p.Node
		case c.lost(q):
			silent = ids.Node(q.Name)
		}
	}
	return silent
}

// lost reports whether a voter has been silent for so long that another node may
// take its place.
func (c *core) lost(p consensus.Peer) bool {
	return p.Voter && time.Duration(c.raft.TicksSinceReply(p.ID))*c.opt.Tick >= c.opt.LostAfter
}

// replaceLost gives the place of a lost voter to a learner that answers. Consensus
// refuses it until the learner has caught up and while another change goes on.
func (c *core) replaceLost() {
	g := c.raft.Group()
	if g.IsJoint() || !c.groupCommitted() {
		return
	}
	lost := slices.IndexFunc(g.Peers, c.lost)
	learner := slices.IndexFunc(g.Peers, func(p consensus.Peer) bool {
		return !p.Voter && time.Duration(c.raft.TicksSinceReply(p.ID))*c.opt.Tick < learnerSilence
	})
	if lost < 0 || learner < 0 {
		return
	}
	klog.Warningf("control: Node %s has been silent for %v; learner %s takes its place.", g.Peers[lost].Name, c.opt.LostAfter, g.Peers[learner].Name)
	if st := c.change(swap(g, g.Peers[lost], g.Peers[learner].ID)); st.err != nil {
		klog.Warningf("control: The place was not taken: %v.", st.err)
	}
}

// learnerSilence is the silence above which a learner is not made a voter.
const learnerSilence = time.Second

// progress is the state of a replacement.
type progress struct {
	done bool
	err  *verdict.Error
}

// replace takes the next step of a replacement.
func (c *core) replace(p wire.Replace) progress {
	if !c.raft.IsLeader() {
		return progress{err: c.notLeader()}
	}
	g := c.raft.Group()
	id := consensus.ID(p.Instance)
	old, hasOld := oldPeer(g, p)
	fresh, hasNew := g.Peer(id)
	switch {
	case g.IsJoint():
		return progress{}
	case !hasNew:
		if p.Old != "" && !hasOld {
			return progress{err: verdict.Refuse(verdict.BadRequest, "no control node is named %q", p.Old)}
		}
		if e := nameTaken(g, p); e != nil {
			return progress{err: e}
		}
		peer := consensus.Peer{ID: id, Name: string(p.Node), Addr: p.Addr}
		return c.change(consensus.Group{Peers: append(slices.Clone(g.Peers), peer)})
	case p.Old == "" || !hasOld && fresh.Voter:
		return progress{done: c.groupCommitted()}
	case !hasOld:
		return progress{err: verdict.Refuse(verdict.BadRequest, "no control node is named %q", p.Old)}
	}
	return c.change(swap(g, old, id))
}

// change proposes a membership. Waiting for the change before, or for the new
// node to catch up, is no failure.
func (c *core) change(g consensus.Group) progress {
	err := c.raft.ProposeGroup(g)
	if err == nil {
		klog.Infof("control: A change to %d control nodes begins.", len(g.Peers))
		return progress{}
	}
	e := verdict.From(err)
	switch e.Reason {
	case verdict.Stale, verdict.VersionConflict, verdict.NoQuorum:
		return progress{}
	}
	return progress{err: e}
}

// groupCommitted reports whether the membership in effect is committed.
func (c *core) groupCommitted() bool {
	same := func(a, b consensus.Peer) bool { return a.ID == b.ID && a.Voter == b.Voter }
	return slices.EqualFunc(c.committed.Peers, c.raft.Group().Peers, same)
}

// oldPeer returns the node to be replaced. It may have the new node's name.
func oldPeer(g consensus.Group, p wire.Replace) (consensus.Peer, bool) {
	for _, q := range g.Peers {
		if ids.Node(q.Name) == p.Old && string(q.ID) != p.Instance {
			return q, true
		}
	}
	return consensus.Peer{}, false
}

func nameTaken(g consensus.Group, p wire.Replace) *verdict.Error {
	for _, q := range g.Peers {
		if ids.Node(q.Name) == p.Node && p.Node != p.Old {
			return verdict.Refuse(verdict.BadRequest, "a control node is named %q already, with instance %s", q.Name, q.ID)
		}
	}
	return nil
}

// swap returns the group in which the new node has the place of the old one.
func swap(g consensus.Group, old consensus.Peer, id consensus.ID) consensus.Group {
	var out consensus.Group
	for _, p := range g.Peers {
		if p.ID == old.ID {
			continue
		}
		if p.ID == id {
			p.Voter = old.Voter
		}
		out.Peers = append(out.Peers, p)
	}
	return out
}
