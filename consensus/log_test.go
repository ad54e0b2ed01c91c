package consensus

import "testing"

// Guards against a log that keeps a number of large entries in memory.
func TestCompactKeepsBoundedBytes(t *testing.T) {
	const size, keepBytes = 1000, 10 * (1000 + entryOverheadBytes)
	for _, tc := range []struct {
		name        string
		keepEntries uint64
		kept        int
	}{
		{"limit of entries first", 5, 5},
		{"limit of bytes first", 50, 10},
	} {
		n := New(Config{ID: "a", KeepEntries: tc.keepEntries, KeepBytes: keepBytes})
		for i := range uint64(100) {
			n.log.append(Entry{Index: i + 1, Term: 1, Data: make([]byte, size)})
		}
		n.commit, n.applied = 100, 100
		if _, err := n.Compact(80, nil); err != nil {
			t.Fatal(err)
		}
		const afterSnapshot = 20
		if got := len(n.log.entries); got != tc.kept+afterSnapshot {
			t.Errorf("%s: %d entries, want %d", tc.name, got, tc.kept+afterSnapshot)
		}
		if _, ok := n.log.term(n.log.baseIndex); !ok {
			t.Errorf("%s: the term of the last dropped entry is unknown", tc.name)
		}
	}
}
