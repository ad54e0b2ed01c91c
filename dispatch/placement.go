package dispatch

import (
	"math"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// roundTrip is the time, in seconds, for which a freed slot stays empty
	// without look-ahead.
	roundTrip = 2e-3
	// minLookAheadGain is the least share of the run time that look-ahead must
	// save to be used. A task placed as look-ahead delays urgent tasks that
	// arrive after it.
	minLookAheadGain = 0.02
	// waitFactor scales the expected wait for a faster upstream. Later arrivals
	// may go first, so a task waits longer than its position suggests. At 70 %
	// load a factor of 1.5 gave a mean response time 2 % below that of 1; from
	// 1.5 to 2.5 the difference is within the spread between seeds.
	waitFactor = 1.7
	// maxRelativeRunTime bounds how far the run time of a job's tasks is taken
	// to differ from the service's average. Declared run times are often wrong
	// by this factor.
	maxRelativeRunTime = 10
)

// placeWaiting places waiting tasks on upstreams with room, service by service.
func (c *Core) placeWaiting(now time.Duration) {
	for _, s := range c.sortedServices {
		s.unplacedTasks = 0
		if s.teamQueues.waitingTasks == 0 {
			continue
		}
		c.sendProbes(now, s)
		for {
			j, u, lookAhead := c.chooseTask(now, s)
			if u == nil {
				break
			}
			if !c.placeNext(now, j, u, lookAhead) {
				break
			}
		}
	}
}

// placeNext takes the next task of j from the queue and starts it on u. It returns
// false if the task must not run there.
func (c *Core) placeNext(now time.Duration, j *job, u *upstream, lookAhead bool) bool {
	to, ok := j.assign(j.nextTask(), u)
	if !ok {
		return false
	}
	j.svc.teamQueues.takeTask(j)
	c.startTask(now, to, lookAhead)
	return true
}

// chooseTask returns the job whose next task is to start and its upstream, or nil
// if all tasks should wait. Of batches and other jobs, the kind of the job at the
// head of the queue comes first.
func (c *Core) chooseTask(now time.Duration, s *service) (j *job, u *upstream, lookAhead bool) {
	head, urgent := s.teamQueues.nextJob(now)
	if head == nil {
		return nil, nil, false
	}
	if head.batch == nil {
		if j, u, lookAhead = c.chooseJobTask(now, s, head, urgent); u != nil {
			return j, u, lookAhead
		}
		return c.chooseBatchTask(now, s)
	}
	if j, u, lookAhead = c.chooseBatchTask(now, s); u != nil {
		return j, u, lookAhead
	}
	first := s.teamQueues.findJob(func(j *job, _ float64) bool { return j.batch == nil })
	if first == nil {
		return nil, nil, false
	}
	return c.chooseJobTask(now, s, first, false)
}

// chooseJobTask returns the job, other than a batch, whose next task is to start
// and the upstream of least expected cost, or nil if all tasks should wait. The
// first job waits if a slot of a faster upstream is expected to serve it sooner;
// the upstream then goes to the first job further back that gains from it. A job
// that would probably miss its deadline on a slow upstream leaves it to others.
func (c *Core) chooseJobTask(now time.Duration, s *service, nextJob *job, urgent bool) (*job, *upstream, bool) {
	u, lookAhead := c.cheapestUpstream(s, nextJob)
	if u == nil {
		return nil, nil, false
	}
	bucketLimit, latency := u.costBucket, 0.0
	if lookAhead {
		bucketLimit, latency = bucketCount, s.roundTrip()
	}
	completionRate, busySlots := s.completionRate.sumBelow(bucketLimit), s.busySlots.sumBelow(bucketLimit)
	if completionRate < minCompletionRate || urgent && nextJob.endsInTimeOn(now, u) {
		return nextJob, u, lookAhead
	}
	startDelay := u.lookAheadCost(lookAhead)
	j := s.teamQueues.findJob(func(j *job, position float64) bool {
		if j.batch != nil || !j.isEligible(j.nextTask(), u) || !j.endsInTimeOn(now, u) {
			return false
		}
		return j.relativeRunTime*u.slowness+startDelay <= (waitFactor*position+j.relativeRunTime*busySlots)/completionRate+latency
	})
	if j == nil {
		return nil, nil, false
	}
	return j, u, lookAhead
}

