package ctl

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	submitHelp = "Submits the job in FILE (- for standard input; JSON as in POST /v1/jobs) to the entry and waits for its answer within --timeout. " +
		"A job with a key can be submitted again, also to another entry: it runs once."
	jobHelp    = "Shows the state of a job, or its answer once it has ended. Waits for the end with --wait, within --timeout."
	cancelHelp = "Cancels a job: tasks that have not started never start. A job that has ended keeps its outcome."
)

// answerMargin is the time before --timeout at which the entry should answer, so that
// its answer arrives in time.
const answerMargin = 500 * time.Millisecond

type request struct {
	method, addr, path string
	headers            []wire.Header
	body               []byte
	tls                *tls.Config
}

type response struct {
	status int
	body   []byte
	// verdict and reason are the values of the headers, empty if a header is absent.
	verdict, reason string
}

// send sends one HTTP request without retries.
func (a *app) send(r request) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	scheme := "http"
	if r.tls != nil {
		scheme = "https"
	}
	req.Header.SetMethod(r.method)
	req.SetRequestURI(scheme + "://" + r.addr + r.path)
	for _, h := range r.headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.SetBody(r.body)
	client := fasthttp.Client{
		TLSConfig:                 r.tls,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer client.CloseIdleConnections()
	err := client.DoTimeout(req, resp, time.Duration(a.Timeout))
	var dialError *fasthttp.ErrDialWithUpstream
	switch {
	case errors.As(err, &dialError), errors.Is(err, fasthttp.ErrDialTimeout):
		return response{}, verdict.Refuse(verdict.ConnectionFailed, "%s can't be reached: %v", r.addr, err)
	case err != nil:
		return response{}, verdict.Unknown(verdict.ConnectionFailed, "%s gave no answer: %v", r.addr, err)
	}
	return response{
		status:  resp.StatusCode(),
		body:    append([]byte(nil), resp.Body()...),
		verdict: string(resp.Header.Peek("Baobab-Verdict")),
		reason:  string(resp.Header.Peek("Baobab-Reason")),
	}, nil
}

// jobAnswer holds the fields of an entry's answer that baobabctl evaluates.
type jobAnswer struct {
	ID          ids.Job         `json:"id"`
	State       wire.JobState   `json:"state"`
	Detail      string          `json:"detail"`
	Tasks       int             `json:"tasks"`
	Done        int             `json:"done"`
	NeedsBodies bool            `json:"need_bodies"`
	Results     json.RawMessage `json:"results"`
}

func (a *app) waitQuery() string {
	wait := max(time.Duration(a.Timeout)-answerMargin, 0)
	return "?wait=" + wait.String()
}

// reportJob prints the answer of an entry about a job. It returns an error unless the
// job is complete.
func (a *app) reportJob(r response) error {
	var j jobAnswer
	if err := json.Unmarshal(r.body, &j); err != nil {
		return verdict.Unknown(verdict.Internal, "status %d with an answer that is not JSON", r.status)
	}
	if a.JSON && j.ID != 0 {
		a.printf("%s\n", r.body)
	}
	switch {
	case r.status == fasthttp.StatusOK:
		if !a.JSON {
			a.printf("Job %d is complete, %d tasks.\n", j.ID, j.Tasks)
			a.printTaskResults(j.Results)
		}
		return nil
	case r.status == fasthttp.StatusAccepted:
		return a.unfinishedError(j)
	}
	e := &verdict.Error{Verdict: verdict.Parse(r.verdict), Reason: verdict.Reason(r.reason), Detail: j.Detail}
	if a.JSON && j.ID != 0 {
		return &exitError{verdictExitCode(e.Verdict), errAlreadyPrinted}
	}
	if j.ID == 0 {
		return e
	}
	return fmt.Errorf("job %d has ended without an answer (%s): %w", j.ID, j.State, e)
}

// errAlreadyPrinted is the error of a command that has already printed its JSON output.
var errAlreadyPrinted = errors.New("")

func (a *app) unfinishedError(j jobAnswer) error {
	if a.JSON {
		return &exitError{ExitUnknown, errAlreadyPrinted}
	}
	hint := fmt.Sprintf("Ask again: baobabctl job %d --wait", j.ID)
	if j.NeedsBodies {
		hint = "Its entry was lost before some tasks started. Submit the same file again: no task runs twice."
	}
	return &exitError{ExitUnknown, errors.Errorf("job %d is running, %d of %d tasks are done. %s", j.ID, j.Done, j.Tasks, hint)}
}

func (a *app) printTaskResults(raw json.RawMessage) {
	var results []struct {
		Index  int             `json:"index"`
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	}
	if json.Unmarshal(raw, &results) != nil {
		return
	}
	for _, r := range results {
		a.printf("%d: status %d %s\n", r.Index, r.Status, r.Body)
	}
}

type submitCommand struct {
	app  *app
	Args fileArg `positional-args:"yes"`
}

// Execute submits the job.
func (c *submitCommand) Execute([]string) error {
	body, err := c.app.readFile(c.Args.Name)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return usageError("%s is not JSON", c.Args.Name)
	}
	p := c.app.progress()
	p.show("Waiting for the answer, at most %v.", time.Duration(c.app.Timeout))
	r, err := c.app.send(request{
		method: fasthttp.MethodPost, addr: c.app.Entry, path: "/v1/jobs" + c.app.waitQuery(),
		headers: []wire.Header{{Name: "Content-Type", Value: "application/json"}}, body: body,
	})
	p.clear()
	if err != nil {
		return err
	}
	return c.app.reportJob(r)
}

type jobArg struct {
	ID string `positional-arg-name:"JOB" required:"yes"`
}

func (j jobArg) parse() (ids.Job, error) {
	id, err := ids.ParseJob(j.ID)
	if err != nil {
		return 0, usageError("%q is not a job id, which is an integer", j.ID)
	}
	return id, nil
}

type jobCommand struct {
	app  *app
	Wait bool   `long:"wait" description:"wait until the job has ended, within --timeout"`
	Args jobArg `positional-args:"yes"`
}

// Execute shows the job.
func (c *jobCommand) Execute([]string) error {
	id, err := c.Args.parse()
	if err != nil {
		return err
	}
	path := "/v1/jobs/" + id.String()
	if c.Wait {
		path += c.app.waitQuery()
	}
	r, err := c.app.send(request{method: fasthttp.MethodGet, addr: c.app.Entry, path: path})
	if err != nil {
		return err
	}
	return c.app.reportJob(r)
}

type cancelCommand struct {
	app  *app
	Args jobArg `positional-args:"yes"`
}

// Execute cancels the job.
func (c *cancelCommand) Execute([]string) error {
	id, err := c.Args.parse()
	if err != nil {
		return err
	}
	r, err := c.app.send(request{method: fasthttp.MethodDelete, addr: c.app.Entry, path: "/v1/jobs/" + id.String()})
	if err != nil {
		return err
	}
	var j jobAnswer
	if json.Unmarshal(r.body, &j) == nil && j.State == wire.JobCanceled {
		c.app.show(json.RawMessage(r.body), func() { c.app.printf("Job %d is cancelled.\n", id) })
		return nil
	}
	return c.app.reportJob(r)
}
