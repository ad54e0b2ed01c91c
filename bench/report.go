package bench

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/baobabshore/baobabshore/verdict"
)

// ReportOptions set the size of a report.
type ReportOptions struct {
	FaultRuns int           // seeded fault runs
	Seeds     int           // of each comparison
	Length    time.Duration // of the arrivals of each comparison
}

// DefaultReport is the size of the committed report.
func DefaultReport() ReportOptions {
	return ReportOptions{FaultRuns: 1050, Seeds: steadySeeds, Length: steadyLength}
}

// deployments in the order of the report.
func deployments() []Deployment { return []Deployment{GtCentro(), Sydjylland()} }

const intro = `# Measurements of dispatch and executor

Written by ` + "`go run ./bench/cmd/report`" + ` in virtual time. The same revision and
options give the same figures. Times are in milliseconds.

Response time is what a caller sees, from sending to the whole answer. *Lag* is the mean of response
time divided by the ideal of the submission: the larger of its longest task on the fastest upstream
and its whole work on all slots, plus the network. The omniscient dispatcher has one queue for all
entries and no delay to the upstreams, needs no admission record, knows speeds and sees every slot,
but not how long a task will run. It is run in three orders (arrival, fair, fewest unstarted tasks
first); ratios are against the order with the lowest mean in the same run.

A message between an entry and an agent is *wasted* if nothing in it advanced a task towards its
answer, that is, it holds no start that led to a run and no first copy of the answer of a run.
Refused, recalled and repeated starts, repeated answers, answers of hedges that lost, refusals,
recalls, and messages with only credit, demand or acknowledgements are wasted. Claims, and the first
cancellation of a job at an agent that holds tasks of it, count as messages and are not wasted.

`

// WriteReport runs all measurements, writes the tables to w and the plots to dir.
func WriteReport(w io.Writer, dir string, o ReportOptions) error {
	fmt.Fprint(w, intro)
	reportTargets(w)
	if err := reportLoads(w, dir, o); err != nil {
		return err
	}
	if err := reportTradeoff(w, dir, o); err != nil {
		return err
	}
	reportFaults(w)
	reportViolations(w, o)
	return nil
}

// reportTargets prints the bounds of design section 1.5 that counts and virtual
// time decide.
func reportTargets(w io.Writer) {
	fmt.Fprintf(w, "## Targets\n\n| deployment | target | bound | measured | met |\n|---|---|---|---|---|\n")
	for _, d := range deployments() {
		for _, t := range AllTargets(d) {
			relation := "≤"
			if t.AtLeast {
				relation = "≥"
			}
			fmt.Fprintf(w, "| %s | %s | %s %.3g | %.4f | %s |\n", d.Name, t.Name, relation, t.Bound, t.Got, yes(t.Met()))
		}
	}
	fmt.Fprintln(w)
}

func yes(ok bool) string {
	if ok {
		return "yes"
	}
	return "**no**"
}

// millis formats a time.
func millis(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond)) }

const rowHead = "| way | answers | mean | p50 | p99 | p99.9 | lag | mean ratio | p99 ratio | messages/task | wasted | incomplete |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// printRows prints rows of one load with their ratios to the omniscient row.
func printRows(w io.Writer, rows []Row) {
	fmt.Fprint(w, rowHead)
	best := find(rows, rowOmniscient)
	for _, r := range rows {
		counts := "- | - | -"
		if r.Results != nil {
			counts = fmt.Sprintf("%.2f | %.2f %% | %d", r.PerTask, 100*r.Wasted, incomplete(r.Results))
		}
		fmt.Fprintf(w, "| %s | %d | %s | %s | %s | %s | %.2f | %.3f | %.3f | %s |\n", r.Name, r.Count, millis(r.Mean), millis(r.P50),
			millis(r.P99), millis(r.P999), r.Lag, ratio(r.Mean, best.Mean), ratio(r.P99, best.P99), counts)
	}
	fmt.Fprintln(w)
}

// incomplete counts submissions without a complete answer.
func incomplete(results []*Result) int {
	n := 0
	for _, r := range results {
		for _, rec := range r.Records {
			if !rec.Complete {
				n++
			}
		}
	}
	return n
}

// reportLoads compares all ways over the load and plots the curves.
func reportLoads(w io.Writer, dir string, o ReportOptions) error {
	loads := []float64{0.3, 0.5, 0.7, 0.8, 0.9}
	printed := []float64{0.3, 0.7, 0.9}
	for _, d := range deployments() {
		mean, p99 := curves{}, curves{}
		for _, load := range loads {
			rows := Compare(d, Load{Base: load, Length: o.Length}, o.Seeds)
			if slices.Contains(printed, load) {
				fmt.Fprintf(w, "## %s at %.0f %% load\n\n", d.Name, 100*load)
				printRows(w, rows)
				printReasons(w, "Refusals", rows[0].Results)
			}
			for _, name := range []string{rowCore, rowOmniscient, rowRandom} {
				r := find(rows, name)
				mean.add(name, 100*load, r.Mean.Seconds())
				p99.add(name, 100*load, r.P99.Seconds())
			}
		}
		if err := mean.save(dir, d.Name+"-mean", "mean response time", "load in %", "seconds", true); err != nil {
			return err
		}
		if err := p99.save(dir, d.Name+"-p99", "99th percentile of response time", "load in %", "seconds", true); err != nil {
			return err
		}
		fmt.Fprintf(w, "![mean](plots/%s-mean.svg)\n![p99](plots/%s-p99.svg)\n\n", d.Name, d.Name)
	}
	return nil
}

