// Package runner holds what the mains of the daemons share: flags, settings,
// signals, exit codes, pages for operators, and the drain at a planned stop.
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
	exitUsage  = 2 // wrong flags or faulty settings
)

// Main runs a daemon until SIGTERM or an interrupt and ends the process when
// it fails. name is the prefix of its log lines.
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
		var faults settings.Problems
		if errors.As(err, &faults) {
			err = faults // the list without the wrapping text
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

// Service is a daemon that drains at a planned stop.
type Service interface {
	Ready() error
	Dump() any
	Drain(ctx context.Context) error
	Close() error
}

// stopper is a service that may stop by itself.
type stopper interface{ Done() <-chan struct{} }

// stopped is closed when a service has stopped by itself, nil if it never does.
func stopped(s Service) <-chan struct{} {
	if d, ok := s.(stopper); ok {
		return d.Done()
	}
	return nil
}

// Serve opens the pages for operators, starts a service, and drains and closes it
// when ctx ends or it has stopped by itself. The pages answer, as not ready, while
// the service starts.
func Serve(ctx context.Context, pages ops.Options, drainTimeout time.Duration,
	start func(ctx context.Context, scope tally.Scope) (Service, error)) error {
	var h holder
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
	case <-stopped(s):
	}
	dctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err = s.Drain(dctx)
	if cerr := s.Close(); err == nil {
		err = cerr
	}
	return err
}

// holder gives the pages a service that may not have started yet.
type holder struct {
	mu      sync.Mutex
	service Service
}

func (h *holder) set(s Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service = s
}

func (h *holder) get() Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service
}

func (h *holder) ready() error {
	s := h.get()
	if s == nil {
		return verdict.Refuse(verdict.Stale, "the process is registering")
	}
	return s.Ready()
}

func (h *holder) dump() any {
	s := h.get()
	if s == nil {
		return nil
	}
	return s.Dump()
}
