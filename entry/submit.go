package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/dispatch"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// submit admits a job and returns its state, after the caller's wait.
func (l *life) submit(ctx context.Context, s submission, w watch) (wire.JobStatus, *verdict.Error) {
	arrived := l.loop.Now()
	if err := l.precheck(s, arrived); err != nil {
		return l.refuse(ctx, s, arrived, w, err)
	}
	actx, cancel := context.WithTimeout(ctx, min(l.entry.opts.AdmitTimeout, s.Deadline))
	defer cancel()
	r, err := l.session.Admit(actx, wire.AdmitItem{
		Team: s.Team, Service: s.Service, Key: s.Key, KeyTime: s.KeyTime,
		BodyHash: s.BodyHash, Tasks: len(s.Tasks), Deadline: time.Now().Add(s.Deadline).UnixMilli(),
	})
	switch {
	case err != nil:
		return wire.JobStatus{}, s.unchecked(verdict.FromError(err))
	case r.Err != nil && r.Err.Reason == verdict.Fenced:
		return l.refuse(ctx, s, arrived, w, r.Err) // it comes before the look at the key
	case r.Err != nil:
		l.entry.metrics.refused.Inc(1)
		return wire.JobStatus{}, r.Err
	case r.Duplicate != nil:
		return l.duplicate(ctx, *r.Duplicate, s, arrived, w)
	case r.Admitted == nil:
		return wire.JobStatus{}, verdict.Refuse(verdict.Internal, "the control group gave no result")
	}
	j := l.begin(*r.Admitted, s, arrived)
	st, lost := l.entry.await(j, w)
	if lost != nil {
		return l.entry.follow(ctx, j, &s, w, lost)
	}
	return st, nil
}

// precheck refuses what need not be recorded first.
func (l *life) precheck(s submission, arrived time.Duration) *verdict.Error {
	if err := l.entry.refusal(l); err != nil {
		return err
	}
	var refused *verdict.Error
	ok := l.loop.Call(func(now time.Duration) {
		refused = l.core.Admit(now, s.spec(arrived))
	})
	if !ok {
		return verdict.Refuse(verdict.Stale, "the entry is registering again")
	}
	return refused
}

func (s submission) spec(arrived time.Duration) dispatch.JobSpec {
	return dispatch.JobSpec{
		Team: s.Team, Service: s.Service, Tasks: len(s.Tasks),
		RunTime: s.RunTime, Deadline: arrived + s.Deadline,
	}
}

// begin starts an admitted job, once.
func (l *life) begin(own wire.Ownership, s submission, arrived time.Duration) *job {
	rec := wire.JobRecord{Team: s.Team, Service: s.Service, Tasks: len(s.Tasks), Key: s.Key, BodyHash: s.BodyHash}
	j, added := l.addJob(rec, own)
	if added {
		l.loop.Post(func(now time.Duration) {
			l.core.Submit(now, dispatch.Job{JobSpec: s.spec(arrived), ID: own.Job, Epoch: own.Epoch, Specs: s.Tasks})
		})
	}
	return j
}

// duplicate answers a resubmission with the state of the first submission, and
// hands over the bodies if the owner lacks them.
func (l *life) duplicate(ctx context.Context, rec wire.JobRecord, s submission, arrived time.Duration, w watch) (wire.JobStatus, *verdict.Error) {
	if !rec.HasBody(s.BodyHash) || rec.Tasks != len(s.Tasks) || rec.Service != s.Service {
		return wire.JobStatus{}, verdict.Refuse(verdict.KeyReuse, "the key belongs to job %d, which has another body", rec.Job)
	}
	if rec.State != wire.JobOpen {
		return l.stateOf(ctx, rec, w)
	}
	if rec.Owner == l.self {
		l.supply(rec, s, arrived)
		return l.stateOf(ctx, rec, w)
	}
	owner, ok := l.session.View().Member(rec.Owner)
	if !ok || !owner.Live() {
		return openState(rec), nil
	}
	// After a takeover the bodies are sent in any case: the new owner may not
	// know yet whether it needs them.
	if rec.Epoch == 1 {
		_, err := l.entry.peers.state(ctx, owner.Addr, rec.Job, 0)
		if err == nil {
			return l.stateOf(ctx, rec, w)
		}
		if err.Reason != verdict.UnknownJob {
			return openState(rec), nil // the owner can't be asked now
		}
	}
	if err := l.entry.peers.bodies(ctx, owner.Addr, wire.Bodies{Job: rec.Job, Tasks: s.Tasks}); err != nil {
		return openState(rec), nil // the caller may submit again
	}
	return l.stateOf(ctx, rec, w)
}

