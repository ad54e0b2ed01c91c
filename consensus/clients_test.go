package consensus

import (
	"strconv"

	"github.com/anishathalye/porcupine"
)

const clientCount = 3

// operation is one read or write of the register.
type operation struct {
	client int
	write  bool
	value  int // written or read
	call   uint64
	ret    uint64
	index  uint64 // of the entry, or that a read has to see
	term   uint64
	id     uint64
	ready  bool // the read is confirmed
	done   bool
}

// clients issue one operation each at a time and record the history.
type clients struct {
	current [clientCount]*operation
	history []*operation
	next    int
	idle    bool
}

func (c *clients) step(s *sim) {
	for i := range c.current {
		if o := c.current[i]; o != nil && s.now-o.call > 60*unitsPerTick {
			c.abandon(s, o)
		}
		if c.current[i] == nil && !c.idle && s.rng.IntN(2*unitsPerTick) == 0 {
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
	o := &operation{client: client, write: s.rng.IntN(2) == 0, value: c.next, id: uint64(c.next), call: s.now}
	var err error
	if o.write {
		o.index, err = m.node.Propose([]byte(strconv.Itoa(o.value)))
		o.term = m.node.Term()
	} else if s.faults.localReads {
		if !m.node.IsLeader() {
			return
		}
		o.value, o.ret, o.done = m.state.Value, s.now, true
		c.history = append(c.history, o)
		return
	} else {
		err = m.node.ReadIndex(o.id)
	}
	if err != nil {
		return // refused with not-run
	}
	c.current[client] = o
	m.pending = append(m.pending, o)
	if o.write {
		c.history = append(c.history, o)
	}
}

// abandon gives up on an operation. A write may still take effect later.
func (c *clients) abandon(s *sim, o *operation) {
	c.current[o.client] = nil
	for _, m := range s.machines {
		m.drop(o)
	}
}

func (m *machine) drop(o *operation) {
	for i, p := range m.pending {
		if p == o {
			m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
			return
		}
	}
}

func (c *clients) lost(m *machine) {
	for _, o := range m.pending {
		c.current[o.client] = nil
	}
	m.pending = nil
}

// advanced answers the operations that the node of m has finished.
func (c *clients) advanced(s *sim, m *machine, rd Ready) {
	for _, o := range m.pending {
		for _, r := range rd.Reads {
			if !o.write && r.ID == o.id {
				o.ready, o.index = true, r.Index
			}
		}
		for _, id := range rd.Dropped {
			if !o.write && id == o.id {
				c.abandon(s, o)
			}
		}
	}
	for _, o := range m.pending {
		if m.state.Index < o.index || !o.write && !o.ready {
			continue
		}
		m.drop(o)
		c.current[o.client] = nil
		o.ret, o.done = s.now, true
		if !o.write {
			o.value = m.state.Value
			c.history = append(c.history, o)
		} else if s.check.committed[o.index].term != o.term {
			c.replaced(o)
		}
	}
}

// replaced removes a write whose place in the log another entry has taken. It
// must not have run.
func (c *clients) replaced(o *operation) {
	for i, h := range c.history {
		if h == o {
			c.history = append(c.history[:i:i], c.history[i+1:]...)
			return
		}
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
