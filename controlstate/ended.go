package controlstate

import (
	"encoding/hex"
	"math"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// endedRow is the record of an ended job. It has no pointers, so that the
// garbage collector passes over it.
type endedRow struct {
	job     ids.Job
	key     keyHash
	body    wire.BodyID
	keyTime int64 // Unix milliseconds
	ended   int64 // Unix milliseconds
	// admitted and deadline count in milliseconds before and after ended. They
	// only inform and stop at the limits of their types, weeks away.
	admitted uint32
	deadline int32 // noDeadline if the caller set none
	origin   uint32
	tasks    uint32
}

const noDeadline = math.MinInt32

// origin is what many ended jobs have in common.
type origin struct {
	Owner   ids.Incarnation `json:"owner"`
	Epoch   ids.Epoch       `json:"epoch"`
	Team    ids.Team        `json:"team"`
	Service ids.Service     `json:"svc"`
	State   wire.JobState   `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
}

func (r *endedRow) plainKey() bool { return r.key != keyHash{} && r.keyTime == 0 }

func (r *endedRow) keyless() bool { return r.key == keyHash{} }

// expires returns when a row may be dropped, in Unix milliseconds. It is after
// the time from which the key's creation time alone refuses the key.
func (r *endedRow) expires(l limits) int64 { return max(r.ended, r.keyTime) + l.retention }

// endedTable holds ended jobs in the order of their ends.
type endedTable struct {
	rows    queue[endedRow]
	byJob   index
	byKey   index
	origins interned[origin]
	keyless int // rows without a key
}

func newEndedTable() endedTable { return endedTable{origins: newInterned[origin]()} }

func (t *endedTable) len() int { return t.rows.len() }

func (t *endedTable) jobAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).job) }
func (t *endedTable) keyAt(pos uint32) uint64 { return indexHash(t.rows.at(pos).key) }

// compact returns the row of an ended job.
func (t *endedTable) compact(r *jobRow) endedRow {
	row := endedRow{
		job: r.Job, key: r.hash, body: wire.BodyIDOf(r.BodyHash),
		keyTime: r.KeyTime, ended: r.Ended, tasks: uint32(r.Tasks), deadline: noDeadline,
		admitted: uint32(min(max(r.Ended-r.Admitted, 0), math.MaxUint32)),
		origin: t.origins.add(origin{
			Owner: r.Owner, Epoch: r.Epoch, Team: r.Team, Service: r.Service,
			State: r.State, Verdict: r.Verdict, Reason: r.Reason,
		}),
	}
	if r.Deadline != 0 {
		row.deadline = int32(min(max(r.Deadline-r.Ended, noDeadline+1), math.MaxInt32))
	}
	return row
}

// add enters a row whose origin is interned already.
func (t *endedTable) add(row endedRow) {
	pos := t.rows.push(row)
	t.byJob.add(indexHash(row.job), pos, t.jobAt)
	if row.keyless() {
		t.keyless++
	} else {
		t.byKey.add(indexHash(row.key), pos, t.keyAt)
	}
}

// unindex takes a row out of the indexes. The row itself stays in the queue
// until drop removes it.
func (t *endedTable) unindex(pos uint32) {
	r := t.rows.at(pos)
	t.byJob.remove(indexHash(r.job), pos, t.jobAt)
	if r.keyless() {
		t.keyless--
	} else {
		t.byKey.remove(indexHash(r.key), pos, t.keyAt)
	}
	t.origins.release(r.origin)
	r.job = 0
}

// drop removes the rows without a job among the first n.
func (t *endedTable) drop(n int) {
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
	return t.row(pos, ok)
}

func (t *endedTable) findKey(key keyHash) (*endedRow, bool) {
	pos, ok := t.byKey.find(indexHash(key), func(pos uint32) bool { return t.rows.at(pos).key == key })
	return t.row(pos, ok)
}

func (t *endedTable) row(pos uint32, ok bool) (*endedRow, bool) {
	if !ok {
		return nil, false
	}
	return t.rows.at(pos), true
}

// record returns a row as others see it. The key is lost, and the hash of the
// body is the short one.
func (t *endedTable) record(r *endedRow) wire.JobRecord {
	o := t.origins.get(r.origin)
	rec := wire.JobRecord{
		Job: r.job, Epoch: o.Epoch, Owner: o.Owner, Team: o.Team, Service: o.Service,
		Tasks: int(r.tasks), State: o.State, Verdict: o.Verdict, Reason: o.Reason,
		Admitted: r.ended - int64(r.admitted), Ended: r.ended,
	}
	if r.body != (wire.BodyID{}) {
		rec.BodyHash = hex.EncodeToString(r.body[:])
	}
	if r.deadline != noDeadline {
		rec.Deadline = r.ended + int64(r.deadline)
	}
	return rec
}
