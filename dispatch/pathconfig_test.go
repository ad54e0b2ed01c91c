package dispatch_test

import (
	"maps"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
)

// otherService is the service of every other worker if the configuration changes.
const otherService = ids.Service("svc2")

// pathQueue is the configuration of the queue that all batches come through.
type pathQueue struct {
	service ids.Service
	timeout time.Duration // longest time that a batch may take, zero for that of the platform
}

// changeConfig moves the queue to the other service, changes its timeout, or does both. Each
// entry learns of it by itself, so that two entries may route one batch differently.
func (p *pathSimulation) changeConfig() {
	change := p.rng.IntN(3)
	if change != 0 {
		p.queue.service = map[ids.Service]ids.Service{svc: otherService, otherService: svc}[p.queue.service]
	}
	if change != 1 {
		p.queue.timeout = []time.Duration{0, p.drawBetween(200*millis, p.figures.entryDeadline)}[p.rng.IntN(2)]
	}
	q := p.queue
	p.traceDisruption("the queue goes to service %s with timeout %v", q.service, q.timeout)
	for _, e := range p.liveEntries() {
		if p.deaf[e.incarnation] {
			continue
		}
		p.after(p.drawUpTo(viewDelay), func() { e.receive(workerSource, func() { p.applyConfig(e, q) }) })
	}
}

// applyConfig gives an entry a configuration. Batches that it has taken in go on with the
// service and the deadline that they had.
func (p *pathSimulation) applyConfig(e *entryProc, q pathQueue) {
	if !e.alive {
		return
	}
	p.queues[e.incarnation] = q
	cfg := p.cfg
	cfg.Services = maps.Clone(cfg.Services)
	for _, name := range []ids.Service{svc, otherService} {
		cfg.Services[name] = dispatch.Service{Timeout: p.figures.entryDeadline}
	}
	e.core.SetConfig(cfg)
	p.tickEntry(e)
}

// routeByQueue sets the service and the deadline of a batch as the entry knows the queue.
func (p *pathSimulation) routeByQueue(e *entryProc, b *dispatch.Batch) {
	q, ok := p.queues[e.incarnation]
	if !ok {
		q = p.queue // of an entry that has started since the last change
		p.queues[e.incarnation] = q
	}
	b.Service = q.service
	if q.timeout > 0 {
		b.Deadline = min(b.Deadline, p.now+q.timeout)
	}
}

// serviceOf returns the service of a worker.
func (p *pathSimulation) serviceOf(n *workerNode) ids.Service {
	if p.disruptions.has(configChanges) && n.number%2 == 1 {
		return otherService
	}
	return svc
}
