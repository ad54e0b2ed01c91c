package controlstate

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
)

// maxNonces limits the nonces of ended jobs to those of the jobs that ended last.
// 16,384 nonces cover 27 s at 610 jobs a second. An entry repeats an admission for at
// most 5 s, and ends a job only after it has received a reply. A repetition without a
// key that arrives after its nonce was dropped would create a second record, which no
// entry runs and which ends when it is overdue.
const maxNonces = 16_384

const nonceRowBytes = 16

type nonceRow struct {
	hash uint64
	job  ids.Job
}

// nonceTable finds the most recently ended jobs by their nonces.
type nonceTable struct {
	rows   queue[nonceRow]
	byHash hashIndex
}

func hashNonce(nonce string) uint64 { return xxhash.Sum64String(nonce) }

func (t *nonceTable) hashAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).hash) }

func (t *nonceTable) add(r nonceRow) {
	if t.rows.len() == maxNonces {
		t.pop()
	}
	pos := t.rows.push(r)
	t.byHash.add(indexHash(r.hash), pos, t.hashAt)
}

func (t *nonceTable) pop() {
	t.byHash.remove(t.hashAt(t.rows.pos(0)), t.rows.pos(0), t.hashAt)
	t.rows.pop(1)
}

func (t *nonceTable) find(nonce string) (ids.Job, bool) {
	h := hashNonce(nonce)
	pos, ok := t.byHash.find(indexHash(h), func(pos uint32) bool { return t.rows.at(pos).hash == h })
	if !ok {
		return 0, false
	}
	return t.rows.at(pos).job, true
}

// dropWithoutRecord drops the oldest nonces as long as their jobs have no record.
func (t *nonceTable) dropWithoutRecord(ended *endedTable) {
	for t.rows.len() > 0 {
		if _, ok := ended.findJob(t.rows.nth(0).job); ok {
			return
		}
		t.pop()
	}
}

func (t *nonceTable) encode() []byte {
	out := make([]byte, 0, t.rows.len()*nonceRowBytes)
	for i := range t.rows.len() {
		r := t.rows.nth(i)
		out = binary.BigEndian.AppendUint64(out, r.hash)
		out = binary.BigEndian.AppendUint64(out, uint64(r.job))
	}
	return out
}

func (t *nonceTable) restore(data []byte) error {
	if len(data)%nonceRowBytes != 0 {
		return errors.New("control state snapshot: table of nonces is truncated")
	}
	for row := range slices.Chunk(data, nonceRowBytes) {
		t.add(nonceRow{binary.BigEndian.Uint64(row), ids.Job(binary.BigEndian.Uint64(row[8:]))})
	}
	return nil
}
