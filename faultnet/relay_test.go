package faultnet

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a relay that tells either side of a silent connection, or that disturbs
// later ones: tests of silent connections would then pass without their guard.
func TestSilenceIsNotNoticed(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	relay, err := Listen("127.0.0.1:0", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client, accepted := connect(t, relay, server)
	exchange(t, client, accepted)
	if n := relay.Silence(ToServer, func() bool { return true }); n != 1 {
		t.Fatalf("%d connections are silent, want 1", n)
	}
	exchange(t, accepted, client) // the other direction works
	if _, err := client.Write([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	client.Close()
	if err := accepted.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := accepted.Read(make([]byte, 8)); n > 0 || !isTimeout(err) {
		t.Errorf("the server reads %d bytes, %v", n, err)
	}
	client, accepted = connect(t, relay, server)
	exchange(t, client, accepted)
}

// connect opens a connection through the relay and returns both of its ends.
func connect(t *testing.T, r *Relay, l net.Listener) (client, accepted net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); accepted.Close() })
	return client, accepted
}

// exchange sends a message in one direction.
func exchange(t *testing.T, from, to net.Conn) {
	t.Helper()
	if _, err := from.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(to, make([]byte, len("hello"))); err != nil {
		t.Fatal(err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
