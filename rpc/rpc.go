package rpc

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	methodAuth              = "rpc.auth"
	codeVerdictError        = -32050
	dialTimeout             = time.Second
	authTimeout             = 2 * time.Second
	writeTimeout            = 5 * time.Second
	maxUnauthenticatedBytes = 4 << 10
	maxConns                = 8192
)

// Security holds the authentication settings, which both ends of a connection share.
type Security struct {
	Token string      // empty means that no token is required
	TLS   *tls.Config // nil means plain TCP
}

// HandlerFunc serves one method. The peer receives a returned *verdict.Error unchanged.
type HandlerFunc func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Mux maps methods to handlers. It must not be changed once it is in use, since
// connections read it without a lock.
type Mux struct {
	ordered    map[string]HandlerFunc
	concurrent map[string]HandlerFunc
}

// NewMux returns an empty mux.
func NewMux() *Mux {
	return &Mux{ordered: map[string]HandlerFunc{}, concurrent: map[string]HandlerFunc{}}
}

// Ordered registers a handler that runs in the order in which messages arrive on a
// connection. It must return quickly and must not call the same peer, since no other
// message of the connection is read meanwhile.
func (m *Mux) Ordered(method string, h HandlerFunc) { m.ordered[method] = h }

// Concurrent registers a handler that runs in its own goroutine for each message.
func (m *Mux) Concurrent(method string, h HandlerFunc) { m.concurrent[method] = h }

// Handle adapts a function with typed parameters to a HandlerFunc.
func Handle[P, R any](f func(ctx context.Context, conn *Conn, p P) (R, error)) HandlerFunc {
	return func(ctx context.Context, conn *Conn, raw json.RawMessage) (any, error) {
		var p P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &p); err != nil {
				return nil, verdict.Refuse(verdict.BadRequest, "parameters: %v", err)
			}
		}
		return f(ctx, conn, p)
	}
}

// Serial returns a handler that runs h for one message at a time, so that calls that are
// costly for the state of the process leave time to all others.
func Serial(h HandlerFunc) HandlerFunc {
	var mu sync.Mutex
	return func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error) {
		mu.Lock()
		defer mu.Unlock()
		return h(ctx, conn, params)
	}
}

// Conn is a connection between two processes.
type Conn struct {
	rpc             *jsonrpc2.Conn
	remote          string
	raw             net.Conn
	stream          *intake.Stream // nil for a connection that this process has opened
	grant           *intake.Grant  // of the message that was read last; used by the reader only
	inOrder         *intake.Grant  // of the message that an ordered handler handles; used by the reader only
	accepted        bool           // false for a connection that this process has opened
	counters        *Counters
	ready           chan struct{} // closed once rpc is set
	delivery        delivery
	maxMessageBytes atomic.Int64
	authenticated   atomic.Bool
	// Peer is free for the handlers, which may store the state of the peer in it.
	Peer atomic.Value
}

// Remote returns the address of the peer.
func (c *Conn) Remote() string { return c.remote }

// takeGrant returns the grant of the message that was read last. It is called by the reader.
func (c *Conn) takeGrant() *intake.Grant {
	g := c.grant
	c.grant = nil
	return g
}

// Retain keeps the memory of the message that an ordered handler handles taken until the
// returned function is called. A handler calls it if it passes the message on, for example to
// an event loop.
func (c *Conn) Retain() (release func()) {
	g := c.inOrder
	c.inOrder = nil
	return g.Release
}

// Keep keeps the memory of the message that an ordered handler handles taken until
// ReleaseKept. Unlike Retain it lets the connection be closed to make room, which gives the
// memory back.
func (c *Conn) Keep() {
	c.inOrder.Keep()
	c.inOrder = nil
}

// ReleaseKept gives back what Keep has kept. An ordered handler calls it.
func (c *Conn) ReleaseKept() { c.stream.ReleaseKept() }

// Close closes the connection.
func (c *Conn) Close() error { return c.rpc.Close() }

// Abort ends the connection at once, also while a write to it is blocked.
func (c *Conn) Abort() {
	_ = c.raw.Close() // an error means that it is closed
	_ = c.Close()
}

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// IsClosed reports whether the connection has ended.
func (c *Conn) IsClosed() bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// Call sends a request and waits for its result. Every error is a *verdict.Error: the
// error that the peer returned, or one with verdict MayHaveRun if no reply arrived.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	return decodeError(c.call(ctx, method, params, result))
}

// Notify sends a message that has no reply. After an error it is unknown whether the
// peer received it.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	return decodeError(c.rpc.Notify(ctx, method, params))
}

