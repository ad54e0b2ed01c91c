package entry

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/netconn"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// connOfGoneCaller returns the entry's end of a connection that its caller has closed.
func connOfGoneCaller(t *testing.T) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	caller.Close()
	eventually(t, "the end of the connection", func() bool { return netconn.ClosedByPeer(conn) })
	return conn
}

func oneTaskBatch(path string) Batch {
	return Batch{
		Service: "s", Queue: "q", Attempts: 1, Arrived: time.Now(), Deadline: 5 * time.Second,
		Objective: dispatch.Objective{Fixed: 5 * time.Second, Stretch: 2},
		Name:      func(step, index int) string { return path + strconv.Itoa(step) + "." + strconv.Itoa(index) },
		Work: mustWork(dispatch.Step{
			Tasks: 1, RunTime: 10 * time.Millisecond,
			Spec: wire.TaskSpec{Method: "POST", Path: path, Body: []byte(`{"run_ms":1}`)},
		}),
	}
}

// mustWork returns the work of steps that are sound.
func mustWork(steps ...dispatch.Step) dispatch.Work {
	w, err := dispatch.NewWork(steps)
	if err != nil {
		panic(err)
	}
	return w
}

// Guards against two overlapping runs of a task after an entry was frozen: it reads requests
// whose callers have left and sent them again to other entries.
func TestBatchOfGoneCallerStartsNothing(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	if err := s.entries[0].RunBatch(oneTaskBatch("/waiting"), nil); err != nil {
		t.Fatalf("the batch of a waiting caller: %v", err)
	}
	if err := s.entries[0].RunBatch(oneTaskBatch("/gone"), connOfGoneCaller(t)); err == nil {
		t.Error("the batch of a caller that has left was run")
	}
	if counts := s.upstream.StartCounts(); len(counts) != 1 {
		t.Errorf("started %v, want one start for the caller that waits", counts)
	}
}

// Guards against two overlapping runs of a task after an entry was frozen: before it learns
// that a caller has left, it starts or prolongs the tasks that the caller repeats elsewhere.
func TestTickAfterAStandstillRunsNothingForAGoneCaller(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	inc := s.entries[0].incarnation.Load()
	b := oneTaskBatch("/gone")
	r := &request{key: ids.RequestOf(inc.self, 1), conn: connOfGoneCaller(t), done: make(chan struct{})}
	var err *verdict.Error
	inc.loop.Call(func(now time.Duration) {
		err = inc.addBatch(now, b, r)
		inc.lastTickAt = now - time.Second
	})
	if err != nil {
		t.Fatal(err)
	}
	<-r.done
	if counts := s.upstream.StartCounts(); len(counts) != 0 {
		t.Errorf("started %v for a caller that has left", counts)
	}
}
