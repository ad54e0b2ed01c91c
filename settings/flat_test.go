package settings

import (
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

var nameGen = rapid.StringMatching(`[a-z0-9]([a-z0-9_-]{0,8}[a-z0-9])?`)

func genDuration(low, high time.Duration) *rapid.Generator[Duration] {
	return rapid.Map(rapid.Int64Range(int64(low), int64(high)), func(n int64) Duration { return Duration(n) })
}

var serviceGen = rapid.Custom(func(t *rapid.T) Service {
	slots := rapid.IntRange(1, 4096).Draw(t, "slots")
	return Service{
		Slots:       slots,
		Connections: rapid.IntRange(slots, 65535).Draw(t, "connections"),
		Timeout:     genDuration(time.Millisecond, time.Hour).Draw(t, "timeout"),
	}
})

var teamGen = rapid.Custom(func(t *rapid.T) Team {
	return Team{Quota: rapid.IntRange(1, 1_000_000).Draw(t, "quota"), MaxQueued: rapid.IntRange(1, 10_000_000).Draw(t, "max")}
})

func genQueues(t *rapid.T, services map[ids.Service]Service) map[ids.Queue]Queue {
	names := rapid.SliceOfNDistinct(nameGen, 0, 3, rapid.ID).Draw(t, "queues")
	out := map[ids.Queue]Queue{}
	for _, name := range names {
		out[ids.Queue(name)] = Queue{
			Host:     rapid.SampledFrom([]string{"a.example", "b.example:8080"}).Draw(t, "host"),
			Prefix:   "/" + name + "/",
			Service:  rapid.SampledFrom(slices.Sorted(maps.Keys(services))).Draw(t, "service"),
			Priority: rapid.IntRange(0, 1000).Draw(t, "priority"),
			Timeout:  genDuration(time.Millisecond, time.Hour).Draw(t, "timeout"),
			Target:   genDuration(0, time.Hour).Draw(t, "target"),
			Stretch:  rapid.Float64Range(1, 1000).Draw(t, "stretch"),
			Attempts: rapid.IntRange(1, 1000).Draw(t, "attempts"),
		}
	}
	return out
}

var clusterGen = rapid.Custom(func(t *rapid.T) Cluster {
	c := Cluster{
		Services: rapid.MapOfN(rapid.Map(nameGen, func(s string) ids.Service { return ids.Service(s) }), serviceGen, 1, 4).Draw(t, "services"),
		Teams:    rapid.MapOfN(rapid.Map(nameGen, func(s string) ids.Team { return ids.Team(s) }), teamGen, 1, 4).Draw(t, "teams"),
		Dispatch: Dispatch{
			Tradeoff:        rapid.Float64Range(0, 1).Draw(t, "tradeoff") + 0,
			RetryBudget:     rapid.Float64Range(0, 1).Draw(t, "retry") + 0,
			QuarantineShare: rapid.Float64Range(0, 1).Draw(t, "share") + 0,
		},
	}
	c.Queues = genQueues(t, c.Services)
	c.Jobs.MaxDeadline = genDuration(time.Second, time.Hour).Draw(t, "deadline")
	c.Jobs.Retention = genDuration(max(time.Minute, time.Duration(c.Jobs.MaxDeadline)), 168*time.Hour).Draw(t, "retention")
	c.Jobs.TombstoneRetention = genDuration(max(time.Hour, time.Duration(c.Jobs.Retention)), 8760*time.Hour).Draw(t, "tombstones")
	c.Jobs.MaxOpen = rapid.IntRange(1, MaxOpenJobs).Draw(t, "open")
	return c
})

// Guards against a setting that is lost or altered by flattening it for the
// replicated state and parsing it again.
func TestFlattenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clusterGen.Draw(t, "cluster")
		got, err := FromPairs(Flatten(c))
		if err != nil {
			t.Fatalf("%v", err)
		}
		if !reflect.DeepEqual(got, c) {
			t.Fatalf("got %+v, want %+v", got, c)
		}
	})
}

// Guards against a member that accepts a malformed or contradictory configuration.
func TestFromPairsRejectsInvalid(t *testing.T) {
	valid := Flatten(Cluster{
		Services: map[ids.Service]Service{"web": DefaultService()},
		Teams:    map[ids.Team]Team{"acme": DefaultTeam()},
		Dispatch: DefaultCluster().Dispatch, Jobs: DefaultCluster().Jobs,
	})
	for _, invalid := range []wire.Pair{
		{Key: "services.web.slots", Value: "9"}, // appears twice
		{Key: "services.web", Value: "9"},
		{Key: "services.web.slot", Value: "9"},
		{Key: "services.web.slots.x", Value: "9"},
		{Key: "services.app.slots", Value: "100"}, // above the default of connections
		{Key: "services.app.slots", Value: "many"},
		{Key: "services.a/b.slots", Value: "9"},
		{Key: "teams.other.quota", Value: "0"},
		{Key: "", Value: ""},
	} {
		if _, err := FromPairs(append(valid[:len(valid):len(valid)], invalid)); err == nil {
			t.Errorf("%v was accepted", invalid)
		}
	}
	if c, err := FromPairs(nil); err != nil || !reflect.DeepEqual(c, DefaultCluster()) {
		t.Errorf("no pairs: %v %v", c, err)
	}
}

// Guards against a limit on open jobs that exceeds the memory of control nodes.
func TestMaxOpenUpperBound(t *testing.T) {
	for n, ok := range map[int]bool{MaxOpenJobs: true, MaxOpenJobs + 1: false} {
		c := DefaultCluster()
		c.Services["web"], c.Teams["acme"] = DefaultService(), DefaultTeam()
		c.Jobs.MaxOpen = n
		if _, err := FromPairs(Flatten(c)); (err == nil) != ok {
			t.Errorf("max_open %d: %v", n, err)
		}
	}
}
