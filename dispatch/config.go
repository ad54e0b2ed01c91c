package dispatch

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/lease"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/wire"
)

// Config is the part of the configuration that decisions depend on.
type Config struct {
	// Self is the incarnation of this entry. SetConfig ignores it.
	Self     ids.Incarnation
	Services map[ids.Service]Service
	Teams    map[ids.Team]Team
	// Tradeoff ranges from 0 (fewest messages) to 1 (fastest answers).
	Tradeoff float64
	// RetryBudget is the number of retries allowed for each success.
	RetryBudget float64
	// QuarantineShare is the largest share of a service's upstreams in quarantine.
	QuarantineShare float64
	// MaxDeadline bounds the time from admission to deadline.
	MaxDeadline time.Duration
	// LookAhead must equal the look-ahead of the agents.
	LookAhead int
	// MaxWait bounds the expected time that new work waits behind other work.
	// It is below the 5 s in which response times recover after a burst.
	MaxWait time.Duration
	// Leases are those of the tasks at workers; zero means lease.Default. SetConfig
	// ignores them.
	Leases lease.Times
}

// Service is the configuration of one service.
type Service struct {
	Slots       int
	Connections int
	Timeout     time.Duration
}

// Team is the configuration of one team.
type Team struct {
	Quota     int
	MaxQueued int
}

const (
	// DefaultLookAhead is enough to refill a freed slot without a round trip.
	DefaultLookAhead = 1
	// DefaultMaxWait leaves the queue 2 s to empty out of the 5 s of recovery
	// after a burst.
	DefaultMaxWait = 3 * time.Second
)

// FromCluster returns the decision settings of a cluster configuration. The
// caller sets Self.
func FromCluster(s settings.Cluster) Config {
	cfg := Config{
		Services:        map[ids.Service]Service{},
		Teams:           map[ids.Team]Team{},
		Tradeoff:        s.Dispatch.Tradeoff,
		RetryBudget:     s.Dispatch.RetryBudget,
		QuarantineShare: s.Dispatch.QuarantineShare,
		MaxDeadline:     time.Duration(s.Jobs.MaxDeadline),
		LookAhead:       DefaultLookAhead,
		MaxWait:         DefaultMaxWait,
	}
	for name, svc := range s.Services {
		cfg.Services[name] = Service{
			Slots:       svc.Slots,
			Connections: svc.Connections,
			Timeout:     time.Duration(svc.Timeout),
		}
	}
	for name, team := range s.Teams {
		cfg.Teams[name] = Team{Quota: team.Quota, MaxQueued: team.MaxQueued}
	}
	return cfg
}

// maxTasks is the largest number of tasks of a job.
const maxTasks = wire.MaxTasksPerJob
