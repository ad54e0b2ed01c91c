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
	Servers []string
	// Directory holds the addresses in place of Servers if they may change.
	Directory *Directory
	Security  rpc.Security
	Counters  *rpc.Counters // may be nil
	// Dial replaces the dialer in tests. Nil dials with Security and Counters.
	Dial Dialer
}

// Client sends operators' requests to the control group. Each call retries until its
// context ends and then returns a *verdict.Error.
type Client struct {
	serverPool *serverPool
}

// NewClient returns a client. It opens its first connection with the first call.
func NewClient(o ClientOptions) (*Client, error) {
	directory := o.Directory
	if directory == nil {
		directory = NewDirectory(o.Servers...)
	}
	if len(directory.Addrs()) == 0 {
		return nil, verdict.Refuse(verdict.BadRequest, "no control servers are given")
	}
	dial := Options{Security: o.Security, Counters: o.Counters, Dial: o.Dial}.dialer()
	return &Client{serverPool: newServerPool(directory, dial)}, nil
}

// Close closes the client's connections.
func (c *Client) Close() { c.serverPool.close() }

// FollowLeader tells the client that the control node at addr, host:port, is the leader. Calls
// that wait for another node are repeated there. The client forgets the leader when a call
// to it fails, so a caller that keeps hearing of the leader repeats FollowLeader.
func (c *Client) FollowLeader(addr string) { c.serverPool.followLeader(addr) }

// Apply changes the configuration. A refusal, such as a version conflict, is returned in
// ApplyReply.Err. An empty command id is replaced by a random one; a caller that
// repeats a command after a lost reply has to set it, so that the command takes effect
// once.
func (c *Client) Apply(ctx context.Context, a wire.Apply) (wire.ApplyReply, error) {
	if a.CommandID == "" {
		a.CommandID = NewNonce()
	}
	var r wire.ApplyReply
	err := c.serverPool.callLeader(ctx, wire.MethodApply, a, &r)
	return r, err
}

// Get returns the configuration in force, from the leader if it can be reached and
// otherwise from any control node.
func (c *Client) Get(ctx context.Context) (wire.GetReply, error) {
	var r wire.GetReply
	status, err := c.Status(ctx, wire.Status{})
	if err == nil && status.Node == status.Leader {
		err = c.serverPool.call(ctx, maxAttemptTimeout, nodeAddr(status, status.Leader), wire.MethodGet, wire.Get{}, &r)
		if err == nil {
			return r, nil
		}
	}
	err = c.serverPool.callAny(ctx, wire.MethodGet, wire.Get{}, &r)
	return r, err
}

// Status returns the state of the group as the leader sees it. When no leader can be
// reached, it returns the state as another node sees it; StatusReply.Node then differs
// from StatusReply.Leader.
func (c *Client) Status(ctx context.Context, q wire.Status) (wire.StatusReply, error) {
	var fallback *wire.StatusReply
	for _, server := range c.serverPool.directory.Addrs() {
		r, err := c.StatusAt(ctx, server, q)
		if err != nil {
			continue
		}
		if r.Node == r.Leader {
			return r, nil
		}
		if leaderReply, err := c.StatusAt(ctx, nodeAddr(r, r.Leader), q); err == nil && leaderReply.Node == leaderReply.Leader {
			return leaderReply, nil
		}
		if fallback == nil || fallback.Leader == "" {
			fallback = &r
		}
	}
	if fallback != nil {
		return *fallback, nil
	}
	var r wire.StatusReply
	err := c.serverPool.callAny(ctx, wire.MethodStatus, q, &r)
	return r, err
}

// nodeAddr returns the address of a control node, empty if the status does not list it.
func nodeAddr(st wire.StatusReply, id ids.Node) string {
	for _, n := range st.Nodes {
		if n.Node == id {
			return n.Addr
		}
	}
	return ""
}

// StatusAt returns the state of the group as the node at addr sees it. It works without
// a leader, too.
func (c *Client) StatusAt(ctx context.Context, addr string, q wire.Status) (wire.StatusReply, error) {
	var r wire.StatusReply
	if addr == "" {
		return r, verdict.Refuse(verdict.BadRequest, "no address is given")
	}
	err := c.serverPool.call(ctx, maxAttemptTimeout, addr, wire.MethodStatus, q, &r)
	return r, err
}

// Replace replaces a control node. It returns once the membership change is committed.
func (c *Client) Replace(ctx context.Context, r wire.Replace) error {
	return c.serverPool.callLeader(ctx, wire.MethodReplace, r, nil)
}

// Drain sets or clears the operators' draining mark on all live incarnations of a node.
func (c *Client) Drain(ctx context.Context, node ids.Node, drain bool) error {
	return c.serverPool.callLeader(ctx, wire.MethodDrain, wire.DrainNode{Node: node, Drain: drain}, nil)
}

// DrainDomain drains a failure domain, or ends its drain. held is the order that the
// caller knows to be in force, with index 0 if it knows none. The order follows the one in
// force at the time of the call: if the leader has another one than held, DrainDomain
// gives the order again after that one. If still another one follows, it arrived after
// this call, and the order counts as done if that one asks for the same.
func (c *Client) DrainDomain(ctx context.Context, held wire.DomainDrain, drain bool) error {
	order := wire.DrainDomain{Domain: held.Domain, Drain: drain, Expect: held.Index}
	for first := true; ; first = false {
		var r wire.DrainDomainReply
		if err := c.serverPool.callLeader(ctx, wire.MethodDrainDomain, order, &r); err != nil {
			return err
		}
		switch {
		case r.Err == nil:
			return nil
		case r.Err.Reason != verdict.VersionConflict:
			return r.Err
		case !first && r.InForce.Drained == drain:
			return nil
		}
		order.Expect = r.InForce.Index
	}
}

// Job returns the record of a job from any control node that holds it.
func (c *Client) Job(ctx context.Context, job ids.Job) (wire.JobRecord, error) {
	var rec wire.JobRecord
	err := c.serverPool.callAny(ctx, wire.MethodJob, wire.JobQuery{Job: job}, &rec)
	return rec, err
}

// Patch puts a configuration in force that is given by its differences from another one.
// A refusal, such as a version conflict, is returned in ApplyReply.Err.
func (c *Client) Patch(ctx context.Context, p wire.Patch) (wire.ApplyReply, error) {
	var r wire.ApplyReply
	err := c.serverPool.callLeader(ctx, wire.MethodPatch, p, &r)
	return r, err
}

// Confirm returns a configuration that was in force at the time of the call or later, from
// the leader.
func (c *Client) Confirm(ctx context.Context, q wire.Confirm) (wire.ConfirmReply, error) {
	var r wire.ConfirmReply
	err := c.serverPool.callLeader(ctx, wire.MethodConfirm, q, &r)
	return r, err
}

// Join asks the control group to admit a new node in place of a lost one.
func (c *Client) Join(ctx context.Context, j wire.Join) error {
	return c.serverPool.callLeader(ctx, wire.MethodJoin, j, nil)
}
