// Package upstreamsim is a sample upstream over HTTP. It runs tasks by waiting,
// and logs every start, so that tests and the demo can check what ran.
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

// Mode is how the upstream treats requests.
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

// ParseMode returns the mode with the given name.
func ParseMode(name string) (Mode, error) {
	if m, ok := modeNames[strings.ToLower(name)]; ok {
		return m, nil
	}
	return Serve, errors.Errorf("unknown mode %q: use serve, fail, refuse, drop or hold", name)
}

// Options sets up an upstream.
type Options struct {
	// Addr is the listening address, by default a free port on loopback.
	Addr string
	// Slots is the number of requests at once that the upstream is built for.
	// More run as well, and count as Overruns.
	Slots int
	// Speed divides the run time of each task, 1 by default.
	Speed float64
	// RunTime is the run time of a request that names none.
	RunTime time.Duration
	// Started is told of each start before the task runs. Nil for nobody.
	Started func(Run)
}

// Run is one start of a task.
type Run struct {
	Task    string // Baobab-Task, empty if the header is missing
	Job     string // Baobab-Job, empty for a single request
	Epoch   string
	Path    string
	Started time.Time
	Ended   time.Time // zero while it runs
}

// Server is a running upstream.
type Server struct {
	opts     Options
	http     *fasthttp.Server
	listener net.Listener
	mode     atomic.Int32
	speed    atomic.Value // float64

	mu       sync.Mutex
	runs     []Run
	now, max int
	overruns int
	release  chan struct{}
}

// Start starts an upstream.
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
	s := &Server{opts: opts, listener: l, release: make(chan struct{})}
	s.speed.Store(opts.Speed)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    wire.MaxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() { _ = s.http.Serve(l) }() // returns when the listener is closed
	return s, nil
}

// Addr returns the address of the upstream.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetMode changes how further requests are treated.
func (s *Server) SetMode(m Mode) { s.mode.Store(int32(m)) }

// SetSpeed changes the speed of further requests.
func (s *Server) SetSpeed(f float64) { s.speed.Store(f) }

// Release lets the requests held so far end.
func (s *Server) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}

// Runs returns all starts in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Starts returns how often each task started.
func (s *Server) Starts() map[string]int {
	starts := map[string]int{}
	for _, r := range s.Runs() {
		starts[r.Task]++
	}
	return starts
}

// MaxAtOnce returns the largest number of requests that ran at once.
func (s *Server) MaxAtOnce() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.max
}

// Overruns returns how many requests started while all slots were taken.
func (s *Server) Overruns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overruns
}

// Running returns how many requests run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Close stops the upstream and lets held requests end.
func (s *Server) Close() error {
	s.SetMode(Serve)
	s.Release()
	return s.http.Shutdown()
}

// task is the part of a request body that the upstream understands.
type task struct {
	RunMS *float64        `json:"run_ms"`
	Echo  json.RawMessage `json:"echo"`
}

type reply struct {
	Task string          `json:"task"`
	Path string          `json:"path"`
	Echo json.RawMessage `json:"echo,omitempty"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	mode := Mode(s.mode.Load())
	if mode == Refuse {
		ctx.Error("refused", fasthttp.StatusServiceUnavailable) // drops the headers set before
		ctx.Response.Header.Set("Baobab-Verdict", verdict.NotRun.String())
		return
	}
	var t task
	_ = json.Unmarshal(ctx.PostBody(), &t) // any body is accepted
	i := s.begin(ctx)
	defer s.end(i)
	s.work(t, mode)
	switch mode {
	case Fail:
		ctx.Error("failed", fasthttp.StatusInternalServerError)
	case Drop:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {}) // the server closes a hijacked connection
	default:
		s.answer(ctx, t)
	}
}

func (s *Server) begin(ctx *fasthttp.RequestCtx) int {
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
	s.now++
	s.max = max(s.max, s.now)
	if s.opts.Slots > 0 && s.now > s.opts.Slots {
		s.overruns++
	}
	s.runs = append(s.runs, r)
	return len(s.runs) - 1
}

func (s *Server) end(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now--
	s.runs[i].Ended = time.Now()
}

func (s *Server) work(t task, mode Mode) {
	if mode == Hold {
		s.mu.Lock()
		release := s.release
		s.mu.Unlock()
		<-release
		return
	}
	d := s.opts.RunTime
	if t.RunMS != nil {
		d = time.Duration(*t.RunMS * float64(time.Millisecond))
	}
	time.Sleep(time.Duration(float64(d) / s.speed.Load().(float64)))
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, t task) {
	r := reply{
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
