package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// TestRequestsBeforeRegistration guards against requests that wait in the listener's
// backlog while an entry waits for the control group, as after a loss of all VMs. The
// entry would not know how long such a request has waited. Requests are answered
// after the registration, or refused after a short wait.
func TestRequestsBeforeRegistration(t *testing.T) {
	control := newFakeControl(settings.DefaultCluster())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()

	controlReady := make(chan struct{})
	started := make(chan *Entry)
	go func() {
		e, err := Start(t.Context(), Options{
			Node: "e1", Callers: addr,
			Session: func(ctx context.Context, self wire.Registration) (Session, error) {
				select {
				case <-controlReady:
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				return control.open(self), nil
			},
		})
		if err != nil {
			t.Error(err)
		}
		started <- e
	}()
	requestReason := func() string {
		var resp *http.Response
		eventually(t, "the listener", func() bool {
			resp, err = http.Get("http://" + addr + "/v1/jobs/1")
			return err == nil
		})
		defer resp.Body.Close()
		return resp.Header.Get("Baobab-Reason")
	}
	if got := requestReason(); got != "stale" {
		t.Errorf("before the registration: %q, want stale", got)
	}
	answered := make(chan string)
	go func() { answered <- requestReason() }()
	close(controlReady)
	if got := <-answered; got != "unknown-job" {
		t.Errorf("once registered: %q, want the answer for an unknown job", got)
	}
	if e := <-started; e != nil {
		e.Close()
	}
}

// TestDrainingEntryClosesCallerConnections guards against callers that keep using
// open connections to a draining entry until it refuses their requests. Some time
// after the start of a drain each answer must close its connection.
func TestDrainingEntryClosesCallerConnections(t *testing.T) {
	// Connections are also closed after the grace period, so the test uses one that is
	// far longer than the test.
	s := newSystem(t, testCluster(), 1, Options{MoveAfter: 50 * time.Millisecond, Grace: time.Hour})
	e := s.entries[0]
	connCloses := func() bool {
		resp, err := http.Get("http://" + e.Callers() + "/v1/jobs/1")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := resp.Header.Get("Baobab-Reason"); got != "unknown-job" {
			t.Errorf("refused while new work is still accepted: %s", got)
		}
		return resp.Close
	}
	if connCloses() {
		t.Error("a connection is closed without need")
	}
	ctx, cancel := context.WithCancel(t.Context())
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(ctx) }()
	eventually(t, "answers that close their connections", connCloses)
	cancel()
	<-drained // the drain ends with its context
}

// TestDrainCapsBatchDeadline guards against a batch that a draining process accepts
// and whose caller gets no answer because the process ends first.
func TestDrainCapsBatchDeadline(t *testing.T) {
	now := time.Now()
	var noPlan *drainPlan
	if got := noPlan.capDeadline(now, time.Minute); got != time.Minute {
		t.Errorf("deadline %v at an entry that stays", got)
	}
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(2*time.Second))
	defer cancel()
	d := newDrainPlan(ctx, time.Second)
	if got := d.capDeadline(now, time.Second); got != time.Second {
		t.Errorf("deadline %v of a batch that ends in time", got)
	}
	if got := d.capDeadline(now.Add(time.Second), time.Minute); got != time.Second-answerMargin {
		t.Errorf("deadline %v of a batch that arrives 1 s before the end", got)
	}
	if got := newDrainPlan(t.Context(), 0).capDeadline(now, time.Minute); got != time.Minute {
		t.Errorf("deadline %v without an end of the drain", got)
	}
}

// TestConfigurationIsReadOnce guards against parsing the configuration again for each
// change of the members. With a thousand queues this takes milliseconds, and members
// change in groups.
func TestConfigurationIsReadOnce(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	inc := s.entries[0].incarnation.Load()
	before := inc.cluster.Load()
	version := inc.session.View().Version
	s.control.startAgent(t, "a2", s.upstream.Addr())
	eventually(t, "the new member", func() bool { return inc.session.View().Version > version })
	eventually(t, "the view to be applied", func() bool {
		agents := 0
		inc.loop.Call(func(time.Duration) { agents = len(inc.agents) })
		return agents == 2
	})
	if inc.cluster.Load() != before {
		t.Error("the configuration was read again although it has not changed")
	}
}

// TestEntryWithoutAgentsStopsServing guards against an entry that cannot reach any
// agent and keeps accepting callers that it can only refuse, while other entries
// could serve them.
func TestEntryWithoutAgentsStopsServing(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	e := s.entries[0]
	if err := e.CheckServing(); err != nil {
		t.Errorf("with an agent: %v", err)
	}
	s.agent.Close()
	eventually(t, "the entry to be out of service", func() bool { return e.CheckServing() != nil })
	resp, err := http.Get("http://" + e.Callers() + "/v1/jobs/1")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if !resp.Close {
		t.Error("the connection of a caller stays open at an entry that cannot serve it")
	}
	s.control.startAgent(t, "a2", s.upstream.Addr())
	eventually(t, "the entry to be back", func() bool { return e.CheckServing() == nil })
}

// Guards against a queue that is said to be unknown because the entry has not heard of it:
// its view is not confirmed, or its event loop has not applied the view's configuration.
func TestQueuesAreCheckedAgainstTheView(t *testing.T) {
	c := newFakeControl(testCluster())
	e := c.startEntry(t, "e1", Options{})
	inc := e.incarnation.Load()
	s := inc.session.(*fakeSession)
	_, _, version, _ := e.FindQueue("h.example", "/")
	check := func(situation string, refused bool) {
		t.Helper()
		err := e.CheckQueues(version)
		if (err != nil) != refused || refused && (err.Verdict != verdict.NotRun || err.Reason != verdict.Stale || err.RetryAfter == 0) {
			t.Errorf("%s: %v", situation, err)
		}
	}
	check("confirmed view", false)
	s.setStale(true)
	check("view that is not confirmed", true)
	s.setStale(false)
	newer := *s.View()
	newer.ConfigVer++
	inc.loop.Call(func(time.Duration) {
		s.set(&newer)
		check("configuration that is not applied yet", true)
	})
	eventually(t, "the configuration", func() bool {
		_, _, version, _ = e.FindQueue("h.example", "/")
		return version == newer.ConfigVer
	})
	check("configuration that is applied", false)
	inc.end()
	check("incarnation that has ended", true)
}
