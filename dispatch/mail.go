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
func (m *outbox) cancel(o wire.Ownership) {
	if n := len(m.cancels); n > 0 && m.cancels[n-1] == o {
		return
	}
	m.cancels = append(m.cancels, o)
}

// dropRepeatable drops what is sent again after a reconnection. Acknowledgements
// and ended jobs are kept, since nothing repeats them.
func (m *outbox) dropRepeatable() {
	m.starts, m.recalls, m.cancels, m.aborts = nil, nil, nil, nil
}

func (m *outbox) isEmpty() bool {
	return len(m.starts)+len(m.recalls)+len(m.cancels)+len(m.aborts)+len(m.acks)+len(m.ended) == 0
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
		m := &u.outbox
		send = append(send, Envelope{To: u.incarnation, Exchange: wire.Exchange{
			Entry:   c.cfg.Self,
			Starts:  m.starts,
			Recalls: m.recalls,
			Cancels: m.cancels,
			Aborts:  m.aborts,
			Acks:    m.acks,
			Ended:   m.ended,
			Demand:  u.svc.teamQueues.waitingTasks,

			ValidUntilMS: u.validUntilMS(now),
		}})
		u.outbox = outbox{}
		c.messageCounts.Envelopes++
	}
	c.markedUpstreams = c.markedUpstreams[:0]
	return send
}
