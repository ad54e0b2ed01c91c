package entry

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// uncheckedKeyNote is appended to a refusal when the control group could not be asked
// whether the key has been used. docs/operators.md quotes it.
const uncheckedKeyNote = "; the key could not be checked: an earlier submission with it may have run, repeat with the same key"

// refuse answers a submission that is not admitted. A refusal applies to new work
// only: if the key belongs to an earlier submission, the answer is the state of that
// submission. The key is looked up only here, since the admission itself finds
// duplicates.
func (inc *incarnation) refuse(ctx context.Context, s submission, arrived time.Duration, w callerWait, refused *verdict.Error) (wire.JobStatus, *verdict.Error) {
	if s.Key != "" {
		rec, err := inc.firstSubmission(ctx, s)
		switch {
		case err == nil:
			return inc.answerDuplicate(ctx, rec, s, arrived, w)
		case err.Reason != verdict.UnknownJob:
			refused = s.withUncheckedKey(refused)
		}
	}
	inc.entry.metrics.refused.Inc(1)
	return wire.JobStatus{}, refused
}

// firstSubmission returns the record of the submission that used the key first. The
// reason unknown-job means that there is none. An entry whose view is not current
// does not ask the control group, since the request would probably time out.
func (inc *incarnation) firstSubmission(ctx context.Context, s submission) (wire.JobRecord, *verdict.Error) {
	if inc.hasEnded() || !inc.session.Current(time.Now()) {
		return wire.JobRecord{}, verdict.Refuse(verdict.Stale, "the view is not confirmed")
	}
	ctx, cancel := context.WithTimeout(ctx, inc.entry.opts.AdmitTimeout)
	defer cancel()
	rec, err := inc.session.JobByKey(ctx, s.Team, s.Key)
	return rec, verdict.FromError(err)
}

// withUncheckedKey returns the refusal with uncheckedKeyNote appended if s has a key.
func (s submission) withUncheckedKey(refused *verdict.Error) *verdict.Error {
	if s.Key == "" {
		return refused
	}
	e := *refused
	e.Detail += uncheckedKeyNote
	return &e
}
