package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for the executor beside an agent. It guards neither its capacity
// nor the limits of a step; the checker does.
type executor struct {
	world    *world
	machine  *machine
	service  string
	labels   []string
	capacity int // millicores

	mu       sync.Mutex
	healed   chan struct{} // while the executor is cut off, closed at the end of the cut
	held     [][]byte      // heartbeats that the cut holds up
	failing  bool          // all tasks that it starts fail
	lateStop bool          // orders to stop get no answer and are carried out late
	boot     *boot         // nil while the executor is down
	id       string
	draining bool
	sequence uint64
	stopBeat chan struct{}
}

// boot is one life of an executor. Its state is lost with it.
type boot struct {
	exec     *executor
	born     time.Time
	server   *http.Server
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with each end
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*run // by task
	barred   map[string]uint32
	ended    []endedRun
	lastEnd  uint64
	closed   bool
}

type run struct {
	task  string
	id    uint32
	spec  string
	cpu   int
	timer *time.Timer
}

type endedRun struct {
	number uint64
	task   string
	id     uint32
	how    string
}

func (w *world) addExecutor(name, service string, capacity int, labels ...string) (*executor, error) {
	e := &executor{world: w, machine: w.machine(name), service: service, labels: labels, capacity: capacity, id: "i-" + strconv.FormatUint(rand.Uint64(), 36)}
	w.executors = append(w.executors, e)
	return e, e.up()
}

func (e *executor) addr() string { return e.world.addr(e.machine, appOffset) }

// up starts a life of the executor. Its first heartbeat follows at once.
func (e *executor) up() error {
	var l net.Listener
	var err error
	for range 40 {
		if l, err = net.Listen("tcp", e.addr()); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b := &boot{exec: e, born: time.Now(), changed: make(chan struct{}), runs: map[string]*run{}, barred: map[string]uint32{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, b.startRun) })
	mux.HandleFunc("POST /-/run-stop", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, b.stopRun) })
	mux.HandleFunc("POST /-/hold", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, b.hold) })
	b.server = &http.Server{Handler: mux}
	go func() { _ = b.server.Serve(l) }() // returns when the server is closed
	go b.watchLease()
	e.mu.Lock()
	e.boot, e.sequence, e.stopBeat = b, 0, make(chan struct{})
	stop := e.stopBeat
	e.mu.Unlock()
	e.world.rec.log("executor %s up, id %s, born %d", e.machine.name, e.id, b.born.UnixMilli())
	go e.beat(b, stop)
	return nil
}

// down ends the life of the executor without a message.
func (e *executor) down() {
	e.mu.Lock()
	b, stop := e.boot, e.stopBeat
	e.boot = nil
	e.mu.Unlock()
	if b == nil {
		return
	}
	close(stop)
	b.close()
	e.world.rec.log("executor %s down", e.machine.name)
}

func (e *executor) close() { e.down() }

// drain makes the executor announce that it will leave.
func (e *executor) drain() {
	e.mu.Lock()
	e.draining = true
	b := e.boot
	e.mu.Unlock()
	e.world.rec.log("executor %s announces that it drains", e.machine.name)
	if b != nil {
		e.sendBeat(b)
	}
}

// beat sends heartbeats until the life ends.
func (e *executor) beat(b *boot, stop chan struct{}) {
	for {
		e.sendBeat(b)
		select {
		case <-stop:
			return
		case <-time.After(beatEvery):
		}
	}
}

var beatClient = &http.Client{Timeout: time.Second}

func (e *executor) sendBeat(b *boot) {
	e.mu.Lock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := map[string]any{
		"Service": e.service, "Address": e.addr(), "Zone": e.machine.zone, "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": e.capacity, "MemMb": 131072, "Gpu": 0}, "Labels": e.labels,
		"ClockMs": b.clock(), "Sequence": e.sequence, "born": b.born.UnixMilli(),
	}
	if e.draining {
		body["DrainRemainingMs"] = drainBound.Milliseconds()
	}
	e.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if e.holdUp(data) {
		return
	}
	if e.putBeat(data, state) && state == "draining" {
		e.world.check.drainAcknowledged(e, b)
	}
}

