package rpc

import (
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/logsink"
)

const (
	// idleInterval is how often a connection is probed on which nothing arrives. The
	// accepting side thus closes one that its peer has given up. The connections are
	// checked in idleGroups groups, one after the other.
	idleInterval = 15 * time.Second
	idleGroups   = 15
	// maxFailedLinesPerSecond limits the log lines about connections that don't deliver.
	maxFailedLinesPerSecond = 10
)

// prober checks the connections of the process. One goroutine does so for all of them, since
// a timer for each would wake a process with thousands of connections thousands of times a
// second. It runs while there are connections.
type prober struct {
	lines *logsink.Budget

	mu      sync.Mutex
	conns   map[*Conn]int      // all open ones, with their group
	next    int                // group of the next connection
	idle    int                // group that is checked next
	watched map[*Conn]struct{} // those with an unproven or awaited message
	wake    chan struct{}      // signals that watched is no longer empty, or that conns is
	running bool
}

var connProber = &prober{
	lines: logsink.NewBudget(maxFailedLinesPerSecond),
	conns: map[*Conn]int{}, watched: map[*Conn]struct{}{}, wake: make(chan struct{}, 1),
}

func (p *prober) add(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = p.next
	p.next = (p.next + 1) % idleGroups
	if !p.running {
		p.running = true
		go p.run()
	}
}

func (p *prober) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.watched, c)
	if len(p.conns) == 0 {
		p.signal()
	}
}

func (p *prober) watch(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.conns[c]; !open {
		return
	}
	p.watched[c] = struct{}{}
	c.delivery.checkedIn = c.delivery.bytesIn.Load()
	if len(p.watched) == 1 {
		p.signal()
	}
}

func (p *prober) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *prober) run() {
	idle := time.NewTicker(idleInterval / idleGroups)
	defer idle.Stop()
	check := time.NewTimer(probeInterval)
	defer check.Stop()
	for {
		p.mu.Lock()
		if len(p.conns) == 0 {
			p.running = false
			p.mu.Unlock()
			return
		}
		due := check.C
		if len(p.watched) == 0 {
			due = nil
		}
		p.mu.Unlock()
		select {
		case <-p.wake:
			check.Reset(probeInterval)
		case <-due:
			p.checkWatched()
			check.Reset(probeInterval)
		case <-idle.C:
			p.checkIdle()
		}
	}
}

// checkWatched checks the watched connections and releases those that need no more checks.
func (p *prober) checkWatched() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.watched {
		c.check()
		if c.delivery.needsChecks() {
			continue
		}
		c.delivery.watched.Store(false)
		// A message that was sent since needsChecks has seen the connection as watched.
		if c.delivery.needsChecks() && c.delivery.watched.CompareAndSwap(false, true) {
			continue
		}
		if !c.delivery.watched.Load() {
			delete(p.watched, c)
		}
	}
}

func (p *prober) checkIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, group := range p.conns {
		if group == p.idle {
			c.checkIdle()
		}
	}
	p.idle = (p.idle + 1) % idleGroups
}
