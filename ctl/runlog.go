package ctl

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/upstreamsim"
)

// runLogInterval is how often a sample upstream appends to its log. A sample
// upstream that is killed loses at most the starts of this time.
const runLogInterval = 20 * time.Millisecond

// runLine is one start of a task in the log of a sample upstream.
type runLine struct {
	Task    string    `json:"task"`
	Job     string    `json:"job,omitempty"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
}

// runLog appends starts to a file.
type runLog struct {
	file    io.WriteCloser // nil for none
	written int
}

func openRunLog(path string) (*runLog, error) {
	if path == "" {
		return &runLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, &exit{ExitUsage, errors.Wrap(err, "--log")}
	}
	return &runLog{file: f}, nil
}

// write appends the starts that are not in the log yet.
func (l *runLog) write(runs []upstreamsim.Run) error {
	if l.file == nil || len(runs) == l.written {
		return nil
	}
	var lines []byte
	for _, r := range runs[l.written:] {
		line, err := json.Marshal(runLine{Task: r.Task, Job: r.Job, Path: r.Path, Started: r.Started})
		if err != nil {
			return errors.Wrap(err, "log")
		}
		lines = append(append(lines, line...), '\n')
	}
	if _, err := l.file.Write(lines); err != nil {
		return errors.Wrap(err, "log")
	}
	l.written = len(runs)
	return nil
}

// Close closes the file.
func (l *runLog) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
