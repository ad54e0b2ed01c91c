package devcluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// promise is one invariant of design section 1.1, with the cases that were checked
// and the violations that were found.
type promise struct {
	description string
	cases       int // number of cases that were checked
	violations  []string
}

func (p *promise) addViolation(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// holds reports whether there were cases and none violates the promise. A promise
// without a case does not hold, since the run has shown nothing about it.
func (p *promise) holds() bool { return p.cases > 0 && len(p.violations) == 0 }

// startCounts holds the number of starts of each task path over all upstreams.
type startCounts map[string]int

func countStarts(runs []upstreamsim.Run) startCounts {
	s := startCounts{}
	for _, r := range runs {
		s[r.Path]++
	}
	return s
}

// total returns the number of starts of all tasks of w.
func (s startCounts) total(w workload) int {
	n := 0
	for i := range w.runTimesMS {
		n += s[w.path(i)]
	}
	return n
}

// checkPromises checks every promise against what callers and upstreams observed.
func (d *demo) checkPromises() []*promise {
	runs := d.Runs()
	s := countStarts(runs)
	return []*promise{
		d.checkNoDoubleStarts(s),
		d.checkAllOrNothing(),
		d.checkOwnAnswers(),
		d.checkNotRun(s),
		d.checkAtMostOnce(s),
		d.checkDrain(),
		d.checkPlannedStop(),
		d.checkConfigChange(),
		d.checkSlots(runs),
		d.checkCoverage(s),
	}
}

// checkNoDoubleStarts covers jobs only: checkAtMostOnce covers requests that are not
// idempotent, and an idempotent request may start again.
func (d *demo) checkNoDoubleStarts(s startCounts) *promise {
	p := &promise{description: "No task of a submission starts twice."}
	for _, o := range d.outcomes {
		if o.class == classSingle || o.class == classNonIdempotent {
			continue
		}
		for i := range o.runTimesMS {
			p.cases++
			if n := s[o.path(i)]; n > 1 {
				p.addViolation("%s started %d times", o.path(i), n)
			}
		}
	}
	return p
}

func (d *demo) checkAllOrNothing() *promise {
	p := &promise{description: "The answer to a job is complete, or a failure without results."}
	for _, o := range d.outcomes {
		p.cases++
		switch {
		case o.status == fasthttp.StatusOK && !o.complete:
			p.addViolation("%s: a successful answer with %d of %d results", o.marker, o.results, len(o.runTimesMS))
		case o.status != fasthttp.StatusOK && o.results > 0:
			p.addViolation("%s: a failure with status %d and %d results", o.marker, o.status, o.results)
		}
	}
	return p
}

func (d *demo) checkOwnAnswers() *promise {
	p := &promise{description: "Every caller gets the answer to its own request."}
	for _, o := range d.outcomes {
		p.cases++
		switch {
		case !o.answered:
			p.addViolation("%s: no answer from entry %d", o.marker, o.entry+1)
		case o.status == fasthttp.StatusAccepted:
			p.addViolation("%s: the job did not end within %v", o.marker, jobWait)
		case o.status == fasthttp.StatusOK && !o.complete:
			p.addViolation("%s: the answer is incomplete or belongs to another request", o.marker)
		}
	}
	previous := map[string]outcome{}
	for _, o := range d.outcomes {
		if prev, ok := previous[o.marker]; ok && (prev.job != o.job || prev.status != o.status) {
			p.addViolation("%s: two submissions got job %d with status %d and job %d with status %d", o.marker, prev.job, prev.status, o.job, o.status)
		}
		previous[o.marker] = o
	}
	return p
}

// checkNotRun leaves out a workload that was submitted more than once unless every
// submission was refused, since an accepted one may have started its tasks.
func (d *demo) checkNotRun(s startCounts) *promise {
	p := &promise{description: "No task of a request refused as not-run has started."}
	accepted := map[string]bool{} // markers of workloads of which at least one submission was not refused as not-run
	for _, o := range d.outcomes {
		accepted[o.marker] = accepted[o.marker] || o.verdict != verdict.NotRun
	}
	for _, o := range d.outcomes {
		if o.answered && o.verdict == verdict.NotRun && !accepted[o.marker] {
			p.cases++
			if n := s.total(o.workload); n > 0 {
				p.addViolation("%s (%s): %d starts", o.marker, o.reason, n)
			}
		}
	}
	return p
}

func (d *demo) checkAtMostOnce(s startCounts) *promise {
	p := &promise{description: "A request that is not idempotent runs at most once."}
	for _, o := range d.outcomes {
		if o.class != classNonIdempotent {
			continue
		}
		p.cases++
		if n := s.total(o.workload); n > 1 {
			p.addViolation("%s: %d starts", o.marker, n)
		}
		if o.status == fasthttp.StatusOK && s.total(o.workload) != 1 {
			p.addViolation("%s: a successful answer with %d starts", o.marker, s.total(o.workload))
		}
	}
	return p
}

func (d *demo) checkDrain() *promise {
	p := &promise{description: fmt.Sprintf("No task starts on a draining upstream later than %v after the drain.", maxDrainDelay)}
	runs := d.Upstream(drainedAgent).Runs()
	for _, r := range runs {
		p.cases++
		if late := r.Started.Sub(d.drainedAt); late > maxDrainDelay {
			p.addViolation("%s started %v after the drain", r.Path, late.Round(time.Millisecond))
		}
	}
	return p
}

func (d *demo) checkPlannedStop() *promise {
	p := &promise{description: "A planned stop completes the jobs in progress."}
	if d.plannedStopErr != nil {
		p.addViolation("the planned stop failed: %v", d.plannedStopErr)
	}
	for _, o := range d.outcomes {
		if o.class == classPlannedStop {
			p.cases++
			if !o.complete {
				p.addViolation("the job in progress ended with status %d, %s %s", o.status, o.verdict, o.reason)
			}
		}
	}
	return p
}

func (d *demo) checkConfigChange() *promise {
	p := &promise{description: fmt.Sprintf("A configuration is in force at every member within %v.", maxConfigDelay), cases: 1}
	if d.configErr != nil {
		p.addViolation("%v", d.configErr)
	}
	if d.configDelay > maxConfigDelay {
		p.addViolation("it took %v", d.configDelay.Round(time.Millisecond))
	}
	return p
}

func (d *demo) checkSlots(runs []upstreamsim.Run) *promise {
	p := &promise{description: "No upstream runs more tasks at once than it has slots.", cases: len(runs)}
	if n := d.Overruns(); n > 0 {
		p.addViolation("%d tasks started while all slots were in use", n)
	}
	return p
}

// checkCoverage checks that every scenario of the demo has taken place. Without it,
// the other promises could hold because nothing was there to violate them.
func (d *demo) checkCoverage(s startCounts) *promise {
	p := &promise{description: "Every scenario of the demo took place."}
	expect := func(what string, ok bool) {
		p.cases++
		if !ok {
			p.addViolation("did not occur: %s", what)
		}
	}
	completeByJob := map[ids.Job]int{}
	completeDuringStop := 0
	for _, o := range d.outcomes {
		switch o.class {
		case classResubmitted:
			if o.complete {
				completeByJob[o.job]++
			}
		case classInfeasible:
			expect("a job refused as infeasible", o.verdict == verdict.NotRun && o.reason == verdict.Infeasible)
		case classCancelled:
			n := s.total(o.workload)
			expect("a cancelled job of which some tasks started", o.state == wire.JobCanceled && n > 0 && n < len(o.runTimesMS))
		case classJob:
			if o.complete && o.sentAt.After(d.leaderStoppedAt) && o.sentAt.Before(d.leaderRestartedAt) {
				completeDuringStop++
			}
		}
	}
	expect("a job and its resubmission with the same answer", len(completeByJob) == 1 && completeByJob[d.resubmittedJob()] == 2)
	expect("jobs admitted and completed while a control node was stopped", completeDuringStop > 0)
	startedBeforeDrain := 0
	for _, r := range d.Upstream(drainedAgent).Runs() {
		if r.Started.Before(d.drainedAt) {
			startedBeforeDrain++
		}
	}
	expect("tasks on the drained upstream before the drain", startedBeforeDrain > 0)
	runningAtLoss := 0
	for _, r := range d.lostRuns {
		if r.Ended.IsZero() || r.Ended.After(d.lostAt) {
			runningAtLoss++
		}
	}
	expect("tasks running on the lost upstream", runningAtLoss > 0)
	return p
}

// resubmittedJob returns the job id in the first answer to the resubmitted workload.
func (d *demo) resubmittedJob() ids.Job {
	for _, o := range d.outcomes {
		if o.class == classResubmitted {
			return o.job
		}
	}
	return 0
}

// idealResponseTime returns a lower bound of the response time of o: all tasks run on
// the fastest upstreams in service at that time, without delays or other load.
func (d *demo) idealResponseTime(o outcome) time.Duration {
	slots, _ := d.serviceLimits()
	fastest, total := 0.0, 0.0
	for i, v := range d.opts.Speeds {
		if i == drainedAgent && o.sentAt.After(d.drainedAt) || i == lostAgent && o.sentAt.After(d.lostAt) {
			continue
		}
		fastest = max(fastest, v)
		total += v * float64(slots)
	}
	longest, sum := 0.0, 0.0
	for _, ms := range o.runTimesMS {
		longest = max(longest, ms/fastest)
		sum += ms
	}
	return time.Duration(max(longest, sum/total) * float64(time.Millisecond))
}

// joinFirst joins the first few violations and counts the others.
func joinFirst(violations []string) string {
	const limit = 3
	if len(violations) <= limit {
		return strings.Join(violations, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(violations[:limit], "; "), len(violations)-limit)
}
