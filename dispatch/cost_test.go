package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// BenchmarkDecision measures a start and the answer to it, with all slots but a
// few in use and tasks of many jobs waiting.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{11, 100, 700, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecision(b, n) })
	}
}

func benchmarkDecision(b *testing.B, n int) {
	f := newFixture(n)
	var slow []float64
	for i := range n {
		slow = append(slow, 0.5+1.5*float64(i%37)/37)
	}
	f.learn(0.3, slow...)
	var running []placed
	next := ids.Job(0)
	// A queue that is short for the fleet would wait for its faster half.
	enqueue := func() {
		for f.services[svc].teamQueues.waitingTasks < 50*n {
			next++
			f.job(next, "a", 100, 24*time.Hour)
		}
	}
	refill := func() {
		enqueue()
		for up, list := range f.tick() {
			for _, st := range list {
				running = append(running, placed{up, st})
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
				running[i%len(running)] = placed{m.To, st}
			}
		}
		if f.services[svc].teamQueues.waitingTasks < 25*n {
			b.StopTimer()
			enqueue()
			b.StartTimer()
		}
	}
}

type placed struct {
	up ids.Incarnation
	st wire.Start
}
