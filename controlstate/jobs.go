package controlstate

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxRecords limits the job records, open and ended. Further admissions are
	// refused. An ended record takes 85 bytes, with its share of the indexes, and an
	// open one 510 bytes, of which there are at most settings.MaxOpenJobs. Together
	// they take 26 MB of the 32 MB of a control daemon.
	maxRecords = 260_000
	// maxRecordsBeforeKeylessDrop is the number of records above which ended records
	// without a key are dropped before their retention ends, the oldest first. Only
	// records with a key are needed to answer a resubmission, and take precedence.
	maxRecordsBeforeKeylessDrop = 50_000
	// overdueAfter is the time after the longest deadline at which the tables end an
	// open job whose owner has never reported its end.
	overdueAfter = 10 * time.Minute
	// maxClockSkew is how far the creation time of a key may be ahead of the time of
	// the tables.
	maxClockSkew = time.Minute
	// maxNameBytes limits the names of teams and services.
	maxNameBytes       = 200
	overloadRetryAfter = time.Second
)

// jobRow is a job record with the fields that detect a resubmission.
type jobRow struct {
	wire.JobRecord
	KeyTime   int64  `json:"kt,omitempty"` // Unix milliseconds
	Nonce     string `json:"nonce"`
	hashedKey keyHash
}

// newJobRow returns a copy of the row with the hash of its key.
func newJobRow(r jobRow) *jobRow {
	if r.Key != "" {
		r.hashedKey = hashKey(r.Team, r.Key)
	}
	return &r
}

// Ownership returns the job with its current epoch.
func (r *jobRow) Ownership() wire.Ownership { return wire.Ownership{Job: r.Job, Epoch: r.Epoch} }

func (r *jobRow) isOpen() bool { return r.State == wire.JobOpen }

// hasUntimedKey reports whether the row has a key without a creation time, which
// needs a tombstone once the record is dropped.
func (r *jobRow) hasUntimedKey() bool { return r.Key != "" && r.KeyTime == 0 }

