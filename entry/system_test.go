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

// testSystem is one upstream with its agent, and any number of entries, on the
// loopback interface.
type testSystem struct {
	control  *fakeControl
	upstream *upstreamsim.Server
	agent    *agent.Agent
	entries  []*Entry
}

func newSystem(t *testing.T, c settings.Cluster, entries int, o Options) *testSystem {
	t.Helper()
	u, err := upstreamsim.Start(upstreamsim.Options{Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.Close() })
	s := &testSystem{control: newFakeControl(c), upstream: u}
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
func (s *testSystem) awaitCapacity(t *testing.T, e *Entry) {
	t.Helper()
	eventually(t, "capacity", func() bool {
		spec := submission{Team: "t", Service: "s", Tasks: make([]wire.TaskSpec, 1), Deadline: time.Second}
		inc := e.incarnation.Load()
		return inc.precheck(spec, inc.loop.Now()) == nil
	})
}

// eventuallyTimeout ends a test whose condition never holds. It is far above the time
// that a loaded machine needs, and far below the time limit of the test binary, which
// would also end all other tests of the package.
const eventuallyTimeout = 60 * time.Second

// eventually polls a condition. After eventuallyTimeout it fails the test and prints
// the state of its processes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(start) > eventuallyTimeout {
			t.Fatalf("timed out waiting for %s\n%s", what, dumpAll(t))
		}
	}
}

// dumper is a process whose state is printed when eventually fails.
type dumper interface{ Dump() any }

// trackedProcesses holds the processes of each test, in the order of their start.
var trackedProcesses sync.Map

// trackForDump adds a process to those whose state is printed when eventually fails.
func trackForDump(t *testing.T, d dumper) {
	list, _ := trackedProcesses.LoadOrStore(t, &[]dumper{})
	all := list.(*[]dumper)
	*all = append(*all, d)
	t.Cleanup(func() { trackedProcesses.Delete(t) })
}

// dumpAll returns the state of the processes of a test as JSON.
func dumpAll(t *testing.T) string {
	list, _ := trackedProcesses.Load(t)
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

func decodeJob(t *testing.T, r reply) jobReply {
	t.Helper()
	var j jobReply
	if err := json.Unmarshal(r.body, &j); err != nil {
		t.Fatalf("%v: %v", r, err)
	}
	return j
}

// jobJSON returns the JSON of a job whose tasks echo their index.
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

// checkStartedOnce reports tasks that were started more than once, and requests that
// the upstream received without a free slot.
func (s *testSystem) checkStartedOnce(t *testing.T) {
	t.Helper()
	for task, n := range s.upstream.StartCounts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	if n := s.upstream.Overruns(); n != 0 {
		t.Errorf("%d requests started without a free slot", n)
	}
}

// openCount returns the number of jobs and requests in the core.
func (s *testSystem) openCount(inc *incarnation) int {
	n := 0
	inc.loop.Call(func(time.Duration) { n = inc.core.OpenJobs() })
	return n
}
