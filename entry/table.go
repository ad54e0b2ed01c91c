package entry

import (
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxEndedRows is the number of rows of ended jobs, with or without results, above
	// which the oldest rows are removed before their retention has passed. It is no
	// strict bound: a row whose end is not recorded stays, and so do all later ones.
	maxEndedRows = 200_000
	// answerOverheadBytes is an upper estimate of the memory of an answer without its
	// body.
	answerOverheadBytes = 256
)

// job is a row of the job table. Its fields do not change after the row was added,
// except status, lostErr, ended, answerBytes and recorded, which the lock of the
// table guards.
type job struct {
	id          ids.Job
	epoch       ids.Epoch
	team        ids.Team
	service     ids.Service
	taskCount   int
	key         string
	bodyHash    string
	incarnation *incarnation
	done        chan struct{} // closed when the job has ended or this entry has lost it

	status      wire.JobStatus
	lostErr     *verdict.Error // set when this entry has lost the job
	ended       time.Time      // time of the end
	answerBytes int64
	recorded    bool // the control group has recorded the end
}

// submissionKey identifies a submission.
type submissionKey struct {
	team ids.Team
	key  string
}

// jobTable holds the jobs that this entry owns and the answers of ended ones.
type jobTable struct {
	maxAnswerBytes int64

	mu              sync.Mutex
	rows            map[ids.Job]*job
	rowsByKey       map[submissionKey]*job // rows that have a key; read by tests only
	openCount       int
	ended           []*job // rows of ended jobs, in the order of their end
	jobsWithResults []*job // ended jobs whose results are kept, in the order of their end
	answerBytes     int64
}

func newJobTable(maxAnswerBytes int64) *jobTable {
	return &jobTable{maxAnswerBytes: maxAnswerBytes, rows: map[ids.Job]*job{}, rowsByKey: map[submissionKey]*job{}}
}

// add adds the row of an open job. It returns false with the existing row if that one
// has ended or has the same or a later epoch.
func (t *jobTable) add(j *job) (*job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.rows[j.id]; old != nil && (old.epoch >= j.epoch || old.isDone()) {
		return old, false
	}
	j.done = make(chan struct{})
	j.status = wire.JobStatus{Job: j.id, State: wire.JobOpen, Tasks: j.taskCount}
	t.rows[j.id] = j
	if j.key != "" {
		t.rowsByKey[submissionKey{j.team, j.key}] = j
	}
	t.openCount++
	return j, true
}

func (j *job) isDone() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

func (t *jobTable) get(id ids.Job) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[id]
}

// end stores the outcome of a job and wakes its waiting callers.
func (t *jobTable) end(j *job, st wire.JobStatus, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.isDone() {
		return
	}
	for _, a := range st.Results {
		j.answerBytes += int64(len(a.Body)) + answerOverheadBytes
	}
	j.status, j.ended = st, now
	t.openCount--
	t.answerBytes += j.answerBytes
	t.ended = append(t.ended, j)
	if j.answerBytes > 0 {
		t.jobsWithResults = append(t.jobsWithResults, j)
	}
	close(j.done)
	t.evictResults(j)
}

// evictResults drops the oldest results beyond the memory bound. It keeps those of j,
// since its callers have not read them yet.
func (t *jobTable) evictResults(j *job) {
	for t.answerBytes > t.maxAnswerBytes && len(t.jobsWithResults) > 0 && t.jobsWithResults[0] != j {
		t.dropResults(t.jobsWithResults[0])
		t.jobsWithResults = t.jobsWithResults[1:]
	}
}

// dropResults drops the results of an ended job and sets its reason to
// answer-expired.
func (t *jobTable) dropResults(j *job) {
	if j.answerBytes == 0 {
		return
	}
	t.answerBytes -= j.answerBytes
	j.answerBytes = 0
	j.status.Results = nil
	j.status.Reason = verdict.AnswerExpired
}

// expire removes ended jobs whose retention has passed and whose end is recorded,
// oldest first. Above maxEndedRows it removes them before their retention has passed.
func (t *jobTable) expire(now time.Time, retention time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.ended) > 0 {
		j := t.ended[0]
		old := now.Sub(j.ended) > retention || len(t.ended) > maxEndedRows
		if !old || !j.recorded {
			break
		}
		t.ended = t.ended[1:]
		t.dropResults(j)
		t.removeRow(j)
	}
	for len(t.jobsWithResults) > 0 && t.jobsWithResults[0].answerBytes == 0 {
		t.jobsWithResults = t.jobsWithResults[1:]
	}
}

func (t *jobTable) markRecorded(j *job) {
	t.mu.Lock()
	j.recorded = true
	t.mu.Unlock()
}

// dropAllLost removes the open jobs of an incarnation that has lost its registration.
// From then on their state is that of their next owner.
func (t *jobTable) dropAllLost(inc *incarnation, e *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.rows {
		if j.incarnation != inc {
			continue
		}
		if j.isDone() {
			j.recorded = true // the session has ended, so the end cannot be recorded any more
			continue
		}
		j.lostErr = e
		t.openCount--
		t.removeRow(j)
		close(j.done)
	}
}

// dropLost removes an open job that another entry owns now.
func (t *jobTable) dropLost(j *job, e *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.isDone() {
		return
	}
	j.lostErr = e
	t.openCount--
	t.removeRow(j)
	close(j.done)
}

// removeRow removes a row from the table. The caller holds the lock.
func (t *jobTable) removeRow(j *job) {
	if t.rows[j.id] == j {
		delete(t.rows, j.id)
	}
	if k := (submissionKey{j.team, j.key}); t.rowsByKey[k] == j {
		delete(t.rowsByKey, k)
	}
}

// byKey returns the row of the job submitted with a key, or nil. Only tests use it.
func (t *jobTable) byKey(team ids.Team, key string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key == "" {
		return nil
	}
	return t.rowsByKey[submissionKey{team, key}]
}

// currentStatus returns the status of a job, and the error with which this entry lost
// it, if it did.
func (t *jobTable) currentStatus(j *job) (wire.JobStatus, *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return j.status, j.lostErr
}

// openJobs returns the jobs that have not ended.
func (t *jobTable) openJobs() []*job {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*job
	for _, j := range t.rows {
		if !j.isDone() {
			open = append(open, j)
		}
	}
	return open
}

// sizes returns the number of open jobs, the number of rows, and the size of the kept
// answers.
func (t *jobTable) sizes() (openCount, rows int, answerBytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openCount, len(t.rows), t.answerBytes
}