// holdUp keeps a heartbeat for the end of the cut. It returns false if there is no cut.
func (e *executor) holdUp(beat []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.healed == nil {
		return false
	}
	e.held = append(e.held, beat)
	return true
}

func (e *executor) isCutOff() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.healed != nil
}

func (e *executor) isFailing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failing
}

func (e *executor) stopsLate() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lateStop
}

// setLateStops sets whether orders to stop get no answer and are carried out late.
func (e *executor) setLateStops(late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateStop = late
	e.world.rec.log("executor %s leaves stops unanswered: %v", e.machine.name, late)
}

// setFailing sets whether the executor fails all tasks that it starts.
func (e *executor) setFailing(f bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = f
	e.world.rec.log("executor %s fails all that it starts: %v", e.machine.name, f)
}

// cut cuts the executor off from all machines.
func (e *executor) cut() {
	e.mu.Lock()
	e.healed = make(chan struct{})
	e.mu.Unlock()
	e.world.rec.log("executor %s is cut off", e.machine.name)
}

// heal ends the cut. The heartbeats that it has held up arrive, each on its own channel,
// the latest one first.
func (e *executor) heal() {
	e.mu.Lock()
	close(e.healed)
	held := e.held
	e.healed, e.held = nil, nil
	e.mu.Unlock()
	e.world.rec.log("executor %s is no longer cut off, %d heartbeats were held up", e.machine.name, len(held))
	for i := len(held) - 1; i >= 0; i-- {
		e.putBeat(held[i], "held up")
		time.Sleep(50 * time.Millisecond)
	}
}

// putBeat sends a heartbeat and reports whether it was acknowledged.
func (e *executor) putBeat(data []byte, state string) bool {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+e.world.addr(e.machine, controlOffset)+"/-/instances/"+id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		e.world.rec.log("heartbeat of %s (%s) not acknowledged: %v", e.machine.name, state, err)
		return false
	}
	_ = resp.Body.Close()
	e.world.rec.log("heartbeat of %s (%s): %d, %s", e.machine.name, state, resp.StatusCode, data)
	return resp.StatusCode == http.StatusOK
}

// clock is the executor's steady clock in milliseconds.
func (b *boot) clock() int64 { return time.Since(b.born).Milliseconds() + 1 }

func (b *boot) timeAt(clockMs int64) time.Time {
	return b.born.Add(time.Duration(clockMs-1) * time.Millisecond)
}

