package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults that runs inject.
const (
	UpstreamDies    FaultKind = "upstream dies"       // the VM, with its agent
	BackendDown     FaultKind = "backend down"        // the upstream, its agent lives
	UpstreamSlow    FaultKind = "upstream 10x slower" //
	UpstreamFails   FaultKind = "upstream fails all"  // answers status 500 at once
	EntryDies       FaultKind = "entry dies"          //
	EntryFreezes    FaultKind = "entry freezes"       // past its lease, then wakes
	EntryCut        FaultKind = "entry partitioned"   // from the control group, past its lease
	AgentCut        FaultKind = "agent partitioned"   // from the control group, past its lease
	LinkDown        FaultKind = "link down"           // between one entry and one agent
	LostMessages    FaultKind = "lost messages"       // 5 % of all
	LateMessages    FaultKind = "late messages"       // 10 % of all, 5 % twice
	CancelWave      FaultKind = "cancellation wave"   // half of the open jobs
	WrongRunTimes   FaultKind = "wrong run times"     // declared wrong by up to 10 times
	RollingDrain    FaultKind = "rolling drain"       // all upstreams one after the other
	lossShare                 = 0.05
	lateShare                 = 0.10
	doubleShare               = 0.05
	cancelShare               = 0.5
	slowFactor                = 10
	drainStep                 = 1500 * time.Millisecond
	drainPoll                 = 100 * time.Millisecond
	runTimeError              = 10
	agentDisconnect           = time.Second
)

// FaultKinds lists all kinds in the order of the report.
var FaultKinds = []FaultKind{UpstreamDies, BackendDown, UpstreamSlow, UpstreamFails, EntryDies, EntryFreezes, EntryCut,
	AgentCut, LinkDown, LostMessages, LateMessages, CancelWave, WrongRunTimes, RollingDrain}

// Fault is one fault of a run.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration // until the repair, zero for never
	Target int           // index of the entry or upstream
}

// String returns a short form for reports.
func (f Fault) String() string {
	return fmt.Sprintf("%s(%d) at %v for %v", f.Kind, f.Target, f.At, f.For)
}

// apply makes a fault happen now and schedules its repair.
func (c *Cluster) apply(f Fault) {
	c.tracef("fault: %v", f)
	up := f.Target % len(c.ups)
	entry := f.Target % len(c.opts.Deployment.Weights)
	switch f.Kind {
	case UpstreamDies:
		c.crash(c.current(wire.KindAgent, up), f.For)
	case EntryDies:
		c.crash(c.current(wire.KindEntry, entry), f.For)
	case EntryFreezes:
		c.freeze(c.current(wire.KindEntry, entry), f.For)
	case EntryCut:
		c.cutOff(c.current(wire.KindEntry, entry), f.For)
	case AgentCut:
		c.cutOff(c.current(wire.KindAgent, up), f.For)
	case LinkDown:
		c.linkDown(entry, up, f.For)
	case BackendDown:
		c.setBackend(up, true)
		c.repair(f, func() { c.setBackend(up, false) })
	case UpstreamSlow:
		c.ups[up].slow = slowFactor
		c.repair(f, func() { c.ups[up].slow = 1 })
	case UpstreamFails:
		c.ups[up].failing = true
		c.repair(f, func() { c.ups[up].failing = false })
	case LostMessages:
		c.links.loss = lossShare
		c.repair(f, func() { c.links.loss = 0 })
	case LateMessages:
		c.links.late, c.links.double = lateShare, doubleShare
		c.repair(f, func() { c.links.late, c.links.double = 0, 0 })
	case CancelWave:
		c.cancelWave()
	case RollingDrain:
		for i := range c.ups {
			c.after(time.Duration(i)*drainStep, func() { c.drain(c.current(wire.KindAgent, i)) })
		}
	}
}

// repair calls undo when the fault ends.
func (c *Cluster) repair(f Fault, undo func()) {
	if f.For > 0 {
		c.after(f.For, undo)
	}
}

// crash ends a process and restarts it.
func (c *Cluster) crash(p *process, after time.Duration) {
	if p == nil {
		return
	}
	c.kill(p)
	if after > 0 {
		c.restart(p, after)
	}
}

