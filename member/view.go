package member

import (
	"slices"
	"strings"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// View is what a member holds of the control state. It never changes once it
// has been handed out.
type View struct {
	// Version is the log index up to which the view is complete.
	Version   ids.Version
	ConfigVer uint64
	Config    []wire.Pair   // by key
	Members   []wire.Member // by incarnation, expired rows included until their retention ends
	// Assigned lists the open jobs that this entry took over, by job. A job
	// leaves the list when it ends.
	Assigned []wire.Assigned
}

// Member returns the row of an incarnation.
func (v *View) Member(inc ids.Incarnation) (wire.Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, inc, compareMember)
	if !ok {
		return wire.Member{}, false
	}
	return v.Members[i], true
}

// Value returns the value of a setting.
func (v *View) Value(key string) (string, bool) {
	i, ok := slices.BinarySearchFunc(v.Config, key, comparePair)
	if !ok {
		return "", false
	}
	return v.Config[i].Value, true
}

// next returns the view after a reply. The reply's version is at least v.Version.
func (v *View) next(r wire.RenewReply) *View {
	n := *v
	if r.ReplacesView {
		n = View{}
	}
	n.Version = r.Version
	c := r.Changes
	if c.ConfigVer != 0 {
		n.ConfigVer = c.ConfigVer
		n.Config = mergePairs(n.Config, c.Config, c.RemovedKeys)
	}
	n.Members = mergeMembers(n.Members, c.Members, c.RemovedMembers)
	n.Assigned = mergeAssigned(n.Assigned, c.Assigned, c.LostJobs)
	return &n
}

func mergePairs(old, set []wire.Pair, removed []string) []wire.Pair {
	out := slices.Clone(old)
	for _, p := range set {
		i, ok := slices.BinarySearchFunc(out, p.Key, comparePair)
		if ok {
			out[i] = p
			continue
		}
		out = slices.Insert(out, i, p)
	}
	return slices.DeleteFunc(out, func(p wire.Pair) bool { return slices.Contains(removed, p.Key) })
}

func mergeMembers(old, set []wire.Member, forgotten []uint64) []wire.Member {
	if len(set) == 0 && len(forgotten) == 0 {
		return old
	}
	out := slices.Clone(old)
	for _, m := range set {
		i, ok := slices.BinarySearchFunc(out, m.Incarnation, compareMember)
		if ok {
			out[i] = m
			continue
		}
		out = slices.Insert(out, i, m)
	}
	return slices.DeleteFunc(out, func(m wire.Member) bool {
		return slices.Contains(forgotten, uint64(m.Incarnation))
	})
}

func mergeAssigned(old, set []wire.Assigned, gone []wire.Ownership) []wire.Assigned {
	if len(set) == 0 && len(gone) == 0 {
		return old
	}
	out := slices.Clone(old)
	for _, a := range set {
		i, ok := slices.BinarySearchFunc(out, a.Job, compareAssigned)
		if ok {
			out[i] = a
			continue
		}
		out = slices.Insert(out, i, a)
	}
	return slices.DeleteFunc(out, func(a wire.Assigned) bool {
		return slices.ContainsFunc(gone, func(o wire.Ownership) bool { return o.Job == a.Job && o.Epoch >= a.Epoch })
	})
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
