package executor

import (
	"maps"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// EntryDump summarizes the state that the agent keeps for an entry.
type EntryDump struct {
	Entry     ids.Incarnation `json:"entry"`
	Connected bool            `json:"connected"`
	Live      bool            `json:"live"` // in the agent's view
	Demand    int             `json:"demand"`
	Holding   int             `json:"holding"`
	Credit    int             `json:"credit"`
	Unacked   int             `json:"unacked"`
}

// Dump summarizes the state of an agent.
type Dump struct {
	View           ids.Version            `json:"view"`
	Current        bool                   `json:"current"`
	Draining       bool                   `json:"draining"`
	Down           bool                   `json:"down"`
	Queued         int                    `json:"queued"`
	Running        int                    `json:"running"`
	AbandonedCalls int                    `json:"lingering"`
	Jobs           int                    `json:"jobs"`
	Rows           map[wire.TaskState]int `json:"rows"`
	AnswerBytes    int64                  `json:"answer_bytes"`
	Entries        []EntryDump            `json:"entries"`
}

// Stats are the values of an agent for its metrics.
type Stats struct {
	Queued, Running int
	Used, Capacity  wire.Resources // zero for an upstream with slots
	Unfit           bool
	Draining        bool
	// Refused is the number of refused starts since New, by reason.
	Refused map[verdict.Reason]uint64
}

// Stats returns the current values. The caller owns the map in Refused.
func (c *Core) Stats() Stats {
	return Stats{
		Queued: c.queued, Running: c.running, Used: c.runningSize, Capacity: c.cfg.Capacity,
		Unfit: c.fitness.unfit, Draining: c.draining(), Refused: maps.Clone(c.refusalCounts),
	}
}

// Dump returns a summary of the current state.
func (c *Core) Dump() Dump {
	d := Dump{
		View: c.viewVersion, Current: c.viewCurrent, Draining: c.draining(), Down: c.upstreamDown,
		Queued: c.queued, Running: c.running, AbandonedCalls: c.abandonedCalls,
		Jobs: len(c.jobs), Rows: map[wire.TaskState]int{}, AnswerBytes: c.answerBytes,
	}
	for _, r := range c.rows {
		d.Rows[r.state]++
	}
	for _, s := range c.sortedSessions {
		d.Entries = append(d.Entries, EntryDump{
			Entry: s.entry, Connected: s.connected, Live: c.liveEntries[s.entry], Demand: s.demand,
			Holding: s.heldCount, Credit: s.credit, Unacked: len(s.unackedAnswers),
		})
	}
	return d
}
