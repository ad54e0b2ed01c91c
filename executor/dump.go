package executor

import (
	"maps"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// EntryDump is what the agent keeps of an entry.
type EntryDump struct {
	Entry     ids.Incarnation `json:"entry"`
	Connected bool            `json:"connected"`
	Live      bool            `json:"live"` // in the view
	Demand    int             `json:"demand"`
	Holding   int             `json:"holding"`
	Credit    int             `json:"credit"`
	Unacked   int             `json:"unacked"`
}

// Dump holds the tables of an agent in short.
type Dump struct {
	View        ids.Version            `json:"view"`
	Current     bool                   `json:"current"`
	Draining    bool                   `json:"draining"`
	Down        bool                   `json:"down"`
	Queued      int                    `json:"queued"`
	Running     int                    `json:"running"`
	Lingering   int                    `json:"lingering"`
	Jobs        int                    `json:"jobs"`
	Rows        map[wire.TaskState]int `json:"rows"`
	AnswerBytes int64                  `json:"answer_bytes"`
	Entries     []EntryDump            `json:"entries"`
}

// Figures are the numbers of an agent for its metrics.
type Figures struct {
	Queued, Running int
	Used, Capacity  wire.Resources // of a worker
	Unfit           bool
	// Refused counts the starts refused since New by reason.
	Refused map[verdict.Reason]uint64
}

// Figures returns the numbers of the agent. Refused is a copy.
func (c *Core) Figures() Figures {
	return Figures{
		Queued: c.queued, Running: c.running, Used: c.used, Capacity: c.cfg.Capacity,
		Unfit: c.fitness.unfit, Refused: maps.Clone(c.refused),
	}
}

// Dump returns a summary of the tables.
func (c *Core) Dump() Dump {
	d := Dump{
		View: c.view, Current: c.current, Draining: c.draining, Down: c.down,
		Queued: c.queued, Running: c.running, Lingering: c.lingering,
		Jobs: len(c.jobs), Rows: map[wire.TaskState]int{}, AnswerBytes: c.answerBytes,
	}
	for _, r := range c.rows {
		d.Rows[r.state]++
	}
	for _, s := range c.order {
		d.Entries = append(d.Entries, EntryDump{
			Entry: s.entry, Connected: s.connected, Live: c.live[s.entry], Demand: s.demand,
			Holding: s.holding, Credit: s.credit, Unacked: len(s.unacked),
		})
	}
	return d
}
