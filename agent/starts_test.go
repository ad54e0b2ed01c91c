package agent

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabshore/baobabshore/worker"
)

const (
	testHeartbeatInterval = 1500 * time.Millisecond
	// maxIgnored is how many heartbeats in a row of a start that is up may be ignored, when no
	// late one arrives between them.
	maxIgnored = 2
)

// bareSidecar returns a sidecar that records heartbeats and starts no agent.
func bareSidecar() *Sidecar {
	return &Sidecar{changed: make(chan struct{}, 1), starts: starts{heartbeatInterval: testHeartbeatInterval}}
}

// life is one start of a worker in a test.
type life struct {
	begin time.Time
	born  int64 // what the VM's clock showed at the begin
	clock bool  // the heartbeats carry the worker's clock
	sent  uint64
	late  []uint64 // the heartbeats of an earlier life that are still to arrive
}

// beat returns the n-th heartbeat of a life, counted from 1, as sent at its time.
func (l *life) beat(n uint64) worker.Announcement {
	a := worker.Announcement{ID: "w", Born: l.born, Sequence: n}
	if l.clock {
		a.Clock = time.Duration(n-1)*testHeartbeatInterval + time.Millisecond
	}
	return a
}

// startsCase is one order in which the heartbeats of the lives of a worker arrive.
type startsCase struct {
	borns       []int64 // of the lives, in the order of their begins
	heard       int     // the sidecar has heard the first so many lives in time
	clock       bool    // the heartbeats carry the worker's clock
	latestFirst bool    // of the late heartbeats of a life, the latest one arrives first
	arrivals    []int   // the life of each heartbeat; one of an earlier life is late
}

// past plays the lives before the last one. Their last two heartbeats are late.
func (c startsCase) past(s *Sidecar) []*life {
	const beats = 10
	var lives []*life
	for i, born := range c.borns[:len(c.borns)-1] {
		l := &life{begin: time.Now(), born: born, clock: c.clock, late: []uint64{beats - 1, beats}}
		if c.latestFirst {
			slices.Reverse(l.late)
		}
		lives = append(lives, l)
		for n := uint64(1); n <= beats; n++ {
			if i < c.heard && n <= beats-2 {
				s.SetWorker(l.beat(n))
			}
			time.Sleep(testHeartbeatInterval)
		}
	}
	return lives
}

// play lets the heartbeats arrive, and then those of the last life as it goes on. It returns
// how often the last life was served and then not any more, and the largest number of its
// heartbeats in a row, without a late one between, after which it was not served.
func (c startsCase) play() (displaced, ignored int) {
	s := bareSidecar()
	lives := c.past(s)
	last := &life{begin: time.Now(), born: c.borns[len(c.borns)-1], clock: c.clock}
	served, row := false, 0
	arrive := func(i int) {
		isLast := i == len(lives)
		if isLast {
			s.SetWorker(last.next())
		} else {
			s.SetWorker(lives[i].nextLate())
		}
		a, _ := s.Worker()
		if served && a.Born != last.born {
			displaced++
		}
		served = a.Born == last.born
		if row++; served || !isLast {
			row = 0
		}
		ignored = max(ignored, row)
	}
	for _, i := range c.arrivals {
		arrive(i)
	}
	for range 2 * (maxIgnored + 1) {
		arrive(len(lives))
	}
	return displaced, ignored
}

// next returns the next heartbeat of a life when it is due.
func (l *life) next() worker.Announcement {
	time.Sleep(time.Until(l.begin.Add(time.Duration(l.sent) * testHeartbeatInterval)))
	l.sent++
	return l.beat(l.sent)
}

// nextLate returns the next late heartbeat of a life that is over.
func (l *life) nextLate() worker.Announcement {
	time.Sleep(time.Millisecond)
	n := l.late[0]
	l.late = l.late[1:]
	return l.beat(n)
}

// orders calls f with each distinct order of items.
func orders(items []int, f func([]int)) {
	slices.Sort(items)
	var extend func(done, left []int)
	extend = func(done, left []int) {
		if len(left) == 0 {
			f(done)
		}
		for i, item := range left {
			if i == 0 || item != left[i-1] {
				extend(append(slices.Clone(done), item), slices.Delete(slices.Clone(left), i, i+1))
			}
		}
	}
	extend(nil, items)
}

// startsCases calls f with the heartbeats of lives in each order that they may arrive in,
// with all orders that the VM's clock may give them.
func startsCases(lives int, f func(startsCase)) {
	var borns, beats []int
	for i := range lives {
		borns = append(borns, i)
		beats = append(beats, i, i)
	}
	orders(borns, func(order []int) {
		var set []int64
		for _, i := range order {
			set = append(set, 1_700_000_000_000+int64(i)*1000)
		}
		orders(beats, func(arrivals []int) {
			for i := range 4 * lives {
				f(startsCase{set, i / 4, i%2 == 0, i/2%2 == 0, arrivals})
			}
		})
	})
}

// Guards against a worker that is up and is ignored for good, or whose agent is closed, after
// late heartbeats of its earlier starts, in whatever order they arrive and the VM's clock puts
// the starts.
func TestStartThatIsUpIsServed(t *testing.T) {
	for _, lives := range []int{2, 3} {
		t.Run(fmt.Sprint(lives, " lives"), func(t *testing.T) { testStartThatIsUpIsServed(t, lives) })
	}
}

