package capacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Budgets of one daemon for control, and the rate of configuration changes
// (design.md 1.4).
const (
	budgetBytes    = 29_000.0 // each second, in and out
	budgetMemory   = 32 << 20
	changesPerDay  = 2000.0
	changesInForce = 4.0 // seconds
	secondsPerDay  = 86_400.0
	ticksPerSecond = 20
)

// framed returns the bytes of a message at the codec, with its length in front.
func framed(t *testing.T, message any) float64 {
	data, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return float64(len(data)) + 2
}

// call returns the bytes of a request, or of a notification without an id.
func call(t *testing.T, method string, params any, id *jsonrpc2.ID) float64 {
	r := &jsonrpc2.Request{Method: method, Notif: id == nil}
	if id != nil {
		r.ID = *id
	}
	if err := r.SetParams(params); err != nil {
		t.Fatal(err)
	}
	return framed(t, r)
}

// Numbers as long as they are after half a year at a quarter of the peak rate,
// and for the calls of a connection after a week.
const (
	anIndex = 600_000_000
	aCall   = 600_000
)

// renewal returns the bytes of a renewal and of its reply.
func renewal(t *testing.T, c wire.Changes) float64 {
	id := jsonrpc2.ID{Num: aCall}
	reply := &jsonrpc2.Response{ID: id}
	result := wire.RenewReply{ConfirmedAgeMS: 150, Changes: c}
	result.SetVersion(anIndex, anIndex+144) // a second of the peak rate
	if err := reply.SetResult(result); err != nil {
		t.Fatal(err)
	}
	return call(t, wire.MethodRenew, wire.Renew{Incarnation: anIndex, Have: anIndex}, &id) + framed(t, reply)
}

// Members of a node whose leader serves none. One of them is an entry.
const (
	servedMembers = nodeMembers * (designNodes / 2) / (designNodes/2 - 1)
	servedAgents  = servedMembers
	servedEntries = 1
)

// renewals returns the bytes each second of the renewals of a node's members.
func renewals(t *testing.T) float64 {
	perMessage := renewal(t, wire.Changes{})
	return perMessage * (servedAgents/wire.AgentRenewInterval.Seconds() + servedEntries/wire.RenewInterval.Seconds())
}

// forwarded returns the bytes each second by which a follower tells the leader
// of the renewals of n agents, half of them in each message, and of an entry.
func forwarded(t *testing.T, n int) float64 {
	return call(t, wire.MethodRenewals, rows(n/2+1+servedEntries), nil)
}

// rows returns forwarded renewals of n members.
func rows(n int) wire.Renewals {
	items := make([]wire.Renewal, n)
	for i := range items {
		items[i] = wire.Renewal{Incarnation: ids.Incarnation(anIndex + 10_000*i), Have: ids.Version(anIndex - i%180), AgeMS: int64(100 + i%1150)}
	}
	return wire.PackRenewals(items)
}

// delta returns what a member gets for one changed setting.
func delta(teams int) wire.Changes {
	tb := newTables()
	agent := tb.register(wire.KindAgent)
	tb.configure(teams, 1)
	since := ids.Version(tb.at)
	tb.configure(teams, 7)
	c, _ := tb.Changes(since, agent)
	return c
}

// peers are the consensus nodes of one region, without I/O.
type peers struct {
	t        *testing.T
	nodes    []*consensus.Node
	bytes    []float64 // in and out at each node
	messages int
}

func newPeers(t *testing.T) *peers {
	var g consensus.Group
	for i := range designNodes / 2 {
		id := consensus.ID(fmt.Sprintf("%024x", i))
		g.Peers = append(g.Peers, consensus.Peer{ID: id, Name: fmt.Sprintf("control-%d", i), Addr: "10.31.200.10:7100", Voter: i < 3})
	}
	snap := consensus.Snapshot{Index: anIndex, Term: 12, Group: g}
	p := &peers{t: t, bytes: make([]float64, len(g.Peers))}
	for i, q := range g.Peers {
		p.nodes = append(p.nodes, consensus.New(consensus.Config{ID: q.ID, Boot: 3, Seed: uint64(i), Snapshot: &snap}))
	}
	p.run(5)
	return p
}

// run passes the given number of seconds and counts what is sent.
func (p *peers) run(seconds int) {
	p.messages = 0
	clear(p.bytes)
	for range seconds * ticksPerSecond {
		for _, n := range p.nodes {
			n.Tick()
		}
		for p.deliver() {
		}
	}
}

// steps has the form of control's peer.step with one message.
type steps struct {
	From     consensus.ID        `json:"f"`
	Addr     string              `json:"a"`
	Messages []consensus.Message `json:"m"`
}

func (p *peers) deliver() (any bool) {
	for i, n := range p.nodes {
		rd := n.Ready()
		if rd.Empty() {
			continue
		}
		any = true
		for _, m := range rd.Messages {
			size := call(p.t, wire.MethodStep, steps{m.From, "10.31.200.10:7100", []consensus.Message{m}}, nil)
			p.messages++
			p.bytes[i] += size
			for k, to := range p.nodes {
				if consensus.ID(fmt.Sprintf("%024x", k)) == m.To {
					p.bytes[k] += size
					to.Step(m)
				}
			}
		}
		n.Advance(rd)
	}
	return any
}

func (p *peers) leader() int {
	for i, n := range p.nodes {
		if n.IsLeader() {
			return i
		}
	}
	p.t.Fatal("no leader")
	return 0
}

// change proposes a change of one setting of designTeams teams.
func (p *peers) change() {
	a := newTables().configure(designTeams, 7)
	data, err := controlstate.Command{Time: 1_800_000_000_000, Apply: &a}.Encode()
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.nodes[p.leader()].Propose(data); err != nil {
		p.t.Fatal(err)
	}
}

