package bench

import (
	"cmp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// warmup is the start of a run that summaries leave out: the cores know no
// speeds yet and the upstreams are empty.
const warmup = 10 * time.Second

// Row is one way to place tasks, measured over several seeds.
type Row struct {
	Name string
	Summary
	Counts
	Records []Record
	Results []*Result // none for a baseline
}

// incomplete counts submissions without a complete answer.
func (r Row) incomplete() int {
	return len(slices.DeleteFunc(slices.Clone(r.Records), func(rec Record) bool { return rec.Complete }))
}

// names of the rows that comparisons refer to.
const (
	rowCore       = "baobabshore"
	rowOmniscient = "omniscient"
	rowRandom     = "random"
)

// Compare runs the cores and all baselines on the same arrivals and service
// times. The first row is the real cores, the second the omniscient dispatcher
// with the best order.
func Compare(d Deployment, l Load, seeds int) []Row {
	rows := make([]Row, 1+len(Baselines))
	parallel(len(rows), func(i int) {
		if i == 0 {
			rows[i] = runSeeds(Options{Deployment: d, Load: l}, seeds, nil)
		} else {
			rows[i] = Baselines[i-1].runSeeds(d, l, seeds, warmup)
		}
	})
	orders := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return !strings.HasPrefix(r.Name, rowOmniscient) })
	best := slices.MinFunc(orders, func(a, b Row) int { return cmp.Compare(a.Mean, b.Mean) })
	best.Name = rowOmniscient
	return slices.Insert(rows, 1, best)
}

// runSeeds runs the baseline with seeds 1 to n and pools the results.
func (way Baseline) runSeeds(d Deployment, l Load, n int, from time.Duration) Row {
	records := make([][]Record, n)
	parallel(n, func(i int) {
		seed := uint64(i) + 1
		records[i] = way.Run(d, Generate(d, l, seed), seed)
	})
	return Row{Name: way.Name, Summary: Summarize(d, slices.Concat(records...), from, l.Length)}
}

// runSeeds runs the cores with seeds 1 to n and pools the results. Vary, if
// given, changes the options of the i-th run.
func runSeeds(o Options, n int, vary func(i int, o *Options)) Row {
	row := Row{Name: rowCore, Results: make([]*Result, n)}
	parallel(n, func(i int) {
		o := o
		o.Seed = uint64(i) + 1
		if vary != nil {
			vary(i, &o)
		}
		row.Results[i] = Run(o)
	})
	for _, r := range row.Results {
		row.Records = append(row.Records, r.Records...)
		row.Counts.add(r.Counts)
	}
	row.Summary = Summarize(o.Deployment, row.Records, cmp.Or(o.CountFrom, warmup), o.Load.Length)
	return row
}

// find returns the row of the given name.
func find(rows []Row, name string) Row {
	return rows[slices.IndexFunc(rows, func(r Row) bool { return r.Name == name })]
}

// ratio divides two times.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// share divides two counts.
func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

// parallel calls f for 0 to n-1 on as many goroutines as there are processors.
func parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

// RunFault runs one kind of fault at 70 % load, over a few seeds.
func RunFault(d Deployment, kind FaultKind, seeds int) Row {
	o := Options{Deployment: d, Load: Load{Base: 0.7, Length: faultLength}}
	return runSeeds(o, seeds, func(i int, o *Options) {
		if kind != "" {
			o.Faults = []Fault{{Kind: kind, At: 15 * time.Second, For: 8 * time.Second, Target: i}}
		}
		o.Load = loadFor(o.Load, o.Faults)
	})
}

// faultLength is the length of a run at 70 % load with one fault.
const faultLength = 40 * time.Second

// loadFor returns the load of a run with the given faults.
func loadFor(l Load, faults []Fault) Load {
	if slices.ContainsFunc(faults, func(f Fault) bool { return f.Kind == WrongRunTimes }) {
		l.DeclaredError = runTimeError
	}
	return l
}

// FaultRuns runs seeds first to first+n-1 of the fault schedules and returns the
// violations by seed.
func FaultRuns(first uint64, n int) (broken map[uint64][]Violation, counts Counts) {
	var mu sync.Mutex
	broken = map[uint64][]Violation{}
	parallel(n, func(i int) {
		seed := first + uint64(i)
		r := Run(FaultOptions(seed))
		mu.Lock()
		defer mu.Unlock()
		counts.add(r.Counts)
		if len(r.Violations) > 0 {
			broken[seed] = r.Violations
		}
	})
	return broken, counts
}

// FaultOptions are the options of the seeded fault run with the given seed: a
// small system, a few seconds of arrivals, one or two faults.
func FaultOptions(seed uint64) Options {
	d := GtCentro()
	if n := uint64(len(FaultKinds)); seed/(n+n*n)%2 == 1 {
		d = Sydjylland()
	}
	d.Speeds, d.Slots = []float64{1, 2, 0.5, 1.3}, 3
	l := Load{Base: 0.6, Length: 5 * time.Second, MaxTasks: 30, Deadline: 20 * time.Second}
	faults := Schedule(d, seed, l.Length)
	return Options{Deployment: d, Load: loadFor(l, faults), Seed: seed, Faults: faults}
}

// sizeRun measures one size of the system for a short time. The whole design
// scale fits only the first seconds of a run into a few seconds of CPU.
type sizeRun struct {
	upstreams, entries int
	from, to           time.Duration
	seeds              int
}

// sizeRuns compare today's size with that of design section 1.4, and with the
// part of it that one entry of ten has.
var sizeRuns = []sizeRun{
	{11, 2, 1 * time.Second, 2 * time.Second, 250},
	{2800, 10, 1 * time.Second, 2 * time.Second, 1},
	{11, 2, 10 * time.Second, 14 * time.Second, 25},
	{280, 1, 10 * time.Second, 14 * time.Second, 1},
	{280, 10, 10 * time.Second, 14 * time.Second, 1},
}

// largeDomains is the number of failure domains of sizes above today's.
const largeDomains = 7

// run runs the cores and the omniscient dispatcher in fair order at 70 % load.
func (r sizeRun) run() (core, ideal Row) {
	d := GtCentro()
	if r.upstreams > len(d.Speeds) {
		d.Domains, d.Weights = largeDomains, slices.Repeat([]int{1}, r.entries)
		d.Speeds = slices.Repeat(spread, r.upstreams/len(spread)+1)[:r.upstreams]
	}
	l := Load{Base: 0.7, Length: r.to}
	core = runSeeds(Options{Deployment: d, Load: l, CountFrom: r.from}, r.seeds, nil)
	return core, fairOrder.runSeeds(d, l, r.seeds, r.from)
}
