package control

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/baobabshore/baobabshore/consensus"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
	"github.com/baobabshore/baobabshore/wire"
)

// Guards against a configuration that reverts, or an answer to a command that is
// lost, when all nodes restart after hundreds of changes that were compacted into
// snapshots; and against a node that can't catch up because the logs of the others
// start after the end of its own.
func TestRestartAfterManyChanges(t *testing.T) {
	g := newGroupWith(t, 3, func(o *Options) { o.SnapshotEntries = 50 })
	c := g.client()
	agent := g.session(wire.KindAgent, "a1")
	first := g.apply(c, "cmd-first", "first")
	behind := (g.leader() + 1) % 3
	g.stop(behind)
	for i := range 500 {
		g.apply(c, fmt.Sprint("cmd-", i), fmt.Sprint(i))
	}
	g.waitForValue(agent, "499")
	version := agent.View().Version
	for i := range 3 {
		g.stop(i)
	}
	for i := range 3 {
		g.start(i)
	}
	if r := g.apply(c, "cmd-first", "other"); !r.Repeated || r.Index != first.Index {
		t.Fatalf("repeated command: %+v, first answer %+v", r, first)
	}
	got, err := c.Get(g.ctx())
	if err != nil || len(got.Pairs) != 1 || got.Pairs[0].Value != "499" || got.ConfigVer != 501 {
		t.Fatalf("configuration after the restart: %+v %v", got, err)
	}
	g.waitUntilCurrent(agent)
	if v, _ := agent.View().Value("teams.acme.quota"); v != "499" || agent.View().Version < version {
		t.Fatalf("the member's view went from version %d to %+v", version, agent.View())
	}
	late := g.clientOfNode(behind)
	g.waitFor("the restarted node to catch up", func() error {
		r, err := late.Get(g.ctx())
		if err != nil || r.ConfigVer != 501 {
			return errors.Errorf("%+v %v", r, err)
		}
		return nil
	})
}

// Guards against a node with an emptied disk that votes, forms a second group, or
// stays out of the group after the operator has replaced it; and against a second
// loss right after the repair.
func TestEmptiedDiskIsReplaced(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client()
	g.apply(c, "cmd-1", "1")
	lost := g.leader()
	before := g.nodes[lost].Instance()
	g.stop(lost)
	if err := os.RemoveAll(g.opts[lost].Data); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	g.apply(c, "cmd-2", "2")
	fresh := g.nodes[lost]
	g.waitFor("the emptied node to learn of the existing group", func() error {
		waits, err := runInLoop(g.ctx(), fresh, func(c *core) bool { return c.formation != nil && c.formation.excluded })
		if err != nil || !waits {
			return errors.Errorf("%v %v", waits, err)
		}
		return nil
	})
	if fresh.Instance() == before {
		t.Fatal("the emptied folder has its old instance id")
	}
	self := wire.Replace{Old: g.opts[lost].Node, Node: g.opts[lost].Node, Addr: g.opts[lost].Listen, Instance: fresh.Instance()}
	for range 2 { // A repeated call has no further effect.
		if err := c.Replace(g.ctx(), self); err != nil {
			t.Fatal(err)
		}
	}
	st, err := c.Status(g.ctx(), wire.Status{})
	if err != nil {
		t.Fatal(err)
	}
	voters := map[string]bool{}
	for _, n := range st.Nodes {
		voters[n.Instance] = n.Voter
	}
	if len(voters) != 3 || !voters[fresh.Instance()] || voters[before] {
		t.Fatalf("nodes after the replacement: %+v", st.Nodes)
	}
	g.stop((lost + 1) % 3)
	if r := g.apply(c, "cmd-2", "9"); !r.Repeated {
		t.Fatalf("repeated command after the second loss: %+v", r)
	}
	g.apply(c, "cmd-3", "3")
}

