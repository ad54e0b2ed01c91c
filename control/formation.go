package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
)

// hello is the message, and its reply, in which the nodes of a new group announce
// their instance ids to each other.
type hello struct {
	Node     ids.Node     `json:"node"`
	Instance consensus.ID `json:"inst"`
	// Group lists the peers that the sender proposes as the first group. It is empty
	// until the sender has heard from all peers.
	Group []consensus.Peer `json:"set,omitempty"`
	// Locked is set once the sender is committed to Group: it forms this group or
	// none.
	Locked bool `json:"locked,omitempty"`
	// Formed is set once the sender belongs to a group. Group is then the group that
	// it formed, or empty if the sender was added later.
	Formed bool `json:"formed,omitempty"`
	// Observer is set if the sender must not vote. The group forms without it.
	Observer bool `json:"observer,omitempty"`
}

// groupFormation agrees with the peers on the first group. A node announces the set of
// instances that it proposes as the group. Once every peer has announced the same
// set, the node locks the set: it syncs it to disk and never locks another one. It
// forms the group once every peer has locked that set. As each group needs the locks
// of all its nodes, no instance can be in two groups.
//
// A node whose data directory was emptied has a new instance id. Its peers answer
// that they have formed a group without it, so it waits to be added by
// control.replace. If a data directory is emptied after the node has locked the group
// and before the group has formed, the group can't form until the data directories of
// the locked nodes are emptied too.
type groupFormation struct {
	self   consensus.Peer
	peers  []Peer // all nodes, this one included
	hellos map[ids.Node]hello
	group  []consensus.Peer
	// observers are the peers that must not vote.
	observers map[ids.Node]bool
	// locked is set once group has been synced to disk.
	locked bool
	// excluded is set once a peer has reported a group without this instance.
	excluded bool
}

// newFormation starts with the set that the node locked in an earlier run, if any.
func newFormation(self consensus.Peer, peers []Peer, locked []consensus.Peer) *groupFormation {
	f := &groupFormation{self: self, peers: peers, hellos: map[ids.Node]hello{}, observers: map[ids.Node]bool{}, group: locked, locked: len(locked) > 0}
	f.updateGroup()
	return f
}

// hello returns the announcement of this node.
func (f *groupFormation) hello() hello {
	return hello{Node: ids.Node(f.self.Name), Instance: f.self.ID, Group: f.group, Locked: f.locked}
}

// receive records the announcement of a peer. formed is true if the peer belongs to
// the group that this node has locked.
func (f *groupFormation) receive(h hello) (formed bool) {
	if h.Formed {
		f.excluded = !f.locked || !slices.Equal(h.Group, f.group)
		return !f.excluded
	}
	for _, p := range f.peers {
		if p.Node == h.Node && p.Node != ids.Node(f.self.Name) {
			f.hellos[h.Node] = h
			f.observers[h.Node] = h.Observer
			f.updateGroup()
		}
	}
	return false
}

// shouldLock reports whether the node has to sync its proposed group and then set
// locked.
func (f *groupFormation) shouldLock() bool {
	return !f.locked && f.allPeersAgree(func(hello) bool { return true })
}

// shouldForm reports whether the node has to form the group that it has locked.
func (f *groupFormation) shouldForm() bool {
	return f.locked && f.allPeersAgree(func(h hello) bool { return h.Locked })
}

func (f *groupFormation) allPeersAgree(ok func(hello) bool) bool {
	founders := 0
	for _, p := range f.peers {
		if f.observers[p.Node] {
			continue
		}
		founders++
		if p.Node == ids.Node(f.self.Name) {
			continue
		}
		if h := f.hellos[p.Node]; !slices.Equal(h.Group, f.group) || !ok(h) {
			return false
		}
	}
	return len(f.group) == founders
}

