package entry

import (
	"time"

	"github.com/baobabshore/baobabshore/eventloop"
)

// coreLoop is the loop that owns the dispatch core. It tells the core before
// each input whether the view is current: a process that was frozen applies its
// first inputs before its first tick, with the currency of the last tick before
// the freeze, and would take itself for the owner of jobs that another entry
// runs.
type coreLoop struct {
	*eventloop.Loop
	refreshCurrent func()
}

// Post queues an input. It returns false when the loop has stopped.
func (l *coreLoop) Post(f eventloop.Input) bool { return l.Loop.Post(l.withRefresh(f)) }

// Call queues an input and waits until it has been applied. It returns false
// when the loop stopped before.
func (l *coreLoop) Call(f eventloop.Input) bool { return l.Loop.Call(l.withRefresh(f)) }

func (l *coreLoop) withRefresh(f eventloop.Input) eventloop.Input {
	return func(now time.Duration) {
		l.refreshCurrent()
		f(now)
	}
}
