package wire

import (
	"cmp"
	"slices"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// Renewal is one member's latest renewal at a follower.
type Renewal struct {
	Incarnation ids.Incarnation
	Have        ids.Version
	AgeMS       int64
	Draining    bool
}

// Renewals carries the lease renewals that a follower has seen to the leader.
// It holds one column for each field and small differences instead of the
// numbers themselves, since the leader of a region gets one renewal a second
// for each member of the region.
type Renewals struct {
	Newest ids.Version `json:"v"` // highest version that a member holds
	// Steps holds the incarnations, each after the first less the one before it.
	Steps  []ids.Incarnation `json:"i"`
	Behind []ids.Version     `json:"b"` // Newest less the version held
	AgesMS []int64           `json:"a"`
	// Draining lists the positions of draining members.
	Draining []int `json:"d,omitempty"`
}

// Len returns the number of renewals.
func (r Renewals) Len() int { return len(r.Steps) }

// PackRenewals sorts the renewals by incarnation and returns their columns.
func PackRenewals(items []Renewal) Renewals {
	slices.SortFunc(items, func(a, b Renewal) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	var r Renewals
	for _, it := range items {
		r.Newest = max(r.Newest, it.Have)
	}
	var last ids.Incarnation
	for i, it := range items {
		r.Steps = append(r.Steps, it.Incarnation-last)
		r.Behind = append(r.Behind, r.Newest-it.Have)
		r.AgesMS = append(r.AgesMS, it.AgeMS)
		if it.Draining {
			r.Draining = append(r.Draining, i)
		}
		last = it.Incarnation
	}
	return r
}

// Unpack returns the renewals. The error is a *verdict.Error with verdict not-run.
func (r Renewals) Unpack() ([]Renewal, error) {
	if len(r.Behind) != len(r.Steps) || len(r.AgesMS) != len(r.Steps) {
		return nil, verdict.Refuse(verdict.BadRequest, "the columns of the renewals have different lengths")
	}
	out := make([]Renewal, len(r.Steps))
	var inc ids.Incarnation
	for i, step := range r.Steps {
		inc += step
		out[i] = Renewal{Incarnation: inc, Have: r.Newest - min(r.Behind[i], r.Newest), AgeMS: r.AgesMS[i]}
	}
	for _, i := range r.Draining {
		if i < 0 || i >= len(out) {
			return nil, verdict.Refuse(verdict.BadRequest, "renewal %d is not among %d", i, len(out))
		}
		out[i].Draining = true
	}
	return out, nil
}
