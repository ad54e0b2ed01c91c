package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobabshore/baobabshore/faultnet"
	"github.com/baobabshore/baobabshore/wire"
)

// testTimeout stops a test that hangs. No test depends on its length.
const testTimeout = time.Minute

// relayedPair is a connection through a relay. The accepting side answers test.echo and
// notifies the other one of test.beat all the time.
type relayedPair struct {
	relay  *faultnet.Relay
	dialed *Conn
	served *Conn
}

func newRelayedPair(t *testing.T) relayedPair {
	served := make(chan *Conn, 1)
	m := NewMux()
	m.Concurrent("test.echo", func(_ context.Context, _ *Conn, raw json.RawMessage) (any, error) { return raw, nil })
	m.Concurrent("test.start", func(_ context.Context, c *Conn, _ json.RawMessage) (any, error) {
		served <- c
		go func() {
			for c.Notify(context.Background(), "test.beat", nil) == nil {
				time.Sleep(10 * time.Millisecond)
			}
		}()
		return wire.Empty{}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, Security{}, m, nil)
	t.Cleanup(func() { s.Close() })
	relay, err := faultnet.Listen("127.0.0.1:0", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { relay.Close() })
	back := NewMux()
	back.Ordered("test.beat", func(context.Context, *Conn, json.RawMessage) (any, error) { return nil, nil })
	c, err := Dial(t.Context(), relay.Addr(), Security{}, back, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.Call(t.Context(), "test.start", nil, nil); err != nil {
		t.Fatal(err)
	}
	return relayedPair{relay, c, <-served}
}

func (p relayedPair) silence(d faultnet.Direction) {
	p.relay.Silence(d, func() bool { return true })
}

func awaitFailure(t *testing.T, c *Conn) {
	t.Helper()
	select {
	case <-c.Done():
		if !c.ProbeFailed() {
			t.Error("the connection has ended without a probe")
		}
	case <-time.After(testTimeout):
		t.Error("the connection stays open")
	}
}

// dialStandIn returns a connection whose peer is played by serve.
func dialStandIn(t *testing.T, serve func(net.Conn)) *Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c)
		<-t.Context().Done()
	}()
	c, err := Dial(t.Context(), l.Addr().String(), Security{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against a connection that is believed because its peer is heard on it, while
// nothing arrives at the peer.
func TestConnectionSilentTowardItsPeerIsClosed(t *testing.T) {
	c := dialStandIn(t, notifyWithoutReading)
	if err := c.Notify(t.Context(), "test.lost", nil); err != nil {
		t.Fatal(err)
	}
	awaitFailure(t, c)
}

// notifyWithoutReading sends notifications until the connection ends.
func notifyWithoutReading(c net.Conn) {
	message := []byte(`{"jsonrpc":"2.0","method":"test.beat"}`)
	frame := append(binary.AppendUvarint(nil, uint64(len(message))), message...)
	for {
		if _, err := c.Write(frame); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against notifications that go one way without any sign that they arrive.
func TestAcceptedConnectionThatIsNotHeardIsClosed(t *testing.T) {
	p := newRelayedPair(t)
	p.silence(faultnet.ToClient)
	awaitFailure(t, p.served)
}

// Guards against a call that waits for its own deadline on a connection that is dead.
func TestCallOverASilentConnectionFails(t *testing.T) {
	p := newRelayedPair(t)
	p.silence(faultnet.Both)
	if err := p.dialed.Call(t.Context(), "test.echo", 1, nil); err == nil {
		t.Error("the call has succeeded")
	}
	awaitFailure(t, p.dialed)
}

// Guards against a peer whose end goes unnoticed while a message of it is awaited.
func TestAwaitedPeerThatFallsSilentIsNoticed(t *testing.T) {
	p := newRelayedPair(t)
	p.dialed.SetAwaiting(true)
	p.silence(faultnet.Both)
	awaitFailure(t, p.dialed)
}

// Guards against a listener that keeps connections which their peers have given up.
func TestIdleConnectionIsProbed(t *testing.T) {
	p := newRelayedPair(t)
	p.silence(faultnet.Both)
	p.dialed.checkIdle()
	p.dialed.checkIdle()
	awaitFailure(t, p.dialed)
}

// Guards against probes on a connection whose peer tells what has arrived, and against the
// proof of messages that were never sent.
func TestReceivedCountProvesArrival(t *testing.T) {
	p := newRelayedPair(t)
	for range 10 {
		if err := p.dialed.Notify(t.Context(), "test.unknown", nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.dialed.Call(t.Context(), "test.echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	d := &p.dialed.delivery
	if got, want := p.served.Received(), d.sent.Load(); got != want {
		t.Fatalf("%d of %d messages are counted as received", got, want)
	}
	p.dialed.Acknowledge(d.sent.Load() + 1)
	if proven := d.proven.Load(); proven > d.sent.Load() {
		t.Errorf("%d messages are proven, %d were sent", proven, d.sent.Load())
	}
	p.dialed.Acknowledge(p.served.Received())
	if d.needsChecks() && !d.probing.Load() {
		t.Error("the connection is probed although all has arrived")
	}
}

// Guards against a probe that closes a connection on which its reply waits behind a large
// message that is arriving.
func TestConnectionIsKeptWhileALargeReplyArrives(t *testing.T) {
	c := dialStandIn(t, func(c net.Conn) { replySlowly(c, 4<<20, 2<<20) })
	if err := c.Call(t.Context(), "test.large", nil, nil); err != nil {
		t.Error(err)
	}
	if c.counters.Probes.Load() == 0 {
		t.Error("the connection was not probed")
	}
}

// replySlowly answers each request in turn, the first one with size bytes that it sends at
// bytesPerSecond.
func replySlowly(c net.Conn, size, bytesPerSecond int) {
	const parts = 10 // a second
	part := bytesPerSecond / parts
	codec, r := jsonrpc2.VarintObjectCodec{}, bufio.NewReader(c)
	for text := strings.Repeat("x", size); ; text = "" {
		var req jsonrpc2.Request
		if codec.ReadObject(r, &req) != nil {
			return
		}
		var reply bytes.Buffer
		if codec.WriteObject(&reply, map[string]any{"jsonrpc": "2.0", "id": req.ID, "result": text}) != nil {
			return
		}
		for reply.Len() > 0 {
			if _, err := c.Write(reply.Next(part)); err != nil {
				return
			}
			if reply.Len() > 0 {
				time.Sleep(time.Second / parts)
			}
		}
	}
}

// Guards against a caller that can't leave a peer which doesn't read before the write times out.
func TestAbortEndsABlockedWrite(t *testing.T) {
	c := dialStandIn(t, func(net.Conn) {})
	time.AfterFunc(100*time.Millisecond, c.Abort)
	var err error
	for err == nil {
		err = c.Notify(t.Context(), "test.large", strings.Repeat("x", 8<<20))
	}
	if strings.Contains(err.Error(), "timeout") {
		t.Errorf("the write has ended by its own limit: %v", err)
	}
}

// Guards against probes that close a connection which is busy with a large message.
func TestProbeAllowsForLargeMessages(t *testing.T) {
	if got := transferTime(8 << 20); got != 8*time.Second {
		t.Errorf("8 MB are allowed %v", got)
	}
	if got := transferTime(1 << 40); got != maxTransferTime {
		t.Errorf("1 TB is allowed %v", got)
	}
}
