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
	// answerOverhead is an upper estimate of the memory of an answer without body.
	answerOverhead = 256
)

// job is a row of the job table. Its fields do not change after the row was
// made, except status, lost, ended and recorded, which the table's lock guards.
type job struct {
	id          ids.Job
	epoch       ids.Epoch
	team        ids.Team
	service     ids.Service
	tasks       int
	key         string
	hash        string
	incarnation *incarnation
	done        chan struct{} // closed when the job has ended or its owner was lost

	status   wire.JobStatus
	lost     *verdict.Error // set when this entry lost the job
	ended    time.Time
	bytes    int64
	recorded bool // the control group has the end
}

// jobKey names a submission.
type jobKey struct {
	team ids.Team
	key  string
}

// table holds the jobs that this entry owns, and the answers of ended ones.
type table struct {
	maxBytes int64

	mu    sync.Mutex
	rows  map[ids.Job]*job
	keys  map[jobKey]*job // rows that have a key
	open  int
	ended []*job // in order of their end
	kept  []*job // ended jobs whose results are kept, in order of their end
	bytes int64
}

func newTable(maxBytes int64) *table {
	return &table{maxBytes: maxBytes, rows: map[ids.Job]*job{}, keys: map[jobKey]*job{}}
}

// add makes the row of an open job. It returns false with the existing row when
// the same or a later epoch is there.
func (t *table) add(j *job) (*job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.rows[j.id]; old != nil && (old.epoch >= j.epoch || old.isDone()) {
		return old, false
	}
	j.done = make(chan struct{})
	j.status = wire.JobStatus{Job: j.id, State: wire.JobOpen, Tasks: j.tasks}
	t.rows[j.id] = j
	if j.key != "" {
		t.keys[jobKey{j.team, j.key}] = j
	}
	t.open++
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

func (t *table) get(id ids.Job) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[id]
}

// end stores the outcome of a job and wakes those who wait for it.
func (t *table) end(j *job, st wire.JobStatus, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.isDone() {
		return
	}
	for _, a := range st.Results {
		j.bytes += int64(len(a.Body)) + answerOverhead
	}
	j.status, j.ended = st, now
	t.open--
	t.bytes += j.bytes
	t.ended = append(t.ended, j)
	if j.bytes > 0 {
		t.kept = append(t.kept, j)
	}
	close(j.done)
	t.limit(j)
}

// limit drops the oldest results above the memory bound, but not those of j,
// whose callers have yet to read them.
func (t *table) limit(j *job) {
	for t.bytes > t.maxBytes && len(t.kept) > 0 && t.kept[0] != j {
		t.dropResults(t.kept[0])
		t.kept = t.kept[1:]
	}
}

func (t *table) dropResults(j *job) {
	if j.bytes == 0 {
		return
	}
	t.bytes -= j.bytes
	j.bytes = 0
	j.status.Results = nil
	j.status.Reason = verdict.AnswerExpired
}

// expire drops rows whose retention has passed and whose end is recorded.
func (t *table) expire(now time.Time, retention time.Duration) {
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
		t.remove(j)
	}
	for len(t.kept) > 0 && t.kept[0].bytes == 0 {
		t.kept = t.kept[1:]
	}
}

func (t *table) setRecorded(j *job) {
	t.mu.Lock()
	j.recorded = true
	t.mu.Unlock()
}

// abandon removes the open jobs of a life that lost its registration. Their
// state is that of their next owner.
func (t *table) abandon(inc *incarnation, e *verdict.Error) {
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
		j.lost = e
		t.open--
		t.remove(j)
		close(j.done)
	}
}

// lose removes an open job that belongs to another entry.
func (t *table) lose(j *job, e *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.isDone() {
		return
	}
	j.lost = e
	t.open--
	t.remove(j)
	close(j.done)
}

// remove takes a row out of the table.
func (t *table) remove(j *job) {
	if t.rows[j.id] == j {
		delete(t.rows, j.id)
	}
	if k := (jobKey{j.team, j.key}); t.keys[k] == j {
		delete(t.keys, k)
	}
}

// byKey returns the row of a submission, or nil.
func (t *table) byKey(team ids.Team, key string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key == "" {
		return nil
	}
	return t.keys[jobKey{team, key}]
}

// state returns the status of a row, or the error that ended its ownership.
func (t *table) state(j *job) (wire.JobStatus, *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return j.status, j.lost
}

// openJobs returns the jobs that have not ended.
func (t *table) openJobs() []*job {
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
func (t *table) sizes() (open, rows int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, len(t.rows), t.bytes
}
