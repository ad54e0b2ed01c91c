package controlstate

import (
	"maps"
	"slices"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// maxChanges bounds the change log. It covers two days of configuration changes
// at the design scale. A member that is further behind gets the whole view.
const maxChanges = 4096

// maxChangedKeys bounds the setting names in the change log.
const maxChangedKeys = 50_000

// change is one record of the change log. It names what changed; the content is
// taken from the tables when a member asks.
type change struct {
	Index     uint64          `json:"i"`
	Keys      []string        `json:"k,omitempty"` // settings
	Member    ids.Incarnation `json:"m,omitempty"`
	Forgotten wire.Kind       `json:"f,omitempty"` // kind of a dropped member
	Job       ids.Job         `json:"j,omitempty"`
	Epoch     ids.Epoch       `json:"e,omitempty"` // set when Owner no longer owns Job
	Owner     ids.Incarnation `json:"o,omitempty"`
}

// changeLog holds the latest changes in the order of their indexes.
type changeLog struct {
	floor   uint64 // index of the last record that was dropped
	records []change
	keys    int // setting names in records
}

func (l *changeLog) add(c change) {
	l.records = append(l.records, c)
	l.keys += len(c.Keys)
	if len(l.records) > 2*maxChanges || l.keys > maxChangedKeys {
		l.drop(max(len(l.records)/2, 1))
	}
}

// drop removes the first n records.
func (l *changeLog) drop(n int) {
	l.floor = l.records[n-1].Index
	l.records = slices.Clone(l.records[n:])
	l.keys = 0
	for _, c := range l.records {
		l.keys += len(c.Keys)
	}
}

func (l *changeLog) config(index uint64, keys []string) { l.add(change{Index: index, Keys: keys}) }

func (l *changeLog) member(index uint64, inc ids.Incarnation) {
	l.add(change{Index: index, Member: inc})
}

func (l *changeLog) forgotten(index uint64, inc ids.Incarnation, k wire.Kind) {
	l.add(change{Index: index, Member: inc, Forgotten: k})
}

func (l *changeLog) assigned(index uint64, job ids.Job, to ids.Incarnation) {
	l.add(change{Index: index, Job: job, Owner: to})
}

func (l *changeLog) disowned(index uint64, o wire.Ownership, from ids.Incarnation) {
	l.add(change{Index: index, Job: o.Job, Epoch: o.Epoch, Owner: from})
}

// since returns the records after the given index. ok is false when some of
// them have been dropped.
func (l *changeLog) since(index uint64) (records []change, ok bool) {
	if index < l.floor {
		return nil, false
	}
	n, _ := slices.BinarySearchFunc(l.records, index+1, func(c change, i uint64) int {
		if c.Index < i {
			return -1
		}
		return 1
	})
	return l.records[n:], true
}

// Changes returns what differs for a member between its version and the tables.
// whole is set when the changes replace the member's view. Entries see the whole
// registry and the jobs assigned to them. Agents see the entries and themselves.
func (s *State) Changes(since ids.Version, member ids.Incarnation) (c wire.Changes, whole bool) {
	row := s.members.rows[member]
	if row == nil {
		return wire.Changes{}, false
	}
	records, ok := s.log.since(uint64(since))
	if !ok || since == 0 {
		return s.wholeView(row), true
	}
	if len(records) == 0 {
		return wire.Changes{}, false
	}
	return s.delta(row, records), false
}

// sees reports whether a member's view lists another member.
func (r *memberRow) sees(other ids.Incarnation, k wire.Kind) bool {
	return r.Kind == wire.KindEntry || k == wire.KindEntry || other == r.Incarnation
}

// seesSetting reports whether a member needs a setting. Queues lead callers to services,
// so agents need none of them, and they may be most of a configuration.
func (r *memberRow) seesSetting(key string) bool {
	return r.Kind == wire.KindEntry || !settings.IsQueueKey(key)
}

func (s *State) wholeView(row *memberRow) wire.Changes {
	c := wire.Changes{ConfigVer: s.config.version}
	for _, p := range s.config.sorted() {
		if row.seesSetting(p.Key) {
			c.Config = append(c.Config, p.Pair)
		}
	}
	for _, inc := range s.members.order {
		m := s.members.rows[inc]
		if row.sees(inc, m.Kind) {
			c.Members = append(c.Members, m.member())
		}
	}
	for _, job := range s.jobs.ownedBy(row.Incarnation) {
		if r := s.jobs.rows[job]; r.Epoch > 1 {
			c.Assigned = append(c.Assigned, assignment(r))
		}
	}
	return c
}

func assignment(r *jobRow) wire.Assigned {
	return wire.Assigned{Ownership: r.Ownership(), Record: r.JobRecord}
}

// touched gathers the rows that a run of changes names, each once.
type touched struct {
	keys     map[string]bool
	members  map[ids.Incarnation]wire.Kind // kind of dropped members, empty for others
	jobs     map[ids.Job]bool
	disowned map[ids.Job]wire.Ownership
}

func gather(records []change, member ids.Incarnation) touched {
	t := touched{
		keys: map[string]bool{}, members: map[ids.Incarnation]wire.Kind{},
		jobs: map[ids.Job]bool{}, disowned: map[ids.Job]wire.Ownership{},
	}
	for _, c := range records {
		for _, k := range c.Keys {
			t.keys[k] = true
		}
		switch {
		case c.Member != 0:
			t.members[c.Member] = c.Forgotten
		case c.Job != 0 && c.Owner != member:
		case c.Job != 0 && c.Epoch != 0:
			t.disowned[c.Job] = wire.Ownership{Job: c.Job, Epoch: c.Epoch}
		case c.Job != 0:
			t.jobs[c.Job] = true
		}
	}
	return t
}

func (s *State) delta(row *memberRow, records []change) wire.Changes {
	t := gather(records, row.Incarnation)
	var c wire.Changes
	if len(t.keys) > 0 {
		c.ConfigVer = s.config.version
	}
	for _, k := range slices.Sorted(maps.Keys(t.keys)) {
		if !row.seesSetting(k) {
			continue
		}
		if p, ok := s.config.pairs[k]; ok {
			c.Config = append(c.Config, p.Pair)
		} else {
			c.Removed = append(c.Removed, k)
		}
	}
	for _, inc := range slices.Sorted(maps.Keys(t.members)) {
		m, ok := s.members.rows[inc]
		switch {
		case ok && row.sees(inc, m.Kind):
			c.Members = append(c.Members, m.member())
		case !ok && row.sees(inc, t.members[inc]):
			c.Forgotten = append(c.Forgotten, uint64(inc))
		}
	}
	for _, job := range slices.Sorted(maps.Keys(t.disowned)) {
		c.Disowned = append(c.Disowned, t.disowned[job])
	}
	for _, job := range slices.Sorted(maps.Keys(t.jobs)) {
		r, ok := s.jobs.rows[job]
		if ok && r.Owner == row.Incarnation {
			c.Assigned = append(c.Assigned, assignment(r))
		}
	}
	return c
}
