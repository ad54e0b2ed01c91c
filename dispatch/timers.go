package dispatch

import (
	"container/heap"
	"time"
)

// timerKind selects what happens when a timer fires.
type timerKind uint8

const (
	deadlineTimer timerKind = iota // fails a job at its deadline
	hedgeTimer                     // starts a second attempt of a single request
	unblockTimer                   // lets an upstream have new work again
	claimTimer                     // sends claims without a reply again
	flushTimer                     // sends acknowledgements for which no other message has come along
)

// timer is a scheduled event.
type timer struct {
	at            time.Duration
	seq           uint64 // order of insertion
	pos           int    // position in the heap, -1 when not set
	kind          timerKind
	job           *job
	hedgedAttempt *attempt
	target        *upstream
}

// timerHeap orders timers by time and then by insertion.
type timerHeap struct {
	items timerItems
	seq   uint64
}

type timerItems []*timer

func (h timerItems) Len() int { return len(h) }
func (h timerItems) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].seq < h[k].seq
}
func (h timerItems) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos, h[k].pos = i, k
}
func (h *timerItems) Push(x any) {
	t := x.(*timer)
	t.pos = len(*h)
	*h = append(*h, t)
}
func (h *timerItems) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.pos = -1
	*h = old[:len(old)-1]
	return t
}

// add sets a timer and returns it.
func (h *timerHeap) add(at time.Duration, t *timer) *timer {
	h.seq++
	t.at, t.seq = at, h.seq
	heap.Push(&h.items, t)
	return t
}

// cancel removes a timer. It accepts nil and timers that are not set.
func (h *timerHeap) cancel(t *timer) {
	if t != nil && t.pos >= 0 {
		heap.Remove(&h.items, t.pos)
	}
}

// nextTime returns when the next timer is due, zero for never.
func (h *timerHeap) nextTime() time.Duration {
	if len(h.items) == 0 {
		return 0
	}
	return h.items[0].at
}

// fireTimers runs all timers that are due.
func (c *Core) fireTimers(now time.Duration) {
	for len(c.timers.items) > 0 && c.timers.items[0].at <= now {
		t := heap.Pop(&c.timers.items).(*timer)
		switch t.kind {
		case deadlineTimer:
			c.failAtDeadline(now, t.job)
		case hedgeTimer:
			c.hedge(now, t.hedgedAttempt)
		case unblockTimer:
			c.unblock(now, t.target)
		case claimTimer:
			c.repeatClaims(now, t.job)
		case flushTimer:
			t.target.flushScheduled = false
			c.markForSend(t.target)
		}
	}
}
