package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// testTimeout stops a test that hangs. No test depends on its length.
const testTimeout = 2 * time.Minute

// network connects the processes of a test and can isolate single ones.
type network struct {
	mu       sync.Mutex
	isolated map[string]bool
	conns    map[*rpc.Conn][2]string
}

func newNetwork() *network {
	return &network{isolated: map[string]bool{}, conns: map[*rpc.Conn][2]string{}}
}

// dialer returns the dialer of the process with the given address.
func (n *network) dialer(from string) member.Dialer {
	return func(ctx context.Context, to string) (*rpc.Conn, error) {
		if n.isIsolated(from, to) {
			return nil, verdict.Refuse(verdict.ConnectionFailed, "%s is isolated from %s", from, to)
		}
		c, err := rpc.Dial(ctx, to, rpc.Security{}, nil, nil)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.conns[c] = [2]string{from, to}
		n.mu.Unlock()
		if n.isIsolated(from, to) {
			c.Close()
		}
		return c, nil
	}
}

func (n *network) isIsolated(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[from] || n.isolated[to]
}

func (n *network) setIsolated(addr string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[addr] = isolated
	for c, ends := range n.conns {
		if isolated && slices.Contains(ends[:], addr) {
			c.Close()
			delete(n.conns, c)
		}
	}
}

// group is a control group whose nodes run in the test process.
type group struct {
	t     *testing.T
	net   *network
	opts  []Options
	nodes []*Node // nil while stopped
}

func newGroup(t *testing.T, size int) *group { return newGroupWith(t, size, nil) }

// newGroupWith applies configure to the options of all nodes. It starts only the
// nodes listed in started, or all if none is listed.
func newGroupWith(t *testing.T, size int, configure func(*Options), started ...int) *group {
	g := &group{t: t, net: newNetwork()}
	var peers []Peer
	for i := range size {
		peers = append(peers, Peer{Node: ids.Node(fmt.Sprintf("c%d", i)), Addr: loopback.FreeAddr(t)})
	}
	for i := range size {
		g.add(peers[i], peers)
	}
	for i := range size {
		if configure != nil {
			configure(&g.opts[i])
		}
		if len(started) == 0 || slices.Contains(started, i) {
			g.start(i)
		}
	}
	t.Cleanup(func() {
		for i := range g.nodes {
			g.stop(i)
		}
	})
	return g
}

func (g *group) add(self Peer, peers []Peer) int {
	g.opts = append(g.opts, Options{
		Node: self.Node, Listen: self.Addr, Peers: peers, Data: g.t.TempDir(), Dial: g.net.dialer(self.Addr),
	})
	g.nodes = append(g.nodes, nil)
	return len(g.opts) - 1
}

func (g *group) start(i int) {
	g.t.Helper()
	n, err := Start(g.opts[i])
	if err != nil {
		g.t.Fatal(err)
	}
	g.nodes[i] = n
}

func (g *group) stop(i int) {
	if g.nodes[i] == nil {
		return
	}
	if err := g.nodes[i].Close(); err != nil {
		g.t.Error(err)
	}
	g.nodes[i] = nil
}

func (g *group) addrs() []string {
	var out []string
	for _, o := range g.opts {
		out = append(out, o.Listen)
	}
	return out
}

func (g *group) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	g.t.Cleanup(cancel)
	return ctx
}

// client returns a client of the whole group that is never isolated itself.
func (g *group) client() *member.Client { return g.clientOf(g.addrs()) }

// clientOfNode returns a client of one node.
func (g *group) clientOfNode(i int) *member.Client { return g.clientOf(g.addrs()[i : i+1]) }

func (g *group) clientOf(servers []string) *member.Client {
	c, err := member.NewClient(member.ClientOptions{Servers: servers, Dial: g.net.dialer("client")})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(c.Close)
	return c
}

func (g *group) session(kind wire.Kind, node string) *member.Session {
	return g.sessionVia(kind, node, g.addrs())
}

func (g *group) sessionVia(kind wire.Kind, node string, servers []string) *member.Session {
	g.t.Helper()
	self := wire.Registration{Kind: kind, Node: ids.Node(node), Addr: "127.0.0.1:9", Domain: "gt-centro-a", Weight: 1}
	if kind == wire.KindAgent {
		self.Service, self.Slots, self.Connections = "mostrador", 8, 64
	}
	s, err := member.Open(g.ctx(), member.Options{Directory: member.NewDirectory(servers...), Self: self, Dial: g.net.dialer(node)})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(s.Close)
	return s
}

