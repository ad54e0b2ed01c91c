package member

import (
	"time"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// tracker holds the decisions of a session without any I/O: which server to ask
// next, which replies to accept, and whether the view is current.
type tracker struct {
	servers   int // number of servers
	server    int // index of the server in use
	view      *View
	confirmed time.Time // when the view is known to have been current
	gone      bool
}

// outcome tells what a reply did to the tracker.
type outcome struct {
	changed bool // the view has new content
	moved   bool // the next renewal goes to another server, without delay
}

func newTracker(servers int, first int) *tracker {
	return &tracker{servers: servers, server: first % servers, view: &View{}}
}

// accept takes over the reply to a renewal that was sent at the given time.
func (t *tracker) accept(sent time.Time, r wire.RenewReply) outcome {
	if r.Gone {
		t.gone = true
		return outcome{}
	}
	if r.Version < t.view.Version {
		return t.move() // the server is behind; its view would be a step back
	}
	o := outcome{}
	if r.Whole || !r.Changes.IsZero() {
		t.view = t.view.next(r)
		o.changed = true
	} else if r.Version > t.view.Version {
		v := *t.view
		v.Version = r.Version
		t.view = &v
	}
	age := time.Duration(r.ConfirmedAge) * time.Millisecond
	if at := sent.Add(-age); at.After(t.confirmed) {
		t.confirmed = at
	}
	if age > wire.SwitchAfter {
		o.moved = t.move().moved
	}
	return o
}

// failed takes note of a renewal without a usable reply.
func (t *tracker) failed() outcome { return t.move() }

func (t *tracker) move() outcome {
	t.server = (t.server + 1) % t.servers
	return outcome{moved: true}
}

// current reports whether the view has been confirmed recently enough for new work.
func (t *tracker) current(now time.Time) bool {
	return !t.gone && !t.confirmed.IsZero() && now.Sub(t.confirmed) <= wire.StaleAfter
}

// step is what a caller of the leader does after a failed attempt.
type step uint8

const (
	stepReturn step = iota // the failure is the answer
	stepHint               // ask the node that the refusal named
	stepNext               // ask the next server
)

// afterFailure decides on the next attempt to reach the leader.
func afterFailure(v *verdict.Error, hint wire.LeaderHint) step {
	if v.Reason == verdict.NotLeader {
		if hint.Addr != "" {
			return stepHint
		}
		return stepNext
	}
	switch v.Reason {
	case verdict.NoQuorum, verdict.ConnectionFailed, verdict.Stale, verdict.Draining:
		return stepNext
	}
	if v.Verdict == verdict.MayHaveRun {
		return stepNext
	}
	return stepReturn
}
