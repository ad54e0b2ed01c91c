package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// Sizes to design for.
const (
	designAgents  = 2800
	designEntries = 6
	designTeams   = 50
	designStarts  = 61_000 // each second
	designNodes   = 18
	nodeMembers   = 156 // members of each control node
)

// tables are control tables that grow by commands.
type tables struct {
	*controlstate.State
	at     uint64
	now    time.Time
	entry  ids.Incarnation
	serial int
}

func newTables() *tables {
	t := &tables{State: controlstate.New(), at: 1_000_000, now: time.UnixMilli(1_800_000_000_000)}
	t.entry = t.register(wire.KindEntry)
	return t
}

func (t *tables) apply(c controlstate.Command) controlstate.Result {
	t.at++
	c.Time = t.now.UnixMilli()
	return t.Apply(t.at, c)
}

// nonce returns a text as long as member.NewNonce's.
func (t *tables) nonce() string {
	t.serial++
	return fmt.Sprintf("%032x", t.serial)
}

// registration is the announcement of a member with names of usual length.
func registration(k wire.Kind, n int, nonce string) wire.Registration {
	r := wire.Registration{
		Kind: k, Node: ids.Node(fmt.Sprintf("worker-%04d", n)), Addr: fmt.Sprintf("10.31.%d.%d:7300", n/250, n%250),
		Region: "gt-centro", Domain: "gt-centro-a", Nonce: nonce,
	}
	if k == wire.KindAgent {
		r.Service, r.Slots, r.Connections = "svc-1", 8, 64
	} else {
		r.Weight = 1
	}
	return r
}

func (t *tables) register(k wire.Kind) ids.Incarnation {
	nonce := t.nonce()
	r := registration(k, t.serial, nonce)
	return t.apply(controlstate.Command{Register: &r}).Incarnation
}

// admission is the record of a job with a key as entries write it.
func (t *tables) admission(timed bool) wire.AdmitItem {
	nonce := t.nonce()
	it := wire.AdmitItem{
		Owner: t.entry, Team: "team-07", Service: "svc-1", Tasks: 850, Nonce: nonce,
		Key: "caja-" + nonce, BodyHash: nonce + nonce, Deadline: t.now.Add(time.Minute).UnixMilli(),
	}
	if timed {
		it.KeyTime = t.now.UnixMilli()
	}
	return it
}

func (t *tables) admit(timed bool) wire.AdmitResult {
	it := t.admission(timed)
	return t.apply(controlstate.Command{Admit: &it}).Admit
}

func (t *tables) end(o wire.Ownership) {
	it := wire.CompleteItem{Ownership: o, State: wire.JobComplete, Verdict: 0}
	t.apply(controlstate.Command{Complete: &wire.Complete{Items: []wire.CompleteItem{it}}})
}

// jobs admits and ends n jobs.
func (t *tables) jobs(n int, timed bool) {
	for range n {
		t.end(*t.admit(timed).Admitted)
	}
}

// bury turns all ended records into tombstones or nothing.
func (t *tables) bury() {
	t.now = t.now.Add(2 * time.Hour)
	t.apply(controlstate.Command{ApplyRetention: &controlstate.ApplyRetention{}})
}

// configuration returns the settings of the given number of teams.
func configuration(teams int, quota int) []wire.Pair {
	c := settings.DefaultCluster()
	c.Services["svc-1"] = settings.DefaultService()
	for i := range teams {
		team := settings.DefaultTeam()
		team.Quota = 1 + i
		c.Teams[ids.Team(fmt.Sprintf("team-%02d", i))] = team
	}
	first := c.Teams["team-00"]
	first.Quota = quota
	c.Teams["team-00"] = first
	return settings.Flatten(c)
}

func (t *tables) configure(teams, quota int) wire.Apply {
	a := wire.Apply{Expect: wire.AnyVersion, CommandID: t.nonce(), Pairs: configuration(teams, quota), By: "operator"}
	t.apply(controlstate.Command{Apply: &a})
	return a
}

func jsonBytes(v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types are the product's own
	}
	return float64(len(data))
}

