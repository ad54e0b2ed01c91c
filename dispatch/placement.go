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
	// ratioLimit bounds how far a job's tasks are taken to differ from the
	// service's average, since declared run times are often wrong by this factor.
	ratioLimit = 10
)

// placeWaiting binds waiting tasks to upstreams with credit, service by service.
func (c *Core) placeWaiting(now time.Duration) {
	for _, s := range c.svcOrder {
		if s.fair.waiting == 0 {
			continue
		}
		c.probe(now, s)
		for {
			j := s.fair.head()
			if j == nil {
				break
			}
			u, ahead := c.choose(s, j)
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
	cost := j.svc.work.mean * j.ratio() * u.slow
	j.svc.fair.take(j, max(cost, minRun))
	a := c.start(now, j, index, u, ahead)
	a.charged = max(cost, minRun)
}

// choose returns the upstream expected to finish the next task of j first. It
// returns nil when nothing has credit, or when waiting for a faster upstream is
// expected to take less time than the best one that is open.
func (c *Core) choose(s *service, j *job) (*upstream, bool) {
	avoid := j.tasks[j.peek()].avoid
	salt := c.random()
	f := s.free.pick(avoid, salt)
	a := s.ahead.pick(avoid, salt)
	if f == nil && a == nil {
		return nil, false
	}
	ratio := j.ratio()
	costF, costA := math.Inf(1), math.Inf(1)
	if f != nil {
		costF = ratio * f.slow
	}
	if a != nil {
		costA = ratio*a.slow + a.slow*float64(a.backlog()+1)/float64(max(a.slots(), 1))
	}
	queue := float64(s.fair.waiting)
	if costF <= costA {
		if s.waitCost(f.bucket, queue, ratio) < costF {
			return nil, false
		}
		return f, false
	}
	rtt := 0.0
	if s.work.mean > 0 {
		rtt = roundTrip / s.work.mean
	}
	if s.waitCost(bucketCount, queue, ratio)+rtt < costA {
		if f != nil && s.waitCost(f.bucket, queue, ratio) >= costF {
			return f, false
		}
		return nil, false
	}
	return a, true
}

// waitCost is the expected time until the last of queue waiting tasks ends if
// it waits for a slot of an upstream below the given bucket, in units of the
// service's work. It is infinite if nothing runs there.
func (s *service) waitCost(bucket int, queue, ratio float64) float64 {
	rate := s.rate.below(bucket)
	if rate < 1e-9 {
		return math.Inf(1)
	}
	return (queue + ratio*s.busy.below(bucket)) / rate
}

// backlog is the number of tasks beyond the slots of u.
func (u *upstream) backlog() int { return max(u.others+u.held-u.slots(), 0) }

// ratio is the run time of this job's tasks relative to the service's average.
func (j *job) ratio() float64 {
	s := j.svc
	if s.work.mean <= 0 {
		return 1
	}
	r := 1.0
	switch {
	case j.work.n >= 3:
		r = j.work.mean / s.work.mean
	case j.declared > 0:
		r = math.Sqrt(j.declared / s.work.mean)
	}
	return min(max(r, 1.0/ratioLimit), ratioLimit)
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
	j.sent++
	if !j.single {
		j.visit(u)
	}
	c.attempts[attemptKey{j.keyOf(a.index), u.inc}] = a
	c.reindex(u)
}

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
	return wire.Start{
		Key:      a.job.keyOf(a.index),
		Epoch:    a.job.epoch,
		Try:      a.try,
		Method:   spec.Method,
		Path:     spec.Path,
		Headers:  spec.Headers,
		Body:     spec.Body,
		BudgetMS: (a.job.deadline - now).Milliseconds(),
	}
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
	a.job.sent--
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
	if u.gone || !u.connected || u.down {
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
	if limit <= u.held {
		return
	}
	open := u.slots() - u.others - u.held
	switch {
	case open > 0:
		s.free.add(u, &u.freeAt, u.bucket)
	case open+c.cfg.LookAhead > 0:
		s.ahead.add(u, &u.aheadA, u.bucket)
	}
}

func freePlace(u *upstream) *place  { return &u.freeAt }
func aheadPlace(u *upstream) *place { return &u.aheadA }

// price sets the expected slowness of u with its penalties.
func (u *upstream) price() {
	log := u.speed.log + u.stall + math.Log1p(failPenalty*u.failRate*u.failRate)
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
	busy := min(slots, u.others+u.held)
	w := indexed{in: true, bucket: u.bucket, busy: float64(busy), rate: float64(busy) / u.slow}
	if u.usable() && u.health != Quarantined {
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
		j := s.fair.head()
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
