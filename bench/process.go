package bench

import (
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// peerCore is what the cores of entries and agents have in common.
type peerCore interface {
	SetCurrent(current bool)
	Connected(now time.Duration, peer ids.Incarnation)
	Disconnected(now time.Duration, peer ids.Incarnation)
}

// entryCore is the part of dispatch.Core that the harness drives.
type entryCore interface {
	peerCore
	Admit(now time.Duration, s dispatch.JobSpec) *verdict.Error
	Submit(now time.Duration, j dispatch.Job)
	Bodies(now time.Duration, job ids.Job, specs []wire.TaskSpec) *verdict.Error
	Request(now time.Duration, r dispatch.Request) *verdict.Error
	Cancel(now time.Duration, job ids.Job)
	CancelRequest(now time.Duration, key ids.TaskKey)
	SetUpstreams(now time.Duration, rows []wire.Member)
	Report(now time.Duration, r wire.Report)
	Claimed(now time.Duration, job ids.Job, r wire.ClaimReply)
	Tick(now time.Duration) dispatch.Output
}

// agentCore is the part of executor.Core that the harness drives.
type agentCore interface {
	peerCore
	Receive(now time.Duration, m wire.Exchange)
	Claim(now time.Duration, m wire.Claim) wire.ClaimReply
	Finished(now time.Duration, a wire.Answer)
	SetEntries(now time.Duration, at ids.Version, rows []wire.Member)
	SetDown(now time.Duration, down bool)
	Drain(now time.Duration)
	Idle() bool
	Tick(now time.Duration) executor.Output
}

// tickMin is the least time between two ticks of a process.
const tickMin = 500 * time.Microsecond

// process is one lifetime of an entry or agent.
type process struct {
	c     *Cluster
	kind  wire.Kind
	index int // of the entry or upstream, the same after a restart
	inc   ids.Incarnation
	row   wire.Member // in the registry
	core  peerCore    // entry or agent
	entry entryCore   // nil for an agent
	agent agentCore   // nil for an entry

	dead, frozen bool
	cut          bool // no contact with the control group
	held         []func()
	lastTick     time.Duration
	tickAt       time.Duration // of the next scheduled tick, zero for none
	view         ids.Version
	renewed      time.Duration // last renewal that the control group saw
	confirmed    time.Duration // when the last confirmed renewal was sent
	assigned     []*jobRecord  // takeovers for the next renewal

	conns    map[ids.Incarnation]bool // peers that it is connected to
	seq      uint64                   // of single requests
	requests map[ids.TaskKey]*caller
	sent     map[sentStart]bool
	running  map[ids.TaskKey]*span // at an agent
	drained  time.Duration         // when an agent began to leave, zero if it stays
}

// sentStart names one placement of a task, to tell new work from a repeated start.
type sentStart struct {
	startID
	try uint32
}

// input hands something to a process, which ticks soon after. A frozen process
// gets it when it wakes.
func (p *process) input(f func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.held = append(p.held, func() { p.input(f) })
	default:
		f()
		p.tickBy(p.c.now)
	}
}

// tickBy schedules a tick at t, or as soon after it as the tick rate allows.
func (p *process) tickBy(t time.Duration) {
	if p.lastTick > 0 {
		t = max(t, p.lastTick+tickMin)
	}
	if p.tickAt != 0 && p.tickAt <= t {
		return
	}
	p.tickAt = t
	p.c.at(t, func() { p.fire(t) })
}

// fire runs the tick scheduled for t, unless an earlier one replaced it.
func (p *process) fire(t time.Duration) {
	if p.dead || p.tickAt != t {
		return
	}
	if p.frozen {
		p.tickAt = 0
		p.held = append(p.held, func() { p.tickBy(p.c.now) })
		return
	}
	p.tickAt = 0
	p.lastTick = p.c.now
	next := time.Duration(0)
	if p.entry != nil {
		next = p.tickEntry()
	} else {
		next = p.tickAgent()
	}
	if next > 0 {
		p.tickBy(next)
	}
}

// tickEntry carries out what the core of an entry decided.
func (p *process) tickEntry() time.Duration {
	c := p.c
	out := p.entry.Tick(c.now)
	for _, env := range out.Send {
		if to := c.byInc[env.To]; to != nil {
			p.countStarts(to, env.Exchange)
			m := c.acct.message(exchangeContent(env.Exchange))
			c.send(p, to, func() {
				c.acct.exchangeArrived(to.inc, env.Exchange, m)
				to.agent.Receive(c.now, env.Exchange)
			})
		}
	}
	for _, order := range out.Claims {
		c.claim(p, order)
	}
	for _, o := range out.Finished {
		c.finished(p, o)
	}
	return out.NextTick
}

