package bench

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Promise is an invariant of the design that every run checks.
type Promise string

// The promises, each decided by what the fakes saw and not by what a core says.
const (
	StartedTwice   Promise = "task started twice"
	SlotsExceeded  Promise = "slots exceeded"
	WrongAnswer    Promise = "answer of another request"
	PartialAnswer  Promise = "incomplete answer returned as complete"
	FalseNotRun    Promise = "not-run refusal of something that ran"
	FormerOwner    Promise = "not-run refusal by a former owner of a job that ran"
	WorkAfterDrain Promise = "new work to a drained upstream after 2 s"
	OutcomeTwice   Promise = "outcome returned twice"
	OutcomeMissing Promise = "outcome never returned"
	CorePanicked   Promise = "core panicked"
)

// Promises lists all promises in the order of the report.
var Promises = []Promise{StartedTwice, SlotsExceeded, WrongAnswer, PartialAnswer,
	FalseNotRun, FormerOwner, WorkAfterDrain, OutcomeTwice, OutcomeMissing, CorePanicked}

// drainGrace is how long an upstream may receive new work after it began to leave.
const drainGrace = 2 * time.Second

// Violation is one broken promise.
type Violation struct {
	At      time.Duration
	Promise Promise
	Detail  string
}

// String returns one line for a report.
func (v Violation) String() string { return fmt.Sprintf("%v %s: %s", v.At, v.Promise, v.Detail) }

// taskID names a task by the submission that it belongs to. It travels in the
// task's body and back in the answer's.
type taskID struct {
	Sub   uint32
	Index uint32
}

// encode returns the body of a task.
func (t taskID) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, t.Sub)
	return binary.BigEndian.AppendUint32(b, t.Index)
}

// decodeTask reads a body. A body of another form belongs to no task.
func decodeTask(b []byte) (t taskID, ok bool) {
	if len(b) != 8 {
		return t, false
	}
	return taskID{binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:])}, true
}

// unit returns the key of the job that a task belongs to, or of the request that
// it is.
func unit(task ids.TaskKey) ids.TaskKey {
	if task.IsRequest() {
		return task
	}
	return ids.TaskKey{Job: task.Job}
}

// outcomeID names what a core returns once: a job at an epoch, or a request.
type outcomeID struct {
	unit  ids.TaskKey
	epoch ids.Epoch
}

// checker watches a run and collects violations.
type checker struct {
	now        func() time.Duration
	violations []Violation
	started    map[ids.TaskKey]bool    // units of which any task ran
	notRun     map[ids.TaskKey]Promise // units that ended with verdict not-run, and what a run would break
	outcomes   map[outcomeID]bool      // outcomes returned
	expected   map[outcomeID]*process  // outcomes owed, by the entry that owes them
	once       map[taskID]bool         // tasks that may run once and have
}

func newChecker(now func() time.Duration) *checker {
	return &checker{now: now, started: map[ids.TaskKey]bool{}, notRun: map[ids.TaskKey]Promise{},
		outcomes: map[outcomeID]bool{}, expected: map[outcomeID]*process{}, once: map[taskID]bool{}}
}

func (k *checker) broken(p Promise, format string, args ...any) {
	k.violations = append(k.violations, Violation{k.now(), p, fmt.Sprintf(format, args...)})
}

// ran records that an upstream began to run a task.
func (k *checker) ran(u *upstream, st wire.Start, t taskID, s *Submission) {
	if u.running > u.slots {
		k.broken(SlotsExceeded, "upstream %d runs %d of %d", u.index, u.running, u.slots)
	}
	if !s.Idempotent {
		if k.once[t] {
			k.broken(StartedTwice, "%v of submission %d on upstream %d", st.Key, t.Sub, u.index)
		}
		k.once[t] = true
	}
	k.started[unit(st.Key)] = true
	if p := k.notRun[unit(st.Key)]; p != "" {
		k.broken(p, "%v ran after the refusal", st.Key)
	}
}

// owes records that an entry owes an outcome.
func (k *checker) owes(e *process, unit ids.TaskKey, epoch ids.Epoch) {
	k.expected[outcomeID{unit, epoch}] = e
}

// outcome checks what a core returned for submission s. Former tells that the
// job has another owner by now. Its refusals count as well: a caller may still
// wait at the former owner, and the new owner starts what has not run.
func (k *checker) outcome(o dispatch.Outcome, s *Submission, former bool) {
	id := outcomeID{o.Request, o.Epoch}
	if o.Job != 0 {
		id.unit = ids.TaskKey{Job: o.Job}
	}
	if k.outcomes[id] {
		k.broken(OutcomeTwice, "%v epoch %d", id.unit, o.Epoch)
	}
	k.outcomes[id] = true
	delete(k.expected, id)
	if o.Err == nil {
		k.answers(o, s)
		return
	}
	if o.Err.Verdict != verdict.NotRun {
		return
	}
	p := FalseNotRun
	if former {
		p = FormerOwner
	}
	k.notRun[id.unit] = p
	if k.started[id.unit] {
		k.broken(p, "%v: %v", id.unit, o.Err)
	}
}

// answers checks that a complete outcome holds the result of each task in order.
func (k *checker) answers(o dispatch.Outcome, s *Submission) {
	if len(o.Results) != len(s.Work) {
		k.broken(PartialAnswer, "job %v has %d of %d results", o.Job, len(o.Results), len(s.Work))
		return
	}
	for i, a := range o.Results {
		if a.Verdict != verdict.Ran || a.Status == 0 {
			k.broken(PartialAnswer, "job %v request %v task %d: %v %d %s", o.Job, o.Request, i, a.Verdict, a.Status, a.Reason)
			return
		}
		if t, ok := decodeTask(a.Body); !ok || t != (taskID{uint32(s.ID), uint32(i)}) {
			k.broken(WrongAnswer, "job %v request %v task %d holds %v", o.Job, o.Request, i, t)
			return
		}
	}
}

// finish checks at the end of a run that every outcome owed was returned. An
// entry that has ended owes nothing: its jobs were taken over.
func (k *checker) finish(callers []*caller) {
	for _, c := range callers {
		if !c.done {
			k.broken(OutcomeMissing, "submission %d (%d tasks) of %v", c.sub.ID, len(c.sub.Work), c.sub.At)
		}
	}
	missing := 0
	for id, e := range k.expected {
		if !e.dead && !k.outcomes[id] {
			missing++
		}
	}
	if missing > 0 {
		k.broken(OutcomeMissing, "%d outcomes that live entries still owe", missing)
	}
}
