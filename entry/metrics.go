package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// metrics are the numbers that an entry reports.
type metrics struct {
	jobs     map[wire.JobState]tally.Counter
	requests map[verdict.Verdict]tally.Counter
	refused  tally.Counter
	latency  tally.Histogram
	batches  *batchCounters
	waiting  tally.Gauge // tasks that wait for a worker or an upstream
	starts   tally.Gauge // tasks sent to agents since the start of the life
	wasted   tally.Gauge // messages that did not contribute to an answer, likewise
	config   tally.Gauge // version of the configuration in force
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
		batches:  newBatchCounters(s),
		waiting:  s.Gauge("tasks_waiting"),
		starts:   s.Gauge("starts"),
		wasted:   s.Gauge("messages_wasted"),
		config:   s.Gauge("config_version"),
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

// batchCounters counts batches by queue and by how they ended.
type batchCounters struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[batchEnd]tally.Counter
}

// batchEnd is how a batch ended.
type batchEnd struct {
	queue   string
	verdict verdict.Verdict
	reason  verdict.Reason
}

// maxBatchCounters bounds the counters, since queues come and go with the
// configuration. What is beyond is counted without its queue.
const maxBatchCounters = 2048

func newBatchCounters(s tally.Scope) *batchCounters {
	return &batchCounters{scope: s, counters: map[batchEnd]tally.Counter{}}
}

func (b *batchCounters) inc(e batchEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.counters[e]; !ok && len(b.counters) >= maxBatchCounters {
		e.queue = ""
	}
	c, ok := b.counters[e]
	if !ok {
		c = b.scope.Tagged(map[string]string{
			"queue": e.queue, "verdict": e.verdict.String(), "reason": string(e.reason),
		}).Counter("batches_total")
		b.counters[e] = c
	}
	c.Inc(1)
}

// core takes over what the dispatch core of a life has counted.
func (m *metrics) core(waiting int, c dispatch.Messages) {
	m.waiting.Update(float64(waiting))
	m.starts.Update(float64(c.Starts))
	m.wasted.Update(float64(c.Wasted()))
}

func (m *metrics) sizes(open, rows int, bytes int64) {
	m.open.Update(float64(open))
	m.rows.Update(float64(rows))
	m.bytes.Update(float64(bytes))
}
