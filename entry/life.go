package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/eventloop"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// life is one incarnation of the entry. Its loop owns core, agents and requests.
type life struct {
	entry   *Entry
	self    ids.Incarnation
	session Session
	loop    *coreLoop
	core    *dispatch.Core

	configVer uint64 // of the configuration that was read last; the loop owns it
	agents    map[ids.Incarnation]*agentConn
	requests  map[ids.TaskKey]*request

	seq    atomic.Uint64                    // of single requests
	cutOff atomic.Bool                      // no agent can be reached
	jobs   atomic.Pointer[settings.Cluster] // configuration in force
	queues atomic.Pointer[queueTable]

	ctx    context.Context // ends with the life
	cancel context.CancelFunc
	once   sync.Once
	work   sync.WaitGroup // completion records on their way
}

// cutOffAfter is how long after its start a life without a usable agent still takes
// callers. Agents may be starting as well.
const cutOffAfter = 2 * time.Second

// request is a single request that waits for its outcome.
type request struct {
	key  ids.TaskKey
	done chan struct{} // closed once out or lost is set
	out  dispatch.Outcome
	lost *verdict.Error
}

func newLife(e *Entry, s Session) *life {
	l := &life{
		entry: e, self: s.Incarnation(), session: s,
		agents:   map[ids.Incarnation]*agentConn{},
		requests: map[ids.TaskKey]*request{},
		core:     dispatch.New(dispatch.Config{Self: s.Incarnation()}, e.opts.Seed),
	}
	def := settings.DefaultCluster()
	l.jobs.Store(&def)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.loop = &coreLoop{Loop: eventloop.New(e.opts.TickMin, l.tick), refresh: l.refresh}
	return l
}

func (l *life) start() {
	l.loop.Start()
	l.loop.Call(l.applyView)
	l.loop.Call(l.core.Started)
	go l.follow()
	go l.checkAgents()
}

func (l *life) hasEnded() bool { return l.ctx.Err() != nil }

// end stops all work of the life. Waiting callers are told that the outcome is
// unknown; open jobs belong to their next owner.
func (l *life) end() {
	l.once.Do(func() {
		l.cancel()
		l.loop.Stop()
		lost := l.lostError()
		for _, a := range l.agents { // the owner of the tables has ended
			a.stop()
		}
		for _, r := range l.requests {
			r.lost = lost
			close(r.done)
		}
		l.entry.jobs.abandon(l, lost)
		l.session.Close()
	})
}

// follow passes changes of the view on to the loop.
func (l *life) follow() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.session.Changes():
			l.loop.Post(l.applyView)
		}
	}
}

func (l *life) applyView(now time.Duration) {
	v := l.session.View()
	if v.ConfigVer != l.configVer {
		l.configVer = v.ConfigVer
		l.applyConfig(v)
	}
	l.core.SetUpstreams(now, v.Members)
	l.connect(v.Members)
	for _, a := range v.Assigned {
		l.takeOver(now, a)
	}
}

// applyConfig puts the configuration of a view in force. Most views differ in members
// only, and reading a configuration with many queues takes milliseconds.
func (l *life) applyConfig(v *member.View) {
	c, err := settings.FromPairs(v.Config)
	if err != nil {
		klog.Errorf("entry: Configuration %d is not usable: %v.", v.ConfigVer, err)
		return
	}
	l.jobs.Store(&c)
	l.queues.Store(newQueueTable(v.ConfigVer, c.Queues))
	l.core.SetConfig(dispatch.FromCluster(c))
}

func (l *life) retention() time.Duration {
	return time.Duration(l.jobs.Load().Jobs.Retention)
}

// takeOver starts the takeover of a job that the control group assigned.
func (l *life) takeOver(now time.Duration, a wire.Assigned) {
	if a.Record.State != wire.JobOpen {
		return
	}
	j, added := l.addJob(a.Record, a.Ownership)
	if !added {
		return
	}
	klog.Infof("entry: Job %d taken over at epoch %d.", j.id, j.epoch)
	l.core.Submit(now, dispatch.Job{
		JobSpec: dispatch.JobSpec{
			Team: j.team, Service: j.service, Tasks: j.tasks, Deadline: now + timeLeft(a.Record),
		},
		ID: j.id, Epoch: j.epoch, Takeover: true,
	})
}

// timeLeft returns the time until a job's deadline. A record without a deadline
// has the longest one that a caller may ask for.
func timeLeft(rec wire.JobRecord) time.Duration {
	at := time.UnixMilli(rec.Deadline)
	if rec.Deadline == 0 {
		at = time.UnixMilli(rec.Admitted).Add(maxDeadline)
	}
	return min(max(time.Until(at), 0), maxDeadline)
}