// waitFor polls until ok returns nil.
func (g *group) waitFor(what string, ok func() error) {
	g.t.Helper()
	end := time.Now().Add(testTimeout)
	for {
		err := ok()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leader waits for a leader among the running nodes that are not isolated, and
// returns its position.
func (g *group) leader() int {
	g.t.Helper()
	found := -1
	g.waitFor("a leader", func() error {
		for i, n := range g.nodes {
			if n == nil || g.net.isIsolated(n.Addr(), n.Addr()) {
				continue
			}
			if leads, err := runInLoop(g.ctx(), n, func(c *core) bool { return c.raft.IsLeader() }); err == nil && leads {
				found = i
				return nil
			}
		}
		return errors.New("no leader yet")
	})
	return found
}

func (g *group) apply(c *member.Client, id, value string) wire.ApplyReply {
	g.t.Helper()
	r, err := c.Apply(g.ctx(), wire.Apply{
		CommandID: id, Expect: wire.AnyVersion, Pairs: []wire.Pair{{Key: "teams.acme.quota", Value: value}},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	return r
}

func (g *group) waitForValue(s *member.Session, want string) {
	g.t.Helper()
	g.waitFor("configuration at a member", func() error {
		if got, _ := s.View().Value("teams.acme.quota"); got != want {
			return errors.Errorf("value %q", got)
		}
		return nil
	})
}

func (g *group) waitUntilCurrent(s *member.Session) {
	g.t.Helper()
	g.waitFor("the session to become current", func() error {
		if !s.Current(time.Now()) {
			return errors.New("the session is stale")
		}
		return nil
	})
}

func admit(g *group, s *member.Session, it wire.AdmitItem) wire.AdmitResult {
	g.t.Helper()
	it.Team, it.Service, it.Tasks = "acme", "mostrador", 2
	r, err := s.Admit(g.ctx(), it)
	if err != nil {
		g.t.Fatal(err)
	}
	return r
}

// Guards against a group that loses accepted state with its leader: the job, the
// configuration and the answer to a repeated command.
func TestLeaderIsKilled(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client()
	entry, agent := g.session(wire.KindEntry, "e1"), g.session(wire.KindAgent, "a1")
	first := g.apply(c, "cmd-1", "7")
	g.waitForValue(entry, "7")
	g.waitForValue(agent, "7")
	item := wire.AdmitItem{Key: "k", BodyHash: "h", Nonce: "n1"}
	a := admit(g, entry, item)
	if a.Admitted == nil {
		t.Fatalf("admission: %+v", a)
	}
	lost := g.leader()
	g.stop(lost)
	if again := g.apply(c, "cmd-1", "9"); !again.Repeated || again.ConfigVer != first.ConfigVer || again.Index != first.Index {
		t.Fatalf("repeated command: %+v, first answer %+v", again, first)
	}
	if r := admit(g, entry, item); r.Admitted == nil || *r.Admitted != *a.Admitted {
		t.Fatalf("repeated admission: %+v", r)
	}
	if r := admit(g, entry, wire.AdmitItem{Key: "k", BodyHash: "h"}); r.Duplicate == nil || r.Duplicate.Job != a.Admitted.Job {
		t.Fatalf("resubmission: %+v", r)
	}
	end := wire.CompleteItem{Ownership: *a.Admitted, State: wire.JobComplete, Verdict: verdict.Ran}
	if err := entry.Complete(g.ctx(), end); err != nil {
		t.Fatal(err)
	}
	g.waitFor("the job's end", func() error {
		rec, err := entry.Job(g.ctx(), a.Admitted.Job)
		if err != nil || rec.State != wire.JobComplete {
			return errors.Errorf("%+v %v", rec, err)
		}
		return nil
	})
	change := g.apply(c, "cmd-2", "8")
	g.waitForValue(agent, "8")
	g.waitUntilCurrent(entry)
	g.waitFor("the count of members that hold the change", func() error {
		st, err := c.Status(g.ctx(), wire.Status{Index: change.Index})
		if err != nil || st.Live != 2 || st.Holding != 2 {
			return errors.Errorf("%d of %d hold it, %v", st.Holding, st.Live, err)
		}
		return nil
	})
}

// Guards against a member that stays connected to an isolated node, and against an
// isolated leader that still accepts changes.
func TestLeaderIsCutOff(t *testing.T) {
	g := newGroup(t, 3)
	c := g.client()
	agents := []*member.Session{g.session(wire.KindAgent, "a1"), g.session(wire.KindAgent, "a2"), g.session(wire.KindAgent, "a3")}
	g.apply(c, "cmd-1", "1")
	lost := g.leader()
	g.net.setIsolated(g.opts[lost].Listen, true)
	r := g.apply(c, "cmd-2", "2")
	for _, a := range agents {
		g.waitForValue(a, "2")
		g.waitUntilCurrent(a)
	}
	direct, err := member.NewClient(member.ClientOptions{Servers: []string{g.opts[lost].Listen}})
	if err != nil {
		t.Fatal(err)
	}
	defer direct.Close()
	g.waitFor("the isolated node to refuse reads", func() error {
		ctx, cancel := context.WithTimeout(g.ctx(), 200*time.Millisecond)
		defer cancel()
		if _, err := direct.Get(ctx); err == nil {
			return errors.New("it answered from outdated tables")
		}
		return nil
	})
	stale := member.Options{Directory: member.NewDirectory(g.opts[lost].Listen), Self: wire.Registration{Kind: wire.KindAgent, Node: "a4", Addr: "x", Service: "s"}}
	ctx, cancel := context.WithTimeout(g.ctx(), time.Second)
	defer cancel()
	if _, err := member.Open(ctx, stale); verdict.FromError(err).Reason != verdict.NoQuorum {
		t.Fatalf("registration at the isolated node: %v", err)
	}
	g.net.setIsolated(g.opts[lost].Listen, false)
	g.waitFor("the reconnected node to catch up", func() error {
		st, err := c.StatusAt(g.ctx(), g.opts[lost].Listen, wire.Status{})
		if err != nil || st.Commit < r.Index {
			return errors.Errorf("%+v %v", st, err)
		}
		return nil
	})
}
