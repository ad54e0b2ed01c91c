package worker

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// event is a function to call at a point in virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap ordered by time, then by insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulatedRun is a run at a simulatedWorker.
type simulatedRun struct {
	id       RunID
	stopping bool
}

// simulatedWorker simulates a worker and a lossy connection to it in virtual time, and
// checks the answers of the core.
type simulatedWorker struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Duration
	seq           int
	pendingEvents eventQueue

	core       *Core
	nextTickAt time.Duration
	answers    map[ids.TaskKey]wire.Answer
	requested  map[ids.TaskKey]RunID

	born               int64         // identifies the present start of the worker
	startedAt          time.Duration // when the worker last started
	clockRate          float64       // of the worker's clock relative to virtual time
	leaseExpiresAt     time.Duration
	highestFence       Fence
	running            map[RunID]*simulatedRun
	highestEndedNumber map[string]uint32 // highest number of an ended or stopped run, by task
	ended              []End
	lastEndNumber      uint64
	begunRuns          map[RunID]bool
	outcomeDone        map[RunID]bool

	lostShare, lateShare float64 // fractions of requests that are unanswered, and executed seconds late
	slowShare            float64 // fraction of requests that are executed around their timeout
	meanRunTime          time.Duration
	// lateGrants makes requests that are executed late grant their time from then on.
	lateGrants bool
	lateBy     time.Duration // of the request that is executed now, zero if lateGrants is not set
	frozen     bool          // the core's process stands still: it neither ticks nor takes in replies
	// acceptExpired makes the worker accept starts that arrive after Until, and
	// forgetStops makes it ignore stops of unknown runs.
	acceptExpired, forgetStops bool
}

// firstStart is the start of the worker that the core serves.
const firstStart = 1

func newSimulatedWorker(t *testing.T, seed uint64, lostShare, lateShare float64) *simulatedWorker {
	m := &simulatedWorker{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), lostShare: lostShare, lateShare: lateShare,
		answers: map[ids.TaskKey]wire.Answer{}, requested: map[ids.TaskKey]RunID{},
		clockRate: 0.98 + 0.02*rand.New(rand.NewPCG(seed, 2)).Float64(), running: map[RunID]*simulatedRun{},
		highestEndedNumber: map[string]uint32{}, begunRuns: map[RunID]bool{}, outcomeDone: map[RunID]bool{},
		meanRunTime: 120 * time.Millisecond,
	}
	m.born = firstStart
	m.core = New(0, Config{Fence: 7, Lease: time.Second, Clock: m.clock()})
	return m
}

// clock returns the worker's clock.
func (m *simulatedWorker) clock() time.Duration {
	return 5*time.Second + time.Duration(float64(m.now-m.startedAt)*m.clockRate)
}

// restart crashes the worker and starts it again under its id. Its runs have ended, and
// it knows nothing of before. Requests that are on their way are lost with the process.
func (m *simulatedWorker) restart() {
	m.born++
	m.startedAt = m.now
	m.leaseExpiresAt, m.highestFence, m.lastEndNumber, m.ended = 0, 0, 0, nil
	clear(m.running)
	clear(m.highestEndedNumber)
}

func (m *simulatedWorker) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.pendingEvents, event{m.now + d, m.seq, do})
}

