//go:build linux

package devcluster

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// loadGenerator sends jobs and requests until it is stopped, as callers do: a caller
// that gets no answer submits the same job again to the other entry.
type loadGenerator struct {
	*system
	caller   *caller
	served   atomic.Int64 // workloads that did not end with status 503
	stopping atomic.Bool
	wg       sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome // the last outcome of each workload
}

const (
	loadCallers = 12
	retryDelay  = 100 * time.Millisecond
)

func (s *system) startLoad() *loadGenerator {
	l := &loadGenerator{system: s, caller: newCaller(s.addrs.callers)}
	for i := range loadCallers {
		l.wg.Go(func() { l.runCaller(i) })
	}
	return l
}

func (l *loadGenerator) runCaller(callerIndex int) {
	for n := 0; !l.stopping.Load() && l.t.Context().Err() == nil; n++ {
		marker := fmt.Sprintf("w%d-%d", callerIndex, n)
		entry := (callerIndex + n) % testEntries
		if n%3 == 2 {
			l.recordOutcome(l.caller.sendRequest(entry, "sur", uniformWorkload(marker, classNonIdempotent, 1, 20*time.Millisecond)))
			continue
		}
		w := uniformWorkload(marker, classJob, 1+n%8, 40*time.Millisecond)
		w.key = marker
		l.recordOutcome(l.submitUntilEnded(entry, w))
	}
}

// submitUntilEnded submits a job until it has ended or is known to be refused. A
// refusal after a submission without an answer does not count, since the job may have
// been admitted before.
func (l *loadGenerator) submitUntilEnded(entry int, w workload) outcome {
	mayBeAdmitted := false
	for {
		o := l.caller.submit(entry, "centro", w)
		open := o.status == fasthttp.StatusAccepted
		refused := o.answered && o.verdict == verdict.NotRun && o.job == 0
		if o.answered && !open && !(refused && mayBeAdmitted) && (o.job != 0 || refused) {
			return o
		}
		mayBeAdmitted = mayBeAdmitted || !refused
		if l.t.Context().Err() != nil {
			return o
		}
		time.Sleep(retryDelay)
		entry = (entry + 1) % testEntries
	}
}

func (l *loadGenerator) recordOutcome(o outcome) {
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
	if o.status == fasthttp.StatusServiceUnavailable {
		time.Sleep(retryDelay) // a caller waits after a 503 response
		return
	}
	l.served.Add(1)
}

// logOutcomes logs the number of outcomes of each kind so far.
func (l *loadGenerator) logOutcomes(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, o := range l.outcomes {
		counts[fmt.Sprintf("%s at entry %d: %d %s %s", o.class, o.entry+1, o.status, o.verdict, o.reason)]++
	}
	l.t.Logf("%s: %d workloads so far, %v", phase, len(l.outcomes), counts)
}

// awaitProgress waits until n further workloads have ended without a 503.
func (l *loadGenerator) awaitProgress(n int64) {
	l.t.Helper()
	want := l.served.Load() + n
	for l.served.Load() < want {
		select {
		case <-l.t.Context().Done():
			l.t.Fatalf("no progress: %d workloads ended", l.served.Load())
		case <-time.After(pollInterval):
		}
	}
}

func (l *loadGenerator) stop() {
	l.stopping.Store(true)
	l.wg.Wait()
}

// Guards against a promise that holds only while the whole system runs in one
// process. The real daemons run as separate processes under load; one of each kind
// is killed, and an entry is frozen for longer than its lease.
func TestPromisesHoldAcrossKilledAndFrozenProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 15 processes and waits for leases to expire")
	}
	s := startSystem(t)
	l := s.startLoad()
	l.awaitProgress(60)
	l.logOutcomes("start")
	killLeader(s, l)
	l.logOutcomes("control node killed")
	killAgent(s, l)
	l.logOutcomes("agent killed")
	killUpstream(s, l)
	l.logOutcomes("upstream killed")
	killEntry(s, l)
	l.logOutcomes("entry killed")
	freezeEntry(s, l)
	l.logOutcomes("entry frozen")
	l.stop()
	l.checkPromises()
	terminateDaemons(s)
}

