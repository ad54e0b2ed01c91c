package control

import (
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
	"github.com/baobabshore/baobabshore/wire"
)

// core owns the consensus state machine, the log and the replicated tables. Only the
// event loop of the node accesses it.
type core struct {
	opt        Options
	instance   wal.Identity
	membership membershipFile
	raft       *consensus.Node
	log        *wal.Log
	state      *controlstate.State
	links      *links
	client     *member.Client  // calls the leader for callers of this node
	formation  *groupFormation // nil once the node belongs to a group

	hardState         consensus.HardState // as last persisted
	committedGroup    consensus.Group     // membership as of the applied index
	firstTickAt       time.Time           // time of consensus tick 1
	confirmedAt       time.Time           // the applied tables are known to cover everything committed before this time; zero if never confirmed
	leases            leases
	metrics           *metrics
	metricsUpdatedAt  time.Time
	leading           bool
	lastRunAt         time.Time
	resumedAt         time.Time // end of the latest gap between two loop iterations above maxLoopGap
	lastLeaderAt      time.Time // last time at which a leader was known
	lastNoLeaderLogAt time.Time
	lastAnnouncedAt   time.Time // last time at which this leader announced itself to the seeds
	lastForwardAt     time.Time
	followed          wire.LeaderChange // the leader, zero if none is known
	followedAt        time.Time
	configIndex       ids.Version // log index of the latest configuration change applied since the start
	lastMaintenanceAt time.Time
	pendingMembers    map[ids.Incarnation]bool // members with a proposed expire or drain record that is not applied yet

	retentionPending bool                    // an ApplyRetention record is proposed and not applied yet
	lastRetentionAt  time.Time               // last check whether retention is due
	senderAddrs      map[consensus.ID]string // reply addresses of senders outside the group
	contacts         map[consensus.ID]peerContact

	// fatalErr is a failure to encode or write state outside persistSendApply. It
	// stops the node at the next runOnce.
	fatalErr error

	waiters      map[uint64]waiter
	pendingPatch *pendingPatch // nil if there is none
	reads        confirmedReads
	// runInBackground runs a function outside the event loop and the function that
	// it returns inside the loop.
	runInBackground  func(func() func(*core))
	encodingSnapshot bool
	logEntries       int   // entries applied since the last snapshot
	logBytes         int64 // size of these entries
}

// waiter is the proposer that waits for the record at an index.
type waiter struct {
	term  uint64
	reply func(controlstate.Result, *verdict.Error)
}

const (
	// forwardInterval is how often a follower forwards lease renewals to the leader.
	forwardInterval = 500 * time.Millisecond
	// maintenanceInterval is how often the leader looks for expired leases.
	maintenanceInterval = 100 * time.Millisecond
	// metricsInterval is how often the metrics are updated.
	metricsInterval = time.Second
	// retentionInterval is how often the leader looks for rows past their retention.
	retentionInterval = time.Second
	// slowSync is the duration from which a write to the log is reported. Heartbeats and votes
	// wait for it, and a leader steps down that hears no quorum for 400 ms.
	slowSync = 200 * time.Millisecond
	// leaderChangeDuration is how long replies to renewals name a new leader. Each member
	// renews several times within it.
	leaderChangeDuration = 5 * time.Second
	// maxLoopGap is the time between two loop iterations above which the node may
	// have missed renewals, so that it must not expire leases on their absence.
	maxLoopGap = time.Second
)

// runOnce runs one iteration of the event loop.
func (c *core) runOnce(now time.Time) error {
	if c.fatalErr != nil {
		return c.fatalErr
	}
	c.advanceTicks(now)
	if err := c.persistSendApply(); err != nil {
		return err
	}
	c.startSnapshot()
	c.updateLeadership(now)
	c.followLeader(now)
	c.reportMissingLeader(now)
	c.updateConfirmation()
	c.forwardRenewals(now)
	if now.Sub(c.metricsUpdatedAt) >= metricsInterval {
		c.metricsUpdatedAt = now
		c.metrics.update(c, now)
	}
	if c.leading && now.Sub(c.lastMaintenanceAt) >= maintenanceInterval {
		c.lastMaintenanceAt = now
		c.proposeMaintenance(now)
		return c.persistSendApply()
	}
	return nil
}

// advanceTicks delivers all elapsed ticks to consensus. After a pause of the process
// it delivers them at once, so that a leader that was frozen gives up its lease
// before it answers.
func (c *core) advanceTicks(now time.Time) {
	if now.Sub(c.lastRunAt) > maxLoopGap {
		c.leases.extendAll(now)
		c.resumedAt = now
	}
	c.lastRunAt = now
	due := uint64(now.Sub(c.firstTickAt)/c.opt.Tick) + 1
	for c.raft.CurrentTick() < due {
		c.raft.Tick()
	}
}

func (c *core) tickTime(tick uint64) time.Time {
	return c.firstTickAt.Add(time.Duration(tick-1) * c.opt.Tick)
}

// persistSendApply persists, sends and applies the output of consensus in this
// order, until there is none left.
func (c *core) persistSendApply() error {
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
		if err := c.applyReady(rd); err != nil {
			return err
		}
		c.answerReads(rd)
		c.raft.Advance(rd)
	}
}

