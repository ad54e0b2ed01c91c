package dispatch_test

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// processClock is the clock of an entry or of an agent. The zero value shows the time of
// the simulation.
type processClock struct {
	offset time.Duration
	slow   float64 // share by which it is slow
}

// read returns what the clock shows at a time of the simulation.
func (c processClock) read(now time.Duration) time.Duration {
	return now + c.offset - time.Duration(float64(now)*c.slow)
}

// when returns the earliest time of the simulation at which the clock shows t. Zero, which
// stands for no time, stays zero.
func (c processClock) when(t time.Duration) time.Duration {
	if t == 0 || c == (processClock{}) {
		return t
	}
	at := time.Duration(math.Ceil(float64(t-c.offset) / (1 - c.slow)))
	for c.read(at) < t {
		at++
	}
	for c.read(at-1) >= t {
		at--
	}
	return max(at, 1)
}

// reading is read for a time that may be zero, which stands for none.
func (c processClock) reading(at time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return c.read(at)
}

// drawClock draws the clock of a process that starts now. Half of the clocks have been
// going for up to 3 s, as those that begin with a process, and the others for up to an hour. They are slow by up to 0.1 %.
func (p *pathSimulation) drawClock() processClock {
	if !p.disruptions.has(differingClocks) {
		return processClock{}
	}
	c := processClock{offset: p.drawBetween(millis, time.Hour), slow: p.rng.Float64() / 1000}
	if p.rng.IntN(2) == 0 {
		c.offset += p.drawBetween(millis, 3*time.Second) - c.read(p.now)
	}
	return c
}

// drawBorn draws the start of a worker as it announces it. The time of day of a VM may have
// been stepped, so that it is another one than that of the simulation. No two starts agree.
func (p *pathSimulation) drawBorn() int64 {
	born := 1 + p.now.Milliseconds()
	if !p.disruptions.has(differingClocks) {
		return born
	}
	p.bornCount++
	const steppedBy, unique = 10_000, 1000 // ms, and room for the starts of one simulation
	return (steppedBy+born+p.rng.Int64N(steppedBy)-steppedBy/2)*unique + p.bornCount%unique
}

// entryCore is the core of an entry behind the entry's clock.
type entryCore struct {
	*dispatch.Core
	clock processClock
}

func (c *entryCore) SetUpstreams(now time.Duration, rows []wire.Member) {
	c.Core.SetUpstreams(c.clock.read(now), rows)
}

func (c *entryCore) Connected(now time.Duration, up ids.Incarnation) {
	c.Core.Connected(c.clock.read(now), up)
}

func (c *entryCore) Disconnected(now time.Duration, up ids.Incarnation) {
	c.Core.Disconnected(c.clock.read(now), up)
}

func (c *entryCore) Report(now time.Duration, r wire.Report) { c.Core.Report(c.clock.read(now), r) }

func (c *entryCore) CancelRequest(now time.Duration, key ids.TaskKey) {
	c.Core.CancelRequest(c.clock.read(now), key)
}

func (c *entryCore) Tick(now time.Duration) dispatch.Output {
	out := c.Core.Tick(c.clock.read(now))
	out.NextTick = c.clock.when(out.NextTick)
	return out
}

// agentCore is the core of an agent behind the agent's clock.
type agentCore struct {
	*executor.Core
	clock processClock
}

func (c *agentCore) SetEntries(now time.Duration, at ids.Version, rows []wire.Member) {
	c.Core.SetEntries(c.clock.read(now), at, rows)
}

func (c *agentCore) Connected(now time.Duration, entry ids.Incarnation) {
	c.Core.Connected(c.clock.read(now), entry)
}

func (c *agentCore) Disconnected(now time.Duration, entry ids.Incarnation) {
	c.Core.Disconnected(c.clock.read(now), entry)
}

func (c *agentCore) Receive(now time.Duration, m wire.Exchange) {
	c.Core.Receive(c.clock.read(now), m)
}

func (c *agentCore) Finished(now time.Duration, a wire.Answer) {
	c.Core.Finished(c.clock.read(now), a)
}

func (c *agentCore) Drain(now time.Duration) { c.Core.Drain(c.clock.read(now)) }

func (c *agentCore) Tick(now time.Duration) executor.Output {
	out := c.Core.Tick(c.clock.read(now))
	for i := range out.Run {
		out.Run[i].LeaseEnd = c.clock.when(out.Run[i].LeaseEnd)
	}
	out.OwnersLease = c.clock.when(out.OwnersLease)
	out.NextTick = c.clock.when(out.NextTick)
	return out
}

// workerCore is the worker.Core of an agent behind the agent's clock.
type workerCore struct {
	*worker.Core
	clock processClock
}

func (c *workerCore) Run(now time.Duration, s wire.Start, leaseEnd time.Duration) {
	c.Core.Run(c.clock.read(now), s, c.clock.reading(leaseEnd))
}

func (c *workerCore) Abort(now time.Duration, key ids.TaskKey) {
	c.Core.Abort(c.clock.read(now), key)
}

func (c *workerCore) Started(now time.Duration, id worker.RunID, reply worker.StartReply, unanswered bool) {
	c.Core.Started(c.clock.read(now), id, reply, unanswered)
}

func (c *workerCore) Stopped(now time.Duration, id worker.RunID, reply worker.StopReply, unanswered bool) {
	c.Core.Stopped(c.clock.read(now), id, reply, unanswered)
}

func (c *workerCore) Renewed(now time.Duration, req worker.RenewRequest, st worker.Status, unanswered bool) {
	req.SentAt = c.clock.read(req.SentAt)
	c.Core.Renewed(c.clock.read(now), req, st, unanswered)
}

func (c *workerCore) SetOwnersLease(end time.Duration) {
	c.Core.SetOwnersLease(c.clock.reading(end))
}

func (c *workerCore) Tick(now time.Duration) worker.Output {
	out := c.Core.Tick(c.clock.read(now))
	for i := range out.Start {
		out.Start[i].SendBy = c.clock.when(out.Start[i].SendBy)
	}
	if out.Renew != nil {
		out.Renew.SentAt = c.clock.when(out.Renew.SentAt)
	}
	out.NextTick = c.clock.when(out.NextTick)
	return out
}

// Batch passes a batch, whose times are those of the simulation.
func (c *entryCore) Batch(now time.Duration, b dispatch.Batch) *verdict.Error {
	b.Arrived, b.Deadline = c.clock.read(b.Arrived), c.clock.read(b.Deadline)
	return c.Core.Batch(c.clock.read(now), b)
}
