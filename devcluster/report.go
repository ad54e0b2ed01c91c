package devcluster

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/verdict"
)

// outcomeRow is a line of the outcome table. It sums up the calls of one class.
type outcomeRow struct {
	class                   class
	calls, complete         int
	notRun, ran, mayHaveRun int
	responseTime, ideal     time.Duration // sums over complete answers
	ratios                  []float64     // response time divided by the ideal one, of each complete answer
	reasons                 map[verdict.Reason]int
}

func (r *outcomeRow) add(o outcome, ideal time.Duration) {
	r.calls++
	if o.complete {
		r.complete++
		r.responseTime += o.responseTime
		r.ideal += ideal
		r.ratios = append(r.ratios, float64(o.responseTime)/float64(ideal))
		return
	}
	r.reasons[o.reason]++
	switch o.verdict {
	case verdict.NotRun:
		r.notRun++
	case verdict.Ran:
		r.ran++
	default:
		r.mayHaveRun++
	}
}

func (r *outcomeRow) print(w *tabwriter.Writer) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", r.class, r.calls, r.complete, r.notRun, r.ran, r.mayHaveRun, r.timeColumns(), r.reasonsColumn())
}

func (r *outcomeRow) timeColumns() string {
	if r.complete == 0 {
		return "-\t-\t-"
	}
	slices.Sort(r.ratios)
	n := time.Duration(r.complete)
	return fmt.Sprintf("%d ms\t%d ms\t%.2f", (r.responseTime / n).Milliseconds(), (r.ideal / n).Milliseconds(), r.ratios[len(r.ratios)/2])
}

func (r *outcomeRow) reasonsColumn() string {
	var out []string
	for reason, n := range r.reasons {
		out = append(out, fmt.Sprintf("%s %d", reason, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// report prints the results and returns an error if a promise does not hold.
func (d *demo) report() error {
	d.printOutcomes()
	d.printMessages()
	failed := 0
	fmt.Fprintln(d.out, "\nPromises, checked against what callers and sample upstreams observed:")
	for _, p := range d.checkPromises() {
		switch {
		case p.holds():
			fmt.Fprintf(d.out, "  holds    %s (%d cases)\n", p.description, p.cases)
		case len(p.violations) == 0:
			failed++
			fmt.Fprintf(d.out, "  NO CASE  %s (nothing to check occurred)\n", p.description)
		default:
			failed++
			fmt.Fprintf(d.out, "  FAILED   %s %s\n", p.description, joinFirst(p.violations))
		}
	}
	if failed > 0 {
		return errors.Errorf("%d promises failed or had no case to check", failed)
	}
	fmt.Fprintln(d.out, "All promises hold.")
	return nil
}

func (d *demo) printOutcomes() {
	var rows []*outcomeRow
	for _, o := range d.outcomes {
		i := slices.IndexFunc(rows, func(r *outcomeRow) bool { return r.class == o.class })
		if i < 0 {
			i = len(rows)
			rows = append(rows, &outcomeRow{class: o.class, reasons: map[verdict.Reason]int{}})
		}
		rows[i].add(o, d.idealResponseTime(o))
	}
	slices.SortFunc(rows, func(a, b *outcomeRow) int { return b.calls - a.calls })
	fmt.Fprintln(d.out)
	w := tabwriter.NewWriter(d.out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CALLS\tSENT\tCOMPLETE\tNOT-RUN\tRAN\tMAY-HAVE-RUN\tMEAN TIME\tMEAN IDEAL\tMEDIAN TIME/IDEAL\tREASONS")
	for _, r := range rows {
		r.print(w)
	}
	w.Flush()
}

func (d *demo) printMessages() {
	tasks := len(d.Runs())
	fmt.Fprintf(d.out, "\n%d tasks started on %d upstreams. RPC messages by role, and per started task:\n", tasks, len(d.upstreams))
	for _, role := range []string{"entry", "agent", "control"} {
		sent, received := d.MessageCounts(role)
		fmt.Fprintf(d.out, "  %-8s sent %6d (%.2f), received %6d (%.2f)\n", role, sent, perTask(sent, tasks), received, perTask(received, tasks))
	}
	fmt.Fprintf(d.out, "Admission of a job, which precedes its first start, took %d ms (mean of %d).\n", d.meanAdmissionTime().Milliseconds(), len(d.admissionTimes))
	fmt.Fprintf(d.out, "A configuration change was acknowledged by every member after %d ms: each fetches it within 1.5 s, acknowledges it with its next renewal, and a follower passes that on within 0.5 s.\n",
		d.configDelay.Milliseconds())
}

// meanAdmissionTime returns the mean response time of submissions that don't wait
// for the job.
func (d *demo) meanAdmissionTime() time.Duration {
	sum := time.Duration(0)
	for _, t := range d.admissionTimes {
		sum += t
	}
	return sum / time.Duration(max(len(d.admissionTimes), 1))
}

func perTask(n int64, tasks int) float64 { return float64(n) / float64(max(tasks, 1)) }
