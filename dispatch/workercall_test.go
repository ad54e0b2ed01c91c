package dispatch_test

import (
	"time"

	"github.com/baobabshore/baobabshore/worker"
)

type callKind uint8

const (
	callStart callKind = iota
	callStop
	callRenewal
)

func (k callKind) String() string { return [...]string{"start", "stop", "renewal"}[k] }

// workerCall is a request of an agent to its worker.
type workerCall struct {
	kind       callKind
	run        worker.RunID // zero for a renewal
	timeout    time.Duration
	execute    func(w *workerLife, shift time.Duration, c *workerCall)
	replaced   func() // another start of the worker, or another worker, has its address
	fenced     func() // the worker obeys a higher fencing token
	unanswered func()
	expired    func() bool // the agent must not send the call any more, nil for never
	refused    func()      // the agent has not sent the call since it has expired

	runner    *pathRunner
	sentAt    time.Duration
	conn      *workerConn // nil until there is one
	done      bool        // the agent has a reply or has given up
	replyLost bool        // there will be no reply
	outcome   string      // of the execution, empty if it succeeded
}

// send sends a call to the worker, subject to the disruptions in force.
func (r *pathRunner) send(c *workerCall) {
	p := r.path
	c.runner, c.sentAt = r, p.now
	p.after(c.timeout, func() { c.complete(c.unanswered) })
	p.after(p.drawUpTo(maxWriteDelay), c.write)
	if d := r.node.freezeAtRequest; d > 0 && c.kind == callStart {
		r.node.freezeAtRequest = 0
		p.freezeAgent(r.node, d)
	}
}

// complete passes the first result of a call to the core. Later ones are dropped.
func (c *workerCall) complete(result func()) {
	c.runner.receive(func() {
		if !c.done {
			c.done = true
			result()
		}
	})
}

// write sends the call, if the agent has not given up before. A call that a frozen agent
// has not sent yet is sent after the freeze in half of the cases.
func (c *workerCall) write() {
	p, r := c.runner.path, c.runner
	switch {
	case r.closed || c.done:
	case r.agent.frozen && p.rng.IntN(2) == 0:
	case r.agent.frozen:
		r.agent.receive(workerSource, c.write)
	case c.expired != nil && c.expired():
		c.complete(c.refused)
	default:
		c.connect()
	}
}

// travel makes the call arrive in time, late or never.
func (c *workerCall) travel() {
	p, n := c.runner.path, c.runner.node
	fate := n.drawFate(c.kind)
	c.traceSent(fate)
	if n.restartAtStart && c.kind == callStart && n.life.up {
		n.restartUnderID()
	}
	if d := n.freezeAfterStart; d > 0 && c.kind == callStart {
		n.freezeAfterStart = 0
		p.freezeAgent(n, d)
	}
	n.contact.note(p.now, fate < fateLate && fate != fateLost)
	switch fate {
	case fateLost:
	case fateReplyLost:
		c.replyLost = true
		p.after(p.drawUpTo(maxWorkerDelay), func() { c.arrive(0) })
	case fateSlow:
		p.after(p.drawBetween(c.timeout/2, 5*c.timeout/2), func() { c.arrive(0) })
	case fateLate, fateLateShifted:
		c.replyLost = true
		d := p.drawBetween(minLateness, maxLateness)
		p.after(d, func() { c.arriveLate(d, fate == fateLateShifted) })
	default:
		p.after(p.drawUpTo(maxWorkerDelay), func() { c.arrive(0) })
	}
}

// arriveLate executes a late call, with the time that it grants counted from now if
// shifted is set.
func (c *workerCall) arriveLate(d time.Duration, shifted bool) {
	p, n := c.runner.path, c.runner.node
	spared := n.unreached() && !p.disruptions.has(lateGrantsAtUnreached) ||
		p.now < n.faults.stopsUntil && !p.disruptions.has(lateGrantsBesideFailingStops)
	shifted = shifted && c.kind != callStop
	switch {
	case spared && shifted:
		p.sparedLateGrants++
		c.arrive(0)
	case shifted:
		c.arrive(d)
	default:
		c.arrive(0)
	}
}

// arrive executes the call at the start of the worker that its connection was opened to. If
// that process has ended, the connection is reset.
func (c *workerCall) arrive(shift time.Duration) {
	w := c.conn.life
	if c.runner.path.unverifiedConnections {
		w = c.runner.node.life
	}
	switch {
	case !w.up:
		c.outcome = "no worker"
		c.failConn()
	case w.id != c.runner.served.id:
		c.outcome = "other instance"
		c.reply(c.replaced)
	default:
		c.execute(w, shift, c)
	}
	c.traceArrival(shift)
}

// reply sends the reply to the agent. A connection whose request was answered in time can be
// used again.
func (c *workerCall) reply(result func()) {
	if c.replyLost {
		return
	}
	p := c.runner.path
	p.after(p.drawUpTo(maxWorkerDelay), func() {
		c.complete(func() {
			c.runner.pool.put(c.conn)
			result()
		})
	})
}

// failConn tells the agent that the connection has ended.
func (c *workerCall) failConn() {
	if c.replyLost {
		return
	}
	p := c.runner.path
	p.after(p.drawUpTo(maxWorkerDelay), func() { c.complete(c.unanswered) })
}

// contact is what is known of the last requests of the current agent to its worker.
type contact struct {
	reached bool          // the last one was executed in time
	lostAt  time.Duration // time of the first one since then that was not, if any
}

func (c *contact) note(now time.Duration, inTime bool) {
	if !inTime && !c.reached {
		return
	}
	*c = contact{reached: inTime, lostAt: now}
}

// unreached reports whether nothing can stop a run at the worker now: there is no agent
// for this life of it, or it is frozen or has just thawed, or all its requests fail.
func (n *workerNode) unreached() bool {
	now := n.path.now
	switch {
	case n.agent == nil, n.agent.runner.(*pathRunner).served != n.life, n.agent.frozen, n.thawedAt > 0 && now-n.thawedAt < reactionTime:
		return true
	}
	return !n.contact.reached && now-n.contact.lostAt > workerCallTimeout
}

// reactionTime is how long an agent may take after a freeze until it has looked at its
// worker and has stopped what must not run.
const reactionTime = 200 * time.Millisecond
