package devcluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
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
		if o.class == classNoWay && (o.verdict != verdict.NotRun || o.reason != verdict.Infeasible) {
			p.fault("%s: answered %s, %s", o.marker, o.verdict, o.reason)
		}
		if o.class == classCancel && s.of(o.work) == len(o.runMS) {
			p.fault("%s: all tasks ran", o.marker)
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

// ideal is a lower bound of the response time of w: every task on the fastest
// upstreams, without any delay or other work.
func (c *Cluster) ideal(w work) time.Duration {
	slots, _ := c.size()
	fastest, total := 0.0, 0.0
	for _, v := range c.opts.Speeds {
		fastest = max(fastest, v)
		total += v * float64(slots)
	}
	longest, sum := 0.0, 0.0
	for _, ms := range w.runMS {
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
