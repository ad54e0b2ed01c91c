package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	methodHello = "peer.hello"
	methodPart  = "peer.part"
	// maxAdmitItems limits the records of one control.admit.
	maxAdmitItems = 4096
)

func (n *Node) mux() *rpc.Mux {
	m := rpc.NewMux()
	m.Concurrent(wire.MethodRegister, rpc.Handle(n.serveRegister))
	m.Concurrent(wire.MethodRenew, rpc.Handle(n.serveRenew))
	m.Concurrent(wire.MethodLeave, rpc.Handle(n.serveLeave))
	m.Concurrent(wire.MethodAdmit, rpc.Handle(n.serveAdmit))
	m.Concurrent(wire.MethodComplete, rpc.Handle(n.serveComplete))
	m.Concurrent(wire.MethodJob, rpc.Handle(n.serveJob))
	m.Concurrent(wire.MethodApply, rpc.Handle(n.serveApply))
	m.Concurrent(wire.MethodPatch, rpc.Handle(n.servePatch))
	m.Concurrent(wire.MethodGet, rpc.Handle(n.serveGet))
	m.Concurrent(wire.MethodConfirm, rpc.Handle(n.serveConfirm))
	m.Concurrent(wire.MethodStatus, rpc.Serial(rpc.Handle(n.serveStatus)))
	m.Concurrent(wire.MethodReplace, rpc.Handle(n.serveReplace))
	m.Concurrent(wire.MethodJoin, rpc.Handle(n.serveJoin))
	m.Concurrent(wire.MethodDrain, rpc.Handle(n.serveDrain))
	m.Concurrent(wire.MethodDrainDomain, rpc.Handle(n.serveDrainDomain))
	m.Ordered(wire.MethodStep, rpc.Handle(n.serveStep))
	m.Ordered(methodPart, rpc.Handle(n.servePart))
	m.Ordered(wire.MethodRenewals, rpc.Handle(n.serveRenewals))
	m.Concurrent(methodHello, rpc.Handle(n.serveHello))
	return m
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	controlstate.Result
	err *verdict.Error
}

// propose appends one command to the log and waits until it is applied.
func (n *Node) propose(ctx context.Context, cmd controlstate.Command) (controlstate.Result, error) {
	return n.await(ctx, func(c *core, reply func(controlstate.Result, *verdict.Error)) { c.propose(cmd, reply) })
}

// await runs f in the event loop and waits until f or a later event has called reply.
func (n *Node) await(ctx context.Context, f func(c *core, reply func(controlstate.Result, *verdict.Error))) (controlstate.Result, error) {
	done := make(chan proposalResult, 1)
	reply := func(r controlstate.Result, e *verdict.Error) { done <- proposalResult{r, e} }
	if err := n.post(ctx, func(c *core) { f(c, reply) }); err != nil {
		return controlstate.Result{}, err
	}
	select {
	case r := <-done:
		if r.err != nil {
			return controlstate.Result{}, r.err
		}
		return r.Result, nil
	case <-ctx.Done():
		return controlstate.Result{}, verdict.Unknown(verdict.NoQuorum, "the call was given up")
	case <-n.ctx.Done():
		return controlstate.Result{}, verdict.Unknown(verdict.Draining, "the node stops")
	}
}