// shares are what a follower and the leader of a region spend in each second.
type shares struct{ follower, leader, beats, beatsAtLeader, change, changeAtLeader float64 }

func measureControl(t *testing.T) shares {
	p := newPeers(t)
	p.run(10)
	l, f := p.leader(), 0
	for f == l {
		f++
	}
	quietLeader, quiet := p.bytes[l]/10, p.bytes[f]/10
	p.change()
	p.run(10)
	c := shares{beats: quiet, beatsAtLeader: quietLeader, change: p.bytes[f] - 10*quiet, changeAtLeader: p.bytes[l] - 10*quietLeader}
	// The leader refers its members to the other nodes. After a change each
	// member's renewal is forwarded once more, with the news that it holds it.
	const followers = designNodes/2 - 1
	const members = servedAgents + servedEntries
	news := call(t, wire.MethodRenewals, rows(members), nil)
	c.follower = quiet + renewals(t) + forwarded(t, servedAgents)
	c.leader = quietLeader + followers*forwarded(t, servedAgents)
	c.change += members*jsonBytes(delta(designTeams)) + news
	c.changeAtLeader += followers * news
	return c
}

// Guards against control traffic of a node with its share of the members that
// exceeds the budget of a daemon.
func TestBytesOfAControlFollower(t *testing.T) {
	c := measureControl(t)
	total := c.follower + c.change*changesPerDay/secondsPerDay
	t.Logf("%.0f B/s, of which %d renewals %.0f, forwarding %.0f, heartbeats %.0f; a change adds %.0f B",
		total, servedAgents+servedEntries, renewals(t), forwarded(t, servedAgents), c.beats, c.change)
	if total > budgetBytes {
		t.Errorf("%.0f B/s are above the budget of %.0f", total, budgetBytes)
	}
	if burst := (changesInForce*c.follower + c.change) / changesInForce; burst > budgetBytes {
		t.Errorf("with a change, %.0f B/s over %.0f s are above the budget of %.0f", burst, changesInForce, budgetBytes)
	}
}

// Guards against a leader whose duties for its region exceed the budget of a daemon.
func TestBytesOfAControlLeader(t *testing.T) {
	c := measureControl(t)
	total := c.leader + c.changeAtLeader*changesPerDay/secondsPerDay
	t.Logf("%.0f B/s, of which heartbeats %.0f; a change adds %.0f B", total, c.beatsAtLeader, c.changeAtLeader)
	if total > budgetBytes {
		t.Errorf("%.0f B/s are above the budget of %.0f", total, budgetBytes)
	}
}

// Guards against changes that are sent to members whole, or that cost more the
// more teams there are.
func TestDeltaOfOneSetting(t *testing.T) {
	one, all := jsonBytes(delta(1)), jsonBytes(delta(designTeams))
	if all > one {
		t.Errorf("one changed setting takes %.0f B with 1 team and %.0f B with %d teams", one, all, designTeams)
	}
	if perDay := changesPerDay * all / secondsPerDay; perDay > budgetBytes/100 {
		t.Errorf("the deltas of a day are %.0f B/s at a member, above 1 %% of the budget", perDay)
	}
}

// Guards against messages of their own for a configuration change: consensus
// needs an append, its reply, the news of the commit and its reply for each
// peer, and members get the change with renewals that are due anyway.
func TestMessagesOfAChange(t *testing.T) {
	p := newPeers(t)
	p.run(10)
	quiet := p.messages
	p.change()
	p.run(10)
	if most := 4 * (designNodes/2 - 1); p.messages-quiet > most {
		t.Errorf("a change takes %d messages between control nodes, at most %d are needed", p.messages-quiet, most)
	}
}

// registry fills the tables that control needs at the design scale: members,
// with as many ended ones as live ones, configuration, and two days of commands.
func registry() *tables {
	tb := newTables()
	for range 2 * (designAgents + designEntries) {
		tb.register(wire.KindAgent)
	}
	for i := range 2 * int(changesPerDay) {
		tb.configure(designTeams, 1+i%9)
	}
	return tb
}

// Guards against a registry and a configuration that outgrow the memory of a
// daemon, and against members whose rows on the way to a new entry take longer
// than the time in which a change must be in force.
func TestMemoryOfTheRegistry(t *testing.T) {
	heap := grown(func() any { return registry() })
	t.Logf("%.1f MB of live heap", heap/(1<<20))
	if heap > budgetMemory {
		t.Errorf("%.0f B of live heap are above the budget of %d", heap, budgetMemory)
	}
}

// Guards against open jobs, records of ended ones and tombstones whose configured maxima outgrow the
// memory of a daemon.
func TestMemoryAtTheConfiguredMaxima(t *testing.T) {
	records, tombs := 0, 0
	heap := grown(func() any {
		tb := registry()
		for r := tb.admit(false); r.Admitted != nil; r = tb.admit(false) {
			tb.end(*r.Admitted)
			tombs++
		}
		tb.bury()
		for range settings.MaxOpenJobs - 1 {
			if r := tb.admit(true); r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		for r := tb.admit(true); r.Admitted != nil; r = tb.admit(true) {
			tb.end(*r.Admitted)
			records++
		}
		if r := tb.admit(true); r.Err.Reason != verdict.Overloaded {
			t.Fatalf("the tables refuse with %v", r.Err)
		}
		return tb
	})
	t.Logf("%.1f MB of live heap with %d open jobs, %d ended ones and %d tombstones",
		heap/(1<<20), settings.MaxOpenJobs-1, records, tombs)
	if heap > budgetMemory {
		t.Errorf("%.0f B of live heap are above the budget of %d", heap, budgetMemory)
	}
}
