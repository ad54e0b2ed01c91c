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
	WorkAfterDrain Promise = "new work to a drained upstream after 2 s"
	OutcomeTwice   Promise = "outcome returned twice"
	OutcomeMissing Promise = "outcome never returned"
	CorePanicked   Promise = "core panicked"
)

// Promises lists all promises in the order of the report.
var Promises = []Promise{StartedTwice, SlotsExceeded, WrongAnswer, PartialAnswer,
	FalseNotRun, WorkAfterDrain, OutcomeTwice, OutcomeMissing, CorePanicked}

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

// outcomeID names what a core returns once: a job at an epoch, or a request.
type outcomeID struct {
	job   ids.Job
	epoch ids.Epoch
	key   ids.TaskKey
}

// checker watches a run and collects violations.
type checker struct {
	now        func() time.Duration
	violations []Violation
	started    map[ids.TaskKey]int    // runs of each key
	jobStarted map[ids.Job]bool       // jobs of which any task ran
	notRun     map[ids.Job]bool       // jobs that ended with verdict not-run
	keyNotRun  map[ids.TaskKey]bool   // requests that ended with verdict not-run
	outcomes   map[outcomeID]bool     // outcomes returned
	expected   map[outcomeID]*process // outcomes owed, by the entry that owes them
	once       map[taskID]bool        // tasks that may run once and have
}

func newChecker(now func() time.Duration) *checker {
	return &checker{now: now, started: map[ids.TaskKey]int{}, jobStarted: map[ids.Job]bool{}, notRun: map[ids.Job]bool{},
		keyNotRun: map[ids.TaskKey]bool{}, outcomes: map[outcomeID]bool{}, expected: map[outcomeID]*process{}, once: map[taskID]bool{}}
}

func (k *checker) broken(p Promise, format string, args ...any) {
	k.violations = append(k.violations, Violation{k.now(), p, fmt.Sprintf(format, args...)})
}

// ran records that an upstream began to run a task.
func (k *checker) ran(u *upstream, st wire.Start, s *Submission) {
	if u.running > u.slots {
		k.broken(SlotsExceeded, "upstream %d runs %d of %d", u.index, u.running, u.slots)
	}
	k.started[st.Key]++
	if t, ok := decodeTask(st.Body); ok && !s.Idempotent {
		if k.once[t] {
			k.broken(StartedTwice, "%v of submission %d on upstream %d", st.Key, t.Sub, u.index)
		}
		k.once[t] = true
	}
	if st.Key.IsRequest() {
		if k.keyNotRun[st.Key] {
			k.broken(FalseNotRun, "request %v ran after its refusal", st.Key)
		}
		return
	}
	k.jobStarted[st.Key.Job] = true
	if k.notRun[st.Key.Job] {
		k.broken(FalseNotRun, "task %v ran after the refusal of its job", st.Key)
	}
}

// owes records that an entry owes an outcome.
func (k *checker) owes(e *process, id outcomeID) { k.expected[id] = e }

