package rpc

import (
	"context"
	"encoding/binary"
	"net"
	"testing"

	"github.com/baobabshore/baobabshore/verdict"
)

type echo struct {
	Text string `json:"text"`
}

func startServer(t *testing.T, sec Security) *Server {
	t.Helper()
	mux := NewMux()
	mux.Ordered("echo", Handle(func(_ context.Context, _ *Conn, p echo) (echo, error) { return p, nil }))
	mux.Concurrent("refuse", Handle(func(_ context.Context, _ *Conn, _ echo) (echo, error) {
		return echo{}, verdict.Refuse(verdict.Draining, "leaving")
	}))
	mux.Concurrent("hang", Handle(func(ctx context.Context, c *Conn, _ echo) (echo, error) {
		c.Close()
		return echo{}, nil
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, sec, mux, nil)
	t.Cleanup(func() { s.Close() })
	return s
}

// Guards against a refusal or a lost reply that is returned with another verdict.
func TestVerdictsReachCaller(t *testing.T) {
	s := startServer(t, Security{Token: "secret"})
	c, err := Dial(t.Context(), s.Addr(), Security{Token: "secret"}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var got echo
	if err := c.Call(t.Context(), "echo", echo{"hello"}, &got); err != nil || got.Text != "hello" {
		t.Fatalf("echo: %v %v", got, err)
	}
	e := verdict.FromError(c.Call(t.Context(), "refuse", echo{}, nil))
	if e.Verdict != verdict.NotRun || e.Reason != verdict.Draining {
		t.Fatalf("refusal arrived as %v", e)
	}
	e = verdict.FromError(c.Call(t.Context(), "hang", echo{}, nil))
	if e.Verdict != verdict.MayHaveRun {
		t.Fatalf("lost reply arrived as %v", e)
	}
}

// Guards against calls without the token, and against a large message that is read
// before authentication.
func TestConnectionNeedsToken(t *testing.T) {
	s := startServer(t, Security{Token: "secret"})
	if _, err := Dial(t.Context(), s.Addr(), Security{Token: "guess"}, nil, nil); verdict.FromError(err).Reason != verdict.Unauthorized {
		t.Fatalf("wrong token: %v", err)
	}
	c, err := Dial(t.Context(), s.Addr(), Security{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Call(t.Context(), "echo", echo{}, nil); err == nil {
		t.Fatal("call without a token succeeded")
	}
	raw, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	if _, err := raw.Write(binary.AppendUvarint(nil, 1<<40)); err != nil {
		t.Fatal(err)
	}
	if n, err := raw.Read(make([]byte, 1)); err == nil {
		t.Fatalf("read %d bytes after an oversized message", n)
	}
}
