package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay that a refusal asks for.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noUpstreamRetry is a little longer than an agent takes to register and to
	// appear in the view.
	noUpstreamRetry = 2 * time.Second
	// minLearntSamples is the number of answers from which a service's learnt
	// run time is preferred to a declared one.
	minLearntSamples = 20
	// admissionCapacityShare is the share of the capacity that admission plans
	// with.
	admissionCapacityShare = 0.9
	// maxDeclaredError is the factor by which declared run times may be wrong.
	maxDeclaredError = 10
)

// Admit decides whether a job can be taken in, before it has a record. It leaves
// the core unchanged. A refusal has verdict not-run.
func (c *Core) Admit(now time.Duration, s JobSpec) *verdict.Error {
	if err := c.checkFeasible(now, s); err != nil {
		return err
	}
	if !c.viewCurrent {
		return verdict.Refuse(verdict.Stale, "the view is not confirmed as current").After(minRetryAfter * 5)
	}
	svc := c.services[s.Service]
	if svc.capacity() <= 0 {
		return verdict.Refuse(verdict.NoUpstream, "no upstream of service %s is usable now", s.Service).After(noUpstreamRetry)
	}
	if err := c.checkTeamLimit(svc, s); err != nil {
		return err
	}
	return c.checkDeadline(now, svc, s)
}

// checkFeasible refuses a job that violates a constraint which waiting can't
// change, and names the constraint.
func (c *Core) checkFeasible(now time.Duration, s JobSpec) *verdict.Error {
	cfg, ok := c.cfg.Services[s.Service]
	if !ok {
		return verdict.Refuse(verdict.UnknownService, "service %q is not configured", s.Service)
	}
	if _, ok := c.cfg.Teams[s.Team]; !ok {
		return verdict.Refuse(verdict.UnknownTeam, "team %q is not configured", s.Team)
	}
	budget := s.Deadline - now
	switch {
	case s.Tasks > maxTasks:
		return verdict.Refuse(verdict.Infeasible, "%d tasks exceed the maximum of %d for a job", s.Tasks, maxTasks)
	case c.cfg.MaxDeadline > 0 && budget > c.cfg.MaxDeadline:
		return verdict.Refuse(verdict.Infeasible, "the deadline in %v exceeds the maximum of %v", budget, c.cfg.MaxDeadline)
	case min(cfg.Slots, cfg.Connections) <= 0:
		return verdict.Refuse(verdict.Infeasible, "service %q has no configured capacity", s.Service)
	case c.cfg.Teams[s.Team].MaxQueued > 0 && s.Tasks > c.cfg.Teams[s.Team].MaxQueued:
		return verdict.Refuse(verdict.Infeasible, "%d tasks exceed the maximum of %d queued tasks of team %q",
			s.Tasks, c.cfg.Teams[s.Team].MaxQueued, s.Team)
	case budget <= 0:
		return verdict.Refuse(verdict.DeadlinePassed, "the deadline passed %v ago", -budget)
	case cfg.Timeout > 0 && s.RunTime > maxDeclaredError*cfg.Timeout:
		return verdict.Refuse(verdict.Infeasible, "the declared run time %v exceeds the timeout %v of service %q",
			s.RunTime, cfg.Timeout, s.Service)
	}
	return nil
}

// checkTeamLimit refuses a job that exceeds the team's limit of waiting tasks.
func (c *Core) checkTeamLimit(svc *service, s JobSpec) *verdict.Error {
	limit := c.cfg.Teams[s.Team].MaxQueued
	t := svc.teamQueues.teams[s.Team]
	if limit <= 0 || t == nil || t.waitingTasks+s.Tasks <= limit {
		return nil
	}
	over := float64(t.waitingTasks + s.Tasks - limit)
	wait := seconds(over * svc.expectedTaskWork(s.RunTime) / svc.capacity())
	return verdict.Refuse(verdict.OverQuota, "team %q has %d of %d tasks queued", s.Team, t.waitingTasks, limit).
		After(clampRetryAfter(wait))
}

