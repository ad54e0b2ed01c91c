package controlstate

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// expectedJob is an ended job with the answers that the tables gave while its whole
// row was stored.
type expectedJob struct {
	item      wire.AdmitItem
	ownership wire.Ownership
	rec       wire.JobRecord // with the end of the job
}

func (l *testLog) endedJob(it wire.AdmitItem, c wire.CompleteItem) expectedJob {
	l.t.Helper()
	r := l.admit(it)
	if r.Admitted == nil {
		l.t.Fatal(r.Err)
	}
	rec, _ := l.state.Job(r.Admitted.Job)
	l.now = l.now.Add(1234 * time.Millisecond)
	c.Ownership = *r.Admitted
	l.apply(Command{Complete: &wire.Complete{Items: []wire.CompleteItem{c}}})
	rec.State, rec.Verdict, rec.Reason, rec.EndedMS = c.State, c.Verdict, c.Reason, l.now.UnixMilli()
	return expectedJob{item: it, ownership: *r.Admitted, rec: rec}
}

// check compares the result of each lookup of the job with what the whole row would
// give.
func (c expectedJob) check(l *testLog, other ids.Incarnation) {
	l.t.Helper()
	got, ok := l.state.Job(c.ownership.Job)
	if !ok || !got.HasBody(c.rec.BodyHash) || got.HasBody(c.rec.BodyHash+"x") {
		l.t.Fatalf("job %d: %v, %+v", c.ownership.Job, ok, got)
	}
	got.Key, got.BodyHash = c.rec.Key, c.rec.BodyHash
	if got != c.rec {
		l.t.Fatalf("record\n%+v, want\n%+v", got, c.rec)
	}
	if r := l.admit(c.item); r.Admitted == nil || *r.Admitted != c.ownership {
		l.t.Fatalf("repeated nonce: %+v", r)
	}
	it := c.item
	it.Owner = other
	if r := l.admit(it); reason(r.Err) != verdict.Fenced {
		l.t.Fatalf("nonce of another owner: %+v", r)
	}
	if it.Nonce = ""; it.Key == "" {
		return
	}
	if r := l.admit(it); r.Duplicate == nil || *r.Duplicate != c.rec {
		l.t.Fatalf("resubmission: %+v, want %+v", r, c.rec)
	}
	it.BodyHash += "x"
	if r := l.admit(it); reason(r.Err) != verdict.KeyReuse {
		l.t.Fatalf("other body: %+v", r)
	}
	got, ok = l.state.JobByKey("acme", c.item.Key)
	if !ok || !got.HasBody(c.rec.BodyHash) || got.Job != c.ownership.Job || got.Key != c.rec.Key {
		l.t.Fatalf("record by key: %+v", got)
	}
}

// Guards against a compact row, or its copy in a snapshot, that answers a
// resubmission or a lookup differently from the whole row.
func TestCompactedJobAnswersAsBefore(t *testing.T) {
	l := newTestLog(t)
	entry, other := l.register(wire.KindEntry, "e1"), l.register(wire.KindEntry, "e2")
	var jobs []expectedJob
	for i := range 60 {
		it := wire.AdmitItem{Owner: entry, Tasks: 1 + i*160, Nonce: fmt.Sprint("nonce", i), BodyHash: fmt.Sprint("body", i)}
		if i%3 > 0 {
			it.Key = fmt.Sprint("key", i)
		}
		if i%3 == 1 {
			it.KeyTime = l.now.UnixMilli()
		}
		if i%2 == 0 {
			it.Deadline = l.now.Add(time.Duration(i-30) * time.Minute).UnixMilli()
		}
		jobs = append(jobs, l.endedJob(it, [...]wire.CompleteItem{
			{State: wire.JobComplete, Verdict: verdict.Ran, Reason: verdict.Complete},
			{State: wire.JobFailed, Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost},
			{State: wire.JobFailed, Verdict: verdict.Ran, Reason: verdict.TaskFailed},
			{State: wire.JobCanceled, Verdict: verdict.NotRun, Reason: verdict.Canceled},
		}[i%4]))
	}
	for range 2 {
		for _, j := range jobs {
			j.check(l, other)
		}
		if n := l.state.OpenJobs(); n != 0 {
			t.Fatalf("%d jobs are open after resubmissions", n)
		}
		l.restart()
	}
}

