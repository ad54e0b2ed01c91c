package agent

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/wire"
)

// Session is the part of member.Session that an agent uses.
type Session interface {
	Incarnation() ids.Incarnation
	View() *member.View
	// Changes returns a channel that receives a value after the view has changed.
	Changes() <-chan struct{}
	// Ended returns a channel that is closed when the incarnation has ended.
	Ended() <-chan struct{}
	// Current reports whether the view is current enough for new work.
	Current(now time.Time) bool
	SetDraining(d bool)
	// RenewNow requests the current view at once.
	RenewNow()
	Leave(ctx context.Context) error
	Close()
}

// SessionOpener registers a new incarnation. It retries until ctx ends.
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
