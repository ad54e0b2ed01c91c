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

// Times of the demo's callers.
const (
	jobDeadline = 12 * time.Second
	jobWait     = 14 * time.Second
	callTimeout = 16 * time.Second
)

// class groups calls in the table.
type class string

// The classes of calls.
const (
	classJob     class = "job"
	classResent  class = "resubmission"
	classSingle  class = "request"
	classOnce    class = "request, not idempotent"
	classCancel  class = "job, cancelled"
	classNoWay   class = "job, infeasible"
	classLeaving class = "job at a planned stop"
)

// work is what a caller submits. The marker is part of each task's path and
// body, so a start and an answer can be told from those of other work.
type work struct {
	marker string
	class  class
	runMS  []float64
	key    string
	// declared is the declared run time of one task.
	declared time.Duration
}

func (w work) prefix() string    { return "/demo/" + w.marker + "/" }
func (w work) path(i int) string { return w.prefix() + strconv.Itoa(i) }
func (w work) echo(i int) string { return fmt.Sprintf("%s-%d", w.marker, i) }

func (w work) body(i int) json.RawMessage {
	b, err := json.Marshal(map[string]any{"run_ms": w.runMS[i], "echo": w.echo(i)})
	if err != nil {
		panic(err) // numbers and texts can always be written
	}
	return b
}

// outcome is how a call ended for its caller.
type outcome struct {
	work
	entry    int
	answered bool
	job      ids.Job
	state    wire.JobState
	status   int
	verdict  verdict.Verdict
	reason   verdict.Reason
	// whole is set when the answer holds every result of this work, in order.
	whole bool
	// results is the number of results in the answer.
	results int
	sent    time.Time
	took    time.Duration
}

// caller sends work to the entries over HTTP. It never repeats a request.
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

// answerJSON is an entry's answer on a job.
type answerJSON struct {
	ID      ids.Job       `json:"id"`
	State   wire.JobState `json:"state"`
	Results []struct {
		Index  int             `json:"index"`
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	} `json:"results"`
}

// replyJSON is a sample upstream's answer.
type replyJSON struct {
	Path string `json:"path"`
	Echo string `json:"echo"`
}

func (w work) jobBody(team string) []byte {
	j := jobJSON{Team: team, Service: string(Service), Key: w.key, RunTimeMS: w.declared.Milliseconds(), DeadlineMS: jobDeadline.Milliseconds()}
	for i := range w.runMS {
		j.Tasks = append(j.Tasks, taskJSON{Path: w.path(i), Body: w.body(i)})
	}
	b, err := json.Marshal(j)
	if err != nil {
		panic(err) // numbers and texts can always be written
	}
	return b
}

// submit sends a job to an entry and waits for its end.
func (c *caller) submit(entry int, team string, w work) outcome {
	o, body := c.do(entry, w, fasthttp.MethodPost, "/v1/jobs?wait="+jobWait.String(), w.jobBody(team), nil)
	o.readJob(body)
	return o
}

// start submits a job and returns without waiting for its end.
func (c *caller) start(entry int, team string, w work) outcome {
	o, body := c.do(entry, w, fasthttp.MethodPost, "/v1/jobs", w.jobBody(team), nil)
	o.readJob(body)
	return o
}

// await waits for the end of the job of an earlier outcome.
func (c *caller) await(o outcome) outcome {
	out, body := c.do(o.entry, o.work, fasthttp.MethodGet, "/v1/jobs/"+o.job.String()+"?wait="+jobWait.String(), nil, nil)
	out.readJob(body)
	return out
}

// cancel cancels the job of an earlier outcome.
func (c *caller) cancel(o outcome) outcome {
	out, body := c.do(o.entry, o.work, fasthttp.MethodDelete, "/v1/jobs/"+o.job.String(), nil, nil)
	out.readJob(body)
	return out
}

// request sends a single request.
func (c *caller) request(entry int, team string, w work) outcome {
	headers := []wire.Header{
		{Name: "Baobab-Team", Value: team},
		{Name: "Baobab-Idempotent", Value: fmt.Sprint(w.class != classOnce)},
	}
	o, body := c.do(entry, w, fasthttp.MethodPost, "/v1/services/"+string(Service)+w.path(0), w.body(0), headers)
	if o.status == fasthttp.StatusOK {
		o.results = 1
		o.whole = w.matches(0, body)
	}
	return o
}

func (c *caller) do(entry int, w work, method, path string, body []byte, headers []wire.Header) (outcome, []byte) {
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
	begin := time.Now()
	err := c.client.DoTimeout(req, resp, callTimeout)
	o := outcome{work: w, entry: entry, sent: begin, took: time.Since(begin)}
	if err != nil {
		return o, nil
	}
	o.answered = true
	o.status = resp.StatusCode()
	o.verdict = verdict.Parse(string(resp.Header.Peek("Baobab-Verdict")))
	o.reason = verdict.Reason(resp.Header.Peek("Baobab-Reason"))
	return o, append([]byte(nil), resp.Body()...)
}

func (o *outcome) readJob(body []byte) {
	var a answerJSON
	if json.Unmarshal(body, &a) != nil {
		return
	}
	o.job, o.state, o.results = a.ID, a.State, len(a.Results)
	o.whole = o.status == fasthttp.StatusOK && len(a.Results) == len(o.runMS)
	for i, r := range a.Results {
		o.whole = o.whole && r.Index == i && i < len(o.runMS) && o.matches(i, r.Body)
	}
}

// matches reports whether body is the upstream's answer to task i.
func (w work) matches(i int, body []byte) bool {
	var r replyJSON
	return json.Unmarshal(body, &r) == nil && r.Path == w.path(i) && r.Echo == w.echo(i)
}