func (c *core) persist(rd consensus.Ready) error {
	begin := time.Now()
	if err := c.log.Append(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return errors.Wrap(err, "control: append to the log")
	}
	took := time.Since(begin)
	c.metrics.syncTime.RecordDuration(took)
	if took >= slowSync {
		klog.InfoS("control: Slow write to the log", "ms", took.Milliseconds(), "entries", len(rd.Entries), "leading", c.leading)
	}
	if rd.HardState != nil {
		c.hardState = *rd.HardState
	}
	if c.membership.Joined || rd.Snapshot == nil && len(rd.Entries) == 0 {
		return nil
	}
	return c.saveJoined()
}

// saveJoined records in the data directory that the log holds state of a group.
func (c *core) saveJoined() error {
	c.formation = nil
	c.membership.Joined = true
	klog.Infof("control: Node %s joined the group as instance %s.", c.opt.Node, c.instance.ID)
	return c.membership.save(c.opt.FS, c.opt.Data)
}

func (c *core) send(messages []consensus.Message) {
	g := c.raft.Group()
	for _, m := range messages {
		if p, ok := g.Peer(m.To); ok {
			c.links.queueMessage(p.Addr, m)
		} else if addr, ok := c.senderAddrs[m.To]; ok {
			c.links.queueMessage(addr, m)
		}
	}
}

