package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// newUnlikeFixture returns a core with a connected, healthy worker of each capacity.
func newUnlikeFixture(capacities ...wire.Resources) *fixture {
	f := newFixture(len(capacities))
	rows := upstreamMembers(len(capacities), 0)
	for i := range rows {
		rows[i].Capacity = capacities[i]
	}
	f.Core = New(Config{Self: self, Services: map[ids.Service]Service{svc: {Slots: 8, Connections: 64}}}, 1)
	f.SetUpstreams(f.now, rows)
	for i := range rows {
		f.Connected(f.now, ids.Incarnation(i+1))
		f.upstreams[ids.Incarnation(i+1)].health = Healthy
		f.reportFromWorker(ids.Incarnation(i+1), 1000)
	}
	return f
}

// sizedBatch submits a batch of equal tasks of a size, which may wait for long.
func (f *fixture) sizedBatch(size wire.Resources, tasks int) *verdict.Error {
	return f.Batch(f.now, Batch{
		Key: f.NextKey(), Service: svc, Team: "batches", Attempts: 2,
		Work:    mustWork(Step{Tasks: tasks, RunTime: 60 * time.Millisecond, Spec: wire.TaskSpec{Size: size}}),
		Name:    func(int, int) string { return "t" },
		Arrived: f.now, Objective: Objective{Fixed: time.Minute, Stretch: 100}, Deadline: f.now + time.Hour,
	})
}

// answerAll answers each start as done.
func (f *fixture) answerAll(starts map[ids.Incarnation][]wire.Start) {
	for up, list := range starts {
		var answers []wire.Answer
		for _, st := range list {
			answers = append(answers, wire.Answer{Key: st.Key, Try: st.Try, Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 60_000})
		}
		f.reportFromWorker(up, 1000, answers...)
	}
}

// Guards against an entry that refuses all work while its workers idle: the size of a batch
// that came before the workers had connected, and fits none of them, decided how many
// tasks they have room for.
func TestHopelessBatchDoesNotCloseTheWorkers(t *testing.T) {
	for name, hopeless := range map[string]wire.Resources{
		"processor": {CPU: wire.MaxAmount}, "memory": {CPU: 100, Memory: 1 << 36}, "GPU": {CPU: 100, GPU: 1 << 20},
	} {
		f := newUnlikeFixture(wire.Resources{CPU: 16000, Memory: 32768}, wire.Resources{CPU: 16000, Memory: 32768})
		f.BeginStartup(f.now)
		if err := f.sizedBatch(hopeless, 2); err != nil {
			t.Fatalf("%s: refused within the wait for workers: %v", name, err)
		}
		f.now += startupWait
		started := len(f.tick())
		if len(f.out.Finished) != 1 || f.out.Finished[0].Err == nil || f.out.Finished[0].Err.Reason != verdict.Infeasible || started > 0 {
			t.Errorf("%s: %d starts, ended with %+v, want a refusal once the workers are known", name, started, f.out.Finished)
		}
		for i := range 10 {
			if err := f.sizedBatch(wire.Resources{CPU: 1600, Memory: 64}, 4); err != nil {
				t.Fatalf("%s: batch %d after it: %v", name, i, err)
			}
			starts := f.tick()
			if n := len(starts[1]) + len(starts[2]); n != 4 {
				t.Fatalf("%s: batch %d after it: %d starts, want 4", name, i, n)
			}
			f.answerAll(starts)
		}
	}
}

// Guards against workers that get hardly any task because they lack what other tasks need.
func TestWorkersWithoutAResourceRunTheTasksThatDoNotNeedIt(t *testing.T) {
	plain := wire.Resources{CPU: 64000, Memory: 131072}
	withGPU := plain
	withGPU.GPU = 64
	f := newUnlikeFixture(plain, plain, withGPU)
	for range 50 {
		for i, size := range []wire.Resources{{CPU: 1000, Memory: 64, GPU: 8}, {CPU: 1000, Memory: 64}, {CPU: 1000, Memory: 64}} {
			if err := f.sizedBatch(size, 2); err != nil {
				t.Fatalf("batch %d of a round: %v", i, err)
			}
		}
		starts := f.tick()
		for up := ids.Incarnation(1); up <= 2; up++ {
			for _, st := range starts[up] {
				if st.Size.GPU > 0 {
					t.Fatalf("a task with GPU is started on worker %d", up)
				}
			}
		}
		f.answerAll(starts)
	}
	if err := f.sizedBatch(wire.Resources{CPU: 1000, Memory: 64}, 3*64); err != nil {
		t.Fatal(err)
	}
	starts := f.tick()
	for up := ids.Incarnation(1); up <= 3; up++ {
		if got := len(starts[up]); got < 64 {
			t.Errorf("%d starts on worker %d, which has room for 64", got, up)
		}
	}
}

// Guards against a task that waits beside a worker with room for it, and against one that is
// started where it doesn't fit, whatever the sizes of the tasks before it. Workers of one
// speed have no reserves.
func TestTaskWaitsOnlyWhileNoWorkerHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := func(i int) wire.Resources {
			return wire.Resources{
				CPU: rapid.IntRange(1, 64).Draw(t, "cpu") * 1000, Memory: rapid.IntRange(1, 64).Draw(t, "memory") * 1000,
				GPU: rapid.SampledFrom([]int{0, 0, 8}).Draw(t, "gpu"),
			}
		}
		f := newUnlikeFixture(capacity(0), capacity(1), capacity(2))
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			size := wire.Resources{
				CPU: rapid.SampledFrom([]int{1, 100, 1000, 30000, 64000, wire.MaxAmount}).Draw(t, "size"), Memory: rapid.SampledFrom([]int{0, 1, 1000, 60000}).Draw(t, "size"),
				GPU: rapid.SampledFrom([]int{0, 0, 1, 8}).Draw(t, "size"),
			}
			f.sizedBatch(size, rapid.IntRange(1, 20).Draw(t, "tasks")) // may be refused
			f.now += rapid.SampledFrom([]time.Duration{0, sweepInterval, leastWaitingWindow / 4}).Draw(t, "pause")
			for up := range f.upstreams {
				f.reportFromWorker(up, 1000)
			}
			starts := f.tick()
			for up, list := range starts {
				for _, st := range list {
					if !f.upstreams[up].member.Capacity.Contains(st.Size) {
						t.Fatalf("%+v started on a worker of %+v", st.Size, f.upstreams[up].member.Capacity)
					}
				}
			}
			for _, j := range f.services[svc].teamQueues.waitingJobs() {
				for _, u := range f.upstreams {
					if u.hasRoomFor(j.stepOfTask(j.nextTask()).size) {
						t.Fatalf("a task of %+v waits, a worker has %+v free", j.stepOfTask(j.nextTask()).size, u.freeRoom())
					}
				}
			}
			if rapid.Bool().Draw(t, "answered") {
				f.answerAll(starts)
			}
		}
	})
}
