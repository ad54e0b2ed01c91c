package wire

import (
	"cmp"
	"slices"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// Renewal is the latest renewal of one member, as received by a follower.
type Renewal struct {
	Incarnation ids.Incarnation
	Have        ids.Version
	AgeMS       int64
	Draining    bool
}

// Renewals is the message that forwards lease renewals from a follower to the leader.
// It has one column for each field and holds differences in place of large numbers to
// keep the message small, since the leader of a region gets one renewal a second for
// each member of the region.
type Renewals struct {
	Newest ids.Version `json:"v"` // highest version that a member holds
	// IncarnationDeltas holds the incarnations in increasing order, each after the first as the
	// difference to the one before.
	IncarnationDeltas []ids.Incarnation `json:"i"`
	VersionDeltas     []ids.Version     `json:"b"` // Newest minus the version that the member holds
	AgesMS            []int64           `json:"a"`
	// Draining lists the indexes of draining members.
	Draining []int `json:"d,omitempty"`
}

// Len returns the number of renewals.
func (r Renewals) Len() int { return len(r.IncarnationDeltas) }

// PackRenewals sorts the renewals by incarnation and encodes them as columns.
func PackRenewals(renewals []Renewal) Renewals {
	slices.SortFunc(renewals, func(a, b Renewal) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	var r Renewals
	for _, renewal := range renewals {
		r.Newest = max(r.Newest, renewal.Have)
	}
	var previous ids.Incarnation
	for i, renewal := range renewals {
		r.IncarnationDeltas = append(r.IncarnationDeltas, renewal.Incarnation-previous)
		r.VersionDeltas = append(r.VersionDeltas, r.Newest-renewal.Have)
		r.AgesMS = append(r.AgesMS, renewal.AgeMS)
		if renewal.Draining {
			r.Draining = append(r.Draining, i)
		}
		previous = renewal.Incarnation
	}
	return r
}

// Unpack decodes the renewals. The error is a *verdict.Error with verdict not-run.
func (r Renewals) Unpack() ([]Renewal, error) {
	if len(r.VersionDeltas) != len(r.IncarnationDeltas) || len(r.AgesMS) != len(r.IncarnationDeltas) {
		return nil, verdict.Refuse(verdict.BadRequest, "the columns of the renewals have different lengths")
	}
	renewals := make([]Renewal, len(r.IncarnationDeltas))
	var incarnation ids.Incarnation
	for i, delta := range r.IncarnationDeltas {
		incarnation += delta
		renewals[i] = Renewal{Incarnation: incarnation, Have: r.Newest - min(r.VersionDeltas[i], r.Newest), AgeMS: r.AgesMS[i]}
	}
	for _, i := range r.Draining {
		if i < 0 || i >= len(renewals) {
			return nil, verdict.Refuse(verdict.BadRequest, "renewal %d is not among %d", i, len(renewals))
		}
		renewals[i].Draining = true
	}
	return renewals, nil
}
