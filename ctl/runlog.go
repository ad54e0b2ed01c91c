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

// runRecord is the record of one task start in the log of a sample upstream.
type runRecord struct {
	Task    string    `json:"task"`
	Job     string    `json:"job,omitempty"`
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
}

// runLog appends task starts to a file. Each record is written before the task runs,
// so the log of a killed upstream contains every start that others can have observed.
type runLog struct {
	mu   sync.Mutex
	file io.WriteCloser // nil if no file was given
	err  error          // error of the first failed write
}

func openRunLog(path string) (*runLog, error) {
	if path == "" {
		return &runLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, &exitError{ExitUsage, errors.Wrap(err, "--log")}
	}
	return &runLog{file: f}, nil
}

// write appends the record of a start. Close returns its error.
func (l *runLog) write(r upstreamsim.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil || l.err != nil {
		return
	}
	line, err := json.Marshal(runRecord{Task: r.Task, Job: r.Job, Path: r.Path, Started: r.Started})
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	if err != nil {
		l.err = errors.Wrap(err, "run log")
	}
}

// Close closes the file. It returns the error of the first failed write, or that of
// closing the file.
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
