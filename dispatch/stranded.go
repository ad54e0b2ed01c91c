package dispatch

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// strandedAfter is how long jobs none of whose tasks has started wait while
	// their service has no upstream. A restarted agent registers and shows in
	// the view within 2 s, a broken connection is made anew within 2 s (a pause
	// of 1 s and a dial of 1 s), and a restarted upstream answers a probe within
	// 500 ms. An upstream that is not back after 5 s is not about to return, and
	// a refusal costs the caller less than a wait for its deadline.
	strandedAfter = 5 * time.Second
	// strandedStartedAfter is the limit for recorded jobs of which tasks have
	// started. Their failure wastes results and can't be repeated under the same
	// key, so they also wait for a restarted machine.
	strandedStartedAfter = 30 * time.Second
)

// strandedState is the time since which tasks of a service wait without a
// serving upstream, zero if none do.
type strandedState struct {
	since time.Duration
	// confirmedSince is the same for the time in which the view was current as
	// well. A view that is not current may lack upstreams, and a job can't be
	// ended as not-run by an owner that may have been replaced.
	confirmedSince time.Duration
	nextCheckAt    time.Duration
}

// failStrandedJobs ends jobs that have waited too long although no upstream of
// their service can run them. Upstreams that are full or in quarantine still
// serve.
func (c *Core) failStrandedJobs(now time.Duration) {
	for _, s := range c.sortedServices {
		if s.teamQueues.waitingTasks == 0 || s.slots > 0 {
			s.stranded = strandedState{}
			continue
		}
		if now < s.stranded.nextCheckAt {
			continue
		}
		s.updateStranded(now, c.viewCurrent)
		if s.stranded.since == 0 {
			continue
		}
		for _, j := range s.teamQueues.waitingJobs() {
			if wait, over := s.strandedFor(now, j); over {
				c.failStrandedJob(now, j, wait)
			}
		}
	}
}

// updateStranded records since when the service has no serving upstream.
func (s *service) updateStranded(now time.Duration, current bool) {
	t := &s.stranded
	t.nextCheckAt = now + sweepInterval
	if slices.ContainsFunc(s.upstreams, (*upstream).serving) {
		t.since, t.confirmedSince = 0, 0
		return
	}
	if t.since == 0 {
		t.since = now
	}
	switch {
	case !current:
		t.confirmedSince = 0
	case t.confirmedSince == 0:
		t.confirmedSince = now
	}
}

// strandedFor returns how long j has been without a serving upstream, and
// whether that exceeds its limit.
func (s *service) strandedFor(now time.Duration, j *job) (time.Duration, bool) {
	if j.unrecorded {
		wait := now - s.stranded.since
		return wait, wait >= strandedAfter
	}
	limit := strandedAfter
	if j.outstanding > 0 || j.done > 0 || j.mayHaveRun {
		limit = strandedStartedAfter
	}
	wait := now - s.stranded.confirmedSince
	return wait, s.stranded.confirmedSince > 0 && wait >= limit
}

// failStrandedJob ends a job that has been without an upstream for the given
// time.
func (c *Core) failStrandedJob(now time.Duration, j *job, wait time.Duration) {
	c.recordDecision(now, "stranded", 0, j.taskKey(0), string(verdict.NoUpstream))
	err := c.unfinishedError(j, verdict.NoUpstream, "no upstream of service "+string(j.svc.name)+" has been usable for "+wait.String())
	if err.Verdict == verdict.NotRun {
		err = err.After(noUpstreamRetry)
	}
	c.failJob(now, j, wire.JobFailed, err)
}

// waitingJobs returns the jobs with waiting tasks.
func (q *fairQueue) waitingJobs() []*job {
	var list []*job
	for _, t := range q.heap {
		list = append(list, t.jobs...)
	}
	return list
}
