package controlstate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabshore/baobabshore/delta"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// ConfigSource is the operator's text of the configuration in force.
type ConfigSource struct {
	wire.ConfigID
	Revision uint64
	Text     []byte // must not be changed
}

// ConfigSource returns the operator's text of the configuration in force.
func (s *State) ConfigSource() ConfigSource {
	return ConfigSource{ConfigID: s.config.id(), Revision: s.config.revision, Text: s.config.source}
}

// ConfigReply returns the reply to a configuration whose revision is not above the one
// in force.
func (s *State) ConfigReply() wire.ApplyReply { return s.revisionReply(nil) }

// CheckRevision validates a whole configuration with a revision. A patch that leads to
// it passes the same checks.
func CheckRevision(a wire.Apply) *verdict.Error {
	if _, e := checkPairs(a.Pairs); e != nil {
		return e
	}
	return checkSource(a.Source)
}

// DiffSettings returns a patch from the configuration in force to the given one without
// the differences of the source texts, which SetSource adds.
func (s *State) DiffSettings(a wire.Apply) wire.Patch {
	set, removed := s.config.diff(a.Pairs)
	return wire.Patch{Revision: a.Revision, Base: s.config.id(), Set: set, Removed: removed}
}

// SetSource adds the differences of the source texts to a patch.
func SetSource(p *wire.Patch, base, source []byte) {
	p.Source = delta.Make(base, source)
	p.SourceHash = xxhash.Sum64(source)
}

// applyPatch applies a configuration of a higher revision. A patch that was made from
// another configuration than the one in force changes nothing.
func (s *State) applyPatch(p wire.Patch) wire.ApplyReply {
	if p.Revision <= s.config.revision {
		return s.revisionReply(nil)
	}
	return s.revisionReply(s.patchConfig(p))
}

func (s *State) patchConfig(p wire.Patch) *verdict.Error {
	if p.Base != s.config.id() {
		return verdict.Refuse(verdict.VersionConflict, "the patch was made from version %d, but version %d is in force",
			p.Base.ConfigVer, s.config.version)
	}
	source, err := delta.Apply(s.config.source, p.Source, MaxSourceBytes)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "source text: %v", err)
	}
	if xxhash.Sum64(source) != p.SourceHash {
		return verdict.Refuse(verdict.BadRequest, "the source text does not match its hash")
	}
	l, e := s.config.checkPatch(p)
	if e != nil {
		return e
	}
	s.config.limits = l
	s.recordChange(s.config.change(p.Set, p.Removed, "", ""))
	s.config.setSource(p.Revision, source)
	return nil
}

// checkPatch validates the configuration to which a patch leads, as checkPairs does, and
// returns the limits that it sets.
func (t *configTable) checkPatch(p wire.Patch) (limits, *verdict.Error) {
	count, size := len(t.pairs), t.size
	forget := func(key string) {
		if old, ok := t.pairs[key]; ok {
			count--
			size -= pairSize(old.Pair)
		}
	}
	for _, k := range p.Removed {
		forget(k)
	}
	for _, s := range p.Set {
		forget(s.Key)
		count++
		size += pairSize(s)
	}
	if e := checkSize(count, size); e != nil {
		return t.limits, e
	}
	if e := checkKeys(p); e != nil {
		return t.limits, e
	}
	return t.patchedLimits(p)
}

// checkKeys validates the keys of a patch, which are in strictly increasing order.
func checkKeys(p wire.Patch) *verdict.Error {
	removed := p.Removed
	for i, s := range p.Set {
		if e := checkPair(s); e != nil {
			return e
		}
		if i > 0 && p.Set[i-1].Key >= s.Key {
			return verdict.Refuse(verdict.BadRequest, "setting %q is given twice or out of order", s.Key)
		}
		for len(removed) > 0 && removed[0] < s.Key {
			removed = removed[1:]
		}
		if len(removed) > 0 && removed[0] == s.Key {
			return verdict.Refuse(verdict.BadRequest, "setting %q is set and removed", s.Key)
		}
	}
	if !slices.IsSorted(p.Removed) {
		return verdict.Refuse(verdict.BadRequest, "the removed settings are out of order")
	}
	return nil
}

// patchedLimits returns the limits after a patch.
func (t *configTable) patchedLimits(p wire.Patch) (limits, *verdict.Error) {
	l := defaultLimits()
	for _, key := range limitKeys {
		pair, ok := t.pairs[key]
		if _, removed := slices.BinarySearch(p.Removed, key); removed || !ok {
			continue
		}
		if e := l.set(pair.Pair); e != nil {
			return l, e
		}
	}
	for _, s := range p.Set {
		if e := l.set(s); e != nil {
			return l, e
		}
	}
	return l, nil
}
