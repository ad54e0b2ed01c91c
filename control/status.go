package control

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
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
		Domains:   slices.Clone(c.state.Domains()),
	}
	if p, ok := c.raft.Group().Peer(c.raft.Leader()); ok {
		r.Leader = ids.Node(p.Name)
	}
	r.Nodes = c.controlNodes()
	for _, m := range c.state.Members() {
		m.Draining = m.Draining || m.Kind == wire.KindAgent && c.state.DomainDrain(m.Domain).Drained
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

// silentAfter is the time without a reply after which a peer counts as unresponsive:
// several heartbeats, also of a learner.
const silentAfter = time.Second

// silence returns the time since the last reply of a peer to this leader. It is 0 for
// the leader itself, and at every other node.
func (c *core) silence(id consensus.ID) time.Duration {
	return time.Duration(c.raft.TicksSinceReply(id)) * c.opt.Tick
}

func (c *core) ticks(d time.Duration) uint64 { return uint64(d / c.opt.Tick) }

// setCommittedGroup records the membership as of the applied index. It logs a change of
// the nodes, and none of their descriptions.
func (c *core) setCommittedGroup(g consensus.Group, index uint64) {
	previous := c.committedGroup
	c.committedGroup = g
	if slices.Equal(peerNames(g, true), peerNames(previous, true)) && slices.Equal(peerNames(g, false), peerNames(previous, false)) {
		return
	}
	klog.InfoS("control: Membership committed", "index", index, "voters", peerNames(g, true), "learners", peerNames(g, false), "joint", g.IsJoint())
}

// peerNames returns the names and instance ids of the voters or of the learners.
func peerNames(g consensus.Group, voters bool) []string {
	var out []string
	for _, p := range g.Peers {
		if p.Voter == voters {
			out = append(out, fmt.Sprintf("%s/%s", p.Name, p.ID))
		}
	}
	return out
}
