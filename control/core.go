package control

import (
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
	"github.com/baobabshore/baobabshore/wire"
)

// core owns consensus, the log and the tables. Only the node's loop uses it.
type core struct {
	opt     Options
	id      wal.Identity
	member  membership
	raft    *consensus.Node
	log     *wal.Log
	state   *controlstate.State
	links   *links
	forming *formation // nil once the node holds state of a group

	hard      consensus.HardState // as persisted
	committed consensus.Group     // membership as of the applied index
	start     time.Time           // tick 1 of raft
	confirmed time.Time           // up to when the applied tables are known to be current, zero if never
	leases    leases
	metrics   *metrics
	measured  time.Time // when the metrics were last updated
	leading   bool
	lastRun   time.Time
	forwarded time.Time
	configAt  ids.Version // index of the latest change of the configuration applied since the start
	checked   time.Time
	pending   map[ids.Incarnation]bool // members with an expire or drain record on its way

	ticking   bool                    // a tick record is on its way
	compacted time.Time               // when retention was last looked at
	addrs     map[consensus.ID]string // of senders outside the group, for replies

	broken error // a failed write outside process, which stops the node

	waiters map[uint64]waiter
	// background runs a function outside the loop and what it returns inside.
	background func(func() func(*core))
	encoding   bool  // a snapshot is being encoded
	grown      int   // entries since the last snapshot
	bytes      int64 // of these entries
}

// waiter is the proposer of the record at an index.
type waiter struct {
	term  uint64
	reply func(controlstate.Result, *verdict.Error)
}

const (
	// forwardInterval is a follower's round of telling the leader of renewals.
	forwardInterval = 500 * time.Millisecond
	// checkInterval is how often the leader looks for leases that ran out.
	checkInterval = 100 * time.Millisecond
	// measureInterval is how often the metrics are brought up to date.
	measureInterval = time.Second
	// retentionInterval is how often the leader looks for rows to drop.
	retentionInterval = time.Second
	// pauseLimit is the gap between two runs of the loop above which renewals
	// may have been missed.
	pauseLimit = time.Second
)

// run carries out one turn of the loop.
func (c *core) run(now time.Time) error {
	if c.broken != nil {
		return c.broken
	}
	c.advanceClock(now)
	if err := c.process(); err != nil {
		return err
	}
	c.compact()
	c.noteLeadership(now)
	c.noteConfirmation()
	c.forward(now)
	if now.Sub(c.measured) >= measureInterval {
		c.measured = now
		c.metrics.update(c, now)
	}
	if c.leading && now.Sub(c.checked) >= checkInterval {
		c.checked = now
		c.maintain(now)
		return c.process()
	}
	return nil
}

// advanceClock gives consensus the ticks that have passed, all of them after a
// pause, so that a leader that was frozen gives up its lease before it answers.
func (c *core) advanceClock(now time.Time) {
	if now.Sub(c.lastRun) > pauseLimit {
		c.leases.restart(now)
	}
	c.lastRun = now
	due := uint64(now.Sub(c.start)/c.opt.Tick) + 1
	for c.raft.CurrentTick() < due {
		c.raft.Tick()
	}
}

func (c *core) tickTime(tick uint64) time.Time {
	return c.start.Add(time.Duration(tick-1) * c.opt.Tick)
}

// process persists, then sends, then applies, until nothing is left to do.
func (c *core) process() error {
	for {
		rd := c.raft.Ready()
		if rd.Empty() {
			return nil
		}
		if rd.NeedsSync() {
			if err := c.persist(rd); err != nil {
				return err
			}
		}
		c.send(rd.Messages)
		if err := c.applyAll(rd); err != nil {
			return err
		}
		c.raft.Advance(rd)
	}
}

func (c *core) persist(rd consensus.Ready) error {
	begin := time.Now()
	if err := c.log.Append(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return errors.Wrap(err, "control: log")
	}
	c.metrics.sync.RecordDuration(time.Since(begin))
	if rd.HardState != nil {
		c.hard = *rd.HardState
	}
	if c.member.Joined || rd.Snapshot == nil && len(rd.Entries) == 0 {
		return nil
	}
	return c.join()
}

