package executor

import (
	"github.com/baobabshore/baobabshore/ids"
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
