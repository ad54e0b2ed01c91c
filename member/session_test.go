package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// fakeNode is a control node that answers registrations, renewals and admissions.
type fakeNode struct {
	mu            sync.Mutex
	leader        string // address to which writes are referred, empty if this node is the leader
	ended         bool
	repliesToLose int // admit calls whose replies are still to be lost
	admitCalls    int
	jobs          map[string]ids.Job // by nonce
	server        *rpc.Server
}

func newFakeNode(t *testing.T) *fakeNode {
	f := &fakeNode{jobs: map[string]ids.Job{}}
	mux := rpc.NewMux()
	mux.Concurrent(wire.MethodRegister, rpc.Handle(func(_ context.Context, _ *rpc.Conn, _ wire.Registration) (wire.RegisterReply, error) {
		return wire.RegisterReply{Incarnation: 5}, f.notLeaderError()
	}))
	mux.Concurrent(wire.MethodRenew, rpc.Handle(func(_ context.Context, _ *rpc.Conn, q wire.Renew) (wire.RenewReply, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		r := wire.RenewReply{Gone: f.ended}
		r.SetVersion(q.Have, 5)
		return r, nil
	}))
	mux.Concurrent(wire.MethodAdmit, rpc.Handle(f.admit))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.server = rpc.NewServer(l, rpc.Security{}, mux, nil)
	t.Cleanup(func() { f.server.Close() })
	return f
}

func (f *fakeNode) notLeaderError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == "" {
		return nil
	}
	hint, _ := json.Marshal(wire.LeaderHint{Addr: f.leader})
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NotLeader, Detail: string(hint)}
}

func (f *fakeNode) admit(_ context.Context, c *rpc.Conn, a wire.Admit) (wire.AdmitReply, error) {
	if err := f.notLeaderError(); err != nil {
		return wire.AdmitReply{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitCalls++
	var r wire.AdmitReply
	for _, item := range a.Items {
		if f.jobs[item.Nonce] == 0 {
			f.jobs[item.Nonce] = ids.Job(len(f.jobs) + 1)
		}
		r.Results = append(r.Results, wire.AdmitResult{Admitted: &wire.Ownership{Job: f.jobs[item.Nonce], Epoch: 1}})
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		c.Close()
	}
	return r, nil
}

// Guards against admissions that are recorded twice after a lost reply, that receive another
// item's result, or that need a request each. Also guards against a session that does not
// notice the end of its incarnation.
func TestAdmissionsAreBatchedAndRetried(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	leader, follower := newFakeNode(t), newFakeNode(t)
	follower.leader = leader.server.Addr()
	leader.repliesToLose = 2
	o := Options{Directory: NewDirectory(follower.server.Addr()), Self: wire.Registration{Nonce: "x"}}
	s, err := Open(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	const jobs = 500
	var wg sync.WaitGroup
	got := make([]ids.Job, jobs)
	for i := range jobs {
		wg.Go(func() {
			r, err := s.Admit(t.Context(), wire.AdmitItem{Nonce: fmt.Sprint(i)})
			if err != nil {
				t.Error(err)
				return
			}
			got[i] = r.Admitted.Job
		})
	}
	wg.Wait()
	leader.mu.Lock()
	defer leader.mu.Unlock()
	if len(leader.jobs) != jobs || leader.admitCalls > jobs/2 {
		t.Fatalf("%d records in %d requests for %d admissions", len(leader.jobs), leader.admitCalls, jobs)
	}
	for i := range jobs {
		if got[i] != leader.jobs[fmt.Sprint(i)] {
			t.Fatalf("admission %d got job %d instead of %d", i, got[i], leader.jobs[fmt.Sprint(i)])
		}
	}
	follower.mu.Lock()
	follower.ended = true
	follower.mu.Unlock()
	<-s.Ended()
	if s.Current(time.Now()) {
		t.Fatal("the view is current after the end of the incarnation")
	}
	s.Close()
	follower.server.Close()
	leader.server.Close()
}

// Guards against an admission that blocks, or whose error says that the job may have run,
// when no control node answers.
func TestAdmitReturnsNotRunWithoutControlNode(t *testing.T) {
	leader := newFakeNode(t)
	s, err := Open(t.Context(), Options{Directory: NewDirectory(leader.server.Addr())})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	leader.server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = s.Admit(ctx, wire.AdmitItem{})
	if v := verdict.FromError(err); v.Verdict != verdict.NotRun || v.Reason != verdict.NoQuorum || v.RetryAfter == 0 {
		t.Fatalf("admission without any control node: %v", err)
	}
}
