package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// The header names of the caller API.
const (
	headerKey        = "Idempotency-Key"
	headerKeyTime    = "Baobab-Key-Time"
	headerIdempotent = "Baobab-Idempotent"
	headerTeam       = "Baobab-Team"
	headerVerdict    = "Baobab-Verdict"
	headerReason     = "Baobab-Reason"
	headerRetryAfter = "Retry-After"
)

// reasonRunning is the reason in the answer for a job that has not ended.
const reasonRunning verdict.Reason = "running"

// defaultRetryAfter is the delay of a refusal that has no delay of its own.
const defaultRetryAfter = time.Second

// httpStatus returns the HTTP status of an error.
func httpStatus(e *verdict.Error) int {
	switch e.Reason {
	case verdict.BadRequest:
		return fasthttp.StatusBadRequest
	case verdict.Unauthorized:
		return fasthttp.StatusUnauthorized
	case verdict.UnknownJob, verdict.UnknownService, verdict.UnknownTeam:
		return fasthttp.StatusNotFound
	case verdict.KeyReuse, verdict.Canceled:
		return fasthttp.StatusConflict
	case verdict.KeyExpired, verdict.AnswerExpired:
		return fasthttp.StatusGone
	case reasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case verdict.Infeasible:
		return fasthttp.StatusUnprocessableEntity
	case verdict.OverQuota, verdict.KeyTableFull:
		return fasthttp.StatusTooManyRequests
	case verdict.DeadlinePassed, verdict.UpstreamTimeout:
		return fasthttp.StatusGatewayTimeout
	}
	if e.Verdict == verdict.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// errorBody is the JSON of a refusal or a failure.
type errorBody struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Detail  string          `json:"detail,omitempty"`
}

func writeError(ctx *fasthttp.RequestCtx, e *verdict.Error) {
	ctx.Response.Reset()
	setOutcomeHeaders(ctx, e)
	writeJSON(ctx, httpStatus(e), errorBody{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail})
}

// setOutcomeHeaders sets the headers that describe the outcome e.
func setOutcomeHeaders(ctx *fasthttp.RequestCtx, e *verdict.Error) {
	h := &ctx.Response.Header
	h.Set(headerVerdict, e.Verdict.String())
	h.Set(headerReason, string(e.Reason))
	if e.Verdict != verdict.NotRun && e.RetryAfter == 0 {
		return
	}
	after := e.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// jobReply is the JSON of the state or the answer of a job.
type jobReply struct {
	ID       ids.Job       `json:"id"`
	Location string        `json:"location"`
	State    wire.JobState `json:"state"`
	// Verdict is nil while the job is open.
	Verdict *verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason   `json:"reason,omitempty"`
	Detail  string           `json:"detail,omitempty"`
	Tasks   int              `json:"tasks"`
	Done    int              `json:"done"`
	// NeedBodies asks the caller to submit the job again with the same key.
	NeedBodies bool         `json:"need_bodies,omitempty"`
	Results    []taskResult `json:"results,omitempty"`
}

type taskResult struct {
	Index      int             `json:"index"`
	Status     int             `json:"status"`
	Body       json.RawMessage `json:"body,omitempty"`
	BodyBase64 []byte          `json:"body_base64,omitempty"`
}

// writeJob answers with the state of a job, and with its results if it is complete.
func writeJob(ctx *fasthttp.RequestCtx, st wire.JobStatus) {
	r := jobReply{
		ID: st.Job, Location: "/v1/jobs/" + st.Job.String(), State: st.State,
		Reason: st.Reason, Detail: st.Detail, Tasks: st.Tasks, Done: st.Done, NeedBodies: st.NeedBodies,
	}
	h := &ctx.Response.Header
	if st.State == wire.JobOpen {
		h.Set("Location", r.Location)
		h.Set(headerVerdict, verdict.MayHaveRun.String())
		h.Set(headerReason, string(reasonRunning))
		writeJSON(ctx, fasthttp.StatusAccepted, r)
		return
	}
	r.Verdict = &st.Verdict
	if st.State == wire.JobComplete && st.Reason == verdict.Complete {
		h.Set(headerVerdict, st.Verdict.String())
		h.Set(headerReason, string(st.Reason))
		r.Results = taskResults(st.Results)
		writeJSON(ctx, fasthttp.StatusOK, r)
		return
	}
	e := &verdict.Error{Verdict: st.Verdict, Reason: st.Reason, Detail: st.Detail}
	setOutcomeHeaders(ctx, e)
	writeJSON(ctx, httpStatus(e), r)
}

// taskResults returns a valid JSON body as it is and any other body in base64.
func taskResults(answers []wire.Answer) []taskResult {
	out := make([]taskResult, len(answers))
	for i, a := range answers {
		out[i] = taskResult{Index: i, Status: a.Status}
		switch {
		case len(a.Body) == 0:
		case json.Valid(a.Body):
			out[i].Body = a.Body
		default:
			out[i].BodyBase64 = a.Body
		}
	}
	return out
}

func itoa(i int) string { return strconv.Itoa(i) }
