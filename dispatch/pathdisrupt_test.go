package dispatch_test

import (
	"fmt"
	"slices"
	"time"
)

// disruptionSet says which disruptions a simulation draws.
type disruptionSet uint64

const (
	killedEntries         disruptionSet = 1 << iota // their connections are reset
	frozenEntries                                   // for up to a few seconds
	cutEntries                                      // silently, from some or all agents, and then killed
	frozenAgents                                    // for up to a few seconds
	killedAgents                                    // and back at once
	cutAgents                                       // from entries, one way or both ways
	crashedWorkers                                  // and back under a new id
	rebornWorkers                                   // crashed and back under the same id
	lateCalls                                       // requests to workers executed seconds late, with their Until as it is
	lateGrants                                      // the same, with the time that they grant counted from their arrival
	lostCalls                                       // requests to workers or their replies are lost or slow
	failingStops                                    // for seconds, while renewals get through
	hangingTasks                                    // tasks that don't end by themselves
	slowWorkers                                     // by a factor
	resetCallers                                    // connections of callers to an entry that runs on
	agentsFrozenAtStarts                            // each at the moment at which it decides to start a task
	agentsFrozenAfterCuts                           // an entry is cut off and loses its callers, and agents freeze before its leases expire
	callsOfFrozenEntries                            // requests of callers wait at a frozen entry and are read after the freeze
	// lateGrantsBesideFailingStops are late grants at a worker that executes no stops. Only
	// a higher fencing token can prevent what they start or prolong.
	lateGrantsBesideFailingStops
	// lateGrantsAtUnreached are late grants at a worker that no agent reaches when they are
	// executed. No dispatcher can prevent what they start or prolong.
	lateGrantsAtUnreached
	// lostAnswers are resets of the callers of an entry beside agents that stand still and
	// workers that leave stops unanswered.
	lostAnswers
	// agentsFrozenAtRequests freeze agents that have decided to request a start and have not
	// sent the request yet.
	agentsFrozenAtRequests
	// agentsFrozenAfterStarts freeze agents just after a request of a start has left.
	agentsFrozenAfterStarts
	// restartsUnnoticed restart workers under their ids while a start is under way to them,
	// and freeze their agents before they learn of it.
	restartsUnnoticed
	// slowProcesses are entries and agents that stand still again and again.
	slowProcesses
	// slowLinks are connections between entries and agents that take longer.
	slowLinks
	// resetLinks are resets of connections between live entries and live agents.
	resetLinks
	// differingClocks give each process a clock of its own, and make the workers' announced
	// starts jump.
	differingClocks
	// plannedStops drain entries and agents, and workers that leave at short notice.
	plannedStops
	// lapsedRegistrations are registrations that end while their processes go on.
	lapsedRegistrations
	// configChanges move the queue to another service, or change its timeout.
	configChanges
	// repeatedRefusals are callers that repeat a batch at once after the answer that it has
	// not run, so that a run of it which begins or goes on after that answer shows.
	repeatedRefusals
	endOfDisruptions

	allDisruptions = lateGrantsAtUnreached - 1
)

func (d disruptionSet) has(o disruptionSet) bool { return d&o != 0 }

// disrupt applies one disruption of the given kind at a random process.
func (p *pathSimulation) disrupt(kind disruptionSet) {
	switch kind {
	case killedEntries:
		p.killEntry(p.randomLiveEntry())
	case frozenEntries:
		p.freezeEntry(p.randomLiveEntry(), p.drawPause(4*time.Second))
	case cutEntries:
		p.cutEntry(p.randomLiveEntry(), p.drawUpTo(700*millis))
	case frozenAgents:
		for _, n := range p.randomNodes() {
			p.freezeAgent(n, p.drawPause(4*time.Second))
		}
	case killedAgents:
		p.killAgent(p.randomNode())
	case cutAgents:
		for _, n := range p.randomNodes() {
			p.cutAgent(n, p.drawPause(3*time.Second))
		}
	case crashedWorkers:
		p.crashWorker(p.randomNode(), false)
	case rebornWorkers:
		p.crashWorker(p.randomNode(), true)
	case lateCalls:
		p.disruptCalls(p.randomNodes(), fateLate)
	case lateGrants:
		p.disruptCalls(p.randomNodes(), fateLateShifted)
	case lostCalls:
		p.disruptCalls(p.randomNodes(), fateLost)
	case failingStops:
		p.failStops(p.randomNodes())
	case slowWorkers:
		p.slowDown(p.randomNode())
	case agentsFrozenAtStarts:
		for _, n := range p.randomNodes() {
			n.freezeAtStart = p.drawPause(4 * time.Second)
		}
	case agentsFrozenAfterCuts:
		p.cutEntryAndFreezeAgents(p.randomLiveEntry())
	case resetCallers:
		p.resetCallersOf(p.randomLiveEntry())
	case lostAnswers:
		p.loseAnswersOf(p.randomLiveEntry())
	case agentsFrozenAtRequests:
		for _, n := range p.randomNodes() {
			n.freezeAtRequest = p.drawPause(4 * time.Second)
		}
	case restartsUnnoticed:
		for _, n := range p.randomNodes() {
			n.freezeAfterStart = p.drawPause(4 * time.Second)
			n.restartAtStart = true
		}
	case agentsFrozenAfterStarts:
		for _, n := range p.randomNodes() {
			n.freezeAfterStart = p.drawPause(4 * time.Second)
		}
	case slowProcesses:
		p.slowProcesses()
	case slowLinks:
		p.slowLinks()
	case resetLinks:
		p.resetLinks()
	case plannedStops:
		p.stopAsPlanned()
	case lapsedRegistrations:
		p.lapseRegistrations()
	case configChanges:
		p.changeConfig()
	}
}