// StateSlopes measures the replicated tables.
func StateSlopes() []Series {
	out := rowSlopes("member rows", designAgents, []int{11, 100, 700, 2800}, func(t *tables, n int) {
		for range n {
			t.register(wire.KindAgent)
		}
	})
	out = append(out, rowSlopes("job records", 258_000, []int{1000, 10_000, 30_000, 100_000}, func(t *tables, n int) { t.jobs(n, true) })...)
	out = append(out, rowSlopes("tombstones", 100_000, []int{1000, 10_000, 30_000, 100_000}, func(t *tables, n int) {
		t.jobs(n, false)
		t.bury()
	})...)
	out = append(out, tickSlope())
	out = append(out, configSlopes()...)
	return append(out, missedSlope())
}

// rowSlopes measures memory, snapshot and the cost of making rows of one kind.
func rowSlopes(driver string, at float64, counts []int, fill func(*tables, int)) []Series {
	heap := Series{Name: "live heap", Unit: "B", Driver: driver, At: at}
	snap := Series{Name: "snapshot", Unit: "B", Driver: driver, At: at}
	freezing := Series{Name: "copying the tables for a snapshot, in the loop", Unit: "ms", Driver: driver, At: at}
	encoding := Series{Name: "encoding the snapshot, beside the loop", Unit: "ms", Driver: driver, At: at}
	fillTime := Series{Name: "commands that made them", Unit: "ms", Driver: driver, At: at}
	for _, n := range counts {
		var t *tables
		x := float64(n)
		fillTime.Add(x, cpuFor(1, func() { t = newTables(); fill(t, n) })/1e6)
		var frozen controlstate.Frozen
		freezing.Add(x, cpuFor(1, func() { frozen = t.Freeze() })/1e6)
		var data []byte
		encoding.Add(x, cpuFor(1, func() { data, _ = frozen.Encode() })/1e6)
		snap.Add(x, float64(len(data)))
		// Restored tables hold no room that earlier rows have left.
		t, frozen = nil, controlstate.Frozen{}
		heap.Add(x, grown(func() any { s, _ := controlstate.Restore(data); return s }))
		runtime.KeepAlive(data)
	}
	return []Series{heap, snap, freezing, encoding, fillTime}
}

// tickSlope measures one retention tick that drops one record.
func tickSlope() Series {
	s := Series{Name: "retention tick that drops one record", Unit: "us", Driver: "job records", At: 258_000}
	const ticks = 20
	for _, n := range []int{1000, 10_000, 30_000, 100_000} {
		t := newTables()
		for range ticks {
			t.jobs(1, true)
			t.now = t.now.Add(time.Second)
		}
		t.now = t.now.Add(30 * time.Second)
		t.jobs(n, true)
		t.now = t.now.Add(time.Hour - 30*time.Second - ticks*time.Second)
		s.Add(float64(n), cpuFor(ticks, func() {
			for range ticks {
				t.now = t.now.Add(time.Second)
				t.RetentionDue(t.now)
				t.apply(controlstate.Command{ApplyRetention: &controlstate.ApplyRetention{}})
			}
		})/1e3)
	}
	return s
}

// configSlopes measures what a change of one setting costs.
func configSlopes() []Series {
	series := func(name string) Series { return Series{Name: name, Unit: "B", Driver: "teams", At: designTeams} }
	delta, whole, record := series("delta for one changed setting"), series("whole view of an agent"), series("log record of a change")
	for _, teams := range []int{1, 10, 25, 50} {
		x := float64(teams)
		t := newTables()
		agent := t.register(wire.KindAgent)
		t.configure(teams, 1)
		since := ids.Version(t.at)
		a := t.configure(teams, 7)
		c, _ := t.Changes(since, agent)
		delta.Add(x, jsonBytes(c))
		c, _ = t.Changes(0, agent)
		whole.Add(x, jsonBytes(c))
		record.Add(x, jsonBytes(controlstate.Command{Time: t.now.UnixMilli(), Apply: &a}))
	}
	return []Series{delta, whole, record}
}

// missedSlope measures a renewal of a member that has missed changes of the registry.
func missedSlope() Series {
	s := Series{Name: "gathering the delta of an agent", Unit: "us", Driver: "registry changes missed", At: 400}
	for _, n := range []int{1, 10, 100, 1000} {
		t := newTables()
		agent := t.register(wire.KindAgent)
		since := ids.Version(t.at)
		for range n {
			t.register(wire.KindAgent)
		}
		const rounds = 200
		s.Add(float64(n), cpuFor(rounds, func() {
			for range rounds {
				t.Changes(since, agent)
			}
		})/1e3)
	}
	return s
}