func decodeError(err error) error {
	if err == nil {
		return nil
	}
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return verdict.Unknown(verdict.ConnectionFailed, "%v", err)
	}
	if e.Code == codeVerdictError && e.Data != nil {
		v := &verdict.Error{}
		if json.Unmarshal(*e.Data, v) == nil {
			return v
		}
	}
	if e.Code == jsonrpc2.CodeMethodNotFound {
		return verdict.Refuse(verdict.BadRequest, "%s", e.Message)
	}
	return verdict.Unknown(verdict.Internal, "%s", e.Message)
}

func encodeError(err error) *jsonrpc2.Error {
	v := verdict.FromError(err)
	e := &jsonrpc2.Error{Code: codeVerdictError, Message: v.Error()}
	e.SetError(v)
	return e
}

// Dial connects to addr and authenticates. mux serves the messages of the peer and may be
// nil. An error has verdict NotRun, since no request was sent.
func Dial(ctx context.Context, addr string, sec Security, mux *Mux, counters *Counters) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+authTimeout)
	defer cancel()
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, verdict.Refuse(verdict.ConnectionFailed, "dial %s: %v", addr, err)
	}
	if sec.TLS != nil {
		tc := tls.Client(raw, clientTLS(sec.TLS, addr))
		if err := tc.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, verdict.Refuse(verdict.ConnectionFailed, "TLS with %s: %v", addr, err)
		}
		raw = tc
	}
	c := newConn(raw, nil, mux, Security{}, counters)
	if sec.Token == "" {
		return c, nil
	}
	if err := c.Call(ctx, methodAuth, sec.Token, nil); err != nil {
		c.Close()
		// Only the peer can say that the token is wrong. A connection that fails before its
		// answer is no refusal, and callers go on to another server.
		reason := verdict.ConnectionFailed
		if verdict.FromError(err).Reason == verdict.Unauthorized {
			reason = verdict.Unauthorized
		}
		return nil, verdict.Refuse(reason, "authenticate at %s: %v", addr, err)
	}
	return c, nil
}

// clientTLS returns a configuration that requires the peer's certificate to be valid for
// the host of addr, unless conf names another host or skips the verification.
func clientTLS(conf *tls.Config, addr string) *tls.Config {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || conf.ServerName != "" || conf.InsecureSkipVerify {
		return conf
	}
	conf = conf.Clone()
	conf.ServerName = host
	return conf
}

// Server accepts and serves connections on one listener.
type Server struct {
	mux      *Mux
	sec      Security
	counters *Counters
	listener net.Listener
	gate     *intake.Gate

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// NewServer returns a server that serves mux on l until Close. It bounds the number of
// connections.
func NewServer(l net.Listener, sec Security, mux *Mux, counters *Counters) *Server {
	return NewBoundedServer(l, nil, sec, mux, counters)
}

// NewBoundedServer returns a server like NewServer. The gate bounds what its peers can make
// the process hold; nil bounds the number of connections only.
func NewBoundedServer(l net.Listener, gate *intake.Gate, sec Security, mux *Mux, counters *Counters) *Server {
	if gate == nil {
		gate = intake.NewGate(intake.Limits{Connections: maxConns}, intake.Unlimited().Share(0, 1), nil)
	}
	l = gate.Listener(l)
	if sec.TLS != nil {
		l = tls.NewListener(l, sec.TLS)
	}
	s := &Server{mux: mux, sec: sec, counters: counters, listener: l, gate: gate, conns: map[*Conn]struct{}{}}
	go s.acceptLoop()
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all accepted connections.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[*Conn]struct{}{}
	s.mu.Unlock()
	err := s.listener.Close()
	for c := range conns {
		c.Close()
	}
	return err
}

func (s *Server) acceptLoop() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		s.addConn(raw)
	}
}

func (s *Server) addConn(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		raw.Close()
		return
	}
	c := newConn(raw, s.gate, s.mux, s.sec, s.counters)
	s.conns[c] = struct{}{}
	go s.awaitClose(c)
}

func (s *Server) awaitClose(c *Conn) {
	if s.sec.Token != "" {
		timer := time.AfterFunc(authTimeout, func() {
			if !c.authenticated.Load() {
				c.Close()
			}
		})
		defer timer.Stop()
	}
	<-c.Done()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// newConn serves a connection. gate is nil for one that this process has opened.
func newConn(raw net.Conn, gate *intake.Gate, mux *Mux, sec Security, counters *Counters) *Conn {
	if counters == nil {
		counters = &Counters{}
	}
	if mux == nil {
		mux = NewMux()
	}
	c := &Conn{remote: raw.RemoteAddr().String(), raw: raw, accepted: gate != nil, counters: counters, ready: make(chan struct{})}
	if gate != nil {
		c.stream = gate.Stream(raw)
	}
	c.maxMessageBytes.Store(wire.MaxMessageBytes)
	c.authenticated.Store(sec.Token == "")
	if sec.Token != "" {
		c.maxMessageBytes.Store(maxUnauthenticatedBytes)
	}
	connProber.add(c)
	stream := jsonrpc2.NewBufferedStream(streamConn{raw, c}, codec{conn: c, counters: counters})
	h := &handler{mux: mux, sec: sec, conn: c, gate: gate}
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(discardLogger{}),
		jsonrpc2.OnSend(c.recordSent), jsonrpc2.OnRecv(c.recordReceived))
	close(c.ready)
	return c
}

