package member

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// startSilentNode starts a node that accepts connections and never answers, like a frozen
// VM. It returns the node's address.
func startSilentNode(t *testing.T) string {
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

// Guards against a client that starts every call at a frozen leader. A configuration was
// then not accepted until that node answered again.
func TestCallSkipsFrozenLeader(t *testing.T) {
	c, err := NewClient(ClientOptions{Servers: []string{startSilentNode(t), startRespondingNode(t)}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.serverPool.setLeader(c.serverPool.directory.Addrs()[0])
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r, err := c.Apply(ctx, wire.Apply{Revision: 4})
	if err != nil || r.Revision != 4 {
		t.Fatalf("the call was not answered within 1 s, although one of the two nodes is the leader: %v, %v", r, err)
	}
}

// startRespondingNode starts a node that answers Apply and returns its address.
func startRespondingNode(t *testing.T) string {
	return startNode(t, func(context.Context) (wire.ApplyReply, error) { return wire.ApplyReply{Revision: 4}, nil })
}

// startNode starts a node that answers Apply by apply and returns its address.
func startNode(t *testing.T, apply func(context.Context) (wire.ApplyReply, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := rpc.NewMux()
	mux.Concurrent(wire.MethodApply, rpc.Handle(func(ctx context.Context, _ *rpc.Conn, _ wire.Apply) (wire.ApplyReply, error) {
		return apply(ctx)
	}))
	server := rpc.NewServer(l, rpc.Security{}, mux, nil)
	t.Cleanup(func() { server.Close() })
	return server.Addr()
}

// errReached is returned by the dialer when a call reaches a control node, in tests without
// a network. It is final, so the call is not retried.
var errReached = verdict.Refuse(verdict.BadRequest, "reached")

// applyUntilReached calls Apply with the given dialer and returns the time until the dialer
// reached a node, and the call's error.
func applyUntilReached(t *testing.T, dial Dialer, servers ...string) (elapsed time.Duration, err error) {
	t.Helper()
	c, err := NewClient(ClientOptions{Servers: servers, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	start := time.Now()
	_, err = c.Apply(ctx, wire.Apply{Revision: 4})
	return time.Since(start), err
}

// Guards against a client that waits 1 s for a connection to a control node whose VM is off
// while another node is the leader. After a power failure this delayed the registration of
// all agents by 1 s, and entries refused batches because no worker was available.
func TestCallSkipsUnreachableNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elapsed, err := applyUntilReached(t, func(ctx context.Context, addr string) (*rpc.Conn, error) {
			if addr == "off" {
				<-ctx.Done()
				return nil, verdict.Refuse(verdict.ConnectionFailed, "dial %s: %v", addr, ctx.Err())
			}
			return nil, errReached
		}, "off", "live")
		// An entry that has just started waits 500 ms for workers to connect.
		if verdict.FromError(err).Reason != errReached.Reason || elapsed >= 500*time.Millisecond {
			t.Errorf("after %v: %v, although one of the two nodes is the leader", elapsed, err)
		}
	})
}

// Guards against a process that registers late after a loss of all VMs: its first attempts
// meet control nodes that are still off, and each waits longer than the one before.
func TestNodesThatReturnAreReachedSoon(t *testing.T) {
	const off = 320 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		elapsed, err := applyUntilReached(t, func(ctx context.Context, addr string) (*rpc.Conn, error) {
			if time.Since(begin) < off {
				<-ctx.Done() // the packet is lost, and TCP repeats it only after 1 s
				return nil, verdict.Refuse(verdict.ConnectionFailed, "dial %s: %v", addr, ctx.Err())
			}
			return nil, errReached
		}, "seed1", "seed2", "seed3")
		if verdict.FromError(err).Reason != errReached.Reason || elapsed > off+connectTimeout+retryPause {
			t.Errorf("after %v: %v, although all nodes are on from %v on", elapsed, err, off)
		}
	})
}

// Guards against a client that never connects over a slow network, because its timeout is
// shorter than the time to connect.
func TestConnectsOverSlowNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := applyUntilReached(t, func(ctx context.Context, addr string) (*rpc.Conn, error) {
			if !clock.Sleep(ctx, 900*time.Millisecond) {
				return nil, verdict.Refuse(verdict.ConnectionFailed, "dial %s: %v", addr, ctx.Err())
			}
			return nil, errReached
		}, "slow")
		if verdict.FromError(err).Reason != errReached.Reason {
			t.Errorf("%v, although a connection takes only 0.9 s", err)
		}
	})
}

// Guards against a call that goes on waiting for a frozen leader after another one has become
// known, and against a refusal by the new leader that is taken for the outcome of both attempts.
func TestCallUnderWayMovesToTheNewLeader(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%v", refused), func(t *testing.T) {
			reached := make(chan struct{}, 1)
			former := startNode(t, func(ctx context.Context) (wire.ApplyReply, error) {
				reached <- struct{}{}
				<-ctx.Done()
				return wire.ApplyReply{}, ctx.Err()
			})
			other := startNode(t, func(context.Context) (wire.ApplyReply, error) {
				if refused {
					return wire.ApplyReply{}, verdict.Refuse(verdict.Overloaded, "full")
				}
				return wire.ApplyReply{Revision: 4}, nil
			})
			c, err := NewClient(ClientOptions{Servers: []string{former}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(c.Close)
			go func() {
				<-reached
				c.FollowLeader(other)
			}()
			r, err := c.Apply(t.Context(), wire.Apply{Revision: 4})
			switch {
			case refused && verdict.FromError(err).Verdict != verdict.MayHaveRun:
				t.Errorf("the former leader may have run it: %v", err)
			case !refused && (err != nil || r.Revision != 4):
				t.Errorf("%+v, %v", r, err)
			}
		})
	}
}
