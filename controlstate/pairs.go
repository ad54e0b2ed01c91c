package controlstate

import (
	"slices"
	"strings"

	"github.com/baobabshore/baobabshore/wire"
)

// pairTable holds settings in order of their keys. Its content never changes: a change
// makes a new table, so that one can be read outside the event loop.
type pairTable struct {
	rows []wire.SourcePair
	size int // of the keys and values, in bytes
}

// find returns the setting with the given key.
func (t pairTable) find(key string) (wire.SourcePair, bool) {
	i, ok := slices.BinarySearchFunc(t.rows, key, func(p wire.SourcePair, key string) int { return strings.Compare(p.Key, key) })
	if !ok {
		return wire.SourcePair{}, false
	}
	return t.rows[i], true
}

// diff returns the settings that have to be set and removed to get the given ones. All
// lists are in order of their keys.
func (t pairTable) diff(pairs []wire.Pair) (set []wire.Pair, removed []string) {
	rows := t.rows
	for _, p := range pairs {
		for len(rows) > 0 && rows[0].Key < p.Key {
			removed = append(removed, rows[0].Key)
			rows = rows[1:]
		}
		if len(rows) == 0 || rows[0].Key != p.Key {
			set = append(set, p)
			continue
		}
		if rows[0].Value != p.Value {
			set = append(set, p)
		}
		rows = rows[1:]
	}
	for _, r := range rows {
		removed = append(removed, r.Key)
	}
	return set, removed
}

// changed returns the table after settings are set and removed. Both lists are in order
// of their keys.
func (t pairTable) changed(set []wire.SourcePair, removed []string) pairTable {
	out := pairTable{rows: make([]wire.SourcePair, 0, max(len(t.rows)+len(set)-len(removed), 0))}
	add := func(p wire.SourcePair) {
		out.rows = append(out.rows, p)
		out.size += pairSize(p.Pair)
	}
	for _, row := range t.rows {
		for len(set) > 0 && set[0].Key < row.Key {
			add(set[0])
			set = set[1:]
		}
		for len(removed) > 0 && removed[0] < row.Key {
			removed = removed[1:]
		}
		switch {
		case len(set) > 0 && set[0].Key == row.Key:
			add(set[0])
			set = set[1:]
		case len(removed) == 0 || removed[0] != row.Key:
			add(row)
		}
	}
	for _, p := range set {
		add(p)
	}
	return out
}

func pairSize(p wire.Pair) int { return len(p.Key) + len(p.Value) }

// sortedPairs returns settings in order of their keys.
func sortedPairs(pairs []wire.Pair) []wire.Pair {
	byKey := func(a, b wire.Pair) int { return strings.Compare(a.Key, b.Key) }
	if slices.IsSortedFunc(pairs, byKey) {
		return pairs
	}
	return slices.SortedFunc(slices.Values(pairs), byKey)
}
