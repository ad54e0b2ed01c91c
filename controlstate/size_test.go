package controlstate

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// typicalState returns tables with the registry of today's deployments, and the
// incarnations of an entry and an agent.
func typicalState(tb testing.TB) (*State, ids.Incarnation, ids.Incarnation) {
	s := New()
	index := uint64(1)
	add := func(c Command) Result {
		index++
		c.Time = 1_700_000_000_000
		return s.Apply(index, c)
	}
	var entry, agent ids.Incarnation
	for i := range 13 {
		r := wire.Registration{
			Kind: wire.KindAgent, Node: ids.Node(fmt.Sprintf("mostrador-%02d", i)), Addr: "10.21.0.17:7500",
			Domain: "gt-centro-a", Service: "mostrador", Slots: 8, Connections: 64, Nonce: fmt.Sprintf("%032x", i),
		}
		if i < 2 {
			r = wire.Registration{
				Kind: wire.KindEntry, Node: ids.Node(fmt.Sprintf("entry-%02d", i)), Addr: "10.21.0.17:7400",
				Domain: "gt-centro-a", Weight: 1, Nonce: fmt.Sprintf("%032x", i),
			}
			entry = add(Command{Register: &r}).Incarnation
			continue
		}
		agent = add(Command{Register: &r}).Incarnation
	}
	var pairs []wire.Pair
	for i := range 50 {
		pairs = append(pairs, wire.Pair{Key: fmt.Sprintf("teams.team-%02d.quota", i), Value: "8"})
	}
	if r := add(Command{Apply: &wire.Apply{CommandID: "first", Pairs: pairs}}); r.Apply.Err != nil {
		tb.Fatal(r.Apply.Err)
	}
	return s, entry, agent
}

func typicalJob(owner ids.Incarnation, n int) wire.AdmitItem {
	return wire.AdmitItem{
		Owner: owner, Team: "team-07", Service: "mostrador", Key: fmt.Sprintf("7c9e6679-7425-40de-944b-%012d", n),
		BodyHash: strings.Repeat("a1", 32), Tasks: 120, Nonce: fmt.Sprintf("%032x", n),
	}
}

func jsonBytes(tb testing.TB, v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(data))
}

// changeSetting changes one setting.
func changeSetting(tb testing.TB, s *State, key string, value int) {
	var pairs []wire.Pair
	for _, p := range s.Configuration().Pairs {
		if p.Key != key {
			pairs = append(pairs, p.Pair)
		}
	}
	r := s.Apply(s.Index()+1, Command{Apply: &wire.Apply{
		CommandID: fmt.Sprint("c", s.Index()), Expect: wire.AnyVersion, By: "operator",
		Pairs: append(pairs, wire.Pair{Key: key, Value: fmt.Sprint(value)}),
	}})
	if r.Apply.Err != nil {
		tb.Fatal(r.Apply.Err)
	}
}

// BenchmarkDelta measures the bytes of the changes sent to an entry that missed some
// versions, and the time to collect them.
func BenchmarkDelta(b *testing.B) {
	for _, c := range []struct{ missed, settings int }{{1, 1}, {500, 50}, {500, 500}} {
		b.Run(fmt.Sprintf("missed-%d-of-%d-settings", c.missed, c.settings), func(b *testing.B) {
			s, entry, _ := typicalState(b)
			since := ids.Version(s.Index())
			for i := range c.missed {
				changeSetting(b, s, fmt.Sprintf("teams.extra-%03d.quota", i%c.settings), i)
			}
			var changes wire.Changes
			for b.Loop() {
				changes, _ = s.Changes(since, entry)
			}
			b.ReportMetric(jsonBytes(b, changes), "B/delta")
		})
	}
	b.Run("whole", func(b *testing.B) {
		s, entry, agent := typicalState(b)
		var c wire.Changes
		for b.Loop() {
			c, _ = s.Changes(0, entry)
		}
		b.ReportMetric(jsonBytes(b, c), "B/entry-view")
		c, _ = s.Changes(0, agent)
		b.ReportMetric(jsonBytes(b, c), "B/agent-view")
	})
}

// BenchmarkRows measures the size of rows in messages, in the log, in a snapshot and
// in memory.
func BenchmarkRows(b *testing.B) {
	const jobs = 10_000
	s, entry, agent := typicalState(b)
	m, _ := s.Member(agent)
	b.ReportMetric(jsonBytes(b, m), "B/member")
	item := typicalJob(entry, 1)
	record, err := Command{Time: 1_700_000_000_000, Admit: &item}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(record)), "B/admit-record")
	small := snapshotBytes(b, s)
	before := heapBytes()
	for i := range jobs {
		it := typicalJob(entry, i)
		if r := s.Apply(s.Index()+1, Command{Admit: &it}); r.Admit.Admitted == nil {
			b.Fatal(r.Admit.Err)
		}
	}
	b.ReportMetric((heapBytes()-before)/jobs, "B/job-in-memory")
	b.ReportMetric((snapshotBytes(b, s)-small)/jobs, "B/job-in-snapshot")
	job, _ := s.Job(ids.Job(s.Index()))
	b.ReportMetric(jsonBytes(b, job), "B/job-record")
}

// BenchmarkTombstones measures the memory of the tombstone of a key without creation
// time.
func BenchmarkTombstones(b *testing.B) {
	const keys = 100_000
	before := heapBytes()
	var t tombstoneTable
	for i := range keys {
		t.add(hashKey("team", fmt.Sprint(i)), 0)
	}
	b.ReportMetric((heapBytes()-before)/keys, "B/tombstone")
	runtime.KeepAlive(t)
}

// BenchmarkApply measures the time to apply one admission and its end.
func BenchmarkApply(b *testing.B) {
	s, entry, _ := typicalState(b)
	n := 0
	for b.Loop() {
		n++
		it := typicalJob(entry, n)
		it.Key = ""
		r := s.Apply(s.Index()+1, Command{Admit: &it})
		if r.Admit.Admitted == nil {
			b.Fatal(r.Admit.Err)
		}
		s.Apply(s.Index()+1, Command{Complete: &wire.Complete{Items: []wire.CompleteItem{{Ownership: *r.Admit.Admitted, State: wire.JobComplete}}}})
		if n%1000 == 0 {
			s.Apply(s.Index()+1, Command{Time: s.now + 4_000_000, ApplyRetention: &ApplyRetention{}})
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func snapshotBytes(b *testing.B, s *State) float64 {
	data, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}
