package consensus

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// violation is the panic value of a failed check.
type violation string

func fail(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// checker checks the safety properties of Raft across all nodes of a schedule.
type checker struct {
	leaderOfTerm map[uint64]ID
	knownEntries map[logPosition]entryRecord
	committed    []commitRecord // by index
	machineNames map[ID]string  // name of the machine that last ran with the id
	commitCounts []uint64       // length of committed at the end of each unit of time
	elections    int
}

type logPosition struct{ index, term uint64 }

type entryRecord struct {
	hash     uint64
	prevTerm uint64
}

type commitRecord struct {
	term, hash uint64
	leaderTerm uint64 // term of the leader that committed it
}

func newChecker() checker {
	return checker{
		commitCounts: []uint64{0},
		leaderOfTerm: map[uint64]ID{},
		knownEntries: map[logPosition]entryRecord{},
		machineNames: map[ID]string{},
	}
}

func hashEntry(e Entry) uint64 {
	const prime = 0x9e3779b97f4a7c15
	h := xxhash.Sum64(e.Data) + uint64(e.Kind)
	h = h*prime + e.Index
	return h*prime + e.Term
}

func (c *checker) messageSize(m Message, limit int) {
	messageSize := 0
	for _, e := range m.Entries {
		messageSize += entrySize(e)
	}
	if messageSize > limit && len(m.Entries) > 1 {
		fail("flow control: a message of %d bytes", messageSize)
	}
}

// node checks election safety, log matching, leader completeness and that a
// committed entry is never replaced. It checks only what has changed since its
// last call for the machine.
func (c *checker) node(m *machine) {
	n := m.node
	c.checkLogMatching(m)
	for i := max(m.checked.index, n.log.baseIndex) + 1; i <= n.commit; i++ {
		c.commit(n.log.entries[i-n.log.baseIndex-1], n.term)
	}
	m.checked.index = n.commit
	if tick := n.ConfirmedTick(); tick > 0 {
		if known := c.commitCounts[m.tickTimes[tick]]; n.commit+1 < known {
			fail("confirmation: %s covers %d at tick %d, but %d were committed before", m.name, n.commit, tick, known-1)
		}
	}
	if n.role == leader && m.checked.term != n.term {
		m.checked.term = n.term
		c.checkElection(n)
	}
}

func (c *checker) checkElection(n *Node) {
	c.elections++
	if other, ok := c.leaderOfTerm[n.term]; ok && other != n.cfg.ID {
		fail("election safety: %s and %s lead term %d", other, n.cfg.ID, n.term)
	}
	c.leaderOfTerm[n.term] = n.cfg.ID
	for i := len(c.committed) - 1; i > 0; i-- {
		r := c.committed[i]
		if r.leaderTerm >= n.term {
			continue
		}
		if index := uint64(i); index >= n.log.baseIndex && !n.log.matches(index, r.term) {
			fail("leader completeness: the leader of term %d lacks index %d of term %d", n.term, i, r.term)
		}
		return
	}
}

func (c *checker) checkLogMatching(m *machine) {
	n := m.node
	last := logPosition{n.log.last(), n.log.lastTerm()}
	if m.checkedTail == last {
		return
	}
	m.checkedTail = last
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		prev, _ := n.log.term(e.Index - 1)
		r := entryRecord{hashEntry(e), prev}
		known, ok := c.knownEntries[logPosition{e.Index, e.Term}]
		if ok && known != r {
			fail("log matching: two entries at index %d of term %d", e.Index, e.Term)
		}
		if ok && i < len(n.log.entries)-8 {
			// The entries before this one were compared when it was recorded.
			return
		}
		c.knownEntries[logPosition{e.Index, e.Term}] = r
	}
}

func (c *checker) commit(e Entry, leaderTerm uint64) {
	r := commitRecord{e.Term, hashEntry(e), leaderTerm}
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

// applied checks state machine safety: entries are applied in order, and all nodes
// apply the same entry at an index.
func (c *checker) checkApplied(m *machine, e Entry) {
	if e.Index != m.state.Index+1 {
		fail("state machine: %s applies index %d after %d", m.name, e.Index, m.state.Index)
	}
	if c.committed[e.Index].hash != hashEntry(e) {
		fail("state machine: %s applies another entry at index %d", m.name, e.Index)
	}
}

func (c *checker) checkRestored(m *machine, s *Snapshot) {
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