// drawPause draws how long something is frozen or cut off. Half of the pauses are short.
func (p *pathSimulation) drawPause(longest time.Duration) time.Duration {
	const shortest = 200 * time.Millisecond
	if p.rng.IntN(2) == 0 {
		return p.drawBetween(shortest, longest/4)
	}
	return p.drawBetween(shortest, longest)
}

func (p *pathSimulation) randomNode() *workerNode { return p.nodes[p.rng.IntN(len(p.nodes))] }

// randomNodes returns one, half or all of the nodes.
func (p *pathSimulation) randomNodes() []*workerNode {
	first := p.rng.IntN(len(p.nodes))
	count := []int{1, len(p.nodes) / 2, len(p.nodes)}[p.rng.IntN(3)]
	var nodes []*workerNode
	for i := range count {
		nodes = append(nodes, p.nodes[(first+i)%len(p.nodes)])
	}
	return nodes
}

func (p *pathSimulation) traceDisruption(format string, args ...any) {
	p.trace.add(pathEvent{at: p.now, what: eventDisruption, detail: fmt.Sprintf(format, args...)})
}

// killEntry ends an entry. A new one is there a while later.
func (p *pathSimulation) killEntry(e *entryProc) {
	if !e.alive || len(p.liveEntries()) < 2 {
		return
	}
	p.traceDisruption("entry %d is killed", e.incarnation)
	p.endEntry(e)
	p.after(entryLease, func() { p.expire(e.incarnation) })
	p.after(p.drawBetween(500*millis, 1500*millis), func() {
		p.addEntry()
		p.propagate()
	})
}

// endEntry ends an incarnation of an entry. Its callers lose their answers.
func (p *pathSimulation) endEntry(e *entryProc) {
	e.alive, e.frozen, e.inbox = false, false, nil
	p.loseCallers(e)
	for _, a := range p.agents {
		l := p.linkOf(e.incarnation, a.incarnation)
		p.breakLink(l, &l.toAgent, func() {
			a.receive(firstConnSource+source(e.incarnation), func() {
				a.core.Disconnected(p.now, e.incarnation)
				p.tickAgent(a)
			})
		})
	}
}

func (p *pathSimulation) freezeEntry(e *entryProc, d time.Duration) {
	p.suspendEntry(e, d, !p.disruptions.has(callsOfFrozenEntries))
}

// suspendEntry freezes an entry. If dropCalls is set, the requests of callers that wait at
// it are lost.
func (p *pathSimulation) suspendEntry(e *entryProc, d time.Duration, dropCalls bool) {
	if e.frozen || !e.alive {
		return
	}
	p.traceDisruption("entry %d is frozen for %v", e.incarnation, d)
	e.frozen = true
	p.after(d, func() {
		if !e.frozen {
			return
		}
		p.traceDisruption("entry %d thaws", e.incarnation)
		if dropCalls {
			e.dropFrom(callerSource)
		}
		if d > p.figures.leases.Notice {
			p.cancelForGoneCallers(e)
		}
		e.thaw(p.rng, func() { p.tickEntry(e) })
	})
}

// cancelForGoneCallers does what an entry does before its first tick after a standstill.
func (p *pathSimulation) cancelForGoneCallers(e *entryProc) {
	for _, w := range p.sortedWaitingBatches() {
		if w.entry == e && w.left {
			e.core.CancelRequest(p.now, w.key)
		}
	}
}

// cutEntryAndFreezeAgents cuts an entry off from agents and takes its callers from it.
// Agents freeze before the leases of the entry have expired.
func (p *pathSimulation) cutEntryAndFreezeAgents(e *entryProc) {
	p.cutEntry(e, p.drawUpTo(300*millis))
	for _, n := range p.randomNodes() {
		p.after(p.drawBetween(200*millis, 500*millis), func() { p.freezeAgent(n, p.drawBetween(time.Second, 3*time.Second)) })
	}
}

