package agent

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/eventloop"
	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/faultnet"
)

// Guards against tasks that time out one after the other, each over another idle connection
// to the upstream that has gone silent.
func TestSilentConnectionsToTheUpstreamCostOneTask(t *testing.T) {
	const idle, timeout = 8, 100 * time.Millisecond
	var together sync.WaitGroup
	together.Add(idle)
	addr, requests := startRawUpstream(t, func(c net.Conn, _ *http.Request) {
		together.Done()
		together.Wait() // each task needs a connection of its own
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	relay, err := faultnet.Listen("127.0.0.1:0", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { relay.Close() })
	u := newTestUpstream(t, Options{Upstream: relay.Addr()})
	loop := eventloop.New(time.Millisecond, func(time.Duration) time.Duration { return 0 })
	inc := &incarnation{upstreamClient: u, metrics: newMetrics(tally.NoopScope), loop: loop, taskTimeout: timeout, opts: Options{LingerTimeout: timeout}}
	run := func(i int) { inc.run(executor.Run{Start: startOfTask(i)}) }
	for i := range idle {
		run(i)
	}
	await := func(what string, limit time.Duration, done func() bool) {
		t.Helper()
		for end := time.Now().Add(limit); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	await("the tasks don't end", time.Minute, func() bool { return u.http.IdleConnsCount() == idle })
	relay.Silence(faultnet.Both, func() bool { return true })
	run(idle)
	// Before 5 s they are not closed for their age.
	await("idle connections are kept", 4*time.Second, func() bool { return u.http.IdleConnsCount() == 0 })
	together.Add(1)
	run(idle + 1)
	await("the next task is lost", time.Minute, func() bool { return requests.Load() == idle+1 })
}
