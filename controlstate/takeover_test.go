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

func jobOwners(s *State) map[ids.Job]ids.Incarnation {
	out := map[ids.Job]ids.Incarnation{}
	for job, r := range s.jobs.rows {
		out[job] = r.Owner
	}
	return out
}

// Guards against a takeover that moves jobs of live entries, that leaves jobs
// without a live owner, or that ignores weights; and against a former owner whose
// report still takes effect.
func TestTakeoverMovesOnlyTheLostJobs(t *testing.T) {
	l := newTestLog(t)
	var entries []ids.Incarnation
	for i, weight := range []int{1, 1, 3} {
		reg := wire.Registration{Kind: wire.KindEntry, Node: "e", Addr: "a", Weight: weight, Nonce: fmt.Sprint("e", i)}
		entries = append(entries, l.apply(Command{Register: &reg}).Incarnation)
	}
	var lost []wire.Ownership
	for i := range 3000 {
		r := l.admit(wire.AdmitItem{Owner: entries[i%3]})
		if i%3 == 0 {
			lost = append(lost, *r.Admitted)
		}
	}
	before := jobOwners(l.state)
	l.register(wire.KindEntry, "late")
	if !reflect.DeepEqual(before, jobOwners(l.state)) {
		t.Fatal("jobs moved when an entry joined")
	}
	l.expire(entries[0])
	share := map[ids.Incarnation]int{}
	for job, owner := range jobOwners(l.state) {
		if before[job] != entries[0] {
			if owner != before[job] {
				t.Fatalf("job %d moved from live entry %d", job, before[job])
			}
			continue
		}
		if !l.state.members.isLive(owner, wire.KindEntry) {
			t.Fatalf("job %d belongs to ended entry %d", job, owner)
		}
		share[owner]++
	}
	// 1000 jobs are shared by entries of weight 1, 3 and 1; three standard
	// deviations are less than 50 jobs.
	if n := share[entries[2]]; n < 550 || n > 650 {
		t.Fatalf("the entry of weight 3 of 5 got %d of 1000 jobs", n)
	}
	l.end(lost[0])
	if rec, _ := l.state.Job(lost[0].Job); rec.State != wire.JobOpen || rec.Epoch != 2 {
		t.Fatalf("a report of the former owner counted: %+v", rec)
	}
	lost[0].Epoch = 2
	l.end(lost[0])
	if rec, _ := l.state.Job(lost[0].Job); rec.State != wire.JobComplete {
		t.Fatalf("the new owner's report did not count: %+v", rec)
	}
}

// Guards against jobs that stay without an owner because no entry was live at the
// time of the takeover, and against jobs that never end.
func TestJobsWithoutAnyEntry(t *testing.T) {
	l := newTestLog(t)
	e1 := l.register(wire.KindEntry, "e1")
	job := l.admit(wire.AdmitItem{Owner: e1}).Admitted.Job
	l.expire(e1)
	l.restart()
	e2 := l.register(wire.KindEntry, "e2")
	if rec, _ := l.state.Job(job); rec.Owner != e2 || rec.Epoch != 2 {
		t.Fatalf("job after the registration of an entry: %+v", rec)
	}
	l.now = l.now.Add(2 * time.Hour)
	if !l.state.RetentionDue(l.now) {
		t.Fatal("retention is not due for an overdue job")
	}
	l.applyRetention()
	if rec, _ := l.state.Job(job); rec.State != wire.JobFailed || rec.Verdict != verdict.MayHaveRun {
		t.Fatalf("overdue job: %+v", rec)
	}
}

// Guards against a registry that drops an incarnation on which tasks of an open job
// may have run, so that the new owner of the job would start them again.
func TestEndedMembersStayWhileAJobNeedsThem(t *testing.T) {
	l := newTestLog(t)
	entry := l.register(wire.KindEntry, "e1")
	early := l.register(wire.KindAgent, "a1")
	l.expire(early)
	job := *l.admit(wire.AdmitItem{Owner: entry}).Admitted
	used := l.register(wire.KindAgent, "a2")
	l.expire(used)
	l.now = l.now.Add(10 * time.Minute)
	l.applyRetention()
	if _, ok := l.state.Member(early); ok {
		t.Fatal("the row that ended before the job was admitted is kept")
	}
	if _, ok := l.state.Member(used); !ok {
		t.Fatal("the row that the open job may have used is gone")
	}
	l.end(job)
	l.applyRetention()
	if _, ok := l.state.Member(used); ok {
		t.Fatal("the row is kept after the job's end")
	}
}

// memberView is a member's copy of the tables, updated by deltas.
type memberView struct {
	version  ids.Version
	config   map[string]string
	members  map[ids.Incarnation]wire.Member
	assigned map[ids.Job]ids.Epoch
}

