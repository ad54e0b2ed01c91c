package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// fakeControl replaces the control group. It has one log index, members and jobs.
type fakeControl struct {
	mu       sync.Mutex
	index    uint64
	config   []wire.Pair
	members  []wire.Member
	jobs     map[ids.Job]*wire.JobRecord
	keys     map[string]ids.Job
	sessions []*fakeSession
	// loseNextReply drops the reply to the next admission after its record is made.
	loseNextReply bool
	// noQuorum makes reads and admissions fail.
	noQuorum bool
	// lookups counts the lookups of keys.
	lookups int
}

func newFakeControl(c settings.Cluster) *fakeControl {
	return &fakeControl{
		config: settings.Flatten(c),
		jobs:   map[ids.Job]*wire.JobRecord{}, keys: map[string]ids.Job{},
	}
}

func testCluster() settings.Cluster {
	c := settings.DefaultCluster()
	svc := settings.DefaultService()
	svc.Slots = 4
	c.Services["s"] = svc
	c.Teams["t"] = settings.DefaultTeam()
	return c
}

// fakeSession is the session of one incarnation with a fakeControl.
type fakeSession struct {
	draining atomic.Bool
	control  *fakeControl
	inc      ids.Incarnation
	changes  chan struct{}
	gone     chan struct{}

	mu     sync.Mutex
	view   *member.View
	stale  bool
	frozen bool // receives no further views and no notice of its end
}

func (c *fakeControl) open(self wire.Registration) *fakeSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	s := &fakeSession{control: c, inc: ids.Incarnation(c.index), changes: make(chan struct{}, 1), gone: make(chan struct{})}
	c.members = append(c.members, wire.Member{Registration: self, Incarnation: s.inc})
	c.sessions = append(c.sessions, s)
	c.publish()
	return s
}

// publish sends every session a view of the current state. The caller holds c.mu.
func (c *fakeControl) publish() {
	for _, s := range c.sessions {
		v := &member.View{
			Version: ids.Version(c.index), ConfigVer: 1, Config: c.config,
			Members: append([]wire.Member(nil), c.members...),
		}
		for _, rec := range c.jobs {
			if rec.Owner == s.inc && rec.Epoch > 1 && rec.State == wire.JobOpen {
				v.Assigned = append(v.Assigned, wire.Assigned{
					Ownership: wire.Ownership{Job: rec.Job, Epoch: rec.Epoch}, Record: *rec,
				})
			}
		}
		s.set(v)
	}
}

func (s *fakeSession) set(v *member.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen {
		return
	}
	s.view = v
	select {
	case s.changes <- struct{}{}:
	default:
	}
}

// expire ends an incarnation and assigns its open jobs to newOwner.
func (c *fakeControl) expire(inc, newOwner ids.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	for i := range c.members {
		if c.members[i].Incarnation == inc {
			c.members[i].Expired = ids.Version(c.index)
		}
	}
	for _, rec := range c.jobs {
		if rec.Owner == inc && rec.State == wire.JobOpen {
			rec.Owner = newOwner
			rec.Epoch++
		}
	}
	for _, s := range c.sessions {
		if s.inc == inc && !s.frozen {
			close(s.gone)
		}
	}
	c.publish()
}

// freeze keeps the session of an incarnation from being told of anything.
func (c *fakeControl) freeze(inc ids.Incarnation) {
	s := c.session(inc)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = true
}

func (c *fakeControl) session(inc ids.Incarnation) *fakeSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		if s.inc == inc {
			return s
		}
	}
	return nil
}

func (c *fakeControl) record(id ids.Job) wire.JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.jobs[id]
}

func (s *fakeSession) Incarnation() ids.Incarnation { return s.inc }
func (s *fakeSession) Changes() <-chan struct{}     { return s.changes }
func (s *fakeSession) Ended() <-chan struct{}       { return s.gone }
func (s *fakeSession) SetDraining(d bool)           { s.draining.Store(d) }
func (s *fakeSession) RenewNow()                    {}
func (s *fakeSession) Close()                       {}

