package dispatch

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// strandedAfter is how long work of which nothing has started waits for an
	// upstream when its service has none. A restarted agent registers and shows
	// in the view within 2 s, a broken connection is made anew within 2 s (a pause
	// of 1 s and a dial of 1 s), and a restarted upstream answers a probe within
	// 500 ms. What is not back after 5 s is not about to return, and a refusal
	// costs the caller less than the wait for its deadline.
	strandedAfter = 5 * time.Second
	// strandedStartedAfter is the same for jobs of which tasks have started. Their
	// failure wastes results and can't be repeated under the same key, so they also
	// wait for a restarted machine.
	strandedStartedAfter = 30 * time.Second
)

// stranding is since when tasks of a service wait without a serving upstream,
// zero if none do.
type stranding struct {
	since time.Duration
	// confirmed counts only the time in which the view was current as well. A view
	// that is not may lack upstreams, and a job can't be ended as not-run by an
	// owner that may have been replaced.
	confirmed time.Duration
	checkAt   time.Duration
}

// endStranded ends work that waits although no upstream of its service can run
// it. Upstreams that are full or in quarantine still serve.
func (c *Core) endStranded(now time.Duration) {
	for _, s := range c.svcOrder {
		if s.fair.waiting == 0 || s.slots > 0 {
			s.stranded = stranding{}
			continue
		}
		if now < s.stranded.checkAt {
			continue
		}
		s.noteStranded(now, c.current)
		if s.stranded.since == 0 {
			continue
		}
		for _, j := range s.fair.waitingJobs() {
			if wait, over := s.strandedFor(now, j); over {
				c.endStrandedJob(now, j, wait)
			}
		}
	}
}

// noteStranded records since when the service has no serving upstream.
func (s *service) noteStranded(now time.Duration, current bool) {
	t := &s.stranded
	t.checkAt = now + sweepInterval
	if slices.ContainsFunc(s.ups, (*upstream).serving) {
		t.since, t.confirmed = 0, 0
		return
	}
	if t.since == 0 {
		t.since = now
	}
	switch {
	case !current:
		t.confirmed = 0
	case t.confirmed == 0:
		t.confirmed = now
	}
}

// strandedFor returns how long j has been without an upstream, and whether that
// is too long.
func (s *service) strandedFor(now time.Duration, j *job) (time.Duration, bool) {
	if j.single {
		wait := now - s.stranded.since
		return wait, wait >= strandedAfter
	}
	limit := strandedAfter
	if j.sent > 0 || j.done > 0 || j.maybeRan {
		limit = strandedStartedAfter
	}
	wait := now - s.stranded.confirmed
	return wait, s.stranded.confirmed > 0 && wait >= limit
}

func (c *Core) endStrandedJob(now time.Duration, j *job, wait time.Duration) {
	c.decide(now, "stranded", 0, j.keyOf(0), string(verdict.NoUpstream))
	err := c.unfinished(j, verdict.NoUpstream, "no upstream of service "+string(j.svc.name)+" has been usable for "+wait.String())
	if err.Verdict == verdict.NotRun {
		err = err.After(noUpstreamRetry)
	}
	c.fail(now, j, wire.JobFailed, err)
}

// waitingJobs returns the jobs with waiting tasks.
func (q *fairQueue) waitingJobs() []*job {
	var list []*job
	for _, t := range q.heap {
		list = append(list, t.jobs...)
	}
	return list
}
