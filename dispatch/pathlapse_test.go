package dispatch_test

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxUnawareOfEnd bounds the time from the end of a registration until its process, which
	// can't reach the control group, learns of it.
	maxUnawareOfEnd = 2 * time.Second
	maxRegisterWait = 300 * time.Millisecond
)

// lapseRegistrations cuts entries, agents or both off from the control group until their
// leases have ended there. They go on, with the members that they know, until they reach it
// again. Then the same processes register anew.
func (p *pathSimulation) lapseRegistrations() {
	which := p.rng.IntN(3)
	if which != 0 {
		for _, e := range p.randomEntries() {
			p.lapse(e.incarnation, func() { p.registerEntryAgain(e) })
		}
	}
	if which != 1 {
		for _, n := range p.randomNodes() {
			if a := n.agent; a != nil {
				p.lapse(a.incarnation, func() { p.registerAgentAgain(n, a) })
			}
		}
	}
}

// lapse cuts a process off from the control group, ends its registration there, and calls
// learn when it reaches the control group again.
func (p *pathSimulation) lapse(inc ids.Incarnation, learn func()) {
	if p.deaf[inc] {
		return
	}
	p.deaf[inc] = true
	p.traceDisruption("member %d is cut off from the control group", inc)
	p.after(p.drawUpTo(700*millis), func() {
		p.traceDisruption("the registration of member %d has ended", inc)
		p.expire(inc)
		p.after(p.drawUpTo(maxUnawareOfEnd), learn)
	})
}

// registerEntryAgain ends an incarnation of an entry, whose callers have an error, and
// registers the next one.
func (p *pathSimulation) registerEntryAgain(e *entryProc) {
	e.receive(workerSource, func() {
		if !e.alive {
			return
		}
		p.traceDisruption("entry %d registers again", e.incarnation)
		p.endEntry(e)
		p.addEntry()
		p.after(p.drawBetween(maxRegisterWait/10, maxRegisterWait), p.propagate)
	})
}

// registerAgentAgain makes an agent serve the entries that it knows until the runs that it
// has have ended, as the product does, and registers its next incarnation then.
func (p *pathSimulation) registerAgentAgain(n *workerNode, a *agentProc) {
	if n.agent != a {
		return
	}
	if a.frozen || a.core.Stats().Running > 0 {
		p.after(drainPoll, func() { p.registerAgentAgain(n, a) })
		return
	}
	p.traceDisruption("agent %d (node %d) registers again", a.incarnation, n.number)
	n.startAgent(a.runner.(*pathRunner).served, firstClock) // the clock of its first announcement
}

// dropUnlisted closes an entry's connections to agents whose registrations have ended, as
// an entry does that has learned of it.
func (p *pathSimulation) dropUnlisted(e *entryProc, rows []wire.Member) {
	if !p.disruptions.has(lapsedRegistrations) {
		return
	}
	for _, m := range rows {
		a := p.findAgent(m.Incarnation)
		if m.Live() || a == nil || !a.alive {
			continue
		}
		l := p.linkOf(e.incarnation, a.incarnation)
		p.breakLink(l, &l.toAgent, func() {
			a.receive(firstConnSource+source(e.incarnation), func() {
				a.core.Disconnected(p.now, e.incarnation)
				p.tickAgent(a)
			})
		})
	}
}

// expiredAt returns the version at which a registration has ended, zero if it hasn't.
func (p *pathSimulation) expiredAt(inc ids.Incarnation) ids.Version {
	for _, m := range p.members {
		if m.Incarnation == inc {
			return m.Expired
		}
	}
	return 0
}