func (s *fakeSession) View() *member.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSession) Current(time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *fakeSession) setStale(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = v
}

func (s *fakeSession) Leave(context.Context) error {
	s.control.expire(s.inc, 0)
	return nil
}

func (s *fakeSession) Admit(_ context.Context, item wire.AdmitItem) (wire.AdmitResult, error) {
	c := s.control
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noQuorum {
		return wire.AdmitResult{}, verdict.Refuse(verdict.NoQuorum, "no leader")
	}
	name := string(item.Team) + "/" + item.Key
	if id, ok := c.keys[name]; ok && item.Key != "" {
		rec := *c.jobs[id]
		return wire.AdmitResult{Duplicate: &rec}, nil
	}
	c.index++
	rec := &wire.JobRecord{
		Job: ids.Job(c.index), Epoch: 1, Owner: s.inc, Team: item.Team, Service: item.Service,
		Key: item.Key, BodyHash: item.BodyHash, Tasks: item.Tasks, State: wire.JobOpen,
		Admitted: time.Now().UnixMilli(), Deadline: item.Deadline,
	}
	c.jobs[rec.Job] = rec
	if item.Key != "" {
		c.keys[name] = rec.Job
	}
	if c.loseNextReply {
		c.loseNextReply = false
		return wire.AdmitResult{}, verdict.Refuse(verdict.NoQuorum, "the reply was lost")
	}
	return wire.AdmitResult{Admitted: &wire.Ownership{Job: rec.Job, Epoch: 1}}, nil
}

func (s *fakeSession) Complete(_ context.Context, item wire.CompleteItem) error {
	c := s.control
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.jobs[item.Job]; rec != nil && rec.Epoch == item.Epoch && rec.State == wire.JobOpen {
		rec.State, rec.Verdict, rec.Reason = item.State, item.Verdict, item.Reason
	}
	return nil
}

func (s *fakeSession) Job(_ context.Context, id ids.Job) (wire.JobRecord, error) {
	c := s.control
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.jobs[id]; rec != nil {
		return *rec, nil
	}
	return wire.JobRecord{}, verdict.Refuse(verdict.UnknownJob, "no job %d", id)
}

func (s *fakeSession) JobByKey(_ context.Context, team ids.Team, key string) (wire.JobRecord, error) {
	c := s.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookups++
	if c.noQuorum {
		return wire.JobRecord{}, verdict.Refuse(verdict.NoQuorum, "no leader")
	}
	if id, ok := c.keys[string(team)+"/"+key]; ok {
		return *c.jobs[id], nil
	}
	return wire.JobRecord{}, verdict.Refuse(verdict.UnknownJob, "no job with key %q", key)
}

func (c *fakeControl) startEntry(t *testing.T, node ids.Node, o Options) *Entry {
	t.Helper()
	o.Node = node
	o.Session = func(_ context.Context, self wire.Registration) (Session, error) { return c.open(self), nil }
	e, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	trackForDump(t, e)
	return e
}

func (c *fakeControl) startAgent(t *testing.T, node ids.Node, upstream string) *agent.Agent {
	t.Helper()
	return c.startAgentWith(t, node, upstream, agent.Options{})
}

// startAgentWith sets the other options of o.
func (c *fakeControl) startAgentWith(t *testing.T, node ids.Node, upstream string, o agent.Options) *agent.Agent {
	t.Helper()
	o.Node, o.Service, o.Upstream, o.Slots, o.Connections = node, "s", upstream, 4, 4
	o.Session = func(_ context.Context, self wire.Registration) (agent.Session, error) { return c.open(self), nil }
	a, err := agent.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	trackForDump(t, a)
	return a
}

// setNoQuorum sets whether the group is without a quorum, and returns the number of
// lookups of keys so far.
func (c *fakeControl) setNoQuorum(v bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noQuorum = v
	return c.lookups
}
