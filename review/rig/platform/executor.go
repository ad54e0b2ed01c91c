package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = time.Second
	stopTime          = 10 * time.Millisecond
	maxListedEnds     = 500
)

// executor is a stand-in for an executor: it starts, holds and stops runs as the pages say.
type executor struct {
	rec      *record
	id       string
	addr     string // of its own interface
	control  string // where it registers
	zone     string
	kind     string // a label
	service  string
	born     time.Time
	capacity int // thousandths of a core
	server   *http.Server

	mu       sync.Mutex
	sequence int
	fence    uint64
	until    time.Time // end of the lease
	runs     map[string]*taskRun
	highest  map[string]uint32 // run of a task that was stopped or has ended
	ends     []listedEnd
	ended    uint64
	changed  chan struct{}
	history  []*taskRun
	down     bool
}

type taskRun struct {
	task    string
	run     uint32
	spec    string
	began   time.Time
	ended   time.Time // zero while it runs
	how     string
	timer   *time.Timer
	stopped bool
}

type listedEnd struct {
	number uint64
	run    *taskRun
}

func newExecutor(rec *record, id, addr, control, zone, kind, service string) *executor {
	return &executor{
		rec: rec, id: id, addr: addr, control: control, zone: zone, kind: kind, service: service, born: time.Now(), capacity: 64000,
		runs: map[string]*taskRun{}, highest: map[string]uint32{}, changed: make(chan struct{}),
	}
}

func (x *executor) start() error {
	l, err := net.Listen("tcp", x.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.serveStart)
	mux.HandleFunc("POST /-/run-stop", x.serveStop)
	mux.HandleFunc("POST /-/hold", x.serveHold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	x.server = &http.Server{Handler: mux}
	go func() { _ = x.server.Serve(l) }() // returns when the server is closed
	go x.sendHeartbeats()
	go x.watchLease()
	return nil
}

func (x *executor) close() {
	x.mu.Lock()
	x.down = true
	x.mu.Unlock()
	_ = x.server.Close()
}

func (x *executor) sendHeartbeats() {
	for {
		x.mu.Lock()
		x.sequence++
		down := x.down
		body, _ := json.Marshal(map[string]any{
			"Service": x.service, "Address": x.addr, "Zone": x.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]int{"Cpu": x.capacity, "MemMb": 131072, "Gpu": 0}, "Labels": []string{x.kind, "r1-1"},
			"ClockMs": x.clockMs(), "Sequence": x.sequence, "born": x.born.UnixMilli(),
		})
		x.mu.Unlock()
		if down {
			return
		}
		wait := heartbeatInterval
		if !x.putHeartbeat(body) {
			wait = 200 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

func (x *executor) putHeartbeat(body []byte) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+x.control+"/-/instances/"+x.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	c := http.Client{Timeout: time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (x *executor) clockMs() int64 { return time.Since(x.born).Milliseconds() }

// order is the body of any call.
type order struct {
	Task         string
	RunId        uint32
	Spec         string
	UntilMs      int64
	FencingToken uint64
	AckCursor    uint64
	WaitMs       int64
}

// read decodes an order and checks its boot and its fencing token. The caller holds mu
// after it has returned true.
func (x *executor) read(w http.ResponseWriter, r *http.Request, o *order) bool {
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if id := r.Header.Get("Baobabshore-Expected-Instance"); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	x.mu.Lock()
	if o.FencingToken < x.fence {
		x.mu.Unlock()
		x.refuse(w, "fence")
		return false
	}
	x.fence = o.FencingToken
	return true
}

func (x *executor) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	x.reply(w, map[string]any{"Reason": reason})
}

func (x *executor) reply(w http.ResponseWriter, fields map[string]any) {
	fields["ClockMs"], fields["born"] = x.clockMs(), x.born.UnixMilli()
	_ = json.NewEncoder(w).Encode(fields) // the caller repeats what was not answered
}

// extend extends the lease until a time on the executor's clock. The caller holds mu.
func (x *executor) extend(untilMs int64) {
	until := x.born.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(x.until) {
		x.until = until
	}
}

func (x *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.read(w, r, &o) {
		return
	}
	defer x.mu.Unlock()
	now := time.Now()
	switch t := x.runs[o.Task]; {
	case t != nil && t.run == o.RunId:
		x.extend(o.UntilMs)
	case t != nil && t.run > o.RunId, o.RunId <= x.highest[o.Task]:
		x.extend(o.UntilMs)
		x.refuse(w, "old")
		return
	case o.UntilMs <= x.clockMs():
		x.refuse(w, "late")
		return
	default:
		x.extend(o.UntilMs)
		x.begin(now, o)
	}
	x.reply(w, map[string]any{})
}

// begin starts a run. The caller holds mu.
func (x *executor) begin(now time.Time, o order) {
	t := &taskRun{task: o.Task, run: o.RunId, spec: o.Spec, began: now}
	x.runs[o.Task] = t
	x.history = append(x.history, t)
	x.rec.add("executor %s: task %s run %d begins", x.id, t.task, t.run)
	t.timer = time.AfterFunc(workTime(o.Spec), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.end(t, "done")
	})
}

// workTime reads the time that a task works from its Spec, which begins with it in
// milliseconds.
func workTime(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.Fields(spec + " 0")[0])
	return time.Duration(ms) * time.Millisecond
}

// end ends a run. The caller holds mu.
func (x *executor) end(t *taskRun, how string) {
	if !t.ended.IsZero() {
		return
	}
	t.timer.Stop()
	t.ended, t.how = time.Now(), how
	delete(x.runs, t.task)
	x.highest[t.task] = max(x.highest[t.task], t.run)
	x.ended++
	x.ends = append(x.ends, listedEnd{x.ended, t})
	x.rec.add("executor %s: task %s run %d ends %s", x.id, t.task, t.run, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.read(w, r, &o) {
		return
	}
	defer x.mu.Unlock()
	x.highest[o.Task] = max(x.highest[o.Task], o.RunId)
	if t := x.runs[o.Task]; t != nil && t.run <= o.RunId && !t.stopped {
		t.stopped = true
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.end(t, "stopped")
		})
	}
	x.reply(w, map[string]any{})
}

func (x *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.read(w, r, &o) {
		return
	}
	defer x.mu.Unlock()
	if o.UntilMs > 0 {
		x.extend(o.UntilMs)
	}
	for len(x.ends) > 0 && x.ends[0].number <= o.AckCursor {
		x.ends = x.ends[1:]
	}
	for deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(x.ends) == 0 && time.Now().Before(deadline); {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
		x.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range x.runs {
		running = append(running, []any{t.task, t.run, "", 100, 0})
	}
	for _, e := range x.ends[:min(len(x.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.run, e.run.how, ""})
	}
	x.reply(w, map[string]any{"Running": running, "EndedRuns": ended})
}

// watchLease ends all runs when the lease has expired.
func (x *executor) watchLease() {
	for range time.Tick(5 * time.Millisecond) {
		x.mu.Lock()
		if x.down {
			x.mu.Unlock()
			return
		}
		if time.Now().After(x.until) {
			for _, t := range x.runs {
				x.end(t, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// runsOf returns copies of the runs so far of the tasks of a job.
func (x *executor) runsOf(job string) []taskRun {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []taskRun
	for _, t := range x.history {
		if strings.HasPrefix(t.task, job+".") {
			out = append(out, taskRun{task: t.task, run: t.run, began: t.began, ended: t.ended, how: t.how})
		}
	}
	return out
}

func (t taskRun) String() string { return fmt.Sprintf("%s run %d", t.task, t.run) }
