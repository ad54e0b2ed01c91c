package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Order is the order in which the omniscient dispatcher takes tasks.
type Order string

// The orders of the omniscient dispatcher. Each is a possible meaning of
// "ideal order"; a comparison uses the one with the lowest mean in the run.
const (
	OrderArrival Order = "arrival"     // jobs in the order of arrival
	OrderFair    Order = "fair"        // the job with the fewest running tasks first
	OrderShort   Order = "fewest-left" // the job with the fewest unstarted tasks first
)

// openJob is a submission in a baseline.
type openJob struct {
	sub     *Submission
	next    int // first task that has not started
	running int
	left    int // tasks without an answer
}

// omniscient is one queue for the whole system with no delay to the upstreams.
// It knows the speeds and sees every slot, but not how long a task will run.
type omniscient struct {
	queue
	dep     Deployment
	order   Order
	free    []int // free slots of each upstream
	bySpeed []int // upstreams, fastest first
	open    []*openJob
	records []Record
}

// RunOmniscient places the submissions with full knowledge and no delay.
func RunOmniscient(d Deployment, subs []*Submission, order Order) []Record {
	o := &omniscient{dep: d, order: order, records: make([]Record, len(subs))}
	for u := range d.Speeds {
		o.free = append(o.free, d.Slots)
		o.bySpeed = append(o.bySpeed, u)
	}
	slices.SortFunc(o.bySpeed, func(a, b int) int { return cmp.Compare(d.Speeds[b], d.Speeds[a]) })
	for i, s := range subs {
		o.records[i] = Record{Sub: s}
		o.at(s.At+d.ClientLatency, func() {
			o.open = append(o.open, &openJob{sub: s, left: len(s.Work)})
			o.place()
		})
	}
	o.runUntil(math.MaxInt64, func() bool { return false })
	return o.records
}

// place starts tasks on the fastest free slot. A task is kept back when it is
// expected to end sooner by waiting for a slot of the faster upstreams.
func (o *omniscient) place() {
	for {
		up, patience := o.fastestFree()
		if up < 0 {
			return
		}
		j := o.taskAt(patience)
		if j == nil {
			return
		}
		o.start(j, up)
	}
}

// fastestFree returns the fastest upstream with a free slot, and how many
// waiting tasks are better served by the busy upstreams that are faster.
func (o *omniscient) fastestFree() (up, patience int) {
	rate, slots := 0.0, 0.0
	for _, u := range o.bySpeed {
		speed := o.dep.Speeds[u]
		if o.free[u] > 0 {
			if slots == 0 {
				return u, 0
			}
			// Run times cancel out: the n-th waiting task starts after n/rate.
			wait := rate * (1/speed - slots/rate)
			return u, max(0, int(math.Ceil(wait))-1)
		}
		rate += speed * float64(o.dep.Slots)
		slots += float64(o.dep.Slots)
	}
	return -1, 0
}

// taskAt returns the job of the n-th waiting task in the order, nil if there are fewer.
func (o *omniscient) taskAt(n int) *openJob {
	slices.SortStableFunc(o.open, func(a, b *openJob) int { return cmp.Compare(o.rank(a), o.rank(b)) })
	for _, j := range o.open {
		waiting := len(j.sub.Work) - j.next
		if n < waiting {
			return j
		}
		n -= waiting
	}
	return nil
}

// rank is smaller for jobs that go first.
func (o *omniscient) rank(j *openJob) int {
	switch o.order {
	case OrderFair:
		return j.running
	case OrderShort:
		return len(j.sub.Work) - j.next
	}
	return j.sub.ID
}

// start runs the next task of j on upstream up.
func (o *omniscient) start(j *openJob, up int) {
	work := j.sub.Work[j.next]
	j.next++
	j.running++
	o.free[up]--
	if j.next == len(j.sub.Work) {
		o.open = slices.DeleteFunc(o.open, func(x *openJob) bool { return x == j })
	}
	o.after(time.Duration(float64(work)/o.dep.Speeds[up]), func() {
		o.free[up]++
		j.running--
		if j.left--; j.left == 0 {
			o.records[j.sub.ID].Ended = o.now + o.dep.ClientLatency
			o.records[j.sub.ID].Complete = true
		}
		o.place()
	})
}

