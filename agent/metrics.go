package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

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
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		tasks:    map[verdict.Verdict]tally.Counter{},
		timeouts: s.Counter("timeouts_total"),
		run:      s.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		calls:    s.Gauge("calls"),
		down:     s.Gauge("upstream_down"),
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

func (m *metrics) setDown(down bool) {
	v := 0.0
	if down {
		v = 1
	}
	m.down.Update(v)
}
