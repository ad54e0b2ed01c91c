package bench

import (
	"math"
	"slices"
	"time"
)

// The trial of a cycle-based split of credit, after a scheme that places
// popular objects in caches: entries count demand in fixed cycles, smooth the
// counts with an exponentially weighted moving average and exchange the
// averages at the end of a cycle. It replaces the demand number on each
// message. Both variants run on one small model of entries and agents, so that
// only the split differs.
const (
	demandCycle  = time.Second
	demandWeight = 0.3 // of the latest cycle in the average
)

// creditModel is two levels of queues: at the entries and at the upstreams.
type creditModel struct {
	queue
	dep      Deployment
	cycles   bool // split by exchanged averages, otherwise by demand on each message
	entries  []*creditEntry
	ups      []*creditUpstream
	bySpeed  []int
	records  []Record
	left     int
	messages int
}

// creditEntry holds the waiting tasks of an entry and what it knows of the upstreams.
type creditEntry struct {
	waiting []*openJob // one element for each task
	credit  []int
	holding []int
	counted int     // tasks that arrived in this cycle
	average float64 // smoothed count
}

// creditUpstream is an agent with its upstream.
type creditUpstream struct {
	running int
	queued  []func()
	held    []int // by entry
	demand  []int
	granted []int
}

// RunCredit places the submissions with credit split by demand or by cycles and
// returns the records and the number of messages between entries and agents.
func RunCredit(d Deployment, subs []*Submission, cycles bool) ([]Record, int) {
	m := &creditModel{dep: d, cycles: cycles, records: make([]Record, len(subs)), left: len(subs)}
	n := len(d.Weights)
	for u := range d.Speeds {
		m.bySpeed = append(m.bySpeed, u)
		m.ups = append(m.ups, &creditUpstream{held: make([]int, n), demand: make([]int, n), granted: make([]int, n)})
	}
	slices.SortFunc(m.bySpeed, func(a, b int) int { return int(math.Copysign(1, d.Speeds[b]-d.Speeds[a])) })
	for range d.Weights {
		e := &creditEntry{credit: make([]int, len(d.Speeds)), holding: make([]int, len(d.Speeds))}
		for u := range e.credit {
			e.credit[u] = (d.Slots + 1) / n
		}
		m.entries = append(m.entries, e)
	}
	for i, s := range subs {
		m.records[i] = Record{Sub: s}
		m.at(s.At+d.ClientLatency, func() { m.arrive(s) })
	}
	if cycles {
		m.after(demandCycle, m.cycle)
	}
	m.runUntil(math.MaxInt64, func() bool { return m.left == 0 })
	return m.records, m.messages
}

// arrive queues the tasks of a submission at its entry.
func (m *creditModel) arrive(s *Submission) {
	e := m.entries[s.Entry]
	j := &openJob{sub: s, left: len(s.Work)}
	for range s.Work {
		e.waiting = append(e.waiting, j)
	}
	e.counted += len(s.Work)
	m.place(s.Entry)
}

// place sends waiting tasks to the fastest upstreams with credit, in one message each.
func (m *creditModel) place(entry int) {
	e := m.entries[entry]
	for _, u := range m.bySpeed {
		n := min(len(e.waiting), e.credit[u]-e.holding[u])
		if n <= 0 {
			continue
		}
		batch := slices.Clone(e.waiting[:n])
		e.waiting = e.waiting[n:]
		e.holding[u] += n
		m.messages++
		demand := len(e.waiting)
		m.after(m.dep.link(entry, u), func() { m.receive(entry, u, batch, demand) })
	}
}

// receive takes in starts at an upstream.
func (m *creditModel) receive(entry, u int, batch []*openJob, demand int) {
	up := m.ups[u]
	up.held[entry] += len(batch)
	up.demand[entry] = demand
	for _, j := range batch {
		work := j.sub.Work[j.next]
		j.next++
		start := func() {
			up.running++
			m.after(time.Duration(float64(work)/m.dep.Speeds[u]), func() { m.answer(entry, u, j) })
		}
		if up.running < m.dep.Slots {
			start()
		} else {
			up.queued = append(up.queued, start)
		}
	}
	m.offer(u, entry)
}

// answer ends a run and tells the entry, with its credit.
func (m *creditModel) answer(entry, u int, j *openJob) {
	up := m.ups[u]
	up.running--
	up.held[entry]--
	if len(up.queued) > 0 {
		next := up.queued[0]
		up.queued = up.queued[1:]
		next()
	}
	m.offer(u, entry)
	m.messages++
	credit := up.granted[entry]
	m.after(m.dep.link(entry, u), func() {
		e := m.entries[entry]
		e.holding[u]--
		if !m.cycles {
			e.credit[u] = credit
		}
		if j.left--; j.left == 0 {
			m.records[j.sub.ID].Ended = m.now + m.dep.ClientLatency
			m.records[j.sub.ID].Complete = true
			m.left--
		}
		m.place(entry)
	})
}

// offer splits the credit of an upstream by need and sends a message of its own
// to another entry whose share opens.
func (m *creditModel) offer(u, talking int) {
	if m.cycles {
		return
	}
	up := m.ups[u]
	free := m.dep.Slots + 1
	for entry := range m.entries {
		free -= min(up.held[entry]+up.demand[entry], (m.dep.Slots+1)/len(m.entries))
	}
	for entry := range m.entries {
		need := up.held[entry] + up.demand[entry]
		share := min(need, (m.dep.Slots+1)/len(m.entries)) + max(free, 0)
		opens := up.demand[entry] > 0 && share > up.held[entry] && up.granted[entry] <= up.held[entry]
		up.granted[entry] = share
		if opens && entry != talking {
			m.messages++
			m.after(m.dep.link(entry, u), func() {
				m.entries[entry].credit[u] = share
				m.place(entry)
			})
		}
	}
}

// cycle exchanges the averages and splits every upstream's credit by them.
func (m *creditModel) cycle() {
	sum := 0.0
	for _, e := range m.entries {
		e.average += demandWeight * (float64(e.counted) - e.average)
		e.counted = 0
		sum += e.average
	}
	m.messages += len(m.entries) * (len(m.entries) - 1)
	m.after(m.dep.DomainLatency, func() {
		for i, e := range m.entries {
			for u := range e.credit {
				e.credit[u] = max(1, int(math.Round(e.average/max(sum, 1)*float64(m.dep.Slots+1))))
			}
			m.place(i)
		}
	})
	m.after(demandCycle, m.cycle)
}
