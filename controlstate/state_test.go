package controlstate

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// testLog applies commands to tables as a leader does.
type testLog struct {
	t     *testing.T
	state *State
	index uint64
	now   time.Time
}

func newTestLog(t *testing.T) *testLog {
	return &testLog{t: t, state: New(), now: time.UnixMilli(1_000_000_000_000)}
}

func (l *testLog) apply(c Command) Result {
	l.index++
	c.Time = l.now.UnixMilli()
	data, err := c.Encode()
	if err != nil {
		l.t.Fatal(err)
	}
	c, err = Decode(data)
	if err != nil {
		l.t.Fatal(err)
	}
	return l.state.Apply(l.index, c)
}

// restart replaces the tables by those restored from a snapshot of them.
func (l *testLog) restart() {
	l.t.Helper()
	data, err := l.state.Snapshot()
	if err != nil {
		l.t.Fatal(err)
	}
	s, err := Restore(data)
	if err != nil {
		l.t.Fatal(err)
	}
	again, err := s.Snapshot()
	if err != nil {
		l.t.Fatal(err)
	}
	if !bytes.Equal(data, again) {
		l.t.Fatalf("restored tables differ:\n%s\n%s", data, again)
	}
	l.state = s
}

func (l *testLog) register(kind wire.Kind, node string) ids.Incarnation {
	l.t.Helper()
	r := wire.Registration{
		Kind: kind, Node: ids.Node(node), Addr: "127.0.0.1:1", Domain: "gt-centro-a",
		Weight: 1, Nonce: fmt.Sprintf("%s-%d", node, l.index),
	}
	if kind == wire.KindAgent {
		r.Service, r.Slots, r.Connections = "mostrador", 8, 64
	}
	res := l.apply(Command{Register: &r})
	if res.Err != nil {
		l.t.Fatal(res.Err)
	}
	return res.Incarnation
}

func (l *testLog) admit(it wire.AdmitItem) wire.AdmitResult {
	if it.Tasks == 0 {
		it.Tasks = 1
	}
	if it.Nonce == "" {
		it.Nonce = fmt.Sprintf("n%d", l.index)
	}
	if it.Key != "" && it.BodyHash == "" {
		it.BodyHash = "h"
	}
	it.Team, it.Service = "acme", "mostrador"
	return l.apply(Command{Admit: &it}).Admit
}

func (l *testLog) expire(inc ids.Incarnation) {
	l.apply(Command{Expire: &Expire{Incarnation: inc}})
}

func (l *testLog) applyRetention() { l.apply(Command{ApplyRetention: &ApplyRetention{}}) }

func (l *testLog) end(o wire.Ownership) {
	l.apply(Command{Complete: &wire.Complete{Items: []wire.CompleteItem{
		{Ownership: o, State: wire.JobComplete, Verdict: verdict.Ran, Reason: verdict.Complete},
	}}})
}

func reason(e *verdict.Error) verdict.Reason {
	if e == nil {
		return ""
	}
	return e.Reason
}

// Guards against a lost update when two operators start from the same version, and
// against a repeated command that takes effect twice.
func TestRacingAndRepeatedCommands(t *testing.T) {
	l := newTestLog(t)
	apply := func(id string, expect uint64, value string) wire.ApplyReply {
		return l.apply(Command{Apply: &wire.Apply{
			Expect: expect, CommandID: id, By: id, Pairs: []wire.Pair{{Key: "teams.acme.quota", Value: value}},
		}}).Apply
	}
	first := apply("cmd-a", 0, "1")
	second := apply("cmd-b", 0, "2")
	if first.Err != nil || first.ConfigVer != 1 {
		t.Fatalf("first command: %+v", first)
	}
	if reason(second.Err) != verdict.VersionConflict || second.CurrentCommandID != "cmd-a" {
		t.Fatalf("second command: %+v", second)
	}
	if r := apply("cmd-c", 1, "3"); r.Err != nil || r.ConfigVer != 2 {
		t.Fatalf("third command: %+v", r)
	}
	l.restart()
	for id, want := range map[string]wire.ApplyReply{"cmd-a": first, "cmd-b": second} {
		got := apply(id, 0, "9")
		if !got.Repeated || got.ConfigVer != want.ConfigVer || got.Index != want.Index || reason(got.Err) != reason(want.Err) {
			t.Fatalf("repeated %s: %+v, first answer %+v", id, got, want)
		}
	}
	if p := l.state.Configuration().Pairs; len(p) != 1 || p[0].Value != "3" || p[0].CommandID != "cmd-c" {
		t.Fatalf("configuration: %+v", p)
	}
	if r := apply("cmd-d", wire.AnyVersion, "4"); r.Err != nil || r.ConfigVer != 3 {
		t.Fatalf("command for any version: %+v", r)
	}
}

