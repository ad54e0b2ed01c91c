// Package controlstate holds the replicated tables of the control group:
// configuration, answers to operators' commands, members, job records and the
// hashes of expired job keys. Apply is deterministic: the same commands at the
// same indexes give the same tables on every node.
//
// A job's id is the log index of its admission record. Each admission of a
// batch is a record of its own, so ids are unique and increasing, and compare
// directly with the indexes of registration and expiry in registry rows. The
// records of a batch share one sync and one message.
package controlstate

import (
	"encoding/json"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Command is one record of the log. Exactly one of the pointers is set.
type Command struct {
	// Time is the clock of the proposing leader in Unix milliseconds. The time
	// of the tables never goes back, whatever a later leader's clock says.
	Time     int64              `json:"t"`
	Register *wire.Registration `json:"reg,omitempty"`
	Expire   *Expire            `json:"exp,omitempty"`
	Drain    *Drain             `json:"drain,omitempty"`
	Admit    *wire.AdmitItem    `json:"adm,omitempty"`
	Complete *wire.Complete     `json:"end,omitempty"`
	Apply    *wire.Apply        `json:"cfg,omitempty"`
	Tick     *Tick              `json:"tick,omitempty"`
}

// Expire ends an incarnation whose lease ran out or that leaves.
type Expire struct {
	Incarnation ids.Incarnation `json:"i"`
}

// Drain sets a draining mark. A member's own mark and the operators' mark are
// independent; the member drains while either is set.
type Drain struct {
	Incarnation ids.Incarnation `json:"i,omitempty"`
	// Node names the live incarnations of a node instead, for operators.
	Node  ids.Node `json:"n,omitempty"`
	Drain bool     `json:"d"`
}

// Tick applies retention.
type Tick struct{}

// Encode returns the command in the form that Decode reads.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads a command of the log.
func Decode(data []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(data, &c)
	return c, err
}

// Result answers the proposer of a command. Err is set when the command was
// refused and had no effect.
type Result struct {
	Incarnation ids.Incarnation  // of Register
	Admit       wire.AdmitResult // of Admit
	Apply       wire.ApplyReply  // of Apply
	Err         *verdict.Error   // of Register and Drain
}
