package capacity

import (
	"fmt"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	slots    = 8
	runTime  = 100 * time.Millisecond
	tickStep = 500 * time.Microsecond
	load     = 0.7 // share of the slots in use
	anEntry  = ids.Incarnation(1)
)

func spec() wire.TaskSpec {
	return wire.TaskSpec{Method: "POST", Path: "/cobro/linea", Body: make([]byte, 200)}
}

func answerTo(s wire.Start) wire.Answer {
	return wire.Answer{
		Key: s.Key, Try: s.Try, Verdict: verdict.Ran, Status: 200, Body: make([]byte, 200),
		QueueUS: 1200, RunUS: runTime.Microseconds(),
	}
}

// placer drives the dispatch core of one entry against upstreams that each take
// runTime for a task.
type placer struct {
	core     *dispatch.Core
	now      time.Duration
	jobs     int // admitted so far, also the last job id
	teams    int
	tasks    int // of a job
	open     int // tasks without an answer
	want     int // tasks to keep open
	credit   int
	due      map[time.Duration][]wire.Report
	held     map[ids.Incarnation]int
	answered int
}

func newPlacer(upstreams, teams, tasks, credit int) *placer {
	cfg := dispatch.Config{
		Self: anEntry, Tradeoff: 0.5, RetryBudget: 0.1, QuarantineShare: 0.3, MaxDeadline: time.Hour,
		Services: map[ids.Service]dispatch.Service{"svc-1": {Slots: slots, Connections: 64, Timeout: 30 * time.Second}},
		Teams:    map[ids.Team]dispatch.Team{},
	}
	for i := range teams {
		cfg.Teams[teamName(i)] = dispatch.Team{Quota: 1 + i, MaxQueued: 10_000_000}
	}
	p := &placer{
		core: dispatch.New(cfg, 1), teams: teams, tasks: tasks, credit: credit,
		want: int(load * slots * float64(upstreams)),
		due:  map[time.Duration][]wire.Report{}, held: map[ids.Incarnation]int{},
	}
	var rows []wire.Member
	for i := range upstreams {
		inc := ids.Incarnation(10 + i)
		rows = append(rows, wire.Member{Registration: registration(wire.KindAgent, i, fmt.Sprintf("%032x", i)), Incarnation: inc})
	}
	p.core.SetCurrent(true)
	p.core.SetUpstreams(0, rows)
	for _, m := range rows {
		p.core.Connected(0, m.Incarnation)
		p.core.Report(0, wire.Report{Upstream: m.Incarnation, Credit: credit})
	}
	return p
}

func teamName(i int) ids.Team { return ids.Team(fmt.Sprintf("team-%02d", i)) }

func (p *placer) submit() {
	p.jobs++
	specs := make([]wire.TaskSpec, p.tasks)
	for i := range specs {
		specs[i] = spec()
	}
	p.open += p.tasks
	p.core.Submit(p.now, dispatch.Job{ID: ids.Job(1_000_000 + p.jobs), Epoch: 1, Specs: specs, JobSpec: dispatch.JobSpec{
		Team: teamName(p.jobs % p.teams), Service: "svc-1", Tasks: p.tasks, Deadline: p.now + time.Minute,
	}})
}

// step passes one tick of virtual time.
func (p *placer) step() {
	p.now += tickStep
	for _, r := range p.due[p.now] {
		p.held[r.Upstream] -= len(r.Answers)
		r.Held, r.Running = p.held[r.Upstream], p.held[r.Upstream]
		p.open -= len(r.Answers)
		p.answered += len(r.Answers)
		p.core.Report(p.now, r)
	}
	delete(p.due, p.now)
	for p.open < p.want {
		p.submit()
	}
	at := p.now + runTime
	for _, e := range p.core.Tick(p.now).Send {
		r := wire.Report{Upstream: e.To, Credit: p.credit}
		for _, s := range e.Exchange.Starts {
			r.Answers = append(r.Answers, answerTo(s))
		}
		if len(r.Answers) > 0 {
			p.held[e.To] += len(r.Answers)
			p.due[at] = append(p.due[at], r)
		}
	}
}

// cost returns the processor time of a start with its answer in microseconds,
// once the upstreams have passed their ramp.
func (p *placer) cost() float64 {
	for range 2000 {
		p.step()
	}
	const decisions = 30_000
	p.answered = 0
	return cpuFor(1, func() {
		for p.answered < decisions {
			p.step()
		}
	}) / float64(p.answered) / 1e3
}

