package control

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// status returns the state of the group as known to this node. Only the leader knows
// the renewals of all members.
func (c *core) status(q wire.Status, now time.Time) wire.StatusReply {
	r := wire.StatusReply{
		Node:      c.opt.Node,
		Term:      c.raft.Term(),
		Commit:    ids.Version(c.raft.Commit()),
		ConfigVer: c.state.ConfigVer(),
		OpenJobs:  c.state.OpenJobs(),
	}
	if p, ok := c.raft.Group().Peer(c.raft.Leader()); ok {
		r.Leader = ids.Node(p.Name)
	}
	r.Nodes = c.controlNodes()
	for _, m := range c.state.Members() {
		st := wire.MemberStatus{Member: m}
		if l := c.leases.rows[m.Incarnation]; l != nil {
			st.Have = l.haveVersion
			st.AgeMS = now.Sub(l.renewedAt).Milliseconds()
		}
		if m.Live() {
			r.Live++
			if q.Index > 0 && st.Have >= q.Index {
				r.Holding++
			}
		}
		r.Members = append(r.Members, st)
	}
	return r
}

// controlNodes returns the nodes of the group. A node that waits to be added returns
// only itself.
func (c *core) controlNodes() []wire.ControlNode {
	g := c.raft.Group()
	if len(g.Peers) == 0 {
		return []wire.ControlNode{{Node: c.opt.Node, Addr: c.opt.Advertise, Instance: string(c.instance.ID)}}
	}
	var out []wire.ControlNode
	for _, p := range g.Peers {
		n := wire.ControlNode{Node: ids.Node(p.Name), Addr: p.Addr, Instance: string(p.ID), Voter: p.Voter}
		if c.raft.IsLeader() {
			n.Match = ids.Version(c.raft.Match(p.ID))
		}
		out = append(out, n)
	}
	return out
}
