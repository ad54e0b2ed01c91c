package controlstate

import (
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
	l, e := checkPairs(s.config.patched(p))
	if e != nil {
		return e
	}
	s.config.limits = l
	s.recordChange(s.config.change(p.Set, p.Removed, "", ""))
	s.config.setSource(p.Revision, source)
	return nil
}

// patched returns the settings after a patch, in no particular order.
func (t *configTable) patched(p wire.Patch) []wire.Pair {
	dropped := make(map[string]bool, len(p.Set)+len(p.Removed))
	for _, k := range p.Removed {
		dropped[k] = true
	}
	for _, s := range p.Set {
		dropped[s.Key] = true
	}
	out := append([]wire.Pair(nil), p.Set...)
	for k, s := range t.pairs {
		if !dropped[k] {
			out = append(out, s.Pair)
		}
	}
	return out
}
