package bench

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults that runs inject.
const (
	UpstreamDies  FaultKind = "upstream dies"       // the VM, with its agent
	BackendDown   FaultKind = "backend down"        // the upstream, its agent lives
	UpstreamSlow  FaultKind = "upstream 10x slower" //
	UpstreamFails FaultKind = "upstream fails all"  // answers status 500 at once
	EntryDies     FaultKind = "entry dies"          //
	EntryFreezes  FaultKind = "entry freezes"       // past its lease, then wakes
	EntryCut      FaultKind = "entry partitioned"   // from the control group, past its lease
	AgentCut      FaultKind = "agent partitioned"   // from the control group, past its lease
	LinkDown      FaultKind = "link down"           // between one entry and one agent
	LostMessages  FaultKind = "lost messages"       // 5 % of all
	LateMessages  FaultKind = "late messages"       // 10 % of all, 5 % twice
	CancelWave    FaultKind = "cancellation wave"   // half of the open jobs
	WrongRunTimes FaultKind = "wrong run times"     // declared wrong by up to 10 times
	RollingDrain  FaultKind = "rolling drain"       // all upstreams one after the other
)

// Sizes of faults.
const (
	lossShare    = 0.05
	lateShare    = 0.10
	doubleShare  = 0.05
	cancelShare  = 0.5
	slowFactor   = 10
	runTimeError = 10
	drainStep    = 1500 * time.Millisecond // between the upstreams of a rolling drain
	drainPoll    = 100 * time.Millisecond
)

// target is where a fault happens. A fault uses one of the two, or both.
type target struct{ entry, up int }

// effect makes a fault happen and returns its repair, nil for none.
type effect func(c *Cluster, t target) (repair func())

// onEntry applies an effect on a process to the entry, if one runs.
func onEntry(f func(*Cluster, *process) func()) effect {
	return func(c *Cluster, t target) func() {
		if p := c.entryAt(t.entry); p != nil {
			return f(c, p)
		}
		return nil
	}
}

// onAgent applies an effect on a process to the agent, if one runs.
func onAgent(f func(*Cluster, *process) func()) effect {
	return func(c *Cluster, t target) func() {
		if p := c.agentAt(t.up); p != nil {
			return f(c, p)
		}
		return nil
	}
}

// effects says what each kind of fault does.
var effects = []struct {
	kind  FaultKind
	begin effect
}{
	{UpstreamDies, onAgent((*Cluster).crash)},
	{BackendDown, func(c *Cluster, t target) func() {
		c.setBackend(t.up, true)
		return func() { c.setBackend(t.up, false) }
	}},
	{UpstreamSlow, func(c *Cluster, t target) func() { return set(&c.ups[t.up].slow, slowFactor, 1) }},
	{UpstreamFails, func(c *Cluster, t target) func() { return set(&c.ups[t.up].failing, true, false) }},
	{EntryDies, onEntry((*Cluster).crash)},
	{EntryFreezes, onEntry((*Cluster).freeze)},
	{EntryCut, onEntry((*Cluster).cutOff)},
	{AgentCut, onAgent((*Cluster).cutOff)},
	{LinkDown, (*Cluster).linkDown},
	{LostMessages, func(c *Cluster, _ target) func() { return set(&c.links.loss, lossShare, 0) }},
	{LateMessages, func(c *Cluster, _ target) func() {
		c.links.late, c.links.double = lateShare, doubleShare
		return func() { c.links.late, c.links.double = 0, 0 }
	}},
	{CancelWave, func(c *Cluster, _ target) func() { return c.cancelWave() }},
	{WrongRunTimes, func(*Cluster, target) func() { return nil }}, // part of the load, see loadFor
	{RollingDrain, func(c *Cluster, _ target) func() {
		for i := range c.ups {
			c.after(time.Duration(i)*drainStep, func() { c.drain(c.agentAt(i)) })
		}
		return nil
	}},
}

// FaultKinds lists all kinds in the order of the report.
var FaultKinds = func() (list []FaultKind) {
	for _, e := range effects {
		list = append(list, e.kind)
	}
	return list
}()

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
	t := target{f.Target % len(c.opts.Deployment.Weights), f.Target % len(c.ups)}
	repair := effects[slices.Index(FaultKinds, f.Kind)].begin(c, t)
	if repair != nil && f.For > 0 {
		c.after(f.For, repair)
	}
}

// set gives *field a value and returns what gives it the other.
func set[T any](field *T, during, after T) func() {
	*field = during
	return func() { *field = after }
}

// crash ends a process. The repair starts its next incarnation.
func (c *Cluster) crash(p *process) func() {
	c.kill(p)
	return func() { c.restart(p) }
}

// freeze stops a process until the repair. Its callers leave; on waking it first
// learns how old its last confirmation is, then gets all messages held back.
func (c *Cluster) freeze(p *process) func() {
	if p.frozen {
		return nil
	}
	p.frozen = true
	c.abandon(p)
	return func() {
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
	}
}

// cutOff separates a process from the control group.
func (c *Cluster) cutOff(p *process) func() {
	return set(&p.cut, true, false)
}

// linkDown separates one entry from one agent. Both notice by their pings, and
// the entry connects again after the repair.
func (c *Cluster) linkDown(t target) func() {
	c.links.down[t] = true
	c.after(pingTimeout, func() {
		e, a := c.entryAt(t.entry), c.agentAt(t.up)
		if e != nil && a != nil && c.links.down[t] {
			c.disconnect(e, a)
		}
	})
	return func() { delete(c.links.down, t) }
}

// setBackend stops or starts the upstream beside an agent.
func (c *Cluster) setBackend(up int, down bool) {
	c.ups[up].down = down
	p := c.agentAt(up)
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
	return slices.SortedFunc(maps.Values(p.running), func(a, b *span) int { return compareKeys(a.key, b.key) })
}

func compareKeys(a, b ids.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Index, b.Index))
}

// cancelWave cancels a share of the open jobs. It has no repair.
func (c *Cluster) cancelWave() func() {
	for _, cl := range c.callers {
		if !cl.done && c.rng.Float64() < cancelShare {
			cl.cancel()
		}
	}
	return nil
}

// drain stops an agent in order and starts its next incarnation.
func (c *Cluster) drain(p *process) {
	if p == nil || p.drained > 0 {
		return
	}
	p.drained = c.now
	c.ctl.setDraining(p)
	p.input(func() { p.agent.Drain(c.now) })
	c.after(drainPoll, func() { c.leaveWhenIdle(p) })
}

// leaveWhenIdle ends a drained agent once nothing runs there.
func (c *Cluster) leaveWhenIdle(p *process) {
	switch {
	case p.dead:
	case !p.agent.Idle():
		c.after(drainPoll, func() { c.leaveWhenIdle(p) })
	default:
		c.ctl.expire(p)
		c.kill(p)
		c.after(drainPoll, func() { c.restart(p) })
	}
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
