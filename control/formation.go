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

// hello is the message by which the nodes of a new group tell each other their
// instance ids, and its reply.
type hello struct {
	Node     ids.Node     `json:"node"`
	Instance consensus.ID `json:"inst"`
	// Set is the group that the sender would form, empty until it has heard
	// from all peers.
	Set []consensus.Peer `json:"set,omitempty"`
	// Formed is set once the sender holds state of a group.
	Formed bool `json:"formed,omitempty"`
	// First is the group that the sender formed.
	First []consensus.Peer `json:"first,omitempty"`
}

// formation decides on the first group. A node announces the set of instances
// that it would form a group of, and forms it only when every peer has announced
// exactly this set. A node that has changed its announcement forgets what others
// announced before, and a node that has formed a group only ever names that one.
// So two different groups would need a node that announced the one after it had
// formed the other.
//
// A node whose folder was emptied has a new instance id. Its peers answer that
// they have formed a group without it, so it waits to be added by control.replace.
type formation struct {
	self  consensus.Peer
	peers []Peer // all, this node included
	heard map[ids.Node]hello
	set   []consensus.Peer
	// excluded is set once a peer has named a group without this instance.
	excluded bool
}

func newFormation(self consensus.Peer, peers []Peer) *formation {
	f := &formation{self: self, peers: peers, heard: map[ids.Node]hello{}}
	f.propose()
	return f
}

// hello returns what this node announces.
func (f *formation) hello() hello {
	return hello{Node: ids.Node(f.self.Name), Instance: f.self.ID, Set: f.set}
}

// receive takes the announcement of a peer and returns the group to form, if
// there is one.
func (f *formation) receive(h hello) (group consensus.Group, ok bool) {
	if h.Formed {
		return f.adopt(h.First)
	}
	if !slices.ContainsFunc(f.peers, func(p Peer) bool { return p.Node == h.Node }) || h.Node == ids.Node(f.self.Name) {
		return consensus.Group{}, false
	}
	f.heard[h.Node] = h
	f.propose()
	if f.set == nil {
		return consensus.Group{}, false
	}
	for _, p := range f.peers {
		if p.Node != ids.Node(f.self.Name) && !slices.Equal(f.heard[p.Node].Set, f.set) {
			return consensus.Group{}, false
		}
	}
	return consensus.Group{Peers: f.set}, true
}

// adopt forms the group of a peer if this instance belongs to it. It is safe at
// any later time, since this instance has never voted.
func (f *formation) adopt(first []consensus.Peer) (consensus.Group, bool) {
	if !slices.ContainsFunc(first, func(p consensus.Peer) bool { return p.ID == f.self.ID }) {
		f.excluded = true
		return consensus.Group{}, false
	}
	return consensus.Group{Peers: first}, true
}

// propose computes the announced set from the instances heard. When the set
// changes, earlier announcements of others no longer count.
func (f *formation) propose() {
	set := []consensus.Peer{}
	for _, p := range f.peers {
		id := f.self.ID
		if p.Node != ids.Node(f.self.Name) {
			h, ok := f.heard[p.Node]
			if !ok {
				return
			}
			id = h.Instance
		}
		set = append(set, consensus.Peer{ID: id, Name: string(p.Node), Addr: p.Addr, Voter: true})
	}
	slices.SortFunc(set, func(a, b consensus.Peer) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(set, f.set) {
		return
	}
	f.set = set
	for node, h := range f.heard {
		h.Set = nil
		f.heard[node] = h
	}
}

const (
	helloInterval = 100 * time.Millisecond
	// waitInterval is the pause of a node that waits to be added to a group.
	waitInterval = time.Second
	helloTimeout = time.Second
)

// hello returns what this node tells others of its group.
func (c *core) hello() hello {
	if c.forming != nil {
		return c.forming.hello()
	}
	return hello{Node: c.opt.Node, Instance: c.id.ID, Formed: true, First: c.member.First.Peers}
}

// exchange takes an announcement and answers with this node's own.
func (c *core) exchange(h hello) hello {
	c.heardHello(h)
	return c.hello()
}

func (c *core) heardHello(h hello) {
	if c.forming == nil {
		return
	}
	waiting := c.forming.excluded
	g, ok := c.forming.receive(h)
	if ok {
		c.broken = c.formGroup(g)
		return
	}
	if c.forming.excluded && !waiting {
		klog.Warningf("control: A group exists without this node. Add it with control.replace: node %s, address %s, instance %s.",
			c.opt.Node, c.opt.Advertise, c.id.ID)
	}
}

// formState tells the polling goroutine how to go on.
type formState struct {
	hello   hello
	formed  bool
	waiting bool
}

// form exchanges announcements with the peers until the node holds a group.
func (n *Node) form(dial member.Dialer) {
	for {
		st, err := ask(n.ctx, n, func(c *core) formState {
			return formState{hello: c.hello(), formed: c.forming == nil, waiting: c.forming != nil && c.forming.excluded}
		})
		if err != nil || st.formed {
			return
		}
		for _, p := range n.opt.Peers {
			if p.Node != n.opt.Node {
				n.sayHello(dial, p, st.hello)
			}
		}
		wait := helloInterval
		if st.waiting {
			wait = waitInterval
		}
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// sayHello exchanges announcements with one peer. A peer that can't be reached
// is asked again in the next round.
func (n *Node) sayHello(dial member.Dialer, p Peer, h hello) {
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
	if err := n.post(ctx, func(c *core) { c.heardHello(r) }); err != nil {
		klog.Warningf("control: The answer of %s was not taken: %v.", p.Node, err)
	}
}