// Guards against a job that runs twice because its caller submits it again after an
// outage, at any later time.
func TestResubmission(t *testing.T) {
	l := newTestLog(t)
	entry := l.register(wire.KindEntry, "e1")
	plain := wire.AdmitItem{Owner: entry, Key: "plain", Nonce: "p"}
	timed := wire.AdmitItem{Owner: entry, Key: "timed", KeyTime: l.now.UnixMilli(), Nonce: "t"}
	p, q := l.admit(plain), l.admit(timed)
	if p.Admitted == nil || q.Admitted == nil {
		t.Fatalf("first admissions: %+v %+v", p, q)
	}
	if r := l.admit(plain); r.Admitted == nil || *r.Admitted != *p.Admitted {
		t.Fatalf("repeated nonce: %+v", r)
	}
	plain.Nonce, timed.Nonce = "", ""
	for _, it := range []wire.AdmitItem{plain, timed} {
		if r := l.admit(it); r.Duplicate == nil || r.Duplicate.State != wire.JobOpen {
			t.Fatalf("resubmission of an open job: %+v", r)
		}
		it.BodyHash = "other"
		if r := l.admit(it); reason(r.Err) != verdict.KeyReuse {
			t.Fatalf("other body: %+v", r)
		}
	}
	l.end(*p.Admitted)
	l.end(*q.Admitted)
	if r := l.admit(timed); r.Duplicate == nil || r.Duplicate.State != wire.JobComplete {
		t.Fatalf("resubmission of an ended job: %+v", r)
	}
	l.now = l.now.Add(time.Hour + time.Minute)
	l.applyRetention()
	if _, ok := l.state.Job(p.Admitted.Job); ok {
		t.Fatal("the record is kept beyond its retention")
	}
	l.restart()
	for _, it := range []wire.AdmitItem{plain, timed} {
		if r := l.admit(it); reason(r.Err) != verdict.KeyExpired {
			t.Fatalf("key after its retention: %+v", r)
		}
	}
	// A longer retention must not make the old creation time valid again.
	l.apply(Command{Apply: &wire.Apply{CommandID: "c", Expect: wire.AnyVersion, Pairs: []wire.Pair{{Key: "jobs.retention", Value: "24h"}}}})
	if r := l.admit(timed); reason(r.Err) != verdict.KeyExpired {
		t.Fatalf("key after a raised retention: %+v", r)
	}
	l.now = l.now.Add(169 * time.Hour)
	l.applyRetention()
	if r := l.admit(plain); r.Admitted == nil {
		t.Fatalf("plain key after its tombstone: %+v", r)
	}
}

// Guards against an unbounded number of open jobs, against jobs of an entry that has
// ended, and against a key with a creation time in the future, which would outlive
// its record.
func TestAdmissionRefusals(t *testing.T) {
	l := newTestLog(t)
	entry := l.register(wire.KindEntry, "e1")
	l.apply(Command{Apply: &wire.Apply{CommandID: "c", Pairs: []wire.Pair{{Key: "jobs.max_open", Value: "2"}}}})
	future := wire.AdmitItem{Owner: entry, Key: "k", KeyTime: l.now.Add(time.Hour).UnixMilli()}
	if r := l.admit(future); reason(r.Err) != verdict.BadRequest {
		t.Fatalf("future key: %+v", r)
	}
	a := l.admit(wire.AdmitItem{Owner: entry})
	b := l.admit(wire.AdmitItem{Owner: entry})
	if a.Admitted.Job >= b.Admitted.Job {
		t.Fatalf("job ids %d and %d do not increase", a.Admitted.Job, b.Admitted.Job)
	}
	if r := l.admit(wire.AdmitItem{Owner: entry}); reason(r.Err) != verdict.Overloaded || r.Err.Verdict != verdict.NotRun {
		t.Fatalf("above max_open: %+v", r)
	}
	l.end(*a.Admitted)
	l.expire(entry)
	if r := l.admit(wire.AdmitItem{Owner: entry}); reason(r.Err) != verdict.Fenced {
		t.Fatalf("ended owner: %+v", r)
	}
	if r := l.apply(Command{Apply: &wire.Apply{CommandID: "d", Expect: 1, Pairs: []wire.Pair{{Key: "jobs.max_open", Value: "-1"}}}}); reason(r.Apply.Err) != verdict.BadRequest {
		t.Fatalf("malformed limit: %+v", r.Apply)
	}
}

