package capacity

import (
	"fmt"
	"io"
	"time"

	"k8s.io/klog/v2"
)

// part is a group of measurements.
type part struct {
	name, title string
	run         func() ([]Series, error)
}

func pure(f func() []Series) func() ([]Series, error) {
	return func() ([]Series, error) { return f(), nil }
}

func parts() []part {
	return []part{
		{"state", "Control state (package controlstate)", pure(StateSlopes)},
		{"dispatch", "Decisions of an entry (package dispatch)", pure(DispatchSlopes)},
		{"executor", "Start table of an agent (package executor)", pure(ExecutorSlopes)},
		{"rpc", "Messages between entry and agent (package rpc)", MessageSlopes},
		{"commit", "Group commit with a sync of 4 ms (packages control, consensus, wal)", CommitSlopes},
		{"renewals", "Renewals at one control node that is alone", RenewalSlopes},
		{"group", "A control leader with learners", GroupSlopes},
		{"idle", "Idle daemons", IdleSlopes},
		{"entry", "Jobs through an entry on loopback", EntrySlopes},
	}
}

// Run measures all parts, or the named one, and prints them as Markdown tables.
func Run(w io.Writer, only string) error {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, p := range parts() {
		if only != "" && only != p.name {
			continue
		}
		start := time.Now()
		series, err := p.run()
		if err != nil {
			return err
		}
		Print(w, fmt.Sprintf("%s, in %.0f s", p.title, time.Since(start).Seconds()), series)
	}
	return nil
}
