package consensus

import (
	"encoding/json"
	"slices"
)

// Peer returns the member with the given id.
func (g Group) Peer(id ID) (Peer, bool) {
	for _, p := range g.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Voters returns the ids of the voters, in the order of Peers. During the joint
// phase of a membership change it returns the new voters.
func (g Group) Voters() []ID {
	var ids []ID
	for _, p := range g.Peers {
		if p.Voter {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// IsJoint reports whether g is the membership of the joint phase of a change.
func (g Group) IsJoint() bool { return len(g.OldVoters) > 0 }

// IsVoter reports whether the node with the given id is a voter. In the joint phase
// that includes the old and the new voters.
func (g Group) IsVoter(id ID) bool {
	p, ok := g.Peer(id)
	return ok && p.Voter || slices.Contains(g.OldVoters, id)
}

// isCurrentMember reports whether the node is in the group and boot is not below
// the recorded boot count. Votes and replies of other nodes are ignored.
func (g Group) isCurrentMember(id ID, boot uint64) bool {
	p, ok := g.Peer(id)
	return ok && boot >= p.Boot
}

// quorumValue returns the highest value that a majority of the voters has
// reached, and in the joint phase a majority of the old voters as well.
func (g Group) quorumValue(value func(ID) uint64) uint64 {
	v := majorityValue(g.Voters(), value)
	if g.IsJoint() {
		v = min(v, majorityValue(g.OldVoters, value))
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

// hasQuorum reports whether the nodes for which agrees holds form a quorum.
func (g Group) hasQuorum(agrees func(ID) bool) bool {
	return g.quorumValue(func(id ID) uint64 {
		if agrees(id) {
			return 1
		}
		return 0
	}) == 1
}

func (g Group) clone() Group {
	return Group{Peers: slices.Clone(g.Peers), OldVoters: slices.Clone(g.OldVoters), Former: slices.Clone(g.Former)}
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

// groupHistory holds the membership records of the log, oldest first. The last
// one is in effect, committed or not.
type groupHistory struct {
	records []groupRecord
}

type groupRecord struct {
	index uint64
	group Group
}

func (h *groupHistory) latest() groupRecord {
	if len(h.records) == 0 {
		return groupRecord{}
	}
	return h.records[len(h.records)-1]
}

func (h *groupHistory) add(index uint64, g Group) {
	h.records = append(h.records, groupRecord{index, g})
}

func (h *groupHistory) reset(index uint64, g Group) {
	h.records = []groupRecord{{index, g}}
}

// truncateFrom drops the records from index on.
func (h *groupHistory) truncateFrom(index uint64) {
	for len(h.records) > 0 && h.latest().index >= index {
		h.records = h.records[:len(h.records)-1]
	}
}

// at returns the group in effect at index.
func (h *groupHistory) at(index uint64) Group {
	for i := len(h.records) - 1; i >= 0; i-- {
		if h.records[i].index <= index {
			return h.records[i].group
		}
	}
	return Group{}
}

// compact drops the records that are no longer in effect at index.
func (h *groupHistory) compact(index uint64) {
	for len(h.records) > 1 && h.records[1].index <= index {
		h.records = h.records[1:]
	}
}
