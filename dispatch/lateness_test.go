package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against batches that are expected to be late only because their declared run time
// may be too short: the objective grows with the true run time.
func TestLatenessGrowsWithTheWait(t *testing.T) {
	factor := runTimeFactor{logNormal: logNormal{median: 1, sigma: 0.4}}
	objective := Objective{Fixed: 60 * time.Millisecond, Stretch: 1.6}
	const runTime = 0.2
	for _, tc := range []struct {
		name                           string
		slowness                       float64
		wait                           time.Duration
		minProbability, maxProbability float64
	}{
		{"fast worker, no wait", 0.6, 0, 0, 0.01},
		{"fast worker, wait beyond the fixed part", 0.6, 100 * time.Millisecond, 0, 0.05},
		{"worker as slow as the stretch, no wait", 1.6, 0, 0, 0.15},
		{"worker as slow as the stretch, wait beyond the fixed part", 1.6, 120 * time.Millisecond, 0.85, 1},
		{"worker slower than the stretch", 4, 0, 0.95, 1},
		{"fast worker, wait beyond the objective", 0.6, time.Second, 0.99, 1},
	} {
		if p := factor.lateProbability(tc.wait, objective, runTime, runTime, 0, tc.slowness); p < tc.minProbability || p > tc.maxProbability {
			t.Errorf("%s: probability of a late answer %.3f, want %.2f to %.2f", tc.name, p, tc.minProbability, tc.maxProbability)
		}
	}
	wait := factor.latestWait(objective, runTime, 0.6, 1)
	if p := factor.lateProbability(wait, objective, runTime, runTime, 0, 0.6); p < 0.15 || p > 0.17 {
		t.Errorf("probability of a late answer after the latest wait %.3f, want that of one standard error", p)
	}
}

// Guards against a batch that is kept until its deadline although the run times of its
// ended tasks show that another one will miss the deadline.
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
	f.reportFromWorker(1, 10, answer(starts[0], verdict.Canceled, time.Second)) // restarts the task
	f.tick()
	f.now += 200 * time.Millisecond
	done := answer(starts[1], verdict.Complete, 1200*time.Millisecond)
	done.Status = 200
	f.reportFromWorker(1, 10, done)
	f.tick()
	if len(f.out.Finished) != 1 || f.out.Finished[0].Err == nil || f.out.Finished[0].Err.Reason != verdict.DeadlinePassed {
		t.Fatalf("finished %+v after a task ran 12 times as long as declared, want a failure", f.out.Finished)
	}
	if v := f.out.Finished[0].Err.Verdict; v == verdict.NotRun {
		t.Error("a batch of which a task has ended failed as not-run")
	}
}

// Guards against an urgent task that waits at its entry because tasks of other entries
// occupy all workers: it has to be queued at the worker that will be free next.
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
		t.Fatalf("%d tasks were queued at a full worker, want 1", n)
	}
	full.Held, full.Queued = 6, 1
	f.Report(f.now, full)
	if n := len(f.tick()[1]); n != 0 {
		t.Errorf("%d further tasks were queued at a full worker with a queued task, want 0", n)
	}
}

// Guards against a batch that waits behind batches of a queue with a lower priority.
func TestPriorityGoesBeforeLatestStart(t *testing.T) {
	urgent := &batch{priority: 1, onTimeStartBy: time.Millisecond}
	highPriority := &batch{priority: 0, onTimeStartBy: time.Second}
	if !highPriority.before(urgent) || urgent.before(highPriority) {
		t.Error("a batch with a lower priority and an earlier latest start goes first")
	}
	if later := (&batch{priority: 1, onTimeStartBy: time.Second}); !urgent.before(later) || later.before(urgent) {
		t.Error("of two batches with the same priority, the one with the later latest start goes first")
	}
}

// Guards against declared run times that are used without correction. Of the batches of a
// queue, the one with the longest declared run time tends to run shorter than declared, and
// declared run times that are far below the true ones have to be corrected.
func TestDeclaredRunTimesAreCorrected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := (&service{runTimesByQueue: map[string]*runTimeRegression{}}).runTimeRegression("q")
	const mean, deviation, trueToDeclared = 0.9, 0.4, 2.0 // declared times are half of the true ones
	for range 4000 {
		logRunTime := math.Log(mean) + deviation*rng.NormFloat64()
		logDeclared := logRunTime + deviation*rng.NormFloat64() - math.Log(trueToDeclared)
		r.learn(math.Exp(logDeclared), logRunTime-logDeclared)
	}
	typical := r.predictFactor(mean / trueToDeclared)
	if typical.median < 0.85*trueToDeclared || typical.median > 1.15*trueToDeclared {
		t.Errorf("predicted factor on the declared run time of a typical batch %.2f, want about %v", typical.median, trueToDeclared)
	}
	// The logarithms of true run time and error have the same variance, so half of a deviation
	// from the mean is expected to be error. For 4 times the mean this is a factor of 0.5.
	if got, want := r.predictFactor(4*mean/trueToDeclared).median/typical.median, 0.5; got < 0.8*want || got > 1.2*want {
		t.Errorf("predicted factor for a declared run time of 4 times the mean, relative to a typical batch: %.2f, want about %v", got, want)
	}
	if want := deviation / math.Sqrt2; typical.sigma < 0.8*want || typical.sigma > 1.2*want {
		t.Errorf("standard deviation of the predicted factor's logarithm %.2f, want about %.2f", typical.sigma, want)
	}
}

// Guards against a new queue whose first batches are predicted to run several times as long
// as declared, and against an unusually long first batch that distorts the predictions for
// all later ones.
func TestRunTimesOfNewQueue(t *testing.T) {
	r := (&service{runTimesByQueue: map[string]*runTimeRegression{}}).runTimeRegression("q")
	if o := r.predictFactor(0.06); o.median != 1 {
		t.Errorf("predicted factor of the first batch %.2f, want 1", o.median)
	}
	r.learn(6, 0)
	for range 40 {
		r.learn(0.06, 0)
	}
	if o := r.predictFactor(0.06); o.median < 0.7 || o.median > 1.3 {
		t.Errorf("predicted factor after an unusually long first batch %.2f, want 0.7 to 1.3", o.median)
	}
}
