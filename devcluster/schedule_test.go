//go:build linux

package devcluster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/faultnet"
	"github.com/baobabshore/baobabshore/ids"
)

type disruptionKind int

const (
	silenceConnections disruptionKind = iota
	resetConnections
	disruptLeader
	disruptProcess
)

// disruption is one disruption of a schedule.
type disruption struct {
	id    int // unique in its step
	kind  disruptionKind
	at    time.Duration // since the start of its step
	nodes []ids.Node    // whose relay or process is hit; without a leader, nodes[0] is in its place

	// For silenceConnections: the connections that are hit are drawn from the seed.
	direction faultnet.Direction
	share     float64
	seed      uint64

	outage outage // for disruptLeader and disruptProcess
}

// outage is the time for which a process is killed or frozen.
type outage struct {
	id      int // of its disruption
	kill    bool
	length  time.Duration
	lasting bool // until the next step starts, after the check of this one
}

func (o outage) verb() string {
	if o.kill {
		return "kill"
	}
	return "freeze"
}

// step is a series of disruptions that may overlap.
type step []disruption

// event is the start of a disruption or the end of its outage.
type event struct {
	disruption
	at  time.Duration // since the start of the step
	end bool
}

// events returns the events of a step in the order of their times.
func (s step) events() []event {
	var events []event
	for _, x := range s {
		events = append(events, event{disruption: x, at: x.at})
		if x.outage.length > 0 {
			events = append(events, event{disruption: x, at: x.at + x.outage.length, end: true})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// scheduleDrawer draws schedules.
type scheduleDrawer struct {
	rng   *rand.Rand
	nodes []ids.Node // control nodes first
}

// drawSchedule draws rounds of some changes of the leader, after which more pairs of
// control nodes hold connections, and a series of disruptions.
func drawSchedule(rng *rand.Rand, nodes []ids.Node, rounds int) []step {
	d := scheduleDrawer{rng, nodes}
	var steps []step
	for range rounds {
		for range 1 + rng.IntN(3) {
			steps = append(steps, step{d.leaderDisruption(0, 0)})
		}
		steps = append(steps, d.series())
	}
	last := steps[len(steps)-1]
	for i := range last {
		last[i].outage.lasting = false // so that the last check covers all processes
	}
	return steps
}

// series draws disruptions that start with silent connections. At most one process is away
// during the check of the step, so that the control group has its quorum.
func (d scheduleDrawer) series() step {
	const maxStart = 2 * time.Second
	s := step{d.silence(0, 0)}
	lasting := false
	for id := 1; id < 3+d.rng.IntN(4); id++ {
		at := d.duration(0, maxStart)
		switch n := d.rng.IntN(10); {
		case n < 4:
			s = append(s, d.silence(id, at))
		case n < 5:
			s = append(s, disruption{id: id, kind: resetConnections, at: at, nodes: d.targets()})
		case n < 7:
			s = append(s, d.leaderDisruption(id, at))
		default:
			x := disruption{id: id, kind: disruptProcess, at: at, nodes: []ids.Node{d.anyOf(d.nodes[testControls:])}}
			x.outage = d.outage(id, d.duration(200*time.Millisecond, 4*time.Second))
			x.outage.lasting = !lasting && d.rng.IntN(3) == 0
			lasting = lasting || x.outage.lasting
			s = append(s, x)
		}
	}
	return s
}

func (d scheduleDrawer) silence(id int, at time.Duration) disruption {
	x := disruption{id: id, kind: silenceConnections, at: at, nodes: d.targets(), seed: d.rng.Uint64()}
	x.direction, x.share = faultnet.Direction(1+d.rng.IntN(3)), 0.5+d.rng.Float64()/2
	return x
}

// leaderDisruption draws an outage of the leader that is long enough for an election. A
// frozen leader keeps its connections, a killed one doesn't.
func (d scheduleDrawer) leaderDisruption(id int, at time.Duration) disruption {
	x := disruption{id: id, kind: disruptLeader, at: at, nodes: []ids.Node{d.anyOf(d.nodes[:testControls])}}
	x.outage = d.outage(id, d.duration(800*time.Millisecond, 1500*time.Millisecond))
	return x
}

func (d scheduleDrawer) outage(id int, length time.Duration) outage {
	return outage{id: id, kill: d.rng.IntN(2) == 0, length: length}
}

// targets draws one node, all control nodes, some nodes or all.
func (d scheduleDrawer) targets() []ids.Node {
	switch d.rng.IntN(4) {
	case 0:
		return []ids.Node{d.anyOf(d.nodes)}
	case 1:
		return d.nodes[:testControls]
	case 2:
		some := []ids.Node{d.anyOf(d.nodes)}
		for _, node := range d.nodes {
			if node != some[0] && d.rng.IntN(2) == 0 {
				some = append(some, node)
			}
		}
		return some
	default:
		return d.nodes
	}
}

func (d scheduleDrawer) anyOf(nodes []ids.Node) ids.Node { return nodes[d.rng.IntN(len(nodes))] }

func (d scheduleDrawer) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(d.rng.Int64N(int64(most-least)))
}
