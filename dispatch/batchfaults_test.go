package dispatch_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against concurrent runs of one task, against a worker loaded beyond its
// capacity, and against a task of a refused batch that has started or starts later. The
// faults are entries that crash or stop sending, crashed agents, lost connections,
// messages delayed by seconds, workers that hang, and callers that submit their batches
// again at other entries.
func TestBatchRunsDoNotOverlap(t *testing.T) {
	for seed := range uint64(150) {
		b := newBatchSimulation(seed, 3, 6)
		b.link = link{delay: time.Millisecond, jitter: 3 * time.Millisecond}
		b.load(time.Second, 6*time.Second, 0.8)
		for range 6 {
			at := time.Second + time.Duration(b.rng.Int64N(int64(4*time.Second)))
			e, a := b.entries[b.rng.IntN(3)], b.agents[b.rng.IntN(6)]
			switch b.rng.IntN(5) {
			case 0:
				b.at(at, func() { b.crashBatchEntry(e) })
			case 1:
				b.at(at, func() { b.crashWorkerAgent(a) })
			case 2:
				b.at(at, func() { b.disconnect(e, a) })
				b.at(at+time.Duration(b.rng.IntN(800))*time.Millisecond, func() { b.connect(e, a) })
			case 3: // a partition delays messages; they arrive after it has healed
				b.at(at, func() { b.extraDelay = 2 * time.Second })
				b.at(at+600*time.Millisecond, func() { b.extraDelay = 0 })
			case 4:
				b.at(at, func() { a.worker.hangsUntil = b.now + 2*time.Second })
			}
		}
		b.runUntil(12 * time.Second)
		if len(b.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, b.violations[0])
		}
		if b.sentBatches == 0 || b.resultCounts["done"] == 0 {
			t.Fatalf("seed %d: no batch was answered on time (%v of %d)", seed, b.resultCounts, b.sentBatches)
		}
	}
}

// crashBatchEntry crashes an entry. In half of the cases its connections are closed; in
// the others the agents see no disconnect.
func (b *batchSimulation) crashBatchEntry(e *entryProc) {
	if !e.alive || b.aliveEntries() < 2 {
		return
	}
	e.alive = false
	b.loseCallers(e)
	if b.rng.IntN(2) == 0 {
		return
	}
	for _, a := range b.agents {
		a.core.Disconnected(b.now, e.incarnation)
		b.tickAgent(a)
	}
}

// Guards against refusals while workers have free capacity, and against batches that
// wait for a worker until they are late.
func TestBatchesUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name      string
		load      float64 // share of the capacity
		minOnTime float64 // minimum share of batches answered on time
	}{
		{"a-third", 0.33, 0.95},
		{"two-thirds", 0.66, 0.9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(10) {
				b := newBatchSimulation(seed, 7, 11)
				b.load(time.Second, 10*time.Second, tc.load)
				b.runUntil(14 * time.Second)
				if got := b.resultShare("done"); got < tc.minOnTime {
					t.Errorf("seed %d: %.3f of the batches on time, want at least %.3f (%v)", seed, got, tc.minOnTime, b.resultCounts)
				}
				if b.lateRefusals > 0 {
					t.Errorf("seed %d: %d batches were refused after their objective", seed, b.lateRefusals)
				}
			}
		})
	}
}

// Guards against short batches that displace long ones, which only fast workers complete
// in time, and against declared run times whose error decides which batches are
// answered. The longest tenth of each class has to be answered at least half as often as
// the whole class.
func TestBatchSizesAreServedEqually(t *testing.T) {
	answered, all := map[string]int{}, map[string]int{}
	for seed := range uint64(6) {
		b := newBatchSimulation(seed, 7, 11)
		b.varyRunTimes = true
		b.ended = func(e batchEnd) {
			group := e.class
			if e.times.actual > largestTenthThreshold(e.class) {
				group += " largest"
			}
			for _, p := range []string{e.class, group} {
				all[p]++
				if e.answered {
					answered[p]++
				}
			}
		}
		b.load(time.Second, 10*time.Second, 0.66)
		b.runUntil(14 * time.Second)
	}
	for group, n := range all {
		class, _, _ := strings.Cut(group, " ")
		share, classShare := float64(answered[group])/float64(n), float64(answered[class])/float64(all[class])
		t.Logf("%s: %.3f of %d", group, share, n)
		if share < classShare/2 {
			t.Errorf("%s: %.3f of the batches answered, %.3f of the whole class", group, share, classShare)
		}
	}
}

