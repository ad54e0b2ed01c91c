package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Settings of the processes in a run.
const (
	connections = 64
	answerBytes = 8 << 20
	// pingTimeout is when an entry or agent notices that its peer is gone.
	pingTimeout = time.Second
	// settle is how long a run with faults goes on after the last outcome and
	// the last deadline, so that leases run out, late messages arrive and every
	// outcome is due.
	settle = 8 * time.Second
	// maxRun bounds a run after the last arrival.
	maxRun = 200 * time.Second
)

// Options describe one run of the real cores.
type Options struct {
	Deployment Deployment
	Load       Load
	Seed       uint64
	Faults     []Fault
	Quotas     []int         // of the teams, equal if nil
	CountFrom  time.Duration // messages, starts and runs before are not counted
	Trace      io.Writer     // receives one line for each step, nil for none
	// wrapAgent and wrapEntry replace a core by a broken one in negative tests.
	wrapAgent func(agentCore) agentCore
	wrapEntry func(entryCore) entryCore
}

// Result is what a run measured.
type Result struct {
	Counts
	Records        []Record
	WastedBy       map[string]int // wasted messages by content
	AgentRefusals  map[verdict.Reason]int
	CallerRefusals map[verdict.Reason]int
	Violations     []Violation
	spans          []*span
}

// Cluster is one run: entries and agents with the real cores, connected by fakes.
type Cluster struct {
	queue
	opts     Options
	rng      *rand.Rand
	ctl      *control
	check    *checker
	acct     *accounts
	ups      []*upstream
	byInc    map[ids.Incarnation]*process
	lives    []*process // all processes in order of their start
	callers  []*caller
	open     int // callers without an outcome
	refusals map[verdict.Reason]int
	spans    []*span
	links    linkFaults
	lastAt   map[[2]ids.Incarnation]time.Duration // last arrival on each connection
}

// linkFaults is the state of all links between entries and agents.
type linkFaults struct {
	loss, late, double float64         // probabilities for each message
	down               map[target]bool // pairs of entry and upstream without contact
}

// maxLate is the longest extra delay of a late message.
const maxLate = 400 * time.Millisecond

// Run drives the real cores through one workload.
func Run(o Options) *Result {
	c := &Cluster{opts: o, rng: newRand(o.Seed, 3), acct: newAccounts(),
		byInc: map[ids.Incarnation]*process{}, refusals: map[verdict.Reason]int{}, lastAt: map[[2]ids.Incarnation]time.Duration{}}
	c.links.down = map[target]bool{}
	c.check = newChecker(func() time.Duration { return c.now })
	c.ctl = newControl(c, o.Seed)
	for i, speed := range o.Deployment.Speeds {
		c.ups = append(c.ups, &upstream{index: i, speed: speed, slow: 1, slots: o.Deployment.Slots})
		c.start(wire.KindAgent, i)
	}
	for i := range o.Deployment.Weights {
		c.start(wire.KindEntry, i)
	}
	for _, f := range o.Faults {
		c.at(f.At, func() { c.apply(f) })
	}
	if o.CountFrom > 0 {
		c.at(o.CountFrom, c.acct.reset)
	}
	c.startCallers()
	c.runToEnd()
	return c.result()
}

// startCallers draws the workload. Arrivals begin when the system is connected.
func (c *Cluster) startCallers() {
	subs := Generate(c.opts.Deployment, c.opts.Load, c.opts.Seed)
	c.open = len(subs)
	for _, s := range subs {
		cl := &caller{c: c, sub: s, prefer: s.Entry, record: Record{Sub: s}}
		c.callers = append(c.callers, cl)
		c.at(s.At, cl.submit)
	}
}

// runToEnd runs until every caller has an outcome and late effects have shown.
func (c *Cluster) runToEnd() {
	defer func() {
		if r := recover(); r != nil {
			c.check.broken(CorePanicked, "%v\n%s", r, debug.Stack())
		}
	}()
	length := c.opts.Load.Length
	never := func() bool { return false }
	c.runUntil(length+maxRun, func() bool { return c.open == 0 && c.now >= length })
	end := c.now + time.Second
	if len(c.opts.Faults) > 0 {
		end = c.now + settle
		for _, cl := range c.callers {
			end = max(end, cl.sub.Deadline+settle)
		}
	}
	c.runUntil(end, never)
	c.check.finish(c.callers)
}

