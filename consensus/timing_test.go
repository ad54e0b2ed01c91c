package consensus

import (
	"slices"
	"testing"
)

// targetTicks is the 2 s within which a new leader has to be elected.
const targetTicks = 40

// electionTicks returns the ticks from the loss of a leader to the next one.
func electionTicks(t *testing.T, seed uint64, nodes int, f faults) uint64 {
	s := newSim(seed, nodes, f)
	s.clients.idle = true
	await := func() uint64 {
		start := s.now
		for s.leader() == nil {
			if s.step(); s.now-start > 1000*s.perTick {
				t.Fatalf("seed %d: no leader", seed)
			}
		}
		return (s.now - start + s.perTick - 1) / s.perTick
	}
	await()
	for range 10*s.perTick + s.rng.Uint64N(10*s.perTick) {
		s.step()
	}
	await()
	s.crash(s.leader())
	return await()
}

// TestElectionTime guards against a group that stays without a leader for more
// than the target after the loss of its leader. It logs the distribution.
func TestElectionTime(t *testing.T) {
	networks := []struct {
		name   string
		faults faults
	}{
		{"no loss", faults{}},
		{"2% loss, up to 20 ms delay", faults{loss: 0.02, maxDelay: 4}},
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
			if ticks[seeds-1] > targetTicks {
				t.Errorf("%d nodes, %s: %d ticks exceed %d", nodes, net.name, ticks[seeds-1], targetTicks)
			}
		}
	}
}

// restartTicks is the 1 s within which a group has a leader again after all of its
// nodes have started anew.
const restartTicks = 20

// TestElectionAfterRestartOfAll guards against nodes that all wait for a leader
// which they have lost together, as after a loss of power.
func TestElectionAfterRestartOfAll(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 200
	}
	for _, nodes := range []int{3, 5} {
		var ticks []uint64
		for seed := range uint64(seeds) {
			s := newSim(seed, nodes, faults{})
			s.clients.idle = true
			for s.leader() == nil {
				s.step()
			}
			for _, m := range s.machines {
				s.crash(m)
			}
			for _, m := range s.machines { // within two ticks
				for range s.rng.Uint64N(2 * s.perTick / uint64(nodes)) {
					s.step()
				}
				s.start(m)
			}
			start := s.now
			for s.leader() == nil {
				s.step()
			}
			ticks = append(ticks, (s.now-start+s.perTick-1)/s.perTick)
		}
		slices.Sort(ticks)
		t.Logf("%d nodes: p50 %d, p99 %d, max %d ticks", nodes, ticks[seeds/2], ticks[seeds*99/100], ticks[seeds-1])
		if ticks[seeds*99/100] > restartTicks {
			t.Errorf("%d nodes: %d ticks at the 99th percentile exceed %d", nodes, ticks[seeds*99/100], restartTicks)
		}
	}
}

// admissions returns what a leader of three nodes commits in 10 s of virtual
// time, in units of 1 ms, with a sync of 4 ms and a network of 1 ms. Each of the
// callers proposes a record as soon as its former one is applied. With single
// set, a record is proposed only after the former one is synced.
func admissions(callers int, single bool) (records, syncs int) {
	s := newSim(1, 3, faults{})
	s.clients.idle = true
	s.perTick = 50
	s.maxBytes, s.compactAt = DefaultMaxMessageBytes, 1<<30
	s.syncTime = func() uint64 { return 4 }
	for _, m := range s.machines {
		s.crash(m)
		s.start(m)
	}
	for s.leader() == nil || s.leader().state.Index < s.leader().node.leaderState.start {
		s.step()
	}
	m := s.leader()
	first := m.state.Index
	last, busy := first, m.busy
	for range 10_000 {
		for last < m.state.Index+uint64(callers) {
			if single && m.node.Match(m.node.ID()) < last {
				break
			}
			index, err := m.node.Propose([]byte("1"))
			if err != nil {
				panic(err)
			}
			last = index
		}
		s.step()
		if m.busy != busy && m.busy != nil && m.busy.NeedsSync() {
			syncs++
		}
		busy = m.busy
	}
	return int(m.state.Index - first), syncs
}

const (
	benchCallers = 256
	// groupCommitGain is the target of the design for group commit.
	groupCommitGain = 10
)

// TestGroupCommit guards against a log that syncs for each record.
func TestGroupCommit(t *testing.T) {
	grouped, _ := admissions(benchCallers, false)
	single, _ := admissions(benchCallers, true)
	if grouped < groupCommitGain*single {
		t.Errorf("%d admissions with group commit, %d with a sync for each record", grouped, single)
	}
}

// BenchmarkGroupCommit reports admissions in virtual time.
func BenchmarkGroupCommit(b *testing.B) {
	for b.Loop() {
		records, syncs := admissions(benchCallers, false)
		single, singleSyncs := admissions(benchCallers, true)
		b.ReportMetric(float64(records)/float64(syncs), "records/sync")
		b.ReportMetric(float64(records)/10, "admissions/s")
		b.ReportMetric(float64(single)/float64(singleSyncs), "single-records/sync")
		b.ReportMetric(float64(single)/10, "single-admissions/s")
	}
}
