package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/runner"
	"github.com/baobabshore/baobabshore/settings"
)

// drainTimeout bounds a drain. By then all jobs have passed their deadline.
const drainTimeout = maxDeadline

// Run runs an entry until ctx ends, and then drains it.
func Run(ctx context.Context, s settings.Entry) error {
	sec, err := s.Security()
	if err != nil {
		return err
	}
	p := intake.ThisProcess(int64(s.MemoryBytes))
	opsOptions := ops.Options{Addr: s.Ops, Prefix: "baobab_entry", Token: sec.Token, TLS: sec.TLS, Process: p}
	return runner.Serve(ctx, opsOptions, drainTimeout, func(ctx context.Context, scope tally.Scope) (runner.Service, error) {
		o := FromSettings(s, sec)
		o.Scope = scope
		o.CallersGate, o.Gate = o.newCallersGate(p), p.Gate(PeersShare, scope.SubScope("peers"))
		o.AnswerBytes = min(o.AnswerBytes, p.Budget.Bytes()/2)
		return Start(ctx, o)
	})
}

// FromSettings returns the options of an entry daemon with the given settings.
func FromSettings(s settings.Entry, sec rpc.Security) Options {
	counters := &rpc.Counters{}
	return Options{
		Node: s.Node, Region: s.Region, Domain: s.FailureDomain, Weight: s.Weight,
		Callers: s.Callers, Listen: s.Listen, Advertise: s.Advertise,
		Security: sec, Counters: counters,
		Session:     NewSessionOpener(member.NewDirectory(s.Control...), sec, counters),
		Seed:        rand.Uint64(),
		Connections: s.Limits.Connections,
		BodyBytes:   s.Limits.BodyBytes, RequestBytes: int64(s.Limits.RequestBytes),
		ReadTimeout: time.Duration(s.Limits.ReadTimeout),
		IdleTimeout: time.Duration(s.Limits.IdleTimeout),
		AnswerBytes: int64(s.Limits.AnswerBytes),
	}
}