// Guards against a group that forms without all of its nodes, so that two groups
// could form.
func TestGroupFormsOnlyWithAllNodes(t *testing.T) {
	g := newGroupWith(t, 3, nil, 0, 1)
	for i := range 2 {
		f, err := runInLoop(g.ctx(), g.nodes[i], func(c *core) *groupFormation { return c.formation })
		if err != nil || f == nil {
			t.Fatalf("node %d formed a group of its own: %v", i, err)
		}
	}
	g.start(2)
	g.apply(g.client(), "cmd", "1")
}

// Guards against a node that treats a lost log as an empty new one: it has forgotten
// the votes that it cast.
func TestEmptiedLogIsRefused(t *testing.T) {
	g := newGroup(t, 1)
	g.apply(g.client(), "cmd", "1")
	g.stop(0)
	names, err := filepath.Glob(filepath.Join(g.opts[0].Data, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if filepath.Base(name) != membershipFileName {
			if err := os.Remove(name); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := Start(g.opts[0]); err == nil || !strings.Contains(err.Error(), "the log is empty") {
		t.Fatalf("start without the log: %v", err)
	}
}

// Guards against jobs that keep no owner after their entry has failed, and against a
// lease that expires although a follower receives the renewals.
func TestLeaseEndsAndJobsMove(t *testing.T) {
	g := newGroup(t, 3)
	var entries []*member.Session
	for i := range 3 { // one session at each node
		entries = append(entries, g.sessionVia(wire.KindEntry, fmt.Sprint("e", i), g.addrs()[i:i+1]))
	}
	dead := g.sessionVia(wire.KindEntry, "dead", g.addrs())
	o := *admit(g, dead, wire.AdmitItem{}).Admitted
	dead.Close()
	g.waitFor("the takeover", func() error {
		for _, e := range entries {
			for _, a := range e.View().Assigned {
				if a.Job == o.Job && a.Epoch == 2 && a.Record.Owner == e.Incarnation() {
					return nil
				}
			}
		}
		return errors.New("the job has no new owner")
	})
	for i, e := range entries {
		if !e.Current(time.Now()) {
			t.Errorf("entry %d lost its lease", i)
		}
	}
	ctx, cancel := context.WithTimeout(g.ctx(), 100*time.Millisecond)
	defer cancel()
	if _, err := dead.Admit(ctx, wire.AdmitItem{Tasks: 1}); err == nil {
		t.Fatal("the closed session admitted a job")
	}
}

// faultyFS fails syncs on demand.
type faultyFS struct {
	wal.FS
	failSync *atomic.Bool
}

type faultyFile struct {
	wal.File
	fail *atomic.Bool
}

func (f faultyFS) OpenAppend(name string) (wal.File, error) {
	file, err := f.FS.OpenAppend(name)
	return faultyFile{file, f.failSync}, err
}

func (f faultyFile) Sync() error {
	if f.fail.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// Guards against a node that continues after a failed sync and acknowledges records
// that may be lost.
func TestFailedSyncStopsTheNode(t *testing.T) {
	var fail atomic.Bool
	g := newGroupWith(t, 1, func(o *Options) { o.FS = faultyFS{wal.OSFS{}, &fail} })
	c := g.client()
	g.apply(c, "cmd-1", "1")
	fail.Store(true)
	ctx, cancel := context.WithTimeout(g.ctx(), time.Second)
	defer cancel()
	if r, err := c.Apply(ctx, wire.Apply{CommandID: "cmd-2", Expect: 1}); err == nil {
		t.Fatalf("the change was accepted: %+v", r)
	} else if v := verdict.FromError(err); v.Reason != verdict.NoQuorum {
		t.Fatalf("verdict %v", v)
	}
	<-g.nodes[0].Done()
	if err := g.nodes[0].Close(); err == nil || !strings.Contains(err.Error(), "input/output error") {
		t.Fatalf("the node stopped with %v", err)
	}
	g.nodes[0] = nil
}

// Guards against a planned stop that returns an error or leaks goroutines.
func TestRunStopsCleanly(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithCancel(t.Context())
	o := Options{Node: "c0", Listen: loopback.FreeAddr(t), Data: t.TempDir()}
	done := make(chan error)
	go func() { done <- Run(ctx, o) }()
	c, err := member.NewClient(member.ClientOptions{Servers: []string{o.Listen}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Apply(ctx, wire.Apply{CommandID: "c"}); err != nil {
		t.Fatal(err)
	}
	c.Close()
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a draining mark of the operators that does not reach the entries,
// and against one mark that clears the other.
func TestDrainingMarks(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client()
	entry, agent := g.session(wire.KindEntry, "e1"), g.session(wire.KindAgent, "a1")
	draining := func(want bool) func() error {
		return func() error {
			if m, ok := entry.View().Member(agent.Incarnation()); !ok || m.Draining != want {
				return errors.Errorf("%+v", m)
			}
			return nil
		}
	}
	if err := c.Drain(g.ctx(), "a1", true); err != nil {
		t.Fatal(err)
	}
	g.waitFor("the operators' mark", draining(true))
	agent.SetDraining(true)
	g.waitFor("the member's own mark", func() error {
		own, err := runInLoop(g.ctx(), g.nodes[g.leader()], func(c *core) bool { return c.state.DrainsItself(agent.Incarnation()) })
		if err != nil || !own {
			return errors.Errorf("%v %v", own, err)
		}
		return nil
	})
	if err := c.Drain(g.ctx(), "a1", false); err != nil {
		t.Fatal(err)
	}
	st, err := c.Status(g.ctx(), wire.Status{})
	if err != nil || len(st.Members) != 2 || !st.Members[1].Draining {
		t.Fatalf("status %+v %v", st.Members, err)
	}
	agent.SetDraining(false)
	g.waitFor("the end of both marks", draining(false))
	if err := agent.Leave(g.ctx()); err != nil {
		t.Fatal(err)
	}
	g.waitFor("the member to leave", func() error {
		if m, ok := entry.View().Member(agent.Incarnation()); ok && m.Live() {
			return errors.Errorf("%+v", m)
		}
		return nil
	})
}

// Guards against a node that can never catch up because the snapshot exceeds the
// size limit for a message.
func TestLargeSnapshotArrives(t *testing.T) {
	n := &Node{calls: make(chan func(*core), 1)}
	n.ctx, n.cancel = context.WithCancel(t.Context())
	defer n.cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(l, rpc.Security{}, n.mux(), nil)
	defer server.Close()
	ls := newLinks(newNetwork().dialer("sender"), "from", "addr")
	defer ls.close()
	size := wire.MaxMessageBytes
	if testing.Short() {
		size = 4 * partBytes
	}
	data := bytes.Repeat([]byte("x"), size)
	snap := &consensus.Snapshot{Index: 7, Term: 1, Data: data, Group: consensus.Group{Peers: []consensus.Peer{{ID: "from", Voter: true}}}}
	ls.queueMessage(server.Addr(), consensus.Message{Kind: consensus.MsgSnapshot, From: "from", To: "to", Term: 1, Snapshot: snap})
	c := &core{raft: consensus.New(consensus.Config{ID: "to", Boot: 1}), senderAddrs: map[consensus.ID]string{}, links: ls}
	(<-n.calls)(c)
	if rd := c.raft.Ready(); rd.Snapshot == nil || !bytes.Equal(rd.Snapshot.Data, data) {
		t.Fatal("the snapshot did not arrive as it was sent")
	}
}

// Guards against a node that stays out of the group after its data directory was
// emptied and no operator replaces it, so that a second loss leaves the group
// without a quorum.
func TestEmptiedDiskRejoinsByItself(t *testing.T) {
	g := newGroupWith(t, 3, func(o *Options) { o.AutoJoin = true })
	c := g.client()
	g.apply(c, "cmd-1", "1")
	lost := g.leader()
	g.stop(lost)
	if err := os.RemoveAll(g.opts[lost].Data); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	g.apply(c, "cmd-2", "2")
	fresh := g.nodes[lost].Instance()
	g.waitFor("the emptied node to vote", func() error {
		st, err := c.Status(g.ctx(), wire.Status{})
		if err != nil {
			return err
		}
		for _, n := range st.Nodes {
			if n.Instance == fresh && n.Voter {
				return nil
			}
		}
		return errors.Errorf("%+v", st.Nodes)
	})
	g.waitUntilJoined(c, wire.Join{Node: g.opts[lost].Node, Addr: g.opts[lost].Listen, Instance: fresh})
	g.stop((lost + 1) % 3)
	g.apply(c, "cmd-3", "3")
}

// waitUntilJoined waits until the membership with a node is committed. The leader's
// status shows a change before it is committed, and a second loss at that time
// leaves the group without a quorum.
func (g *group) waitUntilJoined(c *member.Client, j wire.Join) {
	g.t.Helper()
	if err := c.Join(g.ctx(), j); err != nil {
		g.t.Fatal(err)
	}
}

// Guards against a permanently lost voter that keeps its place although an empty
// node at another address has joined, so that a second loss leaves the group without
// a quorum.
func TestNewNodeTakesThePlaceOfALostOne(t *testing.T) {
	auto := func(o *Options) { o.AutoJoin, o.LostAfter = true, time.Second }
	g := newGroupWith(t, 3, auto)
	c := g.client()
	g.apply(c, "cmd-1", "1")
	lost := g.leader()
	g.stop(lost)
	g.apply(c, "cmd-2", "2")
	self := Peer{Node: "fresh", Addr: loopback.FreeAddr(t)}
	peers := append([]Peer{self}, g.opts[lost].Peers...)
	fresh := g.add(self, peers)
	auto(&g.opts[fresh])
	g.start(fresh)
	g.waitForVoters(c, g.running())
	g.waitUntilJoined(c, wire.Join{Node: "fresh", Addr: self.Addr, Instance: g.nodes[fresh].Instance()})
	g.stop((lost + 1) % 3)
	g.apply(g.clientOf([]string{g.opts[(lost+2)%3].Listen, self.Addr}), "cmd-3", "3")
}

// Guards against members that know only the control nodes of their settings: once
// all of these have been replaced, their view would never be updated again.
func TestMembersFollowExchangedNodes(t *testing.T) {
	auto := func(o *Options) { o.AutoJoin, o.LostAfter = true, time.Second }
	g := newGroupWith(t, 3, auto)
	c := g.client()
	g.apply(c, "cmd-0", "0")
	members := []*member.Session{g.session(wire.KindEntry, "e1"), g.session(wire.KindAgent, "a1")}
	for old := range 3 {
		g.stop(old)
		self := Peer{Node: ids.Node(fmt.Sprint("fresh-", old)), Addr: loopback.FreeAddr(t)}
		fresh := g.add(self, append(g.running(), self))
		auto(&g.opts[fresh])
		g.start(fresh)
		c = g.clientOf(addrsOf(g.running()))
		g.waitForVoters(c, g.running())
		g.waitUntilJoined(c, wire.Join{Node: self.Node, Addr: self.Addr, Instance: g.nodes[fresh].Instance()})
	}
	g.apply(c, "cmd-1", "after the exchange")
	for _, m := range members {
		g.waitForValue(m, "after the exchange")
		g.waitUntilCurrent(m)
	}
}

// running returns the nodes that are not stopped.
func (g *group) running() []Peer {
	var list []Peer
	for i, n := range g.nodes {
		if n != nil {
			list = append(list, Peer{Node: g.opts[i].Node, Addr: g.opts[i].Listen})
		}
	}
	return list
}

func addrsOf(peers []Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Addr)
	}
	return out
}

// waitForVoters waits until exactly the given nodes are voters.
func (g *group) waitForVoters(c *member.Client, want []Peer) {
	g.t.Helper()
	g.waitFor("the new node to vote in place of the lost one", func() error {
		st, err := c.Status(g.ctx(), wire.Status{})
		if err != nil {
			return err
		}
		voters := map[ids.Node]bool{}
		for _, n := range st.Nodes {
			voters[n.Node] = n.Voter
		}
		for _, p := range want {
			if !voters[p.Node] {
				return errors.Errorf("%s does not vote: %+v", p.Node, st.Nodes)
			}
		}
		if len(voters) != len(want) {
			return errors.Errorf("%+v", st.Nodes)
		}
		return nil
	})
}
