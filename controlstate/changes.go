package controlstate

import (
	"maps"
	"slices"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// maxChanges is the number of changes that the change log holds at least once it has
// grown to it, unless maxChangedKeys is exceeded. The log drops its older half when it
// has more than twice as many. maxChanges covers two days of configuration changes at
// the design scale. A member that is further behind receives the whole view.
const maxChanges = 4096

// maxChangedKeys is the number of setting names above which the change log drops its
// older half.
const maxChangedKeys = 50_000

// change is one record of the change log. It holds only which rows changed; their
// content is read from the tables when a member asks for its changes.
type change struct {
	Index         uint64          `json:"i"`
	Keys          []string        `json:"k,omitempty"` // settings
	Member        ids.Incarnation `json:"m,omitempty"`
	ForgottenKind wire.Kind       `json:"f,omitempty"` // kind of the member if its row was dropped
	Job           ids.Job         `json:"j,omitempty"`
	Epoch         ids.Epoch       `json:"e,omitempty"` // set if Owner lost the ownership of Job at this epoch
	Owner         ids.Incarnation `json:"o,omitempty"`
	Domain        ids.Domain      `json:"d,omitempty"` // failure domain whose drain has begun or ended
}

// changeLog holds the latest changes in increasing order of index. Its methods
// config, member, forgotten, assigned, disowned and domain append a change of this kind.
type changeLog struct {
	floor    uint64 // index of the last dropped record
	records  []change
	keyCount int // number of setting names in records
}

func (l *changeLog) add(c change) {
	l.records = append(l.records, c)
	l.keyCount += len(c.Keys)
	if len(l.records) > 2*maxChanges || l.keyCount > maxChangedKeys {
		l.dropOldest(max(len(l.records)/2, 1))
	}
}

// dropOldest removes the first n records.
func (l *changeLog) dropOldest(n int) {
	l.floor = l.records[n-1].Index
	l.records = slices.Clone(l.records[n:])
	l.keyCount = 0
	for _, c := range l.records {
		l.keyCount += len(c.Keys)
	}
}

func (l *changeLog) config(index uint64, keys []string) { l.add(change{Index: index, Keys: keys}) }

func (l *changeLog) member(index uint64, inc ids.Incarnation) {
	l.add(change{Index: index, Member: inc})
}

func (l *changeLog) forgotten(index uint64, inc ids.Incarnation, k wire.Kind) {
	l.add(change{Index: index, Member: inc, ForgottenKind: k})
}

func (l *changeLog) assigned(index uint64, job ids.Job, to ids.Incarnation) {
	l.add(change{Index: index, Job: job, Owner: to})
}

func (l *changeLog) disowned(index uint64, o wire.Ownership, from ids.Incarnation) {
	l.add(change{Index: index, Job: o.Job, Epoch: o.Epoch, Owner: from})
}

func (l *changeLog) domain(index uint64, d ids.Domain) { l.add(change{Index: index, Domain: d}) }

// since returns the records after the given index. ok is false if some of them have
// been dropped.
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

// Changes returns the differences between the view that a member has at its version
// and the current tables. whole is true if the changes replace the member's view.
// Entries see the whole registry and the jobs assigned to them. Agents see the
// entries and themselves.
func (s *State) Changes(since ids.Version, member ids.Incarnation) (c wire.Changes, whole bool) {
	row := s.members.rows[member]
	if row == nil {
		return wire.Changes{}, false
	}
	records, ok := s.changes.since(uint64(since))
	if !ok || since == 0 {
		return s.wholeView(row), true
	}
	if len(records) == 0 {
		return wire.Changes{}, false
	}
	return s.delta(row, records), false
}

// seesMember reports whether the view of a member includes another member.
func (r *memberRow) seesMember(other ids.Incarnation, k wire.Kind) bool {
	return r.Kind == wire.KindEntry || k == wire.KindEntry || other == r.Incarnation
}

// seesSetting reports whether the view of a member includes a setting. Queues map
// requests of callers to services, so agents do not need them, and they may be most
// of a configuration.
func (r *memberRow) seesSetting(key string) bool {
	return r.Kind == wire.KindEntry || !settings.IsQueueKey(key)
}

// seesDomain reports whether the view of a member includes the drain of a failure
// domain.
func (r *memberRow) seesDomain(d ids.Domain) bool { return r.Kind == wire.KindEntry || r.Domain == d }

func (s *State) wholeView(row *memberRow) wire.Changes {
	c := wire.Changes{ConfigVer: s.config.version}
	for _, p := range s.config.pairs.rows {
		if row.seesSetting(p.Key) {
			c.Config = append(c.Config, p.Pair)
		}
	}
	for _, inc := range s.members.order {
		m := s.members.rows[inc]
		if row.seesMember(inc, m.Kind) {
			c.Members = append(c.Members, m.member())
		}
	}
	for _, job := range s.jobs.ownedBy(row.Incarnation) {
		if r := s.jobs.rows[job]; r.Epoch > 1 {
			c.Assigned = append(c.Assigned, assignment(r))
		}
	}
	for _, d := range s.domains.rows {
		if row.seesDomain(d.Domain) && d.Drained {
			c.Domains = append(c.Domains, d)
		}
	}
	return c
}

func assignment(r *jobRow) wire.Assigned {
	return wire.Assigned{Ownership: r.Ownership(), Record: r.JobRecord}
}

// changedRows holds the rows that a sequence of changes refers to, each once.
type changedRows struct {
	keys     []string                      // of settings, in order
	members  map[ids.Incarnation]wire.Kind // kind of a dropped member, empty for others
	jobs     map[ids.Job]bool
	disowned map[ids.Job]wire.Ownership
	domains  map[ids.Domain]bool
}

func collectChangedRows(records []change, member ids.Incarnation) changedRows {
	t := changedRows{
		members: map[ids.Incarnation]wire.Kind{},
		jobs:    map[ids.Job]bool{}, disowned: map[ids.Job]wire.Ownership{}, domains: map[ids.Domain]bool{},
	}
	var keys [][]string
	for _, c := range records {
		if len(c.Keys) > 0 {
			keys = append(keys, c.Keys)
		}
		switch {
		case c.Domain != "":
			t.domains[c.Domain] = true
		case c.Member != 0:
			t.members[c.Member] = c.ForgottenKind
		case c.Job != 0 && c.Owner != member:
		case c.Job != 0 && c.Epoch != 0:
			t.disowned[c.Job] = wire.Ownership{Job: c.Job, Epoch: c.Epoch}
		case c.Job != 0:
			t.jobs[c.Job] = true
		}
	}
	t.keys = mergeKeys(keys)
	return t
}

// mergeKeys returns the keys of several lists in order, each once. Each list is in order.
func mergeKeys(lists [][]string) []string {
	if len(lists) == 1 {
		return lists[0]
	}
	out := slices.Concat(lists...)
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *State) delta(row *memberRow, records []change) wire.Changes {
	t := collectChangedRows(records, row.Incarnation)
	var c wire.Changes
	if len(t.keys) > 0 {
		c.ConfigVer = s.config.version
	}
	for _, k := range t.keys {
		if !row.seesSetting(k) {
			continue
		}
		if p, ok := s.config.pairs.find(k); ok {
			c.Config = append(c.Config, p.Pair)
		} else {
			c.RemovedKeys = append(c.RemovedKeys, k)
		}
	}
	for _, inc := range slices.Sorted(maps.Keys(t.members)) {
		m, ok := s.members.rows[inc]
		switch {
		case ok && row.seesMember(inc, m.Kind):
			c.Members = append(c.Members, m.member())
		case !ok && row.seesMember(inc, t.members[inc]):
			c.RemovedMembers = append(c.RemovedMembers, uint64(inc))
		}
	}
	for _, job := range slices.Sorted(maps.Keys(t.disowned)) {
		c.LostJobs = append(c.LostJobs, t.disowned[job])
	}
	for _, job := range slices.Sorted(maps.Keys(t.jobs)) {
		r, ok := s.jobs.rows[job]
		if ok && r.Owner == row.Incarnation {
			c.Assigned = append(c.Assigned, assignment(r))
		}
	}
	for _, d := range s.domains.rows {
		if t.domains[d.Domain] && row.seesDomain(d.Domain) {
			c.Domains = append(c.Domains, d)
		}
	}
	return c
}
