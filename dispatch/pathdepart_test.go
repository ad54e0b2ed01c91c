package dispatch_test

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

const (
	// Planned stops: how long a process may take, and when it is killed after that.
	minDrain   = 300 * time.Millisecond
	maxDrain   = 4 * time.Second
	killMargin = 500 * time.Millisecond
	// refuseBefore is the time before the end of a drain from which an entry refuses batches.
	refuseBefore = time.Second
	// answerMargin is the time before the end of a drain by which batches are answered.
	answerMargin = 100 * time.Millisecond
	drainPoll    = 10 * time.Millisecond
	// shortNotice is the time from the announcement that a worker drains until it is gone.
	shortNotice = 2 * time.Second
)

// departure is what a draining entry observes. The zero value is that of one that serves.
type departure struct {
	planned  bool
	refusing bool
	cutoff   time.Duration // latest time for the answer of a batch, zero for no bound
}

// capDeadline returns the deadline of a batch that the entry accepts.
func (d departure) capDeadline(deadline time.Duration) time.Duration {
	if d.cutoff == 0 {
		return deadline
	}
	return min(deadline, d.cutoff)
}

// stopAsPlanned drains an entry, an agent, or a worker that leaves at short notice.
func (p *pathSimulation) stopAsPlanned() {
	switch p.rng.IntN(3) {
	case 0:
		p.drainEntry(p.randomLiveEntry())
	case 1:
		for _, n := range p.randomNodes() {
			p.drainAgent(n, p.drawBetween(minDrain, maxDrain))
		}
	default:
		p.leaveAtShortNotice(p.randomNode())
	}
}

// drainEntry stops an entry: it accepts batches for a while, refuses them, answers those
// that it has and leaves. It is closed at the end of its time, and killed if it can't be.
func (p *pathSimulation) drainEntry(e *entryProc) {
	if !e.alive || e.leaving.planned || len(p.liveEntries()) < 2 {
		return
	}
	total := p.drawBetween(minDrain, maxDrain)
	p.traceDisruption("entry %d drains for at most %v", e.incarnation, total)
	end := p.now + total
	e.leaving.planned = true
	e.receive(workerSource, func() {
		e.leaving.cutoff = end - answerMargin
		p.at(end-refuseBefore, func() { e.receive(workerSource, func() { e.leaving.refusing = true; p.awaitDrained(e, end) }) })
	})
	p.at(end+killMargin, func() { p.killEntry(e) })
}

// awaitDrained lets an entry leave once it has no batch any more or its time is over.
func (p *pathSimulation) awaitDrained(e *entryProc, end time.Duration) {
	if !e.alive {
		return
	}
	open := false
	for _, w := range p.sortedWaitingBatches() {
		open = open || w.entry == e
	}
	if !e.frozen && (!open || p.now >= end) && len(p.liveEntries()) > 1 {
		p.traceDisruption("entry %d leaves", e.incarnation)
		p.expire(e.incarnation)
		p.killEntry(e)
		return
	}
	p.after(drainPoll, func() { p.awaitDrained(e, end) })
}

// refuseLeaving answers a batch that has reached an entry which refuses work.
func (b *batchSimulation) refuseLeaving(e *entryProc, w *pendingBatch) bool {
	if e.leaving.refusing {
		w.answer(verdict.Refuse(verdict.Draining, "the entry is leaving"))
	}
	return e.leaving.refusing
}

// drainAgent stops an agent: it refuses tasks, waits for those that it runs and for the
// acknowledgements of their answers, and leaves. It is closed at the end of its time, with
// tasks still running, and another one is there a while later.
func (p *pathSimulation) drainAgent(n *workerNode, total time.Duration) {
	a := n.agent
	if a == nil || a.draining {
		return
	}
	p.traceDisruption("agent %d (node %d) drains for at most %v", a.incarnation, n.number, total)
	end := p.now + total
	a.draining = true
	a.receive(workerSource, func() {
		p.markDraining(a.incarnation)
		a.core.Drain(p.now)
		p.tickAgent(a)
		p.awaitAgentDrained(n, a, end)
	})
	p.at(end+killMargin, func() { p.endDrainedAgent(n, a) })
}

// markDraining records in the control log that a member drains.
func (p *pathSimulation) markDraining(inc ids.Incarnation) {
	p.logIndex++
	for i := range p.members {
		if p.members[i].Incarnation == inc {
			p.members[i].Draining = true
		}
	}
	p.propagate()
}

func (p *pathSimulation) awaitAgentDrained(n *workerNode, a *agentProc, end time.Duration) {
	switch {
	case n.agent != a:
	case !a.frozen && (a.core.Idle() || p.now >= end):
		p.expire(a.incarnation)
		p.endDrainedAgent(n, a)
	default:
		p.after(drainPoll, func() { p.awaitAgentDrained(n, a, end) })
	}
}

func (p *pathSimulation) endDrainedAgent(n *workerNode, a *agentProc) {
	if n.agent != a {
		return
	}
	p.traceDisruption("agent %d (node %d) is closed after its drain", a.incarnation, n.number)
	n.closeAgent()
	if !n.leaving {
		n.heartbeat(p.drawUpTo(time.Second))
	}
}

// leaveAtShortNotice makes a worker announce that it drains, and end 2 s later with all that
// runs on it. Another worker takes its place.
func (p *pathSimulation) leaveAtShortNotice(n *workerNode) {
	w := n.life
	if !w.up || n.leaving {
		return
	}
	p.traceDisruption("worker %s leaves in %v", w.id, shortNotice)
	n.leaving = true
	p.after(p.drawUpTo(maxHeartbeatDelay), func() { p.drainAgent(n, shortNotice) })
	p.after(shortNotice, func() {
		n.leaving = false
		if n.life != w || !w.up {
			n.heartbeat(0) // another one has taken its place already
			return
		}
		p.crashWorker(n, false)
		n.closeAgent()
	})
}