// largestTenthThreshold returns the run time that a tenth of the batches of a class exceed.
// Run times vary by a factor whose logarithm has a standard deviation of 0.4, and 1.28
// standard deviations above the mean is the 90th percentile.
func largestTenthThreshold(class string) time.Duration {
	median, err := time.ParseDuration(class)
	if err != nil {
		panic(err) // a class is named by its median run time
	}
	return time.Duration(float64(median) * math.Exp(1.28*0.4))
}

// Guards against a drop of the goodput in a burst: under a load of 1.3 times the capacity,
// 95 % of the capacity (design section 1.5) has to go into batches that are answered.
func TestGoodputOfBatchesInABurst(t *testing.T) {
	for seed := range uint64(3) {
		b := newBatchSimulation(seed, 7, 11)
		b.load(time.Second, 10*time.Second, 1.3)
		b.runUntil(14 * time.Second)
		if got := b.answeredWork.Seconds() / (b.capacity() * 9); got < 0.95 {
			t.Errorf("seed %d: goodput of %.3f of the capacity (%v)", seed, got, b.resultCounts)
		}
	}
}

// Guards against a worker on which each task fails or hangs and that is still given
// tasks: 2 s after the fault it has to get less than 1 % of the load (design section 1.5).
func TestBadWorkersGetFewTasks(t *testing.T) {
	const from, until = 2 * time.Second, 9 * time.Second
	for _, tc := range []struct {
		name        string
		breakWorker func(*simulatedWorker)
	}{
		{"fails", func(x *simulatedWorker) { x.failsTasks = true }},
		{"hangs", func(x *simulatedWorker) { x.hangsUntil = until }},
	} {
		for seed := range uint64(4) {
			b := newBatchSimulation(seed, 7, 11)
			b.load(time.Second, until, 0.5)
			b.at(from, func() { tc.breakWorker(b.agents[2].worker) })
			allStarts, badStarts := 0, 0
			b.at(from+2*time.Second, func() { allStarts, badStarts = b.startCount(), b.agents[2].worker.startCount })
			b.runUntil(until)
			allStarts, badStarts = b.startCount()-allStarts, b.agents[2].worker.startCount-badStarts
			if 100*badStarts >= allStarts {
				t.Errorf("worker that %s, seed %d: got %d of %d starts, want less than 1 %% (%v)", tc.name, seed, badStarts, allStarts, b.resultCounts)
			}
			b.runUntil(until + 3*time.Second)
			if len(b.violations) > 0 {
				t.Fatalf("seed %d: %v", seed, b.violations[0])
			}
		}
	}
}

// startCount returns the number of starts on all workers.
func (b *batchSimulation) startCount() int {
	n := 0
	for _, a := range b.agents {
		n += a.worker.startCount
	}
	return n
}

// Guards against a capacity reservation for wide long batches that leaves no room for
// others, in particular where all workers are equally fast.
func TestReservationLeavesRoomForOthers(t *testing.T) {
	b := newEmptyBatchSimulation(1, 3)
	for n := range 6 {
		b.addWorker(n, 1)
	}
	b.propagateMembers(0)
	b.runUntil(time.Second)
	for n := range 40 {
		at := time.Second + time.Duration(n)*100*time.Millisecond
		b.at(at, func() { b.submitBatch(fmt.Sprint("long", n), b.entries[n%3], 40, 900*time.Millisecond, 0) })
		b.at(at+50*time.Millisecond, func() { b.submitBatch(fmt.Sprint("short", n), b.entries[n%3], 2, 50*time.Millisecond, 0) })
	}
	b.runUntil(10 * time.Second)
	if got := b.resultsByTaskCount["2 done"] + b.resultsByTaskCount["2 late"]; got < 20 {
		t.Errorf("%d of 40 short batches were answered next to wide long ones, want at least 20 (%v)", got, b.resultsByTaskCount)
	}
}

// Guards against batches without declared run times that are all admitted and wait until
// their deadline.
func TestBatchesWithoutDeclaredTimes(t *testing.T) {
	b := newBatchSimulation(1, 3, 3)
	for n := range 200 {
		b.at(time.Second, func() { b.submitBatch(fmt.Sprint(n), b.entries[n%3], 8, 0, 0) })
	}
	b.runUntil(1200 * time.Millisecond)
	if b.resultCounts["not-run"] == 0 {
		t.Errorf("none of %d batches was refused by workers that run 30 tasks at once (%v)", b.sentBatches, b.resultCounts)
	}
}
