package control

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
)

// noLeaderLogInterval is how often a node without a leader logs what it knows of the group.
// An election takes less.
const noLeaderLogInterval = 3 * time.Second

// peerContact is the latest exchange with a peer.
type peerContact struct {
	heardAt    time.Time // of any message from the peer
	answeredAt time.Time // of a message that answers one of this node
}

// recordContact records the arrival of messages from a peer of the group.
func (c *core) recordContact(p stepBatch, now time.Time) {
	if _, ok := c.raft.Group().Peer(p.From); !ok {
		delete(c.contacts, p.From)
		return
	}
	contact := c.contacts[p.From]
	contact.heardAt = now
	for _, m := range p.Messages {
		if m.IsReply() {
			contact.answeredAt = now
		}
	}
	c.contacts[p.From] = contact
}

// reportMissingLeader logs, while the node knows no leader, what keeps it from electing
// one: a line about the node, and one about each other voter.
func (c *core) reportMissingLeader(now time.Time) {
	if c.raft.TicksSinceLeader() < c.ticks(silentAfter) || !c.membership.Joined {
		c.lastLeaderAt = now
		return
	}
	if now.Sub(c.lastLeaderAt) < noLeaderLogInterval || now.Sub(c.lastNoLeaderLogAt) < noLeaderLogInterval {
		return
	}
	c.lastNoLeaderLogAt = now
	g := c.raft.Group()
	klog.InfoS("control: No leader", "ms", now.Sub(c.lastLeaderAt).Milliseconds(), "term", c.raft.Term(),
		"votesGranted", len(c.raft.GrantedVotes()), "outdatedDisk", c.raft.HasOutdatedDisk(), "lastIndex", c.raft.LastIndex(),
		"membershipIndex", c.raft.GroupIndex(), "voters", peerNames(g, true))
	for _, p := range g.Peers {
		if p.Voter && p.ID != c.instance.ID {
			c.reportVoter(p, now)
		}
	}
}

// reportVoter logs what this node knows of another voter. The keys that tell the causes
// apart come first, since a reader may cut long lines.
func (c *core) reportVoter(p consensus.Peer, now time.Time) {
	contact := c.contacts[p.ID]
	link := c.links.statusOf(p.Addr)
	klog.InfoS("control: Voter without a leader", "voter", p.Name, "heardMs", millisecondsSince(contact.heardAt, now),
		"answeredMs", millisecondsSince(contact.answeredAt, now), "ignored", c.raft.IgnoredVotes()[p.ID],
		"reconnects", link.reconnects, "connectErr", link.connectErr, "addr", p.Addr, "instance", p.ID)
}

// never is the age in a log line of something that hasn't happened.
const never = -1

func millisecondsSince(t, now time.Time) int64 {
	if t.IsZero() {
		return never
	}
	return now.Sub(t).Milliseconds()
}
