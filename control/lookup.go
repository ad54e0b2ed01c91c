package control

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// missWait bounds the wait for a confirmation before a record is said to be
	// missing. A confirmation takes about two heartbeats of 100 ms; a node
	// without one in 1 s has lost its leader, and another node is asked.
	missWait = time.Second
	// missPoll is the time between two looks for that confirmation.
	missPoll = 50 * time.Millisecond
)

// lookup is the result of one look into the job records of a node.
type lookup struct {
	rec  wire.JobRecord
	err  *verdict.Error
	sure bool // the tables hold all that was committed when the query arrived
}

// serveJob returns a record that the node holds. It says that there is none only
// when its tables are known to cover the time at which the query arrived, since
// a node that lags behind may lack a record that has been acknowledged.
func (n *Node) serveJob(ctx context.Context, _ *rpc.Conn, q wire.JobQuery) (wire.JobRecord, error) {
	arrived := time.Now()
	for {
		r, err := ask(ctx, n, func(c *core) lookup { return c.lookUp(q, arrived) })
		switch {
		case err != nil:
			return wire.JobRecord{}, err
		case r.err == nil:
			return r.rec, nil
		case r.err.Reason != verdict.UnknownJob || r.sure:
			return wire.JobRecord{}, r.err
		case time.Since(arrived) > missWait:
			return wire.JobRecord{}, verdict.Refuse(verdict.Stale, "no confirmation in %v that the record is missing", missWait).After(time.Second)
		}
		if e := n.pause(ctx, missPoll); e != nil {
			return wire.JobRecord{}, e
		}
	}
}

// lookUp looks for a record in the tables as they are.
func (c *core) lookUp(q wire.JobQuery, arrived time.Time) lookup {
	if e := c.readable(); e != nil {
		return lookup{err: e}
	}
	r := lookup{sure: !c.confirmed.Before(arrived)}
	var ok bool
	if q.Job == 0 {
		if r.rec, ok = c.state.JobByKey(q.Team, q.Key); !ok {
			r.err = verdict.Refuse(verdict.UnknownJob, "no job of team %q has this key", q.Team)
		}
		return r
	}
	// A record lies at the index that is its id, so tables beyond it are enough.
	r.sure = r.sure || c.state.Index() >= uint64(q.Job)
	if r.rec, ok = c.state.Job(q.Job); !ok {
		r.err = verdict.Refuse(verdict.UnknownJob, "job %d has no record", q.Job)
	}
	return r
}
