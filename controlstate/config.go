package controlstate

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	maxSettings  = 20_000
	maxPairBytes = 4 << 10
	// maxConfigBytes limits a configuration, which is sent in one log record and may
	// be sent in one reply to a renewal. A record of 3 MB delays heartbeats for
	// longer than the leader's lease. With maxSourceBytes, a record holds at most 1 MB
	// of settings and source text before encoding, a third of that.
	maxConfigBytes = 512 << 10
	// maxSourceBytes limits the source text of the operator, which is stored with
	// the settings.
	maxSourceBytes = 512 << 10
	maxIDBytes     = 128
	// commandRetention is how long the answer to an operator's command is kept, so
	// that a repeated command gets the same answer.
	commandRetention = 48 * time.Hour
	// maxCommands limits the kept answers: five times the commands of the retention
	// at 2,000 a day.
	maxCommands = 20_000
)

// limits holds the settings that the tables themselves apply.
type limits struct {
	retention          int64 // milliseconds
	tombstoneRetention int64 // milliseconds
	maxDeadline        int64 // milliseconds
	maxOpen            int
}

type configTable struct {
	version   uint64
	commandID string // of the command that made the version
	appliedBy string
	pairs     map[string]wire.SourcePair
	limits    limits
	// revision and source are the operator's revision number and source text of the
	// configuration. They are zero and empty if the command had none.
	revision uint64
	source   []byte
}

func newConfigTable() configTable {
	return configTable{pairs: map[string]wire.SourcePair{}, limits: defaultLimits()}
}

func defaultLimits() limits {
	j := settings.DefaultCluster().Jobs
	return limits{
		retention:          time.Duration(j.Retention).Milliseconds(),
		tombstoneRetention: time.Duration(j.TombstoneRetention).Milliseconds(),
		maxDeadline:        time.Duration(j.MaxDeadline).Milliseconds(),
		maxOpen:            j.MaxOpen,
	}
}

func (t *configTable) sortedPairs() []wire.SourcePair {
	out := make([]wire.SourcePair, 0, len(t.pairs))
	for _, k := range slices.Sorted(maps.Keys(t.pairs)) {
		out = append(out, t.pairs[k])
	}
	return out
}

// replace replaces the whole configuration and returns the keys that changed. The
// version stays the same if nothing changed.
func (t *configTable) replace(a wire.Apply, l limits) []string {
	changed := map[string]bool{}
	wanted := map[string]bool{}
	for _, p := range a.Pairs {
		wanted[p.Key] = true
		old, ok := t.pairs[p.Key]
		if !ok || old.Value != p.Value {
			changed[p.Key] = true
		}
	}
	for k := range t.pairs {
		if !wanted[k] {
			changed[k] = true
		}
	}
	if len(changed) == 0 {
		return nil
	}
	t.version++
	t.commandID, t.appliedBy, t.limits = a.CommandID, a.By, l
	for _, p := range a.Pairs {
		if changed[p.Key] {
			t.pairs[p.Key] = wire.SourcePair{Pair: p, ConfigVer: t.version, CommandID: a.CommandID, By: a.By}
		}
	}
	for k := range changed {
		if !wanted[k] {
			delete(t.pairs, k)
		}
	}
	return slices.Sorted(maps.Keys(changed))
}

// checkPairs validates a configuration and returns the limits that it sets.
func checkPairs(pairs []wire.Pair) (limits, *verdict.Error) {
	l := defaultLimits()
	if len(pairs) > maxSettings {
		return l, verdict.Refuse(verdict.BadRequest, "%d settings are above the limit of %d", len(pairs), maxSettings)
	}
	seen := make(map[string]bool, len(pairs))
	total := 0
	for _, p := range pairs {
		if total += len(p.Key) + len(p.Value); total > maxConfigBytes {
			return l, verdict.Refuse(verdict.BadRequest, "the settings are longer than %d bytes", maxConfigBytes)
		}
		if p.Key == "" || len(p.Key)+len(p.Value) > maxPairBytes {
			return l, verdict.Refuse(verdict.BadRequest, "setting %.40q is empty or longer than %d bytes", p.Key, maxPairBytes)
		}
		if seen[p.Key] {
			return l, verdict.Refuse(verdict.BadRequest, "setting %q is given twice", p.Key)
		}
		seen[p.Key] = true
		if e := l.set(p); e != nil {
			return l, e
		}
	}
	return l, nil
}

func (l *limits) set(p wire.Pair) *verdict.Error {
	switch p.Key {
	case "jobs.retention":
		return setDuration(&l.retention, p)
	case "jobs.tombstone_retention":
		return setDuration(&l.tombstoneRetention, p)
	case "jobs.max_deadline":
		return setDuration(&l.maxDeadline, p)
	case "jobs.max_open":
		n, err := strconv.Atoi(p.Value)
		if err != nil || n < 1 {
			return verdict.Refuse(verdict.BadRequest, "setting %s: %q is not a positive number", p.Key, p.Value)
		}
		// A configuration of an older version may exceed the maximum that settings
		// accept now.
		l.maxOpen = min(n, settings.MaxOpenJobs)
	}
	return nil
}

func setDuration(ms *int64, p wire.Pair) *verdict.Error {
	d, err := time.ParseDuration(p.Value)
	if err != nil || d < time.Millisecond {
		return verdict.Refuse(verdict.BadRequest, "setting %s: %q is not a positive duration such as 90s", p.Key, p.Value)
	}
	*ms = d.Milliseconds()
	return nil
}

// commandRow holds the answer to an operator's command.
type commandRow struct {
	ID    string          `json:"id"`
	At    int64           `json:"at"` // Unix milliseconds
	Reply wire.ApplyReply `json:"r"`
}

// commandTable holds answers in the order of their commands.
type commandTable struct {
	rows  map[string]wire.ApplyReply
	order []commandRow
}

func newCommandTable() commandTable {
	return commandTable{rows: map[string]wire.ApplyReply{}}
}

func (t *commandTable) find(id string) (wire.ApplyReply, bool) {
	r, ok := t.rows[id]
	return r, ok
}

func (t *commandTable) checkNew(id string) *verdict.Error {
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "\r\n") {
		return verdict.Refuse(verdict.BadRequest, "the command id is empty, has line breaks or is longer than %d bytes", maxIDBytes)
	}
	if len(t.order) >= maxCommands {
		return verdict.Refuse(verdict.Overloaded, "%d commands within %v are remembered", maxCommands, commandRetention).After(time.Hour)
	}
	return nil
}

func (t *commandTable) add(id string, at int64, r wire.ApplyReply) {
	t.rows[id] = r
	t.order = append(t.order, commandRow{ID: id, At: at, Reply: r})
}

func (t *commandTable) due(now int64) bool {
	return len(t.order) > 0 && t.order[0].At+commandRetention.Milliseconds() < now
}

func (t *commandTable) dropExpired(now int64) {
	n := 0
	for n < len(t.order) && t.order[n].At+commandRetention.Milliseconds() < now {
		delete(t.rows, t.order[n].ID)
		n++
	}
	t.order = slices.Clone(t.order[n:])
}
