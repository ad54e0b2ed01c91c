// Package executor decides for an agent which task runs on its upstream. It
// enforces slots, duplicates and epochs. It holds no network, file, clock or
// random source: the caller passes in time and messages, and carries out what
// Tick returns.
package executor

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// DefaultTradeoff is the balance until SetTradeoff.
const DefaultTradeoff = 0.5

// Config is what the core needs to know of its upstream and limits.
type Config struct {
	Self        ids.Incarnation
	Slots       int // tasks at once on the upstream
	Connections int // connections at once to the upstream, at least Slots in use
	// LookAhead is how many tasks may wait at the agent beyond the running ones.
	LookAhead int
	// Capacity is that of a worker, which runs sized tasks. Slots and Connections
	// don't count then. Zero for an upstream with slots.
	Capacity wire.Resources
	// AnswerBytes bounds the memory of kept answers.
	AnswerBytes int64
}

// Envelope is a message to the entry with the given incarnation.
type Envelope struct {
	To     ids.Incarnation
	Report wire.Report
}

// Output is what one tick decided.
type Output struct {
	// Run lists tasks to send to the upstream now. Each appears once.
	Run []wire.Start
	// Abort lists running tasks whose answer nobody waits for any more.
	Abort []ids.TaskKey
	Send  []Envelope
	// NextTick is when the core needs a tick again without new input, zero for never.
	NextTick time.Duration
}