// minCompletionRate is the least rate of completions that is worth waiting for,
// per unit of the service's work. It is above the rounding error of the sums.
const minCompletionRate = 1e-6

// cheapestUpstream returns the open upstream of least cost for the job at the
// head of the queue, and whether the task goes there as look-ahead.
func (c *Core) cheapestUpstream(s *service, head *job) (*upstream, bool) {
	lastFailedOn := head.tasks[head.nextTask()].lastFailedOn
	salt := c.random()
	withFreeSlot := s.free.cheapestExcept(lastFailedOn, salt)
	withLookAhead := s.lookAhead.cheapestExcept(lastFailedOn, salt)
	if withLookAhead != nil && !s.lookAheadSavesTime() && withLookAhead.outstanding >= withLookAhead.otherEntryTasks {
		withLookAhead = nil
	}
	if withLookAhead == nil || withFreeSlot != nil && withFreeSlot.slowness <= withLookAhead.slowness+withLookAhead.lookAheadCost(true) {
		return withFreeSlot, false
	}
	return withLookAhead, true
}

// lookAheadCost returns the expected wait of a task at u before its start, in
// units of the service's work: zero unless it is placed as look-ahead.
func (u *upstream) lookAheadCost(lookAhead bool) float64 {
	if !lookAhead {
		return 0
	}
	return u.slowness * float64(u.backlog()+1) / float64(max(u.slots(), 1))
}

// roundTrip returns the constant roundTrip in units of the service's work.
func (s *service) roundTrip() float64 {
	if s.taskWork.mean <= 0 {
		return 0
	}
	return roundTrip / s.taskWork.mean
}

// lookAheadSavesTime reports whether look-ahead saves a notable part of the run
// time. Where it doesn't, it is used only on upstreams on which other entries
// hold more tasks: the agent grants an entry its share only once it shows its
// demand.
func (s *service) lookAheadSavesTime() bool {
	return s.taskWork.mean == 0 || roundTrip > minLookAheadGain*s.taskWork.mean
}

// backlog returns the number of tasks at u beyond its slots.
func (u *upstream) backlog() int { return max(-u.openSlots(), 0) }

// updateRelativeRunTime updates the run time of the job's tasks relative to the
// service's average. Declared run times are often wrong, so only half of their
// logarithm is taken into account.
func (j *job) updateRelativeRunTime() {
	prior := 0.0
	if j.declaredRunTime > 0 && j.svc.taskWork.mean > 0 {
		prior = math.Log(j.declaredRunTime/j.svc.taskWork.mean) / 2
	}
	j.relativeRunTime = min(max(math.Exp(j.logOffset.shrunkTowards(prior)), 1.0/maxRelativeRunTime), maxRelativeRunTime)
}

// startTask places a task and adds the start to the next message.
func (c *Core) startTask(now time.Duration, to assignment, lookAhead bool) {
	j, taskIndex, u := to.job, to.taskIndex, to.target
	t := &j.tasks[taskIndex]
	t.tries++
	a := &attempt{job: j, taskIndex: taskIndex, target: u, try: t.tries, lookAhead: lookAhead, size: t.spec.Size, sentAt: now, lastSentAt: now, lookAheadPos: -1}
	if t.primary == nil {
		t.primary = a
	} else {
		t.hedge = a
		a.isHedge = true
	}
	if j.batch != nil {
		j.svc.learnStart(j.stepOfTask(taskIndex))
	}
	c.addAttempt(j, u, a)
	if lookAhead {
		a.lookAheadPos = len(u.svc.lookAheadAttempts)
		u.svc.lookAheadAttempts = append(u.svc.lookAheadAttempts, a)
	}
	u.outbox.starts = append(u.outbox.starts, a.startMessage(now))
	c.markForSend(u)
	c.messageCounts.Starts++
	c.setHedgeTimer(now, a)
	c.recordDecision(now, "start", u.incarnation, j.taskKey(taskIndex), "")
}

// addAttempt adds an attempt to the tables of the core, its job and its
// upstream.
func (c *Core) addAttempt(j *job, u *upstream, a *attempt) {
	a.upstreamPos = len(u.attempts)
	u.attempts = append(u.attempts, a)
	u.outstanding++
	u.ownSize = u.ownSize.Add(a.size)
	u.svc.outstanding++
	a.rate = int(rateUnit / u.slowness)
	j.svc.teamQueues.updateOutstanding(j, 1, a.rate)
	if !j.unrecorded {
		j.noteUsedUpstream(u)
	}
	c.attempts[attemptKey{j.taskKey(a.taskIndex), u.incarnation}] = a
	if u.isWorker() && c.nextLeaseCheckAt == 0 {
		c.nextLeaseCheckAt = a.sentAt + leaseCheckInterval
	}
	c.reindex(u)
}

