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

// loader sends work until it is told to stop, as callers do: a caller whose
// answer was lost submits the same job again to the other entry.
type loader struct {
	*system
	caller *caller
	done   atomic.Int64 // pieces of work that were not refused for lack of capacity
	stop   atomic.Bool
	wg     sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome // the last one of each piece of work
}

const (
	loadWorkers = 12
	resendPause = 100 * time.Millisecond
)

func (s *system) load() *loader {
	l := &loader{system: s, caller: newCaller(s.addrs.callers)}
	for i := range loadWorkers {
		l.wg.Go(func() { l.work(i) })
	}
	return l
}

func (l *loader) work(worker int) {
	for n := 0; !l.stop.Load() && l.t.Context().Err() == nil; n++ {
		marker := fmt.Sprintf("w%d-%d", worker, n)
		entry := (worker + n) % testEntries
		if n%3 == 2 {
			l.add(l.caller.request(entry, "sur", evenWork(marker, classOnce, 1, 20*time.Millisecond)))
			continue
		}
		w := evenWork(marker, classJob, 1+n%8, 40*time.Millisecond)
		w.key = marker
		l.add(l.untilEnded(entry, w))
	}
}

// untilEnded submits a job until its end is known.
func (l *loader) untilEnded(entry int, w work) outcome {
	unknown := false
	for {
		o := l.caller.submit(entry, "centro", w)
		open := o.status == fasthttp.StatusAccepted
		refused := o.answered && o.verdict == verdict.NotRun && o.job == 0
		if o.answered && !open && !(refused && unknown) && (o.job != 0 || refused) {
			return o
		}
		unknown = unknown || !refused
		if l.t.Context().Err() != nil {
			return o
		}
		time.Sleep(resendPause)
		entry = (entry + 1) % testEntries
	}
}

func (l *loader) add(o outcome) {
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
	if o.status == fasthttp.StatusServiceUnavailable {
		time.Sleep(resendPause) // a caller waits after a refusal
		return
	}
	l.done.Add(1)
}

// log prints how the work so far has ended.
func (l *loader) log(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, o := range l.outcomes {
		counts[fmt.Sprintf("%s at entry %d: %d %s %s", o.class, o.entry+1, o.status, o.verdict, o.reason)]++
	}
	l.t.Logf("%s: %d pieces of work so far, %v", phase, len(l.outcomes), counts)
}

// more waits until n further pieces of work have ended.
func (l *loader) more(n int64) {
	l.t.Helper()
	want := l.done.Load() + n
	for l.done.Load() < want {
		select {
		case <-l.t.Context().Done():
			l.t.Fatalf("no progress: %d pieces of work ended", l.done.Load())
		case <-time.After(pollInterval):
		}
	}
}

func (l *loader) finish() {
	l.stop.Store(true)
	l.wg.Wait()
}

// Guards against a promise that holds in one process only: the real daemons run
// as separate processes, and one of each kind is killed, and an entry frozen for
// longer than its lease, under load.
func TestPromisesAcrossKilledAndFrozenProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 15 processes and waits for leases to run out")
	}
	s := startSystem(t)
	l := s.load()
	l.more(60)
	l.log("start")
	killLeader(s, l)
	l.log("control node killed")
	killAgent(s, l)
	l.log("agent killed")
	killUpstream(s, l)
	l.log("upstream killed")
	killEntry(s, l)
	l.log("entry killed")
	freezeEntry(s, l)
	l.log("entry frozen")
	l.finish()
	l.verify()
	stopAsPlanned(s)
}

func killLeader(s *system, l *loader) {
	st, err := s.status()
	if err != nil {
		s.t.Fatal(err)
	}
	for i, p := range s.controls {
		if controlNode(i) == st.Leader {
			p.kill()
			l.more(60)
			p.start()
		}
	}
	l.more(30)
}

func killAgent(s *system, l *loader) {
	inc := s.incarnation(AgentNode(2))
	s.agents[2].kill()
	s.awaitEnd(inc)
	s.agents[2].start()
	s.awaitNew(AgentNode(2), inc)
	l.more(30)
}

func killUpstream(s *system, l *loader) {
	s.upstreams[1].kill()
	l.more(60)
	s.upstreams[1].start()
	l.more(30)
}

func killEntry(s *system, l *loader) {
	inc := s.incarnation(entryNode(0))
	s.entries[0].kill()
	s.awaitEnd(inc)
	s.entries[0].start()
	s.awaitNew(entryNode(0), inc)
	l.more(60)
}

func freezeEntry(s *system, l *loader) {
	inc := s.incarnation(entryNode(1))
	s.entries[1].signal(syscall.SIGSTOP)
	s.awaitEnd(inc)
	l.more(10)
	s.entries[1].signal(syscall.SIGCONT)
	s.awaitNew(entryNode(1), inc)
	l.more(60)
}

func (l *loader) verify() {
	t := l.t
	d := &demo{Cluster: &Cluster{}, out: io.Discard, outcomes: l.outcomes}
	s := countStarts(l.runs())
	for _, p := range []*promise{d.onceOnly(s), d.wholeOrFailed(), l.notRun(s), d.atMostOnce(s)} {
		if len(p.faults) > 0 {
			t.Errorf("%s %s", p.text, firstOf(p.faults))
		}
	}
	completed := map[class]int{}
	for _, o := range l.outcomes {
		if o.whole {
			completed[o.class]++
		}
		if o.class == classJob && o.status == fasthttp.StatusOK && s.of(o.work) > len(o.runMS) {
			t.Errorf("%s: %d starts", o.marker, s.of(o.work))
		}
	}
	if completed[classJob] == 0 || completed[classOnce] == 0 {
		t.Error("no work was completed")
	}
}

// notRun is the check of refusals; other disturbances of the demo don't occur here.
func (l *loader) notRun(s starts) *promise {
	d := &demo{outcomes: l.outcomes}
	return d.notRun(s)
}

// stopAsPlanned sends SIGTERM to every daemon. An entry has a job in progress,
// which must complete.
func stopAsPlanned(s *system) {
	t := s.t
	caller := newCaller(s.addrs.callers)
	started := make(chan outcome, 1)
	w := evenWork("leaving", classLeaving, 10, 500*time.Millisecond)
	go func() { started <- caller.submit(0, "centro", w) }()
	s.eventually("the job is open", func(st wire.StatusReply) bool { return st.OpenJobs > 0 })
	if err := s.entries[0].terminate(); err != nil {
		t.Errorf("entry after SIGTERM: %v", err)
	}
	if o := <-started; !o.whole {
		t.Errorf("the job in progress ended with %d %s %s", o.status, o.verdict, o.reason)
	}
	for _, p := range append(append(s.entries[1:], s.agents...), s.controls...) {
		if err := p.terminate(); err != nil {
			t.Errorf("%s after SIGTERM: %v", p.name, err)
		}
	}
}
