package dispatch

import (
	"math"
	"slices"
)

// has reports whether u has a label. Every worker has the empty one.
func (u *upstream) has(label string) bool {
	return label == "" || slices.Contains(u.member.Labels, label)
}

// far is by how much longer a task runs at u for being away from its data.
func (p Placement) far(u *upstream) float64 {
	if p.FarFactor <= 1 || u.has(p.Near) {
		return 1
	}
	return p.FarFactor
}

// slowAt is the expected run time of a task at u, relative to an average worker near
// its data.
func (j *job) slowAt(index int, u *upstream) float64 {
	return u.slow * j.stepAt(index).placement.far(u)
}

// eligible reports whether a task may run at u.
func (j *job) eligible(index int, u *upstream) bool {
	p := j.stepAt(index).placement
	return u != j.tasks[index].avoid && u.has(p.Label) && (p.MaxPerWorker == 0 || j.running(index, u) < p.MaxPerWorker)
}

// running counts the tasks of a task's step that may run at u.
func (j *job) running(index int, u *upstream) int {
	st := j.stepAt(index)
	n := 0
	for i := range st.tasks {
		t := &j.tasks[st.first+i]
		for _, a := range [...]*attempt{t.primary, t.hedge} {
			if a != nil && a.up == u {
				n++
			}
		}
	}
	return n
}

// candidates passes on the open workers of an index that a task may run at: of each
// speed one, and one near its data if there is such.
func (j *job) candidates(x *bucketIndex, index int, salt uint64, consider func(*upstream)) {
	p := j.stepAt(index).placement
	for b := x.next(0); b >= 0; b = x.next(b + 1) {
		u := x.find(b, salt, func(u *upstream) bool { return j.eligible(index, u) })
		if u == nil {
			continue
		}
		consider(u)
		if p.Near == "" || u.has(p.Near) {
			continue
		}
		if n := x.find(b, salt, func(n *upstream) bool { return n.has(p.Near) && j.eligible(index, n) }); n != nil {
			consider(n)
		}
	}
}

// fits reports whether u can ever run a task of a step.
func (st Step) fits(u *upstream) bool {
	return u.sized() && u.member.Capacity.Contains(st.Spec.Size) && u.has(st.Label)
}

// maxAt is how many tasks of a batch may run at u at once, by its steps that limit it.
func (b Batch) maxAt(u *upstream) int {
	most := math.MaxInt
	for _, st := range b.Steps {
		if !u.has(st.Label) {
			return 0
		}
		if st.MaxPerWorker > 0 {
			most = min(most, st.MaxPerWorker)
		}
	}
	return most
}
