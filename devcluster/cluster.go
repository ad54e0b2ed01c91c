// Package devcluster runs a complete system in one process on the loopback
// interface, for development, the demo and tests: control nodes, entries, agents
// and sample upstreams.
package devcluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/entry"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Service is the name of the service that all sample upstreams belong to.
const Service ids.Service = "mostrador"

// region is the region of all nodes.
const region ids.Region = "gt-centro"

// pollInterval is the time between two evaluations of an awaited condition.
const pollInterval = 20 * time.Millisecond

// Options sets the size and the configuration of the system.
type Options struct {
	// Data is the directory of the control nodes' logs. It must be empty or absent,
	// since the nodes listen on other ports in each run.
	Data string
	// Controls is the number of control nodes.
	Controls int
	// Weights holds the weight of each entry.
	Weights []int
	// Speeds holds the speed of each upstream. At speed 2 a task takes half of its
	// declared run time.
	Speeds []float64
	Config settings.Cluster
}

// Defaults returns options for three control nodes, two entries of weights 2 and
// 1, and eleven upstreams whose speeds differ by a factor of 4.
func Defaults(data string) Options {
	conf, err := settings.NewCluster().
		Service(Service, func(s *settings.Service) { s.Timeout = settings.Duration(5 * time.Second) }).
		Team("centro", func(t *settings.Team) { t.Quota = 2 }).
		Team("sur").
		Build()
	if err != nil {
		panic(err) // the values above are constant
	}
	return Options{
		Data: data, Controls: 3, Weights: []int{2, 1}, Config: conf,
		Speeds: []float64{2, 1.8, 1.6, 1.4, 1.2, 1, 1, 0.8, 0.7, 0.6, 0.5},
	}
}

// Cluster is a running system.
type Cluster struct {
	opts      Options
	controls  []*component[*control.Node]
	entries   []*component[daemonWithOps[*entry.Entry]]
	agents    []*component[daemonWithOps[*agent.Agent]]
	upstreams []*component[*upstreamsim.Server]
	addrs     addresses
	client    *member.Client
	counters  map[string]*rpc.Counters // of RPC messages, by role

	mu                sync.Mutex
	reservedListeners []net.Listener        // for the control nodes, until their first start
	startedUpstreams  []*upstreamsim.Server // every one since Start, stopped ones included
}

// addresses are the listen addresses of all nodes. Each slice is indexed by the
// node's number within its role, from 0.
type addresses struct {
	control, callers, entry, entryOps, agent, agentOps, upstream []string
}

// Start starts all nodes and upstreams, applies the configuration and returns once
// every entry serves requests.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if files, err := os.ReadDir(o.Data); err == nil && len(files) > 0 {
		return nil, errors.Errorf("the data directory %s is not empty. Fix: name another directory, or remove its contents", o.Data)
	}
	c := &Cluster{opts: o, counters: map[string]*rpc.Counters{}}
	for _, role := range []string{"control", "entry", "agent"} {
		c.counters[role] = &rpc.Counters{}
	}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.reserveAddrs(); err != nil {
		return err
	}
	c.addComponents()
	if err := startAll(ctx, c.controls); err != nil {
		return err
	}
	var err error
	if c.client, err = member.NewClient(member.ClientOptions{Servers: c.addrs.control}); err != nil {
		return err
	}
	if _, err := c.Apply(ctx, c.opts.Config); err != nil {
		return err
	}
	if err := startAll(ctx, c.upstreams); err != nil {
		return err
	}
	if err := startAll(ctx, c.agents); err != nil {
		return err
	}
	if err := startAll(ctx, c.entries); err != nil {
		return err
	}
	if err := c.await(ctx, "every entry and agent is ready", c.allReady); err != nil {
		return err
	}
	return c.await(ctx, "every entry serves requests", c.allEntriesServe)
}

// allEntriesServe reports whether every live member holds the latest commit, hence
// knows all others, and every entry completes a request.
func (c *Cluster) allEntriesServe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := c.client.Status(ctx, wire.Status{})
	if err != nil {
		return false
	}
	if st, err = c.client.Status(ctx, wire.Status{Index: st.Commit}); err != nil || st.Holding < st.Live {
		return false
	}
	caller := newCaller(c.addrs.callers)
	defer caller.client.CloseIdleConnections()
	for i := range c.entries {
		if o := caller.sendRequest(i, c.anyTeam(), uniformWorkload("warm-up", classSingle, 1, 0)); !o.complete {
			return false
		}
	}
	return true
}

// anyTeam returns the name of one configured team, for the requests of
// allEntriesServe.
func (c *Cluster) anyTeam() string {
	for t := range c.opts.Config.Teams {
		return string(t)
	}
	return ""
}

