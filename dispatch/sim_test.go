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

// world runs entries against agents in virtual time. It plays the control
// group, the links and the upstreams, and checks what the product promises.
type world struct {
	now    time.Duration
	rng    *rand.Rand
	events eventHeap
	seq    uint64
	link   link
	slots  int
	cfg    dispatch.Config

	index   ids.Version // of the control log
	members []wire.Member
	entries []*entryProc
	agents  []*agentProc

	jobs     map[ids.Job]*jobRecord
	runs     map[ids.TaskKey]int
	outcomes map[string]int
	broken   []string
	finished []dispatch.Outcome
	// runTime and status decide what the upstream of an agent does with a task.
	runTime func(a *agentProc, s wire.Start) time.Duration
	status  func(a *agentProc, s wire.Start) int
	onEnd   func(e *entryProc, o dispatch.Outcome)

	batches *batchWorld                   // nil without workers
	waiting map[ids.TaskKey]*pendingBatch // by key of the first task
	held    time.Duration                 // extra delay of messages sent now
}

// link is the fault model of the messages between entries and agents.
type link struct {
	delay, jitter   time.Duration // jitter reorders messages
	loss, duplicate float64
}

// jobRecord is what the control group knows of a job.
type jobRecord struct {
	spec  dispatch.Job
	owner *entryProc
	open  bool
	ended time.Duration
}

type entryProc struct {
	inc   ids.Incarnation
	core  *dispatch.Core
	alive bool
	tick  time.Duration
	seq   uint64
}

type agentProc struct {
	inc     ids.Incarnation
	node    int
	core    *executor.Core
	alive   bool
	tick    time.Duration
	running map[ids.TaskKey]bool
	ran     int
	sized   *sizedWorker // nil for an upstream with slots
}

type event struct {
	at  time.Duration
	seq uint64
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

func newWorld(seed uint64, entries, agents, slots int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), link: link{delay: millis}, slots: slots, cfg: testConfig(),
		waiting: map[ids.TaskKey]*pendingBatch{},
		jobs:    map[ids.Job]*jobRecord{}, runs: map[ids.TaskKey]int{}, outcomes: map[string]int{},
		runTime: func(*agentProc, wire.Start) time.Duration { return 100 * millis },
		status:  func(*agentProc, wire.Start) int { return 200 },
	}
	w.cfg.Services[svc] = dispatch.Service{Slots: slots, Connections: 64, Timeout: 30 * time.Second}
	for range entries {
		w.addEntry()
	}
	for n := range agents {
		w.addAgent(n)
	}
	w.spreadView(0)
	return w
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// run handles events until the given time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) violate(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) register(m wire.Member) ids.Incarnation {
	w.index++
	m.Incarnation = ids.Incarnation(w.index)
	w.members = append(w.members, m)
	return m.Incarnation
}

func (w *world) addEntry() *entryProc {
	e := &entryProc{alive: true}
	e.inc = w.register(wire.Member{Registration: wire.Registration{Kind: wire.KindEntry}})
	cfg := w.cfg
	cfg.Self = e.inc
	e.core = dispatch.New(cfg, uint64(e.inc))
	e.core.SetCurrent(true)
	w.entries = append(w.entries, e)
	return e
}

func (w *world) addAgent(node int) *agentProc {
	a := &agentProc{alive: true, node: node, running: map[ids.TaskKey]bool{}}
	a.inc = w.register(wire.Member{Registration: wire.Registration{
		Kind: wire.KindAgent, Service: svc, Slots: w.slots, Connections: 64, Node: ids.Node(fmt.Sprint("n", node)),
	}})
	a.core = executor.New(executor.Config{Self: a.inc, Slots: w.slots, Connections: 64, LookAhead: 1, AnswerBytes: 8 << 20})
	a.core.SetCurrent(true)
	w.agents = append(w.agents, a)
	return a
}

// spreadView brings the registry to each process after its own random delay.
func (w *world) spreadView(maxDelay time.Duration) {
	at, rows := w.index, append([]wire.Member(nil), w.members...)
	delay := func() time.Duration { return time.Duration(w.rng.Int64N(int64(maxDelay) + 1)) }
	for _, a := range w.agents {
		w.after(delay(), func() {
			a.core.SetEntries(w.now, at, rows)
			w.tickAgent(a)
		})
	}
	for _, e := range w.entries {
		w.after(delay(), func() {
			if !e.alive {
				return
			}
			e.core.SetUpstreams(w.now, rows)
			w.tickEntry(e)
			for _, a := range w.agents {
				w.connect(e, a)
			}
		})
	}
}

