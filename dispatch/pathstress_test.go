package dispatch_test

import "time"

const (
	minSlowness = 100 * time.Millisecond
	maxSlowness = 700 * time.Millisecond
	// maxResetNotice bounds how long an end of a connection that is reset doesn't learn of it.
	maxResetNotice = 100 * time.Millisecond
)

// slowProcesses makes entries, agents or both stand still again and again, as processes
// without processor time do.
func (p *pathSimulation) slowProcesses() {
	until := p.now + p.drawBetween(300*millis, 2*time.Second)
	which := p.rng.IntN(3)
	if which != 0 {
		for _, e := range p.randomEntries() {
			p.suspendRepeatedly(until, func(d time.Duration) { p.suspendEntry(e, d, false) })
		}
	}
	if which != 1 {
		for _, n := range p.randomNodes() {
			p.suspendRepeatedly(until, func(d time.Duration) { p.freezeAgent(n, d) })
		}
	}
}

// suspendRepeatedly freezes a process for 20 to 300 ms at a time, with a few milliseconds
// between.
func (p *pathSimulation) suspendRepeatedly(until time.Duration, freeze func(time.Duration)) {
	if p.now >= until {
		return
	}
	d := p.drawBetween(20*millis, 300*millis)
	freeze(d)
	p.after(d+p.drawBetween(millis, 15*millis), func() { p.suspendRepeatedly(until, freeze) })
}

// randomEntries returns one, or all, of the entries that run or are frozen.
func (p *pathSimulation) randomEntries() []*entryProc {
	if p.rng.IntN(2) == 0 {
		return []*entryProc{p.randomLiveEntry()}
	}
	return p.liveEntries()
}

// randomLinks returns links between live entries and agents: all those of some entries
// with some agents.
func (p *pathSimulation) randomLinks() []linkID {
	var links []linkID
	nodes := p.randomNodes()
	for _, e := range p.randomEntries() {
		for _, n := range nodes {
			if n.agent != nil {
				links = append(links, linkID{e.incarnation, n.agent.incarnation})
			}
		}
	}
	return links
}

// slowLinks makes messages take longer, on each link in one direction or both.
func (p *pathSimulation) slowLinks() {
	until := p.now + p.drawBetween(200*millis, 1500*millis)
	for _, id := range p.randomLinks() {
		l, direction := p.linkOf(id.entry, id.agent), p.rng.IntN(cutDirections)
		p.traceDisruption("messages between entry %d and agent %d are slow, direction %d, until %v", id.entry, id.agent, direction, until)
		if direction != cutAsSender {
			l.toAgent.slowDown(until, p.drawBetween(minSlowness, maxSlowness))
		}
		if direction != cutAsReceiver {
			l.toEntry.slowDown(until, p.drawBetween(minSlowness, maxSlowness))
		}
	}
}

func (d *pathDirection) slowDown(until, by time.Duration) { d.slowUntil, d.slowBy = until, by }

// resetLinks resets connections, at once or one after the other.
func (p *pathSimulation) resetLinks() {
	apart := []time.Duration{0, 300 * millis}[p.rng.IntN(2)]
	for _, id := range p.randomLinks() {
		p.after(p.drawUpTo(apart), func() { p.resetLink(id) })
	}
}

// resetLink resets the connection between an entry and an agent that both run on. Each
// learns of it after a while, and loses what has not arrived by then. The entry connects
// again, possibly before the agent has learned of the end of the former connection.
func (p *pathSimulation) resetLink(id linkID) {
	l, e, a := p.linkOf(id.entry, id.agent), p.findEntry(id.entry), p.findAgent(id.agent)
	if !l.open || !e.alive || !a.alive {
		return
	}
	p.traceDisruption("the connection between entry %d and agent %d is reset", id.entry, id.agent)
	l.open, l.toAgent.held, l.toEntry.held = false, nil, nil
	p.learnOfReset(l, &l.toAgent, func() {
		a.receive(firstConnSource+source(id.entry), func() {
			a.core.Disconnected(p.now, id.entry)
			p.tickAgent(a)
		})
	})
	p.learnOfReset(l, &l.toEntry, func() {
		e.receive(firstConnSource+source(id.agent), func() {
			e.core.Disconnected(p.now, id.agent)
			p.tickEntry(e)
			p.after(p.drawUpTo(maxRedial), func() { p.dial(e, a) })
		})
	})
}

// learnOfReset calls learn after a while, unless there is a new connection by then.
func (p *pathSimulation) learnOfReset(l *pathLink, d *pathDirection, learn func()) {
	generation := l.generation
	p.after([]time.Duration{p.link.delay, p.drawUpTo(maxResetNotice)}[p.rng.IntN(2)], func() {
		if l.generation == generation {
			d.lostBefore = generation + 1
			learn()
		}
	})
}

// open begins a new connection. What slows messages down goes on.
func (p *pathSimulation) open(l *pathLink) {
	before := *l
	*l = pathLink{open: true, generation: before.generation + 1}
	l.toAgent.slowDown(before.toAgent.slowUntil, before.toAgent.slowBy)
	l.toEntry.slowDown(before.toEntry.slowUntil, before.toEntry.slowBy)
}

func (p *pathSimulation) slowDown(n *workerNode) {
	p.traceDisruption("worker %s is slow", n.life.id)
	before := n.slowness
	n.slowness *= 8
	p.after(p.drawBetween(500*millis, 2*time.Second), func() { n.slowness = before })
}
