package settings

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/baobabshore/baobabshore/wire"
)

// UpdateFromPairs parses and validates the flat form as FromPairs does, given the valid
// configuration c of an earlier list. Both lists are in order of their keys. Only the
// teams, services and queues whose settings differ are parsed, so that a change of a few
// queues doesn't cost as much as all of them. An error is a Problems with all errors.
func UpdateFromPairs(c Cluster, old, pairs []wire.Pair) (Cluster, error) {
	changed, only := changedElems(old, pairs)
	if !only {
		return FromPairs(pairs)
	}
	var parts []wire.Pair
	for name := range changed {
		parts = append(parts, pairsBelow(pairs, name)...)
	}
	r := &report{}
	updated := parsePairs(parts, r)
	c.Teams = replaceElems(c.Teams, updated.Teams, "teams.", changed)
	c.Services = replaceElems(c.Services, updated.Services, "services.", changed)
	c.Queues = replaceElems(c.Queues, updated.Queues, "queues.", changed)
	checkValue(reflect.ValueOf(updated), field{}, "", r)
	checkRelations(c, r)
	return c, r.err()
}

// changedElems returns the names, such as queues.web, of the mapping elements whose
// settings differ between two lists in order of their keys. only is false if other
// settings differ too.
func changedElems(old, pairs []wire.Pair) (changed map[string]bool, only bool) {
	changed = map[string]bool{}
	for len(old) > 0 || len(pairs) > 0 {
		key := ""
		switch {
		case len(pairs) == 0 || len(old) > 0 && old[0].Key < pairs[0].Key:
			key, old = old[0].Key, old[1:]
		case len(old) == 0 || pairs[0].Key < old[0].Key:
			key, pairs = pairs[0].Key, pairs[1:]
		default:
			if old[0].Value != pairs[0].Value {
				key = pairs[0].Key
			}
			old, pairs = old[1:], pairs[1:]
		}
		if key == "" {
			continue
		}
		name, ok := elemOf(key)
		if !ok {
			return nil, false
		}
		changed[name] = true
	}
	return changed, true
}

// elemOf returns the mapping element to which a key of the flat form belongs.
func elemOf(key string) (name string, ok bool) {
	mapping, rest, ok := strings.Cut(key, ".")
	if !ok || mapping != "teams" && mapping != "services" && mapping != "queues" {
		return "", false
	}
	elem, _, ok := strings.Cut(rest, ".")
	return mapping + "." + elem, ok
}

// pairsBelow returns the settings of a mapping element from a list in order of the keys.
func pairsBelow(pairs []wire.Pair, name string) []wire.Pair {
	prefix := name + "."
	first, _ := slices.BinarySearchFunc(pairs, prefix, func(p wire.Pair, key string) int { return strings.Compare(p.Key, key) })
	end := first
	for end < len(pairs) && strings.HasPrefix(pairs[end].Key, prefix) {
		end++
	}
	return pairs[first:end]
}

// replaceElems returns a copy of elems in which those whose names, after prefix, are in
// changed have the value in updated, or are missing if they are missing there.
func replaceElems[K ~string, V any](elems, updated map[K]V, prefix string, changed map[string]bool) map[K]V {
	out := maps.Clone(elems)
	for name := range changed {
		if key, ok := strings.CutPrefix(name, prefix); ok {
			delete(out, K(key))
		}
	}
	maps.Copy(out, updated)
	return out
}
