package executor

import (
	"slices"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	selfInc = ids.Incarnation(3)
	entry1  = ids.Incarnation(1)
	entry2  = ids.Incarnation(2)
	job7    = ids.Job(7)
)

func entryMember(inc ids.Incarnation, expired ids.Version) wire.Member {
	return wire.Member{Registration: wire.Registration{Kind: wire.KindEntry}, Incarnation: inc, Expired: expired}
}

// newTestCore returns the core of an agent with the given slots and two live entries.
func newTestCore(slots int) *Core {
	c := New(Config{Self: selfInc, Slots: slots, Connections: 64, LookAhead: 1, AnswerBytes: 1000})
	c.SetEntries(0, 10, []wire.Member{entryMember(entry1, 0), entryMember(entry2, 0)})
	c.SetCurrent(true)
	return c
}

// setDrained replaces the view by one in which operators drain the agent, or don't.
func setDrained(c *Core, at ids.Version, drained bool) {
	self := wire.Member{Registration: wire.Registration{Kind: wire.KindAgent}, Incarnation: selfInc, Draining: drained}
	c.SetEntries(0, at, []wire.Member{entryMember(entry1, 0), entryMember(entry2, 0), self})
}

// Guards against queued tasks that stay at an agent whose domain is drained, and against
// running ones that the drain ends.
func TestDrainInTheViewGivesBackQueuedTasks(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	setDrained(c, 11, true)
	out := c.Tick(0)
	if got := refusalReasons(out, entry1)[ids.TaskOf(job7, 1)]; got != verdict.Draining || len(out.Abort) > 0 {
		t.Fatalf("queued task refused with %q, aborted %v", got, out.Abort)
	}
	if got := answersTo(finishTask(c, 0, "done"), entry1); len(got) != 1 || got[0].Verdict != verdict.Ran {
		t.Errorf("answer of the running task: %+v", got)
	}
}

func start(index int, epoch ids.Epoch, try uint32) wire.Start {
	return wire.Start{Key: ids.TaskOf(job7, index), Epoch: epoch, Try: try, BudgetMS: 10_000}
}

func sendStarts(c *Core, from ids.Incarnation, starts ...wire.Start) Output {
	c.Receive(0, wire.Exchange{Entry: from, Starts: starts})
	return c.Tick(0)
}

// refusalReasons returns the reasons of the refusals reported to an entry.
func refusalReasons(out Output, to ids.Incarnation) map[ids.TaskKey]verdict.Reason {
	found := map[ids.TaskKey]verdict.Reason{}
	for _, m := range out.Send {
		for _, a := range m.Report.Answers {
			if m.To == to && a.Verdict == verdict.NotRun {
				found[a.Key] = a.Reason
			}
		}
	}
	return found
}

func answersTo(out Output, to ids.Incarnation) []wire.Answer {
	var list []wire.Answer
	for _, m := range out.Send {
		if m.To == to {
			list = append(list, m.Report.Answers...)
		}
	}
	return list
}

func finishTask(c *Core, index int, body string) Output {
	c.Finished(0, wire.Answer{Key: ids.TaskOf(job7, index), Verdict: verdict.Ran, Status: 200, Body: []byte(body)})
	return c.Tick(0)
}

