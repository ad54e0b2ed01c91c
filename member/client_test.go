package member

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// silentNode accepts connections and never answers, like a frozen VM.
func silentNode(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return l.Addr().String()
}

// Guards against a client that asks a frozen leader again with every call, so
// that a configuration was not accepted until the leader came back.
func TestCallPassesOverFrozenLeader(t *testing.T) {
	c, err := NewClient(ClientOptions{Servers: []string{silentNode(t), liveNode(t)}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.servers.setLeader(c.servers.dir.Addrs()[0])
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r, err := c.Apply(ctx, wire.Apply{Revision: 4})
	if err != nil || r.Revision != 4 {
		t.Fatalf("a call of 1 s was not answered although one of two nodes leads: %v, %v", r, err)
	}
}

// liveNode answers Apply.
func liveNode(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := rpc.NewMux()
	mux.Concurrent(wire.MethodApply, rpc.Handle(func(context.Context, *rpc.Conn, wire.Apply) (wire.ApplyReply, error) {
		return wire.ApplyReply{Revision: 4}, nil
	}))
	live := rpc.NewServer(l, rpc.Security{}, mux, nil)
	t.Cleanup(func() { live.Close() })
	return live.Addr()
}

// errReached is the answer of a control node that a call has reached, in tests without
// a network.
var errReached = verdict.Refuse(verdict.BadRequest, "reached")

// callReaches calls by way of a dialer, in virtual time, until a node is reached.
func callReaches(t *testing.T, dial Dialer, servers ...string) (took time.Duration, err error) {
	t.Helper()
	c, err := NewClient(ClientOptions{Servers: servers, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	begin := time.Now()
	_, err = c.Apply(ctx, wire.Apply{Revision: 4})
	return time.Since(begin), err
}

// Guards against a member that waits 1 s for the connection to a control node whose VM
// is off while another node leads. After a loss of power all agents registered that
// much late, and entries refused batches for want of workers.
func TestCallPassesOverNodeThatIsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, err := callReaches(t, func(ctx context.Context, addr string) (*rpc.Conn, error) {
			if addr == "off" {
				<-ctx.Done()
				return nil, verdict.Refuse(verdict.ConnectionFailed, "dial %s: %v", addr, ctx.Err())
			}
			return nil, errReached
		}, "off", "live")
		// An entry that has just started waits 500 ms for its workers.
		if verdict.FromError(err).Reason != errReached.Reason || took >= 500*time.Millisecond {
			t.Errorf("after %v: %v, although one of two nodes leads", took, err)
		}
	})
}

// Guards against a member that never connects over a slow network.
func TestConnectsOverSlowNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := callReaches(t, func(ctx context.Context, addr string) (*rpc.Conn, error) {
			if !clock.Sleep(ctx, 900*time.Millisecond) {
				return nil, verdict.Refuse(verdict.ConnectionFailed, "dial %s: %v", addr, ctx.Err())
			}
			return nil, errReached
		}, "slow")
		if verdict.FromError(err).Reason != errReached.Reason {
			t.Errorf("%v, although connections take 0.9 s only", err)
		}
	})
}
