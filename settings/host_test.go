package settings

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against hosts that name the same server and are told apart, and against hosts
// that are mixed up.
func TestCanonicalHost(t *testing.T) {
	for host, want := range map[string]string{
		"":                    "",
		"h.example":           "h.example",
		"H.Example":           "h.example",
		"h.example:80":        "h.example",
		"h.example:":          "h.example",
		"h.example.":          "h.example",
		"h.example.:80":       "h.example",
		"h.example..":         "h.example.",
		"h.example:x":         "h.example:x",
		"h.example:80:80":     "h.example:80:80",
		"[::1]":               "[::1]",
		"[::A]:80":            "[::a]",
		"::1":                 "::1",
		"fe80::1:80":          "fe80::1:80",
		":80":                 "",
		"ÄK.example":          "Äk.example",
		"\u212a.example":      "\u212a.example", // the Kelvin sign, whose lower case is the letter k
		"h\x00.example":       "h\x00.example",
		" h.example":          " h.example",
		"xn--bcher-kva.test.": "xn--bcher-kva.test",
	} {
		if got := CanonicalHost(host); got != want {
			t.Errorf("%q: %q, want %q", host, got, want)
		}
	}
}

// Guards against a canonical host that depends on which of the equal forms it was
// computed from.
func TestEqualHostsHaveOneCanonicalForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9-]{1,5}(\.[a-zA-Z0-9-]{1,5}){0,2}`).Draw(t, "name")
		form := name
		if rapid.Bool().Draw(t, "dot") {
			form += "."
		}
		if rapid.Bool().Draw(t, "port") {
			form += ":" + rapid.StringMatching(`[0-9]{0,5}`).Draw(t, "number")
		}
		if got, want := CanonicalHost(form), lowerASCII(name); got != want {
			t.Errorf("%q: %q, want %q", form, got, want)
		}
	})
}