// cutEntry cuts an entry off from some or all agents, and kills it after the given time.
func (p *pathSimulation) cutEntry(e *entryProc, killAfter time.Duration) {
	share := []float64{0.5, 1}[p.rng.IntN(2)]
	p.traceDisruption("entry %d is cut off from agents (share %v)", e.incarnation, share)
	for _, a := range p.agents {
		if p.rng.Float64() < share {
			l := p.linkOf(e.incarnation, a.incarnation)
			l.toAgent.cuts++
			l.toEntry.cuts++
		}
	}
	p.after(killAfter, func() { p.killEntry(e) })
}

func (p *pathSimulation) freezeAgent(n *workerNode, d time.Duration) {
	a := n.agent
	if a == nil || a.frozen {
		return
	}
	p.traceDisruption("agent %d (node %d) is frozen for %v", a.incarnation, n.number, d)
	a.frozen = true
	p.after(d, func() {
		if !a.frozen {
			return
		}
		p.traceDisruption("agent %d (node %d) thaws", a.incarnation, n.number)
		n.thawedAt = p.now
		a.thaw(p.rng, func() {
			p.tickAgent(a)
			a.runner.(*pathRunner).tick()
		})
	})
}

// killAgent kills an agent. Its successor registers with the next heartbeat.
func (p *pathSimulation) killAgent(n *workerNode) {
	if n.agent == nil {
		return
	}
	p.traceDisruption("agent %d (node %d) is killed", n.agent.incarnation, n.number)
	n.closeAgent()
	n.heartbeat(p.drawUpTo(maxHeartbeatDelay))
}

// cutAgent cuts an agent off from each entry, in one direction or in both.
func (p *pathSimulation) cutAgent(n *workerNode, d time.Duration) {
	a := n.agent
	if a == nil {
		return
	}
	direction := p.rng.IntN(cutDirections)
	p.traceDisruption("agent %d (node %d) is cut off from entries for %v, %s", a.incarnation, n.number, d,
		[]string{cutBothWays: "both ways", cutAsReceiver: "as receiver", cutAsSender: "as sender"}[direction])
	for _, e := range p.liveEntries() {
		l := p.linkOf(e.incarnation, a.incarnation)
		if direction != cutAsSender {
			p.cutFor(d, &l.toAgent)
		}
		if direction != cutAsReceiver {
			p.cutFor(d, &l.toEntry)
		}
	}
}

// Directions of a cut of an agent.
const (
	cutBothWays = iota
	cutAsReceiver
	cutAsSender
	cutDirections
)

func (p *pathSimulation) cutFor(d time.Duration, direction *pathDirection) {
	direction.cuts++
	p.after(d, func() { p.heal(direction) })
}

// crashWorker crashes a worker. It is back at once or later.
func (p *pathSimulation) crashWorker(n *workerNode, sameID bool) {
	if !n.life.up {
		return
	}
	p.traceDisruption("worker %s crashes", n.life.id)
	id := n.life.id
	n.life.crash()
	away := time.Duration(0)
	if p.rng.IntN(2) == 0 {
		away = p.drawUpTo(2 * time.Second)
	}
	if !sameID {
		id = n.nextID()
	}
	p.after(away, func() {
		n.startLife(id)
		p.traceDisruption("worker %s has started, born %d", id, n.life.born)
		n.heartbeat(p.drawUpTo(maxHeartbeatDelay))
	})
}

// resetCallersOf resets the connections of the callers that wait at an entry.
func (p *pathSimulation) resetCallersOf(e *entryProc) {
	p.traceDisruption("the connections of callers to entry %d are reset", e.incarnation)
	for _, c := range slices.Clone(p.callers) {
		if c.entry == e {
			p.departCaller(c)
		}
	}
}

// loseAnswersOf resets the connections of the callers of an entry. Around that moment agents
// freeze, and later their workers leave stops unanswered. In some cases the entry freezes.
func (p *pathSimulation) loseAnswersOf(e *entryProc) {
	for _, n := range p.randomNodes() {
		p.after(p.drawUpTo(300*millis), func() { p.freezeAgent(n, p.drawBetween(50*millis, 1200*millis)) })
		p.after(p.drawUpTo(700*millis), func() { p.failStops([]*workerNode{n}) })
	}
	if p.rng.IntN(3) == 0 {
		p.after(p.drawUpTo(200*millis), func() { p.freezeEntry(e, p.drawBetween(50*millis, 1200*millis)) })
	}
	p.after(p.drawUpTo(200*millis), func() { p.resetCallersOf(e) })
}
