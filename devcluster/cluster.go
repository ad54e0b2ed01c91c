// Package devcluster runs the whole system in one process on loopback, for
// trials, the demo and tests: control nodes, entries, agents and sample upstreams.
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

// Service is the service of all sample upstreams.
const Service ids.Service = "mostrador"

// region is the region of all parts.
const region ids.Region = "gt-centro"

// pollInterval is the pause between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// Options says how large the system is.
type Options struct {
	// Data is the folder of the control nodes' logs. It must be empty or absent,
	// since the parts get other ports each time.
	Data string
	// Controls is the number of control nodes.
	Controls int
	// Weights holds the weight of each entry.
	Weights []int
	// Speeds holds the speed of each upstream, relative to the declared run times.
	Speeds []float64
	Config settings.Cluster
}

// Defaults returns three control nodes, two entries of weights 2 and 1, and
// eleven upstreams whose speeds differ by a factor of 4.
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
	controls  []*unit[*control.Node]
	entries   []*unit[pages[*entry.Entry]]
	agents    []*unit[pages[*agent.Agent]]
	upstreams []*unit[*upstreamsim.Server]
	addrs     addresses
	client    *member.Client
	counts    map[string]*rpc.Counters // by role

	mu   sync.Mutex
	held []net.Listener        // of the control nodes until their first start
	sims []*upstreamsim.Server // all ever started
}

// addresses are the listeners of all parts, by their numbers.
type addresses struct {
	control, callers, entry, entryOps, agent, agentOps, upstream []string
}

// Start starts all parts, applies the configuration and returns once every
// entry accepts work.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if left, err := os.ReadDir(o.Data); err == nil && len(left) > 0 {
		return nil, errors.Errorf("the data folder %s is not empty. Fix: name another folder, or remove its content", o.Data)
	}
	c := &Cluster{opts: o, counts: map[string]*rpc.Counters{}}
	for _, role := range []string{"control", "entry", "agent"} {
		c.counts[role] = &rpc.Counters{}
	}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.reserve(); err != nil {
		return err
	}
	c.addUnits()
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
	if err := c.await(ctx, "every part ready", c.ready); err != nil {
		return err
	}
	return c.await(ctx, "work at every entry", c.working)
}

// working reports whether every member knows of all others and every entry gets
// a request through.
func (c *Cluster) working() bool {
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
		if o := caller.request(i, c.anyTeam(), evenWork("warm-up", classSingle, 1, 0)); !o.whole {
			return false
		}
	}
	return true
}

func (c *Cluster) anyTeam() string {
	for t := range c.opts.Config.Teams {
		return string(t)
	}
	return ""
}

// startAll starts parts at the same time.
func startAll[T interface{ Close() error }](ctx context.Context, units []*unit[T]) error {
	errs := make([]error, len(units))
	var wg sync.WaitGroup
	for i, u := range units {
		wg.Go(func() { errs[i] = u.start(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// reserve opens the listeners of the control nodes, whose addresses all parts
// need, and leaves the other ports to the system.
func (c *Cluster) reserve() error {
	for range c.opts.Controls {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		c.held = append(c.held, l)
		c.addrs.control = append(c.addrs.control, l.Addr().String())
	}
	entries, agents := len(c.opts.Weights), len(c.opts.Speeds)
	a := &c.addrs
	a.callers, a.entry, a.entryOps = anyPorts(entries), anyPorts(entries), anyPorts(entries)
	a.agent, a.agentOps, a.upstream = anyPorts(agents), anyPorts(agents), anyPorts(agents)
	return nil
}

// anyPort lets the system choose the port of a listener.
const anyPort = "127.0.0.1:0"

func anyPorts(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = anyPort
	}
	return out
}

// keep remembers the address that a part got, so that it has the same one when
// it starts again.
func keep(addr *string, got string) {
	if *addr == anyPort {
		*addr = got
	}
}

// takeHeld returns the listener of a control node at its first start, then nil.
func (c *Cluster) takeHeld(i int) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.held[i]
	c.held[i] = nil
	return l
}

func (c *Cluster) ready() bool {
	for _, u := range c.entries {
		if e, ok := u.get(); !ok || e.part.Ready() != nil {
			return false
		}
	}
	for _, u := range c.agents {
		if a, ok := u.get(); !ok || a.part.Ready() != nil {
			return false
		}
	}
	return true
}

// await polls until ok, or until ctx ends.
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

// Apply puts a configuration in force over the current one and returns the log
// index from which members hold it.
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

// Control returns the addresses of the control nodes.
func (c *Cluster) Control() []string { return c.addrs.control }

// Callers returns the addresses of the entries for callers.
func (c *Cluster) Callers() []string { return c.addrs.callers }

// OpsAddresses returns the addresses of the operators' listeners by node name.
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

// Leader returns the number of the leading control node.
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

// Messages returns how many messages the parts of a role have sent and received.
func (c *Cluster) Messages(role string) (sent, received int64) {
	n := c.counts[role]
	return n.MessagesOut.Load(), n.MessagesIn.Load()
}

// Runs returns every start on any upstream since Start.
func (c *Cluster) Runs() []upstreamsim.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []upstreamsim.Run
	for _, s := range c.sims {
		out = append(out, s.Runs()...)
	}
	return out
}

// Overruns returns how many starts exceeded the slots of their upstream.
func (c *Cluster) Overruns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.sims {
		n += s.Overruns()
	}
	return n
}

// Close stops all parts. The data folder stays.
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
		if l := c.takeHeld(i); l != nil {
			l.Close()
		}
	}
	return errors.Join(errs...)
}

func controlNode(i int) ids.Node { return ids.Node(fmt.Sprintf("control-%d", i+1)) }
func entryNode(i int) ids.Node   { return ids.Node(fmt.Sprintf("entry-%d", i+1)) }

// AgentNode returns the node name of agent i, counted from 0.
func AgentNode(i int) ids.Node { return ids.Node(fmt.Sprintf("agent-%02d", i+1)) }

// domain spreads the parts over three failure domains.
func domain(i int) ids.Domain { return ids.Domain("gt-centro-" + string(rune('a'+i%3))) }

func (c *Cluster) dataOf(i int) string { return filepath.Join(c.opts.Data, string(controlNode(i))) }
