package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against batches that are taken for late because their declared run time may
// be wrong: the objective grows with the true one.
func TestLatenessGrowsWithTheWait(t *testing.T) {
	o := runTimeFactor{median: 1, sigma: 0.4}
	goal := Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6}
	const run = 0.2
	for _, tc := range []struct {
		name     string
		slow     float64
		wait     time.Duration
		from, to float64
	}{
		{"a fast worker at once", 0.6, 0, 0, 0.01},
		{"a fast worker after the fixed part", 0.6, 100 * time.Millisecond, 0, 0.05},
		{"a worker at the stretch at once", 1.6, 0, 0, 0.15},
		{"a worker at the stretch after the fixed part", 1.6, 120 * time.Millisecond, 0.85, 1},
		{"a worker beyond the stretch", 4, 0, 0.95, 1},
		{"any worker after all the time", 0.6, time.Second, 0.99, 1},
	} {
		if p := o.lateProbability(tc.wait, goal, run, run, 0, tc.slow); p < tc.from || p > tc.to {
			t.Errorf("%s: late with probability %.3f, want %.2f to %.2f", tc.name, p, tc.from, tc.to)
		}
	}
	wait := o.latestWait(goal, run, 0.6, 1)
	if p := o.lateProbability(wait, goal, run, run, 0, 0.6); p < 0.15 || p > 0.17 {
		t.Errorf("after the latest wait late with probability %.3f, want that of one standard error", p)
	}
}

// Guards against a batch that is held until its deadline although the tasks that
// have ended show that another one will not end before it.
func TestBatchThatWillMissItsDeadlineFails(t *testing.T) {
	f := newBatchFixture(1)
	if err := f.batch(1, Step{Tasks: 2}); err != nil {
		t.Fatal(err)
	}
	starts := f.tick()[1]
	if len(starts) != 2 {
		t.Fatalf("%d starts", len(starts))
	}
	answer := func(st wire.Start, reason verdict.Reason, ran time.Duration) wire.Answer {
		return wire.Answer{Key: st.Key, Try: st.Try, Verdict: verdict.Ran, Reason: reason, RunUS: ran.Microseconds()}
	}
	f.now += time.Second
	f.workerReport(1, 10, answer(starts[0], verdict.Canceled, time.Second)) // starts again
	f.tick()
	f.now += 200 * time.Millisecond
	done := answer(starts[1], verdict.Complete, 1200*time.Millisecond)
	done.Status = 200
	f.workerReport(1, 10, done)
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].Err == nil || f.out.Finished[0].Err.Reason != verdict.DeadlinePassed {
		t.Fatalf("finished %+v after a task took 12 times as long as declared, want a failure", f.out.Finished)
	}
	if v := f.out.Finished[0].Err.Verdict; v == verdict.NotRun {
		t.Error("a batch of which a task has ended is said not to have run")
	}
}

// Guards against an urgent task that waits at its entry because other entries hold
// the places of all workers: it has to be queued where a place becomes free next.
func TestUrgentTaskQueuesAtFullWorker(t *testing.T) {
	f := newBatchFixture(1)
	f.upstreams[1].health = Healthy
	if err := f.batch(1, Step{Tasks: 5}); err != nil {
		t.Fatal(err)
	}
	f.tick()
	full := wire.Report{Upstream: 1, Credit: 5, Held: 5, Running: 10, ClockMS: f.now.Milliseconds()}
	f.Report(f.now, full)
	if err := f.batch(6, Step{Tasks: 2}); err != nil {
		t.Fatal(err)
	}
	if n := len(f.tick()[1]); n != 1 {
		t.Fatalf("%d tasks were queued at a full worker, want one", n)
	}
	full.Held, full.Queued = 6, 1
	f.Report(f.now, full)
	if n := len(f.tick()[1]); n != 0 {
		t.Errorf("%d further tasks were queued at a worker with a queue", n)
	}
}

// Guards against batches of a queue that goes first which wait behind others.
func TestPriorityGoesBeforeLatestStart(t *testing.T) {
	soon := &batch{priority: 1, onTimeStartBy: time.Millisecond}
	first := &batch{priority: 0, onTimeStartBy: time.Second}
	if !first.before(soon) || soon.before(first) {
		t.Error("a batch of lower priority goes before one of higher priority")
	}
	if later := (&batch{priority: 1, onTimeStartBy: time.Second}); !soon.before(later) || later.before(soon) {
		t.Error("of one priority, the batch with the later start goes first")
	}
}

// Guards against declared run times that are taken at their word: among batches of a
// queue, the one that declares most tends to run less than it declares, and a declared
// time far below the true ones of a queue is corrected.
func TestRunTimesAreLearntFromDeclaredOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := (&service{runTimesByQueue: map[string]*runTimeRegression{}}).runTimeRegression("q")
	const mean, spread, low = 0.9, 0.4, 2.0 // declared times are half of the true ones
	for range 4000 {
		size := math.Log(mean) + spread*rng.NormFloat64()
		declared := size + spread*rng.NormFloat64() - math.Log(low)
		r.learn(math.Exp(declared), size-declared)
	}
	middle := r.predictFactor(mean / low)
	if middle.median < 0.85*low || middle.median > 1.15*low {
		t.Errorf("a typical batch runs %.2f times as long as declared, want about %v", middle.median, low)
	}
	// Size and error vary alike, so half of an excess is an error.
	if got, want := r.predictFactor(4*mean/low).median/middle.median, 0.5; got < 0.8*want || got > 1.2*want {
		t.Errorf("a batch that declares 4 times the mean runs %.2f times that, want about %v", got, want)
	}
	if want := spread / math.Sqrt2; middle.sigma < 0.8*want || middle.sigma > 1.2*want {
		t.Errorf("standard deviation %.2f, want about %.2f", middle.sigma, want)
	}
}

// Guards against a queue of which nothing has been seen and whose first batches are
// taken for several times as long as they declare, and against a first batch of an odd
// size that decides over all that follow.
func TestRunTimesOfNewQueue(t *testing.T) {
	r := (&service{runTimesByQueue: map[string]*runTimeRegression{}}).runTimeRegression("q")
	if o := r.predictFactor(0.06); o.median != 1 {
		t.Errorf("the first batch is expected to run %.2f times as long as declared", o.median)
	}
	r.learn(6, 0)
	for range 40 {
		r.learn(0.06, 0)
	}
	if o := r.predictFactor(0.06); o.median < 0.7 || o.median > 1.3 {
		t.Errorf("after an odd first batch the others are expected to run %.2f times as long as declared", o.median)
	}
}
