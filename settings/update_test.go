package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

func drawCluster(t *rapid.T, label string) Cluster {
	c := DefaultCluster()
	name := rapid.SampledFrom([]string{"a", "a-b", "b", "c"})
	for _, s := range rapid.SliceOf(name).Draw(t, label+" services") {
		service := DefaultService()
		service.Slots = rapid.IntRange(1, 2).Draw(t, label+" slots")
		c.Services[ids.Service(s)] = service
	}
	for _, s := range rapid.SliceOf(name).Draw(t, label+" teams") {
		c.Teams[ids.Team(s)] = DefaultTeam()
	}
	for _, s := range rapid.SliceOf(name).Draw(t, label+" queues") {
		q := DefaultQueue()
		q.Host = rapid.SampledFrom([]string{"h", "i"}).Draw(t, label+" host")
		c.Queues[ids.Queue(s)] = q
	}
	c.Dispatch.Tradeoff = rapid.SampledFrom([]float64{0.5, 0.5, 0.5, 1}).Draw(t, label+" tradeoff")
	return c
}

// Guards against an update that differs from the configuration parsed as a whole.
func TestUpdateEqualsWholeConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, want := drawCluster(t, "before"), drawCluster(t, "after")
		old, pairs := Flatten(before), Flatten(want)
		given := before
		given.Queues = maps.Clone(before.Queues)
		got, err := UpdateFromPairs(given, old, pairs)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, %v, want %+v", got, err, want)
		}
		if !reflect.DeepEqual(given.Queues, before.Queues) {
			t.Fatal("the given configuration was changed")
		}
	})
}

// Guards against an update that parses settings which have not changed.
func TestUpdateParsesOnlyWhatHasChanged(t *testing.T) {
	c := DefaultCluster()
	for i := range 10 {
		c.Queues[ids.Queue(fmt.Sprint("q", i))] = DefaultQueue()
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
	if _, err := UpdateFromPairs(c, old, pairs); err == nil {
		t.Error("an unknown key was accepted")
	}
}
