package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against requests that lie in the listener's queue while an entry waits for
// the control group, as after a loss of all VMs: nobody would know how long they have
// waited. They are answered once it has registered, or refused after a moment.
func TestRequestsBeforeRegistration(t *testing.T) {
	control := newFakeControl(settings.DefaultCluster())
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := held.Addr().String()
	held.Close()

	groupIsBack := make(chan struct{})
	started := make(chan *Entry)
	go func() {
		e, err := Start(t.Context(), Options{
			Node: "e1", Callers: addr,
			Session: func(ctx context.Context, self wire.Registration) (Session, error) {
				select {
				case <-groupIsBack:
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
	ask := func() string {
		var resp *http.Response
		eventually(t, "the listener", func() bool {
			resp, err = http.Get("http://" + addr + "/v1/jobs/1")
			return err == nil
		})
		defer resp.Body.Close()
		return resp.Header.Get("Baobab-Reason")
	}
	if got := ask(); got != "stale" {
		t.Errorf("before the registration: %q, want stale", got)
	}
	answered := make(chan string)
	go func() { answered <- ask() }()
	close(groupIsBack)
	if got := <-answered; got != "unknown-job" {
		t.Errorf("once registered: %q, want the answer for an unknown job", got)
	}
	if e := <-started; e != nil {
		e.Close()
	}
}

// Guards against callers that go on using open connections to an entry that leaves,
// until it refuses what they send: from a moment on an answer closes its connection.
func TestLeavingEntryMovesCallers(t *testing.T) {
	// The end of the grace would close connections too, so the test ends long before.
	s := newSystem(t, testCluster(), 1, Options{MoveAfter: 50 * time.Millisecond, Grace: time.Hour})
	e := s.entries[0]
	closes := func() bool {
		resp, err := http.Get("http://" + e.Callers() + "/v1/jobs/1")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := resp.Header.Get("Baobab-Reason"); got != "unknown-job" {
			t.Errorf("refused while work is still taken in: %s", got)
		}
		return resp.Close
	}
	if closes() {
		t.Error("a connection is closed without need")
	}
	ctx, cancel := context.WithCancel(t.Context())
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(ctx) }()
	eventually(t, "answers that close their connections", closes)
	cancel()
	<-drained // the drain was cut off
}

// Guards against a batch that is taken in by a process that leaves, and whose caller
// loses the answer when the process ends.
func TestBatchEndsBeforeTheProcess(t *testing.T) {
	now := time.Now()
	var staying *departure
	if got := staying.shorten(now, time.Minute); got != time.Minute {
		t.Errorf("deadline %v at an entry that stays", got)
	}
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(2*time.Second))
	defer cancel()
	d := newDeparture(ctx, time.Second)
	if got := d.shorten(now, time.Second); got != time.Second {
		t.Errorf("deadline %v of a batch that ends in time", got)
	}
	if got := d.shorten(now.Add(time.Second), time.Minute); got != time.Second-answerTime {
		t.Errorf("deadline %v of a batch that arrives 1 s before the end", got)
	}
	if got := newDeparture(t.Context(), 0).shorten(now, time.Minute); got != time.Minute {
		t.Errorf("deadline %v without an end of the drain", got)
	}
}

// Guards against a configuration that is read again for each change of the members: with
// a thousand queues that takes milliseconds, and members change in groups.
func TestConfigurationIsReadOnce(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	l := s.entries[0].life.Load()
	before := l.jobs.Load()
	version := l.session.View().Version
	s.control.startAgent(t, "a2", s.upstream.Addr())
	eventually(t, "the new member", func() bool { return l.session.View().Version > version })
	eventually(t, "the view to be applied", func() bool {
		agents := 0
		l.loop.Call(func(time.Duration) { agents = len(l.agents) })
		return agents == 2
	})
	if l.jobs.Load() != before {
		t.Error("the configuration was read again although it has not changed")
	}
}

// Guards against an entry that is cut off from all agents and goes on taking callers
// whom it can only refuse, while other entries could serve them.
func TestEntryWithoutAgentsSendsCallersAway(t *testing.T) {
	s := newSystem(t, testCluster(), 1, Options{})
	e := s.entries[0]
	if err := e.Serving(); err != nil {
		t.Errorf("with an agent: %v", err)
	}
	s.agent.Close()
	eventually(t, "the entry to be out of service", func() bool { return e.Serving() != nil })
	resp, err := http.Get("http://" + e.Callers() + "/v1/jobs/1")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if !resp.Close {
		t.Error("the connection of a caller stays open at an entry that can't serve it")
	}
	s.control.startAgent(t, "a2", s.upstream.Addr())
	eventually(t, "the entry to be back", func() bool { return e.Serving() == nil })
}
