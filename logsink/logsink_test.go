package logsink

import (
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a process that blocks on a slow reader of its log.
func TestSlowReaderDoesNotBlockWrites(t *testing.T) {
	r, w := io.Pipe() // nobody reads until the lines have been written
	s := New(w)
	for range 3 * maxQueuedLines {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if d := s.Dropped(); d < maxQueuedLines || d > 2*maxQueuedLines {
		t.Errorf("%d of %d lines were dropped", d, 3*maxQueuedLines)
	}
	read := make(chan int)
	go func() {
		text, _ := io.ReadAll(r)
		read <- strings.Count(string(text), "line\n")
	}()
	s.Close()
	w.Close()
	if n := <-read; uint64(n)+s.Dropped() != 3*maxQueuedLines {
		t.Errorf("%d lines were read and %d dropped of %d", n, s.Dropped(), 3*maxQueuedLines)
	}
}

// Guards against a burst of lines of one kind, and against lines that are omitted without
// being counted.
func TestBudget(t *testing.T) {
	b := NewBudget(2)
	now := time.Unix(100, 0)
	for i, want := range []bool{true, true, false, false} {
		if ok, _ := b.Allow(now); ok != want {
			t.Errorf("line %d: allowed %v", i, ok)
		}
	}
	if ok, omitted := b.Allow(now.Add(time.Second)); !ok || omitted != 2 {
		t.Errorf("next second: allowed %v, %d omitted", ok, omitted)
	}
}

// Guards against a panic when a goroutine logs after the sink was closed.
func TestWriteAfterClose(t *testing.T) {
	s := New(io.Discard)
	s.Close()
	if _, err := s.Write([]byte("line\n")); err != nil {
		t.Error(err)
	}
}

// Guards against a queue of lines that holds whatever texts peers send while its reader is
// slow.
func TestLongLinesAreBounded(t *testing.T) {
	r, w := io.Pipe() // nobody reads until the lines have been written
	s := New(w)
	line := []byte(strings.Repeat("x", 1<<20) + "\n")
	for range maxQueuedLines {
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if n := s.queued.Load(); n > maxQueuedBytes {
		t.Errorf("%d bytes wait, at most %d are allowed", n, maxQueuedBytes)
	}
	first := make(chan int)
	go func() {
		n, _ := r.Read(make([]byte, len(line))) // one write of the sink
		first <- n
		_, _ = io.Copy(io.Discard, r)
	}()
	if n := <-first; n != maxLineBytes {
		t.Errorf("a line of %d bytes was written as %d, want %d", len(line), n, maxLineBytes)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
