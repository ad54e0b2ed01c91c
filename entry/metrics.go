package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// metrics are the numbers that an entry reports.
type metrics struct {
	jobs     map[wire.JobState]tally.Counter
	requests map[verdict.Verdict]tally.Counter
	refused  tally.Counter
	latency  tally.Histogram
	open     tally.Gauge
	rows     tally.Gauge
	bytes    tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		jobs:     map[wire.JobState]tally.Counter{},
		requests: map[verdict.Verdict]tally.Counter{},
		refused:  s.Counter("refused_total"),
		latency:  s.Histogram("request_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		open:     s.Gauge("jobs_open"),
		rows:     s.Gauge("job_rows"),
		bytes:    s.Gauge("answer_bytes"),
	}
	for _, st := range []wire.JobState{wire.JobComplete, wire.JobFailed, wire.JobCanceled} {
		m.jobs[st] = s.Tagged(map[string]string{"state": string(st)}).Counter("jobs_total")
	}
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
		m.requests[v] = s.Tagged(map[string]string{"verdict": v.String()}).Counter("requests_total")
	}
	return m
}

func (m *metrics) jobEnded(st wire.JobStatus) {
	if c := m.jobs[st.State]; c != nil {
		c.Inc(1)
	}
}

func (m *metrics) requestEnded(v verdict.Verdict, took time.Duration) {
	if c := m.requests[v]; c != nil {
		c.Inc(1)
	}
	m.latency.RecordDuration(took)
}

func (m *metrics) sizes(open, rows int, bytes int64) {
	m.open.Update(float64(open))
	m.rows.Update(float64(rows))
	m.bytes.Update(float64(bytes))
}
