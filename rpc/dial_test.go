package rpc

import (
	"net"
	"testing"

	"github.com/baobabshore/baobabshore/verdict"
)

// Guards against a connection that ends before the token is answered being taken for a
// wrong token: callers then get 401, and a process that starts gives up.
func TestDialTellsALostConnectionFromAWrongToken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			c.Close()
		}
	}()
	_, err = Dial(t.Context(), l.Addr().String(), Security{Token: "t"}, nil, nil)
	if v := verdict.FromError(err); v.Reason != verdict.ConnectionFailed {
		t.Errorf("dial to a server that closes the connection: %v", err)
	}
}