// connect opens the connection between an entry and an agent.
func (w *world) connect(e *entryProc, a *agentProc) {
	if !e.alive || !a.alive {
		return
	}
	a.core.Connected(w.now, e.inc)
	w.tickAgent(a)
	e.core.Connected(w.now, a.inc)
	w.tickEntry(e)
}

func (w *world) disconnect(e *entryProc, a *agentProc) {
	a.core.Disconnected(w.now, e.inc)
	e.core.Disconnected(w.now, a.inc)
	w.tickAgent(a)
	w.tickEntry(e)
}

// expire writes the expire record of an incarnation.
func (w *world) expire(inc ids.Incarnation) {
	w.index++
	for i := range w.members {
		if w.members[i].Incarnation == inc {
			w.members[i].Expired = w.index
		}
	}
}

// send carries a message over the link.
func (w *world) send(deliver func()) {
	copies := 1
	if w.rng.Float64() < w.link.duplicate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.link.loss {
			continue
		}
		d := w.link.delay
		d += w.held
		if w.link.jitter > 0 {
			d += time.Duration(w.rng.Int64N(int64(w.link.jitter)))
		}
		w.after(d, deliver)
	}
}

func (w *world) tickEntry(e *entryProc) {
	if !e.alive {
		return
	}
	out := e.core.Tick(w.now)
	for _, m := range out.Send {
		if a := w.agent(m.To); a != nil {
			w.send(func() {
				if a.alive {
					a.core.Receive(w.now, m.Exchange)
					w.tickAgent(a)
				}
			})
		}
	}
	for _, o := range out.Claims {
		w.claim(e, o)
	}
	for _, o := range out.Finished {
		w.outcome(e, o)
	}
	if out.NextTick > 0 && (e.tick <= w.now || out.NextTick < e.tick) {
		e.tick = out.NextTick
		w.at(e.tick, func() { w.tickEntry(e) })
	}
}

func (w *world) claim(e *entryProc, o dispatch.ClaimRequest) {
	a := w.agent(o.To)
	w.send(func() {
		if a == nil || !a.alive {
			return
		}
		reply := a.core.Claim(w.now, o.Claim)
		w.tickAgent(a)
		w.send(func() {
			if e.alive {
				e.core.Claimed(w.now, o.Claim.Job, reply)
				w.tickEntry(e)
			}
		})
	})
}

func (w *world) agent(inc ids.Incarnation) *agentProc {
	for _, a := range w.agents {
		if a.inc == inc {
			return a
		}
	}
	return nil
}

func (w *world) entry(inc ids.Incarnation) *entryProc {
	for _, e := range w.entries {
		if e.inc == inc {
			return e
		}
	}
	return nil
}

func (w *world) tickAgent(a *agentProc) {
	if !a.alive {
		return
	}
	out := a.core.Tick(w.now)
	for _, s := range out.Run {
		w.startTask(a, s)
	}
	for _, key := range out.Abort {
		if a.sized != nil {
			w.stopSized(a, key)
			continue
		}
		w.after(millis, func() {
			w.endTask(a, wire.Answer{Key: key, Verdict: verdict.MayHaveRun, Reason: verdict.Canceled})
		})
	}
	for _, m := range out.Send {
		if e := w.entry(m.To); e != nil {
			w.send(func() {
				if e.alive {
					e.core.Report(w.now, m.Report)
					w.tickEntry(e)
				}
			})
		}
	}
	if out.NextTick > 0 && (a.tick <= w.now || out.NextTick < a.tick) {
		a.tick = out.NextTick
		w.at(a.tick, func() { w.tickAgent(a) })
	}
}

