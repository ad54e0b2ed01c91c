// Package faultnet relays TCP connections and makes single ones fail as a network does. It
// stands between processes of a test or an experiment, all of which run on one machine.
package faultnet

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Direction is the direction of the bytes that a silent connection loses.
type Direction uint8

const (
	ToServer Direction = 1 << iota // from the side that dialed to the listener
	ToClient
	Both = ToServer | ToClient
)

// Relay accepts connections and forwards the bytes of each to a server. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu       sync.Mutex
	conns    map[*conn]struct{}
	accepted int
	closed   bool
}

// conn is one relayed connection.
type conn struct {
	client, server net.Conn
	silent         atomic.Uint32 // directions whose bytes are lost
}

// Listen starts a relay from the address listen to the address target, both host:port. The
// target need not be listening yet.
func Listen(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "faultnet")
	}
	r := &Relay{listener: l, target: target, conns: map[*conn]struct{}{}}
	r.wg.Go(r.acceptLoop)
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence makes the open connections for which pick returns true lose all further bytes in
// the given direction, and also the news of their end, for as long as they last. Neither
// side sees an error: the relay goes on to acknowledge what it receives. Later connections
// are not affected. It returns the number of connections that it has silenced.
func (r *Relay) Silence(d Direction, pick func() bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	silenced := 0
	for c := range r.conns {
		if pick() {
			c.silent.Or(uint32(d))
			silenced++
		}
	}
	return silenced
}

// Open returns the number of open connections, silent ones included.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Accepted returns the number of connections so far that have reached the server.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Reset closes all open connections on both sides.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.close()
	}
	r.mu.Unlock()
	err := r.listener.Close()
	r.wg.Wait()
	return err
}

func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		r.wg.Go(func() { r.serve(client) })
	}
}

func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	c := &conn{client: client, server: server}
	if !r.add(c) {
		c.close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(server, client, ToServer) })
	directions.Go(func() { c.forward(client, server, ToClient) })
	directions.Wait()
	c.close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *Relay) add(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
		r.accepted++
	}
	return !r.closed
}

// forward copies the bytes of one direction until the source ends. The end is passed on,
// unless the connection is silent.
func (c *conn) forward(to, from net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.isSilent(d) {
			_, writeErr := to.Write(buf[:n])
			// The reset of a peer that has closed its end would be lost, too.
			if writeErr != nil && !c.isSilent(d^Both) {
				c.close()
			}
		}
		if err != nil {
			if !c.isSilent(d) {
				c.close()
			}
			return
		}
	}
}

func (c *conn) isSilent(d Direction) bool { return c.silent.Load()&uint32(d) != 0 }

func (c *conn) close() {
	_ = c.client.Close() // an error means that it is closed
	_ = c.server.Close()
}

// reset closes a connection so that its peer sees a refusal rather than a regular end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the peer sees a regular end
	}
	_ = c.Close()
}
