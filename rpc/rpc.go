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

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	methodAuth      = "rpc.auth"
	codeVerdict     = -32050
	dialTimeout     = time.Second
	authTimeout     = 2 * time.Second
	writeTimeout    = 5 * time.Second
	maxUnauthBytes  = 4 << 10
	defaultMaxConns = 8192
)

// Security is what both ends of a connection must share.
type Security struct {
	Token string      // empty means that no token is asked for
	TLS   *tls.Config // nil means plain TCP
}

// HandlerFunc handles one method. A returned *verdict.Error reaches the peer as such.
type HandlerFunc func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Mux maps methods to handlers. It must not change once it is in use.
type Mux struct {
	ordered    map[string]HandlerFunc
	concurrent map[string]HandlerFunc
}

// NewMux returns an empty mux.
func NewMux() *Mux {
	return &Mux{ordered: map[string]HandlerFunc{}, concurrent: map[string]HandlerFunc{}}
}

// Ordered registers a handler that runs in the order of arrival on each
// connection. It must return quickly and must not call the same peer.
func (m *Mux) Ordered(method string, h HandlerFunc) { m.ordered[method] = h }

// Concurrent registers a handler that runs in a goroutine of its own.
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

// Conn is one connection between two processes.
type Conn struct {
	rpc    *jsonrpc2.Conn
	remote string
	max    atomic.Int64
	authed atomic.Bool
	// Peer may hold what the handlers of this connection know of the other end.
	Peer atomic.Value
}

// Remote returns the address of the other end.
func (c *Conn) Remote() string { return c.remote }

// Close closes the connection.
func (c *Conn) Close() error { return c.rpc.Close() }

// Done is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Call sends a request and waits for its result. Any error is a *verdict.Error:
// what the peer answered, or MayHaveRun when no answer arrived.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	return fromWire(c.rpc.Call(ctx, method, params, result))
}

// Notify sends a message without an answer. After an error it is unknown
// whether the peer received it.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	return fromWire(c.rpc.Notify(ctx, method, params))
}

func fromWire(err error) error {
	if err == nil {
		return nil
	}
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return verdict.Unknown(verdict.ConnectionFailed, "%v", err)
	}
	if e.Code == codeVerdict && e.Data != nil {
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

func toWire(err error) *jsonrpc2.Error {
	v := verdict.From(err)
	e := &jsonrpc2.Error{Code: codeVerdict, Message: v.Error()}
	e.SetError(v)
	return e
}

// Dial connects to addr. mux handles what the peer sends and may be nil. An
// error has verdict NotRun, since nothing was sent.
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
	c := newConn(raw, mux, Security{}, counters)
	if sec.Token == "" {
		return c, nil
	}
	if err := c.Call(ctx, methodAuth, sec.Token, nil); err != nil {
		c.Close()
		return nil, verdict.Refuse(verdict.Unauthorized, "authenticate at %s: %v", addr, err)
	}
	return c, nil
}

// clientTLS names the host of addr as the one that the peer's certificate must
// be for, unless the configuration names one.
func clientTLS(conf *tls.Config, addr string) *tls.Config {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || conf.ServerName != "" || conf.InsecureSkipVerify {
		return conf
	}
	conf = conf.Clone()
	conf.ServerName = host
	return conf
}

// Server accepts connections on one listener.
type Server struct {
	mux      *Mux
	sec      Security
	counters *Counters
	listener net.Listener

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// NewServer serves mux on l until Close.
func NewServer(l net.Listener, sec Security, mux *Mux, counters *Counters) *Server {
	if sec.TLS != nil {
		l = tls.NewListener(l, sec.TLS)
	}
	s := &Server{mux: mux, sec: sec, counters: counters, listener: l, conns: map[*Conn]struct{}{}}
	go s.accept()
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the listener and all its connections.
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

func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors: let some close
			continue
		}
		s.add(raw)
	}
}

func (s *Server) add(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= defaultMaxConns {
		raw.Close()
		return
	}
	c := newConn(raw, s.mux, s.sec, s.counters)
	s.conns[c] = struct{}{}
	go s.watch(c)
}

func (s *Server) watch(c *Conn) {
	if s.sec.Token != "" {
		timer := time.AfterFunc(authTimeout, func() {
			if !c.authed.Load() {
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

func newConn(raw net.Conn, mux *Mux, sec Security, counters *Counters) *Conn {
	if counters == nil {
		counters = &Counters{}
	}
	if mux == nil {
		mux = NewMux()
	}
	c := &Conn{remote: raw.RemoteAddr().String()}
	c.max.Store(wire.MaxMessageBytes)
	c.authed.Store(sec.Token == "")
	if sec.Token != "" {
		c.max.Store(maxUnauthBytes)
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{raw}, codec{max: &c.max, counters: counters})
	ready := make(chan struct{})
	h := &handler{mux: mux, sec: sec, conn: c, ready: ready}
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(silent{}))
	close(ready)
	return c
}

// handler dispatches the messages of one connection.
type handler struct {
	mux   *Mux
	sec   Security
	conn  *Conn
	ready chan struct{} // closed once conn.rpc is set
}

func (h *handler) Handle(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-h.ready
	if req.Method == methodAuth {
		h.authenticate(ctx, rc, req)
		return
	}
	if !h.conn.authed.Load() {
		h.reply(ctx, rc, req, nil, verdict.Refuse(verdict.Unauthorized, "no token on this connection"))
		h.conn.Close()
		return
	}
	if f, ok := h.mux.ordered[req.Method]; ok {
		h.run(ctx, rc, req, f)
		return
	}
	f, ok := h.mux.concurrent[req.Method]
	if !ok {
		h.reply(ctx, rc, req, nil, verdict.Refuse(verdict.BadRequest, "unknown method %q", req.Method))
		return
	}
	go h.run(ctx, rc, req, f)
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
	h.conn.max.Store(wire.MaxMessageBytes)
	h.conn.authed.Store(true)
	h.reply(ctx, rc, req, wire.Empty{}, nil)
}

func (h *handler) run(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request, f HandlerFunc) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := f(ctx, h.conn, params)
	h.reply(ctx, rc, req, result, err)
}

func (h *handler) reply(ctx context.Context, rc *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	if err != nil {
		_ = rc.ReplyWithError(ctx, req.ID, toWire(err)) // the peer sees a broken connection
		return
	}
	_ = rc.Reply(ctx, req.ID, result)
}

// deadlineConn ends a connection whose peer does not read.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

type silent struct{}

func (silent) Printf(string, ...any) {}
