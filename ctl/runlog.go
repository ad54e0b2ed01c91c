package ctl

import (
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/upstreamsim"
)

// runLine is one start of a task in the log of a sample upstream.
type runLine struct {
	Task    string    `json:"task"`
	Job     string    `json:"job,omitempty"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
}

// runLog appends starts to a file. Each is written before the task runs, so a sample
// upstream that is killed has logged every start that anybody can know of.
type runLog struct {
	mu   sync.Mutex
	file io.WriteCloser // nil for none
	err  error          // of the first write that failed
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

// write appends a start. A failure is returned by Close.
func (l *runLog) write(r upstreamsim.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil || l.err != nil {
		return
	}
	line, err := json.Marshal(runLine{Task: r.Task, Job: r.Job, Path: r.Path, Started: r.Started})
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	if err != nil {
		l.err = errors.Wrap(err, "log")
	}
}

// Close closes the file. It returns the first failure of all.
func (l *runLog) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	if l.err != nil {
		return l.err
	}
	return err
}
