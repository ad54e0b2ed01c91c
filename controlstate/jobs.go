package controlstate

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxRecords bounds the job records, open and ended. Admissions beyond it
	// are refused. At 85 bytes for each ended record, with its share of the
	// indexes, and 510 bytes for each open one, of which there are at most
	// settings.MaxOpenJobs, they take 26 MB of the 32 MB of a control daemon.
	maxRecords = 260_000
	// keptRecords is the number above which ended records without a key are
	// dropped before their retention ends, the oldest first. Only records with
	// a key carry a promise about resubmission, and need the room.
	keptRecords = 50_000
	// overdue is how long after the longest deadline an open job is ended by
	// the tables, because its owner never reported its end.
	overdue = 10 * time.Minute
	// maxSkew is how far a key's creation time may lie ahead of the tables' time.
	maxSkew = time.Minute
	// maxNameBytes bounds the names of teams and services.
	maxNameBytes = 200
	overloadWait = time.Second
)

// jobRow is a job record with what resubmission needs.
type jobRow struct {
	wire.JobRecord
	KeyTime int64  `json:"kt,omitempty"` // Unix milliseconds
	Nonce   string `json:"nonce"`
	hash    keyHash
}

// newJobRow sets the hash of the row's key.
func newJobRow(r jobRow) *jobRow {
	if r.Key != "" {
		r.hash = hashKey(r.Team, r.Key)
	}
	return &r
}

// Ownership names the job at its present epoch.
func (r *jobRow) Ownership() wire.Ownership { return wire.Ownership{Job: r.Job, Epoch: r.Epoch} }

func (r *jobRow) isOpen() bool { return r.State == wire.JobOpen }

// plainKey reports whether the row's key is one that needs a tombstone.
func (r *jobRow) plainKey() bool { return r.Key != "" && r.KeyTime == 0 }

type jobTable struct {
	rows     map[ids.Job]*jobRow // open jobs
	byKey    map[keyHash]ids.Job
	byNonce  map[string]ids.Job
	byOwner  map[ids.Incarnation]map[ids.Job]struct{}
	admitted []ids.Job // open jobs in increasing order, and some that have ended
	ended    endedTable
	nonces   nonceTable // of ended jobs
	plain    int        // open and ended rows with a plain key
	// keyFloor is the latest creation time of a key whose record has been
	// dropped. Keys up to it stay refused even if the retention is raised later.
	keyFloor int64
}

func newJobTable() jobTable {
	return jobTable{
		rows:    map[ids.Job]*jobRow{},
		byKey:   map[keyHash]ids.Job{},
		byNonce: map[string]ids.Job{},
		byOwner: map[ids.Incarnation]map[ids.Job]struct{}{},
		ended:   newEndedTable(),
	}
}

// len returns the number of records, open and ended.
func (t *jobTable) len() int { return len(t.rows) + t.ended.len() }

// add enters the row of an open job.
func (t *jobTable) add(r *jobRow) {
	t.rows[r.Job] = r
	t.byNonce[r.Nonce] = r.Job
	if r.Key != "" {
		t.byKey[r.hash] = r.Job
	}
	if r.plainKey() {
		t.plain++
	}
	if len(t.admitted) > 2*len(t.rows)+chunkRows {
		// Between two ticks many jobs may end.
		t.admitted = slices.DeleteFunc(t.admitted, func(job ids.Job) bool { return t.rows[job] == nil })
	}
	t.admitted = append(t.admitted, r.Job)
	t.own(r.Owner, r.Job)
}

func (t *jobTable) own(inc ids.Incarnation, job ids.Job) {
	if t.byOwner[inc] == nil {
		t.byOwner[inc] = map[ids.Job]struct{}{}
	}
	t.byOwner[inc][job] = struct{}{}
}

func (t *jobTable) disown(inc ids.Incarnation, job ids.Job) {
	delete(t.byOwner[inc], job)
	if len(t.byOwner[inc]) == 0 {
		delete(t.byOwner, inc)
	}
}

func (t *jobTable) setOwner(r *jobRow, to ids.Incarnation) {
	t.disown(r.Owner, r.Job)
	r.Owner = to
	t.own(to, r.Job)
}

// end replaces an open job's row by a compact one.
func (t *jobTable) end(r *jobRow, state wire.JobState, v verdict.Verdict, reason verdict.Reason, now int64) {
	r.State, r.Verdict, r.Reason, r.Ended = state, v, reason, now
	t.disown(r.Owner, r.Job)
	delete(t.rows, r.Job)
	delete(t.byNonce, r.Nonce)
	if r.Key != "" {
		delete(t.byKey, r.hash)
	}
	t.addEnded(r)
}

func (t *jobTable) addEnded(r *jobRow) {
	t.ended.add(t.ended.compact(r))
	t.nonces.add(nonceRow{hashNonce(r.Nonce), r.Job})
}

