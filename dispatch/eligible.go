package dispatch

import (
	"math"
	"slices"
)

// hasLabel reports whether u hasLabel a label. Every worker hasLabel the empty one.
func (u *upstream) hasLabel(label string) bool {
	return label == "" || slices.Contains(u.member.Labels, label)
}

// remoteFactor is by how much longer a task runs at u for being away from its data.
func (p Placement) remoteFactor(u *upstream) float64 {
	if p.FarFactor <= 1 || u.hasLabel(p.Near) {
		return 1
	}
	return p.FarFactor
}

// slownessAt is the expected run time of a task at u, relative to an average worker near
// its data.
func (j *job) slownessAt(index int, u *upstream) float64 {
	return u.slowness * j.stepOfTask(index).placement.remoteFactor(u)
}

// isEligible reports whether a task may run at u.
func (j *job) isEligible(index int, u *upstream) bool {
	p := j.stepOfTask(index).placement
	return u != j.tasks[index].lastFailedOn && u.hasLabel(p.Label) && (p.MaxPerWorker == 0 || j.stepTasksAt(index, u) < p.MaxPerWorker)
}

// stepTasksAt counts the tasks of a task's step that may run at u.
func (j *job) stepTasksAt(index int, u *upstream) int {
	st := j.stepOfTask(index)
	n := 0
	for i := range st.tasks {
		t := &j.tasks[st.first+i]
		for _, a := range [...]*attempt{t.primary, t.hedge} {
			if a != nil && a.target == u {
				n++
			}
		}
	}
	return n
}

// forEachCandidate passes on the open workers of an index that a task may run at: of each
// speed one, and one near its data if there is such.
func (j *job) forEachCandidate(x *bucketIndex, index int, salt uint64, consider func(*upstream)) {
	p := j.stepOfTask(index).placement
	for b := x.nextBucket(0); b >= 0; b = x.nextBucket(b + 1) {
		u := x.findInBucket(b, salt, func(u *upstream) bool { return j.isEligible(index, u) })
		if u == nil {
			continue
		}
		consider(u)
		if p.Near == "" || u.hasLabel(p.Near) {
			continue
		}
		if n := x.findInBucket(b, salt, func(n *upstream) bool { return n.hasLabel(p.Near) && j.isEligible(index, n) }); n != nil {
			consider(n)
		}
	}
}

// fitsWorker reports whether u can ever run a task of a step.
func (st Step) fitsWorker(u *upstream) bool {
	return u.isWorker() && u.member.Capacity.Holds(st.Spec.Size) && u.hasLabel(st.Label)
}

// maxTasksAt is how many tasks of a batch may run at u at once, by its steps that limit it.
func (b Batch) maxTasksAt(u *upstream) int {
	most := math.MaxInt
	for _, st := range b.Steps {
		if !u.hasLabel(st.Label) {
			return 0
		}
		if st.MaxPerWorker > 0 {
			most = min(most, st.MaxPerWorker)
		}
	}
	return most
}
