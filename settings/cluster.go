// Package settings holds the settings of the daemons and the configuration of
// the whole system. It reads them from YAML, checks them whole, and prints them.
package settings

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
)

// Cluster is the configuration that operators apply and that is in force everywhere.
type Cluster struct {
	Services map[ids.Service]Service `yaml:"services"`
	Teams    map[ids.Team]Team       `yaml:"teams"`
	Dispatch Dispatch                `yaml:"dispatch"`
	Jobs     Jobs                    `yaml:"jobs"`
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	// Slots is how many tasks one upstream runs at once at most.
	Slots int `yaml:"slots"`
	// Connections is how many connections one agent opens to its upstream at most.
	Connections int `yaml:"connections"`
	// Timeout bounds one task on an upstream.
	Timeout Duration `yaml:"timeout"`
}

// Team is a group of callers.
type Team struct {
	// Quota is the team's share of the slots, relative to the other teams.
	Quota int `yaml:"quota"`
	// MaxQueued bounds the tasks of the team that wait at one entry.
	MaxQueued int `yaml:"max_queued"`
}

// Dispatch tunes placement and retries.
type Dispatch struct {
	// Tradeoff is the balance from 0 (fewest messages) to 1 (fastest answers).
	Tradeoff float64 `yaml:"tradeoff"`
	// RetryBudget is the number of retries allowed for each success of the recent past.
	RetryBudget float64 `yaml:"retry_budget"`
	// QuarantineShare is the largest share of a service's upstreams in quarantine.
	QuarantineShare float64 `yaml:"quarantine_share"`
}

// Jobs sets what is kept of jobs.
type Jobs struct {
	// Retention is how long a job's record and answer are kept after its end.
	Retention Duration `yaml:"retention"`
	// TombstoneRetention is how long a key without a creation time stays refused.
	TombstoneRetention Duration `yaml:"tombstone_retention"`
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline Duration `yaml:"max_deadline"`
	// MaxOpen bounds the open jobs of the whole system.
	MaxOpen int `yaml:"max_open"`
}

// Duration is a time span written as in Go, for example "1h" or "500ms".
type Duration time.Duration

// String returns the span as Go writes it.
func (d Duration) String() string { return time.Duration(d).String() }

// Defaults returns the configuration with all defaults and no services or teams.
func Defaults() Cluster {
	return Cluster{
		Services: map[ids.Service]Service{},
		Teams:    map[ids.Team]Team{},
		Dispatch: Dispatch{Tradeoff: 0.5, RetryBudget: 0.1, QuarantineShare: 0.3},
		Jobs: Jobs{
			Retention:          Duration(time.Hour),
			TombstoneRetention: Duration(168 * time.Hour),
			MaxDeadline:        Duration(time.Hour),
			MaxOpen:            100_000,
		},
	}
}

// DefaultService returns the defaults of a service.
func DefaultService() Service {
	return Service{Slots: 8, Connections: 64, Timeout: Duration(30 * time.Second)}
}

// DefaultTeam returns the defaults of a team.
func DefaultTeam() Team { return Team{Quota: 1, MaxQueued: 20_000} }
