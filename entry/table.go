package entry

import (
	"sync"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxEndedRows bounds the rows of ended jobs, answers or not.
	maxEndedRows = 200_000
	// answerOverheadBytes is an upper estimate of the memory of an answer without body.
	answerOverheadBytes = 256
)

// job is a row of the job table. Its fields do not change after the row was
// made, except status, lost, ended and recorded, which the table's lock guards.
type job struct {
	id          ids.Job
	epoch       ids.Epoch
	team        ids.Team
	service     ids.Service
	taskCount   int
	key         string
	bodyHash    string
	incarnation *incarnation
	done        chan struct{} // closed when the job has ended or its owner was lost

	status      wire.JobStatus
	lostErr     *verdict.Error // set when this entry lost the job
	ended       time.Time
	answerBytes int64
	recorded    bool // the control group has the end
}

// submissionKey names a submission.
type submissionKey struct {
	team ids.Team
	key  string
}

// jobTable holds the jobs that this entry owns, and the answers of ended ones.
type jobTable struct {
	maxAnswerBytes int64

	mu              sync.Mutex
	rows            map[ids.Job]*job
	rowsByKey       map[submissionKey]*job // rows that have a key
	openCount       int
	ended           []*job // in order of their end
	jobsWithResults []*job // ended jobs whose results are kept, in order of their end
	answerBytes     int64
}

func newJobTable(maxAnswerBytes int64) *jobTable {
	return &jobTable{maxAnswerBytes: maxAnswerBytes, rows: map[ids.Job]*job{}, rowsByKey: map[submissionKey]*job{}}
}

// add makes the row of an open job. It returns false with the existing row when
// the same or a later epoch is there.
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

// end stores the outcome of a job and wakes those who wait for it.
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

// evictResults drops the oldest results above the memory bound, but not those of j,
// whose callers have yet to read them.
func (t *jobTable) evictResults(j *job) {
	for t.answerBytes > t.maxAnswerBytes && len(t.jobsWithResults) > 0 && t.jobsWithResults[0] != j {
		t.dropResults(t.jobsWithResults[0])
		t.jobsWithResults = t.jobsWithResults[1:]
	}
}

func (t *jobTable) dropResults(j *job) {
	if j.answerBytes == 0 {
		return
	}
	t.answerBytes -= j.answerBytes
	j.answerBytes = 0
	j.status.Results = nil
	j.status.Reason = verdict.AnswerExpired
}

// expire drops rows whose retention has passed and whose end is recorded.
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

// dropAllLost removes the open jobs of a life that lost its registration. Their
// state is that of their next owner.
func (t *jobTable) dropAllLost(inc *incarnation, e *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.rows {
		if j.incarnation != inc {
			continue
		}
		if j.isDone() {
			j.recorded = true // the end can't be recorded any more
			continue
		}
		j.lostErr = e
		t.openCount--
		t.removeRow(j)
		close(j.done)
	}
}

// dropLost removes an open job that belongs to another entry.
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

// removeRow takes a row out of the table.
func (t *jobTable) removeRow(j *job) {
	if t.rows[j.id] == j {
		delete(t.rows, j.id)
	}
	if k := (submissionKey{j.team, j.key}); t.rowsByKey[k] == j {
		delete(t.rowsByKey, k)
	}
}

// byKey returns the row of a submission, or nil.
func (t *jobTable) byKey(team ids.Team, key string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key == "" {
		return nil
	}
	return t.rowsByKey[submissionKey{team, key}]
}

// currentStatus returns the status of a row, or the error that ended its ownership.
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

// sizes returns the number of open jobs, of rows and of bytes of answers.
func (t *jobTable) sizes() (openCount, rows int, answerBytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openCount, len(t.rows), t.answerBytes
}
