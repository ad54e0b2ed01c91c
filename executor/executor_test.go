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
	self = ids.Incarnation(3)
	e1   = ids.Incarnation(1)
	e2   = ids.Incarnation(2)
	job7 = ids.Job(7)
)

func entryRow(inc ids.Incarnation, expired ids.Version) wire.Member {
	return wire.Member{Registration: wire.Registration{Kind: wire.KindEntry}, Incarnation: inc, Expired: expired}
}

// newTest returns an agent with the given slots whose view lists two entries.
func newTest(slots int) *Core {
	c := New(Config{Self: self, Slots: slots, Connections: 64, LookAhead: 1, AnswerBytes: 1000})
	c.SetEntries(0, 10, []wire.Member{entryRow(e1, 0), entryRow(e2, 0)})
	c.SetCurrent(true)
	return c
}

func start(index int, epoch ids.Epoch, try uint32) wire.Start {
	return wire.Start{Key: ids.TaskOf(job7, index), Epoch: epoch, Try: try, BudgetMS: 10_000}
}

func send(c *Core, from ids.Incarnation, starts ...wire.Start) Output {
	c.Receive(0, wire.Exchange{Entry: from, Starts: starts})
	return c.Tick(0)
}

// refusals lists the reasons that a report to an entry gives, by key.
func refusals(out Output, to ids.Incarnation) map[ids.TaskKey]verdict.Reason {
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

func answers(out Output, to ids.Incarnation) []wire.Answer {
	var list []wire.Answer
	for _, m := range out.Send {
		if m.To == to {
			list = append(list, m.Report.Answers...)
		}
	}
	return list
}

func finish(c *Core, index int, body string) Output {
	c.Finished(0, wire.Answer{Key: ids.TaskOf(job7, index), Verdict: verdict.Ran, Status: 200, Body: []byte(body)})
	return c.Tick(0)
}

// TestRefusals guards against an agent that accepts a start which another owner,
// a full agent or a passed deadline forbids, or that gives a wrong reason.
func TestRefusals(t *testing.T) {
	late := start(0, 1, 1)
	late.BudgetMS = 0
	single := wire.Start{Key: ids.RequestOf(e1, 1), Try: 1, BudgetMS: 1000}
	foreign := wire.Start{Key: ids.RequestOf(e2, 1), Try: 1, BudgetMS: 1000}
	for _, tc := range []struct {
		name  string
		setUp func(*Core)
		from  ids.Incarnation
		start wire.Start
		want  verdict.Reason
	}{
		{"accepted", nil, e1, start(0, 1, 1), ""},
		{"expired entry", func(c *Core) { c.SetEntries(0, 11, []wire.Member{entryRow(e1, 11)}) }, e1, start(0, 1, 1), verdict.Fenced},
		{"entry missing from the view", func(c *Core) { c.SetEntries(0, 11, nil) }, e1, start(0, 1, 1), verdict.Fenced},
		{"entry newer than the view", nil, 99, start(0, 1, 1), verdict.Stale},
		{"older epoch", func(c *Core) { c.Claim(0, wire.Claim{Ownership: wire.Ownership{Job: job7, Epoch: 2}, Entry: e2}) }, e1, start(0, 1, 1), verdict.Fenced},
		{"single request while stale", func(c *Core) { c.SetCurrent(false) }, e1, single, verdict.Stale},
		{"task of a job while stale", func(c *Core) { c.SetCurrent(false) }, e1, start(0, 1, 1), ""},
		{"request of another entry", nil, e1, foreign, verdict.Fenced},
		{"draining", func(c *Core) { c.Drain(0) }, e1, start(0, 1, 1), verdict.Draining},
		{"upstream down", func(c *Core) { c.SetDown(0, true) }, e1, start(0, 1, 1), verdict.NoUpstream},
		{"no budget", nil, e1, late, verdict.DeadlinePassed},
		{"canceled job", func(c *Core) {
			c.Receive(0, wire.Exchange{Entry: e1, Cancels: []wire.Ownership{{Job: job7, Epoch: 1}}})
		}, e1, start(0, 1, 1), verdict.Canceled},
		{"full", func(c *Core) { send(c, e1, start(1, 1, 1), start(2, 1, 1), start(3, 1, 1)) }, e1, start(0, 1, 1), verdict.NoCredit},
	} {
		c := newTest(1)
		if tc.setUp != nil {
			tc.setUp(c)
		}
		out := send(c, tc.from, tc.start)
		if got := refusals(out, tc.from)[tc.start.Key]; got != tc.want {
			t.Errorf("%s: refused with %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestViewBeforeRegistration guards against an agent that accepts a start of an
// entry that was expired before the agent registered.
func TestViewBeforeRegistration(t *testing.T) {
	c := New(Config{Self: 20, Slots: 1, Connections: 1, LookAhead: 1})
	c.SetEntries(0, 19, []wire.Member{entryRow(e1, 0)})
	if got := refusals(send(c, e1, start(0, 1, 1)), e1)[ids.TaskOf(job7, 0)]; got != verdict.Stale {
		t.Fatalf("refused with %q, want %q", got, verdict.Stale)
	}
}

// TestDuplicates guards against a second run of a task whose start arrives twice,
// in each state of its row.
func TestDuplicates(t *testing.T) {
	c := newTest(1)
	out := send(c, e1, start(0, 1, 1), start(1, 1, 1))
	if len(out.Run) != 1 {
		t.Fatalf("%d tasks run on one slot", len(out.Run))
	}
	out = send(c, e1, start(0, 1, 1), start(1, 1, 1))
	if len(out.Run) != 0 || len(out.Send) != 1 || len(out.Send[0].Report.Started) != 1 {
		t.Fatalf("duplicates of a running and a queued task gave %+v", out)
	}
	finish(c, 0, "a")
	if out = send(c, e1, start(0, 1, 2)); len(out.Run) != 0 || string(answers(out, e1)[0].Body) != "a" {
		t.Fatalf("duplicate of an ended task gave %+v", out)
	}
}

// TestRecall guards against a recalled task that runs because its start arrives
// late, and against one that can never be placed here again.
func TestRecall(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		c := newTest(1)
		if arrived {
			send(c, e1, start(1, 1, 1), start(0, 1, 1))
		} else {
			send(c, e1, start(1, 1, 1))
		}
		c.Receive(0, wire.Exchange{Entry: e1, Recalls: []wire.Recall{{Key: ids.TaskOf(job7, 0), Epoch: 1, Try: 1}}})
		if got := refusals(c.Tick(0), e1)[ids.TaskOf(job7, 0)]; got != verdict.Recalled {
			t.Fatalf("arrived %v: recall answered with %q", arrived, got)
		}
		finish(c, 1, "")
		if out := send(c, e1, start(0, 1, 1)); len(out.Run) != 0 {
			t.Fatalf("arrived %v: late start of a recalled task runs", arrived)
		}
		if out := send(c, e1, start(0, 1, 2)); len(out.Run) != 1 {
			t.Fatalf("arrived %v: later placement of a recalled task doesn't run", arrived)
		}
	}
	c := newTest(1)
	send(c, e1, start(0, 1, 1))
	c.Receive(0, wire.Exchange{Entry: e1, Recalls: []wire.Recall{{Key: ids.TaskOf(job7, 0), Epoch: 1, Try: 1}}})
	if out := c.Tick(0); len(out.Send) != 1 || len(out.Send[0].Report.Started) != 1 {
		t.Fatalf("recall of a running task gave %+v", out)
	}
}

// TestClaim guards against a takeover in which a queued task stays at the agent,
// an answer goes to the former owner, or the former owner can start more.
func TestClaim(t *testing.T) {
	c := newTest(2)
	send(c, e1, start(0, 1, 1), start(1, 1, 1), start(2, 1, 1))
	finish(c, 0, "done")
	send(c, e1, start(3, 1, 1))
	claim := wire.Claim{Ownership: wire.Ownership{Job: job7, Epoch: 2}, Entry: e2}
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
	if reply := c.Claim(0, wire.Claim{Ownership: wire.Ownership{Job: job7, Epoch: 1}, Entry: e1}); reply.Err == nil {
		t.Fatal("claim with an older epoch succeeds")
	}
	c.Connected(0, e2)
	out := finish(c, 1, "x")
	if len(answers(out, e2)) != 1 || len(answers(out, e1)) != 0 {
		t.Fatalf("answer after a claim went elsewhere: %+v", out.Send)
	}
	if len(out.Run) != 0 {
		t.Fatal("a task recalled by a claim runs")
	}
	if out = send(c, e2, start(3, 2, 1)); len(out.Run) != 1 {
		t.Fatal("the new owner can't start a recalled task")
	}
}

// TestRetransmission guards against an answer that is lost with a connection.
func TestRetransmission(t *testing.T) {
	c := newTest(1)
	send(c, e1, start(0, 1, 1))
	finish(c, 0, "a")
	c.Disconnected(0, e1)
	c.Connected(0, e1)
	if got := answers(c.Tick(0), e1); len(got) != 1 {
		t.Fatalf("%d answers after a reconnect, want 1", len(got))
	}
	if got := answers(c.Tick(resendFirst), e1); len(got) != 1 {
		t.Fatalf("%d answers after %v without acknowledgement, want 1", len(got), resendFirst)
	}
	if c.Idle() {
		t.Fatal("idle with an answer that is not acknowledged")
	}
	c.Receive(0, wire.Exchange{Entry: e1, Acks: []wire.Ack{{Key: ids.TaskOf(job7, 0), Try: 1}}})
	c.Connected(0, e1)
	if got := answers(c.Tick(0), e1); len(got) != 0 || !c.Idle() {
		t.Fatalf("%d answers after an acknowledgement, idle %v", len(got), c.Idle())
	}
}

// TestDrain guards against a stop that starts queued work or cuts off running work.
func TestDrain(t *testing.T) {
	c := newTest(1)
	send(c, e1, start(0, 1, 1), start(1, 1, 1))
	c.Drain(0)
	out := c.Tick(0)
	if got := refusals(out, e1)[ids.TaskOf(job7, 1)]; got != verdict.Draining || len(out.Abort) != 0 {
		t.Fatalf("drain gave %+v", out)
	}
	if c.Idle() {
		t.Fatal("idle while a task runs")
	}
	if out = finish(c, 0, "a"); len(answers(out, e1)) != 1 {
		t.Fatal("the answer of a running task is lost in a drain")
	}
}

// TestCancel guards against canceled tasks that keep a slot or start later.
func TestCancel(t *testing.T) {
	c := newTest(1)
	send(c, e1, start(0, 1, 1), start(1, 1, 1))
	c.Receive(0, wire.Exchange{Entry: e1, Cancels: []wire.Ownership{{Job: job7, Epoch: 1}}})
	out := c.Tick(0)
	if len(out.Abort) != 1 || refusals(out, e1)[ids.TaskOf(job7, 1)] != verdict.Canceled {
		t.Fatalf("cancel gave %+v", out)
	}
}

// TestCredit guards against many entries that together overload an agent, and
// against an entry that can't show its demand.
func TestCredit(t *testing.T) {
	c := newTest(8)
	for _, tc := range []struct{ demand1, demand2, want1, want2 int }{
		{0, 0, 9, 9},
		{100, 0, 9, 1},
		{100, 100, 5, 4},
		{100, 2, 7, 2},
	} {
		c.Receive(0, wire.Exchange{Entry: e1, Demand: tc.demand1})
		c.Receive(0, wire.Exchange{Entry: e2, Demand: tc.demand2})
		c.Tick(0)
		if got1, got2 := c.sessions[e1].credit, c.sessions[e2].credit; got1 != tc.want1 || got2 != tc.want2 {
			t.Errorf("demand %d and %d: credit %d and %d, want %d and %d", tc.demand1, tc.demand2, got1, got2, tc.want1, tc.want2)
		}
	}
}

// TestTasksOfOthers guards against reports that show the tasks of other entries
// under the wrong team, or after they have ended or changed their owner.
func TestTasksOfOthers(t *testing.T) {
	c := newTest(2)
	of := func(st wire.Start, team ids.Team) wire.Start { st.Team = team; return st }
	first, second, third := of(start(0, 1, 1), "b"), of(start(1, 1, 1), "a"), of(start(2, 1, 1), "b")
	check := func(step string, to ids.Incarnation, want ...wire.TeamTasks) {
		t.Helper()
		if got := c.othersOf(c.session(to)); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", step, got, want)
		}
	}
	send(c, e1, first, second, third)
	check("two running, one queued", e2, wire.TeamTasks{Team: "a", Tasks: 1}, wire.TeamTasks{Team: "b", Tasks: 2})
	check("own tasks", e1)
	c.Receive(0, wire.Exchange{Entry: e1, Recalls: []wire.Recall{{Key: third.Key, Epoch: 1, Try: 1}}})
	check("recalled", e2, wire.TeamTasks{Team: "a", Tasks: 1}, wire.TeamTasks{Team: "b", Tasks: 1})
	c.Finished(0, wire.Answer{Key: first.Key, Verdict: verdict.Ran, Status: 200})
	check("ended", e2, wire.TeamTasks{Team: "a", Tasks: 1})
	c.Claim(0, wire.Claim{Entry: e2, Ownership: wire.Ownership{Job: job7, Epoch: 2}})
	check("claimed", e2)
	check("former owner", e1, wire.TeamTasks{Team: "a", Tasks: 1})
}

// TestRetention guards against rows deleted while a start could still arrive, or
// by an agent that may not know that the former owner is expired.
func TestRetention(t *testing.T) {
	c := newTest(1)
	send(c, e1, start(0, 1, 1))
	finish(c, 0, "a")
	c.Receive(0, wire.Exchange{Entry: e1, Acks: []wire.Ack{{Key: ids.TaskOf(job7, 0), Try: 1}}, Ended: []ids.Job{job7}})
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

// TestAnswerMemory guards against answers that grow without bound, and against
// a dropped answer that is taken for an empty one.
func TestAnswerMemory(t *testing.T) {
	c := newTest(1)
	body := string(make([]byte, 400))
	for i := range 4 {
		send(c, e1, start(i, 1, 1))
		finish(c, i, body)
		c.Receive(0, wire.Exchange{Entry: e1, Acks: []wire.Ack{{Key: ids.TaskOf(job7, i), Try: 1}}})
	}
	c.Tick(0)
	if c.answerBytes > c.cfg.AnswerBytes {
		t.Fatalf("%d bytes of answers kept, limit %d", c.answerBytes, c.cfg.AnswerBytes)
	}
	if got := answers(send(c, e1, start(0, 1, 1)), e1); len(got) != 1 || got[0].Reason != verdict.AnswerExpired {
		t.Fatalf("a dropped answer is repeated as %+v", got)
	}
}

// Guards against a task that runs twice because it was taken back and placed again
// before the queue was next looked at.
func TestTaskTakenBackAndPlacedAgainRunsOnce(t *testing.T) {
	c := newTest(2)
	send(c, e1, start(0, 1, 1), start(1, 1, 1))
	send(c, e1, start(2, 1, 1)) // waits in look-ahead
	c.Receive(0, wire.Exchange{Entry: e1, Recalls: []wire.Recall{{Key: ids.TaskOf(job7, 2), Epoch: 1, Try: 1}}})
	c.Receive(0, wire.Exchange{Entry: e1, Starts: []wire.Start{start(2, 1, 2)}})
	c.Finished(0, wire.Answer{Key: ids.TaskOf(job7, 0), Verdict: verdict.Ran, Status: 200})
	c.Finished(0, wire.Answer{Key: ids.TaskOf(job7, 1), Verdict: verdict.Ran, Status: 200})
	if run := c.Tick(0).Run; len(run) != 1 {
		t.Errorf("one task waited, and %d were started: %+v", len(run), run)
	}
}

// Guards against the ack of a refusal that withdraws the refusal of the next try before
// it is sent: the entry would wait for an answer until its deadline. Acks go with the
// next message, which may carry that try.
func TestAckOfEarlierTry(t *testing.T) {
	c := newTest(1)
	send(c, e1, start(0, 1, 1), start(1, 1, 1), start(2, 1, 1)) // runs, waits, waits
	if got := refusals(send(c, e1, start(3, 1, 1)), e1); got[ids.TaskOf(job7, 3)] != verdict.NoCredit {
		t.Fatalf("refused %v", got)
	}
	c.Receive(0, wire.Exchange{
		Entry: e1, Starts: []wire.Start{start(3, 1, 2)}, Acks: []wire.Ack{{Key: ids.TaskOf(job7, 3), Try: 1}},
	})
	found := false
	for _, a := range answers(c.Tick(0), e1) {
		found = found || a.Key == ids.TaskOf(job7, 3) && a.Try == 2
	}
	if !found {
		t.Error("the second try has no answer")
	}
}
