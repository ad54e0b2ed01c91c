package entry

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/faultnet"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// contactTime is the target for the time from a disturbance of connections until promises
// with a time bound hold again, ContactMs of the smallest deployment.
const contactTime = 3 * time.Second

func startRelay(t *testing.T, target string) *faultnet.Relay {
	r, err := faultnet.Listen("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

func silence(r *faultnet.Relay, d faultnet.Direction) {
	r.Silence(d, func() bool { return true })
}

// newRelayedSystem returns a system whose entry reaches the agent through a relay.
func newRelayedSystem(t *testing.T) (*testSystem, *faultnet.Relay) {
	u, err := upstreamsim.Start(upstreamsim.Options{Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.Close() })
	s := &testSystem{control: newFakeControl(testCluster()), upstream: u}
	o := agent.Options{Listen: loopback.FreeAddr(t)}
	relay := startRelay(t, o.Listen)
	o.Advertise = relay.Addr()
	s.agent = s.control.startAgentWith(t, "a1", u.Addr(), o)
	s.entries = append(s.entries, s.control.startEntry(t, "e1", Options{}))
	s.awaitCapacity(t, s.entries[0])
	return s, relay
}

// Guards against an entry that keeps a connection to an agent which went silent, so that
// tasks miss their deadline, and against a second start of a task that is sent again.
func TestJobEndsAfterTheConnectionToItsAgentWentSilent(t *testing.T) {
	for name, d := range map[string]faultnet.Direction{"both": faultnet.Both, "to-agent": faultnet.ToServer, "to-entry": faultnet.ToClient} {
		t.Run(name, func(t *testing.T) {
			s, relay := newRelayedSystem(t)
			silence(relay, d)
			body := strings.Replace(jobJSON("k", 2), `{`, fmt.Sprintf(`{"deadline_ms":%d,`, contactTime.Milliseconds()), 1)
			r := call(t, s.entries[0], "POST", "/v1/jobs?wait=10s", body)
			if r.status != 200 {
				t.Errorf("job after the silence: %v", r)
			}
			s.checkStartedOnce(t)
		})
	}
}

// Guards against an entry that keeps its connection to another entry after a call over it
// was not answered, so that each later call fails too.
func TestCallsReachAnotherEntryAfterAConnectionWentSilent(t *testing.T) {
	m := rpc.NewMux()
	m.Concurrent(wire.MethodState, rpc.Handle(func(context.Context, *rpc.Conn, wire.StateQuery) (wire.JobStatus, error) {
		return wire.JobStatus{Job: 7}, nil
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(l, rpc.Security{}, m, nil)
	defer server.Close()
	relay := startRelay(t, server.Addr())
	p := newPeers(rpc.Security{}, nil)
	defer p.close()
	for _, silent := range []bool{false, true} {
		if silent {
			silence(relay, faultnet.Both)
			_, _ = p.queryStatus(t.Context(), relay.Addr(), 7, 0) // may fail
		}
		if st, err := p.queryStatus(t.Context(), relay.Addr(), 7, 0); err != nil || st.Job != 7 {
			t.Errorf("silent connection before: %v, answer %+v, %v", silent, st, err)
		}
	}
}