func (v *memberView) update(s *State, inc ids.Incarnation) (whole bool) {
	c, whole := s.Changes(v.version, inc)
	if whole {
		*v = memberView{config: map[string]string{}, members: map[ids.Incarnation]wire.Member{}, assigned: map[ids.Job]ids.Epoch{}}
	}
	for _, p := range c.Config {
		v.config[p.Key] = p.Value
	}
	for _, k := range c.RemovedKeys {
		delete(v.config, k)
	}
	for _, m := range c.Members {
		v.members[m.Incarnation] = m
	}
	for _, inc := range c.RemovedMembers {
		delete(v.members, ids.Incarnation(inc))
	}
	for _, a := range c.Assigned {
		v.assigned[a.Job] = a.Epoch
	}
	for _, o := range c.LostJobs {
		if v.assigned[o.Job] <= o.Epoch {
			delete(v.assigned, o.Job)
		}
	}
	v.version = ids.Version(s.Index())
	return whole
}

// Guards against deltas that leave a member's view different from the whole view,
// over random commands and restarts.
func TestDeltasAddUpToTheWholeView(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := newTestLog(t)
		watchers := []ids.Incarnation{l.register(wire.KindEntry, "w1"), l.register(wire.KindAgent, "w2")}
		views := make([]memberView, len(watchers))
		var live []ids.Incarnation
		var jobs []ids.Job
		for range 300 {
			l.now = l.now.Add(time.Duration(rng.IntN(40)) * time.Second)
			switch rng.IntN(8) {
			case 0:
				live = append(live, l.register([]wire.Kind{wire.KindEntry, wire.KindAgent}[rng.IntN(2)], "m"))
			case 1:
				if len(live) > 0 {
					l.expire(live[rng.IntN(len(live))])
				}
			case 2:
				pairs := []wire.Pair{{Key: fmt.Sprint("k", rng.IntN(5)), Value: fmt.Sprint(rng.IntN(9))}}
				l.apply(Command{Apply: &wire.Apply{CommandID: fmt.Sprint(l.index), Expect: wire.AnyVersion, Pairs: pairs}})
			case 3, 4:
				if len(live) > 0 {
					if r := l.admit(wire.AdmitItem{Owner: live[rng.IntN(len(live))]}); r.Admitted != nil {
						jobs = append(jobs, r.Admitted.Job)
					}
				}
			case 5:
				if len(jobs) > 0 {
					if rec, ok := l.state.Job(jobs[rng.IntN(len(jobs))]); ok {
						l.end(wire.Ownership{Job: rec.Job, Epoch: rec.Epoch})
					}
				}
			case 6:
				l.applyRetention()
			case 7:
				l.apply(Command{Drain: &Drain{Incarnation: watchers[rng.IntN(2)], Drain: rng.IntN(2) == 0}})
			}
			if rng.IntN(50) == 0 {
				l.restart()
			}
			for i, inc := range watchers {
				if rng.IntN(4) != 0 {
					continue
				}
				views[i].update(l.state, inc)
				var whole memberView
				whole.update(l.state, inc)
				if !reflect.DeepEqual(views[i], whole) {
					t.Fatalf("seed %d, index %d, member %d:\n%+v\n%+v", seed, l.index, inc, views[i], whole)
				}
			}
		}
	}
}

// Guards against a member that misses changes when its version is older than the
// change log, and against agents that receive the rows of other agents.
func TestWholeViewWhenTooOld(t *testing.T) {
	l := newTestLog(t)
	entry, agent := l.register(wire.KindEntry, "e"), l.register(wire.KindAgent, "a")
	other := l.register(wire.KindAgent, "b")
	since := ids.Version(l.index)
	for i := range 3 * maxChanges {
		l.apply(Command{Apply: &wire.Apply{CommandID: fmt.Sprint(i), Expect: wire.AnyVersion, Pairs: []wire.Pair{{Key: "x", Value: fmt.Sprint(i)}}}})
	}
	c, whole := l.state.Changes(since, agent)
	if !whole || len(c.Config) != 1 || slices.ContainsFunc(c.Members, func(m wire.Member) bool { return m.Incarnation == other }) {
		t.Fatalf("view of the agent: whole %v, %+v", whole, c)
	}
	if c, whole = l.state.Changes(since, entry); !whole || len(c.Members) != 3 {
		t.Fatalf("view of the entry: whole %v, %+v", whole, c)
	}
	if c, whole = l.state.Changes(ids.Version(l.index), entry); whole || !c.IsZero() {
		t.Fatalf("view that is up to date: whole %v, %+v", whole, c)
	}
}
