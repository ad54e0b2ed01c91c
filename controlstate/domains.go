package controlstate

import (
	"cmp"
	"slices"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// maxDomains limits the table of failure domains. The design scale has seven.
const maxDomains = 256

// domainTable holds the operators' latest order about each failure domain, sorted by
// domain. The row stays after the end of a drain, since its index tells copies of older
// orders from later ones.
type domainTable struct{ rows []wire.DomainDrain }

func (t *domainTable) search(d ids.Domain) (int, bool) {
	return slices.BinarySearchFunc(t.rows, d, func(r wire.DomainDrain, d ids.Domain) int { return cmp.Compare(r.Domain, d) })
}

// find returns the row of a domain. The row of an unknown domain is not drained and has
// index 0.
func (t *domainTable) find(d ids.Domain) wire.DomainDrain {
	if i, ok := t.search(d); ok {
		return t.rows[i]
	}
	return wire.DomainDrain{Domain: d}
}

func (t *domainTable) set(row wire.DomainDrain) {
	i, ok := t.search(row.Domain)
	if ok {
		t.rows[i] = row
		return
	}
	t.rows = slices.Insert(t.rows, i, row)
}

// Domains returns the failure domains that operators have drained at some time, in order
// of their names. The caller must not change the rows.
func (s *State) Domains() []wire.DomainDrain { return s.domains.rows }

// DomainDrain returns the operators' latest order about a failure domain. Its index is
// zero if there is none.
func (s *State) DomainDrain(d ids.Domain) wire.DomainDrain { return s.domains.find(d) }

// drainDomain applies an operator's order. Each order that is accepted gets the index of
// its record, also if it changes nothing: an earlier order that is still under way then
// expects an index that is no longer in force, and can't undo it.
func (s *State) drainDomain(d wire.DrainDomain) wire.DrainDomainReply {
	row := s.domains.find(d.Domain)
	if e := s.checkDrainDomain(d, row); e != nil {
		return wire.DrainDomainReply{InForce: row, Err: e}
	}
	begun := row.Drained != d.Drain
	row.Drained, row.Index = d.Drain, ids.Version(s.index)
	if begun {
		row.At = s.now
		s.changes.domain(s.index, d.Domain)
	}
	s.domains.set(row)
	return wire.DrainDomainReply{InForce: row}
}

func (s *State) checkDrainDomain(d wire.DrainDomain, row wire.DomainDrain) *verdict.Error {
	switch {
	case d.Domain == "" || len(d.Domain) > maxIDBytes:
		return verdict.Refuse(verdict.BadRequest, "the name of the failure domain is empty or longer than %d bytes", maxIDBytes)
	case d.Expect != row.Index:
		return verdict.Refuse(verdict.VersionConflict, "the order follows index %d, but index %d is in force for %q", d.Expect, row.Index, d.Domain)
	case row.Index == 0 && len(s.domains.rows) >= maxDomains:
		return verdict.Refuse(verdict.Overloaded, "the table holds %d failure domains", maxDomains)
	}
	return nil
}
