package devcluster

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// component is a node or an upstream that can be stopped and started again.
type component[T io.Closer] struct {
	name string
	open func(ctx context.Context) (T, error)

	mu       sync.Mutex
	running  bool
	instance T
}

func (u *component[T]) start(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running {
		return errors.Errorf("%s is already running", u.name)
	}
	for {
		instance, err := u.open(ctx)
		if err == nil {
			u.instance, u.running = instance, true
			return nil
		}
		// A restarted component needs its old port, which an outgoing connection
		// may use as its local port for a moment.
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil {
			return errors.Wrap(err, u.name)
		}
		time.Sleep(pollInterval)
	}
}

// stop closes the component without draining it.
func (u *component[T]) stop() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.running {
		return nil
	}
	u.running = false
	if err := u.instance.Close(); err != nil {
		return errors.Wrap(err, u.name)
	}
	return nil
}

// get returns the latest instance and whether it is running.
func (u *component[T]) get() (T, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance, u.running
}

// daemonWithOps is a daemon together with its listener for metrics, health and dumps.
type daemonWithOps[T io.Closer] struct {
	daemon T
	ops    io.Closer
}

// Close closes both and returns the first error.
func (p daemonWithOps[T]) Close() error {
	err := p.daemon.Close()
	if opsErr := p.ops.Close(); err == nil {
		err = opsErr
	}
	return err
}
