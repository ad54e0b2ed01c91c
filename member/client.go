package member

import (
	"context"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Servers are the addresses of the control nodes, host:port.
	Servers  []string
	Security rpc.Security
	Counters *rpc.Counters // may be nil
	// Dial replaces the dialer in tests.
	Dial Dialer
}

// Client makes operators' calls. Each call retries until its context ends and
// then returns a *verdict.Error.
type Client struct {
	servers *servers
}

// NewClient returns a client. It connects with the first call.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, verdict.Refuse(verdict.BadRequest, "no control servers are given")
	}
	dial := Options{Security: o.Security, Counters: o.Counters, Dial: o.Dial}.dialer()
	return &Client{servers: newServers(NewDirectory(o.Servers...), dial)}, nil
}

// Close ends the client's connections.
func (c *Client) Close() { c.servers.close() }

// Apply changes the configuration. A refusal, such as a version conflict, is in
// ApplyReply.Err. An empty command id is replaced by a random one; a caller that
// wants to repeat a command after a lost answer sets it itself.
func (c *Client) Apply(ctx context.Context, a wire.Apply) (wire.ApplyReply, error) {
	if a.CommandID == "" {
		a.CommandID = NewNonce()
	}
	var r wire.ApplyReply
	err := c.servers.callLeader(ctx, wire.MethodApply, a, &r)
	return r, err
}

// Get returns the configuration in force, from the leader if it can be reached.
func (c *Client) Get(ctx context.Context) (wire.GetReply, error) {
	var r wire.GetReply
	st, err := c.Status(ctx, wire.Status{})
	if err == nil && st.Node == st.Leader {
		err = c.servers.call(ctx, writeTimeout, nodeAddr(st, st.Leader), wire.MethodGet, wire.Get{}, &r)
		if err == nil {
			return r, nil
		}
	}
	err = c.servers.callAny(ctx, wire.MethodGet, wire.Get{}, &r)
	return r, err
}

// Status returns the state of the group as the leader sees it, or as another
// node sees it when no leader can be reached: then StatusReply.Node differs
// from StatusReply.Leader.
func (c *Client) Status(ctx context.Context, q wire.Status) (wire.StatusReply, error) {
	var first *wire.StatusReply
	for _, server := range c.servers.dir.Addrs() {
		r, err := c.StatusAt(ctx, server, q)
		if err != nil {
			continue
		}
		if r.Node == r.Leader {
			return r, nil
		}
		if l, err := c.StatusAt(ctx, nodeAddr(r, r.Leader), q); err == nil && l.Node == l.Leader {
			return l, nil
		}
		if first == nil || first.Leader == "" {
			first = &r
		}
	}
	if first != nil {
		return *first, nil
	}
	var r wire.StatusReply
	err := c.servers.callAny(ctx, wire.MethodStatus, q, &r)
	return r, err
}

func nodeAddr(r wire.StatusReply, node ids.Node) string {
	for _, n := range r.Nodes {
		if n.Node == node {
			return n.Addr
		}
	}
	return ""
}

// StatusAt returns the state of the group as the given node sees it, also
// without a leader.
func (c *Client) StatusAt(ctx context.Context, addr string, q wire.Status) (wire.StatusReply, error) {
	var r wire.StatusReply
	if addr == "" {
		return r, verdict.Refuse(verdict.BadRequest, "no address is given")
	}
	err := c.servers.call(ctx, writeTimeout, addr, wire.MethodStatus, q, &r)
	return r, err
}

// Replace exchanges a control node. It returns once the change is committed.
func (c *Client) Replace(ctx context.Context, r wire.Replace) error {
	return c.servers.callLeader(ctx, wire.MethodReplace, r, nil)
}

// Drain sets or clears the draining mark of the live incarnation of a member.
func (c *Client) Drain(ctx context.Context, node ids.Node, drain bool) error {
	return c.servers.callLeader(ctx, wire.MethodDrain, wire.DrainNode{Node: node, Drain: drain}, nil)
}

// Job returns the record of a job.
func (c *Client) Job(ctx context.Context, job ids.Job) (wire.JobRecord, error) {
	var rec wire.JobRecord
	err := c.servers.callAny(ctx, wire.MethodJob, wire.JobQuery{Job: job}, &rec)
	return rec, err
}

// GetConfirmed returns a configuration that was in force when the call was made
// or later. It asks one control node after the other until ctx ends.
func (c *Client) GetConfirmed(ctx context.Context) (wire.GetReply, error) {
	var r wire.GetReply
	err := c.servers.callAny(ctx, wire.MethodGet, wire.Get{Confirmed: true}, &r)
	return r, err
}

// Join asks the control group to give a new node the place of a lost one.
func (c *Client) Join(ctx context.Context, j wire.Join) error {
	return c.servers.callLeader(ctx, wire.MethodJoin, j, nil)
}