// Guards against time that goes back with the clock of a new leader, which would
// make expired keys valid again.
func TestTimeNeverGoesBack(t *testing.T) {
	l := newTestLog(t)
	l.applyRetention()
	before := l.state.Now()
	l.now = l.now.Add(-time.Hour)
	l.applyRetention()
	if l.state.Now().Before(before) {
		t.Fatalf("time went from %v to %v", before, l.state.Now())
	}
}

// Guards against rows, keys and answers that accumulate without bound, and against
// retention that is due forever.
func TestRetentionBoundsTheTables(t *testing.T) {
	l := newTestLog(t)
	for i := range 50 {
		entry := l.register(wire.KindEntry, "e")
		agent := l.register(wire.KindAgent, "a")
		l.admit(wire.AdmitItem{Owner: entry, Key: fmt.Sprint("k", i)})
		l.expire(agent)
		l.expire(entry)
		l.apply(Command{Apply: &wire.Apply{CommandID: fmt.Sprint("c", i), Expect: wire.AnyVersion}})
	}
	for range 5 {
		l.now = l.now.Add(200 * time.Hour)
		l.applyRetention()
	}
	s := l.state
	if n := len(s.members.rows) + len(s.members.nonces) + len(s.jobs.rows) + len(s.jobs.byKey) + len(s.jobs.byNonce) +
		len(s.jobs.byOwner) + len(s.jobs.admissionOrder) + s.jobs.ended.len() + s.jobs.ended.byJob.n + s.jobs.ended.byKey.n + s.jobs.nonces.rows.len() + s.jobs.nonces.byHash.n +
		len(s.jobs.ended.attributeSets.numbers) + s.jobs.untimedKeys + s.jobs.ended.keyless + s.tombstones.len() + s.tombstones.byHash.n + len(s.commands.rows); n != 0 {
		t.Fatalf("%d rows remain", n)
	}
	if s.RetentionDue(l.now) {
		t.Fatal("retention is still due")
	}
	for i := range 5 * maxChanges {
		l.apply(Command{Apply: &wire.Apply{CommandID: fmt.Sprint("d", i), Expect: wire.AnyVersion, Pairs: []wire.Pair{{Key: "x", Value: fmt.Sprint(i)}}}})
	}
	if n := len(s.changes.records); n > 2*maxChanges {
		t.Fatalf("%d records in the change log", n)
	}
}

// Guards against agents that receive all queues of a configuration, which they don't
// use: with many queues, each change would keep a small VM busy.
func TestAgentsAreSentNoQueues(t *testing.T) {
	l := newTestLog(t)
	apply := func(id string, expect uint64, value string) {
		t.Helper()
		pairs := []wire.Pair{{Key: "queues.q.host", Value: value}, {Key: "services.s.slots", Value: "8"}}
		if r := l.apply(Command{Apply: &wire.Apply{CommandID: id, Expect: expect, Pairs: pairs}}); r.Apply.Err != nil {
			t.Fatal(r.Apply.Err)
		}
	}
	apply("a", 0, "x")
	entry := l.apply(Command{Register: &wire.Registration{Kind: wire.KindEntry, Node: "e", Addr: "e", Weight: 1, Nonce: "e"}}).Incarnation
	agent := l.apply(Command{Register: &wire.Registration{Kind: wire.KindAgent, Node: "a", Addr: "a", Service: "s", Slots: 1, Connections: 1, Nonce: "a"}}).Incarnation
	before := ids.Version(l.index)
	for _, tc := range []struct {
		name  string
		since ids.Version
		inc   ids.Incarnation
		want  int
	}{
		{"entry, whole", 0, entry, 2},
		{"agent, whole", 0, agent, 1},
	} {
		if c, _ := l.state.Changes(tc.since, tc.inc); len(c.Config) != tc.want {
			t.Errorf("%s: settings %v, want %d", tc.name, c.Config, tc.want)
		}
	}
	apply("b", 1, "y")
	if c, _ := l.state.Changes(before, entry); len(c.Config) != 1 || c.ConfigVer != 2 {
		t.Errorf("entry, changes: %+v", c)
	}
	if c, _ := l.state.Changes(before, agent); len(c.Config)+len(c.RemovedKeys) != 0 || c.ConfigVer != 2 {
		t.Errorf("agent, changes: %+v", c)
	}
}
