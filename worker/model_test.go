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

// event is something that happens at a time of the model.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// modelRun is a run at the model worker.
type modelRun struct {
	id       RunID
	stopping bool
}

// model is a worker with a lossy path to it, in virtual time.
type model struct {
	t    *testing.T
	rng  *rand.Rand
	now  time.Duration
	seq  int
	todo events

	core    *Core
	tickAt  time.Duration
	answers map[ids.TaskKey]wire.Answer
	asked   map[ids.TaskKey]RunID

	rate    float64 // of the worker's clock
	lease   time.Duration
	fence   Fence
	running map[RunID]*modelRun
	highest map[string]uint32 // number of the last run of a task that was stopped or ended
	ended   []End
	number  uint64
	began   map[RunID]bool
	doneIDs map[RunID]bool

	lost, late float64 // shares of orders without an answer, and carried out late
	slow       float64 // share of orders that are carried out about when they are given up
	work       time.Duration
	// anyTime has the worker accept starts that arrive after their time, and
	// unfenced has it forget stops of runs that are not there.
	anyTime, unfenced bool
}

func newModel(t *testing.T, seed uint64, lost, late float64) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), lost: lost, late: late,
		answers: map[ids.TaskKey]wire.Answer{}, asked: map[ids.TaskKey]RunID{},
		rate: 0.98 + 0.02*rand.New(rand.NewPCG(seed, 2)).Float64(), running: map[RunID]*modelRun{},
		highest: map[string]uint32{}, began: map[RunID]bool{}, doneIDs: map[RunID]bool{},
		work: 120 * time.Millisecond,
	}
	m.core = New(0, Config{Fence: 7, Lease: time.Second, StopGrace: 50 * time.Millisecond, Clock: m.clock()})
	return m
}

// clock is the worker's own clock.
func (m *model) clock() time.Duration {
	return 5*time.Second + time.Duration(float64(m.now)*m.rate)
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.todo, event{m.now + d, m.seq, do})
}

