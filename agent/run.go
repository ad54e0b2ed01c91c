package agent

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/runner"
	"github.com/baobabshore/baobabshore/settings"
)

// drainTimeout bounds a drain. It exceeds the longest task timeout together with the
// time for which a call may continue after it.
const drainTimeout = 70 * time.Minute

// Run runs an agent until ctx ends, and then drains it.
func Run(ctx context.Context, s settings.Agent) error {
	sec, err := s.Security()
	if err != nil {
		return err
	}
	p := intake.ThisProcess(int64(s.MemoryBytes))
	pages := ops.Options{Addr: s.Ops, Prefix: "baobab_agent", Token: sec.Token, TLS: sec.TLS, Process: p}
	return runner.Serve(ctx, pages, drainTimeout, func(ctx context.Context, scope tally.Scope) (runner.Service, error) {
		o := FromSettings(s, sec)
		o.Scope, o.Gate = scope, p.Gate(PeersShare, scope.SubScope("peers"))
		return Start(ctx, o)
	})
}

// FromSettings returns the options of an agent daemon with the given settings.
func FromSettings(s settings.Agent, sec rpc.Security) Options {
	counters := &rpc.Counters{}
	return Options{
		Node: s.Node, Region: s.Region, Domain: s.FailureDomain, Service: s.Service,
		Listen: s.Listen, Advertise: s.Advertise, Upstream: s.Upstream,
		Slots: s.Slots, Connections: s.Connections,
		Security: sec, Counters: counters,
		Session: NewSessionOpener(member.NewDirectory(s.Control...), sec, counters),
	}
}