// Guards against restored tables that lose the ended jobs of snapshots of older
// versions, which hold whole rows of them.
func TestRestoreOfWholeEndedRows(t *testing.T) {
	s, err := Restore([]byte(`{"index":9,"now":50,"jobs":[{"job":7,"epoch":2,"owner":3,"team":"acme","svc":"mostrador",` +
		`"key":"k","hash":"h","n":4,"state":"complete","verdict":"ran","reason":"complete","at":10,"end":40,"nonce":"n"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	rec, ok := s.JobByKey("acme", "k")
	if !ok || !rec.HasBody("h") || rec.Job != 7 || rec.Epoch != 2 || rec.State != wire.JobComplete || rec.EndedMS != 40 || s.jobs.untimedKeys != 1 {
		t.Fatalf("record: %+v", rec)
	}
}

// Guards against a full table that drops a record to make room, or that refuses an
// admission without the verdict not-run and a time to retry.
func TestFullTableRefuses(t *testing.T) {
	l := newTestLog(t)
	l.state.Apply(1, Command{Register: &wire.Registration{Kind: wire.KindEntry, Node: "e", Addr: "a", Nonce: "e"}})
	at := uint64(1)
	admit := func() wire.AdmitResult {
		at++
		it := wire.AdmitItem{Owner: 1, Key: fmt.Sprint(at), KeyTime: l.now.UnixMilli(), BodyHash: "h", Nonce: fmt.Sprint(at), Tasks: 1}
		return l.state.Apply(at, Command{Time: l.now.UnixMilli(), Admit: &it}).Admit
	}
	for range maxRecords {
		r := admit()
		if r.Admitted == nil {
			t.Fatal(r.Err)
		}
		at++
		l.state.Apply(at, Command{Complete: &wire.Complete{Items: []wire.CompleteItem{{Ownership: *r.Admitted, State: wire.JobComplete}}}})
	}
	full := func(tick time.Time) *verdict.Error {
		at++
		l.state.Apply(at, Command{Time: tick.UnixMilli(), ApplyRetention: &ApplyRetention{}})
		return admit().Err
	}
	e := full(l.now.Add(time.Hour))
	if reason(e) != verdict.Overloaded || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 || l.state.jobs.len() != maxRecords {
		t.Fatalf("full table: %+v with %d records", e, l.state.jobs.len())
	}
	l.now = l.now.Add(time.Hour + time.Second)
	if e := full(l.now); e != nil || l.state.jobs.len() != 1 {
		t.Fatalf("after the retention: %+v with %d records", e, l.state.jobs.len())
	}
}

// Guards against indexes that lose rows or find wrong ones when rows are removed out
// of order or moved, or when positions wrap around to zero.
func TestEndedTableAgainstAModel(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		table := newEndedTable()
		table.rows.head = posMask - 2*chunkRows
		var model []endedRow
		next := ids.Job(1)
		for range 60 {
			for range rng.IntN(600) {
				row := endedRow{job: next, attributes: table.attributeSets.add(attributes{Epoch: ids.Epoch(rng.IntN(9))})}
				if rng.IntN(3) > 0 {
					row.key = hashKey("t", fmt.Sprint(next))
				}
				table.add(row)
				model = append(model, row)
				next++
			}
			n := rng.IntN(len(model) + 1)
			var kept []endedRow
			for i, r := range model[:n] {
				if rng.IntN(10) > 0 {
					table.unindex(table.rows.pos(i))
				} else {
					kept = append(kept, r)
				}
			}
			table.dropUnindexed(n)
			model = append(kept, model[n:]...)
			checkTable(t, seed, &table, model)
		}
	}
}

func checkTable(t *testing.T, seed uint64, table *endedTable, model []endedRow) {
	t.Helper()
	var rows []endedRow
	keys, refs := 0, 0
	for i := range table.len() {
		rows = append(rows, *table.rows.nth(i))
	}
	if !slices.Equal(rows, model) {
		t.Fatalf("seed %d: %d rows, want %d: %v", seed, len(rows), len(model), reflect.DeepEqual(rows, model))
	}
	for _, want := range model {
		r, ok := table.findJob(want.job)
		if !ok || *r != want {
			t.Fatalf("seed %d: job %d: %+v", seed, want.job, r)
		}
		if want.keyless() {
			continue
		}
		keys++
		if r, ok := table.findKey(want.key); !ok || *r != want {
			t.Fatalf("seed %d: key of job %d: %+v", seed, want.job, r)
		}
	}
	for _, v := range table.attributeSets.values {
		refs += v.refs
	}
	if table.byJob.n != len(model) || table.byKey.n != keys ||
		table.keyless != len(model)-keys || refs != len(model) {
		t.Fatalf("seed %d: counts %d %d %d %d for %d rows with %d keys", seed,
			table.byJob.n, table.byKey.n, table.keyless, refs, len(model), keys)
	}
	if _, ok := table.findJob(1 << 40); ok {
		t.Fatalf("seed %d: found an unknown job", seed)
	}
}

// Guards against nonces of ended jobs that grow without bound, that find another
// job, or that a snapshot loses.
func TestNoncesOfTheLatestEndedJobs(t *testing.T) {
	l := newTestLog(t)
	entry := l.register(wire.KindEntry, "e")
	at, own := l.index, map[int]wire.Ownership{}
	admit := func(i int) wire.AdmitResult {
		at++
		it := wire.AdmitItem{Owner: entry, Nonce: fmt.Sprint(i), Tasks: 1}
		return l.state.Apply(at, Command{Admit: &it}).Admit
	}
	for i := range maxNonces + 100 {
		own[i] = *admit(i).Admitted
		at++
		l.state.Apply(at, Command{Complete: &wire.Complete{Items: []wire.CompleteItem{{Ownership: own[i], State: wire.JobComplete}}}})
	}
	l.restart()
	for i := 100; i < maxNonces+100; i++ {
		if r := admit(i); r.Admitted == nil || *r.Admitted != own[i] {
			t.Fatalf("nonce %d: %+v, want %+v", i, r, own[i])
		}
	}
	if n := l.state.jobs.nonces.byHash.n; n != maxNonces || l.state.OpenJobs() != 0 {
		t.Fatalf("%d nonces, %d open jobs", n, l.state.OpenJobs())
	}
}
