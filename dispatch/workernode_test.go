package dispatch_test

import (
	"fmt"
	"time"

	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// workerNode is a VM with an agent and the worker beside it.
type workerNode struct {
	path       *pathSimulation
	number     int
	slowness   float64
	life       *workerLife
	lives      int
	agent      *agentProc // current registration, nil while there is none
	generation int        // increases when an agent is started or closed
	thawedAt   time.Duration
	faults     callFaults
	// freezeAtStart makes the agent freeze for that long when it next starts a task.
	freezeAtStart time.Duration
	// freezeAtRequest makes the agent freeze for that long before it next sends a start.
	freezeAtRequest time.Duration
	// freezeAfterStart makes the agent freeze for that long after it has next sent a start.
	freezeAfterStart time.Duration
	// restartAtStart makes the worker restart under its id when the agent next sends a start.
	restartAtStart bool
	contact        contact
	leaving        bool // its worker has announced that it ends
}

const (
	maxHeartbeatDelay = 300 * time.Millisecond
	maxRegistration   = 20 * time.Millisecond
)

func (p *pathSimulation) addNode(number int) {
	n := &workerNode{path: p, number: number, slowness: []float64{1.3, 1, 0.8}[number%3]}
	p.nodes = append(p.nodes, n)
	n.startLife(n.nextID())
	n.heartbeat(0)
}

func (n *workerNode) nextID() string {
	n.lives++
	return fmt.Sprintf("w%d-%d", n.number, n.lives)
}

func (n *workerNode) startLife(id string) { n.life = newWorkerLife(n, id) }

// heartbeat makes the worker announce itself after a delay. The agent of another instance
// is closed, and one for this instance is started.
func (n *workerNode) heartbeat(delay time.Duration) {
	w := n.life
	n.path.after(delay, func() {
		if !w.up || n.leaving {
			return
		}
		clock := w.clock()
		if n.agent == nil {
			n.startAgent(w, clock)
			return
		}
		n.agent.receive(workerSource, func() { n.startAgent(w, clock) })
	})
}

// startAgent registers an agent for a life of the worker, in place of the one before.
func (n *workerNode) startAgent(w *workerLife, clock time.Duration) {
	p := n.path
	n.closeAgent()
	n.generation++
	generation := n.generation
	p.after(p.drawBetween(maxRegistration/4, maxRegistration), func() {
		if n.generation == generation {
			n.register(w, clock)
		}
	})
}

// register adds the registration of an agent. It serves entries once the runs of its
// predecessors have ended.
func (n *workerNode) register(w *workerLife, clock time.Duration) {
	p := n.path
	a := &agentProc{node: n.number, core: agentCore{clock: p.drawClock()}}
	a.incarnation = p.registerMember(wire.Member{Registration: wire.Registration{
		Kind: wire.KindAgent, Service: p.serviceOf(n), Capacity: workerCapacity, Node: ids.Node(fmt.Sprint("n", n.number)),
	}})
	a.core.Core = executor.New(executor.Config{Self: a.incarnation, LookAhead: 1, AnswerBytes: 8 << 20, Capacity: workerCapacity, Leases: p.figures.leases})
	a.core.SetTradeoff(1)
	r := &pathRunner{path: p, node: n, agent: a, served: w, core: workerCore{clock: a.core.clock}}
	r.core.Core = worker.New(a.core.clock.read(p.now), worker.Config{
		Fence: worker.NewFence(uint64(a.incarnation)), Clock: clock,
		Lease: p.figures.longestLease, StopWindow: p.figures.leases.Worker,
	})
	a.runner = r
	n.agent = a
	p.agents = append(p.agents, a)
	p.propagate()
	r.tick()
}

// agentReady lets entries connect to an agent.
func (n *workerNode) agentReady(a *agentProc) {
	p := n.path
	a.alive = true
	a.core.SetEntries(p.now, p.logIndex, p.members)
	for _, e := range p.liveEntries() {
		p.after(p.drawUpTo(maxRedial), func() { p.dial(e, a) })
	}
}

// closeAgent ends the current registration. Its connections are reset, and the control
// group learns of its end when its lease has expired.
func (n *workerNode) closeAgent() {
	p, a := n.path, n.agent
	n.generation++
	if a == nil {
		return
	}
	n.agent = nil
	n.contact = contact{lostAt: p.now}
	a.alive, a.frozen, a.inbox = false, false, nil
	a.runner.(*pathRunner).closed = true
	for _, e := range p.liveEntries() {
		l := p.linkOf(e.incarnation, a.incarnation)
		p.breakLink(l, &l.toEntry, func() {
			e.receive(firstConnSource+source(a.incarnation), func() {
				e.core.Disconnected(p.now, a.incarnation)
				p.tickEntry(e)
			})
		})
	}
	p.after(agentLease, func() { p.expire(a.incarnation) })
}

func (p *pathSimulation) expire(inc ids.Incarnation) {
	if p.expiredAt(inc) == 0 {
		p.expireMember(inc)
		p.propagate()
	}
}