// TestRefusals guards against a start that is accepted despite another owner, a full
// queue or a passed deadline, and against a refusal with a wrong reason.
func TestRefusals(t *testing.T) {
	late := start(0, 1, 1)
	late.BudgetMS = 0
	single := wire.Start{Key: ids.RequestOf(entry1, 1), Try: 1, BudgetMS: 1000}
	foreign := wire.Start{Key: ids.RequestOf(entry2, 1), Try: 1, BudgetMS: 1000}
	for _, tc := range []struct {
		name  string
		setUp func(*Core)
		from  ids.Incarnation
		start wire.Start
		want  verdict.Reason
	}{
		{"accepted", nil, entry1, start(0, 1, 1), ""},
		{"expired entry", func(c *Core) { c.SetEntries(0, 11, []wire.Member{entryMember(entry1, 11)}) }, entry1, start(0, 1, 1), verdict.Fenced},
		{"entry missing from the view", func(c *Core) { c.SetEntries(0, 11, nil) }, entry1, start(0, 1, 1), verdict.Fenced},
		{"entry newer than the view", nil, 99, start(0, 1, 1), verdict.Stale},
		{"older epoch", func(c *Core) { c.Claim(0, wire.Claim{Ownership: wire.Ownership{Job: job7, Epoch: 2}, Entry: entry2}) }, entry1, start(0, 1, 1), verdict.Fenced},
		{"single request while stale", func(c *Core) { c.SetCurrent(false) }, entry1, single, verdict.Stale},
		{"task of a job while stale", func(c *Core) { c.SetCurrent(false) }, entry1, start(0, 1, 1), ""},
		{"request of another entry", nil, entry1, foreign, verdict.Fenced},
		{"draining", func(c *Core) { c.Drain(0) }, entry1, start(0, 1, 1), verdict.Draining},
		{"drained in the view", func(c *Core) { setDrained(c, 11, true) }, entry1, start(0, 1, 1), verdict.Draining},
		{"drain ended in the view", func(c *Core) { setDrained(c, 11, true); setDrained(c, 12, false) }, entry1, start(0, 1, 1), ""},
		{"upstream down", func(c *Core) { c.SetDown(0, true) }, entry1, start(0, 1, 1), verdict.NoUpstream},
		{"no budget", nil, entry1, late, verdict.DeadlinePassed},
		{"canceled job", func(c *Core) {
			c.Receive(0, wire.Exchange{Entry: entry1, Cancels: []wire.Ownership{{Job: job7, Epoch: 1}}})
		}, entry1, start(0, 1, 1), verdict.Canceled},
		{"full", func(c *Core) { sendStarts(c, entry1, start(1, 1, 1), start(2, 1, 1), start(3, 1, 1)) }, entry1, start(0, 1, 1), verdict.NoCredit},
	} {
		c := newTestCore(1)
		if tc.setUp != nil {
			tc.setUp(c)
		}
		out := sendStarts(c, tc.from, tc.start)
		if got := refusalReasons(out, tc.from)[tc.start.Key]; got != tc.want {
			t.Errorf("%s: refused with %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestViewBeforeRegistration guards against accepting a start of an entry that expired
// before the agent registered: a view that is older than the registration still lists it.
func TestViewBeforeRegistration(t *testing.T) {
	c := New(Config{Self: 20, Slots: 1, Connections: 1, LookAhead: 1})
	c.SetEntries(0, 19, []wire.Member{entryMember(entry1, 0)})
	if got := refusalReasons(sendStarts(c, entry1, start(0, 1, 1)), entry1)[ids.TaskOf(job7, 0)]; got != verdict.Stale {
		t.Fatalf("refused with %q, want %q", got, verdict.Stale)
	}
}

// TestDuplicates guards against a second run of a queued, running or ended task whose
// start arrives twice.
func TestDuplicates(t *testing.T) {
	c := newTestCore(1)
	out := sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	if len(out.Run) != 1 {
		t.Fatalf("%d tasks run on one slot", len(out.Run))
	}
	out = sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	if len(out.Run) != 0 || len(out.Send) != 1 || len(out.Send[0].Report.Started) != 1 {
		t.Fatalf("duplicates of a running and a queued task gave %+v", out)
	}
	finishTask(c, 0, "a")
	if out = sendStarts(c, entry1, start(0, 1, 2)); len(out.Run) != 0 || string(answersTo(out, entry1)[0].Body) != "a" {
		t.Fatalf("duplicate of an ended task gave %+v", out)
	}
}

// TestRecall guards against a recalled task that runs because its start arrives after
// the recall, and against a recalled task that the agent refuses for ever.
func TestRecall(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		c := newTestCore(1)
		if arrived {
			sendStarts(c, entry1, start(1, 1, 1), start(0, 1, 1))
		} else {
			sendStarts(c, entry1, start(1, 1, 1))
		}
		c.Receive(0, wire.Exchange{Entry: entry1, Recalls: []wire.Recall{{Key: ids.TaskOf(job7, 0), Epoch: 1, Try: 1}}})
		if got := refusalReasons(c.Tick(0), entry1)[ids.TaskOf(job7, 0)]; got != verdict.Recalled {
			t.Fatalf("arrived %v: recall answered with %q", arrived, got)
		}
		finishTask(c, 1, "")
		if out := sendStarts(c, entry1, start(0, 1, 1)); len(out.Run) != 0 {
			t.Fatalf("arrived %v: late start of a recalled task runs", arrived)
		}
		if out := sendStarts(c, entry1, start(0, 1, 2)); len(out.Run) != 1 {
			t.Fatalf("arrived %v: later attempt of a recalled task doesn't run", arrived)
		}
	}
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1))
	c.Receive(0, wire.Exchange{Entry: entry1, Recalls: []wire.Recall{{Key: ids.TaskOf(job7, 0), Epoch: 1, Try: 1}}})
	if out := c.Tick(0); len(out.Send) != 1 || len(out.Send[0].Report.Started) != 1 {
		t.Fatalf("recall of a running task gave %+v", out)
	}
}

// TestClaim guards against a change of ownership after which a queued task stays at the
// agent, an answer goes to the former owner, or the former owner can still start tasks.
func TestClaim(t *testing.T) {
	c := newTestCore(2)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1), start(2, 1, 1))
	finishTask(c, 0, "done")
	sendStarts(c, entry1, start(3, 1, 1))
	claim := wire.Claim{Ownership: wire.Ownership{Job: job7, Epoch: 2}, Entry: entry2}
	want := []wire.TaskState{wire.TaskEnded, wire.TaskRunning, wire.TaskRunning, wire.TaskRecalled}
	for range 2 { // a repeated claim gets the same reply
		reply := c.Claim(0, claim)
		if reply.Err != nil || len(reply.Rows) != len(want) {
			t.Fatalf("claim gave %+v", reply)
		}
		for i, row := range reply.Rows {
			if row.State != want[i] {
				t.Fatalf("row %d is %s, want %s", i, row.State, want[i])
			}
		}
		if string(reply.Rows[0].Answer.Body) != "done" {
			t.Fatalf("claim lost the answer of an ended task")
		}
	}
	if reply := c.Claim(0, wire.Claim{Ownership: wire.Ownership{Job: job7, Epoch: 1}, Entry: entry1}); reply.Err == nil {
		t.Fatal("claim with an older epoch succeeds")
	}
	c.Connected(0, entry2)
	out := finishTask(c, 1, "x")
	if len(answersTo(out, entry2)) != 1 || len(answersTo(out, entry1)) != 0 {
		t.Fatalf("answer after a claim went to the wrong entry: %+v", out.Send)
	}
	if len(out.Run) != 0 {
		t.Fatal("a task recalled by a claim runs")
	}
	if out = sendStarts(c, entry2, start(3, 2, 1)); len(out.Run) != 1 {
		t.Fatal("the new owner can't start a recalled task")
	}
}

