package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
)

const (
	// mailLimit bounds the calls that wait for the loop.
	mailLimit = 4096
	// mailBatch bounds the calls between two syncs, so that heartbeats go out in time.
	mailBatch = 1024
)

// Node is a running control node.
type Node struct {
	core   *core // used by the loop only
	opt    Options
	addr   string
	id     consensus.ID
	server *rpc.Server
	mail   chan func(*core)
	ctx    context.Context // ends with the node
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu  sync.Mutex
	err error
}

// Run runs a control node until ctx ends. It returns nil after a planned stop,
// and the cause when the node had to stop, for example a failed sync.
func Run(ctx context.Context, o Options) error {
	n, err := Start(o)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.Done():
	}
	return n.Close()
}

// Start opens the data folder and the listener and starts a control node.
func Start(o Options) (*Node, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	l, err := o.listen()
	if err != nil {
		return nil, err
	}
	if o.Advertise == "" {
		o.Advertise = l.Addr().String()
	}
	if len(o.Peers) == 0 {
		o.Peers = []Peer{{Node: o.Node, Addr: o.Advertise}}
	}
	n, err := open(o, l)
	if err != nil {
		l.Close()
		return nil, err
	}
	return n, nil
}

func open(o Options, l net.Listener) (*Node, error) {
	dial := o.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (*rpc.Conn, error) {
			return rpc.Dial(ctx, addr, o.Security, nil, o.Counters)
		}
	}
	c, err := openCore(o)
	if err != nil {
		return nil, err
	}
	c.links = newLinks(dial, c.id.ID, o.Advertise)
	n := &Node{core: c, opt: o, addr: o.Advertise, id: c.id.ID, mail: make(chan func(*core), mailLimit)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.server = rpc.NewServer(l, o.Security, n.mux(), o.Counters)
	c.background = n.background
	n.done.Go(n.loop)
	if c.forming != nil {
		n.done.Go(func() { n.pollPeers(dial) })
	}
	klog.Infof("control: Node %s, instance %s, serves on %s in failure domain %q.", o.Node, c.id.ID, o.Advertise, o.Domain)
	return n, nil
}

// openCore reads the log and brings the tables to the last snapshot. Later
// records are applied once the group confirms that they are committed.
func openCore(o Options) (*core, error) {
	l, disk, err := wal.Open(o.FS, o.Data)
	if err != nil {
		return nil, errors.Wrap(err, "control")
	}
	if disk.Torn > 0 {
		klog.Warningf("control: %d bytes of an unfinished write were cut off the log.", disk.Torn)
	}
	now := time.Now()
	c := &core{
		opt: o, log: l, state: controlstate.New(),
		start: now, lastRun: now, leases: newLeases(), metrics: newMetrics(o.Scope),
		pending: map[ids.Incarnation]bool{}, waiters: map[uint64]waiter{},
		addrs: map[consensus.ID]string{},
	}
	if err := c.restore(disk); err != nil {
		l.Close()
		return nil, err
	}
	return c, nil
}

func (c *core) restore(disk wal.Recovered) error {
	var err error
	if c.id, err = c.log.RecordBoot(newInstance()); err != nil {
		return errors.Wrap(err, "control")
	}
	if c.member, err = loadMembership(c.opt.FS, c.opt.Data); err != nil {
		return err
	}
	empty := disk.Snapshot == nil && len(disk.Entries) == 0
	if empty && c.member.Joined {
		return errors.Errorf("control: %s says that this node belongs to a group, but the log is empty; "+
			"move the folder away and add the node again with control.replace", c.opt.Data)
	}
	if s := disk.Snapshot; s != nil {
		state, err := controlstate.Restore(s.Data)
		if err != nil {
			return err
		}
		state.Skip(s.Index)
		c.state, c.committed = state, s.Group
	}
	c.hard = disk.HardState
	c.raft = c.newRaft(disk.HardState, disk.Snapshot, disk.Entries)
	if !empty {
		if !c.member.Joined {
			return c.join()
		}
		return nil
	}
	self := consensus.Peer{ID: c.id.ID, Name: string(c.opt.Node), Addr: c.opt.Advertise, Voter: true}
	c.forming = newFormation(self, c.opt.Peers, c.member.First.Peers)
	return c.form()
}

