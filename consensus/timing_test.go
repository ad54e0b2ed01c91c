package consensus

import (
	"slices"
	"testing"
)

// maxElectionTicks is the 2 s within which a new leader must be elected.
const maxElectionTicks = 40

// electionTicks returns the number of ticks from the crash of a leader to the
// election of the next one.
func electionTicks(t *testing.T, seed uint64, nodes int, f faults) uint64 {
	s := newSim(seed, nodes, f)
	s.clients.stopped = true
	awaitLeader := func() uint64 {
		start := s.now
		for s.leader() == nil {
			if s.step(); s.now-start > 1000*s.unitsPerTick {
				t.Fatalf("seed %d: no leader", seed)
			}
		}
		return (s.now - start + s.unitsPerTick - 1) / s.unitsPerTick
	}
	awaitLeader()
	for range 10*s.unitsPerTick + s.rng.Uint64N(10*s.unitsPerTick) {
		s.step()
	}
	awaitLeader()
	s.crash(s.leader())
	return awaitLeader()
}

// TestElectionTime guards against a group that has no leader for longer than
// maxElectionTicks after the loss of its leader. It logs the distribution.
func TestElectionTime(t *testing.T) {
	networks := []struct {
		name   string
		faults faults
	}{
		{"no loss", faults{}},
		{"2% loss, up to 20 ms delay", faults{loss: 0.02, maxDelayUnits: 4}},
	}
	seeds := 2000
	if testing.Short() {
		seeds = 200
	}
	for _, nodes := range []int{3, 5} {
		for _, net := range networks {
			var ticks []uint64
			for seed := range seeds {
				ticks = append(ticks, electionTicks(t, uint64(seed), nodes, net.faults))
			}
			slices.Sort(ticks)
			t.Logf("%d nodes, %s: p50 %d, p99 %d, max %d ticks", nodes, net.name,
				ticks[seeds/2], ticks[seeds*99/100], ticks[seeds-1])
			if ticks[seeds-1] > maxElectionTicks {
				t.Errorf("%d nodes, %s: %d ticks exceed %d", nodes, net.name, ticks[seeds-1], maxElectionTicks)
			}
		}
	}
}

// maxRestartElectionTicks is the 1 s within which a group must have a leader again
// after all of its nodes have restarted.
const maxRestartElectionTicks = 20

// TestElectionAfterFullRestart guards against nodes that all wait for a leader
// after they have restarted together, as after a power failure.
func TestElectionAfterFullRestart(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 200
	}
	for _, nodes := range []int{3, 5} {
		var ticks []uint64
		for seed := range uint64(seeds) {
			s := newSim(seed, nodes, faults{})
			s.clients.stopped = true
			for s.leader() == nil {
				s.step()
			}
			for _, m := range s.machines {
				s.crash(m)
			}
			for _, m := range s.machines { // within two ticks
				for range s.rng.Uint64N(2 * s.unitsPerTick / uint64(nodes)) {
					s.step()
				}
				s.start(m)
			}
			start := s.now
			for s.leader() == nil {
				s.step()
			}
			ticks = append(ticks, (s.now-start+s.unitsPerTick-1)/s.unitsPerTick)
		}
		slices.Sort(ticks)
		t.Logf("%d nodes: p50 %d, p99 %d, max %d ticks", nodes, ticks[seeds/2], ticks[seeds*99/100], ticks[seeds-1])
		if ticks[seeds*99/100] > maxRestartElectionTicks {
			t.Errorf("%d nodes: %d ticks at the 99th percentile exceed %d", nodes, ticks[seeds*99/100], maxRestartElectionTicks)
		}
	}
}

// measureCommits returns the number of records that the leader of three nodes
// commits in 10 s of virtual time, and the number of its syncs. A unit of time is
// 1 ms, a sync takes 4 ms and a message 1 ms. Each of the callers proposes a
// record as soon as its previous one is applied. With oneRecordPerSync set, a
// record is proposed only after the previous one is synced.
func measureCommits(callers int, oneRecordPerSync bool) (records, syncs int) {
	s := newSim(1, 3, faults{})
	s.clients.stopped = true
	s.unitsPerTick = 50
	s.maxMessageBytes, s.snapshotInterval = DefaultMaxMessageBytes, 1<<30
	s.syncUnits = func() uint64 { return 4 }
	for _, m := range s.machines {
		s.crash(m)
		s.start(m)
	}
	for s.leader() == nil || s.leader().state.Index < s.leader().node.leaderState.start {
		s.step()
	}
	m := s.leader()
	first := m.state.Index
	lastProposed, pendingReady := first, m.pendingReady
	for range 10_000 {
		for lastProposed < m.state.Index+uint64(callers) {
			if oneRecordPerSync && m.node.Match(m.node.ID()) < lastProposed {
				break
			}
			index, err := m.node.Propose([]byte("1"))
			if err != nil {
				panic(err)
			}
			lastProposed = index
		}
		s.step()
		if m.pendingReady != pendingReady && m.pendingReady != nil && m.pendingReady.NeedsSync() {
			syncs++
		}
		pendingReady = m.pendingReady
	}
	return int(m.state.Index - first), syncs
}

const (
	benchCallers = 256
	// minGroupCommitGain is the design target for the gain of group commit.
	minGroupCommitGain = 10
)

// TestGroupCommit guards against a log that syncs once for each record.
func TestGroupCommit(t *testing.T) {
	grouped, _ := measureCommits(benchCallers, false)
	single, _ := measureCommits(benchCallers, true)
	if grouped < minGroupCommitGain*single {
		t.Errorf("%d admissions with group commit, %d with a sync for each record", grouped, single)
	}
}

// BenchmarkGroupCommit reports the commits per second of virtual time and the
// records per sync, with and without group commit.
func BenchmarkGroupCommit(b *testing.B) {
	for b.Loop() {
		records, syncs := measureCommits(benchCallers, false)
		single, singleSyncs := measureCommits(benchCallers, true)
		b.ReportMetric(float64(records)/float64(syncs), "records/sync")
		b.ReportMetric(float64(records)/10, "admissions/s")
		b.ReportMetric(float64(single)/float64(singleSyncs), "single-records/sync")
		b.ReportMetric(float64(single)/10, "single-admissions/s")
	}
}
