// Package eventloop runs the goroutine that owns a pure core: it applies inputs
// in order, and ticks the core after inputs and at the time the core asks for.
package eventloop

import (
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/clock"
)

// queueLength bounds the inputs that wait for the owner. Senders block when it
// is full, which slows down the connections they read from.
const queueLength = 4096

// maxBatch bounds the inputs applied before a tick.
const maxBatch = 1024

// Input changes the state that the loop's goroutine owns.
type Input func(now time.Duration)

// Loop is one goroutine with its inputs. Its clock starts at zero and counts the
// time for which the VM was suspended, so that leases run out meanwhile.
type Loop struct {
	inputs  chan Input
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	clock   *clock.Stopwatch
	tickMin time.Duration
	tick    func(now time.Duration) time.Duration
}

// New returns a loop that calls tick after inputs, at least tickMin apart. tick
// returns the time at which it is needed again without input, zero for never.
func New(tickMin time.Duration, tick func(now time.Duration) time.Duration) *Loop {
	return &Loop{
		inputs:  make(chan Input, queueLength),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		clock:   clock.NewStopwatch(),
		tickMin: tickMin,
		tick:    tick,
	}
}

// Start starts the goroutine.
func (l *Loop) Start() { go l.run() }

// Now returns the time on the loop's clock.
func (l *Loop) Now() time.Duration { return l.clock.Elapsed() }

// Post queues an input. It returns false when the loop has stopped.
func (l *Loop) Post(f Input) bool {
	select {
	case <-l.stop:
		return false
	default:
	}
	select {
	case l.inputs <- f:
		return true
	case <-l.stop:
		return false
	}
}

// Call queues an input and waits until it has been applied. It returns false
// when the loop stopped before. It must not be called from an input.
func (l *Loop) Call(f Input) bool {
	applied := make(chan struct{})
	if !l.Post(func(now time.Duration) { f(now); close(applied) }) {
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

// Stop ends the goroutine and waits for it. Queued inputs are dropped. It must
// not be called from an input.
func (l *Loop) Stop() {
	l.once.Do(func() { close(l.stop) })
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
	var last time.Duration
	for {
		select {
		case <-l.stop:
			return
		case f := <-l.inputs:
			l.apply(f)
			if wait := last + l.tickMin - l.Now(); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		last = l.Now()
		next := l.tick(last)
		l.arm(timer, next)
	}
}

// apply runs f and what is queued behind it.
func (l *Loop) apply(f Input) {
	f(l.Now())
	for range maxBatch {
		select {
		case g := <-l.inputs:
			g(l.Now())
		default:
			return
		}
	}
}

func (l *Loop) arm(timer *time.Timer, next time.Duration) {
	if next <= 0 {
		timer.Stop()
		return
	}
	timer.Reset(max(next-l.Now(), l.tickMin))
}
