package controlstate

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxSettings and maxSettingsBytes limit the settings of a configuration, and
	// MaxSourceBytes the operator's text of it. Each control node and entry holds them in
	// memory: about 200 bytes for each setting.
	maxSettings      = 60_000
	maxSettingsBytes = 8 << 20
	// MaxSourceBytes limits the source text of the operator, which is stored with the
	// settings.
	MaxSourceBytes = 2 << 20
	maxPairBytes   = 64 << 10
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
	pairs     pairTable
	limits    limits
	// revision and source are the operator's revision number and source text of the
	// configuration. They are zero and empty if the command had none. The content of
	// source never changes.
	revision   uint64
	source     []byte
	sourceHash uint64 // xxHash64
}

func newConfigTable() configTable {
	return configTable{pairs: pairTable{rows: []wire.SourcePair{}}, limits: defaultLimits(), sourceHash: xxhash.Sum64(nil)}
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

func (t *configTable) setSource(revision uint64, source []byte) {
	t.revision, t.source, t.sourceHash = revision, source, xxhash.Sum64(source)
}

func (t *configTable) id() wire.ConfigID {
	return wire.ConfigID{ConfigVer: t.version, SourceHash: t.sourceHash}
}

// replace replaces the whole configuration and returns the keys that changed. The
// version stays the same if nothing changed.
func (t *configTable) replace(a wire.Apply, l limits) []string {
	set, removed := t.pairs.diff(sortedPairs(a.Pairs))
	t.limits = l
	return t.change(set, removed, a.CommandID, a.By)
}

// change sets and removes settings, both in order of their keys, and returns these keys in
// order. The version stays the same if there are none.
func (t *configTable) change(set []wire.Pair, removed []string, commandID, by string) []string {
	if len(set) == 0 && len(removed) == 0 {
		return nil
	}
	t.version++
	t.commandID, t.appliedBy = commandID, by
	keys := slices.Clone(removed)
	rows := make([]wire.SourcePair, 0, len(set))
	for _, p := range set {
		rows = append(rows, wire.SourcePair{Pair: p, ConfigVer: t.version, CommandID: commandID, By: by})
		keys = append(keys, p.Key)
	}
	t.pairs = t.pairs.changed(rows, removed)
	slices.Sort(keys)
	return keys
}

// checkPairs validates a configuration and returns the limits that it sets.
func checkPairs(pairs []wire.Pair) (limits, *verdict.Error) {
	l := defaultLimits()
	if e := checkSize(len(pairs), 0); e != nil {
		return l, e
	}
	seen := make(map[string]bool, len(pairs))
	size := 0
	for _, p := range pairs {
		if seen[p.Key] {
			return l, verdict.Refuse(verdict.BadRequest, "setting %q is given twice", p.Key)
		}
		seen[p.Key] = true
		size += pairSize(p)
		if e := checkPair(p); e != nil {
			return l, e
		}
		if e := l.set(p); e != nil {
			return l, e
		}
	}
	return l, checkSize(len(pairs), size)
}

func checkPair(p wire.Pair) *verdict.Error {
	if p.Key == "" || pairSize(p) > maxPairBytes {
		return verdict.Refuse(verdict.BadRequest, "setting %.40q is empty or longer than %d bytes", p.Key, maxPairBytes)
	}
	return nil
}

// checkSize validates the number of settings and their size in bytes.
func checkSize(count, size int) *verdict.Error {
	if count > maxSettings {
		return verdict.Refuse(verdict.BadRequest, "%d settings are above the limit of %d", count, maxSettings)
	}
	if size > maxSettingsBytes {
		return verdict.Refuse(verdict.BadRequest, "the settings of %d bytes are above the limit of %d bytes", size, maxSettingsBytes)
	}
	return nil
}

// limitKeys are the settings that limits.set reads.
var limitKeys = []string{"jobs.retention", "jobs.tombstone_retention", "jobs.max_deadline", "jobs.max_open"}

// checkSource validates the source text of a configuration.
func checkSource(source []byte) *verdict.Error {
	if len(source) > MaxSourceBytes {
		return verdict.Refuse(verdict.BadRequest, "the source text of %d bytes is above the limit of %d bytes", len(source), MaxSourceBytes)
	}
	return nil
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
