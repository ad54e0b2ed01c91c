package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// ackDelay is how long acknowledgements wait for another message to the same
// agent. It is below the 8 s after which agents retransmit.
const ackDelay = 5 * time.Second

// outbox collects what the next message to an agent carries.
type outbox struct {
	starts  []wire.Start
	recalls []wire.Recall
	cancels []wire.Ownership
	aborts  []ids.TaskKey
	acks    []wire.Ack
	ended   []ids.Job
}

// cancel adds the cancellation of a job, unless it is the last one added.
func (box *outbox) cancel(o wire.Ownership) {
	if n := len(box.cancels); n > 0 && box.cancels[n-1] == o {
		return
	}
	box.cancels = append(box.cancels, o)
}

// dropRepeatable drops what is sent again after a reconnection. Acknowledgements
// and ended jobs are kept, since nothing repeats them.
func (box *outbox) dropRepeatable() {
	box.starts, box.recalls, box.cancels, box.aborts = nil, nil, nil, nil
}

func (box *outbox) isEmpty() bool {
	return len(box.starts)+len(box.recalls)+len(box.cancels)+len(box.aborts)+len(box.acks)+len(box.ended) == 0
}

// markForSend makes this tick send the outbox of u.
func (c *Core) markForSend(u *upstream) {
	if !u.markedForSend {
		u.markedForSend = true
		c.markedUpstreams = append(c.markedUpstreams, u)
	}
}

// scheduleFlush makes sure that the outbox of u is sent within ackDelay.
func (c *Core) scheduleFlush(now time.Duration, u *upstream) {
	if !u.flushScheduled {
		u.flushScheduled = true
		c.timers.add(now+ackDelay, &timer{kind: flushTimer, target: u})
	}
}

// flushOutboxes returns one message for each marked upstream that can be reached
// and whose outbox is not empty or whose lease is to be renewed.
func (c *Core) flushOutboxes(now time.Duration) []Envelope {
	var send []Envelope
	for _, u := range c.markedUpstreams {
		u.markedForSend = false
		if !u.connected || u.lost || u.outbox.isEmpty() && !u.leaseRenewalDue {
			continue
		}
		u.leaseRenewalDue = false
		u.lastSentAt = now
		box := &u.outbox
		send = append(send, Envelope{To: u.incarnation, Exchange: wire.Exchange{
			Entry:   c.cfg.Self,
			Starts:  box.starts,
			Recalls: box.recalls,
			Cancels: box.cancels,
			Aborts:  box.aborts,
			Acks:    box.acks,
			Ended:   box.ended,
			Demand:  u.svc.teamQueues.waitingTasks,

			ValidUntilMS: c.validUntilMS(now, u),
		}})
		u.outbox = outbox{}
		c.messageCounts.Envelopes++
	}
	c.markedUpstreams = c.markedUpstreams[:0]
	return send
}
