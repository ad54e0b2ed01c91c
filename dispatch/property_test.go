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

var worldSeeds = flag.Uint64("worlds", 60, "number of seeds of TestWorld")

// TestWorld runs entries against agents over a lossy, duplicating, reordering
// link with crashes, freezes and partitions. It guards against a task that
// starts twice, exceeded slots, a repeated, partial or mixed-up answer, a
// not-run verdict for work that ran, and jobs that never end.
func TestWorld(t *testing.T) {
	for seed := range *worldSeeds {
		runWorld(t, seed+1)
	}
}

const (
	worldLength   = 40 * time.Second
	worldSettle   = 80 * time.Second // longer than any deadline and lease
	worldDeadline = 20 * time.Second
)

func runWorld(t *testing.T, seed uint64) {
	w := newWorld(seed, 3, 5, 3)
	w.link = link{delay: millis, jitter: 30 * millis, loss: 0.03, duplicate: 0.03}
	w.runTime = func(*agentProc, wire.Start) time.Duration {
		return time.Duration(10+w.rng.ExpFloat64()*100) * millis
	}
	w.status = func(*agentProc, wire.Start) int {
		if w.rng.Float64() < 0.002 {
			return 500
		}
		return 200
	}
	w.run(millis)
	w.planLoad()
	w.planFaults()
	w.run(worldLength + worldSettle)
	w.checkNotRun()
	for id, r := range w.jobs {
		if r.open && r.owner.alive {
			w.violate("job %d of epoch %d never ended", id, r.spec.Epoch)
		}
	}
	if len(w.broken) > 0 {
		t.Fatalf("seed %d: %d violations, first: %s", seed, len(w.broken), w.broken[0])
	}
}

// planLoad submits jobs and single requests at random entries.
func (w *world) planLoad() {
	for at := time.Duration(0); at < worldLength; at += time.Duration(w.rng.ExpFloat64() * float64(22*millis)) {
		w.at(at, func() {
			e := w.entries[w.rng.IntN(len(w.entries))]
			if !e.alive {
				return
			}
			switch w.rng.IntN(4) {
			case 0:
				id := w.submit(e, teamA, 1+w.rng.IntN(12), worldDeadline)
				if id != 0 && w.rng.IntN(6) == 0 {
					w.after(time.Duration(w.rng.IntN(300))*millis, func() {
						e.core.Cancel(w.now, id)
						w.tickEntry(e)
					})
				}
			case 1:
				w.request(e, teamB, true, worldDeadline)
			default:
				w.request(e, teamB, false, worldDeadline)
			}
		})
	}
}

// planFaults crashes agents and entries, freezes entries past their expiry,
// cuts connections and drains agents.
func (w *world) planFaults() {
	for at := 2 * time.Second; at < worldLength; at += time.Duration((1 + w.rng.ExpFloat64()) * float64(time.Second)) {
		w.at(at, func() {
			a := w.agents[w.rng.IntN(len(w.agents))]
			e := w.entries[w.rng.IntN(len(w.entries))]
			switch w.rng.IntN(8) {
			case 0:
				w.crashAgent(a)
			case 1:
				w.crashEntry(e)
			case 2:
				w.freezeEntry(e)
			case 3:
				w.drainAgent(a)
			default:
				w.cut(e, a, time.Duration(w.rng.IntN(4000))*millis)
			}
		})
	}
}

// cut breaks a connection for a while. What is under way still arrives, as from
// the buffers of the former connection.
func (w *world) cut(e *entryProc, a *agentProc, d time.Duration) {
	w.disconnect(e, a)
	w.after(d, func() { w.connect(e, a) })
}

// crashAgent ends an agent; its record expires and a successor registers.
func (w *world) crashAgent(a *agentProc) {
	if !a.alive {
		return
	}
	a.alive = false
	for _, e := range w.entries {
		e.core.Disconnected(w.now, a.inc)
		w.tickEntry(e)
	}
	w.after(6*time.Second, func() {
		w.expire(a.inc)
		w.addAgent(a.node)
		w.spreadView(2 * time.Second)
	})
}

