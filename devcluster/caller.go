package devcluster

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Time limits of the demo's callers. jobWait outlasts the deadline of a job, and
// callTimeout outlasts the wait.
const (
	jobDeadline = 12 * time.Second
	jobWait     = 14 * time.Second
	callTimeout = 16 * time.Second
)

// class is the kind of a call. The demo's table has one row for each class.
type class string

// The classes of calls.
const (
	classJob           class = "job"
	classResubmitted   class = "resubmission"
	classSingle        class = "request"
	classNonIdempotent class = "request, not idempotent"
	classCancelled     class = "job, cancelled"
	classInfeasible    class = "job, infeasible"
	classPlannedStop   class = "job at a planned stop"
)

// workload is a job or a single request that a caller submits. The marker is part
// of each task's path and body, so that its starts and its answers can be told
// from those of other workloads.
type workload struct {
	marker     string
	class      class
	runTimesMS []float64
	key        string
	// declaredRunTime is the run time of one task that the job declares, 0 for none.
	declaredRunTime time.Duration
}

func (w workload) prefix() string    { return "/demo/" + w.marker + "/" }
func (w workload) path(i int) string { return w.prefix() + strconv.Itoa(i) }
func (w workload) echo(i int) string { return fmt.Sprintf("%s-%d", w.marker, i) }

func (w workload) body(i int) json.RawMessage {
	b, err := json.Marshal(map[string]any{"run_ms": w.runTimesMS[i], "echo": w.echo(i)})
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return b
}

// outcome is the result of a call, as its caller sees it.
type outcome struct {
	workload
	entry    int
	answered bool
	job      ids.Job
	state    wire.JobState
	status   int
	verdict  verdict.Verdict
	reason   verdict.Reason
	// complete is set when the answer has every result of this workload, in order.
	complete bool
	// results is the number of results in the answer.
	results      int
	sentAt       time.Time
	responseTime time.Duration
}

// caller sends workloads to the entries over HTTP. It never repeats a request by
// itself.
type caller struct {
	addrs  []string
	client *fasthttp.Client
}

func newCaller(addrs []string) *caller {
	return &caller{addrs: addrs, client: &fasthttp.Client{
		MaxConnsPerHost:           4096,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadTimeout:               callTimeout,
	}}
}

type taskJSON struct {
	Path string          `json:"path"`
	Body json.RawMessage `json:"body"`
}

type jobJSON struct {
	Team       string     `json:"team"`
	Service    string     `json:"service"`
	Key        string     `json:"key,omitempty"`
	Tasks      []taskJSON `json:"tasks"`
	RunTimeMS  int64      `json:"run_time_ms,omitempty"`
	DeadlineMS int64      `json:"deadline_ms"`
}

// jobAnswerJSON is the body of an entry's response about a job.
type jobAnswerJSON struct {
	ID      ids.Job       `json:"id"`
	State   wire.JobState `json:"state"`
	Results []struct {
		Index  int             `json:"index"`
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	} `json:"results"`
}

// taskAnswerJSON is the body of a sample upstream's response to a task.
type taskAnswerJSON struct {
	Path string `json:"path"`
	Echo string `json:"echo"`
}

func (w workload) jobBody(team string) []byte {
	j := jobJSON{Team: team, Service: string(Service), Key: w.key, RunTimeMS: w.declaredRunTime.Milliseconds(), DeadlineMS: jobDeadline.Milliseconds()}
	for i := range w.runTimesMS {
		j.Tasks = append(j.Tasks, taskJSON{Path: w.path(i), Body: w.body(i)})
	}
	b, err := json.Marshal(j)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return b
}

// submit sends a job to an entry and waits until the job ends.
func (c *caller) submit(entry int, team string, w workload) outcome {
	o, body := c.do(entry, w, fasthttp.MethodPost, "/v1/jobs?wait="+jobWait.String(), w.jobBody(team), nil)
	o.parseJobAnswer(body)
	return o
}

// submitAsync sends a job to an entry and returns once the entry has answered,
// without waiting until the job ends.
func (c *caller) submitAsync(entry int, team string, w workload) outcome {
	o, body := c.do(entry, w, fasthttp.MethodPost, "/v1/jobs", w.jobBody(team), nil)
	o.parseJobAnswer(body)
	return o
}

// awaitJob waits until the job of an earlier outcome ends.
func (c *caller) awaitJob(o outcome) outcome {
	out, body := c.do(o.entry, o.workload, fasthttp.MethodGet, "/v1/jobs/"+o.job.String()+"?wait="+jobWait.String(), nil, nil)
	out.parseJobAnswer(body)
	return out
}

// cancel cancels the job of an earlier outcome.
func (c *caller) cancel(o outcome) outcome {
	out, body := c.do(o.entry, o.workload, fasthttp.MethodDelete, "/v1/jobs/"+o.job.String(), nil, nil)
	out.parseJobAnswer(body)
	return out
}

// sendRequest sends a single request.
func (c *caller) sendRequest(entry int, team string, w workload) outcome {
	headers := []wire.Header{
		{Name: "Baobab-Team", Value: team},
		{Name: "Baobab-Idempotent", Value: fmt.Sprint(w.class != classNonIdempotent)},
	}
	o, body := c.do(entry, w, fasthttp.MethodPost, "/v1/services/"+string(Service)+w.path(0), w.body(0), headers)
	if o.status == fasthttp.StatusOK {
		o.results = 1
		o.complete = w.matchesAnswer(0, body)
	}
	return o
}

func (c *caller) do(entry int, w workload, method, path string, body []byte, headers []wire.Header) (outcome, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addrs[entry] + path)
	req.Header.SetContentType("application/json")
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.SetBody(body)
	start := time.Now()
	err := c.client.DoTimeout(req, resp, callTimeout)
	o := outcome{workload: w, entry: entry, sentAt: start, responseTime: time.Since(start)}
	if err != nil {
		return o, nil
	}
	o.answered = true
	o.status = resp.StatusCode()
	o.verdict = verdict.Parse(string(resp.Header.Peek("Baobab-Verdict")))
	o.reason = verdict.Reason(resp.Header.Peek("Baobab-Reason"))
	return o, append([]byte(nil), resp.Body()...)
}

// parseJobAnswer fills in the job's id, state and results. A body that is not the
// answer of a job leaves them empty.
func (o *outcome) parseJobAnswer(body []byte) {
	var a jobAnswerJSON
	if json.Unmarshal(body, &a) != nil {
		return
	}
	o.job, o.state, o.results = a.ID, a.State, len(a.Results)
	o.complete = o.status == fasthttp.StatusOK && len(a.Results) == len(o.runTimesMS)
	for i, r := range a.Results {
		o.complete = o.complete && r.Index == i && i < len(o.runTimesMS) && o.matchesAnswer(i, r.Body)
	}
}

// matchesAnswer reports whether body is a sample upstream's answer to task i.
func (w workload) matchesAnswer(i int, body []byte) bool {
	var r taskAnswerJSON
	return json.Unmarshal(body, &r) == nil && r.Path == w.path(i) && r.Echo == w.echo(i)
}
