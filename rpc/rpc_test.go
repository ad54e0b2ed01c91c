package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobabshore/baobabshore/intake"
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
	mux.Concurrent("panic", Handle(func(context.Context, *Conn, echo) (echo, error) { panic("test") }))
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

// Guards against a handler whose panic ends the process or another connection, and against
// a caller that is told that nothing ran.
func TestPanicEndsItsConnectionOnly(t *testing.T) {
	s := startServer(t, Security{})
	var conns []*Conn
	for range 2 {
		c, err := Dial(t.Context(), s.Addr(), Security{}, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	if e := verdict.FromError(conns[0].Call(t.Context(), "panic", echo{}, nil)); e.Verdict != verdict.MayHaveRun {
		t.Errorf("a panic arrived as %v", e)
	}
	if err := conns[1].Call(t.Context(), "echo", echo{}, nil); err != nil {
		t.Errorf("the other connection: %v", err)
	}
}

// Guards against room for replies that is never given back: a peer that calls a method whose
// handler passes the message on would use up the budget.
func TestRetainedMessagesGiveTheirRoomBack(t *testing.T) {
	mux := NewMux()
	mux.Ordered("pass on", Handle(func(_ context.Context, c *Conn, p echo) (echo, error) {
		c.Retain()()
		return p, nil
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := intake.NewGate(intake.Limits{Connections: 1}, intake.NewBudget(intake.ConnBytes+2*messageBytes).Share(0, 1), nil)
	s := NewBoundedServer(l, gate, Security{}, mux, nil)
	defer s.Close()
	c, err := Dial(t.Context(), s.Addr(), Security{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range 1000 {
		if err := c.Call(t.Context(), "pass on", echo{"hello"}, nil); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}

// Guards against a frame that ends the process or is read beyond its limit.
func FuzzReadObject(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"text":"a"}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":[[[]]],"error":{},"result":null}`))
	f.Add(frame("[1,2"))
	f.Add(binary.AppendUvarint(nil, 1<<40))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := codec{conn: &Conn{}, counters: &Counters{}}
		c.conn.maxMessageBytes.Store(1 << 10)
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			var v jsonrpc2.Request
			if c.ReadObject(r, &v) != nil {
				return
			}
		}
	})
}

func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}