// drainAgent stops an agent in an orderly way.
func (w *world) drainAgent(a *agentProc) {
	if !a.alive {
		return
	}
	a.core.Drain(w.now)
	w.tickAgent(a)
	w.after(3*time.Second, func() {
		if a.alive && a.core.Idle() {
			w.crashAgent(a)
		}
	})
}

// crashEntry ends an entry; others take over its jobs.
func (w *world) crashEntry(e *entryProc) {
	if !e.alive || w.aliveEntries() < 2 {
		return
	}
	e.alive = false
	for _, a := range w.agents {
		a.core.Disconnected(w.now, e.inc)
		w.tickAgent(a)
	}
	w.after(5*time.Second, func() { w.takeOver(e) })
}

// freezeEntry cuts an entry off the control group. It goes on sending, first
// stale and then expired, until it learns that it is gone.
func (w *world) freezeEntry(e *entryProc) {
	if !e.alive || w.aliveEntries() < 2 {
		return
	}
	w.after(3*time.Second, func() { e.core.SetCurrent(false) })
	w.after(5*time.Second, func() { w.takeOver(e) })
	w.after(20*time.Second, func() { e.alive = false })
}

func (w *world) aliveEntries() int {
	n := 0
	for _, m := range w.members {
		if m.Kind == wire.KindEntry && m.Live() && w.entry(m.Incarnation).alive {
			n++
		}
	}
	return n
}

// takeOver expires an entry, gives its jobs to another one, and registers a
// successor. Some callers submit their jobs again, which supplies the bodies.
func (w *world) takeOver(old *entryProc) {
	w.expire(old.inc)
	w.addEntry()
	var heir *entryProc
	for _, e := range w.entries {
		if e.alive && e != old && w.live(e) {
			heir = e
		}
	}
	for id := range w.index {
		r := w.jobs[ids.Job(id)]
		if r == nil || !r.open || r.owner != old {
			continue
		}
		w.index++
		r.owner = heir
		r.spec.Epoch++
		w.after(time.Duration(w.rng.IntN(1500))*millis, func() { w.assign(heir, r) })
	}
	w.spreadView(2 * time.Second)
}

func (w *world) live(e *entryProc) bool {
	for _, m := range w.members {
		if m.Incarnation == e.inc {
			return m.Live()
		}
	}
	return false
}

// assign hands a job to its new owner, without bodies.
func (w *world) assign(e *entryProc, r *jobRecord) {
	if !e.alive || r.owner != e {
		return
	}
	e.core.SetUpstreams(w.now, w.members)
	job := r.spec
	job.Takeover, job.Specs = true, nil
	e.core.Submit(w.now, job)
	w.tickEntry(e)
	if w.rng.IntN(3) == 0 {
		return
	}
	w.after(time.Duration(w.rng.IntN(3000))*millis, func() {
		if e.alive {
			e.core.Bodies(w.now, job.ID, bodies(job.Tasks))
			w.tickEntry(e)
		}
	})
}

// TestSameSeedSameRun guards against output that depends on the order
// of a map: two runs with the same seed must agree.
func TestSameSeedSameRun(t *testing.T) {
	trace := func() (sum uint64) {
		w := newWorld(7, 2, 5, 3)
		w.link.jitter = 20 * millis
		w.onEnd = func(e *entryProc, o dispatch.Outcome) {
			sum = sum*31 + uint64(w.now) + uint64(o.Job) + uint64(len(o.Results))
		}
		w.run(millis)
		w.planLoad()
		w.planFaults()
		w.run(worldLength)
		for _, e := range w.entries {
			m := e.core.Messages()
			sum = sum*31 + m.Sent() + m.Wasted()*math.MaxUint32
		}
		return sum
	}
	if a, b := trace(), trace(); a != b {
		t.Fatalf("two runs with the same seed differ: %x and %x", a, b)
	}
}
