package entry

import (
	"time"

	"github.com/baobabshore/baobabshore/eventloop"
)

// coreLoop is the event loop that owns the dispatch core. Before each input it tells
// the core whether the registry view is current. Without this, a process that resumes
// after a freeze would apply its first inputs before its first tick, with the state
// of the last tick before the freeze, and would take itself for the owner of jobs
// that another entry runs by now.
type coreLoop struct {
	*eventloop.Loop
	refreshCurrent func() // tells the core whether the view is current
}

// Post queues an input. It returns false if the loop has stopped.
func (l *coreLoop) Post(f eventloop.Input) bool { return l.Loop.Post(l.withRefresh(f)) }

// Call queues an input and waits until it has been applied. It returns false if the
// loop stopped before that.
func (l *coreLoop) Call(f eventloop.Input) bool { return l.Loop.Call(l.withRefresh(f)) }

// withRefresh returns an input that calls refreshCurrent before it applies f.
func (l *coreLoop) withRefresh(f eventloop.Input) eventloop.Input {
	return func(now time.Duration) {
		l.refreshCurrent()
		f(now)
	}
}
