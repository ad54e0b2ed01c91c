package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
)

// drainTimeout bounds a drain. It is above the longest task and its lingering call.
const drainTimeout = 70 * time.Minute

// Run runs an agent until ctx ends, and then drains it.
func Run(ctx context.Context, s settings.Agent) error {
	sec, err := s.Security()
	if err != nil {
		return err
	}
	var running atomic.Pointer[Agent]
	pages, err := ops.New(ops.Options{
		Addr: s.Ops, Prefix: "baobab_agent", Token: sec.Token, TLS: sec.TLS,
		Ready: func() error { return ready(running.Load()) },
		Dump:  func() any { return dumpOf(running.Load()) },
	})
	if err != nil {
		return err
	}
	defer pages.Close()
	o := FromSettings(s, sec)
	o.Scope = pages.Scope()
	a, err := Start(ctx, o)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	running.Store(a)
	defer a.Close()
	<-ctx.Done()
	dctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return a.Drain(dctx)
}

// FromSettings returns the options of a daemon.
func FromSettings(s settings.Agent, sec rpc.Security) Options {
	counters := &rpc.Counters{}
	return Options{
		Node: s.Node, Region: s.Region, Domain: s.FailureDomain, Service: s.Service,
		Listen: s.Listen, Advertise: s.Advertise, Upstream: s.Upstream,
		Slots: s.Slots, Connections: s.Connections,
		Security: sec, Counters: counters,
		Session: ControlGroup(s.Control, sec, counters),
	}
}

func ready(a *Agent) error {
	if a == nil {
		return verdict.Refuse(verdict.Stale, "the agent is registering")
	}
	return a.Ready()
}

func dumpOf(a *Agent) any {
	if a == nil {
		return nil
	}
	return a.Dump()
}