// result collects the measurements.
func (c *Cluster) result() *Result {
	r := &Result{AgentRefusals: c.acct.refusals, CallerRefusals: c.refusals, Violations: c.check.violations, spans: c.spans}
	r.Counts, r.WastedBy = c.acct.totals()
	for _, cl := range c.callers {
		r.Records = append(r.Records, cl.record)
	}
	return r
}

func (c *Cluster) tracef(format string, args ...any) {
	if c.opts.Trace != nil {
		fmt.Fprintf(c.opts.Trace, "%12v %s\n", c.now, fmt.Sprintf(format, args...))
	}
}

// start starts a new incarnation of an entry, or of the agent beside an upstream.
func (c *Cluster) start(kind wire.Kind, index int) {
	p := &process{c: c, kind: kind, index: index, confirmed: c.now, conns: map[ids.Incarnation]bool{},
		requests: map[ids.TaskKey]*caller{}, sent: map[sentStart]bool{}, running: map[ids.TaskKey]*span{}}
	c.ctl.register(p)
	c.lives = append(c.lives, p)
	c.byInc[p.inc] = p
	if kind == wire.KindEntry {
		p.entry = dispatch.New(c.config(p.inc), c.opts.Seed+uint64(p.inc))
		if c.opts.wrapEntry != nil {
			p.entry = c.opts.wrapEntry(p.entry)
		}
		p.core = p.entry
	} else {
		agent := executor.New(executor.Config{Self: p.inc, Slots: c.opts.Deployment.Slots,
			Connections: connections, LookAhead: dispatch.DefaultLookAhead, AnswerBytes: answerBytes})
		agent.SetTradeoff(c.opts.Deployment.Tradeoff)
		p.agent = agent
		if c.opts.wrapAgent != nil {
			p.agent = c.opts.wrapAgent(p.agent)
		}
		p.core = p.agent
	}
	p.heartbeat()
	if kind == wire.KindEntry {
		c.ctl.reassign()
	}
}

// config is the configuration in force.
func (c *Cluster) config(self ids.Incarnation) dispatch.Config {
	d := c.opts.Deployment
	s := settings.DefaultCluster()
	s.Dispatch.Tradeoff = d.Tradeoff
	service := settings.DefaultService()
	service.Slots, service.Connections = d.Slots, connections
	s.Services[ids.Service(d.Service)] = service
	for i := range teams {
		t := settings.DefaultTeam()
		if c.opts.Quotas != nil {
			t.Quota = c.opts.Quotas[i]
		}
		s.Teams[team(i)] = t
	}
	cfg := dispatch.FromCluster(s)
	cfg.Self = self
	return cfg
}

// team is the name of a team.
func team(i int) ids.Team { return ids.Team(fmt.Sprintf("team-%d", i)) }

// spec is what admission decides on for a submission.
func (c *Cluster) spec(s *Submission) dispatch.JobSpec {
	return dispatch.JobSpec{Team: team(s.Team), Service: ids.Service(c.opts.Deployment.Service),
		Tasks: len(s.Work), RunTime: s.Declared, Deadline: s.Deadline}
}

// reachable returns the entry that a load balancer picks for a caller.
func (c *Cluster) reachable(prefer int) *process {
	n := len(c.opts.Deployment.Weights)
	for i := range n {
		if p := c.entryAt((prefer + i) % n); p != nil && !p.frozen {
			return p
		}
	}
	return nil
}

// entryAt returns the running entry of the given index, or nil.
func (c *Cluster) entryAt(index int) *process { return c.current(wire.KindEntry, index) }

// agentAt returns the running agent beside an upstream, or nil.
func (c *Cluster) agentAt(index int) *process { return c.current(wire.KindAgent, index) }

