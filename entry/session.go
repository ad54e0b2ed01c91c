package entry

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// Session is the part of member.Session that an entry uses.
type Session interface {
	Incarnation() ids.Incarnation
	View() *member.View
	// Changes receives a value after the view has changed. Several changes may share
	// one value.
	Changes() <-chan struct{}
	// Ended is closed when the incarnation has ended.
	Ended() <-chan struct{}
	// Current reports whether the view is current enough for new work.
	Current(now time.Time) bool
	SetDraining(d bool)
	// Admit asks the control group to record a job. An error has the verdict not-run.
	Admit(ctx context.Context, item wire.AdmitItem) (wire.AdmitResult, error)
	// Complete records the end of a job. It is idempotent.
	Complete(ctx context.Context, item wire.CompleteItem) error
	// Job returns the record of a job.
	Job(ctx context.Context, job ids.Job) (wire.JobRecord, error)
	// JobByKey returns the record of the job submitted with a key.
	JobByKey(ctx context.Context, team ids.Team, key string) (wire.JobRecord, error)
	Leave(ctx context.Context) error
	Close()
}

// SessionOpener registers an incarnation. It retries until ctx ends.
type SessionOpener func(ctx context.Context, self wire.Registration) (Session, error)

// NewSessionOpener returns a function that opens sessions with the control nodes of a
// directory.
func NewSessionOpener(dir *member.Directory, sec rpc.Security, counters *rpc.Counters) SessionOpener {
	return func(ctx context.Context, self wire.Registration) (Session, error) {
		s, err := member.Open(ctx, member.Options{Directory: dir, Security: sec, Self: self, Counters: counters})
		if err != nil {
			return nil, err
		}
		return s, nil
	}
}
