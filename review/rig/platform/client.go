package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// jobStep and job are the body with which a client hands a job in.
type jobStep struct {
	Count       int
	Cpu         int
	MemMb       int
	EstimatedMs int
	// Requirements is the kind of executor that a task needs, empty for any.
	Requirements string `json:",omitempty"`
}

type job struct {
	Spec       string
	Steps      []jobStep
	BestEffort bool
}

// smallJob returns a job of equal tasks that work for the given time.
func smallJob(ms, tasks int) job {
	return job{Spec: fmt.Sprintf("%d ms", ms), BestEffort: true, Steps: []jobStep{{Count: tasks, Cpu: 6200, MemMb: 64, EstimatedMs: ms}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client has got. The status is zero if there was no complete answer.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer (" + a.err.Error() + ")"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body))
}

// state returns the State of the answer, if it has one.
func (a answer) state() string {
	var s struct{ State string }
	_ = json.Unmarshal([]byte(a.body), &s) // a refusal has no body
	return s.State
}

// repeats reports whether the pages let the client send the job again.
func (a answer) repeats() bool {
	return a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
}

// post hands a job in at an entry over a channel of its own and waits for the answer.
func (w *world) post(entry int, id string, j job, deadline time.Duration) answer {
	body, err := json.Marshal(j)
	if err != nil {
		return answer{err: err}
	}
	return w.call(http.MethodPost, entry, id, string(body), deadline)
}

func (w *world) call(method string, entry int, id, body string, deadline time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+w.frontAddr(entry)+prefix+id, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Baobabshore-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(data)}
}

// ready asks an entry whether it is ready, as the platform does.
func (w *world) ready(entry int) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + w.addr(w.frontIP(entry), portReadiness) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
