package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// joinInterval is the time between two checks of a node whether it has to join.
	joinInterval = 200 * time.Millisecond
	// joinTimeout limits one join request. It is short, since the addresses to ask may
	// change meanwhile; the group completes a change whose request was given up.
	joinTimeout = 300 * time.Millisecond
	// rejoinAfter is the time without a leader after which a node asks to be added
	// again, in case it was removed from the group. An election takes less.
	rejoinAfter = 2 * time.Second
)

// serveJoin adds a node to the group as a learner, and returns once that is committed.
// adjustVoters makes it a voter later. The call can be repeated at any time.
func (n *Node) serveJoin(ctx context.Context, _ *rpc.Conn, p wire.Join) (wire.Empty, error) {
	if p.Node == "" || p.Addr == "" || p.Instance == "" {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "node, address and instance of the new node are needed")
	}
	return n.untilDone(ctx, p.Node, func(c *core) changeStep { return c.advanceJoin(p) })
}

// advanceJoin takes the next step to add a node to the group.
func (c *core) advanceJoin(p wire.Join) changeStep {
	if !c.raft.IsLeader() {
		return changeStep{err: c.notLeader()}
	}
	g := c.raft.Group()
	if g.IsJoint() || !c.groupCommitted() {
		return changeStep{}
	}
	if q, ok := g.Peer(consensus.ID(p.Instance)); ok {
		if describes(p, q) {
			return changeStep{done: true}
		}
		return c.proposeGroup(withDescription(g, p))
	}
	for _, q := range g.Peers {
		if q.Name == string(p.Node) && q.Addr != p.Addr {
			return changeStep{err: verdict.Refuse(verdict.BadRequest, "a control node is named %q already, with address %s", q.Name, q.Addr)}
		}
	}
	return c.proposeGroup(withLearner(g, p))
}

// withLearner returns g with the node as a learner. A learner at its address is an
// earlier instance, which ended when the data directory was emptied.
func withLearner(g consensus.Group, p wire.Join) consensus.Group {
	peers := slices.DeleteFunc(slices.Clone(g.Peers), func(q consensus.Peer) bool { return !q.Voter && q.Addr == p.Addr })
	return consensus.Group{Peers: append(peers, consensus.Peer{
		ID: consensus.ID(p.Instance), Name: string(p.Node), Addr: p.Addr, Domain: string(p.Domain), Observer: p.Observer,
	})}
}

// describes reports whether the group knows the node as the request describes it.
func describes(p wire.Join, q consensus.Peer) bool {
	return q.Addr == p.Addr && q.Domain == string(p.Domain) && q.Observer == p.Observer
}

// withDescription returns g with the description of a member as in its request.
func withDescription(g consensus.Group, p wire.Join) consensus.Group {
	peers := slices.Clone(g.Peers)
	for i, q := range peers {
		if string(q.ID) == p.Instance {
			peers[i].Addr, peers[i].Domain, peers[i].Observer = p.Addr, string(p.Domain), p.Observer
		}
	}
	return consensus.Group{Peers: peers}
}

// runJoin asks the group to add this node whenever the node is not in it, until the node
// stops.
func (n *Node) runJoin(dial member.Dialer) {
	for n.ctx.Err() == nil {
		call, err := runInLoop(n.ctx, n, func(c *core) joinCall { return joinCall{c.needsToJoin(), c.joinRequest(), c.joinAddrs()} })
		if err != nil {
			return
		}
		if call.needed {
			n.requestJoin(dial, call)
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// joinCall is a join request together with the addresses to send it to.
type joinCall struct {
	needed  bool
	request wire.Join
	servers []string
}

// needsToJoin reports whether this node is in no group, may have been removed from it, or
// has changed since it was added.
func (c *core) needsToJoin() bool {
	switch {
	case c.formation != nil:
		return c.formation.excluded
	case !c.membership.Joined:
		return true
	}
	self, ok := c.raft.Group().Peer(c.instance.ID)
	return !ok || !describes(c.joinRequest(), self) || c.raft.TicksSinceLeader() >= c.ticks(rejoinAfter)
}

func (c *core) joinRequest() wire.Join {
	return wire.Join{
		Node: c.opt.Node, Addr: c.opt.Advertise, Instance: string(c.instance.ID), Domain: c.opt.Domain, Observer: c.opt.Observer,
	}
}

// joinAddrs returns the addresses of the control nodes that this node knows of, also of
// those that have sent it messages. Its own comes first: it may lead a group that knows it
// under another description.
func (c *core) joinAddrs() []string {
	addrs := []string{c.opt.Advertise}
	add := func(addr string) {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	for _, p := range c.raft.Group().Peers {
		add(p.Addr)
	}
	for _, addr := range c.opt.Directory.Addrs() {
		add(addr)
	}
	for _, addr := range c.senderAddrs {
		add(addr)
	}
	return addrs
}

// announceInterval is how often a leader makes itself known to the seeds.
const announceInterval = time.Second

// announceToSeeds sends the address of this leader to the seeds that are not in the group.
// Others look for the group there, and a seed without a disk knows none of its nodes after
// a restart.
func (c *core) announceToSeeds(now time.Time) {
	if now.Sub(c.lastAnnouncedAt) < announceInterval {
		return
	}
	c.lastAnnouncedAt = now
	for _, addr := range c.opt.Directory.Addrs() {
		isMember := slices.ContainsFunc(c.raft.Group().Peers, func(p consensus.Peer) bool { return p.Addr == addr })
		if !isMember && addr != c.opt.Advertise {
			c.links.queueMessage(addr, consensus.Message{From: c.instance.ID})
		}
	}
}

// requestJoin sends one join request to the leader.
func (n *Node) requestJoin(dial member.Dialer, call joinCall) {
	c, err := member.NewClient(member.ClientOptions{Servers: call.servers, Dial: dial})
	if err != nil {
		klog.Warningf("control: Can't create the client for a join request: %v.", err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
	defer cancel()
	err = c.Join(ctx, call.request)
	klog.InfoS("control: Sent a join request", "node", n.opt.Node, "instance", n.Instance(), "servers", call.servers, "err", err)
}
