package consensus

import (
	"slices"
	"strconv"

	"github.com/anishathalye/porcupine"
)

const (
	clientCount = 3
	clientTicks = 60 // after which a client gives up
)

// operation is one read or write of the register.
type operation struct {
	client    int
	write     bool
	value     int // written or read
	call, ret uint64
	on        *machine // that works on it
	index     uint64   // of the entry, or that a read has to see
	term      uint64
	ready     bool // the read is confirmed
	done      bool
}

// clients issue one operation each at a time and record the history.
type clients struct {
	current [clientCount]*operation
	history []*operation
	next    int
	idle    bool
}

func (c *clients) step(s *sim) {
	for i, o := range c.current {
		if o != nil && s.now-o.call > clientTicks*s.perTick {
			c.current[i] = nil
		}
		if c.current[i] == nil && !c.idle && s.rng.Uint64N(2*s.perTick) == 0 {
			c.issue(s, i)
		}
	}
}

func (c *clients) issue(s *sim, client int) {
	m := s.pick()
	if l := s.leader(); l != nil && s.rng.IntN(4) > 0 {
		m = l
	}
	if m.node == nil {
		return
	}
	c.next++
	o := &operation{client: client, write: s.rng.IntN(2) == 0, value: c.next, call: s.now, on: m}
	if s.faults.localReads && !o.write && m.node.IsLeader() {
		o.value, o.ret, o.done = m.state.Value, s.now, true
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

// lost ends the operations on a node that has crashed. Its writes may take effect.
func (c *clients) lost(m *machine) {
	for i, o := range c.current {
		if o != nil && o.on == m {
			c.current[i] = nil
		}
	}
}

// advanced answers the operations that the node of m has finished.
func (c *clients) advanced(s *sim, m *machine, rd Ready) {
	for i, o := range c.current {
		if o == nil || o.on != m {
			continue
		}
		if !o.write {
			c.confirm(o, rd)
		}
		if c.current[i] == nil || m.state.Index < o.index || !o.write && !o.ready {
			continue
		}
		c.current[i] = nil
		o.ret, o.done = s.now, true
		if !o.write {
			o.value = m.state.Value
			c.history = append(c.history, o)
		} else if s.check.committed[o.index].term != o.term {
			// Another entry has its place: it must not have run.
			c.history = slices.DeleteFunc(c.history, func(h *operation) bool { return h == o })
		}
	}
}

func (c *clients) confirm(o *operation, rd Ready) {
	for _, r := range rd.Reads {
		if r.ID == uint64(o.value) {
			o.ready, o.index = true, r.Index
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

// linearizable checks the history. A write without an answer may take effect at
// any time after its call.
func (c *clients) linearizable(end uint64) bool {
	var ops []porcupine.Operation
	for i, o := range c.history {
		op := porcupine.Operation{ClientId: o.client, Call: int64(o.call), Return: int64(o.ret)}
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
