// Package upstreamsim simulates an HTTP upstream for tests and the demo. It runs each
// task by sleeping and records every start, so that callers can check what ran.
package upstreamsim

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Mode is how the upstream responds to requests.
type Mode int32

// The modes of an upstream.
const (
	// Serve runs each request and answers 200.
	Serve Mode = iota
	// Fail runs each request and answers 500.
	Fail
	// Refuse answers 503 with verdict not-run and runs nothing.
	Refuse
	// Drop runs each request and closes the connection without an answer.
	Drop
	// Hold runs each request and answers only after Release.
	Hold
)

var modeNames = map[string]Mode{"serve": Serve, "fail": Fail, "refuse": Refuse, "drop": Drop, "hold": Hold}

// ParseMode returns the mode with the given name, in upper or lower case.
func ParseMode(name string) (Mode, error) {
	if m, ok := modeNames[strings.ToLower(name)]; ok {
		return m, nil
	}
	return Serve, errors.Errorf("unknown mode %q: use serve, fail, refuse, drop or hold", name)
}

// Options configures an upstream.
type Options struct {
	// Addr is the listen address. The default is a free port on the loopback interface.
	Addr string
	// Slots is the number of concurrent requests above which the upstream counts
	// Overruns. Excess requests run all the same. Zero means no limit.
	Slots int
	// Speed divides the run time of each task. The default is 1.
	Speed float64
	// RunTime is the run time of requests whose body doesn't specify one.
	RunTime time.Duration
	// Started, if not nil, is called with each start before the task runs.
	Started func(Run)
}

// Run records a start of a task.
type Run struct {
	Task    string // Baobab-Task, empty if the header is missing
	Job     string // Baobab-Job, empty for a single request
	Epoch   string
	Path    string
	Started time.Time
	Ended   time.Time // zero while the task runs
}

// Server is a running upstream.
type Server struct {
	opts     Options
	http     *fasthttp.Server
	listener net.Listener
	mode     atomic.Int32
	speed    atomic.Value // float64

	mu           sync.Mutex
	runs         []Run
	running, max int // requests in progress now, and the highest number so far
	overruns     int
	released     chan struct{} // closed and replaced by Release
}

// Start starts an upstream that listens on opts.Addr.
func Start(opts Options) (*Server, error) {
	if opts.Addr == "" {
		opts.Addr = "127.0.0.1:0"
	}
	if opts.Speed <= 0 {
		opts.Speed = 1
	}
	l, err := net.Listen("tcp", opts.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{opts: opts, listener: l, released: make(chan struct{})}
	s.speed.Store(opts.Speed)
	s.http = &fasthttp.Server{
		Handler:               s.serveRequest,
		MaxRequestBodySize:    wire.MaxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() { _ = s.http.Serve(l) }() // returns when the listener is closed
	return s, nil
}

// Addr returns the listen address, host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetMode changes the mode for new requests.
func (s *Server) SetMode(m Mode) { s.mode.Store(int32(m)) }

// SetSpeed changes the factor that divides run times. Running requests keep theirs.
func (s *Server) SetSpeed(factor float64) { s.speed.Store(factor) }

// Release completes all requests that are held at present.
func (s *Server) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.released)
	s.released = make(chan struct{})
}

// Runs returns a copy of all runs in order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// StartCounts returns the number of starts of each task.
func (s *Server) StartCounts() map[string]int {
	starts := map[string]int{}
	for _, r := range s.Runs() {
		starts[r.Task]++
	}
	return starts
}

// MaxConcurrent returns the highest number of concurrent requests so far.
func (s *Server) MaxConcurrent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.max
}

// Overruns returns the number of requests that started while all slots were taken.
func (s *Server) Overruns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overruns
}

// Running returns the number of requests in progress.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Close completes held requests and shuts the upstream down.
func (s *Server) Close() error {
	s.SetMode(Serve)
	s.Release()
	return s.http.Shutdown()
}

// requestBody holds the fields of a JSON request body that the upstream reads.
type requestBody struct {
	RunMS *float64        `json:"run_ms"`
	Echo  json.RawMessage `json:"echo"`
}

type responseBody struct {
	Task string          `json:"task"`
	Path string          `json:"path"`
	Echo json.RawMessage `json:"echo,omitempty"`
}

func (s *Server) serveRequest(ctx *fasthttp.RequestCtx) {
	mode := Mode(s.mode.Load())
	if mode == Refuse {
		ctx.Error("refused", fasthttp.StatusServiceUnavailable) // clears all headers, so the verdict is set afterwards
		ctx.Response.Header.Set("Baobab-Verdict", verdict.NotRun.String())
		return
	}
	var t requestBody
	_ = json.Unmarshal(ctx.PostBody(), &t) // any body is accepted
	i := s.recordStart(ctx)
	defer s.recordEnd(i)
	s.simulateTask(t, mode)
	switch mode {
	case Fail:
		ctx.Error("failed", fasthttp.StatusInternalServerError)
	case Drop:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {}) // the server closes a hijacked connection
	default:
		s.writeResponse(ctx, t)
	}
}

// recordStart returns the index of the new run in s.runs.
func (s *Server) recordStart(ctx *fasthttp.RequestCtx) int {
	r := Run{
		Task:    string(ctx.Request.Header.Peek("Baobab-Task")),
		Job:     string(ctx.Request.Header.Peek("Baobab-Job")),
		Epoch:   string(ctx.Request.Header.Peek("Baobab-Epoch")),
		Path:    string(ctx.RequestURI()),
		Started: time.Now(),
	}
	if s.opts.Started != nil {
		s.opts.Started(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.max = max(s.max, s.running)
	if s.opts.Slots > 0 && s.running > s.opts.Slots {
		s.overruns++
	}
	s.runs = append(s.runs, r)
	return len(s.runs) - 1
}

func (s *Server) recordEnd(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[i].Ended = time.Now()
}

func (s *Server) simulateTask(t requestBody, mode Mode) {
	if mode == Hold {
		s.mu.Lock()
		released := s.released
		s.mu.Unlock()
		<-released
		return
	}
	d := s.opts.RunTime
	if t.RunMS != nil {
		d = time.Duration(*t.RunMS * float64(time.Millisecond))
	}
	time.Sleep(time.Duration(float64(d) / s.speed.Load().(float64)))
}

func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, t requestBody) {
	r := responseBody{
		Task: string(ctx.Request.Header.Peek("Baobab-Task")),
		Path: string(ctx.RequestURI()),
		Echo: t.Echo,
	}
	body, err := json.Marshal(r)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
