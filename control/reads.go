package control

import (
	"slices"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/verdict"
)

// confirmedReads holds the reads that wait until a quorum has confirmed that this node
// is the leader, and until the tables cover everything committed before that.
type confirmedReads struct {
	lastID  uint64
	waiting map[uint64]func(*verdict.Error) // by read id
	ready   []consensus.Read                // confirmed, but the tables lack entries
}

func newConfirmedReads() confirmedReads {
	return confirmedReads{waiting: map[uint64]func(*verdict.Error){}}
}

// readConfirmed calls reply exactly once, from the event loop: without an error as soon
// as the tables hold everything that was committed before the call.
func (c *core) readConfirmed(reply func(*verdict.Error)) {
	if !c.raft.IsLeader() {
		reply(c.notLeader())
		return
	}
	c.reads.lastID++
	if err := c.raft.ReadIndex(c.reads.lastID); err != nil {
		reply(verdict.FromError(err))
		return
	}
	c.reads.waiting[c.reads.lastID] = reply
}

// answerReads answers the reads that consensus has confirmed or dropped.
func (c *core) answerReads(rd consensus.Ready) {
	for _, id := range rd.Dropped {
		c.reads.answer(id, verdict.Refuse(verdict.NoQuorum, "leadership was lost before the read was confirmed"))
	}
	c.reads.ready = append(c.reads.ready, rd.Reads...)
	c.reads.ready = slices.DeleteFunc(c.reads.ready, func(r consensus.Read) bool {
		if r.Index > c.state.Index() {
			return false
		}
		c.reads.answer(r.ID, nil)
		return true
	})
}

func (r *confirmedReads) answer(id uint64, e *verdict.Error) {
	reply, ok := r.waiting[id]
	if !ok {
		return
	}
	delete(r.waiting, id)
	reply(e)
}