// startAll starts components concurrently.
func startAll[T interface{ Close() error }](ctx context.Context, units []*component[T]) error {
	errs := make([]error, len(units))
	var wg sync.WaitGroup
	for i, u := range units {
		wg.Go(func() { errs[i] = u.start(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// reserveAddrs opens the listeners of the control nodes, since all nodes need their
// addresses in advance. The kernel chooses the other ports at the first start.
func (c *Cluster) reserveAddrs() error {
	for range c.opts.Controls {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		c.reservedListeners = append(c.reservedListeners, l)
		c.addrs.control = append(c.addrs.control, l.Addr().String())
	}
	entries, agents := len(c.opts.Weights), len(c.opts.Speeds)
	a := &c.addrs
	a.callers, a.entry, a.entryOps = anyPorts(entries), anyPorts(entries), anyPorts(entries)
	a.agent, a.agentOps, a.upstream = anyPorts(agents), anyPorts(agents), anyPorts(agents)
	return nil
}

// anyPort lets the kernel choose the port of a listener.
const anyPort = "127.0.0.1:0"

func anyPorts(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = anyPort
	}
	return out
}

// retainAddr replaces anyPort by the address that a component got at its first
// start, so that it listens on the same one after a restart.
func retainAddr(addr *string, got string) {
	if *addr == anyPort {
		*addr = got
	}
}

// takeReservedListener returns the reserved listener of a control node, and nil from
// the second call on.
func (c *Cluster) takeReservedListener(i int) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.reservedListeners[i]
	c.reservedListeners[i] = nil
	return l
}

func (c *Cluster) allReady() bool {
	for _, u := range c.entries {
		if e, ok := u.get(); !ok || e.daemon.Ready() != nil {
			return false
		}
	}
	for _, u := range c.agents {
		if a, ok := u.get(); !ok || a.daemon.Ready() != nil {
			return false
		}
	}
	return true
}

// await polls until ok returns true or ctx is done.
func (c *Cluster) await(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for: %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Apply replaces the current configuration, whatever its version, and returns the
// log index of the change. A member that has synced this index holds it.
func (c *Cluster) Apply(ctx context.Context, conf settings.Cluster) (ids.Version, error) {
	cmd := wire.Apply{Expect: wire.AnyVersion, CommandID: member.NewNonce(), Pairs: settings.Flatten(conf), By: "devcluster"}
	r, err := c.client.Apply(ctx, cmd)
	if err != nil {
		return 0, err
	}
	if r.Err != nil {
		return 0, r.Err
	}
	return r.Index, nil
}

// Client returns a client of the control group.
func (c *Cluster) Client() *member.Client { return c.client }

// Config returns the configuration that Start applied.
func (c *Cluster) Config() settings.Cluster { return c.opts.Config }

// ControlAddresses returns the listen addresses of the control nodes.
func (c *Cluster) ControlAddresses() []string { return c.addrs.control }

// CallerAddresses returns the addresses of the entries' HTTP listeners for callers.
func (c *Cluster) CallerAddresses() []string { return c.addrs.callers }

// OpsAddresses returns the addresses of the listeners for metrics, health and
// dumps, by node name.
func (c *Cluster) OpsAddresses() map[ids.Node]string {
	out := map[ids.Node]string{}
	for i, a := range c.addrs.entryOps {
		out[entryNode(i)] = a
	}
	for i, a := range c.addrs.agentOps {
		out[AgentNode(i)] = a
	}
	return out
}

// Leader returns the index of the control node that leads.
func (c *Cluster) Leader(ctx context.Context) (int, error) {
	st, err := c.client.Status(ctx, wire.Status{})
	if err != nil {
		return 0, err
	}
	for i := range c.controls {
		if controlNode(i) == st.Leader {
			return i, nil
		}
	}
	return 0, verdict.Refuse(verdict.NoQuorum, "no leader is known")
}

// MessageCounts returns how many RPC messages the nodes of a role have sent and received.
func (c *Cluster) MessageCounts(role string) (sent, received int64) {
	n := c.counters[role]
	return n.MessagesOut.Load(), n.MessagesIn.Load()
}

// Runs returns every task run on any upstream since Start.
func (c *Cluster) Runs() []upstreamsim.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []upstreamsim.Run
	for _, s := range c.startedUpstreams {
		out = append(out, s.Runs()...)
	}
	return out
}

// Overruns returns how many tasks started while all slots of their upstream were
// in use.
func (c *Cluster) Overruns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.startedUpstreams {
		n += s.Overruns()
	}
	return n
}

// Close stops all components. It keeps the data directory.
func (c *Cluster) Close() error {
	var errs []error
	if c.client != nil {
		c.client.Close()
	}
	for _, u := range c.entries {
		errs = append(errs, u.stop())
	}
	for _, u := range c.agents {
		errs = append(errs, u.stop())
	}
	for _, u := range c.upstreams {
		errs = append(errs, u.stop())
	}
	for i, u := range c.controls {
		errs = append(errs, u.stop())
		if l := c.takeReservedListener(i); l != nil {
			l.Close()
		}
	}
	return errors.Join(errs...)
}

func controlNode(i int) ids.Node { return ids.Node(fmt.Sprintf("control-%d", i+1)) }
func entryNode(i int) ids.Node   { return ids.Node(fmt.Sprintf("entry-%d", i+1)) }

// AgentNode returns the node name of the agent with index i, from 0.
func AgentNode(i int) ids.Node { return ids.Node(fmt.Sprintf("agent-%02d", i+1)) }

// failureDomain spreads the nodes of a role over three failure domains.
func failureDomain(i int) ids.Domain { return ids.Domain("gt-centro-" + string(rune('a'+i%3))) }

func (c *Cluster) controlDataDir(i int) string {
	return filepath.Join(c.opts.Data, string(controlNode(i)))
}