// rateUnit is the rate, in integer units, of one slot of average speed.
const rateUnit = 1000

// noteUsedUpstream records that the agent of u may hold rows of j.
func (j *job) noteUsedUpstream(u *upstream) {
	if _, ok := j.usedUpstreamSet[u]; ok {
		return
	}
	if j.usedUpstreamSet == nil {
		j.usedUpstreamSet = map[*upstream]struct{}{}
	}
	j.usedUpstreamSet[u] = struct{}{}
	j.usedUpstreams = append(j.usedUpstreams, u)
}

// startMessage returns the start message of an attempt.
func (a *attempt) startMessage(now time.Duration) wire.Start {
	spec := &a.job.tasks[a.taskIndex].spec
	st := wire.Start{
		Key:      a.job.taskKey(a.taskIndex),
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
		// The agent compares run times with the declared ones, so the longer run away
		// from the data has to be included.
		st.DeclaredMS = int64(float64(st.DeclaredMS) * a.job.stepOfTask(a.taskIndex).placement.remoteFactor(a.target))
		st.Priority, st.DueMS = b.priority, a.target.agentClockMS(b.onTimeStartBy)
	}
	return st
}

// removeAttempt removes an attempt that has been answered or lost from all
// tables.
func (c *Core) removeAttempt(a *attempt) {
	u := a.target
	last := u.attempts[len(u.attempts)-1]
	u.attempts[a.upstreamPos] = last
	last.upstreamPos = a.upstreamPos
	u.attempts[len(u.attempts)-1] = nil
	u.attempts = u.attempts[:len(u.attempts)-1]
	a.upstreamPos = -1
	u.outstanding--
	u.ownSize = u.ownSize.Sub(a.size)
	u.svc.outstanding--
	u.svc.teamQueues.updateOutstanding(a.job, -1, -a.rate)
	c.removeLookAhead(a)
	c.timers.cancel(a.hedgeTimer)
	delete(c.attempts, attemptKey{a.job.taskKey(a.taskIndex), u.incarnation})
	t := &a.job.tasks[a.taskIndex]
	switch a {
	case t.primary:
		t.primary, t.hedge = t.hedge, nil
	case t.hedge:
		t.hedge = nil
	}
	c.reindex(u)
}

// removeLookAhead removes an attempt from the service's list of look-ahead
// attempts.
func (c *Core) removeLookAhead(a *attempt) {
	if a.lookAheadPos < 0 {
		return
	}
	s := a.target.svc
	last := s.lookAheadAttempts[len(s.lookAheadAttempts)-1]
	s.lookAheadAttempts[a.lookAheadPos] = last
	last.lookAheadPos = a.lookAheadPos
	s.lookAheadAttempts = s.lookAheadAttempts[:len(s.lookAheadAttempts)-1]
	a.lookAheadPos = -1
}

// reindex updates the indexes and sums of a service after a change of u.
func (c *Core) reindex(u *upstream) {
	s := u.svc
	if u.contribution.indexed {
		sums := u.contribution
		s.busySlots.add(sums.costBucket, -sums.busySlots)
		s.completionRate.add(sums.costBucket, -sums.completionRate)
		s.usable.add(sums.costBucket, -sums.usable)
		s.slots -= sums.slots
		s.failureRateSum -= sums.addedFailureRate
		u.contribution.indexed = false
	}
	if u.freeSlotIndexPos.indexed {
		s.free.remove(&u.freeSlotIndexPos, freeSlotPosOf)
	}
	if u.lookAheadIndexPos.indexed {
		s.lookAhead.remove(&u.lookAheadIndexPos, lookAheadPosOf)
	}
	if u.lost || !u.connected || u.reportedDown || u.silent {
		return
	}
	u.updateSlowness()
	c.addToServiceSums(u)
	if !u.usable() || u.health == Quarantined {
		return
	}
	limit := min(u.credit, u.rampUpLimit)
	if u.health == Healthy {
		limit = u.credit
	}
	switch {
	case limit > u.outstanding && u.hasOpenSlot():
		s.free.add(u, &u.freeSlotIndexPos, u.costBucket)
	case u.openSlots()+c.cfg.LookAhead <= 0:
	case limit > u.outstanding, u.isWorker() && u.health == Healthy:
		// A worker's agent starts its waiting tasks in order of urgency, so the credit
		// of an entry doesn't limit how many tasks it has waiting there.
		s.lookAhead.add(u, &u.lookAheadIndexPos, u.costBucket)
	}
}

