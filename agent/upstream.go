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

// HTTP headers between agent and upstream.
const (
	headerTask    = "Baobab-Task"
	headerJob     = "Baobab-Job"
	headerEpoch   = "Baobab-Epoch"
	headerVerdict = "Baobab-Verdict"
)

const dialTimeout = time.Second

// upstreamClient sends tasks to the upstream over HTTP.
type upstreamClient struct {
	http *fasthttp.HostClient
	addr string
}

// dialError is a failure to connect, before any byte of the request was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newUpstreamClient(o Options) *upstreamClient {
	return &upstreamClient{addr: o.Upstream, http: &fasthttp.HostClient{
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

// dialUpstream ignores the request's timeout and uses dialTimeout, since a timeout
// while dialing must be distinguished from one while waiting for the answer: only
// the first rules out that the task ran.
func dialUpstream(addr string, _ time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// probe reports whether the upstream accepts connections.
func (u *upstreamClient) probe() bool {
	conn, err := dialUpstream(u.addr, dialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// callResult is the outcome of one call to the upstream.
type callResult struct {
	answer wire.Answer
	// upstreamDown is set when the connection to the upstream failed.
	upstreamDown bool
}

// runTask runs one task and returns when the call has ended, after timeout at the
// latest.
func (u *upstreamClient) runTask(s wire.Start, timeout time.Duration) callResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u.buildRequest(req, s)
	startTime := time.Now()
	err := u.http.DoTimeout(req, resp, timeout)
	r := callResult{answer: wire.Answer{Key: s.Key, RunUS: time.Since(startTime).Microseconds()}}
	if err != nil {
		r.setError(err)
		return r
	}
	r.setResponse(resp)
	return r
}

func (u *upstreamClient) buildRequest(req *fasthttp.Request, s wire.Start) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(s.Method)
	req.SetRequestURI("http://" + u.addr + s.Path)
	req.URI().DisablePathNormalizing = true
	for _, h := range s.Headers {
		if isForwarded(h.Name) {
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

// setError sets the verdict and reason for an error of the HTTP client. Only a failed
// dial and an exhausted connection pool rule out that the upstream received the
// request.
func (r *callResult) setError(err error) {
	a := &r.answer
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		r.upstreamDown = true
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

func (r *callResult) setResponse(resp *fasthttp.Response) {
	a := &r.answer
	a.Status = resp.StatusCode()
	reported := verdict.Parse(string(resp.Header.Peek(headerVerdict)))
	if a.Status == fasthttp.StatusServiceUnavailable && reported == verdict.NotRun {
		a.Verdict, a.Reason, a.Status = verdict.NotRun, verdict.UpstreamRefused, 0
		return
	}
	a.Verdict, a.Reason = verdict.Ran, verdict.Complete
	if a.Status >= fasthttp.StatusInternalServerError {
		a.Reason = verdict.UpstreamFailed
	}
	for name, value := range resp.Header.All() {
		if isForwarded(string(name)) {
			a.Headers = append(a.Headers, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	a.Body = bytes.Clone(resp.Body())
}

// timeoutAnswer returns the answer to a task whose call continues after its timeout.
func timeoutAnswer(key ids.TaskKey, runTime time.Duration) wire.Answer {
	return wire.Answer{
		Key: key, Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamTimeout,
		RunUS: runTime.Microseconds(),
	}
}

// isForwarded reports whether a header is forwarded between caller and upstream.
// Hop-by-hop headers, headers that the HTTP library sets itself and the headers of
// this project are not.
func isForwarded(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "date", "server", "expect":
		return false
	}
	return !strings.HasPrefix(strings.ToLower(name), "baobab-")
}
