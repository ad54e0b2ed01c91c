package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/executor"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// metrics are the numbers that an agent reports.
type metrics struct {
	tasks    map[verdict.Verdict]tally.Counter
	timeouts tally.Counter
	run      tally.Histogram
	calls    tally.Gauge
	down     tally.Gauge

	scope   tally.Scope
	refused map[verdict.Reason]tally.Gauge // only the loop that measures uses it
	queued  tally.Gauge
	running tally.Gauge
	cpu     tally.Gauge // used part of a worker's cores
	memory  tally.Gauge // used part of its memory
	unfit   tally.Gauge // 1 while the worker is not trusted
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		tasks:    map[verdict.Verdict]tally.Counter{},
		timeouts: s.Counter("timeouts_total"),
		run:      s.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		calls:    s.Gauge("calls"),
		down:     s.Gauge("upstream_down"),
		scope:    s,
		refused:  map[verdict.Reason]tally.Gauge{},
		queued:   s.Gauge("tasks_queued"),
		running:  s.Gauge("tasks_running"),
		cpu:      s.Gauge("worker_cpu_used_ratio"),
		memory:   s.Gauge("worker_memory_used_ratio"),
		unfit:    s.Gauge("worker_unfit"),
	}
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
		m.tasks[v] = s.Tagged(map[string]string{"verdict": v.String()}).Counter("tasks_total")
	}
	return m
}

func (m *metrics) ended(a wire.Answer, calls int64) {
	if c := m.tasks[a.Verdict]; c != nil {
		c.Inc(1)
	}
	m.run.RecordDuration(time.Duration(a.RunUS) * time.Microsecond)
	m.calls.Update(float64(calls))
}

// core takes over the numbers of the executor core of a life.
func (m *metrics) core(f executor.Stats) {
	m.queued.Update(float64(f.Queued))
	m.running.Update(float64(f.Running))
	if !f.Capacity.IsZero() {
		m.cpu.Update(ratio(f.Used.CPU, f.Capacity.CPU))
		m.memory.Update(ratio(f.Used.Memory, f.Capacity.Memory))
	}
	m.unfit.Update(0)
	if f.Unfit {
		m.unfit.Update(1)
	}
	for reason, n := range f.Refused {
		if m.refused[reason] == nil {
			m.refused[reason] = m.scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("refused")
		}
		m.refused[reason].Update(float64(n))
	}
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func (m *metrics) setDown(down bool) {
	v := 0.0
	if down {
		v = 1
	}
	m.down.Update(v)
}