type orderBody struct {
	Task         string
	RunID        uint32 `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken uint64
	AckCursor    uint64
	WaitMs       int64
}

type orderReply struct {
	status  int
	reason  string
	Running [][]any
	Ended   [][]any
	lists   bool
}

func (b *boot) serve(w http.ResponseWriter, r *http.Request, do func(orderBody) orderReply) {
	data, err := io.ReadAll(r.Body)
	var o orderBody
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Baobabshore-Expected-Instance"); id != "" && id != b.exec.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.exec.world.check.countOrder(false)
	if r.URL.Path == "/-/run-stop" && b.exec.stopsLate() {
		b.exec.world.check.countOrder(true)
		b.exec.world.rec.log("executor %s leaves the stop of %s run %d unanswered", b.exec.machine.name, o.Task, o.RunID)
		time.AfterFunc(lateBy, func() { do(o) })
		<-r.Context().Done() // the caller gives up without an answer
		return
	}
	if b.exec.isCutOff() {
		<-r.Context().Done() // the caller gives up without an answer
		return
	}
	rep := do(o)
	out := map[string]any{"ClockMs": b.clock(), "born": b.born.UnixMilli()}
	if rep.reason != "" {
		out["Reason"] = rep.reason
	}
	if rep.lists {
		out["Running"], out["EndedRuns"] = rep.Running, rep.Ended
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rep.status)
	_ = json.NewEncoder(w).Encode(out)
}

// accept applies the fence of an order.
func (b *boot) accept(fence uint64) bool {
	if fence < b.fence {
		return false
	}
	b.fence = fence
	return true
}

// extend extends the lease of all runs, at most by the longest lease.
func (b *boot) extend(untilMs int64) {
	if untilMs <= 0 {
		return
	}
	until := b.timeAt(untilMs)
	if longest := time.Now().Add(maxHold); until.After(longest) {
		until = longest
	}
	if until.After(b.leaseEnd) {
		b.leaseEnd = until
	}
}

func (b *boot) startRun(o orderBody) orderReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.runs[o.Task]
	switch {
	case b.closed:
		return orderReply{status: http.StatusServiceUnavailable}
	case !b.accept(o.FencingToken):
		return orderReply{status: http.StatusConflict, reason: "fence"}
	case !b.timeAt(o.UntilMs).After(time.Now()):
		return orderReply{status: http.StatusConflict, reason: "late"}
	}
	b.extend(o.UntilMs)
	switch {
	case old != nil && old.id == o.RunID:
		return orderReply{status: http.StatusOK}
	case old != nil || o.RunID <= b.barred[o.Task]:
		return orderReply{status: http.StatusConflict, reason: "old"}
	}
	r := &run{task: o.Task, id: o.RunID, spec: o.Spec}
	how, work := "done", workOf(o.Spec)
	if b.exec.isFailing() {
		how, work = "failed", work/2
	}
	r.timer = time.AfterFunc(work, func() { b.end(r, how) })
	b.runs[o.Task] = r
	b.exec.world.check.started(b, r)
	return orderReply{status: http.StatusOK}
}

// workOf returns the run time that a spec asks for.
func workOf(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.TrimPrefix(strings.Fields(spec + " ")[0], "ms="))
	return time.Duration(ms) * time.Millisecond
}

func (b *boot) stopRun(o orderBody) orderReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accept(o.FencingToken) {
		return orderReply{status: http.StatusConflict, reason: "fence"}
	}
	b.barred[o.Task] = max(b.barred[o.Task], o.RunID)
	if r := b.runs[o.Task]; r != nil && r.id <= o.RunID {
		time.AfterFunc(stopGrace*4/5, func() { b.end(r, "stopped") })
	}
	return orderReply{status: http.StatusOK}
}

func (b *boot) hold(o orderBody) orderReply {
	b.mu.Lock()
	if !b.accept(o.FencingToken) {
		b.mu.Unlock()
		return orderReply{status: http.StatusConflict, reason: "fence"}
	}
	b.extend(o.UntilMs)
	for len(b.ended) > 0 && b.ended[0].number <= o.AckCursor {
		b.ended = b.ended[1:]
	}
	changed, waits := b.changed, len(b.ended) == 0 && o.WaitMs > 0
	b.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	rep := orderReply{status: http.StatusOK, lists: true, Running: [][]any{}, Ended: [][]any{}}
	for _, r := range b.runs {
		rep.Running = append(rep.Running, []any{r.task, r.id, "", 50, 1000})
	}
	for _, e := range b.ended[:min(len(b.ended), 500)] {
		rep.Ended = append(rep.Ended, []any{e.number, e.task, e.id, e.how, ""})
	}
	return rep
}

// end ends a run and lists its end.
func (b *boot) end(r *run, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(b.runs, r.task)
	b.barred[r.task] = max(b.barred[r.task], r.id)
	b.lastEnd++
	b.ended = append(b.ended, endedRun{b.lastEnd, r.task, r.id, how})
	close(b.changed)
	b.changed = make(chan struct{})
	b.exec.world.check.ended(b, r, how)
}

// watchLease kills all runs when the lease has run out.
func (b *boot) watchLease() {
	for range time.Tick(2 * time.Millisecond) {
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return
		}
		var lapsed []*run
		if time.Now().After(b.leaseEnd) {
			for _, r := range b.runs {
				lapsed = append(lapsed, r)
			}
		}
		b.mu.Unlock()
		for _, r := range lapsed {
			b.end(r, "lapsed")
		}
	}
}

func (b *boot) close() {
	_ = b.server.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, r := range b.runs {
		r.timer.Stop()
		b.exec.world.check.ended(b, r, "crashed")
	}
	b.runs = nil
}

func (b *boot) String() string { return fmt.Sprintf("%s/%d", b.exec.machine.name, b.born.UnixMilli()) }
