package agent

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/wire"
)

// scriptedSession is a session that the test ends. It records how the agent gave it up.
type scriptedSession struct {
	fixedSession
	inc     ids.Incarnation
	ended   chan struct{}
	endOnce sync.Once

	mu       sync.Mutex
	draining bool
	over     bool // left or closed
}

func (s *scriptedSession) Incarnation() ids.Incarnation { return s.inc }
func (s *scriptedSession) Ended() <-chan struct{}       { return s.ended }

func (s *scriptedSession) View() *member.View {
	v := *s.fixedSession.View()
	v.Version = ids.Version(s.inc)
	return &v
}

func (s *scriptedSession) SetDraining(d bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = d
}

func (s *scriptedSession) end() { s.endOnce.Do(func() { close(s.ended) }) }

func (s *scriptedSession) Leave(context.Context) error {
	s.end()
	s.Close()
	return nil
}

func (s *scriptedSession) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
}

// offersTasks reports whether entries may take the session's incarnation for one that
// accepts tasks.
func (s *scriptedSession) offersTasks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.over && !s.draining
}

// scriptedControl opens sessions, and makes registrations wait while it is silent.
type scriptedControl struct {
	mu       sync.Mutex
	sessions []*scriptedSession
	previous []ids.Incarnation // named by the registrations
	silent   chan struct{}     // closed once registrations are answered again, nil if they are
}

// open implements SessionOpener. A reply may be under way when ctx ends.
func (c *scriptedControl) open(_ context.Context, self wire.Registration) (Session, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-time.After(time.Second):
			return nil, context.DeadlineExceeded
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &scriptedSession{inc: testAgent + ids.Incarnation(len(c.sessions)), ended: make(chan struct{})}
	c.sessions = append(c.sessions, s)
	c.previous = append(c.previous, self.Previous)
	return s, nil
}

func (c *scriptedControl) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if silent {
		c.silent = make(chan struct{})
		return
	}
	close(c.silent)
	c.silent = nil
}

// endLatest ends the lease of the latest incarnation.
func (c *scriptedControl) endLatest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[len(c.sessions)-1].end()
}

func (c *scriptedControl) offersTasks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		if s.offersTasks() {
			return true
		}
	}
	return false
}

// Guards against tasks that start on a draining worker: its agent registers again, and the
// new incarnation doesn't know of the drain. The drain comes before, during and after each
// step of a registration.
func TestDrainOutlastsAnIncarnation(t *testing.T) {
	const step = 10 * time.Millisecond
	for drainAt := range 8 {
		synctest.Test(t, func(t *testing.T) {
			c := &scriptedControl{}
			a := newAgent(Options{Session: c.open, Scope: tally.NoopScope, ProbeInterval: step, TickMin: time.Millisecond, HandoverTimeout: step})
			if err := a.register(t.Context()); err != nil {
				t.Fatal(err)
			}
			a.background.Go(a.supervise)
			steps := []func(){
				func() {}, c.endLatest, func() {}, func() { c.setSilent(false) }, func() {},
				func() { c.setSilent(true); c.endLatest() }, func() { time.Sleep(2 * time.Second) }, func() { c.setSilent(false) },
			}
			c.setSilent(true)
			for i, next := range steps {
				if i == drainAt {
					if err := a.Drain(t.Context()); err != nil {
						t.Errorf("drain at step %d: %v", drainAt, err)
					}
				}
				next()
				time.Sleep(step)
			}
			time.Sleep(time.Second)
			if c.offersTasks() || a.Ready() == nil {
				t.Errorf("drain at step %d: the agent accepts tasks afterwards", drainAt)
			}
			a.cancel()
			a.background.Wait()
			a.incarnation.Load().stop()
		})
	}
}

// Guards against an operators' drain that is forgotten: the control group can't tell the next
// incarnation of a process from a new process.
func TestRegistrationNamesThePreviousIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedControl{}
		a := newAgent(Options{Session: c.open, Scope: tally.NoopScope, ProbeInterval: time.Millisecond, TickMin: time.Millisecond})
		if err := a.register(t.Context()); err != nil {
			t.Fatal(err)
		}
		a.background.Go(a.supervise)
		c.endLatest()
		time.Sleep(time.Second)
		a.cancel()
		a.background.Wait()
		a.incarnation.Load().stop()
		if !slices.Equal(c.previous, []ids.Incarnation{0, testAgent}) {
			t.Errorf("previous incarnations %v, want none and %d", c.previous, testAgent)
		}
	})
}
