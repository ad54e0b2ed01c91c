package dispatch_test

import "time"

// workerConn is a connection of an agent to one start of its worker.
type workerConn struct{ life *workerLife }

// connPool holds the idle connections of a registration of an agent, as the client of the
// platform does.
type connPool struct{ idle []*workerConn }

// take returns an idle connection, or nil. The worker's process may have ended meanwhile.
func (p *connPool) take() *workerConn {
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

func (p *connPool) put(conn *workerConn) { p.idle = append(p.idle, conn) }

// connDelay draws the time that a message of a new connection takes. The draws are apart
// from those of the disruptions, so that connections don't change the schedule of a seed.
func (p *pathSimulation) connDelay() time.Duration {
	return time.Duration(p.connRng.Int64N(int64(maxWorkerDelay) + 1))
}

// connect sends the call over an idle connection, or over a new one once that has shown
// that it reaches the expected start of the worker.
func (c *workerCall) connect() {
	p, r := c.runner.path, c.runner
	if c.conn == nil {
		c.conn = r.pool.take()
	}
	if c.conn != nil {
		c.travel()
		return
	}
	if c.kind == callStart && r.node.restartAtStart && p.connRng.IntN(2) == 0 {
		r.node.restartUnderID()
	}
	target := r.node.life
	switch {
	case p.unverifiedConnections:
		c.conn = &workerConn{target}
		c.travel()
	case !target.up:
		p.after(p.connDelay(), func() { c.complete(c.unanswered) })
	case r.node.drawFateFrom(p.connRng, callRenewal) == fateInTime:
		p.after(p.connDelay(), func() { c.verify(target) })
	}
}

// verify makes a start of the worker answer the status that the call's connection needs. The
// connection may be reset before.
func (c *workerCall) verify(target *workerLife) {
	p, r := c.runner.path, c.runner
	result := c.unanswered
	switch {
	case !target.up:
	case target.id != r.served.id || target.born != r.served.born:
		result = c.replaced
	case !target.admit(r.highestFence):
		result = c.fenced
	default:
		p.after(p.connDelay(), func() { c.useNew(&workerConn{target}) })
		return
	}
	p.after(p.connDelay(), func() { c.complete(result) })
}

// useNew sends the call over a connection that has been verified. The agent may freeze
// before.
func (c *workerCall) useNew(conn *workerConn) {
	p := c.runner.path
	c.runner.agent.receive(workerSource, func() {
		c.conn = conn
		p.after(p.connDelay(), c.write)
	})
}

// restartUnderID restarts the worker under its id.
func (n *workerNode) restartUnderID() {
	n.restartAtStart = false
	if !n.life.up {
		return
	}
	n.path.traceDisruption("worker %s restarts", n.life.id)
	n.life.crash()
	n.startLife(n.life.id)
	n.heartbeat(n.path.drawUpTo(maxHeartbeatDelay))
}
