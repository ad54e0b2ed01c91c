package control

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the numbers that a control node reports.
type metrics struct {
	leads   tally.Gauge // 1 at the leader
	term    tally.Gauge
	commit  tally.Gauge // index of the log
	config  tally.Gauge // version of the configuration in the tables
	members tally.Gauge // live entries and agents
	age     tally.Gauge // seconds since a leader has vouched for the tables
	sync    tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return &metrics{
		leads:   s.Gauge("leads"),
		term:    s.Gauge("term"),
		commit:  s.Gauge("commit_index"),
		config:  s.Gauge("config_version"),
		members: s.Gauge("members_live"),
		age:     s.Gauge("confirmed_age_seconds"),
		sync:    s.Histogram("sync_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
}

// update takes over the state of the node.
func (m *metrics) update(c *core, now time.Time) {
	m.leads.Update(0)
	if c.leading {
		m.leads.Update(1)
	}
	m.term.Update(float64(c.raft.Term()))
	m.commit.Update(float64(c.raft.Commit()))
	m.config.Update(float64(c.state.ConfigVer()))
	m.members.Update(float64(c.state.LiveCount()))
	if !c.confirmed.IsZero() {
		m.age.Update(now.Sub(c.confirmed).Seconds())
	}
}
