package dispatch

import (
	"slices"

	"github.com/baobabshore/baobabshore/wire"
)

// hasLabel reports whether u has a label. Every upstream has the empty label.
func (u *upstream) hasLabel(label string) bool {
	return label == "" || slices.Contains(u.member.Labels, label)
}

// remoteFactor returns the factor by which a task runs longer at u because its
// data is elsewhere.
func (p Placement) remoteFactor(u *upstream) float64 {
	if p.FarFactor <= 1 || u.hasLabel(p.Near) {
		return 1
	}
	return p.FarFactor
}

// slownessAt returns the expected run time of a task at u, relative to an
// average worker near the task's data.
func (j *job) slownessAt(index int, u *upstream) float64 {
	return u.slowness * j.stepOfTask(index).placement.remoteFactor(u)
}

// assignment is a task and an upstream at which it may run. Only assign makes one,
// so no path of placement can start a task where it must not run.
type assignment struct {
	job       *job
	taskIndex int
	target    *upstream
}

// assign returns the assignment of a task to u, and whether the task may run there.
func (j *job) assign(index int, u *upstream) (assignment, bool) {
	if !j.mayRunAt(index, u) {
		return assignment{}, false
	}
	return assignment{j, index, u}, true
}

// mayRunAt reports whether a task fits u, and whether the label and the limit of its
// step allow another task of the step there. Only the steps of batches have them.
func (j *job) mayRunAt(index int, u *upstream) bool {
	if j.batch == nil {
		return true
	}
	st := j.stepOfTask(index)
	p := st.placement
	return st.fitsUpstream(u) && (p.MaxPerWorker == 0 || j.stepTasksAt(index, u) < p.MaxPerWorker)
}

// fitsUpstream reports whether a task of the step fits an empty u and its label.
func (st *step) fitsUpstream(u *upstream) bool {
	return u.fitsCapacity(st.size) && u.hasLabel(st.placement.Label)
}

// isEligible reports whether u is a choice for a task: it may run there, and it has
// not just failed there.
func (j *job) isEligible(index int, u *upstream) bool {
	return u != j.tasks[index].lastFailedOn && j.mayRunAt(index, u)
}

// stepTasksAt returns the number of outstanding tasks at u that belong to the
// same step as the given task.
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

// forEachCandidate calls consider with eligible workers of an index at which the size
// of the task is accepted: one of each cost bucket and, if that one is remote, one near
// the task's data if there is such.
func (j *job) forEachCandidate(x *bucketIndex, index int, salt uint64, accepts func(*upstream, wire.Resources) bool, consider func(*upstream)) {
	st := j.stepOfTask(index)
	p := st.placement
	suits := func(u *upstream) bool { return accepts(u, st.size) && j.isEligible(index, u) }
	for b := x.nextBucket(0); b >= 0; b = x.nextBucket(b + 1) {
		u := x.findInBucket(b, salt, suits)
		if u == nil {
			continue
		}
		consider(u)
		if p.Near == "" || u.hasLabel(p.Near) {
			continue
		}
		if n := x.findInBucket(b, salt, func(n *upstream) bool { return n.hasLabel(p.Near) && suits(n) }); n != nil {
			consider(n)
		}
	}
}

// fitsWorker reports whether a task of the step fits an empty u, which is a worker.
func (st Step) fitsWorker(u *upstream) bool {
	return u.isWorker() && u.member.Capacity.Contains(st.Spec.Size) && u.hasLabel(st.Label)
}

// mayUse reports whether a step of the batch fits u and its label.
func (b Batch) mayUse(u *upstream) bool {
	return slices.ContainsFunc(b.Work.steps, func(st Step) bool { return st.fitsWorker(u) })
}

// countRoomAt returns how many tasks of one step of the batch would start at once at u:
// of the step of which most would.
func (b Batch) countRoomAt(u *upstream) int {
	most := 0
	for _, st := range b.Work.steps {
		if !st.fitsWorker(u) {
			continue
		}
		n := u.countRoomFor(st.Spec.Size)
		if st.MaxPerWorker > 0 {
			n = min(n, st.MaxPerWorker)
		}
		most = max(most, n)
	}
	return most
}
