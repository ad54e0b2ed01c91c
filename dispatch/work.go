package dispatch

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// MaxRunTime bounds the declared run time of a batch's longest chain of steps. No caller
// waits that long for an answer.
const MaxRunTime = 24 * time.Hour

// Work is the steps of a batch, each number of which is inside the bounds that NewWork
// states. Only NewWork makes one that has steps, so sums and products over a batch can't
// overflow, and its tables stay small. The zero value has no task.
type Work struct {
	steps []Step
	tasks int
	chain time.Duration
}

// NewWork returns the work of a batch, or why there is none, always with verdict not-run.
// With reason BadRequest the steps are malformed:
//
//   - a step has less than one task, a negative size, run time or limit of tasks on a worker;
//   - a step waits for itself, for a later step, or for one that doesn't exist.
//
// With reason Infeasible they are sound, but no worker can ever run them:
//
//   - there are more than wire.MaxTasksPerJob tasks in all;
//   - a task takes more than wire.MaxAmount of a resource;
//   - the longest chain of steps takes longer than MaxRunTime.
//
// A step without a run time gets assumedRunTime. A limit of tasks on one worker that is
// above the number of all tasks is lowered to it.
func NewWork(steps []Step) (Work, *verdict.Error) {
	w := Work{steps: slices.Clone(steps)}
	for i := range w.steps {
		st := &w.steps[i]
		if err := st.checkForm(i); err != nil {
			return Work{}, err
		}
		if err := st.checkAmounts(i, wire.MaxTasksPerJob-w.tasks); err != nil {
			return Work{}, err
		}
		st.normalize()
		w.tasks += st.Tasks
	}
	w.chain = longestChain(w.steps)
	if w.chain > MaxRunTime {
		return Work{}, verdict.Refuse(verdict.Infeasible, "the steps take %v one after the other, at most %v are allowed", w.chain, MaxRunTime)
	}
	return w, nil
}

// Tasks returns the number of tasks of all steps, at most wire.MaxTasksPerJob.
func (w Work) Tasks() int { return w.tasks }

// LongestChain returns the declared run time of the longest chain of steps, at most
// MaxRunTime.
func (w Work) LongestChain() time.Duration { return w.chain }

// Steps returns a copy of the steps.
func (w Work) Steps() []Step { return slices.Clone(w.steps) }

// checkForm returns why the step at a position is malformed, or nil.
func (st *Step) checkForm(position int) *verdict.Error {
	if st.Tasks < 1 || st.RunTime < 0 || st.MaxPerWorker < 0 || st.Spec.Size.HasNegative() {
		return verdict.Refuse(verdict.BadRequest, "step %d is malformed", position)
	}
	for _, k := range st.After {
		if k < 0 || k >= position {
			return verdict.Refuse(verdict.BadRequest, "step %d waits for step %d, which is not an earlier one", position, k)
		}
	}
	return nil
}

// checkAmounts returns why no worker can ever run a step, or nil. maxTasks is the number of
// tasks that the earlier steps have left.
func (st *Step) checkAmounts(position, maxTasks int) *verdict.Error {
	switch {
	case st.Tasks > maxTasks:
		return verdict.Refuse(verdict.Infeasible, "step %d has %d tasks, a batch has at most %d", position, st.Tasks, wire.MaxTasksPerJob)
	case st.Spec.Size.ExceedsMax():
		return verdict.Refuse(verdict.Infeasible, "a task of step %d takes more than any worker has", position)
	case st.RunTime > MaxRunTime:
		return verdict.Refuse(verdict.Infeasible, "a task of step %d takes %v, at most %v are allowed", position, st.RunTime, MaxRunTime)
	}
	return nil
}

// assumedRunTime is used where no run time is declared. Without one, a batch
// would be neither planned nor refused.
const assumedRunTime = 200 * time.Millisecond

// normalize gives values that mean the same one form.
func (st *Step) normalize() {
	if st.RunTime == 0 {
		st.RunTime = assumedRunTime
	}
	st.MaxPerWorker = min(st.MaxPerWorker, wire.MaxTasksPerJob)
	st.After = slices.Clone(st.After)
	slices.Sort(st.After)
	st.After = slices.Compact(st.After)
}

// longestChain returns the declared run time of the longest chain of steps. With the
// bounds of one step it can't overflow: wire.MaxTasksPerJob times MaxRunTime is 27 years.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, st := range steps {
		begin := time.Duration(0)
		for _, k := range st.After {
			begin = max(begin, ends[k])
		}
		ends[i] = begin + st.RunTime
		longest = max(longest, ends[i])
	}
	return longest
}
