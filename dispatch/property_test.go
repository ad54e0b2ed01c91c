package dispatch_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

var simulationSeeds = flag.Uint64("worlds", 60, "number of seeds of TestInvariantsUnderFaults")

// TestInvariantsUnderFaults runs entries and agents over a link that loses, duplicates and
// reorders messages, with crashes, frozen entries and partitions. It guards against a task
// that starts twice, an agent that exceeds its slots, an answer that is repeated, partial
// or that of another task, a not-run verdict for work that ran, and jobs that never end.
func TestInvariantsUnderFaults(t *testing.T) {
	for seed := range *simulationSeeds {
		runFaultSimulation(t, seed+1)
	}
}

const (
	faultPeriod  = 40 * time.Second
	settlePeriod = 80 * time.Second // longer than any deadline and lease
	jobDeadline  = 20 * time.Second
)

func runFaultSimulation(t *testing.T, seed uint64) {
	sim := newSimulation(seed, 3, 5, 3)
	sim.link = link{delay: millis, jitter: 30 * millis, loss: 0.03, duplicate: 0.03}
	sim.runTime = func(*agentProc, wire.Start) time.Duration {
		return time.Duration(10+sim.rng.ExpFloat64()*100) * millis
	}
	sim.status = func(*agentProc, wire.Start) int {
		if sim.rng.Float64() < 0.002 {
			return 500
		}
		return 200
	}
	sim.runUntil(millis)
	sim.scheduleLoad()
	sim.scheduleFaults()
	sim.runUntil(faultPeriod + settlePeriod)
	sim.checkNotRunOutcomes()
	for id, r := range sim.jobs {
		if r.open && r.owner.alive {
			sim.reportViolation("job %d of epoch %d never ended", id, r.spec.Epoch)
		}
	}
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: %d violations, first: %s", seed, len(sim.violations), sim.violations[0])
	}
}

// scheduleLoad schedules jobs, some of which are canceled, and single requests at random
// entries.
func (sim *simulation) scheduleLoad() {
	for at := time.Duration(0); at < faultPeriod; at += time.Duration(sim.rng.ExpFloat64() * float64(22*millis)) {
		sim.at(at, func() {
			e := sim.entries[sim.rng.IntN(len(sim.entries))]
			if !e.alive {
				return
			}
			switch sim.rng.IntN(4) {
			case 0:
				id := sim.submitJob(e, teamA, 1+sim.rng.IntN(12), jobDeadline)
				if id != 0 && sim.rng.IntN(6) == 0 {
					sim.after(time.Duration(sim.rng.IntN(300))*millis, func() {
						e.core.Cancel(sim.now, id)
						sim.tickEntry(e)
					})
				}
			case 1:
				sim.sendRequest(e, teamB, true, jobDeadline)
			default:
				sim.sendRequest(e, teamB, false, jobDeadline)
			}
		})
	}
}

// scheduleFaults schedules crashes of agents and entries, entries that are frozen past
// their expiry, lost connections and drained agents.
func (sim *simulation) scheduleFaults() {
	for at := 2 * time.Second; at < faultPeriod; at += time.Duration((1 + sim.rng.ExpFloat64()) * float64(time.Second)) {
		sim.at(at, func() {
			a := sim.agents[sim.rng.IntN(len(sim.agents))]
			e := sim.entries[sim.rng.IntN(len(sim.entries))]
			switch sim.rng.IntN(8) {
			case 0:
				sim.crashAgent(a)
			case 1:
				sim.crashEntry(e)
			case 2:
				sim.freezeEntry(e)
			case 3:
				sim.drainAgent(a)
			default:
				sim.cutConnection(e, a, time.Duration(sim.rng.IntN(4000))*millis)
			}
		})
	}
}

// cutConnection breaks a connection for the given time. Messages in flight still arrive,
// as from the buffers of the former connection.
func (sim *simulation) cutConnection(e *entryProc, a *agentProc, d time.Duration) {
	sim.disconnect(e, a)
	sim.after(d, func() { sim.connect(e, a) })
}

// crashAgent crashes an agent. Its record expires 6 s later, and a successor registers.
func (sim *simulation) crashAgent(a *agentProc) {
	if !a.alive {
		return
	}
	a.alive = false
	for _, e := range sim.entries {
		e.core.Disconnected(sim.now, a.incarnation)
		sim.tickEntry(e)
	}
	sim.after(6*time.Second, func() {
		sim.expireMember(a.incarnation)
		sim.addAgent(a.node)
		sim.propagateMembers(2 * time.Second)
	})
}

