package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func lines(first, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"Name":"r-%06x","Host":"h%d.example","Prefix":"/p%d/","Kind":"plain","TimeoutMs":1500},`, (first+i)*7919, i%3, first+i)
	}
	return b.String()
}

// Guards against a text that comes back changed.
func TestApplyReturnsTheNewText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOf(rapid.SampledFrom([]string{lines(0, 3), lines(5, 1), lines(9, 2), "x", ""}))
		old := []byte(strings.Join(words.Draw(t, "old"), ""))
		updated := []byte(strings.Join(words.Draw(t, "updated"), ""))
		got, err := Apply(old, Make(old, updated), len(updated))
		if err != nil || !bytes.Equal(got, updated) {
			t.Fatalf("%v: %d bytes, want %d", err, len(got), len(updated))
		}
	})
}

// Guards against a difference that grows with the text instead of the change.
func TestDifferenceGrowsWithTheChange(t *testing.T) {
	for _, n := range []int{100, 10_000} {
		old := lines(0, n/2) + lines(n/2, n/2)
		updated := lines(0, n/2) + lines(n, 10) + lines(n/2, n/2)
		// Ten lines of 90 bytes and a few copies.
		if size := len(Make([]byte(old), []byte(updated))); size > 1200 {
			t.Errorf("10 lines in %d: %d bytes", n, size)
		}
	}
}

// Guards against a malformed difference that crashes the reader or exhausts its memory.
func FuzzApply(f *testing.F) {
	old := []byte(lines(0, 4))
	f.Add(Make(old, []byte(lines(2, 4))))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, difference []byte) {
		if out, err := Apply(old, difference, 1000); err == nil && len(out) > 1000 {
			t.Errorf("%d bytes are above the limit", len(out))
		}
	})
}
