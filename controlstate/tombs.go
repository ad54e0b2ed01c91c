package controlstate

import (
	"crypto/sha256"

	"github.com/baobabshore/baobabshore/ids"
)

// maxTombstones bounds the plain keys that are remembered, as records or as
// tombstones. At 29 bytes each they take 3 MB of the 32 MB of a control daemon.
const maxTombstones = 100_000

// keyHash identifies a job key of a team. It is zero for a job without a key.
type keyHash [16]byte

func hashKey(team ids.Team, key string) keyHash {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return keyHash(sum[:16])
}

type tombstone struct {
	hash keyHash
	at   int64 // when the record was dropped, Unix milliseconds
}

// tombTable remembers plain keys whose records have been dropped, by time.
type tombTable struct {
	rows   queue[tombstone]
	byHash index
}

func (t *tombTable) len() int { return t.rows.len() }

func (t *tombTable) hashAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).hash) }

func (t *tombTable) has(h keyHash) bool {
	_, ok := t.byHash.find(indexHash(h), func(pos uint32) bool { return t.rows.at(pos).hash == h })
	return ok
}

func (t *tombTable) add(h keyHash, at int64) {
	pos := t.rows.push(tombstone{hash: h, at: at})
	t.byHash.add(indexHash(h), pos, t.hashAt)
}

func (t *tombTable) due(now, retention int64) bool {
	return t.len() > 0 && t.rows.nth(0).at+retention < now
}

func (t *tombTable) compact(now, retention int64) {
	for t.due(now, retention) {
		t.byHash.remove(t.hashAt(t.rows.pos(0)), t.rows.pos(0), t.hashAt)
		t.rows.pop(1)
	}
}