func (m *simulatedWorker) runUntil(until time.Duration) {
	for len(m.pendingEvents) > 0 && m.pendingEvents[0].at <= until {
		e := heap.Pop(&m.pendingEvents).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

func (m *simulatedWorker) randomDelay() time.Duration {
	return 200*time.Microsecond + time.Duration(m.rng.IntN(2000))*time.Microsecond
}

// tick runs a tick of the core and delivers its requests.
func (m *simulatedWorker) tick() {
	if m.frozen {
		return
	}
	out := m.core.Tick(m.now)
	for _, a := range out.Ended {
		m.checkAnswer(a.Answer)
	}
	for _, req := range out.Start {
		m.deliver(requestTimeout, func() func(bool) {
			r := m.start(req)
			return func(unanswered bool) { m.core.Started(m.now, req.Run, r, unanswered) }
		}, func(r Refusal) { m.core.Started(m.now, req.Run, StartReply{Refused: r}, r == "") })
	}
	for _, req := range out.Stop {
		m.deliver(requestTimeout, func() func(bool) {
			reply := m.stop(req)
			return func(unanswered bool) { m.core.Stopped(m.now, req.Run, reply, unanswered) }
		}, func(r Refusal) { m.core.Stopped(m.now, req.Run, StopReply{Refused: r}, r == "") })
	}
	if out.Renew != nil {
		m.renew(*out.Renew)
	}
	if out.NextTick > 0 && out.NextTick != m.nextTickAt {
		m.nextTickAt = out.NextTick
		m.schedule(max(out.NextTick-m.now, 0), m.tick)
	}
}

// deliver simulates a request: executed in time, lost, unanswered, or executed late by the
// same start of the worker. notExecuted gets the refusal of a request to an earlier start,
// or none if it is unanswered.
func (m *simulatedWorker) deliver(timeout time.Duration, execute func() func(bool), notExecuted func(Refusal)) {
	completed := false
	complete := func(f func()) {
		if !completed && !m.frozen {
			completed = true
			f()
			m.tick()
		}
	}
	unanswered := func() { notExecuted("") }
	m.schedule(timeout, func() { complete(unanswered) })
	if m.born != firstStart {
		m.schedule(m.randomDelay(), func() { complete(func() { notExecuted(RefusedReplaced) }) })
		return
	}
	executeLate := func() {
		if m.born == firstStart {
			execute()
		}
	}
	x := m.rng.Float64()
	switch {
	case x < m.lateShare:
		late := 2*time.Second + time.Duration(m.rng.IntN(10000))*time.Millisecond
		m.schedule(late, func() {
			if m.lateGrants {
				m.lateBy = late
			}
			executeLate()
			m.lateBy = 0
		})
	case x < m.lateShare+m.lostShare/2: // the request is lost
	case x < m.lateShare+m.lostShare: // the answer is lost
		m.schedule(m.randomDelay(), executeLate)
	case x < m.lateShare+m.lostShare+m.slowShare: // executed around its timeout
		d := timeout/2 + time.Duration(m.rng.Int64N(int64(2*timeout)))
		m.schedule(d, executeLate)
	default:
		m.schedule(m.randomDelay(), func() {
			if m.born != firstStart { // the connection is reset
				m.schedule(m.randomDelay(), func() { complete(unanswered) })
				return
			}
			answer := execute()
			m.schedule(m.randomDelay(), func() { complete(func() { answer(false) }) })
		})
	}
}

func (m *simulatedWorker) renew(req RenewRequest) {
	m.deliver(req.Wait+requestTimeout, func() func(bool) {
		if req.Fence < m.highestFence {
			return func(unanswered bool) { m.core.Renewed(m.now, req, Status{Refused: RefusedFenced}, unanswered) }
		}
		m.extendLease(req.Fence, req.Until)
		kept := m.ended[:0]
		for _, e := range m.ended {
			if e.Number > req.Cursor {
				kept = append(kept, e)
			}
		}
		m.ended = kept
		st := Status{Clock: m.clock(), Ended: append([]End(nil), m.ended...)}
		for id := range m.running {
			st.Running = append(st.Running, id)
		}
		return func(unanswered bool) { m.core.Renewed(m.now, req, st, unanswered) }
	}, func(r Refusal) { m.core.Renewed(m.now, req, Status{Refused: r}, r == "") })
}

func (m *simulatedWorker) extendLease(f Fence, until time.Duration) {
	if f < m.highestFence {
		return
	}
	m.highestFence = f
	until = min(until+m.lateBy, m.clock()+time.Second)
	if until <= m.leaseExpiresAt {
		return
	}
	m.leaseExpiresAt = until
	m.schedule(time.Duration(float64(until-m.clock())/m.clockRate)+time.Microsecond, m.expireLease)
}

// expireLease stops all runs if the lease has expired.
func (m *simulatedWorker) expireLease() {
	if m.clock() < m.leaseExpiresAt {
		return
	}
	for id := range m.running {
		m.end(id, EndStopped)
	}
}

func (m *simulatedWorker) start(req StartRequest) StartReply {
	reply := StartReply{Clock: m.clock()}
	switch {
	case req.Fence < m.highestFence:
		reply.Refused = RefusedFenced
	case m.running[req.Run] != nil:
	case req.Run.Number <= m.highestEndedNumber[req.Run.Task]:
		reply.Refused = RefusedSuperseded
	case req.Until+m.lateBy <= m.clock() && !m.acceptExpired:
		reply.Refused = RefusedExpired
	default:
		m.begin(req.Run)
	}
	m.extendLease(req.Fence, req.Until)
	return reply
}

// begin starts a run. It fails the test if the core has answered the run already, or if
// another run of the task is in progress.
func (m *simulatedWorker) begin(id RunID) {
	for key, requested := range m.requested {
		if _, answered := m.answers[key]; requested == id && answered {
			m.t.Errorf("%v: run %v began after it had been answered", m.now, id)
		}
	}
	for other := range m.running {
		if other.Task == id.Task {
			m.t.Errorf("%v: runs %v and %v overlap", m.now, id, other)
		}
	}
	m.running[id] = &simulatedRun{id: id}
	m.begunRuns[id] = true
	begun := m.running[id]
	m.schedule(m.meanRunTime/2+time.Duration(m.rng.Int64N(int64(m.meanRunTime))), func() {
		if m.running[id] == begun {
			m.end(id, EndDone)
		}
	})
}

func (m *simulatedWorker) stop(req StopRequest) StopReply {
	if req.Fence < m.highestFence {
		return StopReply{Refused: RefusedFenced}
	}
	m.highestFence = req.Fence
	if !m.forgetStops || m.running[req.Run] != nil {
		m.highestEndedNumber[req.Run.Task] = max(m.highestEndedNumber[req.Run.Task], req.Run.Number)
	}
	if r := m.running[req.Run]; r != nil && !r.stopping {
		r.stopping = true
		m.schedule(time.Duration(m.rng.IntN(50))*time.Millisecond, func() { m.end(req.Run, EndStopped) })
	}
	return StopReply{}
}

func (m *simulatedWorker) end(id RunID, how EndKind) {
	if m.running[id] == nil {
		return
	}
	delete(m.running, id)
	m.highestEndedNumber[id.Task] = max(m.highestEndedNumber[id.Task], id.Number)
	m.lastEndNumber++
	m.ended = append(m.ended, End{Number: m.lastEndNumber, Run: id, How: how})
	m.outcomeDone[id] = how == EndDone
}

// checkAnswer checks an answer of the core against the state of the worker.
func (m *simulatedWorker) checkAnswer(a wire.Answer) {
	id := m.requested[a.Key]
	if _, twice := m.answers[a.Key]; twice {
		m.t.Errorf("%v: task %v was answered twice", m.now, id)
	}
	m.answers[a.Key] = a
	switch {
	case m.running[id] != nil:
		m.t.Errorf("%v: run %v was answered with %v while it runs", m.now, id, a.Reason)
	case a.Verdict == verdict.NotRun && m.begunRuns[id]:
		m.t.Errorf("%v: run %v was answered as not run, but it had begun", m.now, id)
	case a.Reason == verdict.Complete && !m.outcomeDone[id], a.Reason != verdict.Complete && m.outcomeDone[id] && m.born == firstStart:
		m.t.Errorf("%v: run %v was answered with %v, done: %v", m.now, id, a.Reason, m.outcomeDone[id])
	}
}

// requestRun makes the core run a task, and aborts one task in six later.
func (m *simulatedWorker) requestRun(n int) {
	key := ids.RequestOf(1, uint64(n))
	start := wire.Start{Key: key, Try: 1, Name: "task" + strconv.Itoa(n)}
	m.requested[key] = RunID{Task: start.Name, Number: 1}
	m.core.Run(m.now, start, 0)
	m.tick()
	if m.rng.IntN(6) == 0 {
		m.schedule(time.Duration(m.rng.IntN(150))*time.Millisecond, func() {
			m.core.Abort(m.now, key)
			m.tick()
		})
	}
}

// TestRunsAreAnsweredOnceAfterTheyEnd guards against runs that are answered while they
// run or before a late start begins them, that are reported as not run although they
// ran, or that are never answered, when requests or replies are lost or requests are
// executed seconds late.
//
// Two mechanisms prevent a late start: its validity and the stop of an unknown run. Each
// is also tested with the other one disabled.
func TestRunsAreAnsweredOnceAfterTheyEnd(t *testing.T) {
	for seed := range uint64(400) {
		m := newSimulatedWorker(t, seed, 0.1, 0.1)
		m.acceptExpired, m.forgetStops = seed%4 == 1, seed%4 == 2
		if !m.forgetStops { // a start that is late by less than its validity is prevented by the stop only
			m.slowShare = float64(seed%5) / 20
		}
		m.tick()
		for n := range 40 {
			m.schedule(time.Duration(m.rng.IntN(4000))*time.Millisecond, func() { m.requestRun(n) })
		}
		m.runUntil(30 * time.Second)
		if len(m.answers) != 40 || !m.core.Idle() {
			t.Errorf("seed %d: %d of 40 tasks answered, idle: %v", seed, len(m.answers), m.core.Idle())
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against renewals that are executed late and prolong a run that nobody can stop
// any more, since the process that runs the core stands still.
func TestLateRenewalsDoNotProlongRuns(t *testing.T) {
	const frozenAt = 3 * time.Second
	for seed := range uint64(200) {
		m := newSimulatedWorker(t, seed, 0.1, 0.6)
		m.lateGrants = true
		m.meanRunTime = time.Minute
		m.tick()
		for n := range 10 {
			m.schedule(time.Duration(m.rng.IntN(1000))*time.Millisecond, func() { m.requestRun(n) })
		}
		m.runUntil(frozenAt)
		m.frozen = true
		const lease = time.Second * 100 / 98    // on a clock that is 2 % slow
		const inTransit = 20 * time.Millisecond // of the last renewal
		m.runUntil(frozenAt + lease + inTransit)
		if len(m.running) > 0 {
			t.Fatalf("seed %d: %d runs at work %v after the process came to a standstill", seed, len(m.running), lease+inTransit)
		}
	}
}

// Guards against runs that are never answered, answered twice, or answered as not run
// although they have begun, when the worker restarts under its id.
func TestRunsAreAnsweredAfterTheyEndAcrossRestarts(t *testing.T) {
	for seed := range uint64(400) {
		m := newSimulatedWorker(t, seed, 0.1, 0.1)
		m.slowShare = float64(seed%5) / 20
		m.tick()
		for n := range 40 {
			m.schedule(time.Duration(m.rng.IntN(4000))*time.Millisecond, func() { m.requestRun(n) })
		}
		for range 1 + seed%3 {
			m.schedule(time.Duration(m.rng.IntN(4000))*time.Millisecond, m.restart)
		}
		m.runUntil(30 * time.Second)
		if len(m.answers) != 40 || !m.core.Idle() {
			t.Errorf("seed %d: %d of 40 tasks answered, idle: %v", seed, len(m.answers), m.core.Idle())
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestLostRequestsAddLittleDelay guards against answers that are late by a third of a
// second, because an end is noticed late or an unanswered start is given up late, when
// one request in twenty has no answer.
func TestLostRequestsAddLittleDelay(t *testing.T) {
	m := newSimulatedWorker(t, 1, 0, 0.05)
	m.meanRunTime = 60 * time.Millisecond
	m.tick()
	var total time.Duration
	const tasks = 500
	for n := range tasks {
		m.schedule(time.Duration(n)*10*time.Millisecond, func() {
			m.requestRun(n)
			key, begin := ids.RequestOf(1, uint64(n)), m.now
			var poll func()
			poll = func() {
				if _, ok := m.answers[key]; ok {
					total += m.now - begin
					return
				}
				m.schedule(time.Millisecond, poll)
			}
			poll()
		})
	}
	m.runUntil(20 * time.Second)
	// A task runs for 60 ms on average; a lost start times out after 60 ms.
	if mean := total / tasks; mean > 80*time.Millisecond {
		t.Errorf("tasks of 60 ms are answered after %v on average", mean)
	}
}
