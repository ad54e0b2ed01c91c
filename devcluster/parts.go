package devcluster

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/entry"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
)

func (c *Cluster) addComponents() {
	for i := range c.opts.Controls {
		c.controls = append(c.controls, &component[*control.Node]{
			name: string(controlNode(i)),
			open: func(context.Context) (*control.Node, error) { return c.openControl(i) },
		})
	}
	for i := range c.opts.Weights {
		c.entries = append(c.entries, &component[daemonWithOps[*entry.Entry]]{
			name: string(entryNode(i)),
			open: func(ctx context.Context) (daemonWithOps[*entry.Entry], error) { return c.openEntry(ctx, i) },
		})
	}
	for i := range c.opts.Speeds {
		c.agents = append(c.agents, &component[daemonWithOps[*agent.Agent]]{
			name: string(AgentNode(i)),
			open: func(ctx context.Context) (daemonWithOps[*agent.Agent], error) { return c.openAgent(ctx, i) },
		})
		c.upstreams = append(c.upstreams, &component[*upstreamsim.Server]{
			name: "upstream of " + string(AgentNode(i)),
			open: func(context.Context) (*upstreamsim.Server, error) { return c.openUpstream(i) },
		})
	}
}

func (c *Cluster) openControl(i int) (*control.Node, error) {
	o := control.Options{
		Node: controlNode(i), Listen: c.addrs.control[i], Region: region, Domain: failureDomain(i),
		Data: c.controlDataDir(i), Counters: c.counters["control"],
	}
	if l := c.takeReservedListener(i); l != nil {
		o.Listener = l
	}
	for j, addr := range c.addrs.control {
		o.Peers = append(o.Peers, control.Peer{Node: controlNode(j), Addr: addr})
	}
	return control.Start(o)
}

func (c *Cluster) openEntry(ctx context.Context, i int) (daemonWithOps[*entry.Entry], error) {
	s := settings.DefaultEntry()
	s.Node, s.Region, s.FailureDomain = entryNode(i), region, failureDomain(i)
	s.Listen, s.Ops, s.Callers = c.addrs.entry[i], c.addrs.entryOps[i], c.addrs.callers[i]
	s.Control, s.Weight = c.addrs.control, c.opts.Weights[i]
	if err := settings.Check(s); err != nil {
		return daemonWithOps[*entry.Entry]{}, err
	}
	var running atomic.Pointer[entry.Entry]
	p, err := ops.New(ops.Options{
		Addr: s.Ops, Prefix: "baobab_entry",
		Ready: func() error { return readyOf(running.Load()) },
		Dump:  func() any { return dumpOf(running.Load()) },
	})
	if err != nil {
		return daemonWithOps[*entry.Entry]{}, err
	}
	o := entry.FromSettings(s, rpc.Security{})
	o.Scope, o.Counters = p.Scope(), c.counters["entry"]
	o.Session = entry.NewSessionOpener(member.NewDirectory(s.Control...), rpc.Security{}, o.Counters)
	e, err := entry.Start(ctx, o)
	if err != nil {
		return daemonWithOps[*entry.Entry]{}, errors.Join(err, p.Close())
	}
	running.Store(e)
	retainAddr(&c.addrs.entry[i], e.Addr())
	retainAddr(&c.addrs.entryOps[i], p.Addr())
	retainAddr(&c.addrs.callers[i], e.Callers())
	return daemonWithOps[*entry.Entry]{e, p}, nil
}

