package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// routeModel drives a core with batches, jobs and requests in one service, and knows where
// each of their tasks may run.
type routeModel struct {
	*fixture
	nextSeq uint64
	nextJob ids.Job
	steps   map[ids.TaskKey]*routeStep
	held    []heldStart
}

// routeStep is a step of a batch.
type routeStep struct{ placement Placement }

// heldStart is a start without an answer.
type heldStart struct {
	up    ids.Incarnation
	start wire.Start
}

func newRouteModel() *routeModel {
	m := &routeModel{fixture: newLabelFixture(), nextSeq: 1, nextJob: 1, steps: map[ids.TaskKey]*routeStep{}}
	cfg := m.cfg
	cfg.Teams = map[ids.Team]Team{"a": {Quota: 1, MaxQueued: 2000}}
	cfg.Tradeoff, cfg.RetryBudget, cfg.QuarantineShare, cfg.MaxDeadline = 1, 1, 1, time.Hour
	m.SetConfig(cfg)
	m.SetCurrent(true)
	return m
}

func (m *routeModel) addBatch(t *rapid.T) {
	var steps []Step
	for range rapid.IntRange(1, 2).Draw(t, "steps") {
		steps = append(steps, Step{Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), Placement: Placement{
			Label:        rapid.SampledFrom([]string{"", "a", "b", "r2"}).Draw(t, "label"),
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "limit"),
		}})
	}
	seq := m.nextSeq
	for _, st := range steps {
		s := &routeStep{st.Placement}
		for range st.Tasks {
			m.steps[ids.RequestOf(self, m.nextSeq)] = s
			m.nextSeq++
		}
	}
	_ = m.batch(seq, steps...) // a refusal is fine
}

func (m *routeModel) addOther(t *rapid.T) {
	if rapid.Bool().Draw(t, "job") {
		m.submitJob(m.nextJob, "a", rapid.IntRange(1, 5).Draw(t, "tasks"), time.Minute)
		m.nextJob++
		return
	}
	_ = m.Request(m.now, Request{
		Key: ids.RequestOf(self, m.nextSeq), Team: "a", Service: svc, Deadline: m.now + time.Minute,
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	})
	m.nextSeq++
}

// tickAndCheck ticks the core and checks where it starts tasks.
func (m *routeModel) tickAndCheck(t *rapid.T) {
	for up, starts := range m.tick() {
		for _, st := range starts {
			if !m.isHeld(up, st) {
				m.held = append(m.held, heldStart{up, st})
				m.check(t, up, st)
			}
		}
	}
}

func (m *routeModel) isHeld(up ids.Incarnation, st wire.Start) bool {
	for _, h := range m.held {
		if h.up == up && h.start.Key == st.Key && h.start.Try == st.Try {
			return true
		}
	}
	return false
}

func (m *routeModel) check(t *rapid.T, up ids.Incarnation, st wire.Start) {
	s := m.steps[st.Key]
	if s == nil {
		return
	}
	if !m.upstreams[up].hasLabel(s.placement.Label) {
		t.Fatalf("%v: %v starts on worker %d, which lacks label %q", m.now, st.Key, up, s.placement.Label)
	}
	n := 0
	for _, h := range m.held {
		if h.up == up && m.steps[h.start.Key] == s {
			n++
		}
	}
	if limit := s.placement.MaxPerWorker; limit > 0 && n > limit {
		t.Fatalf("%v: %v is task %d of its step on worker %d, which may have %d", m.now, st.Key, n, up, limit)
	}
}

// answer answers starts of a worker, most of them with one outcome.
func (m *routeModel) answer(t *rapid.T) {
	up := m.drawWorker(t)
	outcome := rapid.SampledFrom([]wire.Answer{
		{Verdict: verdict.Ran, Reason: verdict.Complete, Status: 200, RunUS: 100_000},
		{Verdict: verdict.Ran, Reason: verdict.UpstreamFailed, Status: 500, RunUS: 1000},
		{Verdict: verdict.Ran, Reason: verdict.Canceled, RunUS: 1000},
		{Verdict: verdict.NotRun, Reason: verdict.NoCredit},
	}).Draw(t, "outcome")
	var answers []wire.Answer
	var kept []heldStart
	for _, h := range m.held {
		if h.up != up || rapid.IntRange(0, 3).Draw(t, "unanswered") == 0 {
			kept = append(kept, h)
			continue
		}
		a := outcome
		a.Key, a.Try = h.start.Key, h.start.Try
		answers = append(answers, a)
	}
	m.held = kept
	m.reportFromWorker(up, 10, answers...)
}

func (m *routeModel) drawWorker(t *rapid.T) ids.Incarnation {
	return ids.Incarnation(rapid.IntRange(1, 3).Draw(t, "worker"))
}

// Guards against tasks on workers without their label and beyond the limit of their step,
// on whichever path they are placed: as the next task or as one further back in the queue,
// as look-ahead, as a probe of a quarantined worker, as a retry or again after a break.
func TestEachStartRespectsItsPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRouteModel()
		for range 60 {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				m.addBatch(t)
			case 2:
				m.addOther(t)
			case 3, 4, 5:
				m.answer(t)
			case 6:
				up := m.drawWorker(t)
				m.Disconnected(m.now, up)
				m.Connected(m.now, up)
				m.reportFromWorker(up, 10)
			case 7:
				m.now += 15 * time.Second
			default:
				m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond
			}
			m.tickAndCheck(t)
		}
	})
}