// find returns the record of a job.
func (t *jobTable) find(job ids.Job) (wire.JobRecord, bool) {
	if r, ok := t.rows[job]; ok {
		return r.JobRecord, true
	}
	if r, ok := t.ended.findJob(job); ok {
		return t.ended.record(r), true
	}
	return wire.JobRecord{}, false
}

// findKey returns the record of a submission with its key.
func (t *jobTable) findKey(team ids.Team, key string) (wire.JobRecord, bool) {
	h := hashKey(team, key)
	if job, ok := t.byKey[h]; ok {
		return t.rows[job].JobRecord, true
	}
	r, ok := t.ended.findKey(h)
	if !ok {
		return wire.JobRecord{}, false
	}
	rec := t.ended.record(r)
	rec.Key = key
	return rec, true
}

// findNonce returns the record of an admission.
func (t *jobTable) findNonce(nonce string) (wire.JobRecord, bool) {
	if job, ok := t.byNonce[nonce]; ok {
		return t.rows[job].JobRecord, true
	}
	job, ok := t.nonces.find(nonce)
	if !ok {
		return wire.JobRecord{}, false
	}
	return t.find(job)
}

// oldestOpen returns the lowest ids of open jobs.
func (t *jobTable) oldestOpen() oldestJobs {
	o := oldestJobs{service: map[ids.Service]ids.Job{}}
	for _, job := range t.admitted {
		r, ok := t.rows[job]
		if !ok {
			continue
		}
		if o.any == 0 {
			o.any = job
		}
		if o.service[r.Service] == 0 {
			o.service[r.Service] = job
		}
	}
	return o
}

func (s *State) admit(it wire.AdmitItem) wire.AdmitResult {
	if !s.members.isLive(it.Owner, wire.KindEntry) {
		return refused(verdict.Refuse(verdict.Fenced, "entry incarnation %d is not live", it.Owner))
	}
	if rec, ok := s.jobs.findNonce(it.Nonce); ok {
		return repeated(rec, it)
	}
	if e := checkAdmit(it); e != nil {
		return refused(e)
	}
	if it.Key != "" {
		if r, done := s.resubmitted(it); done {
			return r
		}
	}
	if n := len(s.jobs.rows); n >= s.config.limits.maxOpen {
		return refused(verdict.Refuse(verdict.Overloaded, "%d jobs are open", n).After(overloadWait))
	}
	if s.jobs.len() >= maxRecords {
		return refused(verdict.Refuse(verdict.Overloaded, "%d job records are kept", maxRecords).After(overloadWait))
	}
	r := newJobRow(jobRow{JobRecord: wire.JobRecord{
		Job: ids.Job(s.index), Epoch: 1, Owner: it.Owner, Team: it.Team, Service: it.Service,
		Key: it.Key, BodyHash: it.BodyHash, Tasks: it.Tasks, State: wire.JobOpen, Admitted: s.now, Deadline: it.Deadline,
	}, KeyTime: it.KeyTime, Nonce: it.Nonce})
	s.jobs.add(r)
	o := r.Ownership()
	return wire.AdmitResult{Admitted: &o}
}

func refused(e *verdict.Error) wire.AdmitResult { return wire.AdmitResult{Err: e} }

// repeated answers an admission whose nonce has a record already.
func repeated(rec wire.JobRecord, it wire.AdmitItem) wire.AdmitResult {
	if rec.Owner != it.Owner {
		return refused(verdict.Refuse(verdict.Fenced, "job %d belongs to incarnation %d", rec.Job, rec.Owner))
	}
	return wire.AdmitResult{Admitted: &wire.Ownership{Job: rec.Job, Epoch: rec.Epoch}}
}

// resubmitted answers an admission by what is known of its key. done is false
// when the key is new.
func (s *State) resubmitted(it wire.AdmitItem) (_ wire.AdmitResult, done bool) {
	if rec, ok := s.jobs.findKey(it.Team, it.Key); ok {
		if !rec.HasBody(it.BodyHash) {
			return refused(verdict.Refuse(verdict.KeyReuse, "job %d has the same key and another body", rec.Job)), true
		}
		rec.BodyHash = it.BodyHash
		return wire.AdmitResult{Duplicate: &rec}, true
	}
	if s.tombs.has(hashKey(it.Team, it.Key)) {
		return refused(verdict.Refuse(verdict.KeyExpired, "the key was used before")), true
	}
	if it.KeyTime == 0 {
		if s.jobs.plain+s.tombs.len() >= maxTombstones {
			e := verdict.Refuse(verdict.KeyTableFull, "%d keys without a creation time are remembered", maxTombstones)
			return refused(e.After(time.Hour)), true
		}
		return wire.AdmitResult{}, false
	}
	if it.KeyTime < s.now-s.config.limits.retention || it.KeyTime <= s.jobs.keyFloor {
		return refused(verdict.Refuse(verdict.KeyExpired, "the key's creation time is past its retention")), true
	}
	if it.KeyTime > s.now+maxSkew.Milliseconds() {
		return refused(verdict.Refuse(verdict.BadRequest, "the key's creation time lies in the future")), true
	}
	return wire.AdmitResult{}, false
}