// handler authenticates a connection and calls the handlers of its messages.
type handler struct {
	mux  *Mux
	sec  Security
	conn *Conn
	gate *intake.Gate
}

func (h *handler) Handle(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-h.conn.ready
	grant := h.conn.takeGrant()
	if req.Method == methodProbe && h.conn.authenticated.Load() {
		go func() { // the reader must not wait for a peer that doesn't read
			defer grant.Release()
			h.reply(ctx, rc, req, wire.Empty{}, nil)
		}()
		return
	}
	if f, ok := h.mux.concurrent[req.Method]; ok && h.conn.authenticated.Load() {
		go func() {
			defer grant.Release()
			h.run(ctx, rc, req, f, func() *intake.Grant { return grant })
		}()
		return
	}
	h.conn.inOrder = grant
	h.handleInOrder(ctx, rc, req)
	h.conn.inOrder.Release() // nil if the handler has retained it
	h.conn.inOrder = nil
}

// handleInOrder handles a message before the next one is read.
func (h *handler) handleInOrder(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodAuth {
		h.authenticate(ctx, rc, req)
		return
	}
	if !h.conn.authenticated.Load() {
		h.reply(ctx, rc, req, nil, verdict.Refuse(verdict.Unauthorized, "no token on this connection"))
		h.conn.Close()
		return
	}
	f, ok := h.mux.ordered[req.Method]
	if !ok {
		h.reply(ctx, rc, req, nil, verdict.Refuse(verdict.BadRequest, "unknown method %q", req.Method))
		return
	}
	h.run(ctx, rc, req, f, func() *intake.Grant { return h.conn.inOrder })
}

func (h *handler) authenticate(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var token string
	if req.Params != nil {
		_ = json.Unmarshal(*req.Params, &token) // a malformed token fails the comparison
	}
	if subtle.ConstantTimeCompare([]byte(token), []byte(h.sec.Token)) != 1 {
		h.reply(ctx, rc, req, nil, verdict.Refuse(verdict.Unauthorized, "wrong token"))
		h.conn.Close()
		return
	}
	h.conn.maxMessageBytes.Store(wire.MaxMessageBytes)
	h.conn.authenticated.Store(true)
	h.reply(ctx, rc, req, wire.Empty{}, nil)
}

// run calls the handler of a message and sends its result. grantOf returns the grant of the
// message after the call, nil if the handler has retained it: the grant is then released by
// whoever the message was passed to. A panic of the handler ends the connection: its peer
// takes the outcome as unknown.
func (h *handler) run(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request, f HandlerFunc, grantOf func() *intake.Grant) {
	defer h.recoverPanic()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := f(ctx, h.conn, params)
	if grant := grantOf(); err == nil && !req.Notif && grant != nil {
		result, err = h.reserveReply(result, grant)
	}
	h.reply(ctx, rc, req, result, err)
}

func (h *handler) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if h.gate == nil {
		panic(p) // on a connection that this process has opened
	}
	h.gate.RecordPanic(p)
	h.conn.Close()
}

// reserveReply encodes a result and takes memory for it, since replies to a peer that
// doesn't read wait in memory. Without room the connection is closed: the call has been
// carried out, and the peer takes the outcome as unknown.
func (h *handler) reserveReply(result any, grant *intake.Grant) (any, error) {
	data, err := json.Marshal(result)
	if err != nil {
		return nil, verdict.Unknown(verdict.Internal, "encode the result: %v", err)
	}
	// The library copies the result into a message, and the codec copies the message.
	if err := grant.Reserve(3 * int64(len(data))); err != nil {
		h.conn.Close()
		return nil, verdict.Unknown(verdict.Overloaded, "no room for the reply")
	}
	return json.RawMessage(data), nil
}

func (h *handler) reply(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	if err != nil {
		_ = rc.ReplyWithError(ctx, req.ID, encodeError(err)) // after a failed write the peer sees a broken connection
		return
	}
	_ = rc.Reply(ctx, req.ID, result)
}

// streamConn is the network connection of a Conn. It limits the time of each write, so that
// a connection whose peer doesn't read fails.
type streamConn struct {
	net.Conn
	conn *Conn
}

func (s streamConn) Write(b []byte) (int, error) {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return s.Conn.Write(b)
}

func (s streamConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.conn.delivery.bytesIn.Add(int64(n))
	return n, err
}

// Close is called once when the Conn ends.
func (s streamConn) Close() error {
	connProber.remove(s.conn)
	return s.Conn.Close()
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
