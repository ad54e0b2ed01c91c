package control

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// confirmTimeout limits the wait for the confirmation that a node needs to report
	// that a record is missing or to serve a confirmed read. After it the node refuses
	// with reason stale. A confirmation takes about two heartbeats of 100 ms; a node
	// without one in 1 s has lost its leader, and the caller asks another node.
	confirmTimeout = time.Second
	// lookupPollInterval is how often the node checks for that confirmation.
	lookupPollInterval = 50 * time.Millisecond
)

// lookupResult is the result of one lookup in the job records of this node.
type lookupResult struct {
	rec        wire.JobRecord
	err        *verdict.Error
	conclusive bool // the tables cover all that was committed when the query arrived
}

// serveJob returns a job record of this node. It reports a missing record only when
// its tables are known to cover the time at which the query arrived, since a node
// that lags behind may lack a record that has been acknowledged.
func (n *Node) serveJob(ctx context.Context, _ *rpc.Conn, q wire.JobQuery) (wire.JobRecord, error) {
	arrived := time.Now()
	for {
		r, err := runInLoop(ctx, n, func(c *core) lookupResult { return c.findJob(q, arrived) })
		switch {
		case err != nil:
			return wire.JobRecord{}, err
		case r.err == nil:
			return r.rec, nil
		case r.err.Reason != verdict.UnknownJob || r.conclusive:
			return wire.JobRecord{}, r.err
		case time.Since(arrived) > confirmTimeout:
			return wire.JobRecord{}, verdict.Refuse(verdict.Stale, "no confirmation in %v that the record is missing", confirmTimeout).After(time.Second)
		}
		if e := n.sleep(ctx, lookupPollInterval); e != nil {
			return wire.JobRecord{}, e
		}
	}
}

// findJob looks up a record in the applied tables.
func (c *core) findJob(q wire.JobQuery, arrived time.Time) lookupResult {
	if e := c.checkReadable(); e != nil {
		return lookupResult{err: e}
	}
	r := lookupResult{conclusive: !c.confirmedAt.Before(arrived)}
	var ok bool
	if q.Job == 0 {
		if r.rec, ok = c.state.JobByKey(q.Team, q.Key); !ok {
			r.err = verdict.Refuse(verdict.UnknownJob, "no job of team %q has this key", q.Team)
		}
		return r
	}
	// The id of a job is the log index of its record, so tables up to this index are
	// enough.
	r.conclusive = r.conclusive || c.state.Index() >= uint64(q.Job)
	if r.rec, ok = c.state.Job(q.Job); !ok {
		r.err = verdict.Refuse(verdict.UnknownJob, "job %d has no record", q.Job)
	}
	return r
}
