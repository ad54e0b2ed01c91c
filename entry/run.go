package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
)

// drainTimeout bounds a drain. All jobs have passed their deadline by then.
const drainTimeout = maxDeadline

// Run runs an entry until ctx ends, and then drains it.
func Run(ctx context.Context, s settings.Entry) error {
	sec, err := s.Security()
	if err != nil {
		return err
	}
	var running atomic.Pointer[Entry]
	pages, err := ops.New(ops.Options{
		Addr: s.Ops, Prefix: "baobab_entry", Token: sec.Token, TLS: sec.TLS,
		Ready: func() error { return ready(running.Load()) },
		Dump:  func() any { return dumpOf(running.Load()) },
	})
	if err != nil {
		return err
	}
	defer pages.Close()
	o := FromSettings(s, sec)
	o.Scope = pages.Scope()
	e, err := Start(ctx, o)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	running.Store(e)
	defer e.Close()
	<-ctx.Done()
	dctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return e.Drain(dctx)
}

// FromSettings returns the options of a daemon.
func FromSettings(s settings.Entry, sec rpc.Security) Options {
	counters := &rpc.Counters{}
	return Options{
		Node: s.Node, Region: s.Region, Domain: s.FailureDomain, Weight: s.Weight,
		Callers: s.Callers, Listen: s.Listen, Advertise: s.Advertise,
		Security: sec, Counters: counters,
		Session:     ControlGroup(s.Control, sec, counters),
		Seed:        rand.Uint64(),
		Connections: s.Limits.Connections,
		BodyBytes:   s.Limits.BodyBytes,
		ReadTimeout: time.Duration(s.Limits.ReadTimeout),
		IdleTimeout: time.Duration(s.Limits.IdleTimeout),
		AnswerBytes: int64(s.Limits.AnswerBytes),
	}
}

func ready(e *Entry) error {
	if e == nil {
		return verdict.Refuse(verdict.Stale, "the entry is registering")
	}
	return e.Ready()
}

func dumpOf(e *Entry) any {
	if e == nil {
		return nil
	}
	return e.Dump()
}
