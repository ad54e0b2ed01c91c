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

// submit admits a job, waits as long as the caller asked for, and returns the state
// of the job.
func (inc *incarnation) submit(ctx context.Context, s submission, w callerWait) (wire.JobStatus, *verdict.Error) {
	arrived := inc.loop.Now()
	if err := inc.precheck(s, arrived); err != nil {
		return inc.refuse(ctx, s, arrived, w, err)
	}
	admitCtx, cancel := context.WithTimeout(ctx, min(inc.entry.opts.AdmitTimeout, s.Deadline))
	defer cancel()
	r, err := inc.session.Admit(admitCtx, wire.AdmitItem{
		Team: s.Team, Service: s.Service, Key: s.Key, KeyTime: s.KeyTime,
		BodyHash: s.BodyHash, Tasks: len(s.Tasks), Deadline: time.Now().Add(s.Deadline).UnixMilli(),
	})
	switch {
	case err != nil:
		return wire.JobStatus{}, s.withUncheckedKey(verdict.FromError(err))
	case r.Err != nil && r.Err.Reason == verdict.Fenced:
		return inc.refuse(ctx, s, arrived, w, r.Err) // the control group checks fencing before it looks up the key
	case r.Err != nil:
		inc.entry.metrics.refused.Inc(1)
		return wire.JobStatus{}, r.Err
	case r.Duplicate != nil:
		return inc.answerDuplicate(ctx, *r.Duplicate, s, arrived, w)
	case r.Admitted == nil:
		return wire.JobStatus{}, verdict.Refuse(verdict.Internal, "the control group gave no result")
	}
	j := inc.startJob(*r.Admitted, s, arrived)
	st, lost := inc.entry.awaitJob(j, w)
	if lost != nil {
		return inc.entry.statusFromNewOwner(ctx, j, &s, w, lost)
	}
	return st, nil
}

// precheck refuses a job that can be refused without asking the control group.
func (inc *incarnation) precheck(s submission, arrived time.Duration) *verdict.Error {
	if err := inc.entry.refusal(inc); err != nil {
		return err
	}
	var refused *verdict.Error
	ok := inc.loop.Call(func(now time.Duration) {
		refused = inc.core.Admit(now, s.jobSpec(arrived))
	})
	if !ok {
		return verdict.Refuse(verdict.Stale, "the entry is registering again")
	}
	return refused
}

func (s submission) jobSpec(arrived time.Duration) dispatch.JobSpec {
	return dispatch.JobSpec{
		Team: s.Team, Service: s.Service, Tasks: len(s.Tasks),
		RunTime: s.RunTime, Deadline: arrived + s.Deadline,
	}
}

// startJob starts an admitted job. A job that is already in the table is not started
// again.
func (inc *incarnation) startJob(own wire.Ownership, s submission, arrived time.Duration) *job {
	rec := wire.JobRecord{Team: s.Team, Service: s.Service, Tasks: len(s.Tasks), Key: s.Key, BodyHash: s.BodyHash}
	j, added := inc.addJob(rec, own)
	if added {
		inc.loop.Post(func(now time.Duration) {
			inc.core.Submit(now, dispatch.Job{JobSpec: s.jobSpec(arrived), ID: own.Job, Epoch: own.Epoch, Specs: s.Tasks})
		})
	}
	return j
}

