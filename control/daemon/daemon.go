// Package daemon runs a control node from its settings, with its pages for
// operators.
package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// askTimeout bounds what a page asks of the node.
const askTimeout = 2 * time.Second

// countInterval is the time between two updates of the message counts.
const countInterval = time.Second

// Run runs a control node until ctx ends. It returns nil after a planned stop,
// and the cause when the node had to stop.
func Run(ctx context.Context, s settings.Control) error {
	sec, err := s.Security()
	if err != nil {
		return err
	}
	n, err := control.Start(FromSettings(s, sec))
	if err != nil {
		return err
	}
	d := &daemon{node: n, sec: sec}
	pages, err := ops.New(ops.Options{
		Addr: s.Ops, Prefix: "baobab_control", Token: sec.Token, TLS: sec.TLS,
		Ready: d.ready, Dump: d.dump,
	})
	if err != nil {
		_ = n.Close() // the listener's error is the cause
		return err
	}
	defer pages.Close()
	d.count(ctx, pages)
	klog.Infof("control: Node %s stops.", s.Node)
	return n.Close()
}

// FromSettings returns the options of a control node.
func FromSettings(s settings.Control, sec rpc.Security) control.Options {
	o := control.Options{
		Node: s.Node, Listen: s.Listen, Advertise: s.Advertise,
		Region: s.Region, Domain: s.FailureDomain, Data: s.Data, Security: sec,
	}
	for _, p := range s.Peers {
		o.Peers = append(o.Peers, control.Peer{Node: p.Node, Addr: p.Address})
	}
	return o
}

// daemon asks its own node through the listener, as any other process does.
type daemon struct {
	node *control.Node
	sec  rpc.Security
}

func (d *daemon) ask(method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, d.node.Addr(), d.sec, nil, nil)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, params, result)
}

// ready reports whether the node's tables are confirmed as current.
func (d *daemon) ready() error { return d.ask(wire.MethodGet, wire.Get{}, &wire.GetReply{}) }

// dump returns the state of the group and the configuration as this node holds them.
func (d *daemon) dump() any {
	var out struct {
		Status wire.StatusReply `json:"status"`
		Config wire.GetReply    `json:"config"`
		Error  string           `json:"error,omitempty"` // why config is missing
	}
	err := d.ask(wire.MethodStatus, wire.Status{}, &out.Status)
	if err == nil {
		err = d.ask(wire.MethodGet, wire.Get{}, &out.Config)
	}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}

// count copies the node's message counts to its metrics until ctx or the node ends.
func (d *daemon) count(ctx context.Context, pages *ops.Server) {
	scope := pages.Scope()
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.node.Done():
			return
		case <-ticker.C:
		}
		c := d.node.Counters()
		scope.Gauge("messages_in").Update(float64(c.MessagesIn.Load()))
		scope.Gauge("messages_out").Update(float64(c.MessagesOut.Load()))
		scope.Gauge("bytes_in").Update(float64(c.BytesIn.Load()))
		scope.Gauge("bytes_out").Update(float64(c.BytesOut.Load()))
	}
}
