package devcluster

import (
	"io"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

func runOf(w work, tasks ...int) (runs []upstreamsim.Run) {
	for _, i := range tasks {
		runs = append(runs, upstreamsim.Run{Path: w.path(i), Started: time.Now()})
	}
	return runs
}

// Guards against a demo that reports promises as held whatever has happened.
func TestVerifyFindsBrokenPromises(t *testing.T) {
	job := evenWork("j", classJob, 2, time.Millisecond)
	once := evenWork("o", classOnce, 1, time.Millisecond)
	leaving := evenWork("l", classLeaving, 1, time.Millisecond)
	whole := func(w work) outcome {
		return outcome{work: w, answered: true, job: 7, state: wire.JobComplete, status: 200, verdict: verdict.Ran, whole: true, results: len(w.runMS)}
	}
	refused := func(w work) outcome {
		return outcome{work: w, answered: true, status: 503, verdict: verdict.NotRun, reason: verdict.Stale}
	}
	partial := whole(job)
	partial.whole, partial.results = false, 1
	failedWithResults := refused(job)
	failedWithResults.results = 1
	unanswered := outcome{work: job}
	other := whole(job)
	other.job = 8
	for name, c := range map[string]struct {
		check func(d *demo, s starts) *promise
		bad   []outcome
		runs  []upstreamsim.Run
	}{
		"once only":       {(*demo).onceOnly, []outcome{whole(job)}, runOf(job, 0, 1, 1)},
		"partial answer":  {noStarts((*demo).wholeOrFailed), []outcome{partial}, nil},
		"failure":         {noStarts((*demo).wholeOrFailed), []outcome{failedWithResults}, nil},
		"no answer":       {noStarts((*demo).ownAnswer), []outcome{unanswered}, nil},
		"two jobs":        {noStarts((*demo).ownAnswer), []outcome{whole(job), other}, nil},
		"refused but ran": {(*demo).notRun, []outcome{refused(job)}, runOf(job, 0)},
		"ran twice":       {(*demo).atMostOnce, []outcome{refused(once)}, runOf(once, 0, 0)},
		"answer of none":  {(*demo).atMostOnce, []outcome{whole(once)}, nil},
		"planned stop":    {noStarts((*demo).planned), []outcome{refused(leaving)}, nil},
	} {
		d := &demo{Cluster: &Cluster{}, out: io.Discard, outcomes: c.bad}
		if p := c.check(d, countStarts(c.runs)); p.holds() || len(p.faults) == 0 {
			t.Errorf("%s: not found: %+v", name, p)
		}
		d.outcomes = nil
		if p := c.check(d, nil); p.holds() {
			t.Errorf("%s: holds without a case", name)
		}
	}
	d := &demo{outcomes: []outcome{whole(job), whole(once), whole(leaving)}}
	s := countStarts(append(runOf(job, 0, 1), append(runOf(once, 0), runOf(leaving, 0)...)...))
	for _, p := range []*promise{d.onceOnly(s), d.wholeOrFailed(), d.ownAnswer(), d.atMostOnce(s), d.planned()} {
		if !p.holds() {
			t.Errorf("%s: %v", p.text, p.faults)
		}
	}
}

func noStarts(f func(d *demo) *promise) func(d *demo, s starts) *promise {
	return func(d *demo, _ starts) *promise { return f(d) }
}
