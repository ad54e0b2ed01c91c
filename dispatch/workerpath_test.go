package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// pathSimulation runs the whole path of a task in virtual time: callers, entries, agents
// with their worker.Core, and workers. It checks that no two runs of a task overlap.
type pathSimulation struct {
	*batchSimulation
	disruptions disruptionSet
	clockSlack  float64 // of the workers' clocks
	connRng     *rand.Rand
	// unverifiedConnections lets requests reach whichever start of the worker is there when
	// they arrive.
	unverifiedConnections bool
	nodes                 []*workerNode
	links                 map[linkID]*pathLink
	viewVersions          map[ids.Incarnation]ids.Version // by entry
	hangShare             float64                         // of the tasks

	active    map[string][]*workerRun // runs that have not ended, by task
	runCount  int
	deaf      map[ids.Incarnation]bool // members that the control group doesn't reach
	bornCount int64                    // starts of workers whose announced time was drawn
	overlaps  []overlap
	trace     pathTrace
	queue     pathQueue                     // as configured
	queues    map[ids.Incarnation]pathQueue // as entries know it
	// sparedLateGrants counts the late requests that were lost or were executed with their
	// Until as it was, since no dispatcher could have prevented what they extend.
	sparedLateGrants int
}

// overlap is a violation: the second run has begun before the first one has ended.
type overlap struct {
	at            time.Duration
	first, second *workerRun
}

const (
	connStream        = 4 // of the random numbers of a seed
	defaultClockSlack = 0.02
	agentLease        = wire.AgentLease
	entryLease        = wire.EntryLease
)

func newPathSimulation(seed uint64, figures platformFigures, d disruptionSet) *pathSimulation {
	p := &pathSimulation{
		batchSimulation: newEmptyBatchSimulation(seed, 0), disruptions: d, clockSlack: defaultClockSlack,
		connRng: rand.New(rand.NewPCG(seed, connStream)),
		links:   map[linkID]*pathLink{}, deaf: map[ids.Incarnation]bool{}, viewVersions: map[ids.Incarnation]ids.Version{}, active: map[string][]*workerRun{},
	}
	p.figures, p.cfg.Leases = figures, figures.leases
	p.carry = p.carryMessage
	p.onCaller = func(name, text string) {
		p.trace.add(pathEvent{at: p.now, what: eventCaller, run: worker.RunID{Task: name}, detail: text})
	}
	p.repeatRefused = d.has(repeatedRefusals)
	if d.has(configChanges) {
		p.queue, p.queues, p.route = pathQueue{service: svc}, map[ids.Incarnation]pathQueue{}, p.routeByQueue
	}
	p.link.jitter = 2 * time.Millisecond
	for range figures.size.entries {
		p.addEntry()
	}
	for n := range figures.size.workers {
		p.addNode(n)
	}
	p.propagate()
	return p
}

// addEntry adds an entry with a clock of its own.
func (p *pathSimulation) addEntry() {
	p.batchSimulation.addEntry().core.clock = p.drawClock()
}

func (p *pathSimulation) drawUpTo(d time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(d) + 1))
}

func (p *pathSimulation) drawBetween(low, high time.Duration) time.Duration {
	return low + p.drawUpTo(high-low)
}

// drawRunTime returns how long a task runs on a worker, and whether it ends by itself.
func (p *pathSimulation) drawRunTime(w *workerLife, task string) (d time.Duration, ends bool) {
	if p.rng.Float64() < p.hangShare {
		return 0, false
	}
	return time.Duration(float64(p.taskWork[task]) * w.node.slowness), true
}

// runBegan records a run and checks that no other run of its task is in progress.
func (p *pathSimulation) runBegan(r *workerRun) {
	p.runCount++
	p.trace.add(pathEvent{at: p.now, what: "run begins", run: r.id, node: r.life.node, detail: r.life.id})
	for _, other := range p.active[r.id.Task] {
		p.overlaps = append(p.overlaps, overlap{p.now, other, r})
	}
	p.active[r.id.Task] = append(p.active[r.id.Task], r)
}

func (p *pathSimulation) runEnded(r *workerRun, how worker.EndKind) {
	p.trace.add(pathEvent{at: p.now, what: "run ends", run: r.id, node: r.life.node, detail: string(how)})
	p.active[r.id.Task] = slices.DeleteFunc(p.active[r.id.Task], func(o *workerRun) bool { return o == r })
}

// liveEntries returns the entries that run or are frozen.
func (p *pathSimulation) liveEntries() []*entryProc {
	return slices.DeleteFunc(slices.Clone(p.entries), func(e *entryProc) bool { return !e.alive })
}

// propagate delivers the members to all processes, each after a random delay.
func (p *pathSimulation) propagate() {
	at, rows := p.logIndex, slices.Clone(p.members)
	for _, e := range p.liveEntries() {
		if p.deaf[e.incarnation] {
			continue
		}
		p.after(p.drawUpTo(viewDelay), func() { e.receive(callerSource, func() { p.applyEntryView(e, at, rows) }) })
	}
	for _, a := range p.agents {
		if p.deaf[a.incarnation] {
			continue
		}
		p.after(p.drawUpTo(viewDelay), func() {
			a.receive(workerSource, func() {
				a.core.SetEntries(p.now, at, rows)
				p.tickAgent(a)
			})
		})
	}
}

// viewDelay bounds how long a process takes to learn of a change of the members.
const viewDelay = 50 * time.Millisecond

func (p *pathSimulation) applyEntryView(e *entryProc, at ids.Version, rows []wire.Member) {
	if !e.alive || at < p.viewVersions[e.incarnation] {
		return
	}
	p.viewVersions[e.incarnation] = at
	e.core.SetUpstreams(p.now, rows)
	p.tickEntry(e)
	p.dropUnlisted(e, rows)
	for _, a := range p.agents {
		p.dial(e, a)
	}
}

// loadPath schedules batches of a few tasks at random times.
func (p *pathSimulation) loadPath(from, until time.Duration) {
	n := 0
	for t := from; t < until; t += p.drawUpTo(2 * meanBatchInterval) {
		n++
		name := fmt.Sprint("b", n)
		runTime := []time.Duration{60, 200, 300, 400}[p.rng.IntN(4)] * time.Millisecond
		tasks := 1 + p.rng.IntN(p.figures.size.maxTasks)
		p.at(t, func() { p.submitBatch(name, p.randomLiveEntry(), tasks, runTime, maxRepeats) })
	}
}

const (
	meanBatchInterval = 100 * time.Millisecond
	maxRepeats        = 3
)
