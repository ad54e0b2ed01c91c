package entry

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// uncheckedKeyNote is added to a refusal when the control group could not be asked
// whether the key has been used. docs/operators.md quotes it.
const uncheckedKeyNote = "; the key could not be checked: an earlier submission with it may have run, repeat with the same key"

// refuse answers a submission that is not admitted. A refusal concerns new work
// only: if the key belongs to an earlier submission, the answer is the state of
// that one. The key is looked up here and not before admission, since the
// admission itself finds duplicates.
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

// firstSubmission returns the record of the submission that has used the key.
// The reason unknown-job means that there is none. An entry that has lost touch
// with the control group doesn't ask, since its callers would wait in vain.
func (inc *incarnation) firstSubmission(ctx context.Context, s submission) (wire.JobRecord, *verdict.Error) {
	if inc.hasEnded() || !inc.session.Current(time.Now()) {
		return wire.JobRecord{}, verdict.Refuse(verdict.Stale, "the view is not confirmed")
	}
	ctx, cancel := context.WithTimeout(ctx, inc.entry.opts.AdmitTimeout)
	defer cancel()
	rec, err := inc.session.JobByKey(ctx, s.Team, s.Key)
	return rec, verdict.From(err)
}

// withUncheckedKey returns a refusal that says, if s has a key, that it was not looked up.
func (s submission) withUncheckedKey(refused *verdict.Error) *verdict.Error {
	if s.Key == "" {
		return refused
	}
	e := *refused
	e.Detail += uncheckedKeyNote
	return &e
}