// startTask runs a task on the upstream and checks the slots and that the task
// has not run before.
func (w *world) startTask(a *agentProc, s wire.Start) {
	if !s.Size.IsZero() {
		w.startSized(a, s)
		return
	}
	w.runs[s.Key]++
	if w.runs[s.Key] > 1 && !(s.Key.IsRequest() && s.Path == pathIdempotent) {
		w.violate("task %v started %d times", s.Key, w.runs[s.Key])
	}
	a.ran++
	a.running[s.Key] = true
	if len(a.running) > w.slots {
		w.violate("agent %d runs %d tasks on %d slots", a.inc, len(a.running), w.slots)
	}
	d, status := w.runTime(a, s), w.status(a, s)
	w.after(d, func() {
		w.endTask(a, wire.Answer{Key: s.Key, Verdict: verdict.Ran, Status: status, Body: []byte(s.Key.String())})
	})
}

const pathIdempotent = "/idempotent"

func (w *world) endTask(a *agentProc, ans wire.Answer) {
	if !a.alive || !a.running[ans.Key] {
		return
	}
	delete(a.running, ans.Key)
	a.core.Finished(w.now, ans)
	w.tickAgent(a)
}

// submit admits a job at an entry and returns its id, or zero if refused.
func (w *world) submit(e *entryProc, team ids.Team, tasks int, deadline time.Duration) ids.Job {
	spec := dispatch.JobSpec{Team: team, Service: svc, Tasks: tasks, Deadline: w.now + deadline}
	if err := e.core.Admit(w.now, spec); err != nil {
		return 0
	}
	w.index++
	job := dispatch.Job{JobSpec: spec, ID: ids.Job(w.index), Epoch: 1, Specs: bodies(tasks)}
	w.jobs[job.ID] = &jobRecord{spec: job, owner: e, open: true}
	e.core.Submit(w.now, job)
	w.tickEntry(e)
	return job.ID
}

func bodies(n int) []wire.TaskSpec { return make([]wire.TaskSpec, n) }

// request sends a single request and returns its key, or the refusal.
func (w *world) request(e *entryProc, team ids.Team, idem bool, deadline time.Duration) (ids.TaskKey, *verdict.Error) {
	e.seq++
	r := dispatch.Request{Key: ids.RequestOf(e.inc, e.seq), Team: team, Service: svc, Idempotent: idem, Deadline: w.now + deadline}
	if idem {
		r.Spec.Path = pathIdempotent
	}
	err := e.core.Request(w.now, r)
	w.tickEntry(e)
	return r.Key, err
}

// outcome checks what an entry tells a caller.
func (w *world) outcome(e *entryProc, o dispatch.Outcome) {
	if p := w.waiting[o.Request]; p != nil && o.Job == 0 {
		delete(w.waiting, o.Request)
		p.ended(o.Err)
		return
	}
	w.finished = append(w.finished, o)
	id := fmt.Sprint(e.inc, o.Job, o.Request)
	w.outcomes[id]++
	if w.outcomes[id] > 1 {
		w.violate("outcome %s returned %d times", id, w.outcomes[id])
	}
	w.checkResults(o)
	if r := w.jobs[o.Job]; r != nil && r.owner == e && r.spec.Epoch == o.Epoch {
		r.open = false
		r.ended = w.now
	}
	if w.onEnd != nil {
		w.onEnd(e, o)
	}
}

// checkResults requires that a complete outcome holds each task's own result.
func (w *world) checkResults(o dispatch.Outcome) {
	if o.State != wire.JobComplete {
		return
	}
	want := 1
	if r := w.jobs[o.Job]; r != nil {
		want = r.spec.Tasks
	}
	if len(o.Results) != want {
		w.violate("job %d returned %d of %d results", o.Job, len(o.Results), want)
	}
	for i, r := range o.Results {
		key := o.Request
		if o.Job != 0 {
			key = ids.TaskOf(o.Job, i)
		}
		if string(r.Body) != key.String() {
			w.violate("result %d of job %d belongs to %s", i, o.Job, r.Body)
		}
	}
}

// checkNotRun requires that nothing of an outcome with verdict not-run ran.
func (w *world) checkNotRun() {
	for _, o := range w.finished {
		if o.Err == nil || o.Err.Verdict != verdict.NotRun {
			continue
		}
		for key, n := range w.runs {
			if n > 0 && (o.Job != 0 && key.Job == o.Job || o.Job == 0 && key == o.Request) {
				w.violate("outcome of job %d %v is %v but %v ran", o.Job, o.Request, o.Err, key)
			}
		}
	}
}
