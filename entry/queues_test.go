package entry

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
)

// findNaively looks at every queue.
func findNaively(queues map[ids.Queue]settings.Queue, host, path string) (name ids.Queue, rest string, ok bool) {
	longest := -1
	for n, q := range queues {
		if settings.CanonicalHost(q.Host) == settings.CanonicalHost(host) && strings.HasPrefix(path, q.Prefix) && len(q.Prefix) > longest {
			name, rest, ok, longest = n, path[len(q.Prefix):], true, len(q.Prefix)
		}
	}
	return name, rest, ok
}

// Guards against a table that finds another queue than the one with the longest prefix.
func TestQueueTableFindsTheLongestPrefix(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"a", "A", "a:80", "a.", "b", "", "[::1]:8", "é"})
	paths := rapid.StringMatching(`(/|/a|/A|%41|//|é|\x00){0,5}`)
	rapid.Check(t, func(t *rapid.T) {
		type hostPrefix struct{ host, prefix string }
		seen := map[hostPrefix]bool{}
		queues := map[ids.Queue]settings.Queue{}
		for i := range rapid.IntRange(0, 12).Draw(t, "queues") {
			q := settings.Queue{Host: hosts.Draw(t, "host"), Prefix: paths.Draw(t, "prefix")}
			if key := (hostPrefix{settings.CanonicalHost(q.Host), q.Prefix}); !seen[key] {
				seen[key] = true
				queues[ids.Queue(fmt.Sprint("q", i))] = q
			}
		}
		table := NewQueueTable(1, queues)
		for range 10 {
			host, path := hosts.Draw(t, "request host"), paths.Draw(t, "request path")
			q, rest, ok := table.Find(host, path)
			wantName, wantRest, wantOK := findNaively(queues, host, path)
			if q.Name != wantName || rest != wantRest || ok != wantOK {
				t.Fatalf("%q %q: queue %q, rest %q, %v, want %q, %q, %v", host, path, q.Name, rest, ok, wantName, wantRest, wantOK)
			}
		}
	})
}

func BenchmarkFindQueue(b *testing.B) {
	queues := map[ids.Queue]settings.Queue{}
	for i := range 5000 {
		queues[ids.Queue(fmt.Sprint("q", i))] = settings.Queue{Host: "h.example", Prefix: fmt.Sprintf("/%d/", i)}
	}
	table := NewQueueTable(1, queues)
	for b.Loop() {
		if _, _, ok := table.Find("h.example", "/17/5c0e7a21d94b36f8"); !ok {
			b.Fatal("not found")
		}
	}
}
