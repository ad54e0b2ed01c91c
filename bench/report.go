package bench

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
)

// deployments in the order of the report.
func deployments() []Deployment { return []Deployment{GtCentro(), Sydjylland()} }

// definitions is the only place that defines the terms of the report.
const definitions = `# Measurements of dispatch and executor

Written by ` + "`go run ./bench/cmd/report`" + ` in virtual time. The same revision gives the same figures.

## Definitions

Times are in milliseconds. *Response time* is what a caller sees, from sending to the whole answer.

*Ideal* of a submission: the larger of its longest task on the fastest upstream and its whole work on
all slots, plus the network. *Lag* is the mean of response time divided by the ideal.

*Omniscient* dispatcher: it has one queue for all entries and no delay to the upstreams, needs no
admission record, knows speeds and sees every slot, but not how long a task will run. It is run in
three orders (arrival, fair, fewest unstarted tasks first). *Mean ratio* and *p99 ratio* are against
the order with the lowest mean in the same run.

*Wasted* message: a message between an entry and an agent in which nothing advanced a task towards its
answer, that is, it holds no start that led to a run and no first copy of the answer of a run. Refused,
recalled and repeated starts, repeated answers, answers of hedges that lost, refusals, recalls, and
messages with only credit, demand or acknowledgements are wasted. Claims, and the first cancellation
of a job at an agent that holds tasks of it, count as messages and are not wasted.

*Incomplete*: submissions that ended without a complete answer.

`

// report writes the page. Its reasons are printed in a table at the end.
type report struct {
	bytes.Buffer
	plots   string // directory
	reasons []string
}

// WriteReport runs all measurements and writes the page and the plots below docs.
func WriteReport(docs string) error {
	r := &report{plots: filepath.Join(docs, "plots")}
	if err := os.MkdirAll(r.plots, 0o755); err != nil {
		return err
	}
	fmt.Fprint(r, definitions)
	r.targets()
	r.sizes()
	if err := r.loads(); err != nil {
		return err
	}
	if err := r.tradeoff(); err != nil {
		return err
	}
	r.faults()
	r.promises()
	r.table("Reasons", "", "run", "refusals by agents", "refusals to callers", "failed submissions", "wasted messages")
	fmt.Fprintln(r, strings.Join(r.reasons, "\n"))
	return os.WriteFile(filepath.Join(docs, "measurements-dispatch.md"), r.Bytes(), 0o644)
}