// outcome checks what a core returned for submission s. A refusal by a former
// owner that neither the control group nor a caller accepts binds nobody.
func (k *checker) outcome(o dispatch.Outcome, s *Submission, accepted bool) {
	id := outcomeID{o.Job, o.Epoch, o.Request}
	if k.outcomes[id] {
		k.broken(OutcomeTwice, "job %v epoch %d request %v", o.Job, o.Epoch, o.Request)
	}
	k.outcomes[id] = true
	delete(k.expected, id)
	if o.Err == nil {
		k.answers(o, s)
		return
	}
	if o.Err.Verdict != verdict.NotRun || !accepted {
		return
	}
	if o.Job == 0 {
		k.keyNotRun[o.Request] = true
		if k.started[o.Request] > 0 {
			k.broken(FalseNotRun, "request %v: %v", o.Request, o.Err)
		}
		return
	}
	k.notRun[o.Job] = true
	if k.jobStarted[o.Job] {
		k.broken(FalseNotRun, "job %v: %v", o.Job, o.Err)
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

// message is the account of one message between an entry and an agent. It is
// wasted unless something in it advanced a task towards its answer: a start
// that led to the run of the task, or the first copy of the answer of a run
// that reached the entry which waited for it. Refused, recalled and repeated
// starts, repeated answers, answers of hedges that lost, refusals, recalls, and
// messages with only credit, demand or acknowledgements are wasted. Claims, and
// the first cancellation of a job at an agent that holds tasks of it, count as
// messages and are not wasted.
type message struct {
	content string // what it carries, to tell kinds of waste apart
	useful  bool
}

// exchangeContent names the most significant part of an exchange.
func exchangeContent(x wire.Exchange) string {
	switch {
	case len(x.Starts) > 0:
		return "starts"
	case len(x.Recalls) > 0:
		return "recalls"
	case len(x.Cancels)+len(x.Aborts) > 0:
		return "cancellations"
	}
	return "acknowledgements"
}

// reportContent names the most significant part of a report.
func reportContent(r wire.Report) string {
	content := "credit"
	for _, a := range r.Answers {
		if a.Verdict != verdict.NotRun {
			return "repeated answers"
		}
		content = "refusals"
	}
	if len(r.Started) > 0 {
		return "late recalls"
	}
	return content
}

// accounts counts messages, starts and refusals.
type accounts struct {
	messages []*message
	claims   int
	starts   int // start items sent
	runs     int // tasks that upstreams began to run
	singles  int // of these, starts sent for single requests
	answered map[ids.TaskKey]bool
	pending  map[startID]*message // first copy delivered of a start that has not run
	canceled map[startID]bool
	held     map[startID]bool       // jobs of which an agent has received starts
	refusals map[verdict.Reason]int // by agents
}

// startID names a start or a job at one agent.
type startID struct {
	agent ids.Incarnation
	key   ids.TaskKey
}

func newAccounts() *accounts {
	return &accounts{answered: map[ids.TaskKey]bool{}, pending: map[startID]*message{}, canceled: map[startID]bool{},
		held: map[startID]bool{}, refusals: map[verdict.Reason]int{}}
}

// message opens the account of a message that is sent.
func (a *accounts) message(content string) *message {
	m := &message{content: content}
	a.messages = append(a.messages, m)
	return m
}

// exchangeArrived notes which starts m brought to an agent.
func (a *accounts) exchangeArrived(to ids.Incarnation, x wire.Exchange, m *message) {
	for _, st := range x.Starts {
		id := startID{to, st.Key}
		a.held[startID{to, ids.TaskKey{Job: st.Key.Job}}] = true
		if a.pending[id] == nil {
			a.pending[id] = m
		}
	}
	for _, o := range x.Cancels {
		id := startID{to, ids.TaskKey{Job: o.Job}}
		if a.held[id] && !a.canceled[id] {
			a.canceled[id] = true
			m.useful = true
		}
	}
}

// ran credits the message that brought a start.
func (a *accounts) ran(at ids.Incarnation, key ids.TaskKey) {
	a.runs++
	if m := a.pending[startID{at, key}]; m != nil {
		m.useful = true
	}
}

// reportArrived credits a message that brought first answers and counts refusals.
func (a *accounts) reportArrived(r wire.Report, m *message) {
	for _, ans := range r.Answers {
		if ans.Verdict == verdict.NotRun {
			a.refusals[ans.Reason]++
			delete(a.pending, startID{r.Upstream, ans.Key})
			continue
		}
		if !a.answered[ans.Key] {
			a.answered[ans.Key] = true
			m.useful = true
		}
	}
}

// totals returns the number of messages and the wasted ones by content.
func (a *accounts) totals() (sent int, wasted map[string]int) {
	wasted = map[string]int{}
	for _, m := range a.messages {
		if !m.useful {
			wasted[m.content]++
		}
	}
	return len(a.messages) + a.claims, wasted
}