// drainAgent drains an agent, and stops it after 3 s if it is idle.
func (sim *simulation) drainAgent(a *agentProc) {
	if !a.alive {
		return
	}
	a.core.Drain(sim.now)
	sim.tickAgent(a)
	sim.after(3*time.Second, func() {
		if a.alive && a.core.Idle() {
			sim.crashAgent(a)
		}
	})
}

// crashEntry crashes an entry. Another one takes over its jobs 5 s later.
func (sim *simulation) crashEntry(e *entryProc) {
	if !e.alive || sim.aliveEntries() < 2 {
		return
	}
	e.alive = false
	for _, a := range sim.agents {
		a.core.Disconnected(sim.now, e.incarnation)
		sim.tickAgent(a)
	}
	sim.after(5*time.Second, func() { sim.takeOver(e) })
}

// freezeEntry cuts an entry off from the control group. The entry goes on sending, first
// with a stale view and then expired, until it learns of its expiry.
func (sim *simulation) freezeEntry(e *entryProc) {
	if !e.alive || sim.aliveEntries() < 2 {
		return
	}
	sim.after(3*time.Second, func() { e.core.SetCurrent(false) })
	sim.after(5*time.Second, func() { sim.takeOver(e) })
	sim.after(20*time.Second, func() { e.alive = false })
}

func (sim *simulation) aliveEntries() int {
	n := 0
	for _, m := range sim.members {
		if m.Kind == wire.KindEntry && m.Live() && sim.findEntry(m.Incarnation).alive {
			n++
		}
	}
	return n
}

// takeOver expires an entry, registers a successor and assigns the jobs to a live entry.
// Some callers submit their jobs again, which supplies the task bodies.
func (sim *simulation) takeOver(old *entryProc) {
	sim.expireMember(old.incarnation)
	sim.addEntry()
	var newOwner *entryProc
	for _, e := range sim.entries {
		if e.alive && e != old && sim.isLive(e) {
			newOwner = e
		}
	}
	for id := range sim.logIndex {
		r := sim.jobs[ids.Job(id)]
		if r == nil || !r.open || r.owner != old {
			continue
		}
		sim.logIndex++
		r.owner = newOwner
		r.spec.Epoch++
		sim.after(time.Duration(sim.rng.IntN(1500))*millis, func() { sim.assignJob(newOwner, r) })
	}
	sim.propagateMembers(2 * time.Second)
}

func (sim *simulation) isLive(e *entryProc) bool {
	for _, m := range sim.members {
		if m.Incarnation == e.incarnation {
			return m.Live()
		}
	}
	return false
}

// assignJob submits a job to its new owner without the task bodies. In two of three cases
// the bodies follow later.
func (sim *simulation) assignJob(e *entryProc, r *jobRecord) {
	if !e.alive || r.owner != e {
		return
	}
	e.core.SetUpstreams(sim.now, sim.members)
	job := r.spec
	job.Takeover, job.Specs = true, nil
	e.core.Submit(sim.now, job)
	sim.tickEntry(e)
	if sim.rng.IntN(3) == 0 {
		return
	}
	sim.after(time.Duration(sim.rng.IntN(3000))*millis, func() {
		if e.alive {
			e.core.Bodies(sim.now, job.ID, emptySpecs(job.Tasks))
			sim.tickEntry(e)
		}
	})
}

// TestSimulationIsDeterministic guards against output that depends on the iteration order
// of a map: two runs with the same seed must agree.
func TestSimulationIsDeterministic(t *testing.T) {
	trace := func() (sum uint64) {
		sim := newSimulation(7, 2, 5, 3)
		sim.link.jitter = 20 * millis
		sim.onOutcome = func(e *entryProc, o dispatch.Outcome) {
			sum = sum*31 + uint64(sim.now) + uint64(o.Job) + uint64(len(o.Results))
		}
		sim.runUntil(millis)
		sim.scheduleLoad()
		sim.scheduleFaults()
		sim.runUntil(faultPeriod)
		for _, e := range sim.entries {
			m := e.core.Messages()
			sum = sum*31 + m.Sent() + m.Wasted()*math.MaxUint32
		}
		return sum
	}
	if a, b := trace(), trace(); a != b {
		t.Fatalf("two runs with the same seed differ: %x and %x", a, b)
	}
}