// updateGroup computes the proposed group from the received announcements, unless
// the group is locked.
func (f *groupFormation) updateGroup() {
	if f.locked {
		return
	}
	group := []consensus.Peer{}
	for _, p := range f.peers {
		id := f.self.ID
		if p.Node != ids.Node(f.self.Name) {
			h, ok := f.hellos[p.Node]
			if !ok {
				return
			}
			if h.Observer {
				continue
			}
			id = h.Instance
		}
		group = append(group, consensus.Peer{ID: id, Name: string(p.Node), Addr: p.Addr, Voter: true})
	}
	slices.SortFunc(group, func(a, b consensus.Peer) int { return cmp.Compare(a.ID, b.ID) })
	f.group = group
}

const (
	helloInterval = 100 * time.Millisecond
	helloTimeout  = time.Second
)

// hello returns the announcement of this node, also after its group has formed.
func (c *core) hello() hello {
	if c.formation != nil {
		return c.formation.hello()
	}
	return hello{
		Node: c.opt.Node, Instance: c.instance.ID, Formed: c.membership.Joined, Observer: c.opt.Observer,
		Group: c.membership.InitialGroup.Peers,
	}
}

// answerHello records an announcement and returns this node's own.
func (c *core) answerHello(h hello) hello {
	c.receiveHello(h)
	return c.hello()
}

func (c *core) receiveHello(h hello) {
	if c.formation == nil {
		return
	}
	wasExcluded := c.formation.excluded
	if c.formation.receive(h) {
		c.fatalErr = c.formGroup()
		return
	}
	if c.fatalErr = c.advanceFormation(); c.fatalErr != nil || c.formation == nil {
		return
	}
	if c.formation.excluded && !wasExcluded {
		klog.Warningf("control: A group exists without this node. Add it with control.replace: node %s, address %s, instance %s.",
			c.opt.Node, c.opt.Advertise, c.instance.ID)
	}
}

// allowFormation records that this node may form a group, so that it does so after a
// restart with JoinOnly as well.
func (c *core) allowFormation() error {
	if c.membership.MayForm {
		return nil
	}
	c.membership.MayForm = true
	return c.membership.save(c.opt.FS, c.opt.Data)
}

// advanceFormation locks and forms the first group as far as the peers agree.
func (c *core) advanceFormation() error {
	if c.formation.shouldLock() {
		c.membership.InitialGroup = consensus.Group{Peers: c.formation.group}
		if err := c.membership.save(c.opt.FS, c.opt.Data); err != nil {
			return err
		}
		c.formation.locked = true
	}
	if !c.formation.shouldForm() {
		return nil
	}
	return c.formGroup()
}

// formationStatus is what runFormation needs to know for its next round.
type formationStatus struct {
	hello      hello
	formed     bool
	isExcluded bool
}

// runFormation exchanges announcements with the peers until the node belongs to a
// group.
func (n *Node) runFormation(dial member.Dialer) {
	for {
		st, err := runInLoop(n.ctx, n, func(c *core) formationStatus {
			return formationStatus{hello: c.hello(), formed: c.formation == nil, isExcluded: c.formation != nil && c.formation.excluded}
		})
		if err != nil || st.formed {
			return
		}
		for _, p := range n.opt.Peers {
			if p.Node != n.opt.Node {
				n.exchangeHello(dial, p, st.hello)
			}
		}
		wait := helloInterval
		if st.isExcluded {
			wait = joinInterval
		}
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// exchangeHello exchanges announcements with one peer. A peer that can't be reached
// is tried again in the next round.
func (n *Node) exchangeHello(dial member.Dialer, p Peer, h hello) {
	ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
	defer cancel()
	conn, err := dial(ctx, p.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	var r hello
	if err := conn.Call(ctx, methodHello, h, &r); err != nil {
		return
	}
	if err := n.post(ctx, func(c *core) { c.receiveHello(r) }); err != nil {
		klog.Warningf("control: Discarded the hello reply of %s: %v.", p.Node, err)
	}
}
