// Command baobab-entry runs the entry daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/entry"
	"github.com/baobabshore/baobabshore/settings"
)

func main() {
	var opts struct {
		Settings string `short:"s" long:"settings" required:"true" description:"settings file (YAML)"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	defer klog.Flush()
	err := run(opts.Settings)
	var faults settings.Problems
	if errors.As(err, &faults) {
		fmt.Fprintln(os.Stderr, faults)
		os.Exit(2)
	}
	if err != nil {
		klog.Errorf("entry: Stopped: %v.", err)
		klog.Flush()
		os.Exit(1)
	}
}

func run(path string) error {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return entry.Run(ctx, s)
}
