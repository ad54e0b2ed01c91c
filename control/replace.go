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
	return n.untilDone(ctx, p.Node, func(c *core) changeStep { return c.advanceReplacement(p) })
}

// untilDone takes the steps of a membership change for a node until it is done, a step
// fails or replaceTimeout has passed.
func (n *Node) untilDone(ctx context.Context, node ids.Node, advance func(*core) changeStep) (wire.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	for {
		step, err := runInLoop(ctx, n, advance)
		if err != nil {
			return wire.Empty{}, verdict.Refuse(verdict.Stale, "node %s has not caught up yet", node).After(time.Second)
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

// changeStep is the state of a membership change after one step.
type changeStep struct {
	done bool
	err  *verdict.Error
}

// advanceReplacement takes the next step of a replacement.
func (c *core) advanceReplacement(p wire.Replace) changeStep {
	if !c.raft.IsLeader() {
		return changeStep{err: c.notLeader()}
	}
	g := c.raft.Group()
	id := consensus.ID(p.Instance)
	old, hasOld := oldPeer(g, p)
	newPeer, hasNew := g.Peer(id)
	switch {
	case g.IsJoint():
		return changeStep{}
	case !hasNew:
		if p.Old != "" && !hasOld {
			return changeStep{err: verdict.Refuse(verdict.BadRequest, "no control node is named %q", p.Old)}
		}
		if e := checkNameFree(g, p); e != nil {
			return changeStep{err: e}
		}
		peer := consensus.Peer{ID: id, Name: string(p.Node), Addr: p.Addr}
		return c.proposeGroup(consensus.Group{Peers: append(slices.Clone(g.Peers), peer)})
	case p.Old == "" || !hasOld && newPeer.Voter:
		return changeStep{done: c.groupCommitted()}
	case !hasOld:
		return changeStep{err: verdict.Refuse(verdict.BadRequest, "no control node is named %q", p.Old)}
	}
	return c.proposeGroup(swapPeer(g, old, id))
}

// proposeGroup proposes a membership. A refusal because of a change in progress, or
// because the new node has not caught up, is no error: the caller tries again.
func (c *core) proposeGroup(g consensus.Group) changeStep {
	err := c.raft.ProposeGroup(g)
	if err == nil {
		klog.Infof("control: Proposed a membership of %d control nodes.", len(g.Peers))
		return changeStep{}
	}
	e := verdict.FromError(err)
	switch e.Reason {
	case verdict.Stale, verdict.VersionConflict, verdict.NoQuorum:
		return changeStep{}
	}
	return changeStep{err: e}
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
