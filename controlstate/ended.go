package controlstate

import (
	"encoding/hex"
	"math"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// endedRow is the compact record of an ended job. It has no pointers, so the garbage
// collector does not scan it.
type endedRow struct {
	job     ids.Job
	key     keyHash
	body    wire.BodyID
	keyTime int64 // Unix milliseconds
	ended   int64 // Unix milliseconds
	// admittedBefore and deadlineAfter are milliseconds before and after ended. They
	// are informational only and saturate at the limits of their types, weeks away.
	admittedBefore uint32
	deadlineAfter  int32  // noDeadline if the caller has set none
	attributes     uint32 // number of the set in endedTable.attributeSets
	tasks          uint32
}

const noDeadline = math.MinInt32

// attributes holds the fields that are equal for many ended jobs. attributeSets
// stores each distinct value once.
type attributes struct {
	Owner   ids.Incarnation `json:"owner"`
	Epoch   ids.Epoch       `json:"epoch"`
	Team    ids.Team        `json:"team"`
	Service ids.Service     `json:"svc"`
	State   wire.JobState   `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
}

func (r *endedRow) hasUntimedKey() bool { return r.key != keyHash{} && r.keyTime == 0 }

func (r *endedRow) keyless() bool { return r.key == keyHash{} }

// expiresAt returns when a row may be dropped, in Unix milliseconds. A key with a
// creation time is refused from then on because of that time; a key without one
// leaves a tombstone.
func (r *endedRow) expiresAt(l limits) int64 { return max(r.ended, r.keyTime) + l.retention }

// endedTable holds ended jobs in the order in which they ended.
type endedTable struct {
	rows          queue[endedRow]
	byJob         hashIndex
	byKey         hashIndex
	attributeSets interned[attributes]
	keyless       int // rows without a key
}

func newEndedTable() endedTable { return endedTable{attributeSets: newInterned[attributes]()} }

func (t *endedTable) len() int { return t.rows.len() }

func (t *endedTable) jobHashAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).job) }
func (t *endedTable) keyHashAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).key) }

// newRow returns the compact row of an ended job.
func (t *endedTable) newRow(r *jobRow) endedRow {
	row := endedRow{
		job: r.Job, key: r.hashedKey, body: wire.BodyIDOf(r.BodyHash),
		keyTime: r.KeyTime, ended: r.EndedMS, tasks: uint32(r.Tasks), deadlineAfter: noDeadline,
		admittedBefore: uint32(min(max(r.EndedMS-r.Admitted, 0), math.MaxUint32)),
		attributes: t.attributeSets.add(attributes{
			Owner: r.Owner, Epoch: r.Epoch, Team: r.Team, Service: r.Service,
			State: r.State, Verdict: r.Verdict, Reason: r.Reason,
		}),
	}
	if r.Deadline != 0 {
		row.deadlineAfter = int32(min(max(r.Deadline-r.EndedMS, noDeadline+1), math.MaxInt32))
	}
	return row
}

// add inserts a row whose attributes are interned already.
func (t *endedTable) add(row endedRow) {
	pos := t.rows.push(row)
	t.byJob.add(indexHash(row.job), pos, t.jobHashAt)
	if row.keyless() {
		t.keyless++
	} else {
		t.byKey.add(indexHash(row.key), pos, t.keyHashAt)
	}
}

// unindex removes a row from the indexes. The row itself stays in the queue until
// dropUnindexed removes it.
func (t *endedTable) unindex(pos uint32) {
	r := t.rows.at(pos)
	t.byJob.remove(indexHash(r.job), pos, t.jobHashAt)
	if r.keyless() {
		t.keyless--
	} else {
		t.byKey.remove(indexHash(r.key), pos, t.keyHashAt)
	}
	t.attributeSets.release(r.attributes)
	r.job = 0
}

// dropUnindexed removes the unindexed rows, whose job is zero, among the first n.
func (t *endedTable) dropUnindexed(n int) {
	first := n
	for i := n - 1; i >= 0; i-- {
		from := t.rows.pos(i)
		r := t.rows.at(from)
		if r.job == 0 {
			continue
		}
		first--
		to := t.rows.pos(first)
		if to == from {
			continue
		}
		t.byJob.move(indexHash(r.job), from, to)
		if !r.keyless() {
			t.byKey.move(indexHash(r.key), from, to)
		}
		*t.rows.at(to) = *r
		r.job = 0
	}
	t.rows.pop(first)
}

func (t *endedTable) findJob(job ids.Job) (*endedRow, bool) {
	pos, ok := t.byJob.find(indexHash(job), func(pos uint32) bool { return t.rows.at(pos).job == job })
	return t.rowAt(pos, ok)
}

func (t *endedTable) findKey(key keyHash) (*endedRow, bool) {
	pos, ok := t.byKey.find(indexHash(key), func(pos uint32) bool { return t.rows.at(pos).key == key })
	return t.rowAt(pos, ok)
}

func (t *endedTable) rowAt(pos uint32, ok bool) (*endedRow, bool) {
	if !ok {
		return nil, false
	}
	return t.rows.at(pos), true
}

// record converts a row to a job record. The record has no key, and its body hash is
// the BodyID in hexadecimal.
func (t *endedTable) record(r *endedRow) wire.JobRecord {
	o := t.attributeSets.get(r.attributes)
	rec := wire.JobRecord{
		Job: r.job, Epoch: o.Epoch, Owner: o.Owner, Team: o.Team, Service: o.Service,
		Tasks: int(r.tasks), State: o.State, Verdict: o.Verdict, Reason: o.Reason,
		Admitted: r.ended - int64(r.admittedBefore), EndedMS: r.ended,
	}
	if r.body != (wire.BodyID{}) {
		rec.BodyHash = hex.EncodeToString(r.body[:])
	}
	if r.deadlineAfter != noDeadline {
		rec.Deadline = r.ended + int64(r.deadlineAfter)
	}
	return rec
}
