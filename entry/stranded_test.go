package entry

import (
	"testing"

	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// TestLastUpstreamLeaves guards against accepted work that waits for its deadline
// after the last upstream has left. Such work would be answered with deadline-passed
// after 30 s.
func TestLastUpstreamLeaves(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	e := s.entries[0]
	s.upstream.SetMode(upstreamsim.Hold)
	running := decodeJob(t, call(t, e, "POST", "/v1/jobs", jobJSON("running", 4)))
	eventually(t, "full slots", func() bool { return s.upstream.Running() == 4 })
	request, job := make(chan reply, 1), make(chan reply, 1)
	go func() { request <- call(t, e, "POST", "/v1/services/s/x", "{}", headerTeam, "t") }()
	go func() { job <- call(t, e, "POST", "/v1/jobs?wait=60s", jobJSON("waiting", 3)) }()
	inc := e.incarnation.Load()
	eventually(t, "both at the core", func() bool { return s.openCount(inc) == 3 })
	drained := make(chan error, 1)
	go func() { drained <- s.agent.Drain(t.Context()) }()
	for _, answer := range []chan reply{request, job} {
		if r := <-answer; r.status != 503 || r.header.Get(headerVerdict) != "not-run" || r.header.Get(headerReason) != "no-upstream" {
			t.Errorf("work without an upstream: %v", r)
		}
	}
	s.upstream.Release()
	if r := call(t, e, "GET", running.Location+"?wait=30s", ""); r.status != 200 {
		t.Errorf("job in progress: %v", r)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	if n := len(s.upstream.Runs()); n != 4 {
		t.Errorf("%d runs, those of the first job are 4", n)
	}
	if rec := s.control.record(e.jobs.byKey("t", "waiting").id); rec.State != wire.JobFailed {
		t.Errorf("the record says %s", rec.State)
	}
	s.checkStartedOnce(t)
}
