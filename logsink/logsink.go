// Package logsink bounds what a process spends on its log. Sink writes lines in
// the background and drops them when their reader is too slow; Budget limits the
// lines of one kind.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength bounds the lines that wait for a slow reader.
const queueLength = 4096

// reportInterval is the time between two lines about dropped ones.
const reportInterval = time.Second

// Sink is a writer that never blocks. Each Write is one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLength), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line, or drops and counts it.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what is queued and ends the sink. Lines that are written later, by
// goroutines that outlive the end of the process's work, are lost.
func (s *Sink) Close() error {
	close(s.stop)
	<-s.done
	return nil
}

func (s *Sink) run() {
	defer close(s.done)
	r := reporter{last: time.Now()}
	for {
		select {
		case line := <-s.lines:
			r.write(s, line)
		case <-s.stop:
			s.flush(&r)
			return
		}
	}
}

// flush writes what is queued.
func (s *Sink) flush(r *reporter) {
	for {
		select {
		case line := <-s.lines:
			r.write(s, line)
		default:
			return
		}
	}
}

// reporter tells of dropped lines among the others.
type reporter struct {
	reported uint64
	last     time.Time
}

func (r *reporter) write(s *Sink, line []byte) {
	_, _ = s.out.Write(line) // a log that can't be written has nowhere to say so
	n := s.dropped.Load()
	if n == r.reported || time.Since(r.last) < reportInterval {
		return
	}
	_, _ = fmt.Fprintf(s.out, "log: %d lines were dropped, since their reader is slow.\n", n-r.reported)
	r.reported, r.last = n, time.Now()
}

// Budget limits the lines of one kind to a number each second.
type Budget struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	used    int
	omitted uint64
}

// NewBudget returns a budget of the given number of lines each second.
func NewBudget(perSecond int) *Budget { return &Budget{perSecond: perSecond} }

// Allow reports whether a line may be written now, and how many lines were left
// out since the last one that was allowed.
func (b *Budget) Allow(now time.Time) (ok bool, omitted uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	if b.used >= b.perSecond {
		b.omitted++
		return false, 0
	}
	b.used++
	omitted, b.omitted = b.omitted, 0
	return true, omitted
}