func (m *model) run(until time.Duration) {
	for len(m.todo) > 0 && m.todo[0].at <= until {
		e := heap.Pop(&m.todo).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

func (m *model) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(m.rng.IntN(2000))*time.Microsecond
}

// tick runs the core and carries out its orders.
func (m *model) tick() {
	out := m.core.Tick(m.now)
	for _, a := range out.Ended {
		m.takeAnswer(a.Answer)
	}
	for _, o := range out.Start {
		m.send(orderTimeout, func() func(bool) {
			r := m.start(o)
			return func(unknown bool) { m.core.Started(m.now, o.Run, r, unknown) }
		}, func() { m.core.Started(m.now, o.Run, StartReply{}, true) })
	}
	for _, o := range out.Stop {
		m.send(orderTimeout, func() func(bool) {
			m.stop(o)
			return func(unknown bool) { m.core.Stopped(m.now, o.Run, unknown) }
		}, func() { m.core.Stopped(m.now, o.Run, true) })
	}
	if out.Renew != nil {
		m.renew(*out.Renew)
	}
	if out.NextTick > 0 && out.NextTick != m.tickAt {
		m.tickAt = out.NextTick
		m.after(max(out.NextTick-m.now, 0), m.tick)
	}
}

// send carries an order to the worker: in time, without an answer, or late.
func (m *model) send(timeout time.Duration, do func() func(bool), none func()) {
	settled := false
	settle := func(f func()) {
		if !settled {
			settled = true
			f()
			m.tick()
		}
	}
	m.after(timeout, func() { settle(none) })
	x := m.rng.Float64()
	switch {
	case x < m.late:
		m.after(2*time.Second+time.Duration(m.rng.IntN(10000))*time.Millisecond, func() { do() })
	case x < m.late+m.lost/2: // the order is lost
	case x < m.late+m.lost: // the answer is lost
		m.after(m.delay(), func() { do() })
	case x < m.late+m.lost+m.slow: // carried out after the order has been given up
		m.after(timeout/2+time.Duration(m.rng.Int64N(int64(2*timeout))), func() { do() })
	default:
		m.after(m.delay(), func() {
			answer := do()
			m.after(m.delay(), func() { settle(func() { answer(false) }) })
		})
	}
}

func (m *model) renew(o RenewOrder) {
	m.send(o.Wait+orderTimeout, func() func(bool) {
		m.extend(o.Fence, o.Until)
		kept := m.ended[:0]
		for _, e := range m.ended {
			if e.Number > o.Cursor {
				kept = append(kept, e)
			}
		}
		m.ended = kept
		st := Status{Clock: m.clock(), Ended: append([]End(nil), m.ended...)}
		for id := range m.running {
			st.Running = append(st.Running, id)
		}
		return func(unknown bool) { m.core.Renewed(m.now, o, st, unknown) }
	}, func() { m.core.Renewed(m.now, o, Status{}, true) })
}

func (m *model) extend(f Fence, until time.Duration) {
	if f < m.fence {
		return
	}
	m.fence = f
	until = min(until, m.clock()+time.Second)
	if until <= m.lease {
		return
	}
	m.lease = until
	m.after(time.Duration(float64(until-m.clock())/m.rate), m.lapse)
}

// lapse ends everything once the lease has run out.
func (m *model) lapse() {
	if m.clock() < m.lease {
		return
	}
	for id := range m.running {
		m.end(id, EndStopped)
	}
}

func (m *model) start(o StartOrder) StartReply {
	reply := StartReply{Clock: m.clock()}
	switch {
	case o.Fence < m.fence:
		reply.Refused = RefusedFenced
	case m.running[o.Run] != nil:
	case o.Run.Number <= m.highest[o.Run.Task]:
		reply.Refused = RefusedSuperseded
	case o.Until <= m.clock() && !m.anyTime:
		reply.Refused = RefusedLate
	default:
		m.begin(o.Run)
	}
	m.extend(o.Fence, o.Until)
	return reply
}

// begin starts a run, which must be one that the core still waits for.
func (m *model) begin(id RunID) {
	for key, asked := range m.asked {
		if _, answered := m.answers[key]; asked == id && answered {
			m.t.Errorf("%v: run %v began after it had been answered", m.now, id)
		}
	}
	for other := range m.running {
		if other.Task == id.Task {
			m.t.Errorf("%v: runs %v and %v overlap", m.now, id, other)
		}
	}
	m.running[id] = &modelRun{id: id}
	m.began[id] = true
	m.after(m.work/2+time.Duration(m.rng.Int64N(int64(m.work))), func() { m.end(id, EndDone) })
}

func (m *model) stop(o StopOrder) {
	if !m.unfenced || m.running[o.Run] != nil {
		m.highest[o.Run.Task] = max(m.highest[o.Run.Task], o.Run.Number)
	}
	if r := m.running[o.Run]; r != nil && !r.stopping {
		r.stopping = true
		m.after(time.Duration(m.rng.IntN(50))*time.Millisecond, func() { m.end(o.Run, EndStopped) })
	}
}

func (m *model) end(id RunID, how EndKind) {
	if m.running[id] == nil {
		return
	}
	delete(m.running, id)
	m.highest[id.Task] = max(m.highest[id.Task], id.Number)
	m.number++
	m.ended = append(m.ended, End{Number: m.number, Run: id, How: how})
	m.doneIDs[id] = how == EndDone
}

// takeAnswer checks an answer of the core against what the worker knows.
func (m *model) takeAnswer(a wire.Answer) {
	id := m.asked[a.Key]
	if _, twice := m.answers[a.Key]; twice {
		m.t.Errorf("%v: task %v was answered twice", m.now, id)
	}
	m.answers[a.Key] = a
	switch {
	case m.running[id] != nil:
		m.t.Errorf("%v: run %v was answered with %v while it runs", m.now, id, a.Reason)
	case a.Verdict == verdict.NotRun && m.began[id]:
		m.t.Errorf("%v: run %v was said not to have run", m.now, id)
	case (a.Reason == verdict.Complete) != m.doneIDs[id]:
		m.t.Errorf("%v: run %v was answered with %v, done: %v", m.now, id, a.Reason, m.doneIDs[id])
	}
}

// ask has the core run a task, and may abort it later.
func (m *model) ask(n int) {
	key := ids.RequestOf(1, uint64(n))
	start := wire.Start{Key: key, Try: 1, Name: "task" + strconv.Itoa(n)}
	m.asked[key] = RunID{Task: start.Name, Number: 1}
	m.core.Run(m.now, start)
	m.tick()
	if m.rng.IntN(6) == 0 {
		m.after(time.Duration(m.rng.IntN(150))*time.Millisecond, func() {
			m.core.Abort(m.now, key)
			m.tick()
		})
	}
}

// Guards against a run that is answered while it runs or before a late start
// begins it, one that is said not to have run, and one without an answer, when
// orders or their answers are lost or carried out seconds later.
//
// Two guards keep a late start from running: the time until which it is valid, and
// the stop that fences it. Each is tested by itself with the other one ineffective.
func TestRunsAreAnsweredOnceAndAfterTheirEnd(t *testing.T) {
	for seed := range uint64(400) {
		m := newModel(t, seed, 0.1, 0.1)
		m.anyTime, m.unfenced = seed%4 == 1, seed%4 == 2
		if !m.unfenced { // a start that is late by less than its validity is kept out by the stop alone
			m.slow = float64(seed%5) / 20
		}
		m.tick()
		for n := range 40 {
			m.after(time.Duration(m.rng.IntN(4000))*time.Millisecond, func() { m.ask(n) })
		}
		m.run(30 * time.Second)
		if len(m.answers) != 40 || !m.core.Idle() {
			t.Errorf("seed %d: %d of 40 tasks answered, idle: %v", seed, len(m.answers), m.core.Idle())
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against ends that stay hidden for a third of a second, and starts that
// hold up a task for as long, when a twentieth of the orders has no answer.
func TestLostOrdersDelayLittle(t *testing.T) {
	m := newModel(t, 1, 0, 0.05)
	m.work = 60 * time.Millisecond
	m.tick()
	var total time.Duration
	const tasks = 500
	for n := range tasks {
		m.after(time.Duration(n)*10*time.Millisecond, func() {
			m.ask(n)
			key, begin := ids.RequestOf(1, uint64(n)), m.now
			var poll func()
			poll = func() {
				if _, ok := m.answers[key]; ok {
					total += m.now - begin
					return
				}
				m.after(time.Millisecond, poll)
			}
			poll()
		})
	}
	m.run(20 * time.Second)
	// The work takes 60 ms on average, a lost start 60 ms until it is given up.
	if mean := total / tasks; mean > 80*time.Millisecond {
		t.Errorf("tasks of 60 ms are answered after %v on average", mean)
	}
}
