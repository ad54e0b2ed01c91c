package bench

import (
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// message is the account of one message between an entry and an agent. It is
// useful if something in it advanced a task towards its answer, otherwise it is
// wasted. The page of the report defines this in full, see definitions.
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
	for _, a := range r.Answers {
		if a.Verdict != verdict.NotRun {
			return "repeated answers"
		}
	}
	switch {
	case len(r.Started) > 0:
		return "late recalls"
	case len(r.Answers) > 0:
		return "refusals"
	}
	return "credit"
}

// accounts counts messages, starts and refusals.
type accounts struct {
	messages []*message
	claims   int
	starts   int // start items sent
	runs     int // tasks that upstreams began to run
	singles  int // of the starts, those of single requests
	answered map[ids.TaskKey]bool
	pending  map[startID]*message   // first copy delivered of a start that has not run
	held     map[startID]bool       // jobs of which an agent has received starts
	canceled map[startID]bool       // jobs of which it has received a cancellation
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

// reset forgets what was counted so far, not the state of tasks.
func (a *accounts) reset() {
	a.messages = nil
	a.claims, a.starts, a.runs, a.singles = 0, 0, 0, 0
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
		switch {
		case ans.Verdict == verdict.NotRun:
			a.refusals[ans.Reason]++
			delete(a.pending, startID{r.Upstream, ans.Key})
		case !a.answered[ans.Key]:
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