// table begins a section with a table.
func (r *report) table(title, text string, columns ...string) {
	if text != "" {
		text = "\n" + text + "\n"
	}
	fmt.Fprintf(r, "\n## %s\n%s\n| %s |\n|%s\n", title, text, strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
}

// rows begins a section with a table of measured rows. Times are in milliseconds.
func (r *report) rows(title, text string, labels ...string) {
	r.table(title, text, append(labels, "answers", "mean", "p50", "p99", "p99.9", "lag", "mean ratio", "p99 ratio",
		"messages/task", "wasted", "incomplete")...)
}

// row prints a measured row. Its ratios are against best, if there is one.
func (r *report) row(row Row, best *Row, labels ...any) {
	for _, label := range labels {
		fmt.Fprintf(r, "| %v ", label)
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	fmt.Fprintf(r, "| %d | %.0f | %.0f | %.0f | %.0f | %.2f ", row.Count, ms(row.Mean), ms(row.P50), ms(row.P99), ms(row.P999), row.Lag)
	if best != nil {
		fmt.Fprintf(r, "| %.3f | %.3f ", ratio(row.Mean, best.Mean), ratio(row.P99, best.P99))
	} else {
		fmt.Fprint(r, "| - | - ")
	}
	if row.Results != nil {
		fmt.Fprintf(r, "| %.2f | %.2f %% | %d |\n", row.PerTask(), 100*row.WastedShare(), row.incomplete())
	} else {
		fmt.Fprintln(r, "| - | - | - |")
	}
}

// targets prints the bounds of design section 1.5 that counts and virtual time
// decide.
func (r *report) targets() {
	r.table("Targets", "Bounds of design section 1.5; a missed bound is bold.", "target", "bound", "gt-centro", "sydjylland")
	var columns [][]Target
	for _, d := range deployments() {
		columns = append(columns, AllTargets(d))
	}
	for i, t := range columns[0] {
		relation := "≤"
		if t.AtLeast {
			relation = "≥"
		}
		fmt.Fprintf(r, "| %s | %s %.3g ", t.Name, relation, t.Bound)
		for _, column := range columns {
			format := "| %.4f "
			if !column[i].Met() {
				format = "| **%.4f** "
			}
			fmt.Fprintf(r, format, column[i].Got)
		}
		fmt.Fprintln(r, "|")
	}
}

// sizes compares today's size with the design scale.
func (r *report) sizes() {
	r.rows("Size", "gt-centro at 70 % load, submissions that arrive in the window, against the omniscient dispatcher in fair order.\nMessages are counted from the start of the window. 280 upstreams are the share of one of ten entries at design scale.", "upstreams", "entries", "from", "to", "runs")
	for _, size := range sizeRuns {
		core, ideal := size.run()
		r.row(core, &ideal, size.upstreams, size.entries, size.from, size.to, size.seeds)
		r.addReasons(fmt.Sprintf("%d upstreams, %d entries, from %v", size.upstreams, size.entries, size.from), core.Results)
	}
}

// loads compares the cores and all baselines over the load and plots the curves.
func (r *report) loads() error {
	printed := []float64{0.3, 0.7, 0.9}
	for _, d := range deployments() {
		mean, p99 := curves{}, curves{}
		for _, load := range []float64{0.3, 0.5, 0.7, 0.8, 0.9} {
			rows := Compare(d, Load{Base: load, Length: steadyLength}, steadySeeds)
			if slices.Contains(printed, load) {
				r.load(fmt.Sprintf("%s at %.0f %% load", d.Name, 100*load), rows)
			}
			for _, name := range []string{rowCore, rowOmniscient, rowRandom} {
				row := find(rows, name)
				mean.add(name, 100*load, row.Mean.Seconds())
				p99.add(name, 100*load, row.P99.Seconds())
			}
		}
		fmt.Fprintf(r, "\n![mean](plots/%s-mean.svg)\n![p99](plots/%s-p99.svg)\n", d.Name, d.Name)
		err := cmp.Or(mean.save(r.plots, d.Name+"-mean", "mean response time", "load in %", "seconds", true),
			p99.save(r.plots, d.Name+"-p99", "99th percentile of response time", "load in %", "seconds", true))
		if err != nil {
			return err
		}
	}
	return nil
}

// load prints the rows of one load.
func (r *report) load(title string, rows []Row) {
	r.rows(title, "", "dispatcher")
	best := find(rows, rowOmniscient)
	for _, row := range rows {
		r.row(row, &best, row.Name)
	}
	r.addReasons(title, rows[0].Results)
}

// addReasons counts why agents refused starts, why callers got refusals, how
// submissions ended that are not complete, and what wasted messages held.
func (r *report) addReasons(run string, results []*Result) {
	agents, callers, ends, wasted := map[verdict.Reason]int{}, map[verdict.Reason]int{}, map[string]int{}, map[string]int{}
	for _, res := range results {
		addCounts(agents, res.AgentRefusals)
		addCounts(callers, res.CallerRefusals)
		addCounts(wasted, res.WastedBy)
		for _, rec := range res.Records {
			if !rec.Complete {
				ends[fmt.Sprintf("%s/%s", rec.Verdict, rec.Reason)]++
			}
		}
	}
	r.reasons = append(r.reasons, fmt.Sprintf("| %s | %s | %s | %s | %s |", run, list(agents), list(callers), list(ends), list(wasted)))
}

func addCounts[K comparable](to, from map[K]int) {
	for k, n := range from {
		to[k] += n
	}
}

// list prints counts in order of their names.
func list[K ~string](m map[K]int) string {
	var items []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		items = append(items, fmt.Sprintf("%s %d", k, m[k]))
	}
	return cmp.Or(strings.Join(items, ", "), "none")
}

// tradeoff varies the setting from fewest messages to fastest answers.
func (r *report) tradeoff() error {
	r.rows("Setting tradeoff at 70 % load", "", "deployment", "tradeoff")
	response, messages := curves{}, curves{}
	for _, d := range deployments() {
		for _, t := range []float64{0, 0.25, 0.5, 0.75, 1} {
			d.Tradeoff = t
			row := runSeeds(Options{Deployment: d, Load: Load{Base: 0.7, Length: steadyLength}}, steadySeeds, nil)
			r.row(row, nil, d.Name, t)
			response.add(d.Name, t, row.Lag)
			messages.add(d.Name, t, row.PerTask())
		}
	}
	fmt.Fprint(r, "\n![lag](plots/tradeoff-lag.svg)\n![messages](plots/tradeoff-messages.svg)\n")
	return cmp.Or(response.save(r.plots, "tradeoff-lag", "lag at 70 % load", "tradeoff", "response time / ideal", false),
		messages.save(r.plots, "tradeoff-messages", "messages at 70 % load", "tradeoff", "messages per task", false))
}

// faultSeeds is the number of runs for each kind of fault in the report.
const faultSeeds = 5

// faults runs each kind of fault alone at 70 % load.
func (r *report) faults() {
	kinds := append([]FaultKind{""}, FaultKinds...)
	results := map[FaultKind][]*Result{}
	for _, d := range deployments() {
		r.rows("One fault on "+d.Name+" at 70 % load", fmt.Sprintf("%d runs of %v each, the fault at 15 s for 8 s.", faultSeeds, faultLength), "fault", "violations")
		for _, kind := range kinds {
			row := RunFault(d, kind, faultSeeds)
			broken := 0
			for _, res := range row.Results {
				broken += len(res.Violations)
			}
			r.row(row, nil, cmp.Or(kind, "none"), broken)
			results[kind] = append(results[kind], row.Results...)
		}
	}
	for _, kind := range kinds {
		r.addReasons("fault: "+string(cmp.Or(kind, "none")), results[kind])
	}
}

// reportRuns is the number of seeded fault runs in the report.
const reportRuns = 1050

// promises runs the seeded fault runs and counts broken promises.
func (r *report) promises() {
	broken, counts := FaultRuns(0, reportRuns)
	seeds := map[Promise][]uint64{} // one element for each violation
	for _, seed := range slices.Sorted(maps.Keys(broken)) {
		for _, v := range broken[seed] {
			seeds[v.Promise] = append(seeds[v.Promise], seed)
		}
	}
	text := fmt.Sprintf("Each kind alone and each pair of kinds; %.2f %% of the messages were wasted.", 100*counts.WastedShare())
	r.table(fmt.Sprintf("Promises in %d seeded fault runs", reportRuns), text, "promise broken", "count", "first seed")
	for _, p := range Promises {
		first := "-"
		if len(seeds[p]) > 0 {
			first = fmt.Sprint(seeds[p][0])
		}
		fmt.Fprintf(r, "| %s | %d | %s |\n", p, len(seeds[p]), first)
	}
}
