package worker

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

func startOf(entry ids.Incarnation, name string) wire.Start {
	return wire.Start{Key: ids.RequestOf(entry, 1), Try: 1, Name: name}
}

// Guards against two overlapping runs of a task: a caller's repeated batch meets the first
// run at its worker, and its entry starts the task elsewhere before that run has ended.
func TestRepeatedTaskIsRefusedOnceTheFirstRunHasEnded(t *testing.T) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	c.Run(0, startOf(1, "task"), 0)
	first := c.Tick(0).Start[0].Run
	c.Started(time.Millisecond, first, StartReply{}, false)
	repeated := startOf(2, "task")
	repeated.Try = 2
	c.Run(2*time.Millisecond, repeated, 0)
	for _, e := range c.Tick(2 * time.Millisecond).Ended {
		t.Errorf("run %v was answered with %v/%v while run %v goes on", e.Run, e.Verdict, e.Reason, first)
	}
}

// Guards against a start that a worker holds back and executes after startValidity: a
// worker's clock may be 2 % slow, and the agent has not read it while it had no tasks.
func TestStartAfterIdleTimeIsRefusedWhenLate(t *testing.T) {
	const idle, slowRate = time.Minute, 0.98
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	c.Renewed(0, *c.Tick(0).Renew, Status{Clock: time.Hour}, false)
	c.Run(idle, startOf(1, "task"), 0)
	workerClock := time.Hour + time.Duration(float64(idle)*slowRate)
	if validity := c.Tick(idle).Start[0].Until - workerClock; validity > startValidity {
		t.Errorf("the worker executes a start that is up to %v late, want %v at most", validity, startValidity)
	}
}

// Guards against a panic: the worker lists the end of a run whose number is that of a start
// which has not been sent yet.
func TestEndOfAPendingStartIsNoPanic(t *testing.T) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	first := *c.Tick(0).Renew
	c.Run(0, startOf(1, "task"), 0)
	ends := []End{{Number: 1, Run: RunID{Task: "task", Number: 1}, How: EndStopped}}
	c.Renewed(time.Millisecond, first, Status{Clock: time.Hour, Ended: ends}, false)
	defer func() {
		if p := recover(); p != nil {
			t.Errorf("panic: %v", p)
		}
	}()
	c.Tick(time.Millisecond)
}

// Guards against a repeated start that was never sent and is answered as having run, when
// the start of another run shows that the worker is gone.
func TestRepeatedTaskOfAReplacedWorkerHasNotRun(t *testing.T) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	c.Run(0, startOf(1, "task"), 0)
	c.Run(0, wire.Start{Key: ids.RequestOf(1, 9), Try: 1, Name: "other"}, 0)
	c.Tick(0)
	repeated := startOf(2, "task")
	repeated.Try = 2
	c.Run(time.Millisecond, repeated, 0)
	c.Started(2*time.Millisecond, RunID{Task: "other", Number: 1}, StartReply{Refused: RefusedReplaced}, false)
	for _, e := range c.Tick(2 * time.Millisecond).Ended {
		if e.Run.Number == 2 && e.Verdict != verdict.NotRun {
			t.Errorf("%v, which never started, is answered with %v/%v", e.Run, e.Verdict, e.Reason)
		}
	}
}

// Guards against two overlapping runs of a task: the first owner takes the end of its run,
// which was stopped for a repeated batch, for one after which the task starts elsewhere.
func TestRunStoppedForARepeatedBatchIsNotRestarted(t *testing.T) {
	c := New(0, Config{Fence: 7, Lease: time.Second, Clock: time.Hour})
	c.Run(0, startOf(1, "task"), 0)
	out := c.Tick(0)
	run := out.Start[0].Run
	c.Started(time.Millisecond, run, StartReply{}, false)
	repeated := startOf(2, "task")
	repeated.Try = 2
	c.Run(2*time.Millisecond, repeated, 0)
	ends := []End{{Number: 1, Run: run, How: EndStopped}}
	c.Renewed(3*time.Millisecond, *out.Renew, Status{Clock: time.Hour, Ended: ends}, false)
	for _, e := range c.Tick(3 * time.Millisecond).Ended {
		if e.Run == run && e.Verdict == verdict.Ran && e.Reason == verdict.Canceled {
			t.Errorf("%v is answered with %v/%v, after which its entry starts the task elsewhere beside the repeated batch", e.Run, e.Verdict, e.Reason)
		}
	}
}
