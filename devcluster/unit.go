package devcluster

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// unit is a part of the system that can be stopped and started again.
type unit[T io.Closer] struct {
	name string
	open func(ctx context.Context) (T, error)

	mu      sync.Mutex
	running bool
	part    T
}

func (u *unit[T]) start(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running {
		return errors.Errorf("%s runs already", u.name)
	}
	for {
		part, err := u.open(ctx)
		if err == nil {
			u.part, u.running = part, true
			return nil
		}
		// A part that starts again needs its old port, which another connection
		// may hold for a moment.
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil {
			return errors.Wrap(err, u.name)
		}
		time.Sleep(pollInterval)
	}
}

// stop ends the part at once, without a drain.
func (u *unit[T]) stop() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.running {
		return nil
	}
	u.running = false
	if err := u.part.Close(); err != nil {
		return errors.Wrap(err, u.name)
	}
	return nil
}

// get returns the part and whether it runs.
func (u *unit[T]) get() (T, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.part, u.running
}

// pages is a part together with its listener for operators.
type pages[T io.Closer] struct {
	part T
	ops  io.Closer
}

// Close ends both.
func (p pages[T]) Close() error {
	err := p.part.Close()
	if oerr := p.ops.Close(); err == nil {
		err = oerr
	}
	return err
}
