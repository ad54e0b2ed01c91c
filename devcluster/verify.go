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

// promise is one invariant of design section 1.1 with what was found against it.
type promise struct {
	text   string
	checks int // how many cases were looked at
	faults []string
}

func (p *promise) fault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// holds reports whether there were cases and none was a fault. A promise
// without any case has not been shown.
func (p *promise) holds() bool { return p.checks > 0 && len(p.faults) == 0 }

// starts holds how often each path started on any upstream.
type starts map[string]int

func countStarts(runs []upstreamsim.Run) starts {
	s := starts{}
	for _, r := range runs {
		s[r.Path]++
	}
	return s
}

// of returns how often tasks of w started.
func (s starts) of(w work) int {
	n := 0
	for i := range w.runMS {
		n += s[w.path(i)]
	}
	return n
}

// verify checks every promise against what callers and upstreams saw.
func (d *demo) verify() []*promise {
	runs := d.Runs()
	s := countStarts(runs)
	return []*promise{
		d.onceOnly(s),
		d.wholeOrFailed(),
		d.ownAnswer(),
		d.notRun(s),
		d.atMostOnce(s),
		d.leaving(),
		d.planned(),
		d.configured(),
		d.slots(runs),
		d.cases(s),
	}
}

func (d *demo) onceOnly(s starts) *promise {
	p := &promise{text: "No task of a submission starts twice."}
	for _, o := range d.outcomes {
		if o.class == classSingle || o.class == classOnce {
			continue
		}
		for i := range o.runMS {
			p.checks++
			if n := s[o.path(i)]; n > 1 {
				p.fault("%s started %d times", o.path(i), n)
			}
		}
	}
	return p
}

func (d *demo) wholeOrFailed() *promise {
	p := &promise{text: "The answer to a job is whole, or a failure."}
	for _, o := range d.outcomes {
		p.checks++
		switch {
		case o.status == fasthttp.StatusOK && !o.whole:
			p.fault("%s: an answer with %d of %d results", o.marker, o.results, len(o.runMS))
		case o.status != fasthttp.StatusOK && o.results > 0:
			p.fault("%s: a failure (%d) with %d results", o.marker, o.status, o.results)
		}
	}
	return p
}

func (d *demo) ownAnswer() *promise {
	p := &promise{text: "Every caller gets the answer to its own request."}
	for _, o := range d.outcomes {
		p.checks++
		switch {
		case !o.answered:
			p.fault("%s: no answer from entry %d", o.marker, o.entry+1)
		case o.status == fasthttp.StatusAccepted:
			p.fault("%s: no end within %v", o.marker, jobWait)
		case o.status == fasthttp.StatusOK && !o.whole:
			p.fault("%s: not its own answer", o.marker)
		}
	}
	first := map[string]outcome{}
	for _, o := range d.outcomes {
		if f, ok := first[o.marker]; ok && (f.job != o.job || f.status != o.status) {
			p.fault("%s: job %d with status %d, and job %d with status %d", o.marker, f.job, f.status, o.job, o.status)
		}
		first[o.marker] = o
	}
	return p
}

func (d *demo) notRun(s starts) *promise {
	p := &promise{text: "Of a request refused as not-run, nothing ran."}
	ran := map[string]bool{} // markers of which one sending was accepted
	for _, o := range d.outcomes {
		ran[o.marker] = ran[o.marker] || o.verdict != verdict.NotRun
	}
	for _, o := range d.outcomes {
		if o.answered && o.verdict == verdict.NotRun && !ran[o.marker] {
			p.checks++
			if n := s.of(o.work); n > 0 {
				p.fault("%s (%s): %d starts", o.marker, o.reason, n)
			}
		}
	}
	return p
}

func (d *demo) atMostOnce(s starts) *promise {
	p := &promise{text: "A request that is not idempotent runs at most once."}
	for _, o := range d.outcomes {
		if o.class != classOnce {
			continue
		}
		p.checks++
		if n := s.of(o.work); n > 1 {
			p.fault("%s: %d starts", o.marker, n)
		}
		if o.status == fasthttp.StatusOK && s.of(o.work) != 1 {
			p.fault("%s: an answer with %d starts", o.marker, s.of(o.work))
		}
	}
	return p
}