func testStartThatIsUpIsServed(t *testing.T, lives int) {
	synctest.Test(t, func(t *testing.T) {
		cases := 0
		startsCases(lives, func(c startsCase) {
			cases++
			displaced, ignored := c.play()
			if ignored > maxIgnored {
				t.Errorf("%+v: ignored for %d heartbeats in a row", c, ignored)
			}
			inOrder := slices.IsSorted(c.borns)
			if displaced > 0 && (c.clock || inOrder) {
				t.Errorf("%+v: displaced %d times, although clocks show which start is later", c, displaced)
			}
		})
		t.Logf("%d cases", cases)
	})
}

// Guards against an agent that is closed by heartbeats which a partition has held up and which
// arrive in their order, at once, after the next start has announced itself.
func TestHeartbeatsOfAnEarlierStartThatArriveTogetherAreIgnored(t *testing.T) {
	for _, born := range []int64{1000, 3000} { // of the earlier start; the clock was set back if it is higher
		synctest.Test(t, func(t *testing.T) {
			s := bareSidecar()
			s.SetWorker(worker.Announcement{ID: "w", Born: 2000, Sequence: 1, Clock: time.Millisecond})
			for n := range uint64(4) {
				time.Sleep(time.Millisecond)
				s.SetWorker(worker.Announcement{ID: "w", Born: born, Sequence: 20 + n, Clock: time.Duration(20+n) * testHeartbeatInterval})
				if a, _ := s.Worker(); a.Born != 2000 {
					t.Errorf("the agent serves the start of %d after heartbeat %d of it", a.Born, n)
				}
			}
		})
	}
}

// Guards against a present worker whose place a late heartbeat of a former one with another id
// takes, and against a next one that has to wait for it.
func TestLateHeartbeatOfAFormerWorkerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := bareSidecar()
		for i, a := range []worker.Announcement{
			{ID: "a", Born: 1000, Sequence: 1, Clock: time.Millisecond},
			{ID: "b", Born: 2000, Sequence: 1, Clock: time.Millisecond},
			{ID: "a", Born: 1000, Sequence: 7, Clock: 500 * time.Millisecond},
			{ID: "c", Born: 3000, Sequence: 1, Clock: time.Millisecond},
		} {
			time.Sleep(time.Second)
			s.SetWorker(a)
			if got, want := must(s.Worker()).ID, []string{"a", "b", "b", "c"}[i]; got != want {
				t.Errorf("heartbeat %d: serves %q, want %q", i, got, want)
			}
		}
	})
}

// Guards against a worker whose heartbeats are ignored for good, here that of its drain, after
// one of them has come with a Sequence that was too high.
func TestSequenceThatIsTooHighIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := bareSidecar()
		s.SetWorker(worker.Announcement{ID: "w", Born: 1000, Sequence: 1 << 63})
		for n := range uint64(maxIgnored + 1) {
			time.Sleep(testHeartbeatInterval)
			s.SetWorker(worker.Announcement{ID: "w", Born: 1000, Sequence: 3 + n, Draining: true})
		}
		if a := must(s.Worker()); !a.Draining {
			t.Errorf("the drain is ignored after heartbeat %d", a.Sequence)
		}
	})
}

func must(a worker.Announcement, ok bool) worker.Announcement {
	if !ok {
		panic(fmt.Sprint("no worker, latest ", a))
	}
	return a
}

// Guards against a late heartbeat that makes a worker which drains seem ready.
func TestLateHeartbeatOfThePresentStartIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := bareSidecar()
		s.SetWorker(worker.Announcement{ID: "w", Born: 1000, Sequence: 8, Draining: true})
		time.Sleep(time.Millisecond)
		s.SetWorker(worker.Announcement{ID: "w", Born: 1000, Sequence: 7})
		if a := must(s.Worker()); !a.Draining {
			t.Error("a late heartbeat ends the drain")
		}
	})
}

// Guards against a worker of another id that has to wait since its start is unknown.
func TestWorkerOfUnknownStartIsServedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := bareSidecar()
		s.SetWorker(worker.Announcement{ID: "a", Born: 1000, Sequence: 1, Clock: time.Millisecond})
		time.Sleep(testHeartbeatInterval)
		s.SetWorker(worker.Announcement{ID: "b", Sequence: 1, Clock: time.Millisecond})
		if a := must(s.Worker()); a.ID != "b" {
			t.Errorf("serves %q", a.ID)
		}
	})
}

// Guards against a worker that is not used after a restart that a connection has shown: its
// first heartbeat is accepted, whatever the clocks say, and a late one of the start that is
// over brings its agent back only if it goes on.
func TestConnectionShowsTheEndOfAStart(t *testing.T) {
	for _, tc := range []struct {
		name        string
		born        int64
		heardBefore bool // a heartbeat of the new start arrives before the connection shows it
	}{
		{"clock goes on", 2000, false},
		{"clock set back", 500, false},
		{"clock set back, heard before", 500, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := bareSidecar()
			before := worker.Announcement{ID: "w", Born: 1000, Sequence: 9}
			after := worker.Announcement{ID: "w", Born: tc.born, Sequence: 1}
			s.SetWorker(before)
			if tc.heardBefore {
				s.SetWorker(after)
			}
			s.WorkerRestarted(before)
			if a, ok := s.Worker(); ok != tc.heardBefore || ok && a.Born != tc.born {
				t.Errorf("%s: present after the end: %v, %+v", tc.name, ok, a)
			}
			late := before
			late.Sequence = 10
			s.SetWorker(late)
			s.SetWorker(after)
			if a, ok := s.Worker(); !ok || a.Born != tc.born {
				t.Errorf("%s: present %v, %+v, want the start of %d", tc.name, ok, a, tc.born)
			}
			s.WorkerRestarted(before)
			if a, ok := s.Worker(); !ok || a.Born != tc.born {
				t.Errorf("%s: a report on an earlier start has ended the present one", tc.name)
			}
		})
	}
}
