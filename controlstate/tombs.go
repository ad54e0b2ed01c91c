package controlstate

import (
	"crypto/sha256"
	"slices"

	"github.com/baobabshore/baobabshore/ids"
)

// maxTombstones bounds the plain keys that are remembered, as records or as
// tombstones. At about 60 bytes each they stay below 16 MB.
const maxTombstones = 200_000

// keyHash identifies a job key of a team.
type keyHash [16]byte

func hashKey(team ids.Team, key string) keyHash {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return keyHash(sum[:16])
}

type tombstone struct {
	hash keyHash
	at   int64 // when the record was dropped, Unix milliseconds
}

// tombTable remembers plain keys whose records have been dropped.
type tombTable struct {
	rows  map[keyHash]struct{}
	order []tombstone // by time
}

func newTombTable() tombTable { return tombTable{rows: map[keyHash]struct{}{}} }

func (t *tombTable) len() int { return len(t.order) }

func (t *tombTable) has(h keyHash) bool {
	_, ok := t.rows[h]
	return ok
}

func (t *tombTable) add(h keyHash, at int64) {
	t.rows[h] = struct{}{}
	t.order = append(t.order, tombstone{hash: h, at: at})
}

func (t *tombTable) due(now, retention int64) bool {
	return len(t.order) > 0 && t.order[0].at+retention < now
}

func (t *tombTable) compact(now, retention int64) {
	n := 0
	for n < len(t.order) && t.order[n].at+retention < now {
		delete(t.rows, t.order[n].hash)
		n++
	}
	if n > 0 {
		t.order = slices.Clone(t.order[n:])
	}
}
