package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// roundTrip is the time a freed slot stays empty without look-ahead, in seconds.
	roundTrip = 2e-3
	// aheadGain is the least share of the run time that look-ahead must save. A
	// task in look-ahead delays urgent ones that arrive after it.
	aheadGain = 0.02
	// impatience scales the expected wait for a faster upstream. Later arrivals
	// may go first, so a task waits longer than its position says. At 70 % load
	// 1.5 gave a mean response time 2 % below that of 1; from 1.5 to 2.5 the
	// difference is within the spread between seeds.
	impatience = 1.7
	// ratioLimit bounds how far a job's tasks are taken to differ from the
	// service's average, since declared run times are often wrong by this factor.
	ratioLimit = 10
)

// placeWaiting binds waiting tasks to upstreams with credit, service by service.
func (c *Core) placeWaiting(now time.Duration) {
	for _, s := range c.svcOrder {
		s.unplaced = 0
		if s.fair.waiting == 0 {
			continue
		}
		c.probe(now, s)
		for {
			j, u, ahead := c.choose(now, s)
			if u == nil {
				break
			}
			c.placeNext(now, j, u, ahead)
		}
	}
}

// placeNext takes the next task of j out of the queue and starts it on u.
func (c *Core) placeNext(now time.Duration, j *job, u *upstream, ahead bool) {
	index := j.peek()
	j.svc.fair.take(j)
	c.start(now, j, index, u, ahead)
}

// choose returns the next task to start and its upstream, the fastest one that is
// open. A task waits instead if a slot of a faster upstream is expected to serve
// it sooner, given its position in the queue; the upstream then goes to the first
// job further back that is better off with it. A job that is likely to miss its
// deadline on a slow upstream leaves it to others. It returns nil when all should
// wait.
func (c *Core) choose(now time.Duration, s *service) (*job, *upstream, bool) {
	head, urgent := s.fair.head(now)
	if head == nil {
		return nil, nil, false
	}
	if head.batch != nil {
		return c.chooseForBatch(now, s)
	}
	u, ahead := c.bestOpen(s, head)
	if u == nil {
		return nil, nil, false
	}
	wait, latency := u.bucket, 0.0
	if ahead {
		wait, latency = bucketCount, s.roundTrip()
	}
	rate, busy := s.rate.below(wait), s.busy.below(wait)
	if rate < minRate || urgent && head.endsOn(now, u) {
		return head, u, ahead
	}
	queued := u.queueCost(ahead)
	j := s.fair.find(func(j *job, position float64) bool {
		if u == j.tasks[j.peek()].avoid || !j.endsOn(now, u) {
			return false
		}
		return j.ratio*u.slow+queued <= (impatience*position+j.ratio*busy)/rate+latency
	})
	if j == nil {
		return nil, nil, false
	}
	return j, u, ahead
}

// minRate is the least rate of completions that is worth waiting for, in units
// of the service's work. It lies above the rounding error of the sums.
const minRate = 1e-6

// bestOpen returns the open upstream of least cost for the head of the queue.
func (c *Core) bestOpen(s *service, head *job) (*upstream, bool) {
	avoid := head.tasks[head.peek()].avoid
	salt := c.random()
	f := s.free.pick(avoid, salt)
	a := s.ahead.pick(avoid, salt)
	if a != nil && !s.gainsAhead() && a.held >= a.others {
		a = nil
	}
	if a == nil || f != nil && f.slow <= a.slow+a.queueCost(true) {
		return f, false
	}
	return a, true
}

// queueCost is the expected wait of a task in look-ahead at u, in units of the
// service's work.
func (u *upstream) queueCost(ahead bool) float64 {
	if !ahead {
		return 0
	}
	return u.slow * float64(u.backlog()+1) / float64(max(u.slots(), 1))
}

// roundTrip is the time a slot stays empty without look-ahead, in units of the
// service's work.
func (s *service) roundTrip() float64 {
	if s.work.mean <= 0 {
		return 0
	}
	return roundTrip / s.work.mean
}

// gainsAhead reports whether look-ahead saves a notable part of the run time.
// Without a gain it is used only where other entries hold more tasks, since the
// agent grants an entry its share only once it shows its need.
func (s *service) gainsAhead() bool {
	return s.work.mean == 0 || roundTrip > aheadGain*s.work.mean
}

