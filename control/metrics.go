package control

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of a control node.
type metrics struct {
	isLeader      tally.Gauge // 1 at the leader, 0 elsewhere
	term          tally.Gauge
	commitIndex   tally.Gauge // index up to which the log is committed
	configVersion tally.Gauge // of the applied tables
	liveMembers   tally.Gauge // entries and agents
	drained       tally.Gauge // failure domains that operators drain
	confirmedAge  tally.Gauge // seconds since a leader confirmed the tables as current
	voters        tally.Gauge // of the membership in effect
	learners      tally.Gauge
	silentVoters  tally.Gauge // voters without a reply for silentAfter; known to the leader only
	syncTime      tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return &metrics{
		isLeader:      s.Gauge("leads"),
		term:          s.Gauge("term"),
		commitIndex:   s.Gauge("commit_index"),
		configVersion: s.Gauge("config_version"),
		liveMembers:   s.Gauge("members_live"),
		drained:       s.Gauge("domains_drained"),
		confirmedAge:  s.Gauge("confirmed_age_seconds"),
		voters:        s.Gauge("voters"),
		learners:      s.Gauge("learners"),
		silentVoters:  s.Gauge("voters_silent"),
		syncTime:      s.Histogram("sync_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
}

// update sets the gauges from the state of the node.
func (m *metrics) update(c *core, now time.Time) {
	m.isLeader.Update(0)
	if c.leading {
		m.isLeader.Update(1)
	}
	m.term.Update(float64(c.raft.Term()))
	m.commitIndex.Update(float64(c.raft.Commit()))
	m.configVersion.Update(float64(c.state.ConfigVer()))
	m.liveMembers.Update(float64(c.state.LiveCount()))
	m.drained.Update(float64(c.drainedDomains()))
	m.updateGroup(c)
	if !c.confirmedAt.IsZero() {
		m.confirmedAge.Update(now.Sub(c.confirmedAt).Seconds())
	}
}

func (m *metrics) updateGroup(c *core) {
	voters, learners, silent := 0, 0, 0
	for _, p := range c.raft.Group().Peers {
		switch {
		case !p.Voter:
			learners++
		case c.silence(p.ID) >= silentAfter:
			silent++
			fallthrough
		default:
			voters++
		}
	}
	m.voters.Update(float64(voters))
	m.learners.Update(float64(learners))
	m.silentVoters.Update(float64(silent))
}
