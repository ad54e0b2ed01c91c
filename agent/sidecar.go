package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/worker"
)

// Sidecar runs one agent for each instance of the worker beside it. It follows the
// heartbeats that the worker sends.
type Sidecar struct {
	agentOptions func(worker.Announcement) Options

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	changed    chan struct{}

	mu      sync.Mutex
	starts  starts // of the worker
	leaving bool   // Drain has been called
	agent   *Agent
}

// NewSidecar returns a sidecar that waits for a worker, which announces itself once in each
// heartbeatInterval. agentOptions returns the options of the agent for that worker.
func NewSidecar(heartbeatInterval time.Duration, agentOptions func(worker.Announcement) Options) *Sidecar {
	s := &Sidecar{agentOptions: agentOptions, changed: make(chan struct{}, 1), starts: starts{heartbeatInterval: heartbeatInterval}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.background.Go(s.reconcile)
	return s
}

// SetWorker records a heartbeat of the worker, unless it is late or names a start that is not
// the present one; see starts. It returns false for one that lacks the start of a worker whose
// start is known: nothing shows that the worker has restarted.
func (s *Sidecar) SetWorker(a worker.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, present := s.announcedLocked()
	if present && before.ID == a.ID && before.Born != 0 && a.Born == 0 {
		return false
	}
	if !s.starts.announce(time.Now(), a) {
		return true
	}
	sameWorker := present && before.SameInstance(a)
	if !sameWorker {
		klog.InfoS("agent: Worker announced", "worker", a.ID, "born", a.Born, "service", a.Service, "addr", a.Addr, "cpu", a.Capacity.CPU)
	}
	if !sameWorker || a.Draining != before.Draining {
		s.signalChange()
	}
	return true
}

// Worker returns the latest announcement of the worker. ok is false if there is none.
func (s *Sidecar) Worker() (latest worker.Announcement, ok bool) { return s.latestWorker() }

// RemoveWorker records that the worker has ended.
func (s *Sidecar) RemoveWorker(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if latest, ok := s.announcedLocked(); !ok || latest.ID != id {
		return
	}
	klog.InfoS("agent: Worker left", "worker", id)
	s.starts.present = nil
	s.signalChange()
}

// WorkerRestarted records that a start of the worker is over: a connection to its address has
// reached another one. The agent of that start can't run tasks any more.
func (s *Sidecar) WorkerRestarted(ended worker.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.starts.end(ended) {
		return
	}
	latest, present := s.announcedLocked()
	klog.InfoS("agent: Worker restarted", "worker", ended.ID, "born", ended.Born, "presentKnown", present, "presentBorn", latest.Born)
	s.signalChange()
}

func (s *Sidecar) signalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// reconcile starts, drains and closes the agent until it matches the latest
// announcement, after each change, until Close.
func (s *Sidecar) reconcile() {
	var served worker.Announcement
	var agent *Agent
	draining := false
	for s.ctx.Err() == nil {
		want, present := s.latestWorker()
		switch {
		case agent != nil && (!present || !want.SameInstance(served) || draining && !want.Draining):
			s.setAgent(nil)
			agent.Close()
			agent = nil
			continue
		case agent == nil && s.acceptsTasks(want):
			served, draining = want, false
			agent = s.startAgent(want)
			s.setAgent(agent)
			continue
		case agent != nil && want.Draining && !draining:
			draining = true
			drainingAgent := agent
			s.background.Go(func() { s.drainAgent(drainingAgent) })
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
		}
	}
}

// acceptsTasks reports whether w is the present instance of the worker, the worker doesn't
// drain and the sidecar isn't leaving.
func (s *Sidecar) acceptsTasks(w worker.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest, present := s.announcedLocked()
	return present && latest.SameInstance(w) && !latest.Draining && !s.leaving
}

func (s *Sidecar) latestWorker() (latest worker.Announcement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcedLocked()
}

// announcedLocked returns the latest announcement of the present start of the worker. ok is
// false if there is none. The caller holds mu.
func (s *Sidecar) announcedLocked() (latest worker.Announcement, ok bool) {
	if s.starts.present == nil {
		return worker.Announcement{}, false
	}
	return s.starts.present.latest, true
}

func (s *Sidecar) currentAgent() *Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent
}

func (s *Sidecar) setAgent(a *Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agent = a
}

// restartDelay is the time between two attempts to start an agent. Without it a start
// that fails at once would be repeated in a busy loop.
const restartDelay = 200 * time.Millisecond

// startAgent starts an agent for a worker. It returns nil after restartDelay when the
// start fails, the worker accepts no tasks any more or the sidecar is closed.
func (s *Sidecar) startAgent(w worker.Announcement) *Agent {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go s.cancelWhenRefused(ctx, cancel, w)
	a, err := Start(ctx, s.agentOptions(w))
	if err != nil {
		klog.ErrorS(err, "agent: Start failed", "worker", w.ID)
		clock.Sleep(s.ctx, restartDelay)
		return nil
	}
	return a
}

// cancelWhenRefused cancels the start of an agent when its worker accepts no tasks any more:
// it is gone, drains, or another instance has announced itself. It consumes change signals,
// so reconcile has to compare the latest announcement after each start.
func (s *Sidecar) cancelWhenRefused(ctx context.Context, cancel context.CancelFunc, w worker.Announcement) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		if !s.acceptsTasks(w) {
			cancel()
		}
	}
}

func (s *Sidecar) drainAgent(a *Agent) {
	if err := a.Drain(s.ctx); err != nil {
		klog.ErrorS(err, "agent: Drain failed")
	}
}

// Ready returns nil if new tasks are accepted, or the reason why they are not.
func (s *Sidecar) Ready() error {
	if a := s.currentAgent(); a != nil {
		return a.Ready()
	}
	return verdict.Refuse(verdict.NoUpstream, "no worker has announced itself")
}

// Dump returns the agent's state as a value that encodes to JSON, or nil if no agent
// runs.
func (s *Sidecar) Dump() any {
	if a := s.currentAgent(); a != nil {
		return a.Dump()
	}
	return nil
}

// Drain drains the agent, if one runs. No other one is started from then on.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.signalChange()
	if a := s.currentAgent(); a != nil {
		return a.Drain(ctx)
	}
	return nil
}

// Close stops the sidecar and its agent without a drain.
func (s *Sidecar) Close() error {
	s.cancel()
	s.background.Wait()
	if a := s.currentAgent(); a != nil {
		return a.Close()
	}
	return nil
}