// DispatchSlopes measures the decisions of an entry.
func DispatchSlopes() []Series {
	ups := Series{Name: "start and answer", Unit: "us CPU", Driver: "upstreams", At: designAgents}
	heap := Series{Name: "live heap", Unit: "B", Driver: "upstreams", At: designAgents}
	tasks := Series{Name: "start and answer, 700 upstreams", Unit: "us CPU", Driver: "tasks in a job", Level: true}
	teams := Series{Name: "start and answer, 700 upstreams", Unit: "us CPU", Driver: "teams", At: designTeams}
	waiting := Series{Name: "live heap", Unit: "B", Driver: "waiting tasks", At: designStarts}
	for _, n := range []int{11, 100, 700, 2800} {
		ups.Add(float64(n), newPlacer(n, 10, 100, slots+1).cost())
		heap.Add(float64(n), grown(func() any { return newPlacer(n, 10, 100, slots+1) }))
	}
	for _, n := range []int{1, 10, 100, 850} {
		tasks.Add(float64(n), newPlacer(700, 10, n, slots+1).cost())
	}
	for _, n := range []int{1, 10, 25, 50} {
		teams.Add(float64(n), newPlacer(700, n, 10, slots+1).cost())
	}
	for _, n := range []int{850, 8500, 34_000, 85_000} {
		waiting.Add(float64(n), grown(func() any {
			p := newPlacer(11, 10, 850, 0)
			p.want = n
			p.step()
			return p
		}))
	}
	return []Series{ups, heap, tasks, teams, waiting}
}

// ExecutorSlopes measures the start table of an agent.
func ExecutorSlopes() []Series {
	rows := Series{Name: "start and answer", Unit: "us CPU", Driver: "rows held", At: 13_000}
	heap := Series{Name: "live heap, answers without bodies", Unit: "B", Driver: "rows held", At: 13_000}
	entries := Series{Name: "start and answer", Unit: "us CPU", Driver: "entries connected", At: designEntries}
	for _, n := range []int{100, 1000, 10_000, 30_000} {
		var a *runner
		heap.Add(float64(n), grown(func() any { a = newRunner(1); a.run(n); return a }))
		const starts = 20_000 // 20 s, two passes over the rows
		rows.Add(float64(n), cpuFor(starts, func() { a.run(starts) })/1e3)
	}
	for _, n := range []int{1, 3, 6, 12} {
		a := newRunner(n)
		a.run(2000)
		const starts = 20_000
		entries.Add(float64(n), cpuFor(starts, func() { a.run(starts) })/1e3)
	}
	return []Series{rows, heap, entries}
}

// runner drives the executor core of one agent with starts of jobs of 100 tasks.
type runner struct {
	core    *executor.Core
	now     time.Duration
	entries int
	next    int
}

func newRunner(entries int) *runner {
	r := &runner{entries: entries, core: executor.New(executor.Config{
		Self: 500, Slots: slots, Connections: 64, LookAhead: 1, AnswerBytes: 8 << 20,
	})}
	var rows []wire.Member
	for i := range entries {
		rows = append(rows, wire.Member{Registration: registration(wire.KindEntry, i, fmt.Sprint(i)), Incarnation: anEntry + ids.Incarnation(i)})
	}
	r.core.SetEntries(0, 1000, rows)
	r.core.SetCurrent(true)
	for _, m := range rows {
		r.core.Connected(0, m.Incarnation)
	}
	return r
}

// run starts, ends and acknowledges n tasks, one for each millisecond.
func (r *runner) run(n int) {
	for range n {
		r.now += time.Millisecond
		entry := anEntry + ids.Incarnation(r.next%r.entries)
		key := ids.TaskOf(ids.Job(1_000_000+r.next/100), r.next%100)
		r.next++
		t := spec()
		start := wire.Start{Key: key, Epoch: 1, Try: 1, Method: t.Method, Path: t.Path, Body: t.Body, BudgetMS: 30_000}
		r.core.Receive(r.now, wire.Exchange{Entry: entry, Starts: []wire.Start{start}})
		for _, s := range r.core.Tick(r.now).Run {
			r.core.Finished(r.now, answerTo(s.Start))
		}
		for _, e := range r.core.Tick(r.now).Send {
			var acks []wire.Ack
			for _, a := range e.Report.Answers {
				acks = append(acks, wire.Ack{Key: a.Key, Try: a.Try})
			}
			r.core.Receive(r.now, wire.Exchange{Entry: e.To, Acks: acks})
		}
	}
}