func killLeader(s *system, l *loadGenerator) {
	st, err := s.status()
	if err != nil {
		s.t.Fatal(err)
	}
	for i, p := range s.controls {
		if controlNode(i) == st.Leader {
			p.kill()
			l.awaitProgress(60)
			p.start()
		}
	}
	l.awaitProgress(30)
}

func killAgent(s *system, l *loadGenerator) {
	inc := s.incarnation(AgentNode(2))
	s.agents[2].kill()
	s.awaitEnd(inc)
	s.agents[2].start()
	s.awaitReregistration(AgentNode(2), inc)
	l.awaitProgress(30)
}

func killUpstream(s *system, l *loadGenerator) {
	s.upstreams[1].kill()
	l.awaitProgress(60)
	s.upstreams[1].start()
	l.awaitProgress(30)
}

func killEntry(s *system, l *loadGenerator) {
	inc := s.incarnation(entryNode(0))
	s.entries[0].kill()
	s.awaitEnd(inc)
	s.entries[0].start()
	s.awaitReregistration(entryNode(0), inc)
	l.awaitProgress(60)
}

func freezeEntry(s *system, l *loadGenerator) {
	inc := s.incarnation(entryNode(1))
	s.entries[1].signal(syscall.SIGSTOP)
	s.awaitEnd(inc)
	l.awaitProgress(10)
	s.entries[1].signal(syscall.SIGCONT)
	s.awaitReregistration(entryNode(1), inc)
	l.awaitProgress(60)
}

func (l *loadGenerator) checkPromises() {
	t := l.t
	d := &demo{Cluster: &Cluster{}, out: io.Discard, outcomes: l.outcomes}
	s := countStarts(l.runs())
	for _, p := range []*promise{d.checkNoDoubleStarts(s), d.checkAllOrNothing(), l.checkNotRun(s), d.checkAtMostOnce(s)} {
		if len(p.violations) > 0 {
			t.Errorf("%s %s", p.description, joinFirst(p.violations))
		}
	}
	completed := map[class]int{}
	for _, o := range l.outcomes {
		if o.complete {
			completed[o.class]++
		}
		if o.class == classJob && o.status == fasthttp.StatusOK && s.total(o.workload) > len(o.runTimesMS) {
			t.Errorf("%s: %d starts", o.marker, s.total(o.workload))
		}
	}
	if completed[classJob] == 0 || completed[classNonIdempotent] == 0 {
		t.Error("no job or no single request was completed")
	}
}

// checkNotRun checks the requests refused as not-run. The other scenarios of the demo
// don't occur in this test.
func (l *loadGenerator) checkNotRun(s startCounts) *promise {
	d := &demo{outcomes: l.outcomes}
	return d.checkNotRun(s)
}

// terminateDaemons sends SIGTERM to every daemon and expects a clean exit. The first
// entry has a job in progress, which must complete.
func terminateDaemons(s *system) {
	t := s.t
	caller := newCaller(s.addrs.callers)
	done := make(chan outcome, 1)
	w := uniformWorkload("leaving", classPlannedStop, 10, 500*time.Millisecond)
	go func() { done <- caller.submit(0, "centro", w) }()
	s.eventually("a job is open", func(st wire.StatusReply) bool { return st.OpenJobs > 0 })
	if err := s.entries[0].terminate(); err != nil {
		t.Errorf("entry after SIGTERM: %v", err)
	}
	if o := <-done; !o.complete {
		t.Errorf("the job in progress ended with %d %s %s", o.status, o.verdict, o.reason)
	}
	for _, p := range append(append(s.entries[1:], s.agents...), s.controls...) {
		if err := p.terminate(); err != nil {
			t.Errorf("%s after SIGTERM: %v", p.name, err)
		}
	}
}
