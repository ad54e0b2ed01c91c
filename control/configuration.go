package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// catchUpPollInterval is how often a node whose tables lack the latest configuration
// looks for it.
const catchUpPollInterval = 10 * time.Millisecond

// catchUpTimeout is how long a read waits for the tables of its node. A learner hears of
// a commit within 400 ms, and most nodes within a round trip.
const catchUpTimeout = 250 * time.Millisecond

// ApplyRevision puts a configuration in force that has a revision of the operator. Any
// node may be called: it sends the leader what differs from the configuration that it
// holds itself. A revision that is not above the one in force is acknowledged without a
// change. A refusal of the configuration is returned in ApplyReply.Err. An error is a
// *verdict.Error; the change may be in force unless its verdict is not-run.
func (n *Node) ApplyRevision(ctx context.Context, a wire.Apply) (wire.ApplyReply, error) {
	if e := controlstate.CheckRevision(a); e != nil {
		return wire.ApplyReply{Err: e}, nil
	}
	for {
		held, err := n.heldConfig(ctx)
		if err != nil {
			return wire.ApplyReply{}, err
		}
		if a.Revision <= held.source.Revision {
			return held.reply, nil
		}
		p := held.source.Patch(a)
		r, err := n.client.Patch(ctx, p)
		if err != nil || r.Err == nil || r.Err.Reason != verdict.VersionConflict {
			return r, err
		}
		klog.InfoS("control: Configuration made from an outdated one", "revision", a.Revision,
			"base", p.Base, "inForce", r.Revision, "index", r.Index)
		if err := n.awaitIndex(ctx, uint64(r.Index)); err != nil {
			return wire.ApplyReply{}, err
		}
	}
}

// heldConfig is the configuration in the tables of a node, and the reply to a revision
// that is not above it.
type heldConfig struct {
	source controlstate.ConfigSource
	reply  wire.ApplyReply
}

func (n *Node) heldConfig(ctx context.Context) (heldConfig, error) {
	return runInLoop(ctx, n, func(c *core) heldConfig { return heldConfig{c.state.ConfigSource(), c.state.ConfigReply()} })
}

// awaitIndex waits until the tables of this node are complete up to a log index.
func (n *Node) awaitIndex(ctx context.Context, index uint64) error {
	for {
		applied, err := runInLoop(ctx, n, func(c *core) uint64 { return c.state.Index() })
		if err != nil {
			return err
		}
		if applied >= index {
			return nil
		}
		if e := n.sleep(ctx, catchUpPollInterval); e != nil {
			return e
		}
	}
}

// pendingPatch is a patch in the log of this leader that is not applied yet.
type pendingPatch struct {
	patch   wire.Patch
	replies []func(controlstate.Result, *verdict.Error)
}

// proposePatch appends a patch to the log. A repetition of the pending patch waits for
// the same record.
func (c *core) proposePatch(p wire.Patch, reply func(controlstate.Result, *verdict.Error)) {
	switch pending := c.pendingPatch; {
	case !c.raft.IsLeader():
		reply(controlstate.Result{}, c.notLeader())
		return
	case p.Revision <= c.state.ConfigSource().Revision:
		reply(controlstate.Result{Apply: c.state.ConfigReply()}, nil)
		return
	case pending != nil && pending.patch.Same(p):
		pending.replies = append(pending.replies, reply)
		return
	}
	pending := &pendingPatch{patch: p, replies: []func(controlstate.Result, *verdict.Error){reply}}
	c.pendingPatch = pending
	c.propose(controlstate.Command{Patch: &p}, func(r controlstate.Result, e *verdict.Error) {
		if c.pendingPatch == pending {
			c.pendingPatch = nil
		}
		for _, reply := range pending.replies {
			reply(r, e)
		}
	})
}

func (n *Node) servePatch(ctx context.Context, _ *rpc.Conn, p wire.Patch) (wire.ApplyReply, error) {
	r, err := n.await(ctx, func(c *core, reply func(controlstate.Result, *verdict.Error)) { c.proposePatch(p, reply) })
	return r.Apply, err
}

// ReadConfiguration returns a configuration that was in force at the time of the call or
// later. It answers from the tables of this node once they hold what the leader confirms,
// and from those of the leader if that takes long.
func (n *Node) ReadConfiguration(ctx context.Context) (controlstate.ConfigSource, error) {
	r, err := n.client.Confirm(ctx, wire.Confirm{})
	if err != nil {
		return controlstate.ConfigSource{}, err
	}
	held, err := n.heldConfig(ctx)
	if err != nil || held.source.ConfigID == r.ConfigID {
		return held.source, err
	}
	wait, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if n.awaitIndex(wait, uint64(r.Index)) == nil {
		held, err = n.heldConfig(ctx)
		return held.source, err
	}
	if r, err = n.client.Confirm(ctx, wire.Confirm{WithSource: true}); err != nil {
		return controlstate.ConfigSource{}, err
	}
	return controlstate.ConfigSource{ConfigID: r.ConfigID, Revision: r.Revision, Text: r.Source}, nil
}

func (n *Node) serveConfirm(ctx context.Context, _ *rpc.Conn, p wire.Confirm) (wire.ConfirmReply, error) {
	var out wire.ConfirmReply
	_, err := n.await(ctx, func(c *core, reply func(controlstate.Result, *verdict.Error)) {
		c.readConfirmed(func(e *verdict.Error) {
			out = c.confirmReply(p)
			reply(controlstate.Result{}, e)
		})
	})
	if err != nil {
		return wire.ConfirmReply{}, err
	}
	return out, nil
}

func (c *core) confirmReply(p wire.Confirm) wire.ConfirmReply {
	inForce := c.state.ConfigSource()
	r := wire.ConfirmReply{ConfigID: inForce.ConfigID, Revision: inForce.Revision, Index: ids.Version(c.state.Index())}
	if p.WithSource {
		r.Source = inForce.Text
	}
	return r
}