func (c *core) applyReady(rd consensus.Ready) error {
	if s := rd.Snapshot; s != nil {
		state, err := controlstate.Restore(s.Data)
		if err != nil {
			return err
		}
		state.Skip(s.Index)
		c.state = state
		c.setCommittedGroup(s.Group, s.Index)
		c.resetLogGrowth()
		c.failWaiters()
		c.dropEndedLeases()
	}
	for _, e := range rd.Committed {
		if err := c.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// dropEndedLeases drops the leases of members that have ended, also of those whose
// end is only known from a restored snapshot.
func (c *core) dropEndedLeases() {
	for inc := range c.leases.rows {
		m, ok := c.state.Member(inc)
		if ok && !m.Live() || !ok && uint64(inc) <= c.state.Index() {
			c.leases.drop(inc)
		}
	}
}

func (c *core) applyEntry(e consensus.Entry) error {
	c.logEntries++
	c.logBytes += int64(len(e.Data))
	if e.Kind == consensus.EntryGroup {
		g, err := consensus.DecodeGroup(e)
		if err != nil {
			return errors.Wrapf(err, "control: decode membership record %d", e.Index)
		}
		c.setCommittedGroup(g, e.Index)
	}
	if e.Kind != consensus.EntryCommand {
		c.state.Skip(e.Index)
		c.replyToWaiter(e, controlstate.Result{})
		return nil
	}
	cmd, err := controlstate.Decode(e.Data)
	if err != nil {
		return errors.Wrapf(err, "control: decode record %d, possibly written by a newer version", e.Index)
	}
	r := c.state.Apply(e.Index, cmd)
	c.updateLeases(cmd, r)
	c.replyToWaiter(e, r)
	return nil
}

// updateLeases updates the leases and configIndex after a command was applied.
func (c *core) updateLeases(cmd controlstate.Command, r controlstate.Result) {
	switch {
	case (cmd.Apply != nil || cmd.Patch != nil) && r.Apply.Err == nil && !r.Apply.Repeated:
		c.configIndex = r.Apply.Index
	case cmd.Register != nil && r.Err == nil:
		if m, ok := c.state.Member(r.Incarnation); ok && m.Live() {
			c.leases.renew(wire.Renew{Incarnation: r.Incarnation, Draining: c.state.DrainsItself(r.Incarnation)}, c.lastRunAt)
		}
	case cmd.Expire != nil:
		c.leases.drop(cmd.Expire.Incarnation)
		delete(c.pendingMembers, cmd.Expire.Incarnation)
		klog.Infof("control: Incarnation %d has ended.", cmd.Expire.Incarnation)
	case cmd.Drain != nil:
		delete(c.pendingMembers, cmd.Drain.Incarnation)
	case cmd.DrainDomain != nil && r.DrainDomain.Err == nil:
		klog.InfoS("control: Order about a failure domain is in force", "domain", cmd.DrainDomain.Domain,
			"drain", cmd.DrainDomain.Drain, "index", r.DrainDomain.InForce.Index)
	}
}

func (c *core) replyToWaiter(e consensus.Entry, r controlstate.Result) {
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

// propose appends a command to the log if this node is the leader. reply is called
// exactly once, from the event loop.
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
		reply(controlstate.Result{}, verdict.FromError(err))
		return
	}
	c.waiters[index] = waiter{term: c.raft.Term(), reply: reply}
}

// updateLeadership reacts to a gain or loss of leadership.
func (c *core) updateLeadership(now time.Time) {
	leading := c.raft.IsLeader()
	if leading == c.leading {
		return
	}
	c.leading = leading
	clear(c.pendingMembers)
	if leading {
		klog.Infof("control: Node %s became leader in term %d.", c.opt.Node, c.raft.Term())
		c.leases.extendAll(now)
		return
	}
	klog.Infof("control: Node %s is no longer the leader.", c.opt.Node)
	c.failWaiters()
}

// followLeader tells the client of this node where the leader is, in each iteration, since the
// client forgets it upon a failure. It would otherwise wait for the former one, which may be
// frozen.
func (c *core) followLeader(now time.Time) {
	p, ok := c.raft.Group().Peer(c.raft.Leader())
	if !ok {
		c.followed = wire.LeaderChange{}
		return
	}
	if followed := (wire.LeaderChange{Addr: p.Addr, Term: c.raft.Term()}); followed != c.followed {
		c.followed, c.followedAt = followed, now
	}
	c.client.FollowLeader(p.Addr)
}

// leaderChange returns the leader if this node has begun to follow it a short time ago.
func (c *core) leaderChange(now time.Time) wire.LeaderChange {
	if now.Sub(c.followedAt) > leaderChangeDuration {
		return wire.LeaderChange{}
	}
	return c.followed
}

// updateConfirmation runs after all committed entries have been applied, so that the
// confirmation covers the tables.
func (c *core) updateConfirmation() {
	if tick := c.raft.ConfirmedTick(); tick > 0 {
		c.confirmedAt = c.tickTime(tick)
	}
}

// forwardRenewals sends the renewals that this follower has received to the leader.
func (c *core) forwardRenewals(now time.Time) {
	if c.leading || now.Sub(c.lastForwardAt) < forwardInterval {
		return
	}
	p, ok := c.raft.Group().Peer(c.raft.Leader())
	if !ok {
		return
	}
	c.lastForwardAt = now
	if r := c.leases.forwardRenewals(now, c.configIndex, c.memberKind); r.Len() > 0 {
		c.links.queueRenewals(p.Addr, r)
	}
}

func (c *core) memberKind(inc ids.Incarnation) wire.Kind {
	m, _ := c.state.Member(inc)
	return m.Kind
}

// proposeMaintenance proposes changes of the voters, the expiry of leases,
// changes of draining marks and the application of retention.
func (c *core) proposeMaintenance(now time.Time) {
	if c.opt.AutoJoin {
		c.adjustVoters()
		c.announceToSeeds(now)
	}
	for _, inc := range c.leases.expired(now, c.state.LiveMembers()) {
		if !c.pendingMembers[inc] {
			c.pendingMembers[inc] = true
			klog.Infof("control: The lease of incarnation %d has expired.", inc)
			c.propose(controlstate.Command{Expire: &controlstate.Expire{Incarnation: inc}}, c.clearPendingOnRefusal(inc))
		}
	}
	c.dropEndedLeases()
	for inc, l := range c.leases.rows {
		if _, ok := c.state.Member(inc); ok && l.draining != c.state.DrainsItself(inc) && !c.pendingMembers[inc] {
			c.pendingMembers[inc] = true
			c.propose(controlstate.Command{Drain: &controlstate.Drain{Incarnation: inc, Drain: l.draining}}, c.clearPendingOnRefusal(inc))
		}
	}
	if c.retentionPending || now.Sub(c.lastRetentionAt) < retentionInterval {
		return
	}
	c.lastRetentionAt = now
	if c.state.RetentionDue(time.Now()) {
		c.retentionPending = true
		c.propose(controlstate.Command{ApplyRetention: &controlstate.ApplyRetention{}}, func(controlstate.Result, *verdict.Error) { c.retentionPending = false })
	}
}

// clearPendingOnRefusal lets the next check propose again after a refusal.
func (c *core) clearPendingOnRefusal(inc ids.Incarnation) func(controlstate.Result, *verdict.Error) {
	return func(_ controlstate.Result, e *verdict.Error) {
		if e != nil {
			delete(c.pendingMembers, inc)
		}
	}
}

// startSnapshot starts to replace the log by a snapshot once the log has grown
// enough. The tables are encoded outside the event loop, since that may take longer
// than the lease of the leader.
func (c *core) startSnapshot() {
	if c.encodingSnapshot || c.logEntries < c.opt.SnapshotEntries && c.logBytes < c.opt.SnapshotBytes {
		return
	}
	c.encodingSnapshot = true
	c.resetLogGrowth()
	frozen := c.state.Freeze()
	c.runInBackground(func() func(*core) {
		data, err := frozen.Encode()
		return func(c *core) { c.saveSnapshot(frozen.Index(), data, err) }
	})
}

func (c *core) saveSnapshot(index uint64, data []byte, err error) {
	c.encodingSnapshot = false
	if err != nil {
		c.fatalErr = errors.Wrap(err, "control: encode snapshot")
		return
	}
	snap, err := c.raft.Compact(index, data)
	if err != nil {
		// A snapshot from the leader has replaced the log in the meantime.
		klog.Infof("control: Discarded the snapshot at index %d: %v.", index, err)
		return
	}
	if err := c.log.Append(nil, nil, &snap); err != nil {
		c.fatalErr = errors.Wrap(err, "control: write snapshot to the log")
	}
}

func (c *core) resetLogGrowth() { c.logEntries, c.logBytes = 0, 0 }
