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

// row is a line of the table of outcomes.
type row struct {
	class                   class
	calls, whole            int
	notRun, ran, mayHaveRun int
	took, ideal             time.Duration // sums over whole answers
	ratios                  []float64     // response time over ideal of each whole answer
	reasons                 map[verdict.Reason]int
}

func (r *row) add(o outcome, ideal time.Duration) {
	r.calls++
	if o.whole {
		r.whole++
		r.took += o.took
		r.ideal += ideal
		r.ratios = append(r.ratios, float64(o.took)/float64(ideal))
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

func (r *row) print(w *tabwriter.Writer) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", r.class, r.calls, r.whole, r.notRun, r.ran, r.mayHaveRun, r.times(), r.reasonList())
}

func (r *row) times() string {
	if r.whole == 0 {
		return "-\t-\t-"
	}
	slices.Sort(r.ratios)
	n := time.Duration(r.whole)
	return fmt.Sprintf("%d ms\t%d ms\t%.2f", (r.took / n).Milliseconds(), (r.ideal / n).Milliseconds(), r.ratios[len(r.ratios)/2])
}

func (r *row) reasonList() string {
	var out []string
	for reason, n := range r.reasons {
		out = append(out, fmt.Sprintf("%s %d", reason, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// report prints the tables and returns an error if a promise does not hold.
func (d *demo) report() error {
	d.printOutcomes()
	d.printMessages()
	broken := 0
	fmt.Fprintln(d.out, "\nPromises, checked against what callers and sample upstreams saw:")
	for _, p := range d.verify() {
		switch {
		case p.holds():
			fmt.Fprintf(d.out, "  holds   %s (%d cases)\n", p.text, p.checks)
		case len(p.faults) == 0:
			broken++
			fmt.Fprintf(d.out, "  UNSEEN  %s (no case came up)\n", p.text)
		default:
			broken++
			fmt.Fprintf(d.out, "  BROKEN  %s %s\n", p.text, firstOf(p.faults))
		}
	}
	if broken > 0 {
		return errors.Errorf("%d promises are broken or were not shown", broken)
	}
	fmt.Fprintln(d.out, "All promises hold.")
	return nil
}

func (d *demo) printOutcomes() {
	var rows []*row
	for _, o := range d.outcomes {
		i := slices.IndexFunc(rows, func(r *row) bool { return r.class == o.class })
		if i < 0 {
			i = len(rows)
			rows = append(rows, &row{class: o.class, reasons: map[verdict.Reason]int{}})
		}
		rows[i].add(o, d.ideal(o))
	}
	slices.SortFunc(rows, func(a, b *row) int { return b.calls - a.calls })
	fmt.Fprintln(d.out)
	w := tabwriter.NewWriter(d.out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CALLS\tSENT\tWHOLE\tNOT-RUN\tRAN\tMAY-HAVE-RUN\tMEAN TIME\tMEAN IDEAL\tMEDIAN TIMES IDEAL\tREASONS")
	for _, r := range rows {
		r.print(w)
	}
	w.Flush()
}

func (d *demo) printMessages() {
	tasks := len(d.Runs())
	fmt.Fprintf(d.out, "\n%d tasks started on %d upstreams. Messages between processes, per started task:\n", tasks, len(d.upstreams))
	for _, role := range []string{"entry", "agent", "control"} {
		sent, received := d.Messages(role)
		fmt.Fprintf(d.out, "  %-8s sent %6d (%.2f), received %6d (%.2f)\n", role, sent, perTask(sent, tasks), received, perTask(received, tasks))
	}
	fmt.Fprintf(d.out, "Admission of a job, which precedes its first start, took %d ms (mean of %d).\n", d.admission().Milliseconds(), len(d.admissions))
	fmt.Fprintf(d.out, "A configuration change was acknowledged by every member after %d ms: each fetches it within 1.5 s, acknowledges it with its next renewal, and a follower passes that on within 0.5 s.\n",
		d.configTook.Milliseconds())
}

// admission is the mean time until a submission without wait is answered.
func (d *demo) admission() time.Duration {
	sum := time.Duration(0)
	for _, t := range d.admissions {
		sum += t
	}
	return sum / time.Duration(max(len(d.admissions), 1))
}

func perTask(n int64, tasks int) float64 { return float64(n) / float64(max(tasks, 1)) }
