package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// completeTimeout bounds one attempt to record the end of a job.
	completeTimeout = 30 * time.Second
	// completeRetryDelay is the pause between attempts to record the end of a job.
	completeRetryDelay = 500 * time.Millisecond
	// readBackInterval is the pause between reads of a record that does not show its
	// end yet.
	readBackInterval = 50 * time.Millisecond
)

// needsConfirmation reports whether an outcome may be reported only after the control
// group has accepted it from this owner. A former owner that does not know of its
// successor sees a job that never started, or starts that were refused, while the
// successor runs the job.
func needsConfirmation(st wire.JobStatus) bool {
	if st.State == wire.JobComplete {
		return false
	}
	return st.Verdict == verdict.NotRun || st.Reason == verdict.Fenced || st.Reason == verdict.OwnerLost
}

func completeItem(j *job, st wire.JobStatus) wire.CompleteItem {
	return wire.CompleteItem{
		Ownership: wire.Ownership{Job: j.id, Epoch: j.epoch},
		State:     st.State, Verdict: st.Verdict, Reason: st.Reason,
	}
}

// recordEnd records the end of a job in the control group. It retries until it
// succeeds or the incarnation ends.
func (inc *incarnation) recordEnd(j *job, st wire.JobStatus) {
	for {
		ctx, cancel := context.WithTimeout(inc.ctx, completeTimeout)
		err := inc.session.Complete(ctx, completeItem(j, st))
		cancel()
		if err == nil {
			inc.entry.jobs.markRecorded(j)
			return
		}
		if !clock.Sleep(inc.ctx, completeRetryDelay) {
			return
		}
	}
}

// confirmEnd ends a job whose outcome needs confirmation. The job ends with the
// recorded outcome if the control group has accepted the end from this owner, is left
// to its new owner if there is one, and ends as may-have-run if the control group
// does not answer.
func (inc *incarnation) confirmEnd(j *job, st wire.JobStatus) {
	ctx, cancel := context.WithTimeout(inc.ctx, inc.entry.opts.AdmitTimeout)
	defer cancel()
	rec, err := inc.recordAndReadBack(ctx, j, st)
	switch {
	case err != nil:
		klog.Warningf("entry: Control group did not confirm the end of job %d; reporting may-have-run: %v.", j.id, err)
		st.Verdict, st.Reason = verdict.MayHaveRun, verdict.OwnerLost
		st.Detail = "it is not known whether this entry still owns the job"
		inc.endJob(j, st)
		inc.recordEnd(j, st)
	case rec.Epoch != j.epoch:
		klog.Infof("entry: Job %d now belongs to incarnation %d at epoch %d.", j.id, rec.Owner, rec.Epoch)
		inc.entry.jobs.dropLost(j, verdict.Unknown(verdict.OwnerLost, "job %d has another owner; ask again", j.id).After(defaultRetryAfter))
	default:
		st.State, st.Verdict, st.Reason = rec.State, rec.Verdict, rec.Reason
		inc.endJob(j, st)
		inc.entry.jobs.markRecorded(j)
	}
}

// recordAndReadBack records the end of a job and returns the record that shows an
// end, or the record of a later epoch.
func (inc *incarnation) recordAndReadBack(ctx context.Context, j *job, st wire.JobStatus) (wire.JobRecord, error) {
	if err := inc.session.Complete(ctx, completeItem(j, st)); err != nil {
		return wire.JobRecord{}, err
	}
	for {
		rec, err := inc.session.Job(ctx, j.id)
		if err != nil || rec.Epoch > j.epoch || rec.Epoch == j.epoch && rec.State != wire.JobOpen {
			return rec, err
		}
		if !clock.Sleep(ctx, readBackInterval) {
			return rec, ctx.Err()
		}
	}
}
