package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// ackDelay is how long acknowledgements wait for a message that goes to the
// agent anyway. Agents retransmit after 8 s.
const ackDelay = 5 * time.Second

// outbox collects what goes to one agent in the next message.
type outbox struct {
	starts  []wire.Start
	recalls []wire.Recall
	cancels []wire.Ownership
	aborts  []ids.TaskKey
	acks    []wire.Ack
	ended   []ids.Job
}

// cancel adds a job once.
func (m *outbox) cancel(o wire.Ownership) {
	if n := len(m.cancels); n > 0 && m.cancels[n-1] == o {
		return
	}
	m.cancels = append(m.cancels, o)
}

// dropRepeatable drops what a new connection will repeat. Acknowledgements and ended
// jobs are kept.
func (m *outbox) dropRepeatable() {
	m.starts, m.recalls, m.cancels, m.aborts = nil, nil, nil, nil
}

func (m *outbox) isEmpty() bool {
	return len(m.starts)+len(m.recalls)+len(m.cancels)+len(m.aborts)+len(m.acks)+len(m.ended) == 0
}

// markForSend has the mailbox of u sent in this tick.
func (c *Core) markForSend(u *upstream) {
	if !u.markedForSend {
		u.markedForSend = true
		c.markedUpstreams = append(c.markedUpstreams, u)
	}
}

// scheduleFlush has acknowledgements sent after ackDelay at the latest.
func (c *Core) scheduleFlush(now time.Duration, u *upstream) {
	if !u.flushScheduled {
		u.flushScheduled = true
		c.timers.add(now+ackDelay, &timer{kind: flushTimer, target: u})
	}
}

// flushOutboxes builds one message for each agent that has something to get.
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
