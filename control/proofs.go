package control

import (
	"sync"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/rpc"
)

// maxSentMarks limits the marks of a connection. It covers several seconds of heartbeats.
const maxSentMarks = 64

// sentMarks says which messages have been sent over the connection of a link. The answers
// of consensus to them prove the arrival of all that was sent before, so that a connection
// needs no probes while there is a leader.
type sentMarks struct {
	mu    sync.Mutex
	conn  *rpc.Conn
	marks []sentMark // oldest first
	// Term and round of the latest heartbeat. Later messages carry the same round, and an
	// answer to the heartbeat says nothing of them.
	term, round uint64
}

// sentMark describes one batch of messages.
type sentMark struct {
	position    uint64 // number of messages on the connection up to the batch
	term, round uint64 // of the latest heartbeat in the batch, zero if there is none
	tick        uint64 // of the latest reply to a leader, zero if there is none
}

// record adds a batch that has been sent over conn. Marks of another connection are dropped.
func (s *sentMarks) record(conn *rpc.Conn, messages []consensus.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mark := sentMark{position: conn.Sent()}
	for _, m := range messages {
		switch m.Kind {
		case consensus.MsgAppend:
			if m.Term != s.term || m.HeartbeatRound != s.round {
				s.term, s.round = m.Term, m.HeartbeatRound
				mark.term, mark.round = m.Term, m.HeartbeatRound
			}
		case consensus.MsgAppendReply:
			if m.Timestamp != nil {
				mark.tick = m.Timestamp.Tick
			}
		}
	}
	if s.conn != conn {
		s.conn, s.marks = conn, nil
	}
	if len(s.marks) == maxSentMarks {
		s.marks = s.marks[1:]
	}
	s.marks = append(s.marks, mark)
}

// prove tells the connection that the latest batch for which arrived returns true has
// reached the peer.
func (s *sentMarks) prove(arrived func(sentMark) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.marks) - 1; i >= 0; i-- {
		if arrived(s.marks[i]) {
			s.conn.Acknowledge(s.marks[i].position)
			s.marks = s.marks[i+1:]
			return
		}
	}
}

// recordProofs takes from the messages of a peer what they show about the arrival of
// messages to it.
func (c *core) recordProofs(p stepBatch) {
	l := c.links.byKey[linkKey{p.Addr, false}]
	if l == nil {
		return
	}
	for _, m := range p.Messages {
		switch s := m.Timestamp; {
		case m.Kind == consensus.MsgAppendReply && m.HeartbeatRound > 0:
			l.sent.prove(func(mark sentMark) bool {
				return mark.term == m.Term && mark.round > 0 && mark.round <= m.HeartbeatRound
			})
		case m.Kind == consensus.MsgAppend && s != nil && s.Boot == c.instance.Boot:
			// The leader may have the tick from an earlier reply of the same tick.
			l.sent.prove(func(mark sentMark) bool { return mark.tick > 0 && mark.tick < s.Tick })
		}
	}
}
