package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job, as clients send it.
type step struct {
	Count        int    `json:"Count"`
	CPU          int    `json:"Cpu"`
	MemMb        int    `json:"MemMb"`
	EstimatedMs  int    `json:"EstimatedMs"`
	DependsOn    []int  `json:"DependsOn,omitempty"`
	Requirements string `json:"Requirements,omitempty"`
	AntiAffinity int    `json:"AntiAffinity,omitempty"`
}

// job is a job of a client, with what the client has seen of it. The checker's lock
// guards all but id, spec and steps.
type job struct {
	id, spec  string
	steps     []step
	cancelled time.Time // acknowledgement of its cancelling
	answers   int       // attempts that ended, with or without an answer
	rejected  int       // attempts that were answered with 404, 429 or 503
	attempts  int
}

func (j *job) rejectedOnly() bool { return j.attempts > 0 && j.rejected == j.attempts }

// newJob registers a job, whose tasks run for as many milliseconds as its spec says.
func (w *world) newJob(ms int, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: fmt.Sprintf("ms=%d <&\u2028é>", ms), steps: steps}
	w.check.mu.Lock()
	w.check.jobs[j.id] = j
	w.check.mu.Unlock()
	return j
}

const (
	routeHost   = "h.example"
	routePrefix = "/q/"
)

// callerClient opens a channel for each request, as the clients' balancer spreads them.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a job once and returns the status, zero without an answer in time.
func (w *world) post(j *job, front string, timeout time.Duration) (status int, state string) {
	return w.postWaiting(j, front, timeout, timeout)
}

// postWaiting sends a job once with a deadline, and breaks the channel after wait.
func (w *world) postWaiting(j *job, front string, deadline, wait time.Duration) (status int, state string) {
	body, err := json.Marshal(map[string]any{"Spec": j.spec, "BestEffort": true, "Steps": j.steps})
	if err != nil {
		panic(err)
	}
	w.check.mu.Lock()
	j.attempts++
	w.check.mu.Unlock()
	w.rec.log("client sends job %s to %s", j.id, front)
	status, data := w.call(http.MethodPost, front, routePrefix+j.id, body, deadline, wait)
	var reply struct{ State string }
	_ = json.Unmarshal(data, &reply) // an answer without a body has no state
	w.check.mu.Lock()
	j.answers++
	if status == http.StatusNotFound || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		j.rejected++
	}
	w.check.mu.Unlock()
	w.rec.log("answer to job %s: %d %s", j.id, status, reply.State)
	return status, reply.State
}

// submit sends a job until it is answered, as the pages ask.
func (w *world) submit(j *job, fronts []string, timeout time.Duration, attempts int) (status int, state string) {
	at := rand.IntN(len(fronts))
	for range attempts {
		status, state = w.post(j, fronts[at%len(fronts)], timeout)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status, state
		}
		at++
		time.Sleep(retransmit)
	}
	return status, state
}

// call sends one request of a client and returns the status and the body. After wait it
// closes the channel.
func (w *world) call(method, front, path string, body []byte, deadline, wait time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+w.addr(w.machine(front), frontOffset)+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Baobabshore-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c := *callerClient
	c.Timeout = wait
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// configure sends a configuration to the control nodes until it is acknowledged.
func (w *world) configure(version uint64, timeout time.Duration) error {
	route := map[string]any{
		"Name": "r-1", "Host": routeHost, "PathPrefix": routePrefix, "RouteType": "non_idempotent", "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": 60, "Priority": 0, "Service": "s", "MaxAttempts": 4, "Stretch": 1.6,
	}
	service := map[string]any{"Name": "s", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": false, "Standby": false}
	limits := map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	data, err := json.Marshal(map[string]any{"Version": version, "Routes": []any{route}, "Services": []any{service}, "Limits": limits})
	if err != nil {
		return err
	}
	c := &http.Client{Timeout: time.Second}
	for i := range 100 {
		m := w.machines[i%3]
		req, err := http.NewRequest(http.MethodPut, "http://"+w.addr(m, controlOffset)+"/-/config", bytes.NewReader(data))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := c.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.rec.log("configuration %d acknowledged by %s", version, m.name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not acknowledged", version)
}

// awaitService waits until jobs complete at all given machines.
func (w *world) awaitService(fronts []string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range fronts {
			if status, _ := w.post(w.newJob(20, step{Count: 2, CPU: 1000, MemMb: 64, EstimatedMs: 20}), f, 1500*time.Millisecond); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(fronts) {
			return nil
		}
	}
	return fmt.Errorf("the deployment doesn't serve")
}
