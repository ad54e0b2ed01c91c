// Package logsink bounds the time and memory that a process spends on its log. Sink
// writes lines in the background and drops them when their reader is too slow; Budget
// limits the rate of one kind of lines.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait for a slow reader.
const maxQueuedLines = 4096

const (
	// maxLineBytes bounds a line. Lines contain texts that peers send.
	maxLineBytes = 4 << 10
	// maxQueuedBytes bounds the memory of the lines that wait.
	maxQueuedBytes = 2 << 20
)

// dropReportInterval is the minimum time between two reports of dropped lines.
const dropReportInterval = time.Second

// Sink is a writer that never blocks. Each call of Write writes one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes of lines
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line, without what exceeds maxLineBytes. It drops and counts the
// line if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	queued := shorten(line)
	size := int64(len(queued))
	if s.queued.Add(size) > maxQueuedBytes {
		s.drop(size)
		return len(line), nil
	}
	select {
	case s.lines <- queued:
	default:
		s.drop(size)
	}
	return len(line), nil
}

func (s *Sink) drop(size int64) {
	s.queued.Add(-size)
	s.dropped.Add(1)
}

// shorten returns a copy of a line of at most maxLineBytes.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	const end = "...\n"
	return append(append(make([]byte, 0, maxLineBytes), line[:maxLineBytes-len(end)]...), end...)
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. Lines written later, by goroutines
// that still run while the process ends, are lost.
func (s *Sink) Close() error {
	close(s.stop)
	<-s.done
	return nil
}

func (s *Sink) run() {
	defer close(s.done)
	w := lineWriter{lastReport: time.Now()}
	for {
		select {
		case line := <-s.lines:
			w.write(s, line)
		case <-s.stop:
			s.flush(&w)
			return
		}
	}
}

// flush writes the queued lines.
func (s *Sink) flush(w *lineWriter) {
	for {
		select {
		case line := <-s.lines:
			w.write(s, line)
		default:
			return
		}
	}
}

// lineWriter writes lines to the output and reports dropped lines there.
type lineWriter struct {
	reportedDrops uint64
	lastReport    time.Time
}

func (w *lineWriter) write(s *Sink, line []byte) {
	s.queued.Add(-int64(len(line)))
	_, _ = s.out.Write(line) // there is no other place to report that the log can't be written
	n := s.dropped.Load()
	if n == w.reportedDrops || time.Since(w.lastReport) < dropReportInterval {
		return
	}
	_, _ = fmt.Fprintf(s.out, "log: %d lines were dropped, since their reader is slow.\n", n-w.reportedDrops)
	w.reportedDrops, w.lastReport = n, time.Now()
}

// Budget limits one kind of log lines to a number of lines each second.
type Budget struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	allowed int
	omitted uint64
}

// NewBudget returns a budget that allows perSecond lines each second.
func NewBudget(perSecond int) *Budget { return &Budget{perSecond: perSecond} }

// Allow reports whether a line may be written now, and how many lines were omitted since
// the last one that was allowed.
func (b *Budget) Allow(now time.Time) (ok bool, omitted uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.allowed = s, 0
	}
	if b.allowed >= b.perSecond {
		b.omitted++
		return false, 0
	}
	b.allowed++
	omitted, b.omitted = b.omitted, 0
	return true, omitted
}
