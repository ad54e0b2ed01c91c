package entry

import (
	"fmt"
	"net"
	"testing"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// startControl starts a group of three control nodes and applies a configuration. It
// returns their addresses.
func startControl(t *testing.T, c settings.Cluster) []string {
	t.Helper()
	var peers []control.Peer
	var listeners []net.Listener
	var addrs []string
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
		peers = append(peers, control.Peer{Node: ids.Node(fmt.Sprintf("c%d", i+1)), Addr: l.Addr().String()})
	}
	for i, l := range listeners {
		n, err := control.Start(control.Options{Node: peers[i].Node, Listener: l, Peers: peers, Data: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close() })
	}
	client, err := member.NewClient(member.ClientOptions{Servers: addrs})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	r, err := client.Apply(t.Context(), wire.Apply{Expect: wire.AnyVersion, Pairs: settings.Flatten(c)})
	if err != nil || r.Err != nil {
		t.Fatalf("apply: %v %v", err, r.Err)
	}
	return addrs
}

// TestWithControlGroup guards against components that work with test doubles but not
// with each other. It runs three control nodes, two agents and two entries in one
// process.
func TestWithControlGroup(t *testing.T) {
	servers := startControl(t, testCluster())
	var upstreams []*upstreamsim.Server
	for i := range 2 {
		u, err := upstreamsim.Start(upstreamsim.Options{Slots: 4})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { u.Close() })
		upstreams = append(upstreams, u)
		a, err := agent.Start(t.Context(), agent.Options{
			Node: ids.Node(fmt.Sprintf("a%d", i+1)), Domain: "d", Service: "s", Upstream: u.Addr(), Slots: 4, Connections: 4,
			Session: agent.NewSessionOpener(member.NewDirectory(servers...), rpc.Security{}, nil),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { a.Close() })
		trackForDump(t, a)
	}
	var entries []*Entry
	for i := range 2 {
		e, err := Start(t.Context(), Options{
			Node: ids.Node(fmt.Sprintf("e%d", i+1)), Domain: "d",
			Session: NewSessionOpener(member.NewDirectory(servers...), rpc.Security{}, nil),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { e.Close() })
		trackForDump(t, e)
		entries = append(entries, e)
	}
	sys := &testSystem{entries: entries}
	for _, e := range entries {
		sys.awaitCapacity(t, e)
	}
	first := decodeJob(t, call(t, entries[0], "POST", "/v1/jobs", jobJSON("k", 100)))
	r := call(t, entries[1], "POST", "/v1/jobs?wait=60s", jobJSON("k", 100))
	if j := decodeJob(t, r); r.status != 200 || j.ID != first.ID || len(j.Results) != 100 {
		t.Fatalf("resubmission of job %d: %v", first.ID, r)
	}
	if r := call(t, entries[1], "GET", "/v1/services/s/x", "", headerTeam, "t"); r.status != 200 {
		t.Errorf("single request: %v", r)
	}
	if r := call(t, entries[1], "POST", "/v1/services/s/y", "", headerTeam, "t", headerKey, "one"); r.status != 200 {
		t.Errorf("keyed request: %v", r)
	}
	// An id beyond the end of the log is unknown. It must not be taken for a record
	// that this entry has not received yet.
	if r := call(t, entries[0], "GET", "/v1/jobs/1099511627776", ""); r.status != 404 || r.header.Get(headerReason) != "unknown-job" {
		t.Errorf("job with an id beyond the end of the log: %v", r)
	}
	if err := entries[0].Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
	eventually(t, "the record of the job", func() bool {
		rec, err := entries[1].incarnation.Load().session.Job(t.Context(), first.ID)
		return err == nil && rec.State == wire.JobComplete
	})
	starts := map[string]int{}
	for _, u := range upstreams {
		for task, n := range u.StartCounts() {
			starts[task] += n
		}
		if u.Overruns() != 0 {
			t.Errorf("%d overruns", u.Overruns())
		}
	}
	if len(starts) != 102 {
		t.Errorf("%d tasks started, not 102", len(starts))
	}
	for task, n := range starts {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}
