package dispatch

import (
	"math"
	"time"
)

const (
	// runMargin covers the error of declared run times when a slower worker is
	// chosen: the logarithm of the error has a standard deviation of about 0.4.
	runMargin = 1.5
	// spareShare is the part of a service's slots that has to be free for a task to
	// take the fastest worker although a slower one would do. Below it the fast
	// workers are left to the tasks that need them.
	spareShare = 0.5
)

// chooseForBatch returns the batch that is to start a task and its worker. A
// batch never waits for a faster worker while one is open: its task can be
// stopped and started again, and a late answer is of little use to the caller.
func (c *Core) chooseForBatch(now time.Duration, s *service) (*job, *upstream, bool) {
	for _, t := range s.fair.heap {
		for _, j := range t.jobs {
			if u := c.workerFor(now, s, j); u != nil {
				return j, u, false
			}
			break
		}
	}
	return nil, nil, false
}

// workerFor returns an open worker for the next task of j, or nil.
func (c *Core) workerFor(now time.Duration, s *service, j *job) *upstream {
	avoid := j.tasks[j.peek()].avoid
	salt := c.random()
	if s.freeShare >= spareShare {
		return s.free.pick(avoid, salt)
	}
	for b := s.free.last(s.slowestFor(now, j)); b >= 0; b = s.free.last(b - 1) {
		if u := s.free.pickIn(b, avoid, salt); u != nil {
			return u
		}
	}
	return s.free.pick(avoid, salt)
}

// slowestFor returns the cost bucket of the slowest worker on which a task of j
// is expected to end in time.
func (s *service) slowestFor(now time.Duration, j *job) int {
	run := j.declared * s.declaredScale() * runMargin
	slack := (j.batch.target - now).Seconds()
	if run <= 0 || slack <= 0 {
		return -1
	}
	return bucketOf(math.Log(slack / run))
}

// noteFreeShare updates the part of the slots that is free.
func (s *service) noteFreeShare() {
	slots, open := 0, 0
	for _, u := range s.ups {
		if u.usable() {
			slots += u.slots()
			open += max(u.slots()-u.others-u.held, 0)
		}
	}
	s.freeShare = float64(open) / float64(max(slots, 1))
}