// supply gives this entry the bodies of a job that it owns. A job of the first
// epoch that is not in the table was recorded by an admission whose reply was
// lost; nothing of it has started.
func (l *life) supply(rec wire.JobRecord, s submission, arrived time.Duration) {
	own := wire.Ownership{Job: rec.Job, Epoch: rec.Epoch}
	j := l.entry.jobs.get(rec.Job)
	if rec.Epoch == 1 && j == nil {
		l.begin(own, s, arrived)
	}
	if rec.Epoch == 1 || j != nil && j.isDone() {
		return
	}
	l.loop.Call(func(now time.Duration) {
		l.takeOver(now, wire.Assigned{Ownership: own, Record: rec})
		if err := l.core.Bodies(now, rec.Job, s.Tasks); err != nil {
			klog.Warningf("entry: Bodies of job %d not taken: %v.", rec.Job, err)
		}
	})
}

// state returns the state of any job, after the caller's wait.
func (l *life) state(ctx context.Context, id ids.Job, w watch) (wire.JobStatus, *verdict.Error) {
	if j := l.entry.jobs.get(id); j != nil {
		return l.watchJob(ctx, j, w)
	}
	rec, err := l.lookUp(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return l.stateOf(ctx, rec, w)
}

// watchJob waits for a job of this entry, and then for its next owner if the
// entry loses it.
func (l *life) watchJob(ctx context.Context, j *job, w watch) (wire.JobStatus, *verdict.Error) {
	st, lost := l.entry.await(j, w)
	if lost != nil {
		return l.entry.follow(ctx, j, nil, w, lost)
	}
	return st, nil
}

// follow asks the present owner of a job that this entry has lost. s is the
// submission if the caller has just sent it. It returns lost if there is no
// other owner to ask.
func (e *Entry) follow(ctx context.Context, j *job, s *submission, w watch, lost *verdict.Error) (wire.JobStatus, *verdict.Error) {
	l := e.liveLife(ctx)
	if l == nil {
		return wire.JobStatus{}, lost
	}
	rec, err := l.lookUp(ctx, j.id)
	if err != nil || rec.Epoch <= j.epoch {
		return wire.JobStatus{}, lost
	}
	if s != nil {
		return l.duplicate(ctx, rec, *s, l.loop.Now(), w)
	}
	return l.stateOf(ctx, rec, w)
}

// liveLife returns the present life, and waits for a new one if it has ended.
func (e *Entry) liveLife(ctx context.Context) *life {
	ctx, cancel := context.WithTimeout(ctx, e.opts.AdmitTimeout)
	defer cancel()
	for {
		if l := e.life.Load(); !l.hasEnded() {
			return l
		}
		if !clock.Sleep(ctx, quiescePoll) {
			return nil
		}
	}
}

// lookUp reads the record of a job from the control group.
func (l *life) lookUp(ctx context.Context, id ids.Job) (wire.JobRecord, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, l.entry.opts.AdmitTimeout)
	defer cancel()
	rec, err := l.session.Job(ctx, id)
	if err != nil {
		return rec, verdict.FromError(err)
	}
	return rec, nil
}

// stateOf returns the state of a recorded job from its owner.
func (l *life) stateOf(ctx context.Context, rec wire.JobRecord, w watch) (wire.JobStatus, *verdict.Error) {
	if j := l.entry.jobs.get(rec.Job); j != nil {
		return l.watchJob(ctx, j, w)
	}
	owner, ok := l.session.View().Member(rec.Owner)
	if rec.Owner == l.self || !ok || !owner.Live() {
		return withoutOwner(rec), nil
	}
	st, err := l.entry.peers.state(ctx, owner.Addr, rec.Job, w.left())
	if err != nil {
		return withoutOwner(rec), nil
	}
	return st, nil
}

// withoutOwner is the state of a job whose owner can't be asked. An ended job
// has lost its answer with the owner.
func withoutOwner(rec wire.JobRecord) wire.JobStatus {
	st := openState(rec)
	if rec.State == wire.JobOpen {
		return st
	}
	st.Verdict, st.Reason = rec.Verdict, rec.Reason
	if rec.State == wire.JobComplete {
		st.Reason = verdict.AnswerExpired
	}
	return st
}

func openState(rec wire.JobRecord) wire.JobStatus {
	return wire.JobStatus{Job: rec.Job, State: rec.State, Tasks: rec.Tasks}
}

// await waits for a job of this entry. A caller that leaves does not end it. It
// returns at once when the job needs bodies, which only a caller can supply.
func (e *Entry) await(j *job, w watch) (wire.JobStatus, *verdict.Error) {
	if st, _ := e.jobs.state(j); j.epoch > 1 && !j.isDone() {
		if j.progress(&st); st.NeedBodies {
			return st, nil
		}
	}
	how := w.wait(j.done, e.ctx.Done())
	st, lost := e.jobs.state(j)
	if lost != nil {
		return st, lost
	}
	if st.State != wire.JobOpen {
		return st, nil
	}
	if how == waitStop {
		return st, verdict.Unknown(verdict.Draining, "the entry is stopping; ask for job %d again", j.id)
	}
	j.progress(&st)
	return st, nil
}

