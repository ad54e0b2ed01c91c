package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// viewInterval is how old the shared view of least-outstanding and
// two-choices gets before it is refreshed.
const viewInterval = 100 * time.Millisecond

// Baseline is a way to place tasks that the cores are compared with. It has
// either a rank or a choice. With a rank it is omniscient: one queue for the
// whole system and no delay to the upstreams; it knows the speeds and sees
// every slot, but not how long a task will run. With a choice it binds each
// task to an upstream on arrival at an entry.
type Baseline struct {
	Name   string
	rank   func(j *openJob) int // smaller for jobs that go first
	choose func(b *baselineRun, entry int) int
}

// Baselines lists all baselines in the order of the report. Each order of the
// omniscient dispatcher is a possible meaning of "ideal order"; a comparison
// uses the one with the lowest mean in the run.
var Baselines = []Baseline{
	{Name: "omniscient, arrival", rank: func(j *openJob) int { return j.sub.ID }},
	fairOrder,
	{Name: "omniscient, fewest-left", rank: (*openJob).waiting},
	{Name: rowRandom, choose: func(b *baselineRun, _ int) int { return b.rng.IntN(len(b.ups)) }},
	{Name: "round-robin", choose: func(b *baselineRun, entry int) int {
		b.turn[entry]++
		return b.turn[entry] % len(b.ups)
	}},
	{Name: "least-outstanding", choose: func(b *baselineRun, entry int) int {
		first := b.rng.IntN(len(b.ups))
		best := first
		for i := range b.ups {
			best = b.lessLoaded(entry, best, (first+i)%len(b.ups))
		}
		return best
	}},
	{Name: "two-choices", choose: func(b *baselineRun, entry int) int {
		first := b.rng.IntN(len(b.ups))
		return b.lessLoaded(entry, first, b.rng.IntN(len(b.ups)))
	}},
}

// fairOrder is the omniscient dispatcher that takes the job with the fewest
// running tasks first.
var fairOrder = Baseline{Name: "omniscient, fair", rank: func(j *openJob) int { return j.running }}

// openJob is a submission in a baseline.
type openJob struct {
	sub     *Submission
	next    int // number of tasks that have started
	running int
	left    int // tasks without an answer
}

// waiting is the number of tasks that have not started.
func (j *openJob) waiting() int { return len(j.sub.Work) - j.next }

// baselineUpstream is an upstream with an unbounded queue in order of arrival.
type baselineUpstream struct {
	free   int
	queued []func()
	load   int // tasks bound to it now
	seen   int // load as of the last refresh of the view
}

// baselineRun is one run of a baseline.
type baselineRun struct {
	queue
	Baseline
	dep     Deployment
	rng     *rand.Rand
	ups     []baselineUpstream
	bySpeed []int      // upstreams, fastest first
	open    []*openJob // with waiting tasks, of an omniscient dispatcher
	own     [][]int    // change of load by an entry since the refresh, by entry and upstream
	turn    []int      // of each entry
	records []Record
	left    int // submissions without an answer
}

// Run places the submissions and returns a record of each.
func (way Baseline) Run(d Deployment, subs []*Submission, seed uint64) []Record {
	b := &baselineRun{Baseline: way, dep: d, rng: newRand(seed, 2), turn: make([]int, len(d.Weights)),
		records: make([]Record, len(subs)), left: len(subs)}
	for u := range d.Speeds {
		b.ups = append(b.ups, baselineUpstream{free: d.Slots})
		b.bySpeed = append(b.bySpeed, u)
	}
	slices.SortFunc(b.bySpeed, func(x, y int) int { return cmp.Compare(d.Speeds[y], d.Speeds[x]) })
	for range d.Weights {
		b.own = append(b.own, make([]int, len(d.Speeds)))
	}
	for i, s := range subs {
		b.records[i] = Record{Sub: s}
		b.at(s.At+d.ClientLatency, func() { b.arrive(&openJob{sub: s, left: len(s.Work)}) })
	}
	b.refresh()
	b.runUntil(math.MaxInt64, func() bool { return b.left == 0 })
	return b.records
}

