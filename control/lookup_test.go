package control

import (
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a job id beyond the end of the log that is taken for a record not
// applied yet and makes the caller wait, at the leader and at a follower.
func TestJobBeyondTheLogIsUnknown(t *testing.T) {
	g := newGroup(t, 3)
	g.leader()
	for i := range g.opts {
		if _, err := g.clientOfNode(i).Job(g.ctx(), 1<<40); verdict.FromError(err).Reason != verdict.UnknownJob {
			t.Errorf("node %d: %v", i, err)
		}
	}
}

// Guards against a node that lags behind and reports an acknowledged record, looked
// up by id or by key, as missing.
func TestMissIsConfirmed(t *testing.T) {
	g := newGroup(t, 1)
	node := g.nodes[g.leader()]
	e := g.session(wire.KindEntry, "e1")
	known := admit(g, e, wire.AdmitItem{Key: "k", BodyHash: "h", Nonce: "n1"}).Admitted.Job
	for _, tc := range []struct {
		name         string
		query        wire.JobQuery
		arrivalDelay time.Duration // time from the last confirmation to the arrival of the query
		unknown      bool
		conclusive   bool
	}{
		{"known id", wire.JobQuery{Job: known}, time.Hour, false, false},
		{"known key", wire.JobQuery{Team: "acme", Key: "k"}, time.Hour, false, false},
		{"id without a job", wire.JobQuery{Job: 1}, time.Hour, true, true},
		{"id beyond the log", wire.JobQuery{Job: 1 << 40}, time.Hour, true, false},
		{"id beyond the confirmed log", wire.JobQuery{Job: 1 << 40}, 0, true, true},
		{"unknown key", wire.JobQuery{Team: "acme", Key: "x"}, time.Hour, true, false},
		{"unknown key, confirmed", wire.JobQuery{Team: "acme", Key: "x"}, 0, true, true},
	} {
		r, err := runInLoop(g.ctx(), node, func(c *core) lookupResult { return c.findJob(tc.query, c.confirmedAt.Add(tc.arrivalDelay)) })
		if err != nil {
			t.Fatal(err)
		}
		if unknown := r.err != nil && r.err.Reason == verdict.UnknownJob; unknown != tc.unknown || unknown && r.conclusive != tc.conclusive {
			t.Errorf("%s: %+v", tc.name, r)
		}
	}
	if _, err := e.JobByKey(g.ctx(), ids.Team("acme"), "x"); verdict.FromError(err).Reason != verdict.UnknownJob {
		t.Errorf("unknown key: %v", err)
	}
}
