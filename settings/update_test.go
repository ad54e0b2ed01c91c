package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// drawCluster draws a configuration, which may be invalid: settings out of range, queues
// to unknown services, and queues with the same host and prefix.
func drawCluster(t *rapid.T, label string) Cluster {
	c := DefaultCluster()
	name := rapid.SampledFrom([]string{"a", "a-b", "b", "c"})
	for _, s := range rapid.SliceOf(name).Draw(t, label+" services") {
		service := DefaultService()
		service.Slots = rapid.SampledFrom([]int{1, 2, 0, 100}).Draw(t, label+" slots") // the last two are invalid
		c.Services[ids.Service(s)] = service
	}
	for _, s := range rapid.SliceOf(name).Draw(t, label+" teams") {
		c.Teams[ids.Team(s)] = DefaultTeam()
	}
	for _, s := range rapid.SliceOf(name).Draw(t, label+" queues") {
		q := DefaultQueue()
		q.Host = rapid.SampledFrom([]string{"h", "i", "H"}).Draw(t, label+" host")
		q.Prefix = rapid.SampledFrom([]string{"/a/", "/b/", "/c/"}).Draw(t, label+" prefix")
		q.Service = rapid.SampledFrom([]ids.Service{"a", "b"}).Draw(t, label+" service")
		c.Queues[ids.Queue(s)] = q
	}
	c.Dispatch.Tradeoff = rapid.SampledFrom([]float64{0.5, 0.5, 0.5, 1}).Draw(t, label+" tradeoff")
	return c
}

// drawValidCluster draws a configuration without the queues and services that make it
// invalid.
func drawValidCluster(t *rapid.T, label string) Cluster {
	c := drawCluster(t, label)
	for name, s := range c.Services {
		if s.Slots < 1 || s.Connections < s.Slots {
			delete(c.Services, name)
		}
	}
	type hostPrefix struct{ host, prefix string }
	seen := map[hostPrefix]bool{}
	for _, name := range sortedNames(c.Queues) {
		q := c.Queues[name]
		route := hostPrefix{CanonicalHost(q.Host), q.Prefix}
		if _, ok := c.Services[q.Service]; !ok || seen[route] {
			delete(c.Queues, name)
		}
		seen[route] = true
	}
	return c
}

// Guards against an update that differs from the configuration parsed as a whole, or is
// accepted although the whole is invalid.
func TestUpdateEqualsWholeConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawValidCluster(t, "before"), drawCluster(t, "after")
		if err := Check(before); err != nil {
			t.Fatal(err)
		}
		old, pairs := Flatten(before), Flatten(after)
		given := before
		given.Queues = maps.Clone(before.Queues)
		want, wantErr := FromPairs(pairs)
		got, err := UpdateFromPairs(given, old, pairs)
		if (err == nil) != (wantErr == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, %v, want %+v, %v", got, err, want, wantErr)
		}
		if !reflect.DeepEqual(given.Queues, before.Queues) {
			t.Fatal("the given configuration was changed")
		}
	})
}

// Guards against an update that parses settings which have not changed.
func TestUpdateParsesOnlyWhatHasChanged(t *testing.T) {
	c := DefaultCluster()
	c.Services["s"] = DefaultService()
	for i := range 10 {
		q := DefaultQueue()
		q.Service, q.Prefix = "s", fmt.Sprint("/", i)
		c.Queues[ids.Queue(fmt.Sprint("q", i))] = q
	}
	old := Flatten(c)
	pairs := slices.Clone(old)
	for i, p := range pairs {
		switch p.Key {
		case "queues.q3.host":
			pairs[i].Value = "h"
		case "queues.q4.attempts":
			// An unreadable value that is in the old list too is not parsed again.
			pairs[i].Value, old[i].Value = "x", "x"
		}
	}
	got, err := UpdateFromPairs(c, old, pairs)
	if err != nil || got.Queues["q3"].Host != "h" {
		t.Errorf("%+v, %v", got.Queues["q3"], err)
	}
	pairs = append(pairs, wire.Pair{Key: "queues.q9.unknown", Value: "1"})
	slices.SortFunc(pairs, func(a, b wire.Pair) int { return strings.Compare(a.Key, b.Key) })
	if _, err := UpdateFromPairs(c, old, pairs); err == nil {
		t.Error("an unknown key was accepted")
	}
}
