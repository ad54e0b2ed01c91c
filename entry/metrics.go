package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// metrics holds the metrics that an entry exports.
type metrics struct {
	jobs           map[wire.JobState]tally.Counter
	requests       map[verdict.Verdict]tally.Counter
	refused        tally.Counter
	latency        tally.Histogram
	batches        *batchCounters
	waitingTasks   tally.Gauge // tasks that wait for a worker or an upstream
	taskStarts     tally.Gauge // tasks sent to agents by the current incarnation
	wastedMessages tally.Gauge // messages of the current incarnation that did not contribute to an answer
	configVersion  tally.Gauge // version of the configuration in force
	openJobs       tally.Gauge
	jobRows        tally.Gauge
	answerBytes    tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		jobs:           map[wire.JobState]tally.Counter{},
		requests:       map[verdict.Verdict]tally.Counter{},
		refused:        s.Counter("refused_total"),
		latency:        s.Histogram("request_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		batches:        newBatchCounters(s),
		waitingTasks:   s.Gauge("tasks_waiting"),
		taskStarts:     s.Gauge("starts"),
		wastedMessages: s.Gauge("messages_wasted"),
		configVersion:  s.Gauge("config_version"),
		openJobs:       s.Gauge("jobs_open"),
		jobRows:        s.Gauge("job_rows"),
		answerBytes:    s.Gauge("answer_bytes"),
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

// batchCounters counts batches by queue and outcome.
type batchCounters struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[batchOutcome]tally.Counter
}

// batchOutcome is the label set of a batch counter.
type batchOutcome struct {
	queue   string
	verdict verdict.Verdict
	reason  verdict.Reason
}

// maxBatchCounters bounds the number of counters, since configurations add and remove
// queues. A batch that would need a further counter is counted under an empty queue
// name.
const maxBatchCounters = 2048

func newBatchCounters(s tally.Scope) *batchCounters {
	return &batchCounters{scope: s, counters: map[batchOutcome]tally.Counter{}}
}

func (b *batchCounters) inc(e batchOutcome) {
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

// core updates the gauges from the counts of an incarnation's dispatch core.
func (m *metrics) core(waitingTasks int, c dispatch.Messages) {
	m.waitingTasks.Update(float64(waitingTasks))
	m.taskStarts.Update(float64(c.Starts))
	m.wastedMessages.Update(float64(c.Wasted()))
}

// sizes updates the gauges of the job table.
func (m *metrics) sizes(openJobs, jobRows int, answerBytes int64) {
	m.openJobs.Update(float64(openJobs))
	m.jobRows.Update(float64(jobRows))
	m.answerBytes.Update(float64(answerBytes))
}
