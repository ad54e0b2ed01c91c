package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// system is one upstream with its agent, and entries, on loopback.
type system struct {
	control  *fakeControl
	upstream *upstreamsim.Server
	agent    *agent.Agent
	entries  []*Entry
}

func newSystem(t *testing.T, c settings.Cluster, entries int, o Options) *system {
	t.Helper()
	u, err := upstreamsim.Start(upstreamsim.Options{Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.Close() })
	s := &system{control: newFakeControl(c), upstream: u}
	s.agent = s.control.startAgent(t, "a1", u.Addr())
	for i := range entries {
		s.entries = append(s.entries, s.control.startEntry(t, ids.Node(fmt.Sprintf("e%d", i+1)), o))
	}
	for _, e := range s.entries {
		s.awaitCapacity(t, e)
	}
	return s
}

// awaitCapacity waits until an entry has credit at the agent.
func (s *system) awaitCapacity(t *testing.T, e *Entry) {
	t.Helper()
	eventually(t, "capacity", func() bool {
		spec := submission{Team: "t", Service: "s", Tasks: make([]wire.TaskSpec, 1), Deadline: time.Second}
		l := e.life.Load()
		return l.precheck(spec, l.loop.Now()) == nil
	})
}

// stuckAfter ends a test whose condition never holds. It is far above what a
// loaded machine needs and far below the time limit of the test binary, which
// would end all other tests of the package too.
const stuckAfter = 60 * time.Second

// eventually polls. It fails the test after stuckAfter, with the state of the
// processes so that the cause can be found.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(start) > stuckAfter {
			t.Fatalf("never: %s\n%s", what, dumps(t))
		}
	}
}

// dumper is a process whose state eventually shows.
type dumper interface{ Dump() any }

// tracked holds the processes of each test, in the order of their start.
var tracked sync.Map

// track adds a process to those that eventually shows.
func track(t *testing.T, d dumper) {
	list, _ := tracked.LoadOrStore(t, &[]dumper{})
	all := list.(*[]dumper)
	*all = append(*all, d)
	t.Cleanup(func() { tracked.Delete(t) })
}

// dumps returns the state of the processes of a test as JSON.
func dumps(t *testing.T) string {
	list, _ := tracked.Load(t)
	all, _ := list.(*[]dumper)
	if all == nil {
		return ""
	}
	var b strings.Builder
	for _, d := range *all {
		text, err := json.Marshal(d.Dump())
		fmt.Fprintf(&b, "%T %s %v\n", d, text, err)
	}
	return b.String()
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r reply) String() string {
	return fmt.Sprintf("%d %s/%s %s", r.status, r.header.Get(headerVerdict), r.header.Get(headerReason), r.body)
}

func call(t *testing.T, e *Entry, method, path, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+e.Callers()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header, b}
}

func jobOf(t *testing.T, r reply) jobReply {
	t.Helper()
	var j jobReply
	if err := json.Unmarshal(r.body, &j); err != nil {
		t.Fatalf("%v: %v", r, err)
	}
	return j
}

func jobJSON(key string, tasks int) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"team":"t","service":"s","key":%q,"tasks":[`, key)
	for i := range tasks {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"path":"/work/%d","body":{"echo":%d,"run_ms":1}}`, i, i)
	}
	b.WriteString(`]}`)
	return b.String()
}

func (s *system) checkOnce(t *testing.T) {
	t.Helper()
	for task, n := range s.upstream.Starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	if n := s.upstream.Overruns(); n != 0 {
		t.Errorf("%d requests started without a free slot", n)
	}
}

// open returns the number of jobs and requests at the core.
func (s *system) open(l *life) int {
	n := 0
	l.loop.Call(func(time.Duration) { n = l.core.OpenJobs() })
	return n
}
