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

// Sidecar runs one agent for each life of the worker beside it, from the
// heartbeats that the worker sends.
type Sidecar struct {
	options func(worker.Announcement) Options

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	latest  worker.Announcement
	present bool // a worker has announced itself and has not left
	agent   *Agent
}

// NewSidecar waits for a worker. options gives the options of an agent for it.
func NewSidecar(options func(worker.Announcement) Options) *Sidecar {
	s := &Sidecar{options: options, wake: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.run)
	return s
}

// Announce takes in a heartbeat. One that was overtaken by a later one of the
// same life is ignored.
func (s *Sidecar) Announce(a worker.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := s.present && s.latest.SameInstance(a)
	if same && a.Sequence < s.latest.Sequence {
		return
	}
	changed := !same || a.Draining != s.latest.Draining
	if !same {
		klog.InfoS("agent: Worker announced", "worker", a.ID, "born", a.Born, "service", a.Service, "addr", a.Addr, "cpu", a.Capacity.CPU)
	}
	s.latest, s.present = a, true
	if changed {
		s.kick()
	}
}

// Left takes in that a worker has ended.
func (s *Sidecar) Left(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.present || s.latest.ID != id {
		return
	}
	klog.InfoS("agent: Worker left", "worker", id)
	s.present = false
	s.kick()
}

func (s *Sidecar) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run brings the agent in line with the latest announcement.
func (s *Sidecar) run() {
	var served worker.Announcement
	var agent *Agent
	draining := false
	for s.ctx.Err() == nil {
		want, present := s.wanted()
		switch {
		case agent != nil && (!present || !want.SameInstance(served)):
			s.store(nil)
			agent.Close()
			agent = nil
			continue
		case agent == nil && present && !want.Draining:
			served, draining = want, false
			agent = s.open(want)
			s.store(agent)
			continue
		case agent != nil && want.Draining && !draining:
			draining = true
			leaving := agent
			s.done.Go(func() { s.drain(leaving) })
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
	}
}

func (s *Sidecar) wanted() (worker.Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest, s.present
}

func (s *Sidecar) current() *Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent
}

func (s *Sidecar) store(a *Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agent = a
}

// reopenPause is the time between two attempts to start an agent.
const reopenPause = 200 * time.Millisecond

// open starts an agent for a worker. It returns nil after a pause when that
// failed, when the worker's life is over, or when the process ends.
func (s *Sidecar) open(w worker.Announcement) *Agent {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go s.cancelWhenReplaced(ctx, cancel, w)
	a, err := Start(ctx, s.options(w))
	if err != nil {
		klog.ErrorS(err, "agent: Start failed", "worker", w.ID)
		clock.Sleep(s.ctx, reopenPause)
		return nil
	}
	return a
}

// cancelWhenReplaced ends the start of an agent whose worker is gone. Starting
// again is left to run, which looks at the announcement after each start.
func (s *Sidecar) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, w worker.Announcement) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if want, present := s.wanted(); !present || !want.SameInstance(w) {
			cancel()
		}
	}
}

func (s *Sidecar) drain(a *Agent) {
	if err := a.Drain(s.ctx); err != nil {
		klog.ErrorS(err, "agent: Drain failed")
	}
}

// Ready returns why no new work is taken, or nil.
func (s *Sidecar) Ready() error {
	if a := s.current(); a != nil {
		return a.Ready()
	}
	return verdict.Refuse(verdict.NoUpstream, "no worker has announced itself")
}

// Dump returns the state of the agent for JSON, nil without one.
func (s *Sidecar) Dump() any {
	if a := s.current(); a != nil {
		return a.Dump()
	}
	return nil
}

// Drain finishes the work in progress of a planned stop.
func (s *Sidecar) Drain(ctx context.Context) error {
	if a := s.current(); a != nil {
		return a.Drain(ctx)
	}
	return nil
}

// Close stops the agent at once.
func (s *Sidecar) Close() error {
	s.cancel()
	s.done.Wait()
	if a := s.current(); a != nil {
		return a.Close()
	}
	return nil
}
