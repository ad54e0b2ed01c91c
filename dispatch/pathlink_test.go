package dispatch_test

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
)

// linkID names the connection between an entry and an agent.
type linkID struct{ entry, agent ids.Incarnation }

// pathLink is the connection between an entry and an agent. It keeps the order of the
// messages of each direction. Messages of a direction that is cut wait for its end.
type pathLink struct {
	open       bool
	generation int // of the connection
	toAgent    pathDirection
	toEntry    pathDirection
}

type pathDirection struct {
	cuts        int // in force
	held        []func()
	lastArrival time.Duration
	slowUntil   time.Duration
	slowBy      time.Duration // longest extra time of a message until slowUntil
	lostBefore  int           // messages on earlier connections are lost
}

// latency draws how long a message takes in a direction.
func (p *pathSimulation) latency(d *pathDirection) time.Duration {
	latency := p.link.delay + p.drawUpTo(p.link.jitter)
	if p.now < d.slowUntil {
		latency += p.drawBetween(minSlowness, d.slowBy)
	}
	return latency
}

func (l *pathLink) isCut() bool { return l.toAgent.cuts+l.toEntry.cuts > 0 }

func (p *pathSimulation) linkOf(e, a ids.Incarnation) *pathLink {
	id := linkID{e, a}
	if p.links[id] == nil {
		p.links[id] = &pathLink{}
	}
	return p.links[id]
}

// carryMessage delivers a message between an entry and an agent over their connection.
func (p *pathSimulation) carryMessage(from, to ids.Incarnation, deliver func()) {
	if e := p.findEntry(from); e != nil {
		a := p.findAgent(to)
		l := p.linkOf(from, to)
		p.carryOver(l, &l.toAgent, func() { a.receive(firstConnSource+source(from), deliver) })
		return
	}
	e := p.findEntry(to)
	l := p.linkOf(to, from)
	p.carryOver(l, &l.toEntry, func() { e.receive(firstConnSource+source(from), deliver) })
}

func (p *pathSimulation) carryOver(l *pathLink, d *pathDirection, arrive func()) {
	if !l.open {
		return
	}
	generation := l.generation
	arriveOnce := func() {
		if l.generation == generation && generation >= d.lostBefore {
			arrive()
		}
	}
	if d.cuts > 0 {
		d.held = append(d.held, arriveOnce)
		return
	}
	d.lastArrival = max(d.lastArrival, p.now+p.latency(d))
	p.at(d.lastArrival, arriveOnce)
}

// heal ends a cut. After the last one the messages that waited arrive in order.
func (p *pathSimulation) heal(d *pathDirection) {
	if d.cuts--; d.cuts > 0 {
		return
	}
	held := d.held
	d.held = nil
	for _, arrive := range held {
		d.lastArrival = max(d.lastArrival, p.now+p.latency(d))
		p.at(d.lastArrival, arrive)
	}
}

// maxRedial bounds the pause between two attempts to connect.
const maxRedial = 300 * time.Millisecond

// dial connects an entry to an agent that its view lists, after retries while they can't
// reach each other.
func (p *pathSimulation) dial(e *entryProc, a *agentProc) {
	l := p.linkOf(e.incarnation, a.incarnation)
	view, expired := p.viewVersions[e.incarnation], p.expiredAt(a.incarnation)
	listed := view >= ids.Version(a.incarnation) && (expired == 0 || view < expired)
	if !e.alive || !a.alive || !listed || l.open {
		return
	}
	if l.isCut() || e.frozen || a.frozen {
		p.after(p.drawBetween(maxRedial/6, maxRedial), func() { p.dial(e, a) })
		return
	}
	p.open(l)
	p.connect(e, a)
}

// breakLink ends the connection of a process that has ended. The process at the other
// end learns of it unless the direction to it is cut.
func (p *pathSimulation) breakLink(l *pathLink, d *pathDirection, learn func()) {
	if !l.open {
		return
	}
	if d.cuts == 0 {
		d.lastArrival = max(d.lastArrival, p.now+p.link.delay)
		generation := l.generation
		p.at(d.lastArrival, func() {
			if l.generation == generation {
				l.generation++
				learn()
			}
		})
	}
	l.open = false
	l.toAgent.held, l.toEntry.held = nil, nil
}
