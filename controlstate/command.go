// Package controlstate implements the replicated tables of the control group: the
// configuration, the answers to operators' commands, the members, the job records
// and the hashes of expired job keys. Apply is deterministic: the same commands at
// the same indexes give the same tables on every node.
//
// The id of a job is the log index of its admission record. Each admission of a
// batch is a record of its own, so ids are unique and increasing, and can be
// compared with the indexes of registration and expiry in registry rows. The records
// of a batch share one sync and one message.
package controlstate

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Command is one record of the log. Exactly one of the pointers is set.
type Command struct {
	// Time is the time at the proposing leader in Unix milliseconds. The time of the
	// tables never goes back, even if the clock of a later leader is behind.
	Time           int64              `json:"t"`
	Register       *wire.Registration `json:"reg,omitempty"`
	Expire         *Expire            `json:"exp,omitempty"`
	Drain          *Drain             `json:"drain,omitempty"`
	Admit          *wire.AdmitItem    `json:"adm,omitempty"`
	Complete       *wire.Complete     `json:"end,omitempty"`
	Apply          *wire.Apply        `json:"cfg,omitempty"`
	Patch          *wire.Patch        `json:"patch,omitempty"`
	ApplyRetention *ApplyRetention    `json:"tick,omitempty"`
	DrainDomain    *wire.DrainDomain  `json:"domain,omitempty"`
}

// Expire ends an incarnation whose lease has expired or that leaves.
type Expire struct {
	Incarnation ids.Incarnation `json:"i"`
}

// Drain sets or clears a draining mark. The mark of the member itself and the mark
// of the operators are independent; the member is draining while either is set.
type Drain struct {
	Incarnation ids.Incarnation `json:"i,omitempty"`
	// Node selects all live incarnations of a node instead of one incarnation, and
	// the mark of the operators instead of the member's own.
	Node  ids.Node `json:"n,omitempty"`
	Drain bool     `json:"d"`
}

// ApplyRetention drops the rows of all tables that are past their retention, and
// ends overdue jobs.
type ApplyRetention struct{}

// Encode returns the command as JSON, which Decode reads.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode decodes a command from a log record. It returns an error for a command of a kind
// that this version doesn't know.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, err
	}
	if c == (Command{Time: c.Time}) {
		return c, errors.New("unknown command")
	}
	return c, nil
}

// Result is the reply to the proposer of a command. Err is set if the command was
// refused and had no effect.
type Result struct {
	Incarnation ids.Incarnation  // of Register
	Admit       wire.AdmitResult // of Admit
	Apply       wire.ApplyReply  // of Apply and Patch
	Err         *verdict.Error   // of Register and Drain
	DrainDomain wire.DrainDomainReply
}
