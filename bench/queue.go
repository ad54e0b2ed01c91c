package bench

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap orders events by time, then by the order in which they were added.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*h = old[:n]
	return e
}

// queue is the event queue of one run. Time moves only from event to event.
type queue struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// at calls run at time t, or now if t has passed.
func (q *queue) at(t time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at: max(t, q.now), seq: q.seq, run: run})
}

// after calls run once d has passed.
func (q *queue) after(d time.Duration, run func()) { q.at(q.now+d, run) }

// runUntil calls all events up to end, or until done reports true.
func (q *queue) runUntil(end time.Duration, done func() bool) {
	for len(q.events) > 0 && q.events[0].at <= end && !done() {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
}
