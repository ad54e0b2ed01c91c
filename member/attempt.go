package member

import (
	"context"

	"github.com/go-faster/errors"
)

// errLeaderChanged ends an attempt at a server that no longer leads.
var errLeaderChanged = errors.New("another server leads")

// attempt is one request of a call to the leader.
type attempt struct {
	addr   string
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// isSuperseded reports whether another leader has become known during the attempt of ctx.
func isSuperseded(ctx context.Context) bool { return context.Cause(ctx) == errLeaderChanged }

// beginAttempt starts a request to the server that leaderOrNext returns. The caller ends it
// by endAttempt.
func (s *serverPool) beginAttempt(ctx context.Context) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &attempt{addr: s.leaderOrNext(), ctx: ctx, cancel: cancel}
	s.attempts[a] = struct{}{}
	return a
}

func (s *serverPool) endAttempt(a *attempt) {
	s.mu.Lock()
	delete(s.attempts, a)
	s.mu.Unlock()
	a.cancel(nil)
}

// followLeader takes the server at addr for the leader. Attempts at other servers end, and
// their calls go on at addr.
func (s *serverPool) followLeader(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = addr
	for a := range s.attempts {
		if a.addr != addr {
			a.cancel(errLeaderChanged)
		}
	}
}
