package member

import (
	"slices"
	"strings"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// View is a member's copy of the part of the control state that concerns it. A View is
// immutable, so that goroutines can share it without a lock.
type View struct {
	// Version is the log index up to which the view is complete.
	Version   ids.Version
	ConfigVer uint64
	Config    []wire.Pair // sorted by key
	// Members is the registry, sorted by incarnation. It includes expired rows until their
	// retention ends. Agents of a drained failure domain are marked as draining.
	Members []wire.Member
	// DrainedDomains lists the failure domains that operators drain, sorted.
	DrainedDomains []ids.Domain
	// Assigned lists the open jobs that this entry took over, sorted by job. A job is
	// removed from the list when it ends.
	Assigned []wire.Assigned

	registry []wire.Member // Members without the marks of drained domains
}

// Member returns the registry row of an incarnation.
func (v *View) Member(inc ids.Incarnation) (wire.Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, inc, compareMember)
	if !ok {
		return wire.Member{}, false
	}
	return v.Members[i], true
}

// Value returns the value of the setting with the given key.
func (v *View) Value(key string) (string, bool) {
	i, ok := slices.BinarySearchFunc(v.Config, key, comparePair)
	if !ok {
		return "", false
	}
	return v.Config[i].Value, true
}

// withReply returns v with the changes of a reply, whose version must be at least v.Version.
func (v *View) withReply(r wire.RenewReply) *View {
	updated := *v
	if r.ReplacesView {
		updated = View{}
	}
	updated.Version = r.Version
	changes := r.Changes
	if changes.ConfigVer != 0 {
		updated.ConfigVer = changes.ConfigVer
		updated.Config = mergePairs(updated.Config, changes.Config, changes.RemovedKeys)
	}
	updated.registry = mergeMembers(updated.registry, changes.Members, changes.RemovedMembers)
	updated.DrainedDomains = mergeDrainedDomains(updated.DrainedDomains, changes.Domains)
	updated.Members = markDrainedDomains(updated.registry, updated.DrainedDomains)
	updated.Assigned = mergeAssigned(updated.Assigned, changes.Assigned, changes.LostJobs)
	return &updated
}

// mergePairs returns old, sorted by key, with the updated settings and without the removed
// keys. Both are in order of their keys.
func mergePairs(old, updated []wire.Pair, removed []string) []wire.Pair {
	out := make([]wire.Pair, 0, len(old)+len(updated))
	for _, p := range old {
		for len(updated) > 0 && updated[0].Key < p.Key {
			out = append(out, updated[0])
			updated = updated[1:]
		}
		for len(removed) > 0 && removed[0] < p.Key {
			removed = removed[1:]
		}
		switch {
		case len(updated) > 0 && updated[0].Key == p.Key:
			out = append(out, updated[0])
			updated = updated[1:]
		case len(removed) == 0 || removed[0] != p.Key:
			out = append(out, p)
		}
	}
	return append(out, updated...)
}

// mergeMembers returns old, sorted by incarnation, with the updated rows and without the
// forgotten incarnations.
func mergeMembers(old, updated []wire.Member, forgotten []uint64) []wire.Member {
	if len(updated) == 0 && len(forgotten) == 0 {
		return old
	}
	out := withUpdated(old, updated, func(m wire.Member) ids.Incarnation { return m.Incarnation }, compareMember)
	return slices.DeleteFunc(out, func(m wire.Member) bool {
		return slices.Contains(forgotten, uint64(m.Incarnation))
	})
}

// mergeDrainedDomains returns old, sorted, with the domains whose drain has begun and
// without those whose drain has ended.
func mergeDrainedDomains(old []ids.Domain, changes []wire.DomainDrain) []ids.Domain {
	if len(changes) == 0 {
		return old
	}
	out := slices.Clone(old)
	for _, d := range changes {
		i, listed := slices.BinarySearch(out, d.Domain)
		switch {
		case d.Drained && !listed:
			out = slices.Insert(out, i, d.Domain)
		case !d.Drained && listed:
			out = slices.Delete(out, i, i+1)
		}
	}
	return out
}

// markDrainedDomains returns the registry with the agents of drained domains marked as
// draining. Entries of these domains go on serving callers.
func markDrainedDomains(registry []wire.Member, drained []ids.Domain) []wire.Member {
	if len(drained) == 0 {
		return registry
	}
	out := slices.Clone(registry)
	for i := range out {
		if _, ok := slices.BinarySearch(drained, out[i].Domain); ok && out[i].Kind == wire.KindAgent {
			out[i].Draining = true
		}
	}
	return out
}

// mergeAssigned returns old, sorted by job, with the updated jobs and without those whose
// ownership ended at their epoch or a later one.
func mergeAssigned(old, updated []wire.Assigned, disowned []wire.Ownership) []wire.Assigned {
	if len(updated) == 0 && len(disowned) == 0 {
		return old
	}
	out := withUpdated(old, updated, func(a wire.Assigned) ids.Job { return a.Job }, compareAssigned)
	return slices.DeleteFunc(out, func(a wire.Assigned) bool {
		return slices.ContainsFunc(disowned, func(o wire.Ownership) bool { return o.Job == a.Job && o.Epoch >= a.Epoch })
	})
}

// withUpdated returns a copy of old, sorted by key, in which the updated rows have replaced
// those with the same key.
func withUpdated[R, K any](old, updated []R, key func(R) K, compare func(R, K) int) []R {
	out := slices.Clone(old)
	for _, r := range updated {
		i, ok := slices.BinarySearchFunc(out, key(r), compare)
		if ok {
			out[i] = r
			continue
		}
		out = slices.Insert(out, i, r)
	}
	return out
}

func compareMember(m wire.Member, inc ids.Incarnation) int {
	return compare(uint64(m.Incarnation), uint64(inc))
}

func compareAssigned(a wire.Assigned, job ids.Job) int { return compare(uint64(a.Job), uint64(job)) }

func comparePair(p wire.Pair, key string) int { return strings.Compare(p.Key, key) }

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