// printReasons prints how often agents refused starts and callers got refusals,
// and how submissions ended that are not complete.
func printReasons(w io.Writer, title string, results []*Result) {
	agents, callers, ends, wasted := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range results {
		addReasons(agents, r.AgentRefusals)
		addReasons(callers, r.CallerRefusals)
		for content, n := range r.WastedBy {
			wasted[content] += n
		}
		for _, rec := range r.Records {
			if !rec.Complete {
				ends[fmt.Sprintf("%s/%s", rec.Verdict, rec.Reason)]++
			}
		}
	}
	fmt.Fprintf(w, "%s by agents: %s. To callers: %s. Failed submissions: %s. Wasted messages: %s.\n\n", title,
		list(agents), list(callers), list(ends), list(wasted))
}

func addReasons(to map[string]int, from map[verdict.Reason]int) {
	for reason, n := range from {
		to[string(reason)] += n
	}
}

// list prints counts in order of their names.
func list(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	s := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s += fmt.Sprintf(", %s %d", k, m[k])
	}
	return s[2:]
}

// reportTradeoff varies the setting from fewest messages to fastest answers.
func reportTradeoff(w io.Writer, dir string, o ReportOptions) error {
	fmt.Fprintf(w, "## Setting tradeoff at 70 %% load\n\n| deployment | tradeoff | mean | p99 | lag | messages/task | wasted |\n|---|---|---|---|---|---|---|\n")
	response, messages := curves{}, curves{}
	for _, d := range deployments() {
		for _, t := range []float64{0, 0.25, 0.5, 0.75, 1} {
			d.Tradeoff = t
			r := runSeeds("", Options{Deployment: d, Load: Load{Base: 0.7, Length: o.Length}}, o.Seeds, nil)
			fmt.Fprintf(w, "| %s | %.2f | %s | %s | %.3f | %.2f | %.2f %% |\n", d.Name, t, millis(r.Mean), millis(r.P99), r.Lag, r.PerTask, 100*r.Wasted)
			response.add(d.Name, t, r.Lag)
			messages.add(d.Name, t, r.PerTask)
		}
	}
	fmt.Fprint(w, "\n![lag](plots/tradeoff-lag.svg)\n![messages](plots/tradeoff-messages.svg)\n\n")
	return cmp.Or(response.save(dir, "tradeoff-lag", "lag at 70 % load", "tradeoff", "response time / ideal", false),
		messages.save(dir, "tradeoff-messages", "messages at 70 % load", "tradeoff", "messages per task", false))
}

// faultSeeds is the number of runs for each kind of fault in the report.
const faultSeeds = 5

// reportFaults runs each kind of fault alone at 70 % load.
func reportFaults(w io.Writer) {
	fmt.Fprintf(w, "## One fault at 70 %% load\n\n%d runs of %v each, the fault at 15 s for 8 s.\n\n", faultSeeds, faultLength)
	fmt.Fprintf(w, "| deployment | fault | mean | p99 | lag | messages/task | wasted | incomplete | violations |\n|---|---|---|---|---|---|---|---|---|\n")
	all := map[string][]*Result{}
	for _, d := range deployments() {
		for _, kind := range append([]FaultKind{""}, FaultKinds...) {
			r := RunFault(d, kind, faultSeeds)
			name := cmp.Or(string(kind), "none")
			broken := 0
			for _, res := range r.Results {
				broken += len(res.Violations)
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s | %.2f | %.2f | %.2f %% | %d | %d |\n", d.Name, name, millis(r.Mean), millis(r.P99), r.Lag,
				r.PerTask, 100*r.Wasted, incomplete(r.Results), broken)
			all[name] = append(all[name], r.Results...)
		}
	}
	fmt.Fprintln(w)
	for _, kind := range append([]FaultKind{""}, FaultKinds...) {
		name := cmp.Or(string(kind), "none")
		printReasons(w, name+": refusals", all[name])
	}
}

// reportViolations runs the seeded fault runs and counts broken promises.
func reportViolations(w io.Writer, o ReportOptions) {
	broken, messages, wasted := FaultRuns(0, o.FaultRuns)
	count := map[Promise]int{}
	first := map[Promise]uint64{}
	for _, seed := range slices.Sorted(maps.Keys(broken)) {
		for _, v := range broken[seed] {
			if count[v.Promise]++; count[v.Promise] == 1 {
				first[v.Promise] = seed
			}
		}
	}
	fmt.Fprintf(w, "## Promises in %d seeded fault runs\n\nEach kind alone and each pair of kinds; %.2f %% of the messages were wasted.\n\n", o.FaultRuns,
		100*float64(wasted)/float64(max(messages, 1)))
	fmt.Fprintf(w, "| promise broken | count | first seed |\n|---|---|---|\n")
	for _, p := range Promises {
		seed := "-"
		if count[p] > 0 {
			seed = fmt.Sprint(first[p])
		}
		fmt.Fprintf(w, "| %s | %d | %s |\n", p, count[p], seed)
	}
	fmt.Fprintln(w)
}

// curves are named lines of a plot.
type curves map[string]plotter.XYs

func (c curves) add(name string, x, y float64) { c[name] = append(c[name], plotter.XY{X: x, Y: y}) }

// save writes the plot as an SVG file.
func (c curves) save(dir, name, title, x, y string, logarithmic bool) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	if logarithmic {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	var lines []any
	for _, k := range slices.Sorted(maps.Keys(c)) {
		lines = append(lines, k, c[k])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, name+".svg"))
}
