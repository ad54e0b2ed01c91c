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
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
)

const (
	// maxQueuedCalls limits the calls that wait for the event loop.
	maxQueuedCalls = 4096
	// maxCallsPerTurn limits the calls that share one sync, so that heartbeats are
	// sent in time.
	maxCallsPerTurn = 1024
)

// Node is a running control node.
type Node struct {
	core        *core // used by the event loop only
	opt         Options
	addr        string
	instance    consensus.ID
	server      *rpc.Server
	client      *member.Client // calls the leader for callers of this node
	submissions submissions
	calls       chan func(*core)
	ctx         context.Context // canceled when the node stops
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu  sync.Mutex
	err error
}

// Run runs a control node until ctx is canceled. It returns nil after a planned
// stop, and the cause if the node had to stop, for example a failed sync.
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

// Start opens the data directory and the listener, and starts a control node.
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
	if o.Directory == nil {
		o.Directory = member.NewDirectory(o.peerAddrs()...)
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
	client, err := member.NewClient(member.ClientOptions{Directory: o.Directory, Security: o.Security, Dial: dial})
	if err != nil {
		_ = c.log.Close() // the missing client is the cause
		return nil, err
	}
	c.client = client
	c.links = newLinks(dial, c.instance.ID, o.Advertise)
	n := &Node{core: c, opt: o, addr: o.Advertise, instance: c.instance.ID, client: client, calls: make(chan func(*core), maxQueuedCalls)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.server = rpc.NewBoundedServer(l, o.Gate, o.Security, n.mux(), o.Counters)
	c.runInBackground = n.runInBackground
	n.wg.Go(n.loop)
	if c.formation != nil {
		n.wg.Go(func() { n.runFormation(dial) })
	}
	if o.AutoJoin {
		n.wg.Go(func() { n.runJoin(dial) })
	}
	klog.Infof("control: Node %s, instance %s, serves on %s in failure domain %q.", o.Node, c.instance.ID, o.Advertise, o.Domain)
	return n, nil
}

// openCore reads the log and restores the tables from the last snapshot. Later
// records are applied once the group confirms that they are committed.
func openCore(o Options) (*core, error) {
	l, disk, err := wal.Open(o.FS, o.Data)
	if err != nil {
		return nil, errors.Wrap(err, "control: open the log")
	}
	if disk.Torn > 0 {
		klog.Warningf("control: Truncated %d bytes of an incomplete write at the end of the log.", disk.Torn)
	}
	now := time.Now()
	c := &core{
		opt: o, log: l, state: controlstate.New(),
		firstTickAt: now, lastRunAt: now, lastLeaderAt: now, leases: newLeases(), metrics: newMetrics(o.Scope),
		pendingMembers: map[ids.Incarnation]bool{}, waiters: map[uint64]waiter{},
		senderAddrs: map[consensus.ID]string{}, contacts: map[consensus.ID]peerContact{}, reads: newConfirmedReads(),
	}
	if err := c.restore(disk); err != nil {
		l.Close()
		return nil, err
	}
	return c, nil
}

func (c *core) restore(disk wal.Recovered) error {
	var err error
	if c.instance, err = c.log.RecordBoot(newInstance()); err != nil {
		return errors.Wrap(err, "control: read or create the instance id")
	}
	if c.membership, err = loadMembership(c.opt.FS, c.opt.Data); err != nil {
		return err
	}
	empty := disk.Snapshot == nil && len(disk.Entries) == 0
	if empty && c.membership.Joined {
		return errors.Errorf("control: data directory %s belongs to a node of a group, but the log is empty; "+
			"move the directory away and add the node again with control.replace", c.opt.Data)
	}
	if s := disk.Snapshot; s != nil {
		state, err := controlstate.Restore(s.Data)
		if err != nil {
			return err
		}
		state.Skip(s.Index)
		c.state = state
		c.setCommittedGroup(s.Group, s.Index)
	}
	c.hardState = disk.HardState
	c.raft = c.newRaft(disk.HardState, disk.Snapshot, disk.Entries)
	klog.InfoS("control: Log opened", "instance", c.instance.ID, "boot", c.instance.Boot, "lastIndex", c.raft.LastIndex(),
		"membershipIndex", c.raft.GroupIndex(), "voters", peerNames(c.raft.Group(), true), "learners", peerNames(c.raft.Group(), false))
	if !empty {
		if !c.membership.Joined {
			return c.saveJoined()
		}
		return nil
	}
	if c.opt.JoinOnly && !c.membership.MayForm {
		return nil
	}
	if err := c.allowFormation(); err != nil {
		return err
	}
	self := consensus.Peer{ID: c.instance.ID, Name: string(c.opt.Node), Addr: c.opt.Advertise, Voter: true}
	c.formation = newFormation(self, c.opt.Peers, c.membership.InitialGroup.Peers)
	return c.advanceFormation()
}

func (c *core) newRaft(hs consensus.HardState, s *consensus.Snapshot, entries []consensus.Entry) *consensus.Node {
	seed := uint64(time.Now().UnixNano())
	for _, b := range []byte(c.instance.ID) {
		seed = seed*31 + uint64(b)
	}
	return consensus.New(consensus.Config{
		ID: c.instance.ID, Boot: c.instance.Boot, Seed: seed,
		HardState: hs, Snapshot: s, Entries: entries,
	})
}

// formGroup starts this node with the initial state of the group that it has locked.
func (c *core) formGroup() error {
	data, err := controlstate.New().Snapshot()
	if err != nil {
		return errors.Wrap(err, "control: encode initial snapshot")
	}
	g := c.membership.InitialGroup
	s := consensus.Bootstrap(g, data)
	if err := c.log.Append(nil, nil, &s); err != nil {
		return errors.Wrap(err, "control: append the initial snapshot to the log")
	}
	c.raft = c.newRaft(c.hardState, &s, nil)
	c.firstTickAt = c.lastRunAt
	c.state.Skip(s.Index)
	c.setCommittedGroup(g, s.Index)
	klog.Infof("control: Node %s formed a group of %d nodes.", c.opt.Node, len(g.Peers))
	return c.saveJoined()
}

func (n *Node) runInBackground(f func() func(*core)) {
	n.wg.Go(func() {
		apply := f()
		if err := n.post(n.ctx, apply); err != nil {
			klog.Infof("control: Abandoned a snapshot: %v.", err)
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
		case f := <-n.calls:
			n.core.advanceTicks(time.Now())
			f(n.core)
			n.runQueuedCalls()
		}
		if err := n.core.runOnce(time.Now()); err != nil {
			n.recordFailure(err)
			return
		}
	}
}

// runQueuedCalls runs the calls that have arrived in the meantime, so that their
// records share one sync.
func (n *Node) runQueuedCalls() {
	for range maxCallsPerTurn {
		select {
		case f := <-n.calls:
			f(n.core)
		default:
			return
		}
	}
}

func (n *Node) recordFailure(err error) {
	klog.Errorf("control: Node %s stops because of an error: %v.", n.opt.Node, err)
	n.mu.Lock()
	n.err = err
	n.mu.Unlock()
}

// Addr returns the advertised address of the node.
func (n *Node) Addr() string { return n.addr }

// Instance returns the instance id of the node's data directory, as control.replace
// needs it.
func (n *Node) Instance() string { return string(n.instance) }

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// Counters returns the message counters of the node.
func (n *Node) Counters() *rpc.Counters { return n.opt.Counters }

// Close stops the node and returns the failure that stopped it earlier, if any.
func (n *Node) Close() error {
	n.cancel()
	n.server.Close()
	n.client.Close()
	n.submissions.awaitStop()
	n.wg.Wait()
	n.core.links.close()
	n.core.failWaiters()
	closeErr := n.core.log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.err != nil {
		return n.err
	}
	if closeErr != nil {
		return errors.Wrap(closeErr, "control: close the log")
	}
	return nil
}

// runInLoop runs f in the event loop and returns its result.
func runInLoop[T any](ctx context.Context, n *Node, f func(*core) T) (T, error) {
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
	case n.calls <- f:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(verdict.Overloaded, "the node is busy").After(time.Second)
	case <-n.ctx.Done():
		return verdict.Refuse(verdict.Draining, "the node stops")
	}
}
