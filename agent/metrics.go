package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// metrics holds the agent's counters, gauges and histograms.
type metrics struct {
	tasks        map[verdict.Verdict]tally.Counter
	timeouts     tally.Counter
	runTime      tally.Histogram
	calls        tally.Gauge
	upstreamDown tally.Gauge

	scope        tally.Scope
	refused      map[verdict.Reason]tally.Gauge // accessed only on the event loop
	queued       tally.Gauge
	running      tally.Gauge
	workerCPU    tally.Gauge // used fraction of the worker's cores
	workerMemory tally.Gauge // used fraction of the worker's memory
	workerUnfit  tally.Gauge // 1 while the worker fails its tasks or runs most of them far too long
	draining     tally.Gauge // 1 while the agent refuses new tasks because it leaves or operators drain it
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		tasks:        map[verdict.Verdict]tally.Counter{},
		timeouts:     s.Counter("timeouts_total"),
		runTime:      s.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		calls:        s.Gauge("calls"),
		upstreamDown: s.Gauge("upstream_down"),
		scope:        s,
		refused:      map[verdict.Reason]tally.Gauge{},
		queued:       s.Gauge("tasks_queued"),
		running:      s.Gauge("tasks_running"),
		workerCPU:    s.Gauge("worker_cpu_used_ratio"),
		workerMemory: s.Gauge("worker_memory_used_ratio"),
		workerUnfit:  s.Gauge("worker_unfit"),
		draining:     s.Gauge("draining"),
	}
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
		m.tasks[v] = s.Tagged(map[string]string{"verdict": v.String()}).Counter("tasks_total")
	}
	return m
}

func (m *metrics) recordAnswer(a wire.Answer, calls int64) {
	if c := m.tasks[a.Verdict]; c != nil {
		c.Inc(1)
	}
	m.runTime.RecordDuration(time.Duration(a.RunUS) * time.Microsecond)
	m.calls.Update(float64(calls))
}

// core sets the gauges from the statistics of the executor core.
func (m *metrics) core(stats executor.Stats) {
	m.queued.Update(float64(stats.Queued))
	m.running.Update(float64(stats.Running))
	if !stats.Capacity.IsZero() {
		m.workerCPU.Update(ratio(stats.Used.CPU, stats.Capacity.CPU))
		m.workerMemory.Update(ratio(stats.Used.Memory, stats.Capacity.Memory))
	}
	m.workerUnfit.Update(flag(stats.Unfit))
	m.draining.Update(flag(stats.Draining))
	for reason, n := range stats.Refused {
		if m.refused[reason] == nil {
			m.refused[reason] = m.scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("refused")
		}
		m.refused[reason].Update(float64(n))
	}
}

func ratio(used, capacity int) float64 { return float64(used) / float64(max(capacity, 1)) }

func (m *metrics) setUpstreamDown(upstreamDown bool) { m.upstreamDown.Update(flag(upstreamDown)) }

// flag returns the value of a gauge that is 1 while a condition holds.
func flag(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
