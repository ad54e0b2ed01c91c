package controlstate

import (
	"iter"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// State holds the replicated tables. It is not safe for concurrent use.
type State struct {
	index      uint64
	now        int64 // latest time of a command in Unix milliseconds
	config     configTable
	commands   commandTable
	members    memberTable
	jobs       jobTable
	tombstones tombstoneTable
	domains    domainTable
	changes    changeLog
}

// New returns empty tables.
func New() *State {
	return &State{
		config:   newConfigTable(),
		commands: newCommandTable(),
		members:  newMemberTable(),
		jobs:     newJobTable(),
	}
}

// Index returns the log index up to which the tables are complete.
func (s *State) Index() uint64 { return s.index }

// Now returns the time of the tables, which is the latest time of a command.
func (s *State) Now() time.Time { return time.UnixMilli(s.now) }

// Skip advances the index over a record that is not a command.
func (s *State) Skip(index uint64) { s.index = max(s.index, index) }

// Apply applies the command at the given log index.
func (s *State) Apply(index uint64, c Command) Result {
	s.index = index
	s.now = max(s.now, c.Time)
	switch {
	case c.Register != nil:
		return s.register(*c.Register)
	case c.Expire != nil:
		s.expire(c.Expire.Incarnation)
	case c.Drain != nil:
		return Result{Err: s.drain(*c.Drain)}
	case c.Admit != nil:
		return Result{Admit: s.admit(*c.Admit)}
	case c.Complete != nil:
		s.complete(*c.Complete)
	case c.Apply != nil:
		return Result{Apply: s.apply(*c.Apply)}
	case c.Patch != nil:
		return Result{Apply: s.applyPatch(*c.Patch)}
	case c.DrainDomain != nil:
		return Result{DrainDomain: s.drainDomain(*c.DrainDomain)}
	case c.ApplyRetention != nil:
		s.dropExpired()
	}
	return Result{}
}

// RetentionDue reports whether ApplyRetention would drop or end any row at the given
// time.
func (s *State) RetentionDue(now time.Time) bool {
	ms := max(s.now, now.UnixMilli())
	return s.commands.due(ms) ||
		s.tombstones.due(ms, s.config.limits.tombstoneRetention) ||
		s.jobs.due(ms, s.config.limits) ||
		s.canDropMembers(ms)
}

// dropExpired applies the retention of all tables at the time of the command. It
// also ends overdue jobs.
func (s *State) dropExpired() {
	s.commands.dropExpired(s.now)
	s.tombstones.dropExpired(s.now, s.config.limits.tombstoneRetention)
	s.endOverdueJobs()
	s.dropExpiredJobs()
	s.dropExpiredMembers()
}

// Configuration returns the current configuration with the command that set each
// value. The caller must not change it.
func (s *State) Configuration() wire.GetReply {
	return wire.GetReply{
		ConfigVer: s.config.version,
		CommandID: s.config.commandID,
		Pairs:     s.config.pairs.rows,
		Revision:  s.config.revision,
		Source:    s.config.source,
	}
}

// ConfigVer returns the version of the current configuration.
func (s *State) ConfigVer() uint64 { return s.config.version }

// Members returns all rows of the registry in order of incarnation.
func (s *State) Members() []wire.Member { return s.members.all() }

// LiveCount returns the number of live members.
func (s *State) LiveCount() int { return len(s.members.order) - s.members.expiredRows }

// LiveMembers returns the live incarnations in increasing order.
func (s *State) LiveMembers() iter.Seq2[ids.Incarnation, wire.Kind] {
	return func(yield func(ids.Incarnation, wire.Kind) bool) {
		for _, inc := range s.members.order {
			if r := s.members.rows[inc]; r.live() && !yield(inc, r.Kind) {
				return
			}
		}
	}
}

// Member returns the row of an incarnation.
func (s *State) Member(inc ids.Incarnation) (wire.Member, bool) {
	r, ok := s.members.rows[inc]
	if !ok {
		return wire.Member{}, false
	}
	return r.member(), true
}

// DrainsItself reports whether the member's own draining mark is set.
func (s *State) DrainsItself(inc ids.Incarnation) bool {
	r, ok := s.members.rows[inc]
	return ok && r.SelfDrain
}

// Job returns the record of a job. The record of an ended job has no key and a short
// hash of the body, as wire.JobRecord.HasBody accepts it.
func (s *State) Job(job ids.Job) (wire.JobRecord, bool) {
	return s.jobs.find(job)
}

// JobByKey returns the record of the job that a team has submitted with a key.
func (s *State) JobByKey(team ids.Team, key string) (wire.JobRecord, bool) {
	return s.jobs.findKey(team, key)
}

// OpenJobs returns the number of open jobs.
func (s *State) OpenJobs() int { return len(s.jobs.rows) }

// apply applies an operator's command. A repeated command gets the first answer.
func (s *State) apply(a wire.Apply) wire.ApplyReply {
	if a.Revision > 0 {
		return s.applyRevision(a)
	}
	if r, ok := s.commands.find(a.CommandID); ok {
		r.Repeated = true
		return r
	}
	if e := s.commands.checkNew(a.CommandID); e != nil {
		return wire.ApplyReply{ConfigVer: s.config.version, Index: ids.Version(s.index), Err: e}
	}
	r := s.changeConfig(a)
	s.commands.add(a.CommandID, s.now, r)
	return r
}

func (s *State) changeConfig(a wire.Apply) wire.ApplyReply {
	r := wire.ApplyReply{ConfigVer: s.config.version, Index: ids.Version(s.index)}
	if a.Expect != wire.AnyVersion && a.Expect != s.config.version {
		r.CurrentCommandID = s.config.commandID
		r.Err = verdict.Refuse(verdict.VersionConflict,
			"the change was made from version %d, but command %s by %q has made version %d",
			a.Expect, s.config.commandID, s.config.appliedBy, s.config.version)
		return r
	}
	limits, e := checkPairs(a.Pairs)
	if e != nil {
		r.Err = e
		return r
	}
	s.replaceConfig(a, limits)
	r.ConfigVer = s.config.version
	r.CurrentCommandID = s.config.commandID
	return r
}

// replaceConfig replaces the configuration and records the changed settings for the
// members.
func (s *State) replaceConfig(a wire.Apply, l limits) {
	s.recordChange(s.config.replace(a, l))
	s.config.setSource(a.Revision, a.Source)
}

// recordChange records the changed settings for the members.
func (s *State) recordChange(keys []string) {
	if len(keys) > 0 {
		s.changes.config(s.index, keys)
	}
}

// applyRevision applies a whole configuration that has a revision of the operator. The
// highest revision wins, so a command that is repeated or arrives late changes
// nothing, and its answer needs no storage.
func (s *State) applyRevision(a wire.Apply) wire.ApplyReply {
	if a.Revision <= s.config.revision {
		return s.revisionReply(nil)
	}
	limits, e := checkPairs(a.Pairs)
	if e == nil {
		e = checkSource(a.Source)
	}
	if e == nil {
		s.replaceConfig(a, limits)
	}
	return s.revisionReply(e)
}

// revisionReply returns the reply to a command with a revision. e is the reason why the
// command was refused, nil if it was not.
func (s *State) revisionReply(e *verdict.Error) wire.ApplyReply {
	return wire.ApplyReply{
		ConfigVer: s.config.version, Index: ids.Version(s.index), Revision: s.config.revision, Err: e,
	}
}
