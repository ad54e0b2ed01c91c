package agent

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Header names between agent and upstream.
const (
	headerTask    = "Baobab-Task"
	headerJob     = "Baobab-Job"
	headerEpoch   = "Baobab-Epoch"
	headerVerdict = "Baobab-Verdict"
)

const dialTimeout = time.Second

// upstream carries tasks to the upstream over HTTP.
type upstream struct {
	client *fasthttp.HostClient
	addr   string
}

// dialError marks a failure before any byte of the request was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newUpstream(o Options) *upstream {
	return &upstream{addr: o.Upstream, client: &fasthttp.HostClient{
		Addr:                          o.Upstream,
		DialTimeout:                   dialUpstream,
		MaxConns:                      o.Connections,
		MaxIdleConnDuration:           o.IdleTimeout,
		MaxResponseBodySize:           o.MaxResponseBytes,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialUpstream ignores the timeout of the request, since a timeout of the dial
// has to be told apart from a timeout of the answer.
func dialUpstream(addr string, _ time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// probe reports whether the upstream accepts connections.
func (u *upstream) probe() bool {
	conn, err := dialUpstream(u.addr, dialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// result is how one call ended.
type result struct {
	answer wire.Answer
	// down is set when the upstream can't be reached.
	down bool
}

// call runs one task and returns when the call has really ended, after limit
// at the latest.
func (u *upstream) call(s wire.Start, limit time.Duration) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u.fill(req, s)
	begin := time.Now()
	err := u.client.DoTimeout(req, resp, limit)
	r := result{answer: wire.Answer{Key: s.Key, RunUS: time.Since(begin).Microseconds()}}
	if err != nil {
		r.fail(err)
		return r
	}
	r.succeed(resp)
	return r
}

func (u *upstream) fill(req *fasthttp.Request, s wire.Start) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(s.Method)
	req.SetRequestURI("http://" + u.addr + s.Path)
	req.URI().DisablePathNormalizing = true
	for _, h := range s.Headers {
		if forwarded(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(headerTask, s.Key.String())
	if !s.Key.IsRequest() {
		req.Header.Set(headerJob, s.Key.Job.String())
		req.Header.Set(headerEpoch, strconv.FormatUint(uint64(s.Epoch), 10))
	}
	req.SetBodyRaw(s.Body)
}

// fail classifies an error of the client. Only a failed dial and a full
// connection pool rule out that the upstream saw the request.
func (r *result) fail(err error) {
	a := &r.answer
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		r.down = true
		a.Verdict, a.Reason = verdict.NotRun, verdict.NoUpstream
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		a.Verdict, a.Reason = verdict.NotRun, verdict.NoCredit
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		a.Verdict, a.Reason = verdict.Ran, verdict.UpstreamFailed
	case errors.Is(err, fasthttp.ErrTimeout):
		a.Verdict, a.Reason = verdict.MayHaveRun, verdict.UpstreamTimeout
	default:
		a.Verdict, a.Reason = verdict.MayHaveRun, verdict.ConnectionFailed
	}
}

func (r *result) succeed(resp *fasthttp.Response) {
	a := &r.answer
	a.Status = resp.StatusCode()
	refusal := verdict.Parse(string(resp.Header.Peek(headerVerdict)))
	if a.Status == fasthttp.StatusServiceUnavailable && refusal == verdict.NotRun {
		a.Verdict, a.Reason, a.Status = verdict.NotRun, verdict.UpstreamRefused, 0
		return
	}
	a.Verdict, a.Reason = verdict.Ran, verdict.Complete
	if a.Status >= fasthttp.StatusInternalServerError {
		a.Reason = verdict.UpstreamFailed
	}
	for name, value := range resp.Header.All() {
		if forwarded(string(name)) {
			a.Headers = append(a.Headers, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	a.Body = bytes.Clone(resp.Body())
}

// timedOut is the answer for a call that goes on after its time.
func timedOut(key ids.TaskKey, ran time.Duration) wire.Answer {
	return wire.Answer{
		Key: key, Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamTimeout,
		RunUS: ran.Microseconds(),
	}
}

// forwarded reports whether a header is passed on. Hop-by-hop headers, those
// that the HTTP library sets itself, and the project's own are not.
func forwarded(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "date", "server", "expect":
		return false
	}
	return !strings.HasPrefix(strings.ToLower(name), "baobab-")
}