// join records that the folder holds state of a group.
func (c *core) join() error {
	c.forming = nil
	c.member.Joined = true
	klog.Infof("control: Node %s joined the group as instance %s.", c.opt.Node, c.id.ID)
	return c.member.save(c.opt.FS, c.opt.Data)
}

func (c *core) send(messages []consensus.Message) {
	g := c.raft.Group()
	for _, m := range messages {
		if p, ok := g.Peer(m.To); ok {
			c.links.step(p.Addr, m)
		} else if addr, ok := c.addrs[m.To]; ok {
			c.links.step(addr, m)
		}
	}
}

func (c *core) applyAll(rd consensus.Ready) error {
	if s := rd.Snapshot; s != nil {
		state, err := controlstate.Restore(s.Data)
		if err != nil {
			return err
		}
		state.Skip(s.Index)
		c.state, c.committed = state, s.Group
		c.resetGrowth()
		c.failWaiters()
		c.forgetEnded()
	}
	for _, e := range rd.Committed {
		if err := c.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// forgetEnded drops the leases of members that ended within a snapshot.
func (c *core) forgetEnded() {
	for inc := range c.leases.rows {
		m, ok := c.state.Member(inc)
		if ok && !m.Live() || !ok && uint64(inc) <= c.state.Index() {
			c.leases.forget(inc)
		}
	}
}

func (c *core) applyEntry(e consensus.Entry) error {
	c.grown++
	c.bytes += int64(len(e.Data))
	if e.Kind == consensus.EntryGroup {
		g, err := consensus.DecodeGroup(e)
		if err != nil {
			return errors.Wrapf(err, "control: membership record %d", e.Index)
		}
		c.committed = g
	}
	if e.Kind != consensus.EntryCommand {
		c.state.Skip(e.Index)
		c.answer(e, controlstate.Result{})
		return nil
	}
	cmd, err := controlstate.Decode(e.Data)
	if err != nil {
		return errors.Wrapf(err, "control: record %d can't be read by this version", e.Index)
	}
	r := c.state.Apply(e.Index, cmd)
	c.noteApplied(cmd, r)
	c.answer(e, r)
	return nil
}

// noteApplied updates the leases after a record of the registry.
func (c *core) noteApplied(cmd controlstate.Command, r controlstate.Result) {
	switch {
	case cmd.Apply != nil && r.Apply.Err == nil && !r.Apply.Repeated:
		c.configAt = r.Apply.Index
	case cmd.Register != nil && r.Err == nil:
		if m, ok := c.state.Member(r.Incarnation); ok && m.Live() {
			c.leases.renew(wire.Renew{Incarnation: r.Incarnation, Draining: c.state.DrainsItself(r.Incarnation)}, c.lastRun)
		}
	case cmd.Expire != nil:
		c.leases.forget(cmd.Expire.Incarnation)
		delete(c.pending, cmd.Expire.Incarnation)
		klog.Infof("control: Incarnation %d has ended.", cmd.Expire.Incarnation)
	case cmd.Drain != nil:
		delete(c.pending, cmd.Drain.Incarnation)
	}
}

func (c *core) answer(e consensus.Entry, r controlstate.Result) {
	w, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	delete(c.waiters, e.Index)
	if w.term != e.Term {
		w.reply(controlstate.Result{}, verdict.Refuse(verdict.NotLeader, "another leader took over"))
		return
	}
	w.reply(r, nil)
}

func (c *core) failWaiters() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.reply(controlstate.Result{}, verdict.Unknown(verdict.NoQuorum, "leadership was lost before the record was committed"))
	}
}

// propose appends a command at the leader. reply is called once, from the loop.
func (c *core) propose(cmd controlstate.Command, reply func(controlstate.Result, *verdict.Error)) {
	if !c.raft.IsLeader() {
		reply(controlstate.Result{}, c.notLeader())
		return
	}
	cmd.Time = time.Now().UnixMilli()
	data, err := cmd.Encode()
	if err != nil {
		reply(controlstate.Result{}, verdict.Refuse(verdict.BadRequest, "%v", err))
		return
	}
	index, err := c.raft.Propose(data)
	if err != nil {
		reply(controlstate.Result{}, verdict.From(err))
		return
	}
	c.waiters[index] = waiter{term: c.raft.Term(), reply: reply}
}

