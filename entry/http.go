package entry

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/intake"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	pathJobs     = "/v1/jobs"
	pathServices = "/v1/services/"
	// maxWait bounds how long a caller may wait for a job in one request.
	maxWait = 10 * time.Minute
)

// callersGate returns the gate of the callers' listener.
func (o *Options) callersGate() *intake.Gate {
	if o.CallersGate != nil {
		return o.CallersGate
	}
	return o.newCallersGate(intake.UnlimitedProcess())
}

// newCallersGate returns a gate with the limits of the options and those of a process.
func (o *Options) newCallersGate(p intake.Process) *intake.Gate {
	s := CallersShare
	s.Connections, s.BodyBytes, s.ReadTimeout = o.Connections, o.BodyBytes, o.ReadTimeout
	s.Bytes = o.RequestBytes + int64(o.Connections)*intake.ConnBytes
	return p.Gate(s, o.Scope)
}

func (e *Entry) httpServer(g *intake.Gate) *fasthttp.Server {
	s := g.Server(e.requestHandler(), refuseBody)
	s.ErrorHandler = refuseMalformed
	s.ReadBufferSize = e.opts.HeaderBytes
	s.WriteTimeout = e.opts.WriteTimeout
	s.IdleTimeout = e.opts.IdleTimeout
	s.NoDefaultServerHeader = true
	s.CloseOnShutdown = true
	s.Logger = discardLogger{}
	return s
}

// refuseBody answers a request whose body the gate has not taken in.
func refuseBody(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		writeError(ctx, verdict.Refuse(reasonTooLarge, "the body is too large"))
	case errors.Is(err, intake.ErrNoRoom):
		writeError(ctx, verdict.Refuse(verdict.Overloaded, "%v", err).After(defaultRetryAfter))
	default:
		writeError(ctx, verdict.Refuse(verdict.BadRequest, "%v", err))
	}
}

// discardLogger drops the log lines of the HTTP library, since callers can cause any
// number of them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// refuseMalformed answers a request that could not be read.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		writeError(ctx, verdict.Refuse(reasonTooLarge, "the header is too large"))
	case errors.As(err, &timeout) && timeout.Timeout():
		writeError(ctx, verdict.Refuse(verdict.BadRequest, "the request did not arrive in time"))
	default:
		writeError(ctx, verdict.Refuse(verdict.BadRequest, "malformed HTTP request"))
	}
	intake.LingerOnClose(ctx)
}

// requestHandler returns the handler of the callers' listener.
func (e *Entry) requestHandler() fasthttp.RequestHandler {
	h := e.serveRequest
	if e.opts.Handler != nil {
		h = e.opts.Handler(e)
	}
	return e.closeConnsHandler(h)
}

// serveRequest routes a request by its path and answers a panic of a handler as an
// internal error.
func (e *Entry) serveRequest(ctx *fasthttp.RequestCtx) {
	defer func() {
		if p := recover(); p != nil {
			klog.Errorf("entry: Request handler panicked: %v.", p)
			writeError(ctx, verdict.Unknown(verdict.Internal, "the entry failed on this request"))
		}
	}()
	if !e.AwaitRegistration(ctx.Time()) {
		writeError(ctx, verdict.Refuse(verdict.Stale, "the entry has not registered yet").After(defaultRetryAfter))
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathJobs:
		e.acceptJob(ctx)
	case strings.HasPrefix(path, pathJobs+"/"):
		e.serveJob(ctx, path[len(pathJobs)+1:])
	case strings.HasPrefix(path, pathServices):
		e.serveSingleRequest(ctx)
	default:
		writeError(ctx, verdict.Refuse(verdict.UnknownService, "known paths: /v1/jobs, /v1/jobs/ID, /v1/services/NAME/"))
	}
}

