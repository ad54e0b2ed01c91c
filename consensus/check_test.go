package consensus

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// violation is the panic value of a failed check.
type violation string

func fail(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// checker compares what all nodes did during a schedule.
type checker struct {
	leaders   map[uint64]ID
	logs      map[cursor]entryRecord
	committed []commitRecord // by index
	names     map[ID]string  // last known machine of an instance
	lengths   []uint64       // of committed at the end of each unit of time
	elections int
}

type cursor struct{ index, term uint64 }

type entryRecord struct {
	hash     uint64
	prevTerm uint64
}

type commitRecord struct {
	term, hash uint64
	in         uint64 // term of the leader that committed it
}

func newChecker() checker {
	return checker{
		lengths: []uint64{0},
		leaders: map[uint64]ID{},
		logs:    map[cursor]entryRecord{},
		names:   map[ID]string{},
	}
}

func hashEntry(e Entry) uint64 {
	const prime = 0x9e3779b97f4a7c15
	h := xxhash.Sum64(e.Data) + uint64(e.Kind)
	h = h*prime + e.Index
	return h*prime + e.Term
}

func (c *checker) size(m Message, limit int) {
	size := 0
	for _, e := range m.Entries {
		size += entrySize(e)
	}
	if size > limit && len(m.Entries) > 1 {
		fail("flow control: a message of %d bytes", size)
	}
}

// node checks election safety, log matching, leader completeness and that a
// committed entry is never replaced. It looks only at what is new.
func (c *checker) node(m *machine) {
	n := m.node
	c.logMatching(m)
	for i := max(m.seen.index, n.log.baseIndex) + 1; i <= n.commit; i++ {
		c.commit(n.log.entries[i-n.log.baseIndex-1], n.term)
	}
	m.seen.index = n.commit
	if at := n.ConfirmedTick(); at > 0 {
		if known := c.lengths[m.ticks[at]]; n.commit+1 < known {
			fail("confirmation: %s covers %d at tick %d, but %d were committed before", m.name, n.commit, at, known-1)
		}
	}
	if n.role == leader && m.seen.term != n.term {
		m.seen.term = n.term
		c.elected(n)
	}
}

func (c *checker) elected(n *Node) {
	c.elections++
	if other, ok := c.leaders[n.term]; ok && other != n.cfg.ID {
		fail("election safety: %s and %s lead term %d", other, n.cfg.ID, n.term)
	}
	c.leaders[n.term] = n.cfg.ID
	for i := len(c.committed) - 1; i > 0; i-- {
		r := c.committed[i]
		if r.in >= n.term {
			continue
		}
		if index := uint64(i); index >= n.log.baseIndex && !n.log.matches(index, r.term) {
			fail("leader completeness: the leader of term %d lacks index %d of term %d", n.term, i, r.term)
		}
		return
	}
}

func (c *checker) logMatching(m *machine) {
	n := m.node
	last := cursor{n.log.last(), n.log.lastTerm()}
	if m.tail == last {
		return
	}
	m.tail = last
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		prev, _ := n.log.term(e.Index - 1)
		r := entryRecord{hashEntry(e), prev}
		known, ok := c.logs[cursor{e.Index, e.Term}]
		if ok && known != r {
			fail("log matching: two entries at index %d of term %d", e.Index, e.Term)
		}
		if ok && i < len(n.log.entries)-8 {
			// The entries before it were compared when it was recorded.
			return
		}
		c.logs[cursor{e.Index, e.Term}] = r
	}
}

func (c *checker) commit(e Entry, in uint64) {
	r := commitRecord{e.Term, hashEntry(e), in}
	for uint64(len(c.committed)) < e.Index {
		c.committed = append(c.committed, commitRecord{})
	}
	if uint64(len(c.committed)) == e.Index {
		c.committed = append(c.committed, r)
		return
	}
	if known := c.committed[e.Index]; known.hash != r.hash {
		fail("committed entry lost: index %d of term %d is replaced by one of term %d", e.Index, known.term, e.Term)
	}
}

// applied checks state machine safety.
func (c *checker) applied(m *machine, e Entry) {
	if e.Index != m.state.Index+1 {
		fail("state machine: %s applies index %d after %d", m.name, e.Index, m.state.Index)
	}
	if c.committed[e.Index].hash != hashEntry(e) {
		fail("state machine: %s applies another entry at index %d", m.name, e.Index)
	}
}

func (c *checker) restored(m *machine, s *Snapshot) {
	if m.state.Index != s.Index || c.committed[s.Index].term != s.Term {
		fail("snapshot: %s restores index %d of term %d", m.name, s.Index, s.Term)
	}
}

// register is the replicated state machine.
type register struct {
	Index uint64
	Value int
}

func (r *register) apply(e Entry) {
	r.Index = e.Index
	if e.Kind == EntryCommand {
		if err := json.Unmarshal(e.Data, &r.Value); err != nil {
			fail("state machine: %v", err)
		}
	}
}

func (r register) encode() []byte {
	if r.Index == 0 {
		r.Index = firstIndex
	}
	b, _ := json.Marshal(r)
	return b
}

func decodeRegister(b []byte) register {
	var r register
	if err := json.Unmarshal(b, &r); err != nil {
		fail("snapshot: %v", err)
	}
	return r
}