// noteLeadership starts or ends the duties of the leader.
func (c *core) noteLeadership(now time.Time) {
	leading := c.raft.IsLeader()
	if leading == c.leading {
		return
	}
	c.leading = leading
	clear(c.pending)
	if leading {
		klog.Infof("control: Node %s leads in term %d.", c.opt.Node, c.raft.Term())
		c.leases.restart(now)
		return
	}
	klog.Infof("control: Node %s no longer leads.", c.opt.Node)
	c.failWaiters()
}

// noteConfirmation runs after all that is committed has been applied, so the
// confirmation covers the tables.
func (c *core) noteConfirmation() {
	if tick := c.raft.ConfirmedTick(); tick > 0 {
		c.confirmed = c.tickTime(tick)
	}
}

// forward tells the leader of the renewals that this node has seen.
func (c *core) forward(now time.Time) {
	if c.leading || now.Sub(c.forwarded) < forwardInterval {
		return
	}
	p, ok := c.raft.Group().Peer(c.raft.Leader())
	if !ok {
		return
	}
	c.forwarded = now
	if r := c.leases.forward(now, c.configAt, c.kind); r.Len() > 0 {
		c.links.renewals(p.Addr, r)
	}
}

func (c *core) kind(inc ids.Incarnation) wire.Kind {
	m, _ := c.state.Member(inc)
	return m.Kind
}

// maintain proposes what time and renewals call for.
func (c *core) maintain(now time.Time) {
	if c.opt.AutoJoin {
		c.replaceLost()
	}
	for _, inc := range c.leases.overdue(now, c.state.LiveMembers()) {
		if !c.pending[inc] {
			c.pending[inc] = true
			klog.Infof("control: The lease of incarnation %d has run out.", inc)
			c.propose(controlstate.Command{Expire: &controlstate.Expire{Incarnation: inc}}, c.unlessRefused(inc))
		}
	}
	c.forgetEnded()
	for inc, l := range c.leases.rows {
		if _, ok := c.state.Member(inc); ok && l.draining != c.state.DrainsItself(inc) && !c.pending[inc] {
			c.pending[inc] = true
			c.propose(controlstate.Command{Drain: &controlstate.Drain{Incarnation: inc, Drain: l.draining}}, c.unlessRefused(inc))
		}
	}
	if c.ticking || now.Sub(c.compacted) < retentionInterval {
		return
	}
	c.compacted = now
	if c.state.NeedsTick(time.Now()) {
		c.ticking = true
		c.propose(controlstate.Command{Tick: &controlstate.Tick{}}, func(controlstate.Result, *verdict.Error) { c.ticking = false })
	}
}

// unlessRefused lets the next check propose again what was refused.
func (c *core) unlessRefused(inc ids.Incarnation) func(controlstate.Result, *verdict.Error) {
	return func(_ controlstate.Result, e *verdict.Error) {
		if e != nil {
			delete(c.pending, inc)
		}
	}
}

// compact replaces the log by a snapshot once it has grown enough. The tables
// are encoded outside the loop, since that may take longer than the lease of the
// leader.
func (c *core) compact() {
	if c.encoding || c.grown < c.opt.SnapshotEntries && c.bytes < c.opt.SnapshotBytes {
		return
	}
	c.encoding = true
	c.resetGrowth()
	frozen := c.state.Freeze()
	c.background(func() func(*core) {
		data, err := frozen.Encode()
		return func(c *core) { c.saveSnapshot(frozen.Index(), data, err) }
	})
}

func (c *core) saveSnapshot(index uint64, data []byte, err error) {
	c.encoding = false
	if err != nil {
		c.broken = errors.Wrap(err, "control: snapshot")
		return
	}
	snap, err := c.raft.Compact(index, data)
	if err != nil {
		// A snapshot of the leader has replaced the log meanwhile.
		klog.Infof("control: The snapshot at %d is not needed: %v.", index, err)
		return
	}
	if err := c.log.Append(nil, nil, &snap); err != nil {
		c.broken = errors.Wrap(err, "control: snapshot")
	}
}

func (c *core) resetGrowth() { c.grown, c.bytes = 0, 0 }