// progress fills in how far an open job is.
func (j *job) progress(st *wire.JobStatus) {
	j.life.loop.Call(func(time.Duration) {
		if p, ok := j.life.core.Progress(j.id); ok {
			st.Done, st.NeedBodies = p.Done, p.NeedBodies
		}
	})
}

// cancelWait bounds the wait for the outcome of a cancellation.
const cancelWait = 2 * time.Second

// cancelJob ends a job that nobody needs any more and returns its state.
func (l *life) cancelJob(ctx context.Context, id ids.Job, w watch) (wire.JobStatus, *verdict.Error) {
	if j := l.entry.jobs.get(id); j != nil {
		j.life.loop.Post(func(now time.Duration) { j.life.core.Cancel(now, id) })
		st, lost := l.entry.await(j, w)
		if lost == nil {
			return st, nil
		}
		if l = l.entry.liveLife(ctx); l == nil {
			return st, lost
		}
	}
	rec, err := l.lookUp(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	owner, ok := l.session.View().Member(rec.Owner)
	if rec.State != wire.JobOpen || rec.Owner == l.self || !ok || !owner.Live() {
		return l.stateOf(ctx, rec, w)
	}
	st, err := l.entry.peers.cancel(ctx, owner.Addr, id)
	if err != nil {
		return withoutOwner(rec), nil
	}
	return st, nil
}

// keyed runs a single request with a key as a job of one task.
func (l *life) keyed(ctx context.Context, s submission, w watch) (wire.Answer, *verdict.Error) {
	begin := time.Now()
	st, err := l.submit(ctx, s, w)
	if err == nil {
		err = failureOf(st)
	}
	if err != nil {
		l.entry.metrics.requestEnded(err.Verdict, time.Since(begin))
		return wire.Answer{}, err
	}
	l.entry.metrics.requestEnded(verdict.Ran, time.Since(begin))
	return st.Results[0], nil
}

// failureOf returns why a job of one task has no answer, or nil.
func failureOf(st wire.JobStatus) *verdict.Error {
	switch {
	case st.State == wire.JobOpen:
		return verdict.Unknown(verdict.DeadlinePassed, "job %d has not ended in time; ask for it by its id", st.Job)
	case st.State == wire.JobComplete && len(st.Results) == 1:
		return nil
	}
	return &verdict.Error{Verdict: st.Verdict, Reason: st.Reason, Detail: st.Detail}
}

// single runs a request without a key. Nothing of it is left when its caller
// has gone.
func (l *life) single(s single, w watch) (wire.Answer, *verdict.Error) {
	begin := time.Now()
	a, err := l.runSingle(s, w)
	v := verdict.Ran
	if err != nil {
		v = err.Verdict
	}
	l.entry.metrics.requestEnded(v, time.Since(begin))
	return a, err
}

func (l *life) runSingle(s single, w watch) (wire.Answer, *verdict.Error) {
	if err := l.entry.refusal(l); err != nil {
		return wire.Answer{}, err
	}
	r, err := l.request(s)
	if err != nil {
		return wire.Answer{}, err
	}
	// The core ends the request at its deadline, so this wait only bounds a fault.
	w.until = w.until.Add(l.entry.opts.SuspectAfter)
	switch w.wait(r.done, l.entry.ctx.Done()) {
	case waitDone:
	case waitLimit:
		l.abort(r)
		return wire.Answer{}, verdict.Unknown(verdict.DeadlinePassed, "no answer before the deadline")
	default:
		l.abort(r)
		return wire.Answer{}, verdict.Unknown(verdict.Canceled, "nobody waits for the request any more")
	}
	switch {
	case r.lost != nil:
		return wire.Answer{}, r.lost
	case r.out.Err != nil:
		return wire.Answer{}, r.out.Err
	case len(r.out.Results) != 1:
		return wire.Answer{}, verdict.Unknown(verdict.Internal, "%d answers to a single request", len(r.out.Results))
	}
	return r.out.Results[0], nil
}

// request passes a single request to the core.
func (l *life) request(s single) (*request, *verdict.Error) {
	r := &request{key: ids.RequestOf(l.self, l.seq.Add(1)), done: make(chan struct{})}
	var refused *verdict.Error
	ok := l.loop.Call(func(now time.Duration) {
		refused = l.core.Request(now, dispatch.Request{
			Key: r.key, Team: s.Team, Service: s.Service, Spec: s.Tasks[0],
			Idempotent: s.Idempotent, Deadline: now + s.Deadline,
		})
		if refused == nil {
			l.requests[r.key] = r
		}
	})
	if !ok {
		return nil, verdict.Refuse(verdict.Stale, "the entry is registering again")
	}
	return r, refused
}

// abort forgets a request whose caller has gone.
func (l *life) abort(r *request) {
	l.loop.Post(func(now time.Duration) {
		if l.requests[r.key] == r {
			delete(l.requests, r.key)
			l.core.CancelRequest(now, r.key)
		}
	})
}
