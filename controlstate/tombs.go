package controlstate

import (
	"crypto/sha256"

	"github.com/baobabshore/baobabshore/ids"
)

// maxTombstones limits the keys without creation time that are remembered, as
// records or as tombstones. At 29 bytes each they take 3 MB of the 32 MB of a
// control daemon.
const maxTombstones = 100_000

// keyHash identifies the key of a job within all teams. It is zero for a job without
// a key.
type keyHash [16]byte

func hashKey(team ids.Team, key string) keyHash {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return keyHash(sum[:16])
}

type tombstone struct {
	hash      keyHash
	droppedAt int64 // when the record was dropped, in Unix milliseconds
}

// tombstoneTable remembers keys without creation time whose records have been
// dropped, ordered by the time of the drop.
type tombstoneTable struct {
	rows   queue[tombstone]
	byHash hashIndex
}

func (t *tombstoneTable) len() int { return t.rows.len() }

func (t *tombstoneTable) hashAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).hash) }

func (t *tombstoneTable) has(h keyHash) bool {
	_, ok := t.byHash.find(indexHash(h), func(pos uint32) bool { return t.rows.at(pos).hash == h })
	return ok
}

func (t *tombstoneTable) add(h keyHash, droppedAt int64) {
	pos := t.rows.push(tombstone{hash: h, droppedAt: droppedAt})
	t.byHash.add(indexHash(h), pos, t.hashAt)
}

func (t *tombstoneTable) due(now, retention int64) bool {
	return t.len() > 0 && t.rows.nth(0).droppedAt+retention < now
}

func (t *tombstoneTable) dropExpired(now, retention int64) {
	for t.due(now, retention) {
		t.byHash.remove(t.hashAt(t.rows.pos(0)), t.rows.pos(0), t.hashAt)
		t.rows.pop(1)
	}
}