// TestRetransmission guards against the loss of an answer whose report was lost.
func TestRetransmission(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1))
	finishTask(c, 0, "a")
	c.Disconnected(0, entry1)
	c.Connected(0, entry1)
	if got := answersTo(c.Tick(0), entry1); len(got) != 1 {
		t.Fatalf("%d answers after a reconnect, want 1", len(got))
	}
	if got := answersTo(c.Tick(initialResendDelay), entry1); len(got) != 1 {
		t.Fatalf("%d answers after %v without acknowledgement, want 1", len(got), initialResendDelay)
	}
	if c.Idle() {
		t.Fatal("idle with an unacknowledged answer")
	}
	c.Receive(0, wire.Exchange{Entry: entry1, Acks: []wire.Ack{{Key: ids.TaskOf(job7, 0), Try: 1}}})
	c.Connected(0, entry1)
	if got := answersTo(c.Tick(0), entry1); len(got) != 0 || !c.Idle() {
		t.Fatalf("%d answers after an acknowledgement, idle %v", len(got), c.Idle())
	}
}

// TestDrain guards against a drain that starts queued tasks or aborts running ones.
func TestDrain(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	c.Drain(0)
	out := c.Tick(0)
	if got := refusalReasons(out, entry1)[ids.TaskOf(job7, 1)]; got != verdict.Draining || len(out.Abort) != 0 {
		t.Fatalf("drain gave %+v", out)
	}
	if c.Idle() {
		t.Fatal("idle while a task runs")
	}
	if out = finishTask(c, 0, "a"); len(answersTo(out, entry1)) != 1 {
		t.Fatal("the answer of a running task is lost in a drain")
	}
}