// backlog is the number of tasks beyond the slots of u.
func (u *upstream) backlog() int { return max(u.others+u.held-u.slots(), 0) }

// setRatio updates the run time of this job's tasks relative to the service's
// average. Declared run times are often wrong, so half of their logarithm is
// believed.
func (j *job) setRatio() {
	prior := 0.0
	if j.declared > 0 && j.svc.work.mean > 0 {
		prior = math.Log(j.declared/j.svc.work.mean) / 2
	}
	j.ratio = min(max(math.Exp(j.offset.value(prior)), 1.0/ratioLimit), ratioLimit)
}

// start places a task on u and puts the start into the next message.
func (c *Core) start(now time.Duration, j *job, index int, u *upstream, ahead bool) *attempt {
	t := &j.tasks[index]
	t.tries++
	a := &attempt{job: j, index: index, up: u, try: t.tries, ahead: ahead, sentAt: now, resentAt: now, apos: -1}
	if t.primary == nil {
		t.primary = a
	} else {
		t.hedge = a
		a.isHedge = true
	}
	c.addAttempt(j, u, a)
	if ahead {
		a.apos = len(u.svc.aheads)
		u.svc.aheads = append(u.svc.aheads, a)
	}
	u.mailbox.starts = append(u.mailbox.starts, a.message(now))
	c.mark(u)
	c.msgs.Starts++
	c.setHedgeTimer(now, a)
	c.decide(now, "start", u.inc, j.keyOf(index), "")
	return a
}

// addAttempt files an attempt with its task, job and upstream.
func (c *Core) addAttempt(j *job, u *upstream, a *attempt) {
	a.pos = len(u.attempts)
	u.attempts = append(u.attempts, a)
	u.held++
	u.svc.held++
	a.rate = int(rateUnit / u.slow)
	j.svc.fair.underWay(j, 1, a.rate)
	if !j.single {
		j.visit(u)
	}
	c.attempts[attemptKey{j.keyOf(a.index), u.inc}] = a
	if u.sized() && c.leaseAt == 0 {
		c.leaseAt = a.sentAt + leasePass
	}
	c.reindex(u)
}

// rateUnit is the rate of a slot of average speed.
const rateUnit = 1000

// visit records that u may hold rows of j.
func (j *job) visit(u *upstream) {
	if _, ok := j.touched[u]; ok {
		return
	}
	if j.touched == nil {
		j.touched = map[*upstream]struct{}{}
	}
	j.touched[u] = struct{}{}
	j.visited = append(j.visited, u)
}

// message builds the start of an attempt.
func (a *attempt) message(now time.Duration) wire.Start {
	spec := &a.job.tasks[a.index].spec
	st := wire.Start{
		Key:      a.job.keyOf(a.index),
		Epoch:    a.job.epoch,
		Try:      a.try,
		Team:     a.job.team,
		Method:   spec.Method,
		Path:     spec.Path,
		Headers:  spec.Headers,
		Body:     spec.Body,
		BudgetMS: (a.job.deadline - now).Milliseconds(),
		Name:     spec.Name,
		Size:     spec.Size,

		DeclaredMS: spec.DeclaredMS,
		Batch:      a.job.key.Index,
	}
	if b := a.job.batch; b != nil {
		// The agent learns its pace from tasks, and they run longer away from their data.
		st.DeclaredMS = int64(float64(st.DeclaredMS) * a.job.stepAt(a.index).placement.far(a.up))
		st.Priority, st.DueMS = b.priority, a.up.agentClockMS(b.latest)
	}
	return st
}

// drop unfiles an attempt that has been answered or lost.
func (c *Core) drop(a *attempt) {
	u := a.up
	last := u.attempts[len(u.attempts)-1]
	u.attempts[a.pos] = last
	last.pos = a.pos
	u.attempts[len(u.attempts)-1] = nil
	u.attempts = u.attempts[:len(u.attempts)-1]
	a.pos = -1
	u.held--
	u.svc.held--
	u.svc.fair.underWay(a.job, -1, -a.rate)
	c.dropAhead(a)
	c.timers.cancel(a.hedgeTimer)
	delete(c.attempts, attemptKey{a.job.keyOf(a.index), u.inc})
	t := &a.job.tasks[a.index]
	switch a {
	case t.primary:
		t.primary, t.hedge = t.hedge, nil
	case t.hedge:
		t.hedge = nil
	}
	c.reindex(u)
}

