package dispatch_test

import (
	"math/rand/v2"
	"time"
)

// callFate is what happens to a request to a worker.
type callFate uint8

const (
	fateInTime callFate = iota
	fateLost
	fateReplyLost
	fateSlow // executed around its timeout
	fateLate
	fateLateShifted
)

func (f callFate) String() string {
	return [...]string{"", "is lost", "has no answer", "is slow", "is late", "is late, with its time counted from its arrival"}[f]
}

// callFaults is the disruption of the requests to one worker.
type callFaults struct {
	until      time.Duration
	fate       callFate
	share      float64 // of the requests
	stopsUntil time.Duration
}

func (n *workerNode) drawFate(kind callKind) callFate { return n.drawFateFrom(n.path.rng, kind) }

func (n *workerNode) drawFateFrom(rng *rand.Rand, kind callKind) callFate {
	now, f := n.path.now, n.faults
	if kind == callStop && now < f.stopsUntil {
		return fateLost
	}
	if now >= f.until || rng.Float64() >= f.share {
		return fateInTime
	}
	if f.fate == fateLost {
		return []callFate{fateLost, fateReplyLost, fateSlow}[rng.IntN(3)]
	}
	return f.fate
}

func (p *pathSimulation) disruptCalls(nodes []*workerNode, fate callFate) {
	share := []float64{0.1, 0.3, 0.7, 1}[p.rng.IntN(4)]
	d := p.drawBetween(100*millis, 2*time.Second)
	for _, n := range nodes {
		p.traceDisruption("of the requests to worker %s, a share of %v %v, for %v", n.life.id, share, fate, d)
		n.faults.until, n.faults.fate, n.faults.share = p.now+d, fate, share
	}
}

func (p *pathSimulation) failStops(nodes []*workerNode) {
	d := p.drawBetween(500*millis, 4*time.Second)
	for _, n := range nodes {
		p.traceDisruption("stops at worker %s fail for %v", n.life.id, d)
		n.faults.stopsUntil = p.now + d
	}
}