func (c *Cluster) openAgent(ctx context.Context, i int) (daemonWithOps[*agent.Agent], error) {
	s := settings.DefaultAgent()
	s.Node, s.Region, s.FailureDomain = AgentNode(i), region, failureDomain(i)
	s.Listen, s.Ops = c.addrs.agent[i], c.addrs.agentOps[i]
	s.Control, s.Service, s.Upstream = c.addrs.control, Service, c.addrs.upstream[i]
	s.Slots, s.Connections = c.serviceLimits()
	if err := settings.Check(s); err != nil {
		return daemonWithOps[*agent.Agent]{}, err
	}
	var running atomic.Pointer[agent.Agent]
	p, err := ops.New(ops.Options{
		Addr: s.Ops, Prefix: "baobab_agent",
		Ready: func() error { return readyOf(running.Load()) },
		Dump:  func() any { return dumpOf(running.Load()) },
	})
	if err != nil {
		return daemonWithOps[*agent.Agent]{}, err
	}
	o := agent.FromSettings(s, rpc.Security{})
	o.Scope, o.Counters = p.Scope(), c.counters["agent"]
	o.Session = agent.NewSessionOpener(member.NewDirectory(s.Control...), rpc.Security{}, o.Counters)
	a, err := agent.Start(ctx, o)
	if err != nil {
		return daemonWithOps[*agent.Agent]{}, errors.Join(err, p.Close())
	}
	running.Store(a)
	retainAddr(&c.addrs.agent[i], a.Addr())
	retainAddr(&c.addrs.agentOps[i], p.Addr())
	return daemonWithOps[*agent.Agent]{a, p}, nil
}

// serviceLimits returns the slots and connections that the configuration gives each
// upstream.
func (c *Cluster) serviceLimits() (slots, connections int) {
	s := c.opts.Config.Services[Service]
	return s.Slots, s.Connections
}

func (c *Cluster) openUpstream(i int) (*upstreamsim.Server, error) {
	slots, _ := c.serviceLimits()
	s, err := upstreamsim.Start(upstreamsim.Options{Addr: c.addrs.upstream[i], Slots: slots, Speed: c.opts.Speeds[i]})
	if err != nil {
		return nil, err
	}
	retainAddr(&c.addrs.upstream[i], s.Addr())
	c.mu.Lock()
	c.startedUpstreams = append(c.startedUpstreams, s)
	c.mu.Unlock()
	return s, nil
}

// opsSource supplies the readiness and dump pages of a daemon.
type opsSource interface {
	Ready() error
	Dump() any
}

func readyOf[T any, P interface {
	*T
	opsSource
}](p P) error {
	if p == nil {
		return verdict.Refuse(verdict.Stale, "the process is registering")
	}
	return p.Ready()
}

func dumpOf[T any, P interface {
	*T
	opsSource
}](p P) any {
	if p == nil {
		return nil
	}
	return p.Dump()
}

// StopControl stops a control node.
func (c *Cluster) StopControl(i int) error { return c.controls[i].stop() }

// StartControl restarts a stopped control node on its existing data.
func (c *Cluster) StartControl(ctx context.Context, i int) error { return c.controls[i].start(ctx) }

// StopEntry closes an entry without draining it, as in a crash.
func (c *Cluster) StopEntry(i int) error { return c.entries[i].stop() }

// DrainEntry stops an entry as SIGTERM does: the entry completes its jobs first.
func (c *Cluster) DrainEntry(ctx context.Context, i int) error {
	e, ok := c.entries[i].get()
	if !ok {
		return errors.Errorf("%s is not running", entryNode(i))
	}
	err := e.daemon.Drain(ctx)
	return errors.Join(err, c.entries[i].stop())
}

// StartEntry restarts a stopped entry as a new incarnation.
func (c *Cluster) StartEntry(ctx context.Context, i int) error { return c.entries[i].start(ctx) }

// StopAgent closes an agent without draining it, as in a crash.
func (c *Cluster) StopAgent(i int) error { return c.agents[i].stop() }

// StartAgent restarts a stopped agent as a new incarnation.
func (c *Cluster) StartAgent(ctx context.Context, i int) error { return c.agents[i].start(ctx) }

// Upstream returns the latest instance of the sample upstream that agent i serves.
func (c *Cluster) Upstream(i int) *upstreamsim.Server {
	s, _ := c.upstreams[i].get()
	return s
}

// StopUpstream stops an upstream. Its agent keeps running.
func (c *Cluster) StopUpstream(i int) error { return c.upstreams[i].stop() }

// StartUpstream restarts a stopped upstream.
func (c *Cluster) StartUpstream(ctx context.Context, i int) error { return c.upstreams[i].start(ctx) }