// freeze stops a process for a while. Its callers leave; on waking it first
// learns how old its last confirmation is, then gets all messages held back.
func (c *Cluster) freeze(p *process, d time.Duration) {
	if p == nil || p.frozen {
		return
	}
	p.frozen = true
	for _, cl := range c.callers {
		if cl.at == p && !cl.done {
			cl.lost()
		}
	}
	c.after(d, func() {
		p.frozen = false
		if p.dead {
			return
		}
		c.tracef("%s %d wakes", p.kind, p.inc)
		p.checkCurrent()
		held := p.held
		p.held = nil
		for _, f := range held {
			f()
		}
	})
}

// cutOff separates a process from the control group.
func (c *Cluster) cutOff(p *process, d time.Duration) {
	if p == nil {
		return
	}
	p.cut = true
	c.after(d, func() { p.cut = false })
}

// linkDown separates one entry from one agent. Both notice by their pings, and
// the entry connects again after the repair.
func (c *Cluster) linkDown(entry, up int, d time.Duration) {
	pair := [2]int{entry, up}
	c.links.down[pair] = true
	c.after(agentDisconnect, func() {
		e, a := c.current(wire.KindEntry, entry), c.current(wire.KindAgent, up)
		if e != nil && a != nil && c.links.down[pair] {
			c.disconnect(e, a)
		}
	})
	c.after(d, func() { delete(c.links.down, pair) })
}

// setBackend stops or starts the upstream beside an agent.
func (c *Cluster) setBackend(up int, down bool) {
	c.ups[up].down = down
	p := c.current(wire.KindAgent, up)
	if p == nil {
		return
	}
	if down {
		for _, r := range sortedRuns(p) {
			p.end(r, wire.Answer{Key: r.key, Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionFailed})
		}
	}
	c.after(refuseTime, func() { p.input(func() { p.agent.SetDown(c.now, down) }) })
}

// sortedRuns lists the runs at an agent in order of their keys.
func sortedRuns(p *process) []*span {
	var list []*span
	for _, r := range p.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *span) int {
		return cmp.Or(cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.key.Entry, b.key.Entry), cmp.Compare(a.key.Index, b.key.Index))
	})
	return list
}

// cancelWave cancels a share of the open jobs.
func (c *Cluster) cancelWave() {
	for _, cl := range c.callers {
		if !cl.done && c.rng.Float64() < cancelShare {
			cl.cancel()
		}
	}
}

// drain stops an agent in order and starts its next incarnation.
func (c *Cluster) drain(p *process) {
	if p == nil || p.drained > 0 {
		return
	}
	p.drained = c.now
	c.ctl.setDraining(p.inc)
	p.input(func() { p.agent.Drain(c.now) })
	c.after(drainPoll, func() { c.leaveWhenIdle(p) })
}

// leaveWhenIdle ends a drained agent once nothing runs there.
func (c *Cluster) leaveWhenIdle(p *process) {
	if p.dead {
		return
	}
	if !p.agent.Idle() {
		c.after(drainPoll, func() { c.leaveWhenIdle(p) })
		return
	}
	c.ctl.expire(p)
	c.kill(p)
	c.restart(p, drainPoll)
}

// Schedule draws the faults of a seeded run: one kind, or a pair of kinds that
// coincide. Seeds walk through all single kinds and all pairs.
func Schedule(d Deployment, seed uint64, length time.Duration) []Fault {
	n := uint64(len(FaultKinds))
	rng := newRand(seed, 5)
	draw := func(k uint64) Fault {
		f := Fault{Kind: FaultKinds[k], Target: rng.IntN(len(d.Speeds) * len(d.Weights))}
		f.At = length/4 + time.Duration(rng.Int64N(int64(length/2)))
		f.For = 500*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Second)))
		return f
	}
	pick := seed % (n + n*n)
	if pick < n {
		return []Fault{draw(pick)}
	}
	pick -= n
	first, second := draw(pick/n), draw(pick%n)
	if rng.IntN(2) == 0 { // the second while the first has its effect
		second.At = first.At + time.Duration(rng.Int64N(int64(first.For)))
	}
	return []Fault{first, second}
}
