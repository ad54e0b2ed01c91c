package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// renewWait is how long the worker may hold back a status. Three renewals in a
	// row may be lost within a lease of 1 s.
	renewWait = 200 * time.Millisecond
	// renewOverlap is the age of the last renewal after which another one is sent
	// beside it. A renewal whose answer is lost then hides ends for no longer.
	renewOverlap = 30 * time.Millisecond
	// maxRenewals bounds the renewals on their way at a time.
	maxRenewals = 4
	// startValid is how long a start may be on its way. Workers that leave orders
	// unanswered carry them out 2 s later or more.
	startValid = 800 * time.Millisecond
	// renewRetry is the pause after a renewal without an answer. It doubles up to
	// maxRenewRetry while none has an answer, for a worker that is down.
	renewRetry    = 20 * time.Millisecond
	maxRenewRetry = 320 * time.Millisecond
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 20 * time.Millisecond
)

// phase is how far a run has come.
type phase uint8

const (
	starting phase = iota // the start is on its way
	running               // the worker has begun it
	doubtful              // the start has no answer; a status tells whether it runs
)

// run is the table row of a run without an end.
type run struct {
	key   ids.TaskKey
	id    RunID
	phase phase
	began time.Duration // when the start was ordered

	unwanted   bool // its end has been asked for
	stopping   bool // a stop is on its way
	stopAt     time.Duration
	stopped    bool // the worker has acknowledged a stop
	stoppedAt  time.Duration
	acceptedAt time.Duration // when the start was answered
	doubtAt    time.Duration // when the start was given up
}

// Core is the state of the runs on one life of a worker. One goroutine owns it.
type Core struct {
	cfg   Config
	runs  map[RunID]*run
	byKey map[ids.TaskKey]*run
	queue []StartOrder

	clock   time.Duration // of the worker at clockAt
	clockAt time.Duration

	cursor   uint64        // ends taken over
	acked    uint64        // ends of which the worker knows that they are taken over
	renewals int           // on their way
	renewAt  time.Duration // earliest next renewal
	retry    time.Duration // pause after the next renewal without an answer
	sentAt   time.Duration // of the latest renewal
	lookSoon bool          // a run waits for a status

	strays   map[RunID]time.Duration // runs of others, with the time of their last stop
	adopted  bool                    // a status without runs of others has been seen
	replaced bool                    // another life of the worker has answered
	ended    []Ended
}

// New returns the core of a worker about whose runs nothing is known yet.
func New(now time.Duration, cfg Config) *Core {
	return &Core{
		cfg: cfg, clock: cfg.Clock, clockAt: now, retry: renewRetry,
		runs: map[RunID]*run{}, byKey: map[ids.TaskKey]*run{}, strays: map[RunID]time.Duration{},
	}
}

// Adopted reports whether the worker runs nothing of an earlier owner any more.
func (c *Core) Adopted() bool { return c.adopted }

// Replaced reports whether another life of the worker, or an owner with a higher
// fence, has been seen. All runs have ended then.
func (c *Core) Replaced() bool { return c.replaced }

// Idle reports whether nothing runs and every end has been acknowledged.
func (c *Core) Idle() bool { return len(c.runs) == 0 && c.acked == c.cursor }

// Run begins a task.
func (c *Core) Run(now time.Duration, s wire.Start) {
	id := RunID{Task: s.Name, Number: s.Try}
	if c.replaced {
		c.answer(s.Key, id, verdict.NotRun, verdict.UpstreamRefused, 0)
		return
	}
	if c.runs[id] != nil {
		// Two entries run the same task under the same number: the later one waits
		// for a higher number, since a worker can't tell them apart.
		c.answer(s.Key, id, verdict.NotRun, verdict.Superseded, 0)
		return
	}
	if other := c.runOf(s.Name); other != nil {
		// A caller has repeated its batch while the former run is still ending.
		c.unwant(other)
		c.answer(s.Key, id, verdict.NotRun, verdict.Superseded, 0)
		return
	}
	r := &run{key: s.Key, id: id, began: now}
	c.runs[id], c.byKey[s.Key] = r, r
	c.queue = append(c.queue, StartOrder{Run: id, Spec: s.Body, Fence: c.cfg.Fence, Until: c.workerClock(now) + startValid})
}

// runOf returns a run of the task of any number, or nil.
func (c *Core) runOf(task string) *run {
	for _, r := range c.runs {
		if r.id.Task == task {
			return r
		}
	}
	return nil
}

