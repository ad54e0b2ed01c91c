// Package settings holds the settings of the daemons and the configuration of
// the whole system. It reads them from YAML, checks them whole, and prints them.
//
// Struct tags describe each setting: yaml gives its key, range its inclusive
// bounds, unit what is counted, form the shape of a text, and need marks a key
// without a default.
package settings

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
)

// Cluster is the configuration that operators apply and that is in force everywhere.
type Cluster struct {
	Services map[ids.Service]Service `yaml:"services"`
	Teams    map[ids.Team]Team       `yaml:"teams"`
	Queues   map[ids.Queue]Queue     `yaml:"queues"`
	Dispatch Dispatch                `yaml:"dispatch"`
	Jobs     Jobs                    `yaml:"jobs"`
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	// Slots is how many tasks one upstream runs at once at most.
	Slots int `yaml:"slots" range:"1..4096" unit:"tasks at once on one upstream"`
	// Connections is how many connections one agent opens to its upstream at most.
	Connections int `yaml:"connections" range:"1..65535" unit:"connections of one agent, at least slots"`
	// Timeout bounds one task on an upstream.
	Timeout Duration `yaml:"timeout" range:"1ms..1h" unit:"time for one task on an upstream"`
}

// Team is a group of callers.
type Team struct {
	// Quota is the team's share of the slots, relative to the other teams.
	Quota int `yaml:"quota" range:"1..1000000" unit:"share of the slots, relative to the other teams"`
	// MaxQueued bounds the tasks of the team that wait at one entry.
	MaxQueued int `yaml:"max_queued" range:"1..10000000" unit:"tasks that wait at one entry"`
}

// Queue is a place at which callers hand in batches. A request belongs to the
// queue of its host with the longest prefix of its path.
type Queue struct {
	Host    string      `yaml:"host" form:"text" need:"true" unit:"host name in the caller's request"`
	Prefix  string      `yaml:"prefix" form:"text" need:"true" unit:"first part of the path"`
	Service ids.Service `yaml:"service" form:"name" need:"true" unit:"service whose workers run the tasks"`
	// Priority orders the queues of a service, 0 first.
	Priority int `yaml:"priority" range:"0..1000" unit:"rank among the queues of a service, 0 first"`
	// Timeout bounds one request of a caller.
	Timeout Duration `yaml:"timeout" range:"1ms..1h" unit:"time for one request"`
	// Target and Stretch give the time by which an answer should be there: Stretch
	// times the longest chain of tasks, and Target.
	Target  Duration `yaml:"target" range:"0s..1h" unit:"time beyond the tasks' own, for an answer in time"`
	Stretch float64  `yaml:"stretch" range:"1..1000" unit:"factor on the longest chain of tasks, for an answer in time"`
	// Attempts is how often one task may fail.
	Attempts int `yaml:"attempts" range:"1..1000" unit:"failures of one task after which its batch fails"`
}

// Dispatch tunes placement and retries.
type Dispatch struct {
	// Tradeoff is the balance from 0 (fewest messages) to 1 (fastest answers).
	Tradeoff float64 `yaml:"tradeoff" range:"0..1" unit:"0 = fewest messages, 1 = fastest answers"`
	// RetryBudget is the number of retries allowed for each success of the recent past.
	RetryBudget float64 `yaml:"retry_budget" range:"0..1" unit:"retries for each recent success"`
	// QuarantineShare is the largest share of a service's upstreams in quarantine.
	QuarantineShare float64 `yaml:"quarantine_share" range:"0..1" unit:"largest share of a service's upstreams in quarantine"`
}

// MaxOpenJobs is the largest value of Jobs.MaxOpen. An open job takes about 500
// bytes at each control node, and 10,000 of them 5 MB of the 32 MB that a control
// daemon may use.
const MaxOpenJobs = 10_000

// Jobs sets what is kept of jobs.
type Jobs struct {
	// Retention is how long a job's record and answer are kept after its end.
	Retention Duration `yaml:"retention" range:"1m..168h" unit:"time a record and its answer are kept after the job's end, at least max_deadline"`
	// TombstoneRetention is how long a key without a creation time stays refused.
	TombstoneRetention Duration `yaml:"tombstone_retention" range:"1h..8760h" unit:"time a key without creation time stays refused, at least retention"`
	// MaxDeadline bounds the deadline that a caller may ask for. Agents delete
	// rows 1 h 10 min after they were made, so it is at most 1 h.
	MaxDeadline Duration `yaml:"max_deadline" range:"1s..1h" unit:"longest deadline that a caller may ask for"`
	// MaxOpen bounds the open jobs of the whole system, to at most MaxOpenJobs.
	MaxOpen int `yaml:"max_open" range:"1..10000" unit:"open jobs of the whole system"`
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
		Queues:   map[ids.Queue]Queue{},
		Dispatch: Dispatch{Tradeoff: 0.5, RetryBudget: 0.1, QuarantineShare: 0.3},
		Jobs: Jobs{
			Retention:          Duration(time.Hour),
			TombstoneRetention: Duration(168 * time.Hour),
			MaxDeadline:        Duration(time.Hour),
			MaxOpen:            MaxOpenJobs,
		},
	}
}

// DefaultService returns the defaults of a service.
func DefaultService() Service {
	return Service{Slots: 8, Connections: 64, Timeout: Duration(30 * time.Second)}
}

// DefaultQueue returns the defaults of a queue.
func DefaultQueue() Queue {
	return Queue{Timeout: Duration(30 * time.Second), Target: Duration(time.Second), Stretch: 2, Attempts: 3}
}

// DefaultTeam returns the defaults of a team.
func DefaultTeam() Team { return Team{Quota: 1, MaxQueued: 20_000} }
