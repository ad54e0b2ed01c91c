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
	"github.com/baobabshore/baobabshore/wire"
)

// hello is the message by which the nodes of a new group tell each other their
// instance ids, and its reply.
type hello struct {
	Node     ids.Node     `json:"node"`
	Instance consensus.ID `json:"inst"`
	// Set is the group that the sender would form, empty until it has heard
	// from all peers.
	Set []consensus.Peer `json:"set,omitempty"`
	// Locked is set once the sender will form Set or no group at all.
	Locked bool `json:"locked,omitempty"`
	// Formed is set once the sender holds state of a group. Set is then the
	// group that it formed, or empty if it was added later.
	Formed bool `json:"formed,omitempty"`
}

// formation decides on the first group. A node announces the set of instances
// that it would form a group of. Once every peer has announced the same set, the
// node locks it: it syncs the set and never locks another one. It forms the group
// once every peer has locked that set. As each group needs the locks of all its
// nodes, no instance can be in two groups.
//
// A node whose folder was emptied has a new instance id. Its peers answer that
// they have formed a group without it, so it waits to be added by control.replace.
// If a folder is emptied between lock and formation, the group can't form until
// the folders of the locked nodes are emptied too.
type formation struct {
	self  consensus.Peer
	peers []Peer // all, this node included
	heard map[ids.Node]hello
	set   []consensus.Peer
	// locked is set once set has been synced.
	locked bool
	// excluded is set once a peer has named a group without this instance.
	excluded bool
}

// newFormation starts with the set that the node locked in an earlier run, if any.
func newFormation(self consensus.Peer, peers []Peer, locked []consensus.Peer) *formation {
	f := &formation{self: self, peers: peers, heard: map[ids.Node]hello{}, set: locked, locked: len(locked) > 0}
	f.propose()
	return f
}

// hello returns what this node announces.
func (f *formation) hello() hello {
	return hello{Node: ids.Node(f.self.Name), Instance: f.self.ID, Set: f.set, Locked: f.locked}
}

// receive takes the announcement of a peer. formed is set when the peer belongs
// to a group that this node has locked.
func (f *formation) receive(h hello) (formed bool) {
	if h.Formed {
		f.excluded = !f.locked || !slices.Equal(h.Set, f.set)
		return !f.excluded
	}
	for _, p := range f.peers {
		if p.Node == h.Node && p.Node != ids.Node(f.self.Name) {
			f.heard[h.Node] = h
			f.propose()
		}
	}
	return false
}

// mayLock reports whether the node has to sync its set and then set locked.
func (f *formation) mayLock() bool {
	return !f.locked && f.agreed(func(hello) bool { return true })
}

// mayForm reports whether the node has to form the group of its set.
func (f *formation) mayForm() bool {
	return f.locked && f.agreed(func(h hello) bool { return h.Locked })
}

func (f *formation) agreed(ok func(hello) bool) bool {
	for _, p := range f.peers {
		if p.Node == ids.Node(f.self.Name) {
			continue
		}
		if h := f.heard[p.Node]; !slices.Equal(h.Set, f.set) || !ok(h) {
			return false
		}
	}
	return len(f.set) == len(f.peers)
}

// propose computes the announced set from the instances heard, unless it is locked.
func (f *formation) propose() {
	if f.locked {
		return
	}
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
	f.set = set
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
	return hello{Node: c.opt.Node, Instance: c.id.ID, Formed: true, Set: c.member.First.Peers}
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
	if c.forming.receive(h) {
		c.broken = c.formGroup()
		return
	}
	if c.broken = c.form(); c.broken != nil || c.forming == nil {
		return
	}
	if c.forming.excluded && !waiting {
		klog.Warningf("control: A group exists without this node. Add it with control.replace: node %s, address %s, instance %s.",
			c.opt.Node, c.opt.Advertise, c.id.ID)
	}
}

// form locks and forms the first group as far as the peers have agreed.
func (c *core) form() error {
	if c.forming.mayLock() {
		c.member.First = consensus.Group{Peers: c.forming.set}
		if err := c.member.save(c.opt.FS, c.opt.Data); err != nil {
			return err
		}
		c.forming.locked = true
	}
	if !c.forming.mayForm() {
		return nil
	}
	return c.formGroup()
}

// formState tells the polling goroutine how to go on.
type formState struct {
	hello   hello
	formed  bool
	waiting bool
}

// pollPeers exchanges announcements with the peers until the node holds a group.
func (n *Node) pollPeers(dial member.Dialer) {
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
			n.askToJoin(dial)
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

// askToJoin asks the group for the place of a lost node, if the options say so.
// It is repeated until the node holds state of the group.
func (n *Node) askToJoin(dial member.Dialer) {
	if !n.opt.AutoJoin {
		return
	}
	var servers []string
	for _, p := range n.opt.Peers {
		if p.Node != n.opt.Node {
			servers = append(servers, p.Addr)
		}
	}
	c, err := member.NewClient(member.ClientOptions{Servers: servers, Dial: dial})
	if err != nil {
		klog.Warningf("control: No node can be asked to join: %v.", err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
	defer cancel()
	err = c.Join(ctx, wire.Join{Node: n.opt.Node, Addr: n.opt.Advertise, Instance: n.Instance()})
	klog.Infof("control: Node %s, instance %s, asked to join: %v.", n.opt.Node, n.Instance(), err)
}

// joinTimeout bounds one request to join. It covers the transfer of a snapshot.
const joinTimeout = 3 * time.Second
