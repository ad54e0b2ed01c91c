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
	// replacePollInterval is how often serveReplace checks the progress of a
	// replacement.
	replacePollInterval = 50 * time.Millisecond
	// replaceTimeout limits one call. The client repeats the call until the
	// replacement is done.
	replaceTimeout = 2 * time.Second
)

// serveReplace adds the new node as a learner, waits until it has caught up, and
// exchanges it for the old voter in one membership change. Each step starts from the
// current membership, so the call can be repeated at any time, also at another
// leader.
func (n *Node) serveReplace(ctx context.Context, _ *rpc.Conn, p wire.Replace) (wire.Empty, error) {
	if p.Node == "" || p.Addr == "" || p.Instance == "" {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "node, address and instance of the new node are needed")
	}
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	for {
		step, err := runInLoop(ctx, n, func(c *core) replaceStep { return c.advanceReplacement(p) })
		if err != nil {
			return wire.Empty{}, verdict.Refuse(verdict.Stale, "node %s has not caught up yet", p.Node).After(time.Second)
		}
		if step.done {
			return wire.Empty{}, nil
		}
		if step.err != nil {
			return wire.Empty{}, step.err
		}
		select {
		case <-ctx.Done():
		case <-time.After(replacePollInterval):
		}
	}
}

// serveJoin lets a new node take the place of a lost voter, or adds it as a learner
// until a voter is lost.
func (n *Node) serveJoin(ctx context.Context, c *rpc.Conn, p wire.Join) (wire.Empty, error) {
	if p.Node == "" || p.Addr == "" || p.Instance == "" {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "node, address and instance of the new node are needed")
	}
	old, err := runInLoop(ctx, n, func(c *core) ids.Node { return c.nodeToReplace(p) })
	if err != nil {
		return wire.Empty{}, err
	}
	return n.serveReplace(ctx, c, wire.Replace{Old: old, Node: p.Node, Addr: p.Addr, Instance: p.Instance})
}

// nodeToReplace returns the name of the voter whose place a new node takes, empty if
// no voter is lost. A voter with the name and address of the new node is lost: its
// data directory was emptied.
func (c *core) nodeToReplace(p wire.Join) ids.Node {
	var lostVoter ids.Node
	for _, q := range c.raft.Group().Peers {
		switch {
		case !q.Voter || string(q.ID) == p.Instance:
		case q.Name == string(p.Node) && q.Addr == p.Addr:
			return p.Node
		case c.lost(q):
			lostVoter = ids.Node(q.Name)
		}
	}
	return lostVoter
}

// lost reports whether a voter has been silent for so long that another node may
// take its place.
func (c *core) lost(p consensus.Peer) bool {
	return p.Voter && time.Duration(c.raft.TicksSinceReply(p.ID))*c.opt.Tick >= c.opt.LostAfter
}

// replaceLostVoter replaces a lost voter by a learner that responds. Consensus
// refuses the change until the learner has caught up, and while another change is in
// progress.
func (c *core) replaceLostVoter() {
	g := c.raft.Group()
	if g.IsJoint() || !c.groupCommitted() {
		return
	}
	lost := slices.IndexFunc(g.Peers, c.lost)
	learner := slices.IndexFunc(g.Peers, func(p consensus.Peer) bool {
		return !p.Voter && time.Duration(c.raft.TicksSinceReply(p.ID))*c.opt.Tick < maxLearnerSilence
	})
	if lost < 0 || learner < 0 {
		return
	}
	klog.Warningf("control: Node %s has been silent for at least %v; replacing it by learner %s.", g.Peers[lost].Name, c.opt.LostAfter, g.Peers[learner].Name)
	if step := c.proposeGroup(swapPeer(g, g.Peers[lost], g.Peers[learner].ID)); step.err != nil {
		klog.Warningf("control: The replacement was refused: %v.", step.err)
	}
}

// maxLearnerSilence is the longest silence of a learner that may become a voter.
const maxLearnerSilence = time.Second

// replaceStep is the state of a replacement after one step.
type replaceStep struct {
	done bool
	err  *verdict.Error
}

// advanceReplacement takes the next step of a replacement.
func (c *core) advanceReplacement(p wire.Replace) replaceStep {
	if !c.raft.IsLeader() {
		return replaceStep{err: c.notLeader()}
	}
	g := c.raft.Group()
	id := consensus.ID(p.Instance)
	old, hasOld := oldPeer(g, p)
	newPeer, hasNew := g.Peer(id)
	switch {
	case g.IsJoint():
		return replaceStep{}
	case !hasNew:
		if p.Old != "" && !hasOld {
			return replaceStep{err: verdict.Refuse(verdict.BadRequest, "no control node is named %q", p.Old)}
		}
		if e := checkNameFree(g, p); e != nil {
			return replaceStep{err: e}
		}
		peer := consensus.Peer{ID: id, Name: string(p.Node), Addr: p.Addr}
		return c.proposeGroup(consensus.Group{Peers: append(slices.Clone(g.Peers), peer)})
	case p.Old == "" || !hasOld && newPeer.Voter:
		return replaceStep{done: c.groupCommitted()}
	case !hasOld:
		return replaceStep{err: verdict.Refuse(verdict.BadRequest, "no control node is named %q", p.Old)}
	}
	return c.proposeGroup(swapPeer(g, old, id))
}

// proposeGroup proposes a membership. A refusal because of a change in progress, or
// because the new node has not caught up, is no error: the caller tries again.
func (c *core) proposeGroup(g consensus.Group) replaceStep {
	err := c.raft.ProposeGroup(g)
	if err == nil {
		klog.Infof("control: Proposed a membership of %d control nodes.", len(g.Peers))
		return replaceStep{}
	}
	e := verdict.FromError(err)
	switch e.Reason {
	case verdict.Stale, verdict.VersionConflict, verdict.NoQuorum:
		return replaceStep{}
	}
	return replaceStep{err: e}
}

// groupCommitted reports whether the current membership is committed.
func (c *core) groupCommitted() bool {
	same := func(a, b consensus.Peer) bool { return a.ID == b.ID && a.Voter == b.Voter }
	return slices.EqualFunc(c.committedGroup.Peers, c.raft.Group().Peers, same)
}

// oldPeer returns the node to be replaced, which may have the same name as the new
// node.
func oldPeer(g consensus.Group, p wire.Replace) (consensus.Peer, bool) {
	for _, q := range g.Peers {
		if ids.Node(q.Name) == p.Old && string(q.ID) != p.Instance {
			return q, true
		}
	}
	return consensus.Peer{}, false
}

func checkNameFree(g consensus.Group, p wire.Replace) *verdict.Error {
	for _, q := range g.Peers {
		if ids.Node(q.Name) == p.Node && p.Node != p.Old {
			return verdict.Refuse(verdict.BadRequest, "a control node is named %q already, with instance %s", q.Name, q.ID)
		}
	}
	return nil
}

// swapPeer returns the group in which the node id replaces the old one.
func swapPeer(g consensus.Group, old consensus.Peer, id consensus.ID) consensus.Group {
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
