package controlstate

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// reassignOrphanedJobs assigns each open job whose owner has ended to a live entry.
// Without a live entry the jobs keep their ended owner until the next entry
// registers.
func (s *State) reassignOrphanedJobs() {
	entries := s.eligibleOwners()
	if len(entries) == 0 {
		return
	}
	for _, owner := range s.jobs.owners() {
		if s.members.isLive(owner, wire.KindEntry) {
			continue
		}
		for _, job := range s.jobs.ownedBy(owner) {
			s.reassign(job, chooseOwner(job, entries))
		}
	}
}

// eligibleOwners returns the live entries that may take over jobs. Draining entries
// are included only if there are no others.
func (s *State) eligibleOwners() []*memberRow {
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
	oldOwnership := r.Ownership()
	s.changes.disowned(s.index, oldOwnership, r.Owner)
	s.jobs.setOwner(r, to)
	r.Epoch++
	s.changes.assigned(s.index, job, to)
}

// chooseOwner chooses the owner of a job by weighted rendezvous hashing. An entry of
// weight n takes part with n hashes. This needs no floating point, so the choice is
// the same on every machine.
func chooseOwner(job ids.Job, entries []*memberRow) ids.Incarnation {
	var best ids.Incarnation
	var bestHash uint64
	for _, e := range entries {
		for i := range max(e.Weight, 1) {
			if h := rendezvousHash(job, e.Incarnation, i); h > bestHash || best == 0 {
				best, bestHash = e.Incarnation, h
			}
		}
	}
	return best
}

func rendezvousHash(job ids.Job, inc ids.Incarnation, replica int) uint64 {
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