func (l *life) addJob(rec wire.JobRecord, own wire.Ownership) (*job, bool) {
	j, added := l.entry.jobs.add(&job{
		id: own.Job, epoch: own.Epoch, team: rec.Team, service: rec.Service,
		tasks: rec.Tasks, key: rec.Key, hash: rec.BodyHash, life: l,
	})
	if added && l.hasEnded() {
		l.entry.jobs.abandon(l, l.lostError()) // end may have passed over the table before
	}
	return j, added
}

func (l *life) lostError() *verdict.Error {
	return verdict.Unknown(verdict.OwnerLost, "the registration of entry incarnation %d has ended; ask again", l.self).
		After(defaultRetryAfter)
}

// refresh tells the core whether the view is current.
func (l *life) refresh() { l.core.SetCurrent(l.session.Current(time.Now())) }

func (l *life) tick(now time.Duration) time.Duration {
	l.refresh()
	out := l.core.Tick(now)
	l.cutOff.Store(now > cutOffAfter && !l.core.Usable())
	for _, e := range out.Send {
		if a := l.agents[e.To]; a != nil {
			a.send(e.Exchange)
		}
	}
	for _, c := range out.Claims {
		l.claim(c)
	}
	for _, o := range out.Finished {
		l.finish(o)
	}
	return out.NextTick
}

// finish hands an outcome to those who wait for it.
func (l *life) finish(o dispatch.Outcome) {
	if o.Job == 0 {
		if r := l.requests[o.Request]; r != nil {
			delete(l.requests, o.Request)
			r.out = o
			close(r.done)
		}
		return
	}
	j := l.entry.jobs.get(o.Job)
	if j == nil || j.epoch != o.Epoch || j.life != l {
		return
	}
	st := statusFrom(j, o)
	if doubtful(st) {
		l.work.Go(func() { l.confirm(j, st) })
		return
	}
	l.endJob(j, st)
	l.work.Go(func() { l.record(j, st) })
}

func (l *life) endJob(j *job, st wire.JobStatus) {
	l.entry.jobs.end(j, st, time.Now())
	l.entry.metrics.jobEnded(st)
}

func statusFrom(j *job, o dispatch.Outcome) wire.JobStatus {
	st := wire.JobStatus{Job: j.id, State: o.State, Tasks: j.tasks, Verdict: verdict.Ran, Reason: verdict.Complete}
	if o.Err != nil {
		st.Verdict, st.Reason, st.Detail = o.Err.Verdict, o.Err.Reason, o.Err.Detail
	}
	if o.State == wire.JobComplete {
		st.Done, st.Results = j.tasks, o.Results
	}
	return st
}

// waitIdle waits until all jobs and requests of the life have ended and their
// ends are recorded. Jobs that wait for bodies stay open for their next owner.
func (l *life) waitIdle(ctx context.Context) error {
	for {
		open := 0
		l.loop.Call(func(time.Duration) {
			open = len(l.requests)
			for _, j := range l.entry.jobs.openJobs() {
				if p, ok := l.core.Progress(j.id); ok && !p.NeedBodies {
					open++
				}
			}
		})
		if open == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return verdict.Unknown(verdict.Draining, "%d jobs and requests did not end before the drain was cut off", open)
		case <-time.After(quiescePoll):
		}
	}
	recorded := make(chan struct{})
	go func() { l.work.Wait(); close(recorded) }()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return verdict.Unknown(verdict.Draining, "the ends of jobs could not be recorded before the drain was cut off")
	}
}

// measure brings the metrics of the core up to date.
func (l *life) measure(m *metrics) {
	l.loop.Call(func(time.Duration) { m.core(l.core.Waiting(), l.core.Messages()) })
	m.config.Update(float64(l.session.View().ConfigVer))
}

// dump is the state of an entry for operators.
type dump struct {
	Incarnation ids.Incarnation `json:"incarnation"`
	Current     bool            `json:"current"`
	Draining    bool            `json:"draining"`
	OpenJobs    int             `json:"open_jobs"`
	Rows        int             `json:"rows"`
	AnswerBytes int64           `json:"answer_bytes"`
	Requests    int             `json:"requests"`
	Agents      []agentDump     `json:"agents"`
	Core        any             `json:"core"`
}

func (l *life) dump() dump {
	d := dump{Incarnation: l.self, Current: l.session.Current(time.Now()), Draining: l.entry.draining.Load()}
	d.OpenJobs, d.Rows, d.AnswerBytes = l.entry.jobs.sizes()
	l.loop.Call(func(time.Duration) {
		d.Requests = len(l.requests)
		d.Core = l.core.Dump()
		for _, a := range l.agents {
			d.Agents = append(d.Agents, a.dump())
		}
	})
	return d
}
