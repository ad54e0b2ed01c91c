package member

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/rpc"
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

	c, err := NewClient(ClientOptions{Servers: []string{silentNode(t), live.Addr()}})
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