func checkAdmit(it wire.AdmitItem) *verdict.Error {
	switch {
	case it.Nonce == "" || len(it.Nonce) > maxIDBytes:
		return verdict.Refuse(verdict.BadRequest, "the nonce is empty or longer than %d bytes", maxIDBytes)
	case it.Tasks < 1 || it.Tasks > wire.MaxTasksPerJob:
		return verdict.Refuse(verdict.BadRequest, "%d tasks are outside 1 to %d", it.Tasks, wire.MaxTasksPerJob)
	case len(it.Key) > wire.MaxKeyBytes:
		return verdict.Refuse(verdict.BadRequest, "the key is longer than %d bytes", wire.MaxKeyBytes)
	case len(it.BodyHash) > maxIDBytes:
		return verdict.Refuse(verdict.BadRequest, "the body hash is longer than %d bytes", maxIDBytes)
	case len(it.Team) > maxNameBytes || len(it.Service) > maxNameBytes:
		return verdict.Refuse(verdict.BadRequest, "a name is longer than %d bytes", maxNameBytes)
	case it.Key != "" && it.BodyHash == "":
		return verdict.Refuse(verdict.BadRequest, "a job with a key needs a body hash")
	}
	return nil
}

// complete records the ends of jobs. An item of an older epoch comes from a
// former owner and has no effect; neither has a repeated one.
func (s *State) complete(c wire.Complete) {
	for _, it := range c.Items {
		r, ok := s.jobs.rows[it.Job]
		if !ok || it.Epoch != r.Epoch {
			continue
		}
		switch it.State {
		case wire.JobComplete, wire.JobFailed, wire.JobCanceled:
			s.endJob(r, it.State, it.Verdict, it.Reason)
		}
	}
}

func (s *State) endJob(r *jobRow, state wire.JobState, v verdict.Verdict, reason verdict.Reason) {
	owner := r.Owner
	s.jobs.end(r, state, v, reason, s.now)
	if r.Epoch > 1 {
		s.log.disowned(s.index, r.Ownership(), owner)
	}
}

func (r *jobRow) isOverdue(now int64, l limits) bool {
	return r.Admitted+l.deadline+overdue.Milliseconds() < now
}

func (t *jobTable) due(now int64, l limits) bool {
	for _, job := range t.admitted {
		if r, ok := t.rows[job]; ok {
			if r.isOverdue(now, l) {
				return true
			}
			break
		}
	}
	if t.ended.len() > 0 && t.ended.rows.nth(0).expires(l) < now {
		return true
	}
	return t.crowded()
}

// crowded reports whether records without a key have to make room.
func (t *jobTable) crowded() bool { return t.len() > keptRecords && t.ended.keyless > 0 }

// endOverdueJobs ends open jobs that no owner can still be working on, and
// drops ended jobs from the list of admissions.
func (s *State) endOverdueJobs() {
	s.jobs.admitted = slices.DeleteFunc(s.jobs.admitted, func(job ids.Job) bool {
		r, ok := s.jobs.rows[job]
		if ok && r.isOverdue(s.now, s.config.limits) {
			s.endJob(r, wire.JobFailed, verdict.MayHaveRun, verdict.DeadlinePassed)
			return true
		}
		return !ok
	})
}

// forgetJobs drops ended records after their retention, and the oldest without
// a key while there are too many. A plain key leaves a tombstone.
//
// It stops at the first record whose retention can't have ended, since records
// are in the order of their ends. A tick so costs as much as it drops, not as
// much as is kept.
func (s *State) forgetJobs() {
	l := s.config.limits
	t := &s.jobs.ended
	n := 0
	for ; n < t.len(); n++ {
		r := t.rows.nth(n)
		crowded := s.jobs.crowded()
		if r.ended+l.retention >= s.now && !crowded {
			break
		}
		if r.expires(l) < s.now || crowded && r.keyless() {
			s.forgetJob(t.rows.pos(n))
		}
	}
	t.drop(n)
	s.jobs.nonces.forget(t)
}

func (s *State) forgetJob(pos uint32) {
	r := *s.jobs.ended.rows.at(pos)
	s.jobs.ended.unindex(pos)
	if r.plainKey() {
		s.jobs.plain--
		s.tombs.add(r.key, s.now)
	}
	if !r.keyless() {
		s.jobs.keyFloor = max(s.jobs.keyFloor, r.keyTime)
	}
}