// Abort asks for the end of a task. Its answer follows when it has ended.
func (c *Core) Abort(now time.Duration, key ids.TaskKey) {
	if r := c.byKey[key]; r != nil {
		c.unwant(r)
	}
}

func (c *Core) unwant(r *run) { r.unwanted = true }

// Started takes in the answer to a start. unknown means that there was none.
func (c *Core) Started(now time.Duration, id RunID, reply StartReply, unknown bool) {
	c.readClock(now, reply.Clock)
	r := c.runs[id]
	if r == nil || r.phase != starting {
		return
	}
	switch {
	case unknown:
		r.phase = doubtful
		r.doubtAt = now
		c.lookSoon = true
	case reply.Refused == "":
		r.phase = running
		r.acceptedAt = now
	default:
		c.refused(now, r, reply.Refused)
	}
}

// refused ends a run that the worker has not begun.
func (c *Core) refused(now time.Duration, r *run, why Refusal) {
	reason := verdict.UpstreamRefused
	switch why {
	case RefusedSuperseded:
		reason = verdict.Superseded
	case RefusedFull:
		reason = verdict.NoCredit
	}
	c.forget(r)
	c.answer(r.key, r.id, verdict.NotRun, reason, 0)
	switch why {
	case RefusedFenced:
		c.loseAll(now, verdict.MayHaveRun, verdict.Fenced)
	case RefusedReplaced:
		c.loseAll(now, verdict.Ran, verdict.Canceled)
	}
}

// Stopped takes in the answer to a stop. unknown means that there was none.
func (c *Core) Stopped(now time.Duration, id RunID, unknown bool) {
	r := c.runs[id]
	if r == nil {
		return
	}
	r.stopping = false
	if unknown {
		r.stopAt = now + stopRetry
		return
	}
	r.stopped, r.stoppedAt = true, now
	c.lookSoon = true
}

// Renewed takes in the answer to a renewal. unknown means that there was none.
func (c *Core) Renewed(now time.Duration, o RenewOrder, st Status, unknown bool) {
	c.renewals--
	if unknown {
		c.renewAt = now + c.retry
		c.retry = min(2*c.retry, maxRenewRetry)
		return
	}
	c.retry = renewRetry
	if c.cfg.Born != 0 && st.Born != 0 && st.Born != c.cfg.Born {
		c.loseAll(now, verdict.Ran, verdict.Canceled)
		return
	}
	c.readClock(now, st.Clock)
	c.acked = max(c.acked, o.Cursor)
	for _, e := range st.Ended {
		c.takeEnd(now, e)
	}
	c.compare(now, o.SentAt, st)
}

// takeEnd takes over one end.
func (c *Core) takeEnd(now time.Duration, e End) {
	if e.Number <= c.cursor {
		return
	}
	c.cursor = e.Number
	delete(c.strays, e.Run)
	r := c.runs[e.Run]
	if r == nil {
		return
	}
	c.forget(r)
	ran := (now - r.began).Microseconds()
	switch e.How {
	case EndDone:
		c.answer(r.key, r.id, verdict.Ran, verdict.Complete, ran)
	case EndFailed:
		c.answer(r.key, r.id, verdict.Ran, verdict.UpstreamFailed, ran)
	default:
		c.answer(r.key, r.id, verdict.Ran, verdict.Canceled, ran)
	}
}

// compare holds what runs at the worker against the table: runs of others are
// stopped, a run without an answer to its start is found, and a run that should
// be there and isn't has ended. sentAt is when the status was asked for.
func (c *Core) compare(now, sentAt time.Duration, st Status) {
	listed := make(map[RunID]bool, len(st.Running))
	strays := 0
	for _, id := range st.Running {
		listed[id] = true
		if c.runs[id] == nil {
			strays++
			if _, known := c.strays[id]; !known {
				c.strays[id] = 0
			}
		}
	}
	for id := range c.strays {
		if !listed[id] {
			delete(c.strays, id)
		}
	}
	c.adopted = c.adopted || strays == 0
	for _, r := range c.sortedRuns() {
		switch {
		case listed[r.id] && r.phase == doubtful:
			r.phase, r.acceptedAt = running, now
		case !listed[r.id] && r.overBy(sentAt):
			c.forget(r)
			c.answer(r.key, r.id, verdict.Ran, verdict.Canceled, (now - r.began).Microseconds())
		case !listed[r.id] && r.phase == doubtful && sentAt >= r.doubtAt:
			r.unwanted = true // the stop fences a start that is carried out late
		}
	}
}

