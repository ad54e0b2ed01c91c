// Package ops serves a daemon's pages for operators: metrics in the Prometheus
// text format, liveness, readiness and a dump of its state.
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
)

const (
	reportInterval   = time.Second
	requestTimeout   = 5 * time.Second
	maxRequestBytes  = 64 << 10
	maxConnections   = 64
	bearer           = "Bearer "
	contentTypeJSON  = "application/json"
	contentTypePlain = "text/plain; charset=utf-8"
)

// Options says what a daemon shows.
type Options struct {
	Addr   string // host:port to listen on
	Prefix string // first part of each metric's name, for example "baobab_entry"
	// Ready returns why the daemon takes no new work, or nil. It may be nil.
	Ready func() error
	// Dump returns the state of the daemon for JSON. It may be nil.
	Dump func() any
	// Token is asked for on /metrics and /dump as "Authorization: Bearer TOKEN"
	// when it isn't empty.
	Token string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
}

// Server is a running listener.
type Server struct {
	opts     Options
	scope    tally.Scope
	closer   io.Closer
	metrics  fasthttp.RequestHandler
	listener net.Listener
	http     *fasthttp.Server
}

// New listens on opts.Addr and serves until Close.
func New(opts Options) (*Server, error) {
	l, err := net.Listen("tcp", opts.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	if opts.TLS != nil {
		l = tls.NewListener(l, opts.TLS)
	}
	s := &Server{opts: opts, listener: l}
	s.openMetrics()
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "baobabshore",
		ReadTimeout:        requestTimeout,
		WriteTimeout:       requestTimeout,
		MaxRequestBodySize: maxRequestBytes,
		Concurrency:        maxConnections,
		Logger:             quiet{},
	}
	go s.serve()
	return s, nil
}

func (s *Server) openMetrics() {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			klog.Errorf("ops: Metric not registered: %v.", err)
		},
	})
	s.metrics = fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
	s.scope, s.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 s.opts.Prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
}

func (s *Server) serve() {
	if err := s.http.Serve(s.listener); err != nil {
		klog.Errorf("ops: Listener ended: %v.", err)
	}
}

// Scope returns the scope on which the daemon records its metrics.
func (s *Server) Scope() tally.Scope { return s.scope }

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the listener after the requests in progress.
func (s *Server) Close() error {
	err := s.http.Shutdown()
	if cerr := s.closer.Close(); err == nil {
		err = cerr
	}
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetContentType(contentTypePlain)
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.ready(ctx)
	case "/metrics":
		if s.allowed(ctx) {
			s.metrics(ctx)
		}
	case "/dump":
		if s.allowed(ctx) {
			s.dump(ctx)
		}
	default:
		ctx.Error("Known pages: /healthz /readyz /metrics /dump", fasthttp.StatusNotFound)
	}
}

func (s *Server) allowed(ctx *fasthttp.RequestCtx) bool {
	if s.opts.Token == "" {
		return true
	}
	got, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), bearer)
	if ok && subtle.ConstantTimeCompare([]byte(got), []byte(s.opts.Token)) == 1 {
		return true
	}
	ctx.Error("Send the shared token: Authorization: Bearer TOKEN", fasthttp.StatusUnauthorized)
	return false
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
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

func (s *Server) dump(ctx *fasthttp.RequestCtx) {
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
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(buf.Bytes())
}

// quiet drops fasthttp's lines on connections that break.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
