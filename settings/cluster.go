// Package settings defines the settings of the daemons and the configuration of
// the whole system. It reads them from YAML, validates and prints them.
//
// Struct tags describe each setting: yaml is its key, range its inclusive bounds,
// unit a description of the value, form the format of a string, and need marks a
// required key, which has no default.
package settings

import (
	"time"

	"github.com/baobabshore/baobabshore/ids"
)

// Cluster is the configuration of the whole system. Operators apply it, and it is
// in force in all processes.
type Cluster struct {
	Services map[ids.Service]Service `yaml:"services"`
	Teams    map[ids.Team]Team       `yaml:"teams"`
	Queues   map[ids.Queue]Queue     `yaml:"queues"`
	Dispatch Dispatch                `yaml:"dispatch"`
	Jobs     Jobs                    `yaml:"jobs"`
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	// Slots is the maximum number of concurrent tasks on one upstream.
	Slots int `yaml:"slots" range:"1..4096" unit:"tasks at once on one upstream"`
	// Connections is the maximum number of connections from one agent to its upstream.
	Connections int `yaml:"connections" range:"1..65535" unit:"connections of one agent, at least slots"`
	// Timeout bounds the run time of one task on an upstream.
	Timeout Duration `yaml:"timeout" range:"1ms..1h" unit:"time for one task on an upstream"`
}

// Team is a group of callers.
type Team struct {
	// Quota is the team's share of the slots, relative to the other teams.
	Quota int `yaml:"quota" range:"1..1000000" unit:"share of the slots, relative to the other teams"`
	// MaxQueued bounds the number of queued tasks of the team at one entry.
	MaxQueued int `yaml:"max_queued" range:"1..10000000" unit:"tasks that wait at one entry"`
}

// Queue accepts batches from callers. A request belongs to the queue of its host
// with the longest prefix that matches its path.
type Queue struct {
	Host    string      `yaml:"host" form:"text" unit:"host name in the caller's request"`
	Prefix  string      `yaml:"prefix" form:"text" unit:"first part of the path"`
	Service ids.Service `yaml:"service" form:"name" need:"true" unit:"service whose workers run the tasks"`
	// Priority orders the queues of a service. Queues with 0 are served first.
	Priority int `yaml:"priority" range:"0..2147483647" unit:"rank among the queues of a service, 0 first"`
	// Timeout bounds the duration of one request of a caller. A batch whose caller says
	// how long it waits has to start within it.
	Timeout Duration `yaml:"timeout" range:"1ms..24h" unit:"time for one request, or until a batch starts"`
	// Target and Stretch define the target latency of an answer: Stretch times the
	// run time of the longest chain of dependent tasks, plus Target.
	Target  Duration `yaml:"target" range:"0s..24h" unit:"time beyond the tasks' own, for an answer in time"`
	Stretch float64  `yaml:"stretch" range:"0.001..1000" unit:"factor on the longest chain of tasks, for an answer in time"`
	// Attempts is the number of failures of one task after which its batch fails.
	Attempts int `yaml:"attempts" range:"1..1000000" unit:"failures of one task after which its batch fails"`
}

// Dispatch holds the settings of placement and retries.
type Dispatch struct {
	// Tradeoff ranges from 0 (fewest messages) to 1 (fastest answers).
	Tradeoff float64 `yaml:"tradeoff" range:"0..1" unit:"0 = fewest messages, 1 = fastest answers"`
	// RetryBudget is the number of retries allowed per recent success.
	RetryBudget float64 `yaml:"retry_budget" range:"0..1" unit:"retries for each recent success"`
	// QuarantineShare is the maximum fraction of a service's upstreams in quarantine.
	QuarantineShare float64 `yaml:"quarantine_share" range:"0..1" unit:"largest share of a service's upstreams in quarantine"`
}

// MaxOpenJobs is the maximum of Jobs.MaxOpen. An open job takes about 500 bytes at
// each control node, so 10,000 of them take 5 MB of the 32 MB that a control daemon
// may use.
const MaxOpenJobs = 10_000

// Jobs holds the settings of the retention and limits of jobs.
type Jobs struct {
	// Retention is the time for which a job's record and answer are kept after its end.
	Retention Duration `yaml:"retention" range:"1m..168h" unit:"time a record and its answer are kept after the job's end, at least max_deadline"`
	// TombstoneRetention is the time for which a used key without a creation time is rejected.
	TombstoneRetention Duration `yaml:"tombstone_retention" range:"1h..8760h" unit:"time a key without creation time stays refused, at least retention"`
	// MaxDeadline bounds the deadline that a caller may request. Agents delete the
	// rows of a job 1 h 10 min after creation, so MaxDeadline is at most 1 h.
	MaxDeadline Duration `yaml:"max_deadline" range:"1s..1h" unit:"longest deadline that a caller may ask for"`
	// MaxOpen bounds the number of open jobs in the whole system. It is at most MaxOpenJobs.
	MaxOpen int `yaml:"max_open" range:"1..10000" unit:"open jobs of the whole system"`
}

// Duration is a duration in the text format of Go, for example "1h" or "500ms".
type Duration time.Duration

// String returns the duration in the text format of Go.
func (d Duration) String() string { return time.Duration(d).String() }

// DefaultCluster returns the configuration with all defaults and no services, teams or queues.
func DefaultCluster() Cluster {
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
