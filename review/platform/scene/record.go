package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the
// start in milliseconds.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}