func (c *core) newRaft(hs consensus.HardState, s *consensus.Snapshot, entries []consensus.Entry) *consensus.Node {
	seed := uint64(time.Now().UnixNano())
	for _, b := range []byte(c.id.ID) {
		seed = seed*31 + uint64(b)
	}
	return consensus.New(consensus.Config{
		ID: c.id.ID, Boot: c.id.Boot, Seed: seed,
		HardState: hs, Snapshot: s, Entries: entries,
	})
}

// formGroup starts this node with the first state of the group that it has locked.
func (c *core) formGroup() error {
	data, err := controlstate.New().Snapshot()
	if err != nil {
		return errors.Wrap(err, "control: first snapshot")
	}
	g := c.member.First
	s := consensus.Bootstrap(g, data)
	if err := c.log.Append(nil, nil, &s); err != nil {
		return errors.Wrap(err, "control: log")
	}
	c.raft = c.newRaft(c.hard, &s, nil)
	c.start = c.lastRun
	c.state.Skip(s.Index)
	c.committed = g
	klog.Infof("control: Node %s formed a group of %d nodes.", c.opt.Node, len(g.Peers))
	return c.join()
}

func (n *Node) background(f func() func(*core)) {
	n.done.Go(func() {
		then := f()
		if err := n.post(n.ctx, then); err != nil {
			klog.Infof("control: A snapshot was given up: %v.", err)
		}
	})
}

func (n *Node) loop() {
	defer n.cancel()
	ticker := time.NewTicker(n.opt.Tick / 2)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		case f := <-n.mail:
			n.core.advanceClock(time.Now())
			f(n.core)
			n.drain()
		}
		if err := n.core.run(time.Now()); err != nil {
			n.fail(err)
			return
		}
	}
}

// drain carries out the calls that have arrived meanwhile, so that their records
// share one sync.
func (n *Node) drain() {
	for range mailBatch {
		select {
		case f := <-n.mail:
			f(n.core)
		default:
			return
		}
	}
}

func (n *Node) fail(err error) {
	klog.Errorf("control: Node %s stops: %v.", n.opt.Node, err)
	n.mu.Lock()
	n.err = err
	n.mu.Unlock()
}

// Addr returns the address that the node advertises.
func (n *Node) Addr() string { return n.addr }

// Instance returns the id of the node's data folder, for control.replace.
func (n *Node) Instance() string { return string(n.id) }

// Done is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// Counters returns the counts of the node's messages.
func (n *Node) Counters() *rpc.Counters { return n.opt.Counters }

// Close stops the node and returns the failure that stopped it before, if any.
func (n *Node) Close() error {
	n.cancel()
	n.server.Close()
	n.done.Wait()
	n.core.links.close()
	n.core.failWaiters()
	closeErr := n.core.log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.err != nil {
		return n.err
	}
	if closeErr != nil {
		return errors.Wrap(closeErr, "control: log")
	}
	return nil
}

// ask runs f in the loop and returns its result.
func ask[T any](ctx context.Context, n *Node, f func(*core) T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if err := n.post(ctx, func(c *core) { reply <- f(c) }); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, verdict.Unknown(verdict.NoQuorum, "the call was given up")
	case <-n.ctx.Done():
		return zero, verdict.Unknown(verdict.Draining, "the node stops")
	}
}

func (n *Node) post(ctx context.Context, f func(*core)) error {
	select {
	case n.mail <- f:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(verdict.Overloaded, "the node is busy").After(time.Second)
	case <-n.ctx.Done():
		return verdict.Refuse(verdict.Draining, "the node stops")
	}
}
