package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// simulation runs entries and agents in virtual time. It stands in for the control
// group, the links and the upstreams, and checks the guarantees of the dispatcher.
type simulation struct {
	now      time.Duration
	rng      *rand.Rand
	events   eventHeap
	eventSeq uint64
	link     link
	slots    int
	cfg      dispatch.Config

	logIndex ids.Version // last index of the control log
	members  []wire.Member
	entries  []*entryProc
	agents   []*agentProc

	jobs          map[ids.Job]*jobRecord
	runCounts     map[ids.TaskKey]int
	outcomeCounts map[string]int
	violations    []string
	finished      []dispatch.Outcome
	// runTime and status return the run time and the status of a task on the upstream of
	// an agent.
	runTime   func(a *agentProc, s wire.Start) time.Duration
	status    func(a *agentProc, s wire.Start) int
	onOutcome func(e *entryProc, o dispatch.Outcome)

	batchSim       *batchSimulation              // nil in simulations without workers
	waitingBatches map[ids.TaskKey]*pendingBatch // by key of the first task
	extraDelay     time.Duration                 // extra delay of messages sent now
	// carry delivers a message between an entry and an agent in place of link, if set.
	carry func(from, to ids.Incarnation, deliver func())
}

// link is the fault model of the messages between entries and agents.
type link struct {
	delay, jitter   time.Duration // jitter reorders messages
	loss, duplicate float64       // probabilities
}

// jobRecord is the control group's record of a job.
type jobRecord struct {
	spec  dispatch.Job
	owner *entryProc
	open  bool
	ended time.Duration
}

type entryProc struct {
	suspension
	incarnation ids.Incarnation
	core        entryCore
	alive       bool
	nextTick    time.Duration
	requestSeq  uint64
	leaving     departure
}

type agentProc struct {
	suspension
	incarnation ids.Incarnation
	node        int
	core        agentCore
	alive       bool
	draining    bool
	nextTick    time.Duration
	running     map[ids.TaskKey]bool
	startCount  int
	worker      *simulatedWorker // nil if the upstream has slots
	runner      taskRunner       // runs the tasks in place of worker, if set
}

// taskRunner runs the tasks that an agent starts.
type taskRunner interface {
	run(s wire.Start, leaseEnd time.Duration)
	abort(key ids.TaskKey)
	setOwnersLease(end time.Duration)
}

type event struct {
	at  time.Duration
	seq uint64 // orders events at the same time
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	svc    = ids.Service("svc")
	teamA  = ids.Team("a")
	teamB  = ids.Team("b")
	millis = time.Millisecond
)

func testConfig() dispatch.Config {
	return dispatch.Config{
		Services:        map[ids.Service]dispatch.Service{svc: {Slots: 8, Connections: 64, Timeout: 30 * time.Second}},
		Teams:           map[ids.Team]dispatch.Team{teamA: {Quota: 1, MaxQueued: 20000}, teamB: {Quota: 1, MaxQueued: 20000}},
		Tradeoff:        0.5,
		RetryBudget:     0.1,
		QuarantineShare: 0.3,
		MaxDeadline:     time.Hour,
	}
}

func newSimulation(seed uint64, entries, agents, slots int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), link: link{delay: millis}, slots: slots, cfg: testConfig(),
		waitingBatches: map[ids.TaskKey]*pendingBatch{},
		jobs:           map[ids.Job]*jobRecord{}, runCounts: map[ids.TaskKey]int{}, outcomeCounts: map[string]int{},
		runTime: func(*agentProc, wire.Start) time.Duration { return 100 * millis },
		status:  func(*agentProc, wire.Start) int { return 200 },
	}
	sim.cfg.Services[svc] = dispatch.Service{Slots: slots, Connections: 64, Timeout: 30 * time.Second}
	for range entries {
		sim.addEntry()
	}
	for n := range agents {
		sim.addAgent(n)
	}
	sim.propagateMembers(0)
	return sim
}

func (sim *simulation) at(t time.Duration, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{max(t, sim.now), sim.eventSeq, do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now+d, do) }