// dropAhead takes an attempt off the list of look-ahead attempts.
func (c *Core) dropAhead(a *attempt) {
	if a.apos < 0 {
		return
	}
	s := a.up.svc
	last := s.aheads[len(s.aheads)-1]
	s.aheads[a.apos] = last
	last.apos = a.apos
	s.aheads = s.aheads[:len(s.aheads)-1]
	a.apos = -1
}

// reindex brings the indexes of a service up to date with a change of u.
func (c *Core) reindex(u *upstream) {
	s := u.svc
	if u.weight.in {
		w := u.weight
		s.busy.add(w.bucket, -w.busy)
		s.rate.add(w.bucket, -w.rate)
		s.usable.add(w.bucket, -w.usable)
		s.slots -= w.slots
		s.failSum -= w.fails
		u.weight.in = false
	}
	if u.freeAt.in {
		s.free.remove(&u.freeAt, freePlace)
	}
	if u.aheadA.in {
		s.ahead.remove(&u.aheadA, aheadPlace)
	}
	if u.gone || !u.connected || u.down || u.silent {
		return
	}
	u.price()
	c.addWeight(u)
	if !u.usable() || u.health == Quarantined {
		return
	}
	limit := min(u.credit, u.window)
	if u.health == Healthy {
		limit = u.credit
	}
	open := u.slots() - u.others - u.held
	switch {
	case limit > u.held && open > 0:
		s.free.add(u, &u.freeAt, u.bucket)
	case open+c.cfg.LookAhead <= 0:
	case limit > u.held, u.sized() && u.health == Healthy:
		// A worker's agent starts what waits there in order of urgency, so the share
		// of an entry does not limit what it may have waiting.
		s.ahead.add(u, &u.aheadA, u.bucket)
	}
}

func freePlace(u *upstream) *place  { return &u.freeAt }
func aheadPlace(u *upstream) *place { return &u.aheadA }

// expectedLog is the logarithm of the slowness that placement takes u to have.
func (u *upstream) expectedLog() float64 {
	if u.sized() {
		return u.pace - u.svc.basePace
	}
	samples := min(float64(u.speed.n+speedPrior), 1/speedFloor)
	return u.speed.log - optimism*math.Sqrt(u.svc.spread/samples)
}

// price sets the expected slowness of u with its penalties.
func (u *upstream) price() {
	log := u.expectedLog() + u.stall + math.Log1p(failPenalty*u.failRate*u.failRate)
	if u.health == Recovering {
		log += math.Log(recoveringPenalty)
	}
	u.bucket = bucketOf(log)
	u.slow = math.Exp(log)
}

// addWeight adds u to the sums of its service. An upstream that other entries
// fill still counts as one slot, since its agent shares credit by demand, and
// demand shows only when work is admitted.
func (c *Core) addWeight(u *upstream) {
	s := u.svc
	slots := u.slots()
	busy := min(slots, u.held)
	w := indexed{in: true, bucket: u.bucket, busy: float64(busy), rate: float64(busy) / u.slow}
	if u.serving() && u.health != Quarantined {
		w.fails = u.failRate
		w.slots = max(min(slots-u.others, u.credit), min(u.credit, 1))
		w.usable = float64(w.slots) / u.slow
	}
	s.busy.add(w.bucket, w.busy)
	s.rate.add(w.bucket, w.rate)
	s.usable.add(w.bucket, w.usable)
	s.slots += w.slots
	s.failSum += w.fails
	u.weight = w
}

// probe sends single tasks to quarantined upstreams whose probe is due. It
// prefers idempotent requests, which can be retried if the probe fails.
func (c *Core) probe(now time.Duration, s *service) {
	for _, u := range s.quarantined {
		j, _ := s.fair.head(now)
		if j == nil {
			return
		}
		if !u.usable() || u.held > 0 || u.credit < 1 || now < u.probeAt {
			continue
		}
		if !(j.single && j.idem) && now < u.probeAt+probePatience {
			continue
		}
		u.probeAt = now + u.probeGap
		c.placeNext(now, j, u, false)
	}
}

// probePatience is how long a probe waits for an idempotent request.
const probePatience = 10 * time.Second

// notRun reports whether an answer says that the task did not run.
func notRun(a *wire.Answer) bool { return a.Verdict == verdict.NotRun }
