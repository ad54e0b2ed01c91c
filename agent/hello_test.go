package agent

import (
	"context"
	"testing"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a connection that makes the agent keep a peer, with its goroutines, for each
// greeting that it sends.
func TestConnectionHasOneGreeting(t *testing.T) {
	a, err := Start(t.Context(), Options{
		Node: "agent", Service: "s", Upstream: "127.0.0.1:1", Listen: "127.0.0.1:0",
		Session: func(context.Context, wire.Registration) (Session, error) { return fixedSession{}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	c, err := rpc.Dial(t.Context(), a.Addr(), rpc.Security{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Call(t.Context(), wire.MethodHello, wire.Hello{Entry: testEntry}, nil); err != nil {
		t.Fatal(err)
	}
	for _, entry := range []ids.Incarnation{testEntry, testEntry + 1} {
		err := verdict.FromError(c.Call(t.Context(), wire.MethodHello, wire.Hello{Entry: entry}, nil))
		if err == nil || err.Reason != verdict.BadRequest {
			t.Errorf("another greeting of entry %d: %v", entry, err)
		}
	}
}