// answerDuplicate answers a resubmission with the state of the first submission, and
// passes the bodies to the owner if it lacks them.
func (inc *incarnation) answerDuplicate(ctx context.Context, rec wire.JobRecord, s submission, arrived time.Duration, w callerWait) (wire.JobStatus, *verdict.Error) {
	if !rec.HasBody(s.BodyHash) || rec.Tasks != len(s.Tasks) || rec.Service != s.Service {
		return wire.JobStatus{}, verdict.Refuse(verdict.KeyReuse, "the key belongs to job %d, which has another body", rec.Job)
	}
	if rec.State != wire.JobOpen {
		return inc.statusFromOwner(ctx, rec, w)
	}
	if rec.Owner == inc.self {
		inc.supplyBodies(rec, s, arrived)
		return inc.statusFromOwner(ctx, rec, w)
	}
	owner, ok := inc.session.View().Member(rec.Owner)
	if !ok || !owner.Live() {
		return statusFromRecord(rec), nil
	}
	// After a takeover the bodies are always sent, since the new owner may not know
	// yet whether it needs them.
	if rec.Epoch == 1 {
		_, err := inc.entry.peers.queryStatus(ctx, owner.Addr, rec.Job, 0)
		if err == nil {
			return inc.statusFromOwner(ctx, rec, w)
		}
		if err.Reason != verdict.UnknownJob {
			return statusFromRecord(rec), nil // the owner cannot be reached
		}
	}
	if err := inc.entry.peers.sendBodies(ctx, owner.Addr, wire.Bodies{Job: rec.Job, Tasks: s.Tasks}); err != nil {
		return statusFromRecord(rec), nil // the caller may submit again
	}
	return inc.statusFromOwner(ctx, rec, w)
}

// supplyBodies gives this entry the bodies of a job that it owns. If a job of the
// first epoch is not in the table, the reply to its admission was lost after the
// record was made; none of its tasks has started, so the job is started now.
func (inc *incarnation) supplyBodies(rec wire.JobRecord, s submission, arrived time.Duration) {
	own := wire.Ownership{Job: rec.Job, Epoch: rec.Epoch}
	j := inc.entry.jobs.get(rec.Job)
	if rec.Epoch == 1 && j == nil {
		inc.startJob(own, s, arrived)
	}
	if rec.Epoch == 1 || j != nil && j.isDone() {
		return
	}
	inc.loop.Call(func(now time.Duration) {
		inc.takeOver(now, wire.Assigned{Ownership: own, Record: rec})
		if err := inc.core.Bodies(now, rec.Job, s.Tasks); err != nil {
			klog.Warningf("entry: Core rejected the request bodies of job %d: %v.", rec.Job, err)
		}
	})
}

// jobState waits as long as the caller asked for and returns the state of any job.
func (inc *incarnation) jobState(ctx context.Context, id ids.Job, w callerWait) (wire.JobStatus, *verdict.Error) {
	if j := inc.entry.jobs.get(id); j != nil {
		return inc.awaitThroughTakeover(ctx, j, w)
	}
	rec, err := inc.readRecord(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return inc.statusFromOwner(ctx, rec, w)
}

// awaitThroughTakeover waits for a job of this entry. If the entry loses the job, it
// asks the next owner.
func (inc *incarnation) awaitThroughTakeover(ctx context.Context, j *job, w callerWait) (wire.JobStatus, *verdict.Error) {
	st, lost := inc.entry.awaitJob(j, w)
	if lost != nil {
		return inc.entry.statusFromNewOwner(ctx, j, nil, w, lost)
	}
	return st, nil
}

// statusFromNewOwner asks the current owner of a job that this entry has lost. s is
// the submission if the caller has just sent it, and nil otherwise. It returns lost
// if there is no other owner to ask.
func (e *Entry) statusFromNewOwner(ctx context.Context, j *job, s *submission, w callerWait, lost *verdict.Error) (wire.JobStatus, *verdict.Error) {
	inc := e.awaitLiveIncarnation(ctx)
	if inc == nil {
		return wire.JobStatus{}, lost
	}
	rec, err := inc.readRecord(ctx, j.id)
	if err != nil || rec.Epoch <= j.epoch {
		return wire.JobStatus{}, lost
	}
	if s != nil {
		return inc.answerDuplicate(ctx, rec, *s, inc.loop.Now(), w)
	}
	return inc.statusFromOwner(ctx, rec, w)
}

// awaitLiveIncarnation returns the current incarnation. If it has ended, it waits for
// the next one, and returns nil if none is registered within AdmitTimeout.
func (e *Entry) awaitLiveIncarnation(ctx context.Context) *incarnation {
	ctx, cancel := context.WithTimeout(ctx, e.opts.AdmitTimeout)
	defer cancel()
	for {
		if inc := e.incarnation.Load(); !inc.hasEnded() {
			return inc
		}
		if !clock.Sleep(ctx, idlePollInterval) {
			return nil
		}
	}
}

// readRecord reads the record of a job from the control group.
func (inc *incarnation) readRecord(ctx context.Context, id ids.Job) (wire.JobRecord, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, inc.entry.opts.AdmitTimeout)
	defer cancel()
	rec, err := inc.session.Job(ctx, id)
	if err != nil {
		return rec, verdict.FromError(err)
	}
	return rec, nil
}