func freeSlotPosOf(u *upstream) *indexPos  { return &u.freeSlotIndexPos }
func lookAheadPosOf(u *upstream) *indexPos { return &u.lookAheadIndexPos }

// expectedLogSlowness returns the logarithm of the slowness of u before
// penalties.
func (u *upstream) expectedLogSlowness() float64 {
	if u.isWorker() {
		return u.logDeclaredRatio - u.svc.meanLogDeclaredRatio
	}
	samples := min(float64(u.relativeSlowness.n+relativeSlownessPriorSamples), 1/minRelativeSlownessWeight)
	return u.relativeSlowness.log - optimismErrors*math.Sqrt(u.svc.logRunTimeVariance/samples)
}

// updateSlowness sets the expected slowness and the cost bucket of u, penalties
// included.
func (u *upstream) updateSlowness() {
	log := u.expectedLogSlowness() + u.stallLogCost + math.Log1p(failurePenalty*u.failureRate*u.failureRate)
	if u.health == Recovering {
		log += math.Log(recoveringPenalty)
	}
	u.costBucket = bucketOf(log)
	u.slowness = math.Exp(log)
}

// addToServiceSums adds u to the sums of its service. An upstream filled by
// other entries still counts as one slot, since its agent shares credit by
// demand, and an entry shows demand only once it has admitted work.
func (c *Core) addToServiceSums(u *upstream) {
	s := u.svc
	slots := u.slots()
	busySlots := min(slots, u.outstanding)
	sums := serviceContribution{indexed: true, costBucket: u.costBucket, busySlots: float64(busySlots), completionRate: float64(busySlots) / u.slowness}
	if u.serving() && u.health != Quarantined {
		sums.addedFailureRate = u.failureRate
		sums.slots = max(min(u.ownSlots(), u.credit), min(u.credit, 1))
		sums.usable = float64(sums.slots) / u.slowness
	}
	s.busySlots.add(sums.costBucket, sums.busySlots)
	s.completionRate.add(sums.costBucket, sums.completionRate)
	s.usable.add(sums.costBucket, sums.usable)
	s.slots += sums.slots
	s.failureRateSum += sums.addedFailureRate
	u.contribution = sums
}

// sendProbes places single tasks on quarantined upstreams whose probe is due. It
// prefers idempotent requests, which can be retried if the probe fails.
func (c *Core) sendProbes(now time.Duration, s *service) {
	for _, u := range s.quarantined {
		if !u.usable() || u.outstanding > 0 || u.credit < 1 || now < u.nextProbeAt {
			continue
		}
		j := s.probeJob(now, u)
		if j == nil {
			continue
		}
		if !(j.unrecorded && j.idempotent) && now < u.nextProbeAt+probeIdempotentWait {
			continue
		}
		u.nextProbeAt = now + u.probeInterval
		c.placeNext(now, j, u, false)
	}
}

// probeJob returns the job whose next task may probe u, or nil: the first one in
// the queue. A task that has just failed there is taken only if there is no other.
func (s *service) probeJob(now time.Duration, u *upstream) *job {
	head, _ := s.teamQueues.nextJob(now)
	if head == nil || head.isEligible(head.nextTask(), u) {
		return head
	}
	if j := s.teamQueues.findJob(func(j *job, _ float64) bool { return j.isEligible(j.nextTask(), u) }); j != nil {
		return j
	}
	return s.teamQueues.findJob(func(j *job, _ float64) bool { return j.mayRunAt(j.nextTask(), u) })
}

// probeIdempotentWait is how long a probe that is due waits for an idempotent
// request.
const probeIdempotentWait = 10 * time.Second

// didNotRun reports whether an answer says that the task did not run.
func didNotRun(a *wire.Answer) bool { return a.Verdict == verdict.NotRun }