// current returns the running process of the given kind and index, or nil.
func (c *Cluster) current(kind wire.Kind, index int) *process {
	for _, p := range slices.Backward(c.lives) {
		if p.kind == kind && p.index == index && !p.dead {
			return p
		}
	}
	return nil
}

// send delivers a message between an entry and an agent in order, unless a
// fault drops, delays or repeats it.
func (c *Cluster) send(from, to *process, deliver func()) {
	pair := target{from.index, to.index}
	if from.kind == wire.KindAgent {
		pair = target{to.index, from.index}
	}
	if c.links.down[pair] || c.rng.Float64() < c.links.loss {
		return
	}
	latency := c.opts.Deployment.link(pair.entry, pair.up)
	arrive := func() { to.input(deliver) }
	if c.rng.Float64() < c.links.late {
		c.after(latency+time.Duration(c.rng.Int64N(int64(maxLate))), arrive)
		return
	}
	conn := [2]ids.Incarnation{from.inc, to.inc}
	at := max(c.now+latency, c.lastAt[conn])
	c.lastAt[conn] = at
	c.at(at, arrive)
	if c.rng.Float64() < c.links.double {
		c.acct.message("copies")
		c.at(at+time.Duration(c.rng.Int64N(int64(maxLate))), arrive)
	}
}

// claim carries a claim and its reply.
func (c *Cluster) claim(p *process, order dispatch.ClaimRequest) {
	to := c.byInc[order.To]
	if to == nil || to.dead || c.links.down[target{p.index, to.index}] {
		return
	}
	c.acct.counts.Messages += 2
	latency := c.opts.Deployment.link(p.index, to.index)
	c.after(latency, func() {
		to.input(func() {
			reply := to.agent.Claim(c.now, order.Claim)
			c.tracef("agent %d answers claim of job %d epoch %d: %d rows, %v", to.inc, order.Claim.Job, order.Claim.Epoch, len(reply.Rows), reply.Err)
			c.after(latency, func() {
				p.input(func() { p.entry.Claimed(c.now, order.Claim.Job, reply) })
			})
		})
	})
}

// connect opens the missing connections of an entry to the agents it knows.
func (c *Cluster) connect(p *process) {
	for _, to := range c.lives {
		if to.kind != wire.KindAgent || to.dead || p.conns[to.inc] || c.links.down[target{p.index, to.index}] {
			continue
		}
		p.conns[to.inc], to.conns[p.inc] = true, true
		c.after(2*c.opts.Deployment.link(p.index, to.index), func() {
			if to.dead {
				delete(p.conns, to.inc)
				delete(to.conns, p.inc)
				return
			}
			to.input(func() { to.core.Connected(c.now, p.inc) })
			p.input(func() { p.core.Connected(c.now, to.inc) })
		})
	}
}

// disconnect ends the connection of two processes, if there is one, at both ends.
func (c *Cluster) disconnect(a, b *process) {
	if !a.conns[b.inc] {
		return
	}
	delete(a.conns, b.inc)
	delete(b.conns, a.inc)
	for _, end := range [...][2]*process{{a, b}, {b, a}} {
		end[0].input(func() { end[0].core.Disconnected(c.now, end[1].inc) })
	}
}

// kill ends a process at once. Runs on the upstream of an agent end with it.
func (c *Cluster) kill(p *process) {
	if p.dead {
		return
	}
	c.tracef("%s %d dies", p.kind, p.inc)
	p.dead = true
	p.held = nil
	c.abandon(p)
	for _, r := range sortedRuns(p) {
		p.end(r, wire.Answer{})
	}
	c.after(pingTimeout, func() {
		for _, o := range c.lives {
			c.disconnect(p, o)
		}
	})
}

// restart starts the next incarnation of a process that has ended.
func (c *Cluster) restart(p *process) {
	if c.current(p.kind, p.index) == nil {
		c.start(p.kind, p.index)
	}
}

// abandon makes the callers of an entry leave it.
func (c *Cluster) abandon(p *process) {
	for _, cl := range c.callers {
		if cl.at == p && !cl.done {
			cl.lost()
		}
	}
}
