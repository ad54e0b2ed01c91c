package controlstate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabshore/baobabshore/delta"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// ConfigSource is the configuration in force with the operator's text. It never changes,
// so it can be read outside the event loop.
type ConfigSource struct {
	wire.ConfigID
	Revision uint64
	Text     []byte
	pairs    pairTable
}

// ConfigSource returns the configuration in force with the operator's text.
func (s *State) ConfigSource() ConfigSource {
	return ConfigSource{ConfigID: s.config.id(), Revision: s.config.revision, Text: s.config.source, pairs: s.config.pairs}
}

// Patch returns the patch that leads from this configuration to another one.
func (c ConfigSource) Patch(a wire.Apply) wire.Patch {
	changes := wire.PatchChanges{Source: delta.Make(c.Text, a.Source)}
	changes.Set, changes.Removed = c.pairs.diff(sortedPairs(a.Pairs))
	return wire.Patch{Revision: a.Revision, Base: c.ConfigID, SourceHash: xxhash.Sum64(a.Source), Changes: changes.Pack()}
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
	changes, err := wire.UnpackChanges(p.Changes)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "%v", err)
	}
	source, err := delta.Apply(s.config.source, changes.Source, MaxSourceBytes)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "source text: %v", err)
	}
	if xxhash.Sum64(source) != p.SourceHash {
		return verdict.Refuse(verdict.BadRequest, "the source text does not match its hash")
	}
	l, e := s.config.checkChanges(changes)
	if e != nil {
		return e
	}
	s.config.limits = l
	s.recordChange(s.config.change(changes.Set, changes.Removed, "", ""))
	s.config.setSource(p.Revision, source)
	return nil
}

// checkChanges validates the configuration to which changes lead, as checkPairs does, and
// returns the limits that it sets.
func (t *configTable) checkChanges(c wire.PatchChanges) (limits, *verdict.Error) {
	if e := checkKeys(c); e != nil {
		return t.limits, e
	}
	count, size := len(t.pairs.rows), t.pairs.size
	subtract := func(key string) {
		if old, ok := t.pairs.find(key); ok {
			count--
			size -= pairSize(old.Pair)
		}
	}
	for _, k := range c.Removed {
		subtract(k)
	}
	for _, p := range c.Set {
		subtract(p.Key)
		count++
		size += pairSize(p)
	}
	if e := checkSize(count, size); e != nil {
		return t.limits, e
	}
	return t.limitsAfter(c)
}

// checkKeys checks that the keys of both lists of changes are in increasing order, each
// once, and that no key is in both.
func checkKeys(c wire.PatchChanges) *verdict.Error {
	for i := 1; i < len(c.Removed); i++ {
		if c.Removed[i-1] >= c.Removed[i] {
			return verdict.Refuse(verdict.BadRequest, "setting %q is removed twice or out of order", c.Removed[i])
		}
	}
	for i, p := range c.Set {
		if e := checkPair(p); e != nil {
			return e
		}
		if i > 0 && c.Set[i-1].Key >= p.Key {
			return verdict.Refuse(verdict.BadRequest, "setting %q is given twice or out of order", p.Key)
		}
		if _, removed := slices.BinarySearch(c.Removed, p.Key); removed {
			return verdict.Refuse(verdict.BadRequest, "setting %q is set and removed", p.Key)
		}
	}
	return nil
}

// limitsAfter returns the limits that are set after changes.
func (t *configTable) limitsAfter(c wire.PatchChanges) (limits, *verdict.Error) {
	l := defaultLimits()
	for _, key := range limitKeys {
		p, ok := t.pairs.find(key)
		if _, removed := slices.BinarySearch(c.Removed, key); removed || !ok {
			continue
		}
		if e := l.set(p.Pair); e != nil {
			return l, e
		}
	}
	for _, p := range c.Set {
		if e := l.set(p); e != nil {
			return l, e
		}
	}
	return l, nil
}