// overBy reports whether the absence of r from the lists of a status shows that r
// has ended and won't begin: the status was asked for after the worker had begun
// it, or after the worker had acknowledged a stop. Ends stay listed until they are
// taken over, and a run that is being stopped is listed as running.
func (r *run) overBy(sentAt time.Duration) bool {
	switch {
	case r.stopped:
		return sentAt >= r.stoppedAt
	case r.phase == running:
		return sentAt > r.acceptedAt
	}
	return false
}

// loseAll answers every run: the worker's life is over, and the runs with it, or
// it belongs to another owner, and they may go on.
func (c *Core) loseAll(now time.Duration, v verdict.Verdict, reason verdict.Reason) {
	c.replaced = true
	for _, r := range c.sortedRuns() {
		c.forget(r)
		c.answer(r.key, r.id, v, reason, (now - r.began).Microseconds())
	}
	c.queue = nil
	c.acked = c.cursor
}

func (c *Core) sortedRuns() []*run {
	list := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if d := cmp.Compare(a.id.Task, b.id.Task); d != 0 {
			return d
		}
		return cmp.Compare(a.id.Number, b.id.Number)
	})
	return list
}

func (c *Core) forget(r *run) {
	delete(c.runs, r.id)
	if c.byKey[r.key] == r {
		delete(c.byKey, r.key)
	}
}

func (c *Core) answer(key ids.TaskKey, id RunID, v verdict.Verdict, reason verdict.Reason, ranUS int64) {
	a := wire.Answer{Key: key, Verdict: v, Reason: reason, RunUS: ranUS}
	switch reason {
	case verdict.Complete:
		a.Status = statusDone
	case verdict.UpstreamFailed:
		a.Status = statusFailed
	}
	c.ended = append(c.ended, Ended{a, id})
}

// HTTP statuses that stand for the ends of sized tasks.
const (
	statusDone   = 200
	statusFailed = 500
)

// readClock takes over the worker's clock from an answer.
func (c *Core) readClock(now, clock time.Duration) {
	if clock > 0 {
		c.clock, c.clockAt = clock, now
	}
}

// workerClock is the worker's clock at the given time. It never runs ahead by
// more than the difference of the clocks' rates since the last answer.
func (c *Core) workerClock(now time.Duration) time.Duration { return c.clock + now - c.clockAt }

// Tick returns what is to be ordered now.
func (c *Core) Tick(now time.Duration) Output {
	out := Output{Ended: c.ended, Start: c.queue}
	c.ended, c.queue = nil, nil
	c.orderStops(now, &out)
	c.orderRenewal(now, &out)
	return out
}

// orderStops sends a stop for each run whose end is wanted.
func (c *Core) orderStops(now time.Duration, out *Output) {
	for _, r := range c.sortedRuns() {
		if !r.unwanted || r.phase == starting || r.stopping || r.stopped {
			continue
		}
		if now < r.stopAt {
			out.NextTick = earliest(out.NextTick, r.stopAt)
			continue
		}
		r.stopping = true
		out.Stop = append(out.Stop, StopOrder{Run: r.id, Fence: c.cfg.Fence})
	}
	for id, at := range c.strays {
		if now < at {
			out.NextTick = earliest(out.NextTick, at)
			continue
		}
		c.strays[id] = now + renewWait
		out.Stop = append(out.Stop, StopOrder{Run: id, Fence: c.cfg.Fence})
	}
	slices.SortFunc(out.Stop, func(a, b StopOrder) int { return cmp.Compare(a.Run.Task, b.Run.Task) })
}

// orderRenewal keeps a renewal on its way while anything runs, is unknown or is
// to be acknowledged, and sends another one beside it after a while.
func (c *Core) orderRenewal(now time.Duration, out *Output) {
	if c.replaced || c.adopted && c.Idle() || c.renewals >= maxRenewals {
		return
	}
	due := c.renewAt
	if c.renewals > 0 && !c.lookSoon {
		due = max(due, c.sentAt+renewOverlap)
	}
	if now < due {
		out.NextTick = earliest(out.NextTick, due)
		return
	}
	o := RenewOrder{Fence: c.cfg.Fence, Cursor: c.cursor, SentAt: now}
	if len(c.runs) > 0 {
		o.Until = c.workerClock(now) + c.cfg.Lease
	}
	if len(c.runs) > 0 && !c.lookSoon {
		o.Wait = renewWait
	}
	c.lookSoon = false
	c.renewals++
	c.sentAt = now
	out.Renew = &o
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