// checkDeadline refuses a job unless it and the jobs before it can end in time
// when served by earliest deadline, and unless its expected wait is within
// bounds.
func (c *Core) checkDeadline(now time.Duration, svc *service, s JobSpec) *verdict.Error {
	work := svc.expectedTaskWork(s.RunTime)
	if work <= 0 {
		return nil
	}
	t := svc.teamQueues.teams[s.Team]
	if t == nil {
		t = &teamQueue{heapPos: -1, quota: max(c.cfg.Teams[s.Team].Quota, 1)}
	}
	plannedStartBy, own := svc.planLastStart(now, s.Deadline, t, s.Tasks, work)
	if late := now + own + svc.expectedLongestRun(s.Tasks, work) - s.Deadline; late > 0 {
		return verdict.Refuse(verdict.Overloaded, "the answer is expected %v after the deadline", late).
			After(clampRetryAfter(late))
	}
	wait := seconds(svc.tasksServedBefore(c.cfg, s) * work / svc.capacity())
	if !t.plannedStartBy.fits(now, plannedStartBy, s.Tasks, svc.tasksServedBy(now, t, work)) {
		return verdict.Refuse(verdict.Overloaded, "the queue leaves no room before the deadline in %v", s.Deadline-now).
			After(clampRetryAfter(wait / 2))
	}
	// A job that is long by itself may wait in proportion.
	if limit := max(c.cfg.MaxWait, own); wait > limit {
		return verdict.Refuse(verdict.Overloaded, "the expected wait of %v exceeds %v", wait, limit).
			After(clampRetryAfter(wait - limit))
	}
	return nil
}

// tasksServedBy returns a function that gives how many tasks of a team can be
// served by a given time: what its quota guarantees, or what the other teams
// leave if that is more.
func (s *service) tasksServedBy(now time.Duration, t *teamQueue, work float64) func(time.Duration) float64 {
	quotaShare := s.quotaShare(t)
	others := float64(s.teamQueues.waitingTasks - t.waitingTasks)
	perSecond := s.capacity() / work
	running := float64(s.outstanding) / 2
	return func(by time.Duration) float64 {
		all := perSecond*(by-now).Seconds()*admissionCapacityShare - running
		return max(all*quotaShare, all-others)
	}
}

// tasksServedBefore returns how many tasks are served before the last task of a
// new job: what fair sharing among all jobs gives, or what the team's quota
// guarantees, whichever is less.
func (s *service) tasksServedBefore(cfg Config, spec JobSpec) float64 {
	quota := max(cfg.Teams[spec.Team].Quota, 1)
	t := s.teamQueues.teams[spec.Team]
	own, others, activeQuotaSum := 0, 0, quota
	if t != nil {
		own = t.waitingBySize.servedBefore(spec.Tasks)
		others = -t.waitingTasks
		if t.heapPos >= 0 {
			activeQuotaSum = 0
		}
	}
	others += s.teamQueues.waitingTasks
	activeQuotaSum += s.teamQueues.activeQuotaSum
	guaranteed := float64(own+spec.Tasks)*float64(activeQuotaSum)/float64(quota) - float64(spec.Tasks)
	return min(float64(own+others), guaranteed)
}

// expectedTaskWork returns the expected run time of a task on an upstream of
// slowness 1, in seconds, zero if unknown. While fewer than minLearntSamples
// run times are known, it returns a lower bound for a job with a declared run
// time: the declared time divided by maxDeclaredError.
func (s *service) expectedTaskWork(declared time.Duration) float64 {
	if s.taskWork.n >= minLearntSamples || declared == 0 {
		return s.taskWork.mean
	}
	return declared.Seconds() / maxDeclaredError
}

// capacity returns the work that the usable upstreams do for this entry each
// second.
func (s *service) capacity() float64 { return s.usable.total() }

// meanSlowness returns the slowness of a typical slot.
func (s *service) meanSlowness() float64 {
	if s.usable.total() <= 0 || s.slots <= 0 {
		return 1
	}
	return float64(s.slots) / s.usable.total()
}

// clampRetryAfter bounds the delay that a refusal asks for.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// seconds converts a number of seconds to a duration of at most a day.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 86400) * float64(time.Second))
}