type jobTable struct {
	rows           map[ids.Job]*jobRow // open jobs
	byKey          map[keyHash]ids.Job
	byNonce        map[string]ids.Job
	byOwner        map[ids.Incarnation]map[ids.Job]struct{}
	admissionOrder []ids.Job // ids of open jobs in increasing order, and of some that have ended
	ended          endedTable
	nonces         nonceTable // of ended jobs
	untimedKeys    int        // open and ended rows with a key without creation time
	// keyFloor is the latest creation time of a key whose record has been dropped.
	// Keys up to it stay refused even if the retention is increased later.
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

// add inserts the row of an open job.
func (t *jobTable) add(r *jobRow) {
	t.rows[r.Job] = r
	t.byNonce[r.Nonce] = r.Job
	if r.Key != "" {
		t.byKey[r.hashedKey] = r.Job
	}
	if r.hasUntimedKey() {
		t.untimedKeys++
	}
	if len(t.admissionOrder) > 2*len(t.rows)+chunkRows {
		// Many jobs may end between two ApplyRetention commands, which remove their
		// ids.
		t.admissionOrder = slices.DeleteFunc(t.admissionOrder, func(job ids.Job) bool { return t.rows[job] == nil })
	}
	t.admissionOrder = append(t.admissionOrder, r.Job)
	t.addOwned(r.Owner, r.Job)
}

func (t *jobTable) addOwned(inc ids.Incarnation, job ids.Job) {
	if t.byOwner[inc] == nil {
		t.byOwner[inc] = map[ids.Job]struct{}{}
	}
	t.byOwner[inc][job] = struct{}{}
}

func (t *jobTable) removeOwned(inc ids.Incarnation, job ids.Job) {
	delete(t.byOwner[inc], job)
	if len(t.byOwner[inc]) == 0 {
		delete(t.byOwner, inc)
	}
}

func (t *jobTable) setOwner(r *jobRow, to ids.Incarnation) {
	t.removeOwned(r.Owner, r.Job)
	r.Owner = to
	t.addOwned(to, r.Job)
}

// end replaces the row of an open job by a compact one.
func (t *jobTable) end(r *jobRow, state wire.JobState, v verdict.Verdict, reason verdict.Reason, now int64) {
	r.State, r.Verdict, r.Reason, r.EndedMS = state, v, reason, now
	t.removeOwned(r.Owner, r.Job)
	delete(t.rows, r.Job)
	delete(t.byNonce, r.Nonce)
	if r.Key != "" {
		delete(t.byKey, r.hashedKey)
	}
	t.addEnded(r)
}

func (t *jobTable) addEnded(r *jobRow) {
	t.ended.add(t.ended.newRow(r))
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

// findKey returns the record of the submission with a key.
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

// findNonce returns the record of the admission with a nonce.
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
	o := oldestJobs{byService: map[ids.Service]ids.Job{}}
	for _, job := range t.admissionOrder {
		r, ok := t.rows[job]
		if !ok {
			continue
		}
		if o.overall == 0 {
			o.overall = job
		}
		if o.byService[r.Service] == 0 {
			o.byService[r.Service] = job
		}
	}
	return o
}

func (s *State) admit(it wire.AdmitItem) wire.AdmitResult {
	if !s.members.isLive(it.Owner, wire.KindEntry) {
		return admitRefusal(verdict.Refuse(verdict.Fenced, "entry incarnation %d is not live", it.Owner))
	}
	if rec, ok := s.jobs.findNonce(it.Nonce); ok {
		return repeatedAdmission(rec, it)
	}
	if e := checkAdmit(it); e != nil {
		return admitRefusal(e)
	}
	if it.Key != "" {
		if r, done := s.checkKey(it); done {
			return r
		}
	}
	if n := len(s.jobs.rows); n >= s.config.limits.maxOpen {
		return admitRefusal(verdict.Refuse(verdict.Overloaded, "%d jobs are open", n).After(overloadRetryAfter))
	}
	if s.jobs.len() >= maxRecords {
		return admitRefusal(verdict.Refuse(verdict.Overloaded, "%d job records are kept", maxRecords).After(overloadRetryAfter))
	}
	r := newJobRow(jobRow{JobRecord: wire.JobRecord{
		Job: ids.Job(s.index), Epoch: 1, Owner: it.Owner, Team: it.Team, Service: it.Service,
		Key: it.Key, BodyHash: it.BodyHash, Tasks: it.Tasks, State: wire.JobOpen, Admitted: s.now, Deadline: it.Deadline,
	}, KeyTime: it.KeyTime, Nonce: it.Nonce})
	s.jobs.add(r)
	o := r.Ownership()
	return wire.AdmitResult{Admitted: &o}
}

func admitRefusal(e *verdict.Error) wire.AdmitResult { return wire.AdmitResult{Err: e} }

// repeatedAdmission answers an admission whose nonce already has a record.
func repeatedAdmission(rec wire.JobRecord, it wire.AdmitItem) wire.AdmitResult {
	if rec.Owner != it.Owner {
		return admitRefusal(verdict.Refuse(verdict.Fenced, "job %d belongs to incarnation %d", rec.Job, rec.Owner))
	}
	return wire.AdmitResult{Admitted: &wire.Ownership{Job: rec.Job, Epoch: rec.Epoch}}
}

// checkKey answers an admission whose key was used before or can't be accepted.
// decided is false if the key is new.
func (s *State) checkKey(it wire.AdmitItem) (_ wire.AdmitResult, decided bool) {
	if rec, ok := s.jobs.findKey(it.Team, it.Key); ok {
		if !rec.HasBody(it.BodyHash) {
			return admitRefusal(verdict.Refuse(verdict.KeyReuse, "job %d has the same key and another body", rec.Job)), true
		}
		rec.BodyHash = it.BodyHash
		return wire.AdmitResult{Duplicate: &rec}, true
	}
	if s.tombstones.has(hashKey(it.Team, it.Key)) {
		return admitRefusal(verdict.Refuse(verdict.KeyExpired, "the key was used before")), true
	}
	if it.KeyTime == 0 {
		if s.jobs.untimedKeys+s.tombstones.len() >= maxTombstones {
			e := verdict.Refuse(verdict.KeyTableFull, "%d keys without a creation time are remembered", maxTombstones)
			return admitRefusal(e.After(time.Hour)), true
		}
		return wire.AdmitResult{}, false
	}
	if it.KeyTime < s.now-s.config.limits.retention || it.KeyTime <= s.jobs.keyFloor {
		return admitRefusal(verdict.Refuse(verdict.KeyExpired, "the key's creation time is past its retention")), true
	}
	if it.KeyTime > s.now+maxClockSkew.Milliseconds() {
		return admitRefusal(verdict.Refuse(verdict.BadRequest, "the key's creation time lies in the future")), true
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

// complete records the ends of jobs. An item with an older epoch comes from a former
// owner and has no effect; a repeated item has none either.
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
		s.changes.disowned(s.index, r.Ownership(), owner)
	}
}

func (r *jobRow) isOverdue(now int64, l limits) bool {
	return r.Admitted+l.maxDeadline+overdueAfter.Milliseconds() < now
}

func (t *jobTable) due(now int64, l limits) bool {
	for _, job := range t.admissionOrder {
		if r, ok := t.rows[job]; ok {
			if r.isOverdue(now, l) {
				return true
			}
			break
		}
	}
	if t.ended.len() > 0 && t.ended.rows.nth(0).expiresAt(l) < now {
		return true
	}
	return t.mustDropKeyless()
}

// mustDropKeyless reports whether there are too many records, so that ended ones
// without a key are dropped.
func (t *jobTable) mustDropKeyless() bool {
	return t.len() > maxRecordsBeforeKeylessDrop && t.ended.keyless > 0
}

// endOverdueJobs ends open jobs that no owner can still be working on, and removes
// ended jobs from admissionOrder.
func (s *State) endOverdueJobs() {
	s.jobs.admissionOrder = slices.DeleteFunc(s.jobs.admissionOrder, func(job ids.Job) bool {
		r, ok := s.jobs.rows[job]
		if ok && r.isOverdue(s.now, s.config.limits) {
			s.endJob(r, wire.JobFailed, verdict.MayHaveRun, verdict.DeadlinePassed)
			return true
		}
		return !ok
	})
}

// dropExpiredJobs drops ended records after their retention, and the oldest ones
// without a key while there are too many records. A key without creation time leaves
// a tombstone.
//
// It stops at the first record whose retention can't have ended, since records are
// in the order of their ends. Its cost is therefore proportional to the dropped
// records, not to the kept ones.
func (s *State) dropExpiredJobs() {
	l := s.config.limits
	t := &s.jobs.ended
	n := 0
	for ; n < t.len(); n++ {
		r := t.rows.nth(n)
		mustDropKeyless := s.jobs.mustDropKeyless()
		if r.ended+l.retention >= s.now && !mustDropKeyless {
			break
		}
		if r.expiresAt(l) < s.now || mustDropKeyless && r.keyless() {
			s.dropJob(t.rows.pos(n))
		}
	}
	t.dropUnindexed(n)
	s.jobs.nonces.dropWithoutRecord(t)
}

func (s *State) dropJob(pos uint32) {
	r := *s.jobs.ended.rows.at(pos)
	s.jobs.ended.unindex(pos)
	if r.hasUntimedKey() {
		s.jobs.untimedKeys--
		s.tombstones.add(r.key, s.now)
	}
	if !r.keyless() {
		s.jobs.keyFloor = max(s.jobs.keyFloor, r.keyTime)
	}
}
