package consensus

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
)

var schedules = flag.Int("schedules", 300, "number of random schedules in TestSchedules")

const (
	scheduleTicks = 400
	healTicks     = 200 // 10 s
)

// randomFaults picks the faults of a schedule by its seed.
func randomFaults(seed uint64) faults {
	f := faults{maxDelay: []int{0, 2, 8, 40}[seed%4]}
	f.loss = []float64{0, 0.02, 0.2}[seed/4%3]
	f.duplicate = []float64{0, 0.1}[seed/12%2]
	f.crash = []float64{0.0005, 0.003, 0.01}[seed/2%3]
	f.cut = []float64{0.0005, 0.003, 0.01}[seed/5%3]
	f.longCut = []float64{0.05, 0.5}[seed/3%2]
	f.operator = []float64{0, 0.005, 0.05}[seed/7%3]
	f.freeze = []float64{0, 0.001}[seed/11%2]
	f.wipe = 0.3
	return f
}

// runSchedule returns the violation that the schedule shows, or "".
func runSchedule(seed uint64, f faults) (s *sim, found string) {
	defer func() {
		if r := recover(); r != nil {
			found = fmt.Sprint(r)
		}
	}()
	s = newSim(seed, 3+2*int(seed%2), f)
	for range scheduleTicks * unitsPerTick {
		s.step()
	}
	s.heal()
	if !s.clients.linearizable(s.now + 1) {
		fail("history is not linearizable")
	}
	return s, ""
}

// heal ends all faults and checks that the group works again: the loss of a
// minority must never be lasting.
func (s *sim) heal() {
	s.quiet = true
	s.cut = map[[2]string]uint64{}
	s.faults.maxDelay = min(s.faults.maxDelay, 4)
	for _, m := range s.machines {
		if m.node == nil {
			s.start(m)
		}
	}
	for range healTicks * unitsPerTick {
		s.step()
	}
	m := s.leader()
	if m == nil {
		fail("no leader %d ticks after all faults have ended", healTicks)
	}
	for _, o := range s.machines {
		// 20 ticks are the 1 s after which a client leaves a node as outdated.
		_, member := m.node.Group().Peer(o.disk.id)
		if age := o.node.Now() - o.node.ConfirmedTick(); member && !s.dead[o.disk.id] && age > 20 {
			fail("%s was last confirmed %d ticks ago", o.name, age)
		}
	}
	if last := len(s.check.committed) - 1; int(m.state.Index) < last-5 {
		fail("the leader has applied index %d of %d", m.state.Index, last)
	}
}

// TestSchedules guards against lost commits, two leaders, diverging logs and
// stale reads under random loss, delay, duplication, crashes, partitions,
// membership changes and lost disks. -schedules sets how many are run.
func TestSchedules(t *testing.T) {
	count := *schedules
	if testing.Short() {
		count = min(count, 60)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	elections, commits := 0, 0
	next := uint64(0)
	for range min(4, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= uint64(count) {
					return
				}
				s, found := runSchedule(seed, randomFaults(seed))
				if found != "" {
					t.Errorf("seed %d: %s", seed, found)
				}
				mu.Lock()
				elections += s.check.elections
				commits += len(s.check.committed)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d elections, %d commits", count, elections, commits)
	if commits < 20*count {
		t.Errorf("only %d commits: the schedules test too little", commits)
	}
}