// Pick is a way to choose an upstream when a task arrives at an entry.
type Pick string

// The ways that bind a task to an upstream at once.
const (
	PickRandom Pick = "random"
	PickRound  Pick = "round-robin"
	PickLeast  Pick = "least-outstanding"
	PickTwo    Pick = "two-choices"
)

// viewInterval is how old the shared view of least-outstanding and
// two-choices gets before it is refreshed.
const viewInterval = 100 * time.Millisecond

// pushUpstream is an upstream with an unbounded queue in order of arrival.
type pushUpstream struct {
	running int
	waiting []func()
}

// push sends each task on arrival.
type push struct {
	queue
	dep     Deployment
	pick    Pick
	rng     *rand.Rand
	ups     []pushUpstream
	load    []int   // tasks bound to each upstream now
	seen    []int   // load as of the last refresh
	own     [][]int // change by this entry since the refresh, by entry and upstream
	turn    []int
	records []Record
}

// RunPush places the submissions by a way that binds each task at once.
func RunPush(d Deployment, subs []*Submission, pick Pick, seed uint64) []Record {
	n := len(d.Speeds)
	p := &push{dep: d, pick: pick, rng: rand.New(rand.NewPCG(seed, 2)), ups: make([]pushUpstream, n),
		load: make([]int, n), seen: make([]int, n), turn: make([]int, len(d.Weights)), records: make([]Record, len(subs))}
	for range d.Weights {
		p.own = append(p.own, make([]int, n))
	}
	left := len(subs)
	for i, s := range subs {
		p.records[i] = Record{Sub: s}
		p.at(s.At+d.ClientLatency, func() {
			j := &openJob{sub: s, left: len(s.Work)}
			for _, w := range s.Work {
				p.send(j, w, &left)
			}
		})
	}
	p.refresh(&left)
	p.runUntil(math.MaxInt64, func() bool { return left == 0 })
	return p.records
}

// refresh updates the shared view.
func (p *push) refresh(left *int) {
	copy(p.seen, p.load)
	for _, own := range p.own {
		clear(own)
	}
	if *left > 0 {
		p.after(viewInterval, func() { p.refresh(left) })
	}
}

// send binds one task to an upstream and returns its answer to the entry.
func (p *push) send(j *openJob, work time.Duration, left *int) {
	entry := j.sub.Entry
	up := p.choose(entry)
	p.load[up]++
	p.own[entry][up]++
	p.after(p.dep.link(entry, up), func() {
		p.run(up, time.Duration(float64(work)/p.dep.Speeds[up]), func() {
			p.after(p.dep.link(entry, up), func() {
				p.load[up]--
				p.own[entry][up]--
				if j.left--; j.left == 0 {
					p.records[j.sub.ID].Ended = p.now + p.dep.ClientLatency
					p.records[j.sub.ID].Complete = true
					*left--
				}
			})
		})
	})
}

// run occupies a slot of the upstream, or waits for one.
func (p *push) run(up int, d time.Duration, done func()) {
	u := &p.ups[up]
	start := func() {
		u.running++
		p.after(d, func() {
			u.running--
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				next()
			}
			done()
		})
	}
	if u.running < p.dep.Slots {
		start()
		return
	}
	u.waiting = append(u.waiting, start)
}

// choose picks the upstream of a task.
func (p *push) choose(entry int) int {
	n := len(p.ups)
	view := func(u int) int { return p.seen[u] + p.own[entry][u] }
	switch p.pick {
	case PickRound:
		p.turn[entry]++
		return p.turn[entry] % n
	case PickTwo:
		a, b := p.rng.IntN(n), p.rng.IntN(n)
		if view(b) < view(a) {
			return b
		}
		return a
	case PickLeast:
		first := p.rng.IntN(n)
		best := first
		for i := range n {
			if u := (first + i) % n; view(u) < view(best) {
				best = u
			}
		}
		return best
	}
	return p.rng.IntN(n)
}
