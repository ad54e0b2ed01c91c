// Package runner contains the code that the daemons' main functions share: flags,
// settings, signals, exit codes, the HTTP pages for operators and the drain before a
// planned stop.
package runner

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
)

// Exit codes of the daemons.
const (
	exitFailed = 1
	exitUsage  = 2 // invalid flags or settings
)

// Main runs a daemon until SIGTERM or an interrupt. It exits with a nonzero code when the
// daemon fails. name is the prefix of the log lines.
func Main[S any](name string, load func(path string) (S, error), run func(ctx context.Context, s S) error) {
	var opts struct {
		Settings string `short:"s" long:"settings" required:"true" description:"settings file (YAML)"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	s, err := load(opts.Settings)
	if err != nil {
		var problems settings.Problems
		if errors.As(err, &problems) {
			err = problems // print only the list of problems, without the wrapping errors
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err = run(ctx, s)
	if err != nil {
		klog.Errorf("%s: Stopped: %v.", name, err)
	}
	klog.Flush()
	if err != nil {
		os.Exit(exitFailed)
	}
}

// Service is a daemon that can be drained before a planned stop.
type Service interface {
	Ready() error
	Dump() any
	Drain(ctx context.Context) error
	Close() error
}

// selfStopper is a service that may stop without a signal. Done is closed when it has.
type selfStopper interface{ Done() <-chan struct{} }

// stoppedChan returns the channel that is closed when s has stopped by itself, or nil if
// it never does.
func stoppedChan(s Service) <-chan struct{} {
	if d, ok := s.(selfStopper); ok {
		return d.Done()
	}
	return nil
}

// Serve serves the pages for operators and starts a service. It drains and closes the
// service when ctx ends or the service has stopped by itself. While the service starts,
// the pages are served and the readiness page reports that it is not ready.
func Serve(ctx context.Context, pages ops.Options, drainTimeout time.Duration,
	start func(ctx context.Context, scope tally.Scope) (Service, error)) error {
	var h serviceHolder
	pages.Ready, pages.Dump = h.ready, h.dump
	p, err := ops.New(pages)
	if err != nil {
		return err
	}
	defer p.Close()
	s, err := start(ctx, p.Scope())
	if err != nil {
		return errors.Wrap(err, "start")
	}
	h.set(s)
	select {
	case <-ctx.Done():
	case <-stoppedChan(s):
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err = s.Drain(drainCtx)
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	return err
}

// serviceHolder lets the pages access a service that may not have started yet.
type serviceHolder struct {
	mu      sync.Mutex
	service Service
}

func (h *serviceHolder) set(s Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service = s
}

func (h *serviceHolder) get() Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service
}

func (h *serviceHolder) ready() error {
	s := h.get()
	if s == nil {
		return verdict.Refuse(verdict.Stale, "the process is registering")
	}
	return s.Ready()
}

func (h *serviceHolder) dump() any {
	s := h.get()
	if s == nil {
		return nil
	}
	return s.Dump()
}
