package consensus

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
)

var scheduleCount = flag.Int("schedules", 300, "number of random schedules in TestSchedules")

const (
	scheduleTicks = 400
	recoveryTicks = 200 // 10 s
)

// randomFaults returns the faults of the schedule with the given seed.
func randomFaults(seed uint64) faults {
	f := faults{maxDelayUnits: []int{0, 2, 8, 40}[seed%4]}
	f.loss = []float64{0, 0.02, 0.2}[seed/4%3]
	f.duplicate = []float64{0, 0.1}[seed/12%2]
	f.crash = []float64{0.0005, 0.003, 0.01}[seed/2%3]
	f.partition = []float64{0.0005, 0.003, 0.01}[seed/5%3]
	f.longPartition = []float64{0.05, 0.5}[seed/3%2]
	f.operatorStep = []float64{0, 0.005, 0.05}[seed/7%3]
	f.pause = []float64{0, 0.001, 0.004}[seed/11%3]
	f.crashAfterVote = []float64{0, 0.3}[seed/13%2]
	f.maxSyncUnits = []uint64{2, 20}[seed/17%2]
	f.loseDisk = 0.3
	f.meanDownTicks = []int{1, 30}[seed/3%2]
	return f
}

// runSchedule runs a schedule and returns the violation that it detects, or "".
func runSchedule(seed uint64, f faults) (s *sim, violationText string) {
	defer func() {
		if r := recover(); r != nil {
			violationText = fmt.Sprint(r)
		}
	}()
	s = newSim(seed, 3+2*int(seed%2), f)
	for range scheduleTicks * defaultUnitsPerTick {
		s.step()
	}
	s.endFaults()
	if !s.clients.linearizable(s.now + 1) {
		fail("history is not linearizable")
	}
	return s, ""
}

// endFaults ends all faults and checks that the group recovers: it must work again
// after any faults that leave a majority of the disks intact.
func (s *sim) endFaults() {
	s.faultsEnded = true
	s.blockedUntil = map[[2]string]uint64{}
	s.faults.maxDelayUnits = min(s.faults.maxDelayUnits, 4)
	s.faults.maxSyncUnits = 0
	for _, m := range s.machines {
		if m.node == nil {
			s.start(m)
		}
	}
	for range recoveryTicks * defaultUnitsPerTick {
		s.step()
	}
	m := s.leader()
	if m == nil {
		fail("no leader %d ticks after all faults have ended", recoveryTicks)
	}
	for _, o := range s.machines {
		// 20 ticks are the 1 s after which a client switches from an outdated node
		// to another one.
		_, isMember := m.node.Group().Peer(o.disk.id)
		if age := o.node.CurrentTick() - o.node.ConfirmedTick(); isMember && !s.lostIDs[o.disk.id] && age > 20 {
			fail("%s was last confirmed %d ticks ago", o.name, age)
		}
	}
	if last := len(s.check.committed) - 1; int(m.state.Index) < last-5 {
		fail("the leader has applied index %d of %d", m.state.Index, last)
	}
}

// TestSchedules guards against lost commits, two leaders in a term, diverging logs
// and stale reads under random message loss, delay, duplication, crashes,
// partitions, membership changes and lost disks. The flag -schedules sets the
// number of schedules.
func TestSchedules(t *testing.T) {
	count := *scheduleCount
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

// TestRemovedVotersJoinAgain guards against a voter that is removed while it is healthy,
// is added again with the same id and disk, and then counts for more than it has synced;
// and against one that comes back on an older copy of its disk and votes again.
func TestRemovedVotersJoinAgain(t *testing.T) {
	count := uint64(120)
	if testing.Short() {
		count = 30
	}
	commits := 0
	for seed := range count {
		f := randomFaults(seed)
		f.removeHealthy, f.operatorStep = true, 0.03
		s, found := runSchedule(seed, f)
		if found != "" {
			t.Fatalf("seed %d: %s", seed, found)
		}
		commits += len(s.check.committed)
	}
	if commits < 20*int(count) {
		t.Errorf("only %d commits in %d schedules", commits, count)
	}
}

// TestChecksDetectViolations guards against checks that can't fail: each breach of
// the driver's contract must be detected, and no violation may be reported under
// the same faults without a breach.
func TestChecksDetectViolations(t *testing.T) {
	tests := []struct {
		name  string
		limit uint64 // schedules
		set   func(*faults)
	}{
		{"messages sent before the sync", 400, func(f *faults) { f.sendBeforeSync = true }},
		{"emptied disk under the same id", 400, func(f *faults) { f.keepIDOnDiskLoss, f.loseDisk = true, 0.3 }},
		{"reads without a quorum", 400, func(f *faults) { f.unconfirmedReads = true }},
		{"", 40, func(f *faults) { f.loseDisk = 0.3 }},
	}
	for _, test := range tests {
		found := ""
		for seed := uint64(0); seed < test.limit && found == ""; seed++ {
			// Slow syncs and fast restarts make the breaches take effect more often.
			f := faults{maxDelayUnits: 10, loss: 0.3, duplicate: 0.3, crash: 0.06, crashAfterVote: 0.5}
			f.meanDownTicks, f.maxSyncUnits, f.partition, f.longPartition = 1, 40, 0.003, 0.05
			test.set(&f)
			_, found = runSchedule(seed, f)
			t.Logf("%s: seed %d: %s", test.name, seed, found)
		}
		if (found != "") != (test.name != "") {
			t.Errorf("%q: found %q in %d schedules", test.name, found, test.limit)
		}
	}
}

// TestVoteSurvivesRestart guards against two leaders in a term: a voter that
// restarts must refuse another candidate of the term. If the vote is missing from
// the hard state, the check of election safety must detect two leaders.
func TestVoteSurvivesRestart(t *testing.T) {
	for _, loseVote := range []bool{false, true} {
		s := newSim(1, 3, faults{})
		a, b, voter := s.machines[0], s.machines[1], s.machines[2]
		request := func(m *machine) Message {
			m.node.startElection()
			out := m.node.Ready().Messages
			return out[slices.IndexFunc(out, func(o Message) bool { return o.To == voter.disk.id })]
		}
		answer := func(m Message) Message {
			voter.node.Step(m)
			rd := voter.node.Ready()
			voter.disk.write(rd, 0)
			return rd.Messages[0]
		}
		first, second := request(a), request(b)
		a.node.Step(answer(first))
		if loseVote {
			voter.disk.hard.Vote = ""
		}
		s.start(voter)
		b.node.Step(answer(second))
		if !a.node.IsLeader() || b.node.IsLeader() != loseVote {
			t.Fatalf("vote forgotten: %v, second leader: %v", loseVote, b.node.IsLeader())
		}
		found := func() (found any) {
			defer func() { found = recover() }()
			s.check.node(a)
			s.check.node(b)
			return nil
		}()
		if (found != nil) != loseVote {
			t.Fatalf("vote forgotten: %v, found: %v", loseVote, found)
		}
	}
}
