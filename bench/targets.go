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

// Parallel calls f for 0 to n-1 on as many goroutines as there are processors.
func Parallel(n int, f func(i int)) {
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

// Row is one way to place tasks, measured over several seeds.
type Row struct {
	Name string
	Summary
	PerTask float64 // messages for each task that ran, zero if not counted
	Wasted  float64 // share of the messages
	Records []Record
	Results []*Result // none for a baseline
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
	Parallel(len(rows), func(i int) {
		if i == 0 {
			rows[i] = runSeeds(rowCore, Options{Deployment: d, Load: l}, seeds, nil)
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
	Parallel(n, func(i int) {
		seed := uint64(i) + 1
		records[i] = way.Run(d, Generate(d, l, seed), seed)
	})
	return Row{Name: way.Name, Summary: Summarize(d, slices.Concat(records...), from, l.Length)}
}

// runSeeds runs the cores with seeds 1 to n and pools the results. Vary, if
// given, changes the options of the i-th run.
func runSeeds(name string, o Options, n int, vary func(i int, o *Options)) Row {
	row := Row{Name: name, Results: make([]*Result, n)}
	Parallel(n, func(i int) {
		o := o
		o.Seed = uint64(i) + 1
		if vary != nil {
			vary(i, &o)
		}
		row.Results[i] = Run(o)
	})
	messages, wasted, runs := 0, 0, 0
	for _, r := range row.Results {
		row.Records = append(row.Records, r.Records...)
		messages += r.Messages
		wasted += r.Wasted
		runs += r.Runs
	}
	row.Summary = Summarize(o.Deployment, row.Records, cmp.Or(o.CountFrom, warmup), o.Load.Length)
	row.PerTask = share(messages, runs)
	row.Wasted = share(wasted, messages)
	return row
}

// share divides two counts.
func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

// find returns the row of the given name.
func find(rows []Row, name string) Row {
	return rows[slices.IndexFunc(rows, func(r Row) bool { return r.Name == name })]
}

// Target is a bound of design section 1.5 with what a run gave.
type Target struct {
	Name    string
	Bound   float64
	AtLeast bool // the value must reach the bound, otherwise stay within it
	Got     float64
}

// Met reports whether the bound holds.
func (t Target) Met() bool {
	if t.AtLeast {
		return t.Got >= t.Bound
	}
	return t.Got <= t.Bound
}

// steadySeeds and steadyLength are the size of a comparison at steady load.
const (
	steadySeeds  = 6
	steadyLength = 120 * time.Second
)

// SteadyTargets compares the cores with the omniscient dispatcher at 70 % load.
func SteadyTargets(d Deployment) []Target {
	rows := Compare(d, Load{Base: 0.7, Length: steadyLength}, steadySeeds)
	core, best, random := rows[0], find(rows, rowOmniscient), find(rows, rowRandom)
	return []Target{
		{Name: "mean against omniscient", Bound: 1.10, Got: ratio(core.Mean, best.Mean)},
		{Name: "p99 against omniscient", Bound: 1.5, Got: ratio(core.P99, best.P99)},
		{Name: "p99 against random", Bound: 0.5, Got: ratio(core.P99, random.P99)},
		{Name: "wasted messages without faults", Bound: 0.02, Got: core.Wasted},
	}
}

// ratio divides two times.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// faultLength is the length of a run at 70 % load with one fault.
const faultLength = 40 * time.Second

// RunFault runs one kind of fault at 70 % load, over a few seeds.
func RunFault(d Deployment, kind FaultKind, seeds int) Row {
	o := Options{Deployment: d, Load: Load{Base: 0.7, Length: faultLength}}
	return runSeeds(string(kind), o, seeds, func(i int, o *Options) {
		if kind != "" {
			o.Faults = []Fault{{Kind: kind, At: 15 * time.Second, For: 8 * time.Second, Target: i}}
		}
		o.Load = loadFor(o.Load, o.Faults)
	})
}

// loadFor returns the load of a run with the given faults.
func loadFor(l Load, faults []Fault) Load {
	for _, f := range faults {
		if f.Kind == WrongRunTimes {
			l.DeclaredError = runTimeError
		}
	}
	return l
}

// FailingShare is the share of runs that an upstream gets from 2 s after it
// began to fail every request.
func FailingShare(d Deployment, seed uint64) Target {
	const at, settled = 15 * time.Second, 17 * time.Second
	r := Run(Options{Deployment: d, Load: Load{Base: 0.7, Length: faultLength}, Seed: seed,
		Faults: []Fault{{Kind: UpstreamFails, At: at, Target: int(seed)}}})
	bad, all := 0, 0
	for _, s := range r.spans {
		if s.start < settled {
			continue
		}
		all++
		if s.up.index == int(seed)%len(d.Speeds) {
			bad++
		}
	}
	return Target{Name: "load of a failing upstream after 2 s", Bound: 0.01, Got: share(bad, all)}
}

// AttemptsHalfDead is the number of starts for each single request once half of
// the upstreams have died.
func AttemptsHalfDead(d Deployment, seed uint64) Target {
	o := Options{Deployment: d, Load: Load{Base: 0.35, Length: faultLength, MaxTasks: 50}, Seed: seed}
	for i := range (len(d.Speeds) + 1) / 2 {
		o.Faults = append(o.Faults, Fault{Kind: UpstreamDies, At: 3 * time.Second, Target: 2 * i})
	}
	r := Run(o)
	singles := 0
	for _, rec := range r.Records {
		if rec.Sub.Single {
			singles++
		}
	}
	return Target{Name: "attempts with half of the upstreams dead", Bound: 1.2, Got: share(r.SingleStarts, singles)}
}

// Burst of the opening hour.
const (
	burstAt   = 30 * time.Second
	burstFor  = 10 * time.Second
	burstLoad = 3
	burstBase = 0.3
	recovery  = 5 * time.Second
	// burstSlack is how much the mean lag may differ before and after the burst
	// and still count as normal. The lag of equal loads varies by this much.
	burstSlack = 1.25
)

// BurstTargets measures goodput during a burst, the share of the capacity that
// is spent on submissions that end complete, and recovery after it. Callers
// wait for 2 s more than three times the ideal, so work refused during the
// burst does not come back after it.
func BurstTargets(d Deployment, seeds int) []Target {
	l := Load{Base: burstBase, Length: 80 * time.Second, Burst: burstLoad, BurstAt: burstAt, BurstFor: burstFor,
		Deadline: 2 * time.Second, Patience: 3}
	goodput := 0.0
	row := runSeeds("burst", Options{Deployment: d, Load: l}, seeds, nil)
	for _, r := range row.Results {
		goodput += r.workIn(burstAt, burstAt+burstFor, func(s *Submission) bool { return r.Records[s.ID].Complete }) / (d.Capacity() * burstFor.Seconds()) / float64(seeds)
	}
	end := burstAt + burstFor + recovery
	before := Summarize(d, row.Records, warmup, burstAt)
	after := Summarize(d, row.Records, end, end+(burstAt-warmup))
	return []Target{
		{Name: "goodput in a burst of 3 times capacity", Bound: 0.95, AtLeast: true, Got: goodput},
		{Name: "lag 5 s after the burst against before", Bound: burstSlack, Got: after.Lag / max(before.Lag, 1)},
	}
}

// workIn is the work, in seconds at speed 1, that upstreams did in the window for the submissions that f selects.
func (r *Result) workIn(from, to time.Duration, f func(*Submission) bool) float64 {
	sum := 0.0
	for _, s := range r.spans {
		overlap := min(s.end, to) - max(s.start, from)
		if overlap > 0 && f(s.sub) {
			sum += s.work.Seconds() * float64(overlap) / float64(s.end-s.start)
		}
	}
	return sum
}

// QuotaTarget is the largest relative deviation of a team from its share while
// two teams with quotas 3 and 1 both ask for more than they get.
func QuotaTarget(d Deployment, seed uint64) Target {
	l := Load{Base: 2.5, Length: 40 * time.Second, Deadline: 10 * time.Second}
	r := Run(Options{Deployment: d, Load: l, Seed: seed, Quotas: []int{3, 1}})
	var work [teams]float64
	sum := 0.0
	for i := range work {
		work[i] = r.workIn(warmup, l.Length, func(s *Submission) bool { return s.Team == i })
		sum += work[i]
	}
	worst := 0.0
	for i, share := range [teams]float64{0.75, 0.25} {
		worst = max(worst, work[i]/sum/share-1, 1-work[i]/sum/share)
	}
	return Target{Name: "deviation from a team's share at quota", Bound: 0.05, Got: worst}
}

// Size of the runs that compare today's number of upstreams with the design scale.
const (
	scaleUpstreams = 2800
	scaleEntries   = 10
	scaleDomains   = 7
	scaleWarmup    = 1 * time.Second
	scaleLength    = 2 * time.Second
)

// ScaleRun is one size of the system.
type ScaleRun struct {
	Deployment
	Seeds       int
	Core, Ideal Row // Ideal is the omniscient dispatcher in fair order
}

// ScaleRuns runs today's size and the design scale for a short time at 70 %
// load. Today's size has as many more seeds as it is smaller.
func ScaleRuns() []ScaleRun {
	d := GtCentro()
	runs := []ScaleRun{{Deployment: d, Seeds: scaleUpstreams / len(d.Speeds)}, {Deployment: d, Seeds: 1}}
	large := &runs[1].Deployment
	large.Domains, large.Weights = scaleDomains, slices.Repeat([]int{1}, scaleEntries)
	large.Speeds = slices.Repeat(spread, scaleUpstreams/len(spread)+1)[:scaleUpstreams]
	for i := range runs {
		r := &runs[i]
		l := Load{Base: 0.7, Length: scaleLength}
		r.Core = runSeeds(rowCore, Options{Deployment: r.Deployment, Load: l, CountFrom: scaleWarmup}, r.Seeds, nil)
		r.Ideal = Baselines[1].runSeeds(r.Deployment, l, r.Seeds, scaleWarmup)
	}
	return runs
}

// FaultRuns runs seeds first to first+n-1 of the fault schedules and returns the
// violations by seed, and the messages and how many of them were wasted.
func FaultRuns(first uint64, n int) (broken map[uint64][]Violation, messages, wasted int) {
	var mu sync.Mutex
	broken = map[uint64][]Violation{}
	Parallel(n, func(i int) {
		seed := first + uint64(i)
		r := Run(FaultOptions(seed))
		mu.Lock()
		defer mu.Unlock()
		messages += r.Messages
		wasted += r.Wasted
		if len(r.Violations) > 0 {
			broken[seed] = r.Violations
		}
	})
	return broken, messages, wasted
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

// FaultWaste is the share of wasted messages over runs with each kind of fault.
func FaultWaste(d Deployment, seeds int) Target {
	messages, wasted := 0, 0
	for _, kind := range FaultKinds {
		for _, r := range RunFault(d, kind, seeds).Results {
			messages += r.Messages
			wasted += r.Wasted
		}
	}
	return Target{Name: "wasted messages with faults", Bound: 0.05, Got: share(wasted, messages)}
}

// burstSeeds is the number of runs of the opening burst.
const burstSeeds = 5

// AllTargets measures every bound for one deployment.
func AllTargets(d Deployment) []Target {
	list := SteadyTargets(d)
	list = append(list, FaultWaste(d, 2), FailingShare(d, 1), AttemptsHalfDead(d, 1), QuotaTarget(d, 1))
	return append(list, BurstTargets(d, burstSeeds)...)
}
