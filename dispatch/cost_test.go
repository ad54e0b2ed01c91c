package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// BenchmarkDecision measures an answer and the start of the next task, with nearly all
// slots in use and tasks of many jobs waiting.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{11, 100, 700, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecision(b, n) })
	}
}

func benchmarkDecision(b *testing.B, n int) {
	f := newFixture(n)
	var slowness []float64
	for i := range n {
		slowness = append(slowness, 0.5+1.5*float64(i%37)/37)
	}
	f.setRunTimes(0.3, slowness...)
	var running []placedStart
	next := ids.Job(0)
	// The queue is long for the number of upstreams, since the tasks of a short one would
	// wait for the faster half of them.
	enqueue := func() {
		for f.services[svc].teamQueues.waitingTasks < 50*n {
			next++
			f.submitJob(next, "a", 100, 24*time.Hour)
		}
	}
	refill := func() {
		enqueue()
		for up, list := range f.tick() {
			for _, st := range list {
				running = append(running, placedStart{up, st})
			}
		}
	}
	for range 10 {
		refill()
	}
	if len(running) < 8*n {
		b.Fatalf("%d of %d slots are in use", len(running), 8*n)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		f.now += 10 * time.Microsecond
		p := running[i%len(running)]
		u := f.upstreams[p.up]
		f.Report(f.now, wire.Report{Upstream: p.up, Credit: 8, Held: u.outstanding - 1, Running: u.outstanding - 1, Answers: []wire.Answer{
			{Key: p.st.Key, Try: p.st.Try, Verdict: verdict.Ran, Status: 200, RunUS: 300_000}}})
		out := f.Tick(f.now)
		for _, m := range out.Send {
			for _, st := range m.Exchange.Starts {
				running[i%len(running)] = placedStart{m.To, st}
			}
		}
		if f.services[svc].teamQueues.waitingTasks < 25*n {
			b.StopTimer()
			enqueue()
			b.StartTimer()
		}
	}
}

type placedStart struct {
	up ids.Incarnation
	st wire.Start
}