// arrive takes in a submission at its entry.
func (b *baselineRun) arrive(j *openJob) {
	if b.rank != nil {
		b.open = append(b.open, j)
		b.place()
		return
	}
	for task := range j.sub.Work {
		b.bind(j, task, b.choose(b, j.sub.Entry))
	}
}

// refresh updates the shared view.
func (b *baselineRun) refresh() {
	for u := range b.ups {
		b.ups[u].seen = b.ups[u].load
	}
	for _, own := range b.own {
		clear(own)
	}
	b.after(viewInterval, b.refresh)
}

// lessLoaded returns u if an entry sees less load there than at best.
func (b *baselineRun) lessLoaded(entry, best, u int) int {
	if b.ups[u].seen+b.own[entry][u] < b.ups[best].seen+b.own[entry][best] {
		return u
	}
	return best
}

// place starts tasks on the fastest free slot. A task is kept back when it is
// expected to end sooner by waiting for a slot of the faster upstreams.
func (b *baselineRun) place() {
	for {
		up, patience := b.fastestFree()
		if up < 0 {
			return
		}
		j := b.jobOfTask(patience)
		if j == nil {
			return
		}
		b.start(j, j.next, up, func() { b.answered(j) })
		if j.waiting() == 0 {
			b.open = slices.DeleteFunc(b.open, func(x *openJob) bool { return x == j })
		}
	}
}

// fastestFree returns the fastest upstream with a free slot, and how many
// waiting tasks are better served by the busy upstreams that are faster.
func (b *baselineRun) fastestFree() (up, patience int) {
	rate, slots := 0.0, 0.0
	for _, u := range b.bySpeed {
		speed := b.dep.Speeds[u]
		if b.ups[u].free > 0 {
			if slots == 0 {
				return u, 0
			}
			// Run times cancel out: the n-th waiting task starts after n/rate.
			wait := rate * (1/speed - slots/rate)
			return u, max(0, int(math.Ceil(wait))-1)
		}
		rate += speed * float64(b.dep.Slots)
		slots += float64(b.dep.Slots)
	}
	return -1, 0
}

// jobOfTask returns the job of the n-th waiting task in order of rank, nil if
// there are fewer.
func (b *baselineRun) jobOfTask(n int) *openJob {
	slices.SortStableFunc(b.open, func(x, y *openJob) int { return cmp.Compare(b.rank(x), b.rank(y)) })
	for _, j := range b.open {
		if n < j.waiting() {
			return j
		}
		n -= j.waiting()
	}
	return nil
}

// start runs a task of j on a free slot of an upstream.
func (b *baselineRun) start(j *openJob, task, up int, done func()) {
	j.next++
	j.running++
	u := &b.ups[up]
	u.free--
	b.after(time.Duration(float64(j.sub.Work[task])/b.dep.Speeds[up]), func() {
		u.free++
		j.running--
		if len(u.queued) > 0 {
			next := u.queued[0]
			u.queued = u.queued[1:]
			next()
		}
		done()
		if b.rank != nil {
			b.place()
		}
	})
}

// bind sends a task of j to an upstream, which runs it when a slot is free and
// returns its answer to the entry.
func (b *baselineRun) bind(j *openJob, task, up int) {
	entry, u := j.sub.Entry, &b.ups[up]
	count := func(n int) {
		u.load += n
		b.own[entry][up] += n
	}
	link := b.dep.link(entry, up)
	count(1)
	start := func() {
		b.start(j, task, up, func() {
			b.after(link, func() {
				count(-1)
				b.answered(j)
			})
		})
	}
	b.after(link, func() {
		if u.free > 0 {
			start()
			return
		}
		u.queued = append(u.queued, start)
	})
}

// answered counts an answer of j and records the last one.
func (b *baselineRun) answered(j *openJob) {
	if j.left--; j.left == 0 {
		b.records[j.sub.ID].Ended = b.now + b.dep.ClientLatency
		b.records[j.sub.ID].Complete = true
		b.left--
	}
}