func (d *demo) leaving() *promise {
	p := &promise{text: fmt.Sprintf("A leaving upstream gets nothing new after %v.", leaveBound)}
	runs := d.Upstream(drainedAgent).Runs()
	for _, r := range runs {
		p.checks++
		if late := r.Started.Sub(d.drainedAt); late > leaveBound {
			p.fault("%s started %v after the drain", r.Path, late.Round(time.Millisecond))
		}
	}
	return p
}

func (d *demo) planned() *promise {
	p := &promise{text: "A planned stop finishes the work in progress."}
	if d.stopErr != nil {
		p.fault("the stop failed: %v", d.stopErr)
	}
	for _, o := range d.outcomes {
		if o.class == classLeaving {
			p.checks++
			if !o.whole {
				p.fault("the job in progress ended with status %d, %s %s", o.status, o.verdict, o.reason)
			}
		}
	}
	return p
}

func (d *demo) configured() *promise {
	p := &promise{text: fmt.Sprintf("A configuration is in force everywhere within %v.", configBound), checks: 1}
	if d.configErr != nil {
		p.fault("%v", d.configErr)
	}
	if d.configTook > configBound {
		p.fault("it took %v", d.configTook.Round(time.Millisecond))
	}
	return p
}

func (d *demo) slots(runs []upstreamsim.Run) *promise {
	p := &promise{text: "No upstream runs more tasks at once than it has slots.", checks: len(runs)}
	if n := d.Overruns(); n > 0 {
		p.fault("%d starts above the slots", n)
	}
	return p
}

// cases checks that the demo has shown what it names. Without them the promises
// would hold for want of a case.
func (d *demo) cases(s starts) *promise {
	p := &promise{text: "Every case that the demo names came up."}
	seen := func(what string, ok bool) {
		p.checks++
		if !ok {
			p.fault("not seen: %s", what)
		}
	}
	same := map[ids.Job]int{}
	meanwhile := 0
	for _, o := range d.outcomes {
		switch o.class {
		case classResent:
			if o.whole {
				same[o.job]++
			}
		case classNoWay:
			seen("a job refused as infeasible", o.verdict == verdict.NotRun && o.reason == verdict.Infeasible)
		case classCancel:
			n := s.of(o.work)
			seen("a cancelled job of which a part ran", o.state == wire.JobCanceled && n > 0 && n < len(o.runMS))
		case classJob:
			if o.whole && o.sent.After(d.stoppedAt) && o.sent.Before(d.restartedAt) {
				meanwhile++
			}
		}
	}
	seen("a job and its resubmission with the same answer", len(same) == 1 && same[d.resentJob()] == 2)
	seen("jobs admitted and completed while a control node was stopped", meanwhile > 0)
	before := 0
	for _, r := range d.Upstream(drainedAgent).Runs() {
		if r.Started.Before(d.drainedAt) {
			before++
		}
	}
	seen("work at the drained upstream before the drain", before > 0)
	lost := 0
	for _, r := range d.lostRuns {
		if r.Ended.IsZero() || r.Ended.After(d.lostAt) {
			lost++
		}
	}
	seen("work in progress at the lost worker", lost > 0)
	return p
}

// resentJob returns the job of the first answer to the resubmitted work.
func (d *demo) resentJob() ids.Job {
	for _, o := range d.outcomes {
		if o.class == classResent {
			return o.job
		}
	}
	return 0
}

// ideal is a lower bound of the response time of o: every task on the fastest
// upstreams then in service, without any delay or other work.
func (d *demo) ideal(o outcome) time.Duration {
	slots, _ := d.size()
	fastest, total := 0.0, 0.0
	for i, v := range d.opts.Speeds {
		if i == drainedAgent && o.sent.After(d.drainedAt) || i == lostAgent && o.sent.After(d.lostAt) {
			continue
		}
		fastest = max(fastest, v)
		total += v * float64(slots)
	}
	longest, sum := 0.0, 0.0
	for _, ms := range o.runMS {
		longest = max(longest, ms/fastest)
		sum += ms
	}
	return time.Duration(max(longest, sum/total) * float64(time.Millisecond))
}

// firstOf joins the first few faults.
func firstOf(faults []string) string {
	const most = 3
	if len(faults) <= most {
		return strings.Join(faults, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(faults[:most], "; "), len(faults)-most)
}