// TestCancel guards against a canceled job whose running task keeps its slot or whose
// queued task starts later.
func TestCancel(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	c.Receive(0, wire.Exchange{Entry: entry1, Cancels: []wire.Ownership{{Job: job7, Epoch: 1}}})
	out := c.Tick(0)
	if len(out.Abort) != 1 || refusalReasons(out, entry1)[ids.TaskOf(job7, 1)] != verdict.Canceled {
		t.Fatalf("cancel gave %+v", out)
	}
}

// TestCredit guards against credit that lets several entries together overload an
// agent, and against an entry without credit, which could never show its demand.
func TestCredit(t *testing.T) {
	c := newTestCore(8)
	for _, tc := range []struct{ demand1, demand2, want1, want2 int }{
		{0, 0, 9, 9},
		{100, 0, 9, 1},
		{100, 100, 5, 4},
		{100, 2, 7, 2},
	} {
		c.Receive(0, wire.Exchange{Entry: entry1, Demand: tc.demand1})
		c.Receive(0, wire.Exchange{Entry: entry2, Demand: tc.demand2})
		c.Tick(0)
		if got1, got2 := c.sessions[entry1].credit, c.sessions[entry2].credit; got1 != tc.want1 || got2 != tc.want2 {
			t.Errorf("demand %d and %d: credit %d and %d, want %d and %d", tc.demand1, tc.demand2, got1, got2, tc.want1, tc.want2)
		}
	}
}

// TestTasksOfOthers guards against reports that count the tasks of other entries under
// the wrong team, or after they have ended or changed owner.
func TestTasksOfOthers(t *testing.T) {
	c := newTestCore(2)
	of := func(st wire.Start, team ids.Team) wire.Start { st.Team = team; return st }
	first, second, third := of(start(0, 1, 1), "b"), of(start(1, 1, 1), "a"), of(start(2, 1, 1), "b")
	check := func(step string, to ids.Incarnation, want ...wire.TeamTasks) {
		t.Helper()
		if got := c.tasksOfOthers(c.session(to)); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", step, got, want)
		}
	}
	sendStarts(c, entry1, first, second, third)
	check("two running, one queued", entry2, wire.TeamTasks{Team: "a", Tasks: 1}, wire.TeamTasks{Team: "b", Tasks: 2})
	check("own tasks", entry1)
	c.Receive(0, wire.Exchange{Entry: entry1, Recalls: []wire.Recall{{Key: third.Key, Epoch: 1, Try: 1}}})
	check("recalled", entry2, wire.TeamTasks{Team: "a", Tasks: 1}, wire.TeamTasks{Team: "b", Tasks: 1})
	c.Finished(0, wire.Answer{Key: first.Key, Verdict: verdict.Ran, Status: 200})
	check("ended", entry2, wire.TeamTasks{Team: "a", Tasks: 1})
	c.Claim(0, wire.Claim{Entry: entry2, Ownership: wire.Ownership{Job: job7, Epoch: 2}})
	check("claimed", entry2)
	check("former owner", entry1, wire.TeamTasks{Team: "a", Tasks: 1})
}

