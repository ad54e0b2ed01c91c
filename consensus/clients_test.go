package consensus

import (
	"slices"
	"strconv"

	"github.com/anishathalye/porcupine"
)

const (
	clientCount        = 3
	clientTimeoutTicks = 60 // ticks after which a client gives an operation up
)

// operation is one read or write of the register.
type operation struct {
	client               int
	write                bool
	value                int // the value written or read; the id of a read until it returns
	callTime, returnTime uint64
	runsOn               *machine // the machine that runs it
	index                uint64   // index of the written entry, or the index that a read must see
	term                 uint64
	readConfirmed        bool
	done                 bool
}

// clients are clients that each issue one operation at a time and record the
// history of operations.
type clients struct {
	current   [clientCount]*operation
	history   []*operation
	lastValue int
	stopped   bool
}

func (c *clients) step(s *sim) {
	for i, o := range c.current {
		if o != nil && s.now-o.callTime > clientTimeoutTicks*s.unitsPerTick {
			c.current[i] = nil
		}
		if c.current[i] == nil && !c.stopped && s.rng.Uint64N(2*s.unitsPerTick) == 0 {
			c.issue(s, i)
		}
	}
}

func (c *clients) issue(s *sim, client int) {
	m := s.randomMachine()
	if l := s.leader(); l != nil && s.rng.IntN(4) > 0 {
		m = l
	}
	if m.node == nil {
		return
	}
	c.lastValue++
	o := &operation{client: client, write: s.rng.IntN(2) == 0, value: c.lastValue, callTime: s.now, runsOn: m}
	if s.faults.unconfirmedReads && !o.write && m.node.IsLeader() {
		o.value, o.returnTime, o.done = m.state.Value, s.now, true
		c.history = append(c.history, o)
		return
	}
	var err error
	if o.write {
		o.index, err = m.node.Propose([]byte(strconv.Itoa(o.value)))
		o.term = m.node.Term()
	} else {
		err = m.node.ReadIndex(uint64(o.value))
	}
	if err != nil {
		return // refused with not-run
	}
	c.current[client] = o
	if o.write {
		c.history = append(c.history, o)
	}
}

// abandonOperations ends the operations on a node that has crashed. Their writes
// may still take effect.
func (c *clients) abandonOperations(m *machine) {
	for i, o := range c.current {
		if o != nil && o.runsOn == m {
			c.current[i] = nil
		}
	}
}

// completeOperations completes the operations that the node of m has finished.
func (c *clients) completeOperations(s *sim, m *machine, rd Ready) {
	for i, o := range c.current {
		if o == nil || o.runsOn != m {
			continue
		}
		if !o.write {
			c.updateRead(o, rd)
		}
		if c.current[i] == nil || m.state.Index < o.index || !o.write && !o.readConfirmed {
			continue
		}
		c.current[i] = nil
		o.returnTime, o.done = s.now, true
		if !o.write {
			o.value = m.state.Value
			c.history = append(c.history, o)
		} else if s.check.committed[o.index].term != o.term {
			// Another entry was committed at its index, so the write must not
			// have taken effect.
			c.history = slices.DeleteFunc(c.history, func(h *operation) bool { return h == o })
		}
	}
}

func (c *clients) updateRead(o *operation, rd Ready) {
	for _, r := range rd.Reads {
		if r.ID == uint64(o.value) {
			o.readConfirmed, o.index = true, r.Index
		}
	}
	if slices.Contains(rd.Dropped, uint64(o.value)) {
		c.current[o.client] = nil
	}
}

type registerInput struct {
	write bool
	value int
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(int) == state.(int), state
	},
}

// linearizable reports whether the history is linearizable. A write without a
// result may take effect at any time after its call.
func (c *clients) linearizable(end uint64) bool {
	var ops []porcupine.Operation
	for i, o := range c.history {
		op := porcupine.Operation{ClientId: o.client, Call: int64(o.callTime), Return: int64(o.returnTime)}
		op.Input = registerInput{o.write, o.value}
		op.Output = o.value
		if !o.done {
			op.ClientId = clientCount + i
			op.Return = int64(end)
		}
		ops = append(ops, op)
	}
	return porcupine.CheckOperations(registerModel, ops)
}
