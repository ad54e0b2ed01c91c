package devcluster

import (
	"io"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// runsOf returns one run for each listed task of w; a task that is listed twice has
// started twice.
func runsOf(w workload, tasks ...int) (runs []upstreamsim.Run) {
	for _, i := range tasks {
		runs = append(runs, upstreamsim.Run{Path: w.path(i), Started: time.Now()})
	}
	return runs
}

// Guards against checks that pass whatever has happened: each must fail on a run that
// violates its promise, and on a run without any case.
func TestChecksReportViolations(t *testing.T) {
	job := uniformWorkload("j", classJob, 2, time.Millisecond)
	once := uniformWorkload("o", classNonIdempotent, 1, time.Millisecond)
	leaving := uniformWorkload("l", classPlannedStop, 1, time.Millisecond)
	complete := func(w workload) outcome {
		return outcome{workload: w, answered: true, job: 7, state: wire.JobComplete, status: 200, verdict: verdict.Ran, complete: true, results: len(w.runTimesMS)}
	}
	refused := func(w workload) outcome {
		return outcome{workload: w, answered: true, status: 503, verdict: verdict.NotRun, reason: verdict.Stale}
	}
	partial := complete(job)
	partial.complete, partial.results = false, 1
	failedWithResults := refused(job)
	failedWithResults.results = 1
	unanswered := outcome{workload: job}
	other := complete(job)
	other.job = 8
	for name, c := range map[string]struct {
		check func(d *demo, s startCounts) *promise
		bad   []outcome
		runs  []upstreamsim.Run
	}{
		"double start":           {(*demo).checkNoDoubleStarts, []outcome{complete(job)}, runsOf(job, 0, 1, 1)},
		"partial answer":         {ignoreStarts((*demo).checkAllOrNothing), []outcome{partial}, nil},
		"failure with results":   {ignoreStarts((*demo).checkAllOrNothing), []outcome{failedWithResults}, nil},
		"no answer":              {ignoreStarts((*demo).checkOwnAnswers), []outcome{unanswered}, nil},
		"two jobs":               {ignoreStarts((*demo).checkOwnAnswers), []outcome{complete(job), other}, nil},
		"refused but ran":        {(*demo).checkNotRun, []outcome{refused(job)}, runsOf(job, 0)},
		"ran twice":              {(*demo).checkAtMostOnce, []outcome{refused(once)}, runsOf(once, 0, 0)},
		"answer without a start": {(*demo).checkAtMostOnce, []outcome{complete(once)}, nil},
		"planned stop":           {ignoreStarts((*demo).checkPlannedStop), []outcome{refused(leaving)}, nil},
	} {
		d := &demo{Cluster: &Cluster{}, out: io.Discard, outcomes: c.bad}
		if p := c.check(d, countStarts(c.runs)); p.holds() || len(p.violations) == 0 {
			t.Errorf("%s: the violation is not reported: %+v", name, p)
		}
		d.outcomes = nil
		if p := c.check(d, nil); p.holds() {
			t.Errorf("%s: the promise holds without a case", name)
		}
	}
	d := &demo{outcomes: []outcome{complete(job), complete(once), complete(leaving)}}
	s := countStarts(append(runsOf(job, 0, 1), append(runsOf(once, 0), runsOf(leaving, 0)...)...))
	for _, p := range []*promise{d.checkNoDoubleStarts(s), d.checkAllOrNothing(), d.checkOwnAnswers(), d.checkAtMostOnce(s), d.checkPlannedStop()} {
		if !p.holds() {
			t.Errorf("%s: %v", p.description, p.violations)
		}
	}
}

// ignoreStarts adapts a check that needs no start counts.
func ignoreStarts(f func(d *demo) *promise) func(d *demo, s startCounts) *promise {
	return func(d *demo, _ startCounts) *promise { return f(d) }
}