// acceptJob submits the job in the request body and answers with its state.
func (e *Entry) acceptJob(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		writeError(ctx, verdict.Refuse(verdict.BadRequest, "/v1/jobs takes POST only"))
		return
	}
	wait, err := parseWait(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	if err := reserveDecoded(ctx); err != nil {
		writeError(ctx, err)
		return
	}
	s, err := parseJob(ctx.PostBody())
	if err == nil {
		err = s.applyHeaderKey(ctx)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	st, err := e.incarnation.Load().submit(e.requestContext(), s, e.callerWait(ctx, wait))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJob(ctx, st)
}

// taskObjectBytes is the memory of a decoded task of a job, with its headers.
const taskObjectBytes = 1 << 10

// reserveDecoded takes memory for the decoded form of a job before it is decoded.
func reserveDecoded(ctx *fasthttp.RequestCtx) *verdict.Error {
	if err := intake.Reserve(ctx, intake.DecodedBytes(ctx.PostBody(), taskObjectBytes)); err != nil {
		return verdict.Refuse(verdict.Overloaded, "%v", err).After(defaultRetryAfter)
	}
	return nil
}

// serveJob reads or cancels a job.
func (e *Entry) serveJob(ctx *fasthttp.RequestCtx, name string) {
	id, perr := ids.ParseJob(name)
	if perr != nil || id == 0 {
		writeError(ctx, verdict.Refuse(verdict.UnknownJob, "%q is not the id of a job", name))
		return
	}
	wait, err := parseWait(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	inc := e.incarnation.Load()
	var st wire.JobStatus
	switch {
	case ctx.IsGet() || ctx.IsHead():
		st, err = inc.jobState(e.requestContext(), id, e.callerWait(ctx, wait))
	case ctx.IsDelete():
		st, err = inc.cancelJob(e.requestContext(), id, e.callerWait(ctx, cancelWait))
	default:
		err = verdict.Refuse(verdict.BadRequest, "/v1/jobs/ID takes GET and DELETE only")
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJob(ctx, st)
}

// parseWait parses the query parameter wait, a Go duration such as 500ms or 10s.
func parseWait(ctx *fasthttp.RequestCtx) (time.Duration, *verdict.Error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxWait {
		return 0, verdict.Refuse(verdict.BadRequest, "wait: %q is not a duration from 0s to %v, for example 10s", text, maxWait)
	}
	return d, nil
}

// applyHeaderKey sets the key of a job from the headers if the body has none.
func (s *submission) applyHeaderKey(ctx *fasthttp.RequestCtx) *verdict.Error {
	key, keyTime, err := parseKeyHeaders(ctx)
	if err != nil || key == "" {
		return err
	}
	if s.Key != "" && (s.Key != key || s.KeyTime != keyTime) {
		return verdict.Refuse(verdict.BadRequest, "key: the body and the header %s differ", headerKey)
	}
	s.Key, s.KeyTime = key, keyTime
	return nil
}

// parseKeyHeaders reads and checks the headers with the key and its creation time.
func parseKeyHeaders(ctx *fasthttp.RequestCtx) (key string, keyTime int64, err *verdict.Error) {
	key = string(ctx.Request.Header.Peek(headerKey))
	keyTime, err = parseKeyTime(headerKeyTime, string(ctx.Request.Header.Peek(headerKeyTime)))
	if err != nil {
		return "", 0, err
	}
	return key, keyTime, checkKey(key, keyTime)
}

// serveSingleRequest runs a single request on an upstream and forwards the answer.
func (e *Entry) serveSingleRequest(ctx *fasthttp.RequestCtx) {
	s, err := parseSingleRequest(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	inc := e.incarnation.Load()
	var a wire.Answer
	if s.Key != "" {
		a, err = inc.runKeyed(e.requestContext(), s.submission, e.callerWait(ctx, s.Deadline))
	} else {
		a, err = inc.singleRequest(s, e.callerWait(ctx, s.Deadline))
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeAnswer(ctx, a)
}

// singleRequest is a request for one task, with or without a key.
type singleRequest struct {
	submission
	Idempotent bool
}

// parseSingleRequest copies the needed parts of a request, since its buffers are
// reused after the handler has returned.
func parseSingleRequest(ctx *fasthttp.RequestCtx) (singleRequest, *verdict.Error) {
	service, path, err := splitServicePath(string(ctx.Request.Header.RequestURI()))
	if err != nil {
		return singleRequest{}, err
	}
	method := string(ctx.Method())
	if !validMethod(method) {
		return singleRequest{}, verdict.Refuse(verdict.BadRequest, "method %q is not supported", method)
	}
	if len(ctx.PostBody()) > wire.MaxBodyBytes {
		return singleRequest{}, verdict.Refuse(reasonTooLarge, "the body has %d bytes, at most %d are allowed", len(ctx.PostBody()), wire.MaxBodyBytes)
	}
	team := string(ctx.Request.Header.Peek(headerTeam))
	if !validName(team) {
		return singleRequest{}, verdict.Refuse(verdict.BadRequest, "%s: a name of 1 to %d printable characters is needed", headerTeam, maxNameBytes)
	}
	key, keyTime, err := parseKeyHeaders(ctx)
	if err != nil {
		return singleRequest{}, err
	}
	idempotent, err := parseIdempotent(ctx, method)
	if err != nil {
		return singleRequest{}, err
	}
	spec := wire.TaskSpec{Method: method, Path: path, Headers: copyHeaders(ctx), Body: bytes.Clone(ctx.PostBody())}
	s := singleRequest{Idempotent: idempotent, submission: submission{
		Team: ids.Team(team), Service: ids.Service(service), Key: key, KeyTime: keyTime,
		Tasks: []wire.TaskSpec{spec}, Deadline: wire.DefaultDeadline,
	}}
	s.BodyHash = hashTasks(s.Service, s.Tasks)
	return s, nil
}

// splitServicePath splits /v1/services/NAME/rest?query into the name and /rest?query.
func splitServicePath(uri string) (service, path string, err *verdict.Error) {
	rest, ok := strings.CutPrefix(uri, pathServices)
	if !ok {
		return "", "", verdict.Refuse(verdict.BadRequest, "the path must be written as %sNAME/", pathServices)
	}
	name, path, found := strings.Cut(rest, "/")
	if !found {
		var query string
		name, query, found = strings.Cut(rest, "?")
		if found {
			path = "?" + query
		}
	}
	if !validName(name) || strings.ContainsAny(name, "%?#") {
		return "", "", verdict.Refuse(verdict.UnknownService, "%q is not the name of a service", name)
	}
	path = "/" + path
	return name, path, checkPath(path)
}

// parseIdempotent parses Baobab-Idempotent. Without the header the method decides as
// HTTP defines it: POST and PATCH are not idempotent.
func parseIdempotent(ctx *fasthttp.RequestCtx, method string) (bool, *verdict.Error) {
	text := string(ctx.Request.Header.Peek(headerIdempotent))
	if text == "" {
		return method != "POST" && method != "PATCH", nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, verdict.Refuse(verdict.BadRequest, "%s: must be true or false", headerIdempotent)
	}
	return v, nil
}

func copyHeaders(ctx *fasthttp.RequestCtx) []wire.Header {
	var out []wire.Header
	for name, value := range ctx.Request.Header.All() {
		if isForwardedHeader(string(name)) {
			out = append(out, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return out
}

// isForwardedHeader reports whether a header is forwarded to and from the upstream.
func isForwardedHeader(name string) bool {
	name = strings.ToLower(name)
	switch name {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "date", "server", "expect":
		return false
	}
	return !strings.HasPrefix(name, "baobab-")
}

// writeAnswer forwards the answer of the upstream to the caller of a single request.
func writeAnswer(ctx *fasthttp.RequestCtx, a wire.Answer) {
	h := &ctx.Response.Header
	for _, f := range a.Headers {
		if isForwardedHeader(f.Name) {
			h.Add(f.Name, f.Value)
		}
	}
	reason := verdict.Complete
	if a.Status >= fasthttp.StatusInternalServerError {
		reason = verdict.UpstreamFailed
	}
	h.Set(headerVerdict, verdict.Ran.String())
	h.Set(headerReason, string(reason))
	ctx.SetStatusCode(a.Status)
	ctx.SetBody(a.Body)
	intake.TakeAnswer(ctx, 2*len(a.Body)) // the HTTP library copies it
}

// requestContext returns the context of requests. It ends when the entry is closed.
func (e *Entry) requestContext() context.Context { return e.ctx }
