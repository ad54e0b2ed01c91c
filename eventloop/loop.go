// Package eventloop runs the goroutine that owns the state of a core without locks or
// I/O. It applies inputs in order and calls the core's tick function after inputs and
// at the time that the core requests.
package eventloop

import (
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/clock"
)

// maxQueuedInputs bounds the inputs that wait to be applied. Senders block when the
// queue is full, which slows down the connections that they read from.
const maxQueuedInputs = 4096

// maxInputBatch bounds the queued inputs that are applied before the loop checks whether
// a tick is due. Without it, constant input would delay ticks without end.
const maxInputBatch = 1024

// Input changes the state that the loop's goroutine owns.
type Input func(now time.Duration)

// Loop is a goroutine with a queue of inputs. Its clock starts at zero and includes the
// time for which the VM is suspended, so that leases expire during a suspension.
type Loop struct {
	inputs          chan Input
	stop            chan struct{}
	done            chan struct{}
	stopOnce        sync.Once
	clock           *clock.Stopwatch
	minTickInterval time.Duration
	tick            func(now time.Duration) time.Duration
}

// New returns a loop that calls tick after inputs, with at least minTickInterval between
// two calls. tick returns the time of the next call if there is no input before, or zero
// if none is needed.
func New(minTickInterval time.Duration, tick func(now time.Duration) time.Duration) *Loop {
	return NewWithClock(clock.NewStopwatch(), minTickInterval, tick)
}

// NewWithClock returns a loop like New whose times are those of c. Loops that exchange
// points in time share a clock.
func NewWithClock(c *clock.Stopwatch, minTickInterval time.Duration, tick func(now time.Duration) time.Duration) *Loop {
	return &Loop{
		inputs:          make(chan Input, maxQueuedInputs),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
		clock:           c,
		minTickInterval: minTickInterval,
		tick:            tick,
	}
}

// Start starts the loop's goroutine.
func (l *Loop) Start() { go l.run() }

// Clock returns the loop's clock.
func (l *Loop) Clock() *clock.Stopwatch { return l.clock }

// Now returns the time on the loop's clock.
func (l *Loop) Now() time.Duration { return l.clock.Elapsed() }

// Post queues an input. It returns false when the loop has stopped.
func (l *Loop) Post(input Input) bool {
	select {
	case <-l.stop:
		return false
	default:
	}
	select {
	case l.inputs <- input:
		return true
	case <-l.stop:
		return false
	}
}

// Call queues an input and waits until it has been applied. It returns false when the
// loop stops before that. It must not be called from an input, which would deadlock.
func (l *Loop) Call(input Input) bool {
	applied := make(chan struct{})
	if !l.Post(func(now time.Duration) { input(now); close(applied) }) {
		return false
	}
	select {
	case <-applied:
		return true
	case <-l.done:
		select {
		case <-applied:
			return true
		default:
			return false
		}
	}
}

// Stop ends the goroutine and waits for its end. Queued inputs are dropped. It must not
// be called from an input, which would deadlock.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
}

// Stopped reports whether the loop has been told to stop.
func (l *Loop) Stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *Loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastTick time.Duration
	for {
		select {
		case <-l.stop:
			return
		case input := <-l.inputs:
			l.applyQueued(input)
			if wait := lastTick + l.minTickInterval - l.Now(); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		lastTick = l.Now()
		nextTick := l.tick(lastTick)
		l.resetTimer(timer, nextTick)
	}
}

// applyQueued applies input and the inputs that are queued after it.
func (l *Loop) applyQueued(input Input) {
	input(l.Now())
	for range maxInputBatch {
		select {
		case next := <-l.inputs:
			next(l.Now())
		default:
			return
		}
	}
}

func (l *Loop) resetTimer(timer *time.Timer, nextTick time.Duration) {
	if nextTick <= 0 {
		timer.Stop()
		return
	}
	timer.Reset(max(nextTick-l.Now(), l.minTickInterval))
}
