package bench

import (
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Counts of messages between entries and agents, and of starts.
type Counts struct {
	Messages, Wasted int
	Runs             int // tasks that upstreams began to run
	SingleStarts     int // start items sent for single requests
}

func (c *Counts) add(o Counts) {
	c.Messages += o.Messages
	c.Wasted += o.Wasted
	c.Runs += o.Runs
	c.SingleStarts += o.SingleStarts
}

// PerTask is the number of messages for each task that ran.
func (c Counts) PerTask() float64 { return share(c.Messages, c.Runs) }

// WastedShare is the share of wasted messages.
func (c Counts) WastedShare() float64 { return share(c.Wasted, c.Messages) }

// message is the account of one message between an entry and an agent. It is
// useful if something in it advanced a task towards its answer, otherwise it is
// wasted. The text of the report defines this in full.
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
	counts   Counts // Messages holds claims only, Wasted nothing, until totals
	messages []*message
	answered map[ids.TaskKey]bool
	pending  map[startID]*message   // first copy delivered of a start that has not run
	canceled map[startID]bool       // jobs of which an agent has received a cancellation, false if only starts
	refusals map[verdict.Reason]int // by agents
}

// startID names a start or a job at one agent.
type startID struct {
	agent ids.Incarnation
	key   ids.TaskKey
}

func newAccounts() *accounts {
	return &accounts{answered: map[ids.TaskKey]bool{}, pending: map[startID]*message{}, canceled: map[startID]bool{},
		refusals: map[verdict.Reason]int{}}
}

// reset forgets what was counted so far, not the state of tasks.
func (a *accounts) reset() { a.messages, a.counts = nil, Counts{} }

// message opens the account of a message that is sent.
func (a *accounts) message(content string) *message {
	m := &message{content: content}
	a.messages = append(a.messages, m)
	return m
}

// exchangeArrived notes which starts m brought to an agent.
func (a *accounts) exchangeArrived(to ids.Incarnation, x wire.Exchange, m *message) {
	for _, st := range x.Starts {
		id, job := startID{to, st.Key}, startID{to, ids.TaskKey{Job: st.Key.Job}}
		if _, held := a.canceled[job]; !held {
			a.canceled[job] = false
		}
		if a.pending[id] == nil {
			a.pending[id] = m
		}
	}
	for _, o := range x.Cancels {
		id := startID{to, ids.TaskKey{Job: o.Job}}
		if canceled, held := a.canceled[id]; held && !canceled {
			a.canceled[id] = true
			m.useful = true
		}
	}
}

// ran credits the message that brought a start.
func (a *accounts) ran(at ids.Incarnation, key ids.TaskKey) {
	a.counts.Runs++
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

// totals returns the counts and the wasted messages by content.
func (a *accounts) totals() (Counts, map[string]int) {
	c, wasted := a.counts, map[string]int{}
	c.Messages += len(a.messages)
	for _, m := range a.messages {
		if !m.useful {
			c.Wasted++
			wasted[m.content]++
		}
	}
	return c, wasted
}
