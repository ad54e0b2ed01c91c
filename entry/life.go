package entry

import (
	"context"
	"net"
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

// incarnation is one registration of the entry, from its start to the loss of the
// session. Its event loop owns core, agents, requests, deletions and
// latestEntry.
type incarnation struct {
	entry   *Entry
	self    ids.Incarnation
	session Session
	loop    *coreLoop
	core    *dispatch.Core

	parser     configParser  // used by start, then by followView
	lastTickAt time.Duration // owned by the loop
	agents     map[ids.Incarnation]*agentConn
	requests   map[ids.TaskKey]*request
	deletions  []*batchDeletion

	latestEntry ids.Incarnation // the entry that was registered last in the views so far

	agentsUnreachable atomic.Bool                      // the core has no usable agent
	cluster           atomic.Pointer[settings.Cluster] // configuration in force
	queues            atomic.Pointer[QueueTable]

	ctx            context.Context // canceled by end
	cancel         context.CancelFunc
	endOnce        sync.Once
	pendingRecords sync.WaitGroup // goroutines that record the ends of jobs
}

// firstAgentWait is how long after its start an incarnation without a usable agent
// still accepts callers. The agents may be starting at the same time.
const firstAgentWait = 2 * time.Second

// request is a single request or a batch that waits for its outcome.
type request struct {
	key     ids.TaskKey
	batch   wire.BatchID  // of a batch, zero for a single request
	conn    net.Conn      // of the caller of a batch, nil if it is not watched
	done    chan struct{} // closed once outcome or lostErr is set
	outcome dispatch.Outcome
	lostErr *verdict.Error
}

func newIncarnation(e *Entry, s Session) *incarnation {
	inc := &incarnation{
		entry: e, self: s.Incarnation(), session: s,
		agents:   map[ids.Incarnation]*agentConn{},
		requests: map[ids.TaskKey]*request{},
		core:     dispatch.New(dispatch.Config{Self: s.Incarnation(), Leases: e.opts.Leases}, e.opts.Seed),
	}
	def := settings.DefaultCluster()
	inc.cluster.Store(&def)
	inc.ctx, inc.cancel = context.WithCancel(context.Background())
	inc.loop = &coreLoop{Loop: eventloop.New(e.opts.TickMin, inc.tick), refreshCurrent: inc.refreshCurrent}
	return inc
}

func (inc *incarnation) start() {
	inc.loop.Start()
	v := inc.session.View()
	c := inc.parser.parse(v)
	inc.loop.Call(func(now time.Duration) { inc.applyView(now, v, c) })
	inc.loop.Call(inc.core.BeginStartup)
	go inc.followView()
}

func (inc *incarnation) hasEnded() bool { return inc.ctx.Err() != nil }

// end stops all work of the incarnation. Waiting callers get an error that the
// outcome is unknown; open jobs belong to their next owner.
func (inc *incarnation) end() {
	inc.endOnce.Do(func() {
		endedAt := time.Now()
		inc.entry.formerEndedAt.Store(&endedAt)
		inc.cancel()
		inc.loop.Stop()
		lostErr := inc.ownershipLostError()
		for _, a := range inc.agents { // the loop that owns agents and requests has stopped
			a.stop()
		}
		for _, r := range inc.requests {
			r.lostErr = lostErr
			close(r.done)
		}
		inc.entry.jobs.dropAllLost(inc, lostErr)
		inc.session.Close()
	})
}

// followView posts each change of the registry view to the loop.
func (inc *incarnation) followView() {
	for {
		select {
		case <-inc.ctx.Done():
			return
		case <-inc.session.Changes():
			v := inc.session.View()
			c := inc.parser.parse(v)
			inc.loop.Post(func(now time.Duration) { inc.applyView(now, v, c) })
		}
	}
}

// applyView passes a configuration, unless it is nil, and the members and the assigned
// jobs of a view to the core.
func (inc *incarnation) applyView(now time.Duration, v *member.View, c *parsedConfig) {
	if c != nil {
		inc.cluster.Store(&c.cluster)
		inc.queues.Store(c.queues)
		inc.core.SetConfig(c.dispatch)
	}
	inc.core.SetUpstreams(now, v.Members)
	inc.syncAgentConns(v.Members)
	inc.shareDeletions()
	for _, a := range v.Assigned {
		inc.takeOver(now, a)
	}
}

func (inc *incarnation) retention() time.Duration {
	return time.Duration(inc.cluster.Load().Jobs.Retention)
}

// takeOver starts the takeover of a job that the control group has assigned to this
// entry.
func (inc *incarnation) takeOver(now time.Duration, a wire.Assigned) {
	if a.Record.State != wire.JobOpen {
		return
	}
	j, added := inc.addJob(a.Record, a.Ownership)
	if !added {
		return
	}
	klog.Infof("entry: Job %d taken over at epoch %d.", j.id, j.epoch)
	inc.core.Submit(now, dispatch.Job{
		JobSpec: dispatch.JobSpec{
			Team: j.team, Service: j.service, Tasks: j.taskCount, Deadline: now + timeLeft(a.Record),
		},
		ID: j.id, Epoch: j.epoch, Takeover: true,
	})
}

// timeLeft returns the time until the deadline of a job. A record without a deadline
// has the longest one that a caller may ask for.
func timeLeft(rec wire.JobRecord) time.Duration {
	at := time.UnixMilli(rec.Deadline)
	if rec.Deadline == 0 {
		at = time.UnixMilli(rec.Admitted).Add(maxDeadline)
	}
	return min(max(time.Until(at), 0), maxDeadline)
}

// addJob adds the row of an open job to the job table. Like jobTable.add, it returns
// false with the existing row if there is one that stays.
func (inc *incarnation) addJob(rec wire.JobRecord, own wire.Ownership) (*job, bool) {
	j, added := inc.entry.jobs.add(&job{
		id: own.Job, epoch: own.Epoch, team: rec.Team, service: rec.Service,
		taskCount: rec.Tasks, key: rec.Key, bodyHash: rec.BodyHash, incarnation: inc,
	})
	if added && inc.hasEnded() {
		inc.entry.jobs.dropAllLost(inc, inc.ownershipLostError()) // end may have cleared the table before the row was added
	}
	return j, added
}

func (inc *incarnation) ownershipLostError() *verdict.Error {
	return verdict.Unknown(verdict.OwnerLost, "the registration of entry incarnation %d has ended; ask again", inc.self).
		After(defaultRetryAfter)
}

// refreshCurrent tells the core whether the view is current.
func (inc *incarnation) refreshCurrent() { inc.core.SetCurrent(inc.session.Current(time.Now())) }

// tick advances the core, carries out its output, and returns the time of the next
// tick.
func (inc *incarnation) tick(now time.Duration) time.Duration {
	inc.refreshCurrent()
	if now-inc.lastTickAt > inc.entry.leases().Notice {
		inc.cancelForGoneCallers(now)
	}
	inc.lastTickAt = now
	out := inc.core.Tick(now)
	inc.agentsUnreachable.Store(now > firstAgentWait && !inc.core.HasUsableUpstream())
	for _, e := range out.Send {
		if a := inc.agents[e.To]; a != nil {
			a.send(e.Exchange)
		}
	}
	for _, c := range out.Claims {
		inc.sendClaim(c)
	}
	for _, o := range out.Finished {
		inc.deliverOutcome(o)
	}
	inc.endDeletions()
	return out.NextTick
}

// deliverOutcome passes an outcome of the core to the callers that wait for it, and
// has the end of a job recorded.
func (inc *incarnation) deliverOutcome(o dispatch.Outcome) {
	if o.Job == 0 {
		if r := inc.requests[o.Request]; r != nil {
			delete(inc.requests, o.Request)
			r.outcome = o
			close(r.done)
		}
		return
	}
	j := inc.entry.jobs.get(o.Job)
	if j == nil || j.epoch != o.Epoch || j.incarnation != inc {
		return
	}
	st := jobStatus(j, o)
	if needsConfirmation(st) {
		inc.pendingRecords.Go(func() { inc.confirmEnd(j, st) })
		return
	}
	inc.endJob(j, st)
	inc.pendingRecords.Go(func() { inc.recordEnd(j, st) })
}

func (inc *incarnation) endJob(j *job, st wire.JobStatus) {
	inc.entry.jobs.end(j, st, time.Now())
	inc.entry.metrics.jobEnded(st)
}

func jobStatus(j *job, o dispatch.Outcome) wire.JobStatus {
	st := wire.JobStatus{Job: j.id, State: o.State, Tasks: j.taskCount, Verdict: verdict.Ran, Reason: verdict.Complete}
	if o.Err != nil {
		st.Verdict, st.Reason, st.Detail = o.Err.Verdict, o.Err.Reason, o.Err.Detail
	}
	if o.State == wire.JobComplete {
		st.Done, st.Results = j.taskCount, o.Results
	}
	return st
}

// waitIdle waits until all jobs and requests of the incarnation have ended and the
// ends of jobs are recorded. Jobs that wait for bodies stay open for their next
// owner.
func (inc *incarnation) waitIdle(ctx context.Context) error {
	for {
		open := 0
		inc.loop.Call(func(time.Duration) {
			open = len(inc.requests)
			for _, j := range inc.entry.jobs.openJobs() {
				if p, ok := inc.core.Progress(j.id); ok && !p.NeedBodies {
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
		case <-time.After(idlePollInterval):
		}
	}
	recorded := make(chan struct{})
	go func() { inc.pendingRecords.Wait(); close(recorded) }()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return verdict.Unknown(verdict.Draining, "the ends of jobs could not be recorded before the drain was cut off")
	}
}

// updateMetrics updates the gauges of the core and the configuration version.
func (inc *incarnation) updateMetrics(m *metrics) {
	inc.loop.Call(func(time.Duration) { m.core(inc.core.WaitingTasks(), inc.core.Messages()) })
	m.configVersion.Update(float64(inc.session.View().ConfigVer))
}

// dump is the state of an entry as shown to operators.
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

func (inc *incarnation) dump() dump {
	d := dump{Incarnation: inc.self, Current: inc.session.Current(time.Now()), Draining: inc.entry.refusingWork.Load()}
	d.OpenJobs, d.Rows, d.AnswerBytes = inc.entry.jobs.sizes()
	inc.loop.Call(func(time.Duration) {
		d.Requests = len(inc.requests)
		d.Core = inc.core.Dump()
		for _, a := range inc.agents {
			d.Agents = append(d.Agents, a.dump())
		}
	})
	return d
}