// statusFromOwner returns the status of a recorded job, as its owner reports it.
func (inc *incarnation) statusFromOwner(ctx context.Context, rec wire.JobRecord, w callerWait) (wire.JobStatus, *verdict.Error) {
	if j := inc.entry.jobs.get(rec.Job); j != nil {
		return inc.awaitThroughTakeover(ctx, j, w)
	}
	owner, ok := inc.session.View().Member(rec.Owner)
	if rec.Owner == inc.self || !ok || !owner.Live() {
		return statusWithoutOwner(rec), nil
	}
	st, err := inc.entry.peers.queryStatus(ctx, owner.Addr, rec.Job, w.remaining())
	if err != nil {
		return statusWithoutOwner(rec), nil
	}
	return st, nil
}

// statusWithoutOwner returns the status of a job whose owner cannot be asked. The
// answer of a completed job is lost together with its owner.
func statusWithoutOwner(rec wire.JobRecord) wire.JobStatus {
	st := statusFromRecord(rec)
	if rec.State == wire.JobOpen {
		return st
	}
	st.Verdict, st.Reason = rec.Verdict, rec.Reason
	if rec.State == wire.JobComplete {
		st.Reason = verdict.AnswerExpired
	}
	return st
}

// statusFromRecord returns the state of a job as its record shows it, without
// results.
func statusFromRecord(rec wire.JobRecord) wire.JobStatus {
	return wire.JobStatus{Job: rec.Job, State: rec.State, Tasks: rec.Tasks}
}

// awaitJob waits for a job of this entry. The job goes on when the caller leaves. It
// returns at once if the job needs bodies, since only a caller can supply them.
func (e *Entry) awaitJob(j *job, w callerWait) (wire.JobStatus, *verdict.Error) {
	if st, _ := e.jobs.currentStatus(j); j.epoch > 1 && !j.isDone() {
		if j.fillProgress(&st); st.NeedBodies {
			return st, nil
		}
	}
	result := w.wait(j.done, e.ctx.Done())
	st, lost := e.jobs.currentStatus(j)
	if lost != nil {
		return st, lost
	}
	if st.State != wire.JobOpen {
		return st, nil
	}
	if result == waitStopped {
		return st, verdict.Unknown(verdict.Draining, "the entry is stopping; ask for job %d again", j.id)
	}
	j.fillProgress(&st)
	return st, nil
}

// fillProgress sets the progress of an open job in st.
func (j *job) fillProgress(st *wire.JobStatus) {
	j.incarnation.loop.Call(func(time.Duration) {
		if p, ok := j.incarnation.core.Progress(j.id); ok {
			st.Done, st.NeedBodies = p.Done, p.NeedBodies
		}
	})
}

// cancelWait bounds the wait for the outcome of a cancellation.
const cancelWait = 2 * time.Second

