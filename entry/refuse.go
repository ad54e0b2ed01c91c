package entry

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// uncheckedKey is added to a refusal when the control group could not be asked
// whether the key has been used. docs/operators.md quotes it.
const uncheckedKey = "; the key could not be checked: an earlier submission with it may have run, repeat with the same key"

// refuse answers a submission that is not admitted. A refusal concerns new work
// only: if the key belongs to an earlier submission, the answer is the state of
// that one. The key is looked up here and not before admission, since the
// admission itself finds duplicates.
func (l *life) refuse(ctx context.Context, s submission, arrived time.Duration, w watch, refused *verdict.Error) (wire.JobStatus, *verdict.Error) {
	if s.Key != "" {
		rec, err := l.firstSubmission(ctx, s)
		switch {
		case err == nil:
			return l.duplicate(ctx, rec, s, arrived, w)
		case err.Reason != verdict.UnknownJob:
			refused = s.unchecked(refused)
		}
	}
	l.entry.metrics.refused.Inc(1)
	return wire.JobStatus{}, refused
}

// firstSubmission returns the record of the submission that has used the key.
// The reason unknown-job means that there is none. An entry that has lost touch
// with the control group doesn't ask, since its callers would wait in vain.
func (l *life) firstSubmission(ctx context.Context, s submission) (wire.JobRecord, *verdict.Error) {
	if l.hasEnded() || !l.session.Current(time.Now()) {
		return wire.JobRecord{}, verdict.Refuse(verdict.Stale, "the view is not confirmed")
	}
	ctx, cancel := context.WithTimeout(ctx, l.entry.opts.AdmitTimeout)
	defer cancel()
	rec, err := l.session.JobByKey(ctx, s.Team, s.Key)
	return rec, verdict.FromError(err)
}

// unchecked returns a refusal that says, if s has a key, that it was not looked up.
func (s submission) unchecked(refused *verdict.Error) *verdict.Error {
	if s.Key == "" {
		return refused
	}
	e := *refused
	e.Detail += uncheckedKey
	return &e
}
