package controlstate

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// assignOrphans gives each open job whose owner has ended to a live entry. With
// no live entry the jobs wait for the next registration.
func (s *State) assignOrphans() {
	entries := s.heirs()
	if len(entries) == 0 {
		return
	}
	for _, owner := range s.jobs.owners() {
		if s.members.isLive(owner, wire.KindEntry) {
			continue
		}
		for _, job := range s.jobs.ownedBy(owner) {
			s.reassign(job, choose(job, entries))
		}
	}
}

// heirs returns the live entries that may take over jobs, without the draining
// ones as long as there are others.
func (s *State) heirs() []*memberRow {
	var entries, draining []*memberRow
	for _, inc := range s.members.order {
		r := s.members.rows[inc]
		switch {
		case !r.live() || r.Kind != wire.KindEntry:
		case r.draining():
			draining = append(draining, r)
		default:
			entries = append(entries, r)
		}
	}
	if len(entries) == 0 {
		return draining
	}
	return entries
}

func (s *State) reassign(job ids.Job, to ids.Incarnation) {
	r := s.jobs.rows[job]
	former := r.Ownership()
	s.log.disowned(s.index, former, r.Owner)
	s.jobs.setOwner(r, to)
	r.Epoch++
	s.log.assigned(s.index, job, to)
}

// choose returns the owner of a job by weighted rendezvous hashing. An entry of
// weight n takes part with n hashes, which needs no floating point and so gives
// the same choice on every machine.
func choose(job ids.Job, entries []*memberRow) ids.Incarnation {
	var best ids.Incarnation
	var top uint64
	for _, e := range entries {
		for i := range max(e.Weight, 1) {
			if h := rendezvous(job, e.Incarnation, i); h > top || best == 0 {
				best, top = e.Incarnation, h
			}
		}
	}
	return best
}

func rendezvous(job ids.Job, inc ids.Incarnation, replica int) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(job))
	binary.LittleEndian.PutUint64(b[8:], uint64(inc))
	binary.LittleEndian.PutUint64(b[16:], uint64(replica))
	return xxhash.Sum64(b[:])
}

// owners returns the owners of open jobs in increasing order.
func (t *jobTable) owners() []ids.Incarnation {
	out := make([]ids.Incarnation, 0, len(t.byOwner))
	for inc := range t.byOwner {
		out = append(out, inc)
	}
	slices.Sort(out)
	return out
}

// ownedBy returns the open jobs of an owner in increasing order.
func (t *jobTable) ownedBy(inc ids.Incarnation) []ids.Job {
	out := make([]ids.Job, 0, len(t.byOwner[inc]))
	for job := range t.byOwner[inc] {
		out = append(out, job)
	}
	slices.Sort(out)
	return out
}