// runUntil runs the events that are due up to the given time.
func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) registerMember(m wire.Member) ids.Incarnation {
	sim.logIndex++
	m.Incarnation = ids.Incarnation(sim.logIndex)
	sim.members = append(sim.members, m)
	return m.Incarnation
}

func (sim *simulation) addEntry() *entryProc {
	e := &entryProc{alive: true}
	e.incarnation = sim.registerMember(wire.Member{Registration: wire.Registration{Kind: wire.KindEntry}})
	cfg := sim.cfg
	cfg.Self = e.incarnation
	e.core.Core = dispatch.New(cfg, uint64(e.incarnation))
	e.core.SetCurrent(true)
	sim.entries = append(sim.entries, e)
	return e
}

func (sim *simulation) addAgent(node int) *agentProc {
	a := &agentProc{alive: true, node: node, running: map[ids.TaskKey]bool{}}
	a.incarnation = sim.registerMember(wire.Member{Registration: wire.Registration{
		Kind: wire.KindAgent, Service: svc, Slots: sim.slots, Connections: 64, Node: ids.Node(fmt.Sprint("n", node)),
	}})
	a.core.Core = executor.New(executor.Config{Self: a.incarnation, Slots: sim.slots, Connections: 64, LookAhead: 1, AnswerBytes: 8 << 20})
	a.core.SetCurrent(true)
	sim.agents = append(sim.agents, a)
	return a
}

// propagateMembers delivers the current members to each process, each after a random delay.
func (sim *simulation) propagateMembers(maxDelay time.Duration) {
	at, rows := sim.logIndex, append([]wire.Member(nil), sim.members...)
	delay := func() time.Duration { return time.Duration(sim.rng.Int64N(int64(maxDelay) + 1)) }
	for _, a := range sim.agents {
		sim.after(delay(), func() {
			a.core.SetEntries(sim.now, at, rows)
			sim.tickAgent(a)
		})
	}
	for _, e := range sim.entries {
		sim.after(delay(), func() {
			if !e.alive {
				return
			}
			e.core.SetUpstreams(sim.now, rows)
			sim.tickEntry(e)
			for _, a := range sim.agents {
				sim.connect(e, a)
			}
		})
	}
}

// connect opens the connection between an entry and an agent.
func (sim *simulation) connect(e *entryProc, a *agentProc) {
	if !e.alive || !a.alive {
		return
	}
	a.core.Connected(sim.now, e.incarnation)
	sim.tickAgent(a)
	e.core.Connected(sim.now, a.incarnation)
	sim.tickEntry(e)
}

func (sim *simulation) disconnect(e *entryProc, a *agentProc) {
	a.core.Disconnected(sim.now, e.incarnation)
	e.core.Disconnected(sim.now, a.incarnation)
	sim.tickAgent(a)
	sim.tickEntry(e)
}

// expireMember records the expiry of an incarnation in the control log.
func (sim *simulation) expireMember(inc ids.Incarnation) {
	sim.logIndex++
	for i := range sim.members {
		if sim.members[i].Incarnation == inc {
			sim.members[i].Expired = sim.logIndex
		}
	}
}

