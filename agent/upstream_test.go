package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

func startOfTask(i int) wire.Start {
	return wire.Start{Key: ids.TaskOf(7, i), Epoch: 2, Method: "POST", Path: "/x", Body: []byte(`{"echo":1}`)}
}

func newTestUpstream(t *testing.T, o Options) *upstreamClient {
	t.Helper()
	o.Node, o.Service = "a", "s"
	o.Session = NewSessionOpener(member.NewDirectory(), o.Security, nil)
	o, err := o.withDefaults()
	if err != nil {
		t.Fatal(err)
	}
	u := newUpstreamClient(o)
	t.Cleanup(u.http.CloseIdleConnections)
	return u
}

// startRawUpstream serves each connection with f and counts the requests it reads.
func startRawUpstream(t *testing.T, f func(net.Conn, *http.Request)) (addr string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRawConn(c, requests, f)
		}
	}()
	return l.Addr().String(), requests
}

func serveRawConn(c net.Conn, requests *atomic.Int64, f func(net.Conn, *http.Request)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests.Add(1)
		f(c, req)
	}
}

// Guards against a verdict that promises more than is known, such as not-run for a
// task that may have run.
func TestCallVerdicts(t *testing.T) {
	sim, err := upstreamsim.Start(upstreamsim.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	for _, c := range []struct {
		mode    upstreamsim.Mode
		verdict verdict.Verdict
		reason  verdict.Reason
		status  int
	}{
		{upstreamsim.Serve, verdict.Ran, verdict.Complete, 200},
		{upstreamsim.Fail, verdict.Ran, verdict.UpstreamFailed, 500},
		{upstreamsim.Refuse, verdict.NotRun, verdict.UpstreamRefused, 0},
		{upstreamsim.Drop, verdict.MayHaveRun, verdict.ConnectionFailed, 0},
	} {
		sim.SetMode(c.mode)
		u := newTestUpstream(t, Options{Upstream: sim.Addr()})
		a := u.runTask(startOfTask(int(c.mode)), time.Minute).answer
		if a.Verdict != c.verdict || a.Reason != c.reason || a.Status != c.status {
			t.Errorf("mode %d: %v %v %d", c.mode, a.Verdict, a.Reason, a.Status)
		}
	}
	for task, n := range sim.StartCounts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	if run := sim.Runs()[0]; run.Task != "j7.0" || run.Job != "7" || run.Epoch != "2" {
		t.Errorf("the upstream was told task %q of job %q at epoch %q", run.Task, run.Job, run.Epoch)
	}
}

// Guards against a 503 without a verdict header that is reported as not-run: the task
// may have run before the upstream failed.
func Test503WithoutVerdictCountsAsRan(t *testing.T) {
	addr, _ := startRawUpstream(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	})
	a := newTestUpstream(t, Options{Upstream: addr}).runTask(startOfTask(0), time.Minute).answer
	if a.Verdict != verdict.Ran || a.Status != 503 {
		t.Errorf("answer %v %d", a.Verdict, a.Status)
	}
}

// Guards against a dial failure that is reported as a run.
func TestDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r := newTestUpstream(t, Options{Upstream: l.Addr().String()}).runTask(startOfTask(0), time.Minute)
	if !r.upstreamDown || r.answer.Verdict != verdict.NotRun {
		t.Errorf("result %+v", r)
	}
}

// Guards against a request that the HTTP client sends a second time when the upstream
// closes a reused connection after it has read the request, with any method.
func TestStaleConnectionIsNotResent(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		first := true
		addr, requests := startRawUpstream(t, func(c net.Conn, _ *http.Request) {
			if !first {
				c.Close()
				return
			}
			first = false
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		u := newTestUpstream(t, Options{Upstream: addr})
		s := startOfTask(0)
		s.Method = method
		if a := u.runTask(s, time.Minute).answer; a.Verdict != verdict.Ran {
			t.Fatalf("%s: first answer %+v", method, a)
		}
		if a := u.runTask(s, time.Minute).answer; a.Verdict != verdict.MayHaveRun {
			t.Errorf("%s: second answer %+v", method, a)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: %d requests for 2 calls", method, n)
		}
	}
}

// Guards against a call that times out and is reported as not-run.
func TestTimeoutMayHaveRun(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	addr, _ := startRawUpstream(t, func(net.Conn, *http.Request) { <-release })
	a := newTestUpstream(t, Options{Upstream: addr}).runTask(startOfTask(0), 10*time.Millisecond).answer
	if a.Verdict != verdict.MayHaveRun || a.Reason != verdict.UpstreamTimeout {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a response that takes more memory than MaxResponseBytes.
func TestLargeAnswerIsBounded(t *testing.T) {
	addr, _ := startRawUpstream(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n%s", strings.Repeat("x", 2000))
	})
	a := newTestUpstream(t, Options{Upstream: addr, MaxResponseBytes: 1000}).runTask(startOfTask(0), time.Minute).answer
	if a.Verdict != verdict.Ran || a.Reason != verdict.UpstreamFailed || len(a.Body) != 0 {
		t.Errorf("answer %v %v with %d bytes", a.Verdict, a.Reason, len(a.Body))
	}
}

// Guards against hop-by-hop and internal headers that are forwarded.
func TestHeadersAreFiltered(t *testing.T) {
	var received http.Header
	addr, _ := startRawUpstream(t, func(c net.Conn, r *http.Request) {
		received = r.Header
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Out: 1\r\nBaobab-Verdict: not-run\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
	})
	s := startOfTask(0)
	s.Headers = []wire.Header{
		{Name: "X-In", Value: "1"}, {Name: "Transfer-Encoding", Value: "chunked"},
		{Name: "Baobab-Task", Value: "forged"}, {Name: "Content-Length", Value: "9999"},
	}
	a := newTestUpstream(t, Options{Upstream: addr}).runTask(s, time.Minute).answer
	if received.Get("X-In") != "1" || received.Get("Baobab-Task") != "j7.0" || len(received.Values("Baobab-Task")) != 1 {
		t.Errorf("request headers %v", received)
	}
	for _, h := range a.Headers {
		if h.Name != "X-Out" && h.Name != "Content-Type" {
			t.Errorf("response header %s was forwarded", h.Name)
		}
	}
}

// Guards against reports above the size that the entry accepts, and against answers
// that are lost when a report is split.
func TestSplitReport(t *testing.T) {
	r := wire.Report{Upstream: 1, Credit: 3, Started: []ids.TaskKey{ids.TaskOf(1, 1)}}
	for i := range 20 {
		r.Answers = append(r.Answers, wire.Answer{Key: ids.TaskOf(1, i), Body: make([]byte, 1<<20)})
	}
	next := 0
	for _, part := range splitReport(r) {
		size := 0
		for _, a := range part.Answers {
			if a.Key != ids.TaskOf(1, next) {
				t.Fatalf("answer %d is %v", next, a.Key)
			}
			next++
			size += len(a.Body)
		}
		if size > maxAnswerBytes || part.Credit != 3 {
			t.Errorf("part of %d bytes with credit %d", size, part.Credit)
		}
	}
	if next != 20 {
		t.Errorf("%d answers", next)
	}
}