// cancelJob cancels a job, at its owner if that is another entry, and returns its
// state.
func (inc *incarnation) cancelJob(ctx context.Context, id ids.Job, w callerWait) (wire.JobStatus, *verdict.Error) {
	if j := inc.entry.jobs.get(id); j != nil {
		j.incarnation.loop.Post(func(now time.Duration) { j.incarnation.core.Cancel(now, id) })
		st, lost := inc.entry.awaitJob(j, w)
		if lost == nil {
			return st, nil
		}
		if inc = inc.entry.awaitLiveIncarnation(ctx); inc == nil {
			return st, lost
		}
	}
	rec, err := inc.readRecord(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	owner, ok := inc.session.View().Member(rec.Owner)
	if rec.State != wire.JobOpen || rec.Owner == inc.self || !ok || !owner.Live() {
		return inc.statusFromOwner(ctx, rec, w)
	}
	st, err := inc.entry.peers.sendCancel(ctx, owner.Addr, id)
	if err != nil {
		return statusWithoutOwner(rec), nil
	}
	return st, nil
}

// runKeyed runs a single request with a key as a job of one task.
func (inc *incarnation) runKeyed(ctx context.Context, s submission, w callerWait) (wire.Answer, *verdict.Error) {
	begin := time.Now()
	st, err := inc.submit(ctx, s, w)
	if err == nil {
		err = keyedFailure(st)
	}
	if err != nil {
		inc.entry.metrics.requestEnded(err.Verdict, time.Since(begin))
		return wire.Answer{}, err
	}
	inc.entry.metrics.requestEnded(verdict.Ran, time.Since(begin))
	return st.Results[0], nil
}

// keyedFailure returns the reason why a job of one task has no answer, or nil.
func keyedFailure(st wire.JobStatus) *verdict.Error {
	switch {
	case st.State == wire.JobOpen:
		return verdict.Unknown(verdict.DeadlinePassed, "job %d has not ended in time; ask for it by its id", st.Job)
	case st.State == wire.JobComplete && len(st.Results) == 1:
		return nil
	}
	return &verdict.Error{Verdict: st.Verdict, Reason: st.Reason, Detail: st.Detail}
}

// singleRequest runs a request without a key and counts it in the metrics. When the
// caller disconnects, the entry discards the request.
func (inc *incarnation) singleRequest(s singleRequest, w callerWait) (wire.Answer, *verdict.Error) {
	begin := time.Now()
	a, err := inc.runSingle(s, w)
	v := verdict.Ran
	if err != nil {
		v = err.Verdict
	}
	inc.entry.metrics.requestEnded(v, time.Since(begin))
	return a, err
}

// runSingle runs a request without a key and returns the answer of the upstream.
func (inc *incarnation) runSingle(s singleRequest, w callerWait) (wire.Answer, *verdict.Error) {
	if err := inc.entry.refusal(inc); err != nil {
		return wire.Answer{}, err
	}
	r, err := inc.request(s)
	if err != nil {
		return wire.Answer{}, err
	}
	// The core ends the request at its deadline. This longer wait only applies if the
	// core fails to do so.
	w.deadline = w.deadline.Add(inc.entry.opts.SuspectAfter)
	switch w.wait(r.done, inc.entry.ctx.Done()) {
	case waitDone:
	case waitTimedOut:
		inc.abortRequest(r)
		return wire.Answer{}, verdict.Unknown(verdict.DeadlinePassed, "no answer before the deadline")
	default:
		inc.abortRequest(r)
		return wire.Answer{}, verdict.Unknown(verdict.Canceled, "nobody waits for the request any more")
	}
	switch {
	case r.lostErr != nil:
		return wire.Answer{}, r.lostErr
	case r.outcome.Err != nil:
		return wire.Answer{}, r.outcome.Err
	case len(r.outcome.Results) != 1:
		return wire.Answer{}, verdict.Unknown(verdict.Internal, "%d answers to a single request", len(r.outcome.Results))
	}
	return r.outcome.Results[0], nil
}

// request passes a single request to the core.
func (inc *incarnation) request(s singleRequest) (*request, *verdict.Error) {
	r := &request{done: make(chan struct{})}
	var refused *verdict.Error
	ok := inc.loop.Call(func(now time.Duration) {
		r.key = inc.core.NextKey()
		refused = inc.core.Request(now, dispatch.Request{
			Key: r.key, Team: s.Team, Service: s.Service, Spec: s.Tasks[0],
			Idempotent: s.Idempotent, Deadline: now + s.Deadline,
		})
		if refused == nil {
			inc.requests[r.key] = r
		}
	})
	if !ok {
		return nil, verdict.Refuse(verdict.Stale, "the entry is registering again")
	}
	return r, refused
}

// abortRequest cancels a request or a batch for which no caller waits any more.
func (inc *incarnation) abortRequest(r *request) {
	inc.loop.Post(func(now time.Duration) {
		if inc.requests[r.key] == r {
			delete(inc.requests, r.key)
			inc.core.CancelRequest(now, r.key)
		}
	})
}
