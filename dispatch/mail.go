package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
)

// ackDelay is how long acknowledgements wait for a message that goes to the
// agent anyway. Agents retransmit after 8 s.
const ackDelay = 5 * time.Second

// mailbox collects what goes to one agent in the next message.
type mailbox struct {
	starts  []wire.Start
	recalls []wire.Recall
	cancels []wire.Ownership
	aborts  []ids.TaskKey
	acks    []wire.Ack
	ended   []ids.Job
}

// cancel adds a job once.
func (m *mailbox) cancel(o wire.Ownership) {
	if n := len(m.cancels); n > 0 && m.cancels[n-1] == o {
		return
	}
	m.cancels = append(m.cancels, o)
}

// clear drops what a new connection will repeat. Acknowledgements and ended
// jobs are kept.
func (m *mailbox) clear() {
	m.starts, m.recalls, m.cancels, m.aborts = nil, nil, nil, nil
}

func (m *mailbox) empty() bool {
	return len(m.starts)+len(m.recalls)+len(m.cancels)+len(m.aborts)+len(m.acks)+len(m.ended) == 0
}

// mark has the mailbox of u sent in this tick.
func (c *Core) mark(u *upstream) {
	if !u.marked {
		u.marked = true
		c.mail = append(c.mail, u)
	}
}

// flushLater has acknowledgements sent after ackDelay at the latest.
func (c *Core) flushLater(now time.Duration, u *upstream) {
	if !u.flushSet {
		u.flushSet = true
		c.timers.add(now+ackDelay, &timer{kind: flushTimer, up: u})
	}
}

// flushMail builds one message for each agent that has something to get.
func (c *Core) flushMail(now time.Duration) []Envelope {
	var send []Envelope
	for _, u := range c.mail {
		u.marked = false
		if !u.connected || u.gone || u.mailbox.empty() && !u.renew {
			continue
		}
		u.renew = false
		u.mailAt = now
		m := &u.mailbox
		send = append(send, Envelope{To: u.inc, Exchange: wire.Exchange{
			Entry:   c.cfg.Self,
			Starts:  m.starts,
			Recalls: m.recalls,
			Cancels: m.cancels,
			Aborts:  m.aborts,
			Acks:    m.acks,
			Ended:   m.ended,
			Demand:  u.svc.fair.waiting,

			ValidUntilMS: u.validUntilMS(now),
		}})
		u.mailbox = mailbox{}
		c.msgs.Envelopes++
	}
	c.mail = c.mail[:0]
	return send
}