// send delivers a message over the link, subject to its faults.
func (sim *simulation) send(from, to ids.Incarnation, deliver func()) {
	if sim.carry != nil {
		sim.carry(from, to, deliver)
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.link.duplicate {
		copies = 2
	}
	for range copies {
		if sim.rng.Float64() < sim.link.loss {
			continue
		}
		d := sim.link.delay
		d += sim.extraDelay
		if sim.link.jitter > 0 {
			d += time.Duration(sim.rng.Int64N(int64(sim.link.jitter)))
		}
		sim.after(d, deliver)
	}
}

func (sim *simulation) tickEntry(e *entryProc) {
	if !e.alive || e.frozen {
		return
	}
	out := e.core.Tick(sim.now)
	for _, m := range out.Send {
		if a := sim.findAgent(m.To); a != nil {
			sim.send(e.incarnation, a.incarnation, func() {
				if a.alive {
					a.core.Receive(sim.now, m.Exchange)
					sim.tickAgent(a)
				}
			})
		}
	}
	for _, o := range out.Claims {
		sim.sendClaim(e, o)
	}
	for _, o := range out.Finished {
		sim.recordOutcome(e, o)
	}
	if out.NextTick > 0 && (e.nextTick <= sim.now || out.NextTick < e.nextTick) {
		e.nextTick = out.NextTick
		sim.at(e.nextTick, func() { sim.tickEntry(e) })
	}
}

func (sim *simulation) sendClaim(e *entryProc, o dispatch.ClaimRequest) {
	a := sim.findAgent(o.To)
	sim.send(e.incarnation, o.To, func() {
		if a == nil || !a.alive {
			return
		}
		reply := a.core.Claim(sim.now, o.Claim)
		sim.tickAgent(a)
		sim.send(o.To, e.incarnation, func() {
			if e.alive {
				e.core.Claimed(sim.now, o.Claim.Job, reply)
				sim.tickEntry(e)
			}
		})
	})
}

func (sim *simulation) findAgent(incarnation ids.Incarnation) *agentProc {
	for _, a := range sim.agents {
		if a.incarnation == incarnation {
			return a
		}
	}
	return nil
}

func (sim *simulation) findEntry(incarnation ids.Incarnation) *entryProc {
	for _, e := range sim.entries {
		if e.incarnation == incarnation {
			return e
		}
	}
	return nil
}

func (sim *simulation) tickAgent(a *agentProc) {
	if !a.alive || a.frozen {
		return
	}
	out := a.core.Tick(sim.now)
	if a.runner != nil {
		a.runner.setOwnersLease(out.OwnersLease)
	}
	for _, s := range out.Run {
		sim.startTask(a, s.Start, s.LeaseEnd)
	}
	for _, key := range out.Abort {
		if a.runner != nil {
			a.runner.abort(key)
			continue
		}
		if a.worker != nil {
			sim.abortOnWorker(a, key)
			continue
		}
		sim.after(millis, func() {
			sim.endTask(a, wire.Answer{Key: key, Verdict: verdict.MayHaveRun, Reason: verdict.Canceled})
		})
	}
	for _, m := range out.Send {
		if e := sim.findEntry(m.To); e != nil {
			sim.send(a.incarnation, e.incarnation, func() {
				if e.alive {
					e.core.Report(sim.now, m.Report)
					sim.tickEntry(e)
				}
			})
		}
	}
	if out.NextTick > 0 && (a.nextTick <= sim.now || out.NextTick < a.nextTick) {
		a.nextTick = out.NextTick
		sim.at(a.nextTick, func() { sim.tickAgent(a) })
	}
}

// startTask runs a task on the upstream of an agent. It checks that a slot is free and
// that the task has not run before, unless it is an idempotent request.
func (sim *simulation) startTask(a *agentProc, s wire.Start, leaseEnd time.Duration) {
	if a.runner != nil {
		a.runner.run(s, leaseEnd)
		return
	}
	if !s.Size.IsZero() {
		sim.startOnWorker(a, s)
		return
	}
	sim.runCounts[s.Key]++
	if sim.runCounts[s.Key] > 1 && !(s.Key.IsRequest() && s.Path == idempotentPath) {
		sim.reportViolation("task %v started %d times", s.Key, sim.runCounts[s.Key])
	}
	a.startCount++
	a.running[s.Key] = true
	if len(a.running) > sim.slots {
		sim.reportViolation("agent %d runs %d tasks on %d slots", a.incarnation, len(a.running), sim.slots)
	}
	d, status := sim.runTime(a, s), sim.status(a, s)
	sim.after(d, func() {
		sim.endTask(a, wire.Answer{Key: s.Key, Verdict: verdict.Ran, Status: status, Body: []byte(s.Key.String())})
	})
}

const idempotentPath = "/idempotent"

func (sim *simulation) endTask(a *agentProc, ans wire.Answer) {
	if !a.alive || !a.running[ans.Key] {
		return
	}
	delete(a.running, ans.Key)
	a.core.Finished(sim.now, ans)
	sim.tickAgent(a)
}

// submitJob submits a job at an entry and returns its id, or zero if it is refused.
func (sim *simulation) submitJob(e *entryProc, team ids.Team, tasks int, deadline time.Duration) ids.Job {
	spec := dispatch.JobSpec{Team: team, Service: svc, Tasks: tasks, Deadline: sim.now + deadline}
	if err := e.core.Admit(sim.now, spec); err != nil {
		return 0
	}
	sim.logIndex++
	job := dispatch.Job{JobSpec: spec, ID: ids.Job(sim.logIndex), Epoch: 1, Specs: emptySpecs(tasks)}
	sim.jobs[job.ID] = &jobRecord{spec: job, owner: e, open: true}
	e.core.Submit(sim.now, job)
	sim.tickEntry(e)
	return job.ID
}

func emptySpecs(n int) []wire.TaskSpec { return make([]wire.TaskSpec, n) }

// sendRequest sends a single request and returns its key and the refusal, if any.
func (sim *simulation) sendRequest(e *entryProc, team ids.Team, idempotent bool, deadline time.Duration) (ids.TaskKey, *verdict.Error) {
	e.requestSeq++
	r := dispatch.Request{Key: ids.RequestOf(e.incarnation, e.requestSeq), Team: team, Service: svc, Idempotent: idempotent, Deadline: sim.now + deadline}
	if idempotent {
		r.Spec.Path = idempotentPath
	}
	err := e.core.Request(sim.now, r)
	sim.tickEntry(e)
	return r.Key, err
}

// recordOutcome records an outcome that an entry returns to a caller, and checks that it
// is returned once and holds the right results.
func (sim *simulation) recordOutcome(e *entryProc, o dispatch.Outcome) {
	if p := sim.waitingBatches[o.Request]; p != nil && o.Job == 0 {
		delete(sim.waitingBatches, o.Request)
		p.answer(o.Err)
		return
	}
	sim.finished = append(sim.finished, o)
	id := fmt.Sprint(e.incarnation, o.Job, o.Request)
	sim.outcomeCounts[id]++
	if sim.outcomeCounts[id] > 1 {
		sim.reportViolation("outcome %s returned %d times", id, sim.outcomeCounts[id])
	}
	sim.checkResults(o)
	if r := sim.jobs[o.Job]; r != nil && r.owner == e && r.spec.Epoch == o.Epoch {
		r.open = false
		r.ended = sim.now
	}
	if sim.onOutcome != nil {
		sim.onOutcome(e, o)
	}
}

// checkResults checks that a complete outcome holds the result of each task at the index
// of the task.
func (sim *simulation) checkResults(o dispatch.Outcome) {
	if o.State != wire.JobComplete {
		return
	}
	want := 1
	if r := sim.jobs[o.Job]; r != nil {
		want = r.spec.Tasks
	}
	if len(o.Results) != want {
		sim.reportViolation("job %d returned %d of %d results", o.Job, len(o.Results), want)
	}
	for i, r := range o.Results {
		key := o.Request
		if o.Job != 0 {
			key = ids.TaskOf(o.Job, i)
		}
		if string(r.Body) != key.String() {
			sim.reportViolation("result %d of job %d is that of task %s", i, o.Job, r.Body)
		}
	}
}

// checkNotRunOutcomes checks that no task ran whose job or request ended as not-run.
func (sim *simulation) checkNotRunOutcomes() {
	for _, o := range sim.finished {
		if o.Err == nil || o.Err.Verdict != verdict.NotRun {
			continue
		}
		for key, n := range sim.runCounts {
			if n > 0 && (o.Job != 0 && key.Job == o.Job || o.Job == 0 && key == o.Request) {
				sim.reportViolation("job %d, request %v ended with %v, but task %v ran", o.Job, o.Request, o.Err, key)
			}
		}
	}
}