// proposeAll appends commands to the log together and waits until all of them are
// applied.
func (n *Node) proposeAll(ctx context.Context, cmds []controlstate.Command) ([]proposalResult, error) {
	results := make([]proposalResult, len(cmds))
	done := make(chan struct{})
	remaining := len(cmds)
	if remaining == 0 {
		return results, nil
	}
	err := n.post(ctx, func(c *core) {
		for i, cmd := range cmds {
			c.propose(cmd, func(r controlstate.Result, e *verdict.Error) {
				results[i] = proposalResult{r, e}
				if remaining--; remaining == 0 {
					close(done)
				}
			})
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case <-done:
		return results, nil
	case <-ctx.Done():
		return nil, verdict.Unknown(verdict.NoQuorum, "the call was given up")
	case <-n.ctx.Done():
		return nil, verdict.Unknown(verdict.Draining, "the node stops")
	}
}

// notLeader returns the refusal of a write, with the address of the leader if it is
// known.
func (c *core) notLeader() *verdict.Error {
	p, ok := c.raft.Group().Peer(c.raft.Leader())
	if !ok || p.ID == c.instance.ID {
		return verdict.Refuse(verdict.NoQuorum, "no leader is known").After(time.Second)
	}
	hint, err := json.Marshal(wire.LeaderHint{Node: ids.Node(p.Name), Addr: p.Addr})
	if err != nil {
		return verdict.Refuse(verdict.NotLeader, "%v", err)
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NotLeader, Detail: string(hint)}
}

// confirmationAge returns the time since a leader confirmed the applied tables as
// current.
func (c *core) confirmationAge(now time.Time) (time.Duration, *verdict.Error) {
	if c.confirmedAt.IsZero() {
		return 0, verdict.Refuse(verdict.Stale, "node %s has not heard from a confirmed leader", c.opt.Node).After(time.Second)
	}
	return max(now.Sub(c.confirmedAt), 0), nil
}

// checkReadable refuses a read if the tables are not confirmed as current.
func (c *core) checkReadable() *verdict.Error {
	confirmationAge, e := c.confirmationAge(time.Now())
	if e != nil {
		return e
	}
	if confirmationAge > wire.StaleAfter {
		return verdict.Refuse(verdict.Stale, "node %s was last confirmed %v ago", c.opt.Node, confirmationAge).After(time.Second)
	}
	return nil
}

// CheckReadable returns the reason why this node refuses to answer reads, or nil.
func (n *Node) CheckReadable(ctx context.Context) error {
	e, err := runInLoop(ctx, n, func(c *core) *verdict.Error { return c.checkReadable() })
	if err != nil {
		return err
	}
	if e != nil {
		return e
	}
	return nil
}

func (n *Node) serveRegister(ctx context.Context, _ *rpc.Conn, p wire.Registration) (wire.RegisterReply, error) {
	r, err := n.propose(ctx, controlstate.Command{Register: &p})
	if err != nil {
		return wire.RegisterReply{}, err
	}
	if r.Err != nil {
		return wire.RegisterReply{}, r.Err
	}
	return wire.RegisterReply{Incarnation: r.Incarnation}, nil
}

type renewResult struct {
	reply wire.RenewReply
	err   *verdict.Error
}

func (n *Node) serveRenew(ctx context.Context, _ *rpc.Conn, p wire.Renew) (wire.RenewReply, error) {
	arrived := time.Now()
	r, err := runInLoop(ctx, n, func(c *core) renewResult {
		reply, e := c.renew(p, arrived)
		return renewResult{reply, e}
	})
	if err != nil {
		return wire.RenewReply{}, err
	}
	if r.err != nil {
		return wire.RenewReply{}, r.err
	}
	return r.reply, nil
}

// renew answers a renewal from the applied tables.
func (c *core) renew(p wire.Renew, arrived time.Time) (wire.RenewReply, *verdict.Error) {
	m, ok := c.state.Member(p.Incarnation)
	if ok && !m.Live() {
		return wire.RenewReply{Gone: true}, nil
	}
	// The id of an incarnation is the log index of its registration. Tables up to this
	// index without a row of the incarnation show that the row was dropped.
	if !ok && c.state.Index() >= uint64(p.Incarnation) {
		return wire.RenewReply{Gone: true}, nil
	}
	c.leases.renew(p, arrived)
	now := time.Now()
	confirmationAge, e := c.confirmationAge(now)
	if e != nil {
		return wire.RenewReply{}, e
	}
	if !ok {
		// A version without the rows up to it would make the member skip these rows.
		return wire.RenewReply{}, verdict.Refuse(verdict.Stale, "node %s has not reached incarnation %d", c.opt.Node, p.Incarnation)
	}
	r := wire.RenewReply{ConfirmedAgeMS: ceilMS(confirmationAge), FromLeader: c.leading, Leader: c.leaderChange(now)}
	if addrs := c.groupAddrs(); wire.GroupHash(addrs) != p.ControlGroupHash {
		r.Control = addrs
	}
	r.SetVersion(p.Have, ids.Version(c.state.Index()))
	if r.Version > p.Have {
		r.Changes, r.ReplacesView = c.state.Changes(p.Have, p.Incarnation)
	}
	return r, nil
}

// groupAddrs returns the addresses of the nodes that stay in the group, each once: a
// node whose data directory was emptied is in the group under two instances for a
// moment.
func (c *core) groupAddrs() []string {
	var out []string
	for _, p := range c.raft.Group().Peers {
		if !p.Leaving && !slices.Contains(out, p.Addr) {
			out = append(out, p.Addr)
		}
	}
	return out
}

func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func (n *Node) serveLeave(ctx context.Context, _ *rpc.Conn, p wire.Leave) (wire.Empty, error) {
	_, err := n.propose(ctx, controlstate.Command{Expire: &controlstate.Expire{Incarnation: p.Incarnation}})
	return wire.Empty{}, err
}

func (n *Node) serveAdmit(ctx context.Context, _ *rpc.Conn, p wire.Admit) (wire.AdmitReply, error) {
	if len(p.Items) > maxAdmitItems {
		return wire.AdmitReply{}, verdict.Refuse(verdict.BadRequest, "%d admissions are above the limit of %d", len(p.Items), maxAdmitItems)
	}
	cmds := make([]controlstate.Command, len(p.Items))
	for i := range p.Items {
		cmds[i].Admit = &p.Items[i]
	}
	results, err := n.proposeAll(ctx, cmds)
	if err != nil {
		return wire.AdmitReply{}, err
	}
	reply := wire.AdmitReply{Results: make([]wire.AdmitResult, len(results))}
	for i, r := range results {
		switch {
		case r.err == nil:
			reply.Results[i] = r.Admit
		case r.err.Reason == verdict.Overloaded:
			reply.Results[i].Err = r.err
		default:
			return wire.AdmitReply{}, r.err // the client repeats the whole message at the leader
		}
	}
	return reply, nil
}

func (n *Node) serveComplete(ctx context.Context, _ *rpc.Conn, p wire.Complete) (wire.Empty, error) {
	if len(p.Items) == 0 {
		return wire.Empty{}, nil
	}
	_, err := n.propose(ctx, controlstate.Command{Complete: &p})
	return wire.Empty{}, err
}

func (n *Node) serveApply(ctx context.Context, _ *rpc.Conn, p wire.Apply) (wire.ApplyReply, error) {
	r, err := n.propose(ctx, controlstate.Command{Apply: &p})
	return r.Apply, err
}

func (n *Node) serveDrain(ctx context.Context, _ *rpc.Conn, p wire.DrainNode) (wire.Empty, error) {
	if p.Node == "" {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "no node is named")
	}
	r, err := n.propose(ctx, controlstate.Command{Drain: &controlstate.Drain{Node: p.Node, Drain: p.Drain}})
	if err != nil {
		return wire.Empty{}, err
	}
	if r.Err != nil {
		return wire.Empty{}, r.Err
	}
	return wire.Empty{}, nil
}

type getResult struct {
	reply wire.GetReply
	err   *verdict.Error
}

// serveGet returns the configuration in the tables of this node.
func (n *Node) serveGet(ctx context.Context, _ *rpc.Conn, _ wire.Get) (wire.GetReply, error) {
	r, err := runInLoop(ctx, n, func(c *core) getResult {
		if e := c.checkReadable(); e != nil {
			return getResult{err: e}
		}
		return getResult{reply: c.state.Configuration()}
	})
	if err != nil {
		return wire.GetReply{}, err
	}
	if r.err != nil {
		return wire.GetReply{}, r.err
	}
	return r.reply, nil
}

// sleep waits for d, or until the call is canceled or the node stops.
func (n *Node) sleep(ctx context.Context, d time.Duration) *verdict.Error {
	select {
	case <-ctx.Done():
		return verdict.Refuse(verdict.NoQuorum, "the call was given up")
	case <-n.ctx.Done():
		return verdict.Refuse(verdict.Draining, "the node stops")
	case <-time.After(d):
		return nil
	}
}

func (n *Node) serveStatus(ctx context.Context, _ *rpc.Conn, p wire.Status) (wire.StatusReply, error) {
	return runInLoop(ctx, n, func(c *core) wire.StatusReply { return c.status(p, time.Now()) })
}

func (n *Node) serveStep(ctx context.Context, conn *rpc.Conn, p stepBatch) (wire.Empty, error) {
	release := conn.Retain()
	err := n.post(ctx, func(c *core) {
		defer release()
		c.rememberSender(p)
		c.recordContact(p, time.Now())
		c.recordProofs(p)
		for _, m := range p.Messages {
			if m.From == p.From {
				c.raft.Step(m)
			}
		}
	})
	if err != nil {
		release()
	}
	return wire.Empty{}, err
}

// servePart receives a part of a stepBatch that is too large for one RPC message. The
// parts on one connection arrive in order, one at a time.
func (n *Node) servePart(ctx context.Context, conn *rpc.Conn, p messagePart) (wire.Empty, error) {
	a, ok := conn.Peer.Load().(*reassembly)
	if !ok {
		a = &reassembly{}
		conn.Peer.Store(a)
	}
	data, err := a.add(p)
	switch {
	case err != nil:
		conn.ReleaseKept()
		return wire.Empty{}, err
	case data == nil:
		conn.Keep()
		return wire.Empty{}, nil
	}
	defer conn.ReleaseKept()
	var s stepBatch
	if err := json.Unmarshal(data, &s); err != nil {
		return wire.Empty{}, verdict.Refuse(verdict.BadRequest, "parts: %v", err)
	}
	return n.serveStep(ctx, conn, s)
}

func (n *Node) serveRenewals(ctx context.Context, conn *rpc.Conn, p wire.Renewals) (wire.Empty, error) {
	arrived := time.Now()
	items, err := p.Unpack()
	if err != nil {
		return wire.Empty{}, err
	}
	release := conn.Retain()
	err = n.post(ctx, func(c *core) {
		defer release()
		for _, r := range items {
			seen := arrived.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond)
			c.leases.renew(wire.Renew{Incarnation: r.Incarnation, Have: r.Have, Draining: r.Draining}, seen)
		}
	})
	if err != nil {
		release()
	}
	return wire.Empty{}, err
}

func (n *Node) serveHello(ctx context.Context, _ *rpc.Conn, p hello) (hello, error) {
	return runInLoop(ctx, n, func(c *core) hello { return c.answerHello(p) })
}

// maxSenders limits the remembered senders outside the group.
const maxSenders = 64

// rememberSender records the reply address of a node that is not in this node's
// group yet.
func (c *core) rememberSender(p stepBatch) {
	if _, ok := c.raft.Group().Peer(p.From); ok || p.Addr == "" {
		delete(c.senderAddrs, p.From)
		return
	}
	if len(c.senderAddrs) >= maxSenders {
		clear(c.senderAddrs)
	}
	c.senderAddrs[p.From] = p.Addr
}