// TestRetention guards against rows that are deleted while a start can still arrive, or
// while the agent may not know yet that the former owner has expired.
func TestRetention(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1))
	finishTask(c, 0, "a")
	c.Receive(0, wire.Exchange{Entry: entry1, Acks: []wire.Ack{{Key: ids.TaskOf(job7, 0), Try: 1}}, Ended: []ids.Job{job7}})
	for _, step := range []struct {
		at      time.Duration
		current bool
		rows    int
	}{{endedRetention - time.Second, true, 1}, {endedRetention + time.Minute, false, 1}, {endedRetention + 2*time.Minute, true, 0}} {
		c.SetCurrent(step.current)
		c.Tick(step.at)
		if len(c.rows) != step.rows {
			t.Fatalf("%d rows at %v, want %d", len(c.rows), step.at, step.rows)
		}
	}
}

// TestAnswerMemory guards against unbounded memory for answers, and against a dropped
// answer that looks like an empty one.
func TestAnswerMemory(t *testing.T) {
	c := newTestCore(1)
	body := string(make([]byte, 400))
	for i := range 4 {
		sendStarts(c, entry1, start(i, 1, 1))
		finishTask(c, i, body)
		c.Receive(0, wire.Exchange{Entry: entry1, Acks: []wire.Ack{{Key: ids.TaskOf(job7, i), Try: 1}}})
	}
	c.Tick(0)
	if c.answerBytes > c.cfg.AnswerBytes {
		t.Fatalf("%d bytes of answers kept, limit %d", c.answerBytes, c.cfg.AnswerBytes)
	}
	if got := answersTo(sendStarts(c, entry1, start(0, 1, 1)), entry1); len(got) != 1 || got[0].Reason != verdict.AnswerExpired {
		t.Fatalf("a dropped answer is resent as %+v", got)
	}
}

// TestRecalledAndRestartedTaskRunsOnce guards against a task that runs twice because it
// was recalled and started again before the next tick.
func TestRecalledAndRestartedTaskRunsOnce(t *testing.T) {
	c := newTestCore(2)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1))
	sendStarts(c, entry1, start(2, 1, 1)) // queued in the look-ahead
	c.Receive(0, wire.Exchange{Entry: entry1, Recalls: []wire.Recall{{Key: ids.TaskOf(job7, 2), Epoch: 1, Try: 1}}})
	c.Receive(0, wire.Exchange{Entry: entry1, Starts: []wire.Start{start(2, 1, 2)}})
	c.Finished(0, wire.Answer{Key: ids.TaskOf(job7, 0), Verdict: verdict.Ran, Status: 200})
	c.Finished(0, wire.Answer{Key: ids.TaskOf(job7, 1), Verdict: verdict.Ran, Status: 200})
	if run := c.Tick(0).Run; len(run) != 1 {
		t.Errorf("%d tasks were started, want the queued one only: %+v", len(run), run)
	}
}

// TestAckOfEarlierTryKeepsNextAnswer guards against an acknowledgement of an earlier
// try that removes the refusal of the next try before it is sent: the entry would wait
// for that answer until its deadline. An acknowledgement travels with the next message,
// which may also carry the next try.
func TestAckOfEarlierTryKeepsNextAnswer(t *testing.T) {
	c := newTestCore(1)
	sendStarts(c, entry1, start(0, 1, 1), start(1, 1, 1), start(2, 1, 1)) // one running, two queued
	if got := refusalReasons(sendStarts(c, entry1, start(3, 1, 1)), entry1); got[ids.TaskOf(job7, 3)] != verdict.NoCredit {
		t.Fatalf("refused %v", got)
	}
	c.Receive(0, wire.Exchange{
		Entry: entry1, Starts: []wire.Start{start(3, 1, 2)}, Acks: []wire.Ack{{Key: ids.TaskOf(job7, 3), Try: 1}},
	})
	found := false
	for _, a := range answersTo(c.Tick(0), entry1) {
		found = found || a.Key == ids.TaskOf(job7, 3) && a.Try == 2
	}
	if !found {
		t.Error("the second try has no answer")
	}
}
