// Package ops serves a daemon's HTTP pages for operators: metrics in the Prometheus text
// format, liveness, readiness and a dump of the daemon's state.
package ops

import (
	"bytes"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/intake"
)

const (
	metricsInterval  = time.Second
	requestTimeout   = 5 * time.Second
	maxRequestBytes  = 64 << 10
	maxConnections   = 64
	bearerPrefix     = "Bearer "
	contentTypeJSON  = "application/json"
	contentTypePlain = "text/plain; charset=utf-8"
)

// Options configures the pages of a daemon.
type Options struct {
	Addr   string // host:port to listen on
	Prefix string // prefix of the metric names, for example "baobab_entry"
	// Ready returns nil if the daemon accepts new work, or the reason why it doesn't.
	// Ready may be nil.
	Ready func() error
	// Dump returns the daemon's state as a value that encodes to JSON. Dump may be nil.
	Dump func() any
	// Token is required for /metrics and /dump as "Authorization: Bearer TOKEN" unless
	// it is empty.
	Token string
	// TLS configures HTTPS. It is nil for plain HTTP.
	TLS *tls.Config
	// Process holds the limits that the pages share with the daemon's other listeners.
	// Without a budget only their connections and bodies are bounded.
	Process intake.Process
}

// share is what the pages can take of the process's limits.
var share = intake.Share{
	Sockets: 0.0625, Kept: 0.03125, Limit: 0.25, Connections: maxConnections,
	BodyBytes: maxRequestBytes, ReadTimeout: requestTimeout,
}

// gate returns the gate of the pages.
func (o Options) gate(scope tally.Scope) *intake.Gate {
	p := o.Process
	if p.Budget == nil {
		p = intake.UnlimitedProcess()
	}
	return p.Gate(share, scope.SubScope("ops"))
}

// Server serves the pages on one listener.
type Server struct {
	opts        Options
	scope       tally.Scope
	scopeCloser io.Closer
	metrics     fasthttp.RequestHandler
	listener    net.Listener
	http        *fasthttp.Server
}

// New listens on opts.Addr and serves until Close.
func New(opts Options) (*Server, error) {
	l, err := intake.Listen(opts.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests of operators")
	}
	s := &Server{opts: opts}
	s.openMetrics()
	gate := opts.gate(s.scope)
	s.listener = gate.Listener(l)
	if opts.TLS != nil {
		s.listener = tls.NewListener(s.listener, opts.TLS)
	}
	s.http = gate.Server(s.route, refuse)
	s.http.Name = "baobabshore"
	s.http.WriteTimeout = requestTimeout
	s.http.Logger = discardLogger{}
	go s.serve()
	return s, nil
}

// refuse answers a request whose body the gate has not taken in.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
}

func (s *Server) openMetrics() {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			klog.Errorf("ops: Registering a metric failed: %v.", err)
		},
	})
	s.metrics = fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
	s.scope, s.scopeCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 s.opts.Prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
}

func (s *Server) serve() {
	if err := s.http.Serve(s.listener); err != nil {
		klog.Errorf("ops: Serving the pages for operators failed: %v.", err)
	}
}

// Scope returns the scope on which the daemon records its metrics.
func (s *Server) Scope() tally.Scope { return s.scope }

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener, waits for requests in progress and reports pending metrics.
func (s *Server) Close() error {
	err := s.http.Shutdown()
	if closeErr := s.scopeCloser.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetContentType(contentTypePlain)
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.serveReady(ctx)
	case "/metrics":
		if s.authorize(ctx) {
			s.metrics(ctx)
		}
	case "/dump":
		if s.authorize(ctx) {
			s.serveDump(ctx)
		}
	default:
		ctx.Error("Known pages: /healthz /readyz /metrics /dump", fasthttp.StatusNotFound)
	}
}

func (s *Server) authorize(ctx *fasthttp.RequestCtx) bool {
	if s.opts.Token == "" {
		return true
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), bearerPrefix)
	if ok && subtle.ConstantTimeCompare([]byte(token), []byte(s.opts.Token)) == 1 {
		return true
	}
	ctx.Error("Send the shared token: Authorization: Bearer TOKEN", fasthttp.StatusUnauthorized)
	return false
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(contentTypePlain)
	if s.opts.Ready == nil {
		ctx.SetBodyString("ready\n")
		return
	}
	if err := s.opts.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready: " + err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serveDump(ctx *fasthttp.RequestCtx) {
	if s.opts.Dump == nil {
		ctx.Error("no dump", fasthttp.StatusNotFound)
		return
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetIndent("", "  ")
	if err := enc.Encode(s.opts.Dump()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if intake.Reserve(ctx, 2*int64(buf.Len())) != nil {
		ctx.Error("no room for the dump now", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(buf.Bytes())
}

// discardLogger discards fasthttp's log lines about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
