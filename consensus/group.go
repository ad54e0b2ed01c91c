package consensus

import (
	"encoding/json"
	"slices"
)

// Peer returns the row of the node with the given id.
func (g Group) Peer(id ID) (Peer, bool) {
	for _, p := range g.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Voters returns the ids of the voters, in the order of Peers. While voters are
// being exchanged it returns the new ones.
func (g Group) Voters() []ID {
	var ids []ID
	for _, p := range g.Peers {
		if p.Voter {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Joint reports whether voters are being exchanged.
func (g Group) Joint() bool { return len(g.Old) > 0 }

// Votes reports whether the node with the given id is a voter, new or old.
func (g Group) Votes(id ID) bool {
	p, ok := g.Peer(id)
	return ok && p.Voter || slices.Contains(g.Old, id)
}

// admits reports whether the votes of a node count: it is in the group and its
// boot count is not below the recorded one.
func (g Group) admits(id ID, boot uint64) bool {
	p, ok := g.Peer(id)
	return ok && boot >= p.Boot
}

// quorumValue returns the highest value that a majority of the voters has
// reached, and during an exchange a majority of the old voters as well.
func (g Group) quorumValue(value func(ID) uint64) uint64 {
	v := majorityValue(g.Voters(), value)
	if g.Joint() {
		v = min(v, majorityValue(g.Old, value))
	}
	return v
}

func majorityValue(ids []ID, value func(ID) uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(ids))
	for _, id := range ids {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// majority reports whether a quorum satisfies ok.
func (g Group) majority(ok func(ID) bool) bool {
	return g.quorumValue(func(id ID) uint64 {
		if ok(id) {
			return 1
		}
		return 0
	}) == 1
}

func (g Group) clone() Group {
	return Group{Peers: slices.Clone(g.Peers), Old: slices.Clone(g.Old)}
}

func (g Group) encode() []byte {
	b, err := json.Marshal(g)
	if err != nil {
		panic("consensus: a Group always marshals: " + err.Error())
	}
	return b
}

// DecodeGroup returns the group of an entry of kind EntryGroup.
func DecodeGroup(e Entry) (Group, error) {
	var g Group
	err := json.Unmarshal(e.Data, &g)
	return g, err
}

// groupTable holds the membership records of the log, oldest first. The last
// one is in effect, committed or not.
type groupTable struct {
	rows []groupRow
}

type groupRow struct {
	index uint64
	group Group
}

func (t *groupTable) latest() groupRow {
	if len(t.rows) == 0 {
		return groupRow{}
	}
	return t.rows[len(t.rows)-1]
}

func (t *groupTable) add(index uint64, g Group) {
	t.rows = append(t.rows, groupRow{index, g})
}

func (t *groupTable) reset(index uint64, g Group) {
	t.rows = []groupRow{{index, g}}
}

// truncate drops the records from index on.
func (t *groupTable) truncate(index uint64) {
	for len(t.rows) > 0 && t.latest().index >= index {
		t.rows = t.rows[:len(t.rows)-1]
	}
}

// at returns the group in effect at index.
func (t *groupTable) at(index uint64) Group {
	for i := len(t.rows) - 1; i >= 0; i-- {
		if t.rows[i].index <= index {
			return t.rows[i].group
		}
	}
	return Group{}
}

// compact drops the records that are superseded at index.
func (t *groupTable) compact(index uint64) {
	for len(t.rows) > 1 && t.rows[1].index <= index {
		t.rows = t.rows[1:]
	}
}