// countStarts counts start items and checks that a leaving upstream gets no new
// ones. An entry without contact to the control group can't have been told.
func (p *process) countStarts(to *process, x wire.Exchange) {
	c := p.c
	for _, st := range x.Starts {
		if st.Key.IsRequest() {
			c.acct.counts.SingleStarts++
		}
		id := sentStart{startID{to.inc, st.Key}, st.Try}
		late := to.drained > 0 && c.now > to.drained+drainGrace
		if late && !p.sent[id] && !p.cut {
			c.check.broken(WorkAfterDrain, "entry %d sends %v to upstream %d", p.inc, st.Key, to.index)
		}
		p.sent[id] = true
		c.tracef("entry %d sends %v try %d epoch %d to agent %d", p.inc, st.Key, st.Try, st.Epoch, to.inc)
	}
}

// tickAgent carries out what the core of an agent decided.
func (p *process) tickAgent() time.Duration {
	c := p.c
	out := p.agent.Tick(c.now)
	for _, st := range out.Run {
		p.run(st.Start)
	}
	for _, key := range out.Abort {
		if r := p.running[key]; r != nil {
			p.end(r, wire.Answer{Key: key, Verdict: verdict.MayHaveRun, Reason: verdict.Canceled})
		}
	}
	for _, env := range out.Send {
		to := c.byInc[env.To]
		if to == nil {
			continue
		}
		m := c.acct.message(reportContent(env.Report))
		c.send(p, to, func() {
			c.acct.reportArrived(env.Report, m)
			to.entry.Report(c.now, env.Report)
		})
	}
	return out.NextTick
}

// upstream is the fake backend beside an agent. It outlives the agent.
type upstream struct {
	index   int
	speed   float64
	slow    float64 // run times are this many times longer
	slots   int
	running int
	failing bool // answers status 500 at once
	down    bool // refuses connections
}

// Timing of answers that an upstream gives without running the task to its end.
const (
	failTime   = 5 * time.Millisecond
	refuseTime = time.Millisecond
)

// span is one run of a task on an upstream.
type span struct {
	sub        *Submission
	key        ids.TaskKey
	up         *upstream
	start, end time.Duration // end is zero while it runs
	work       time.Duration // at speed 1
	speed      float64       // of the upstream when the run began
}

// run starts a task on the upstream beside the agent.
func (p *process) run(st wire.Start) {
	c, u := p.c, p.c.ups[p.index]
	if u.down {
		c.after(refuseTime, func() {
			p.input(func() {
				p.agent.Finished(c.now, wire.Answer{Key: st.Key, Verdict: verdict.NotRun, Reason: verdict.ConnectionFailed})
			})
		})
		return
	}
	t, ok := decodeTask(st.Body)
	if !ok || int(t.Sub) >= len(c.callers) {
		c.check.broken(WrongAnswer, "start %v has a body of another form", st.Key)
		return
	}
	s := c.callers[t.Sub].sub
	u.running++
	c.check.ran(u, st, t, s)
	c.acct.ran(p.inc, st.Key)
	r := &span{sub: s, key: st.Key, up: u, start: c.now, work: s.Work[t.Index], speed: u.speed / u.slow}
	p.running[st.Key] = r
	c.spans = append(c.spans, r)
	c.tracef("agent %d runs %v try %d (submission %d task %d)", p.inc, st.Key, st.Try, t.Sub, t.Index)
	a := wire.Answer{Key: st.Key, Verdict: verdict.Ran, Status: 200, Body: st.Body}
	d := time.Duration(float64(r.work) / u.speed * u.slow)
	if u.failing {
		a.Status, a.Body, a.Reason, d = 500, nil, verdict.UpstreamFailed, failTime
	}
	c.after(d, func() { p.end(r, a) })
}

// end frees the slot of a run and hands the answer to the agent. A run ends once.
func (p *process) end(r *span, a wire.Answer) {
	if r.end != 0 {
		return
	}
	r.end = p.c.now
	r.up.running--
	delete(p.running, r.key)
	p.c.tracef("agent %d ends %v %v %d", p.inc, r.key, a.Verdict, a.Status)
	p.input(func() { p.agent.Finished(p.c.now, a) })
}
