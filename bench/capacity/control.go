package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wal"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	window      = 2 * wire.RenewInterval
	syncTime    = 4 * time.Millisecond
	commitTime  = time.Second
	regionPeers = designNodes/2 - 1
)

// slowDisk takes syncTime for a sync and counts the syncs.
type slowDisk struct {
	wal.FS
	syncs *atomic.Int64
}

type slowFile struct {
	wal.File
	syncs *atomic.Int64
}

func (d slowDisk) OpenAppend(name string) (wal.File, error) {
	f, err := d.FS.OpenAppend(name)
	return slowFile{f, d.syncs}, err
}

func (f slowFile) Sync() error {
	time.Sleep(syncTime)
	f.syncs.Add(1)
	return nil
}

// scratch passes an empty folder to f and removes it.
func scratch(f func(dir string) ([]Series, error)) ([]Series, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return f(dir)
}

// CommitSlopes measures how many records share a sync at one node while callers
// admit and end jobs one after another.
func CommitSlopes() ([]Series, error) {
	return scratch(func(dir string) ([]Series, error) {
		syncs := &atomic.Int64{}
		n, err := control.Start(control.Options{
			Node: "control-1", Listen: "127.0.0.1:0", Data: dir, FS: slowDisk{wal.OSFS{}, syncs},
		})
		if err != nil {
			return nil, err
		}
		defer n.Close()
		s, err := openSession(wire.KindEntry, 1, []string{n.Addr()})
		if err != nil {
			return nil, err
		}
		defer s.Close()
		share := Series{Name: "jobs for each sync", Unit: "jobs", Driver: "callers at once", Level: true}
		speed := Series{Name: "jobs admitted and ended", Unit: "1/s", Driver: "callers at once", Level: true}
		cpu := Series{Name: "CPU for each job, node and session together", Unit: "us", Driver: "callers at once", Level: true}
		for _, callers := range []int{1, 10, 100, 400} {
			from, used := syncs.Load(), processTime()
			jobs := admitMany(s, callers, commitTime)
			x := float64(callers)
			share.Add(x, float64(jobs)/float64(syncs.Load()-from))
			speed.Add(x, float64(jobs)/commitTime.Seconds())
			cpu.Add(x, float64(processTime()-used)/1e3/float64(jobs))
		}
		return []Series{share, speed, cpu}, nil
	})
}

// admitMany admits and ends jobs with the given number of callers at once and
// returns how many were ended.
func admitMany(s *member.Session, callers int, d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var done atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if admitOne(ctx, s) {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(done.Load())
}

func admitOne(ctx context.Context, s *member.Session) bool {
	nonce := member.NewNonce()
	r, err := s.Admit(ctx, wire.AdmitItem{
		Team: "team-07", Service: "svc-1", Tasks: 850, Nonce: nonce,
		Key: "caja-" + nonce, KeyTime: time.Now().UnixMilli(), BodyHash: nonce + nonce,
	})
	if err != nil || r.Admitted == nil {
		return false
	}
	end := wire.CompleteItem{Ownership: *r.Admitted, State: wire.JobComplete, Verdict: verdict.Ran}
	return s.Complete(ctx, end) == nil
}

func openSession(k wire.Kind, i int, servers []string) (*member.Session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return member.Open(ctx, member.Options{Directory: member.NewDirectory(servers...), Self: registration(k, i, "")})
}

// crowd is a set of sessions, each with its own connection as a process has.
type crowd struct{ sessions []*member.Session }

// grow opens agents' sessions until there are n. Session i uses server i modulo
// their number.
func (c *crowd) grow(n int, servers []string) error {
	for len(c.sessions) < n {
		i := len(c.sessions)
		s, err := openSession(wire.KindAgent, i, servers[i%len(servers):][:1])
		if err != nil {
			return err
		}
		c.sessions = append(c.sessions, s)
	}
	return nil
}

func (c *crowd) close() {
	for _, s := range c.sessions {
		s.Close()
	}
}

// perSecond are the series of one process over a driver.
type perSecond struct{ cpu, in, out, heap, resident Series }

func newPerSecond(who, driver string, at float64) *perSecond {
	s := func(name, unit string) Series {
		return Series{Name: who + ", " + name, Unit: unit, Driver: driver, At: at}
	}
	return &perSecond{s("CPU", "us/s"), s("received", "B/s"), s("sent", "B/s"), s("live heap", "B"), s("resident", "B")}
}

func (p *perSecond) add(x float64, r rate) {
	p.cpu.Add(x, r.cpu)
	p.in.Add(x, r.in)
	p.out.Add(x, r.out)
	p.heap.Add(x, r.heap)
	p.resident.Add(x, r.resident)
}

func (p *perSecond) list() []Series { return []Series{p.cpu, p.in, p.out, p.heap, p.resident} }

func pass() { time.Sleep(window) }

// RenewalSlopes measures the renewals of members at one control node.
func RenewalSlopes() ([]Series, error) {
	return scratch(func(dir string) ([]Series, error) {
		node, err := startProcess("control", roleConfig{Node: "control-1", Data: dir})
		if err != nil {
			return nil, err
		}
		defer node.stop()
		var c crowd
		defer c.close()
		out := newPerSecond("node", "members", nodeMembers)
		for _, n := range []int{11, 50, 100, 160} {
			if err := c.grow(n, []string{node.Addr}); err != nil {
				return nil, err
			}
			r, err := node.watch(pass)
			if err != nil {
				return nil, err
			}
			out.add(float64(n), r)
		}
		busy, err := backToBack(node, c)
		return append(out.list(), busy), err
	})
}

// backToBack measures renewals that follow each other without a pause, which
// leaves out the cost of waking up a process for each.
func backToBack(node *process, c crowd) (Series, error) {
	out := Series{Name: "node, CPU for each renewal", Unit: "us", Driver: "connections that renew without a pause", Level: true}
	for _, n := range []int{1, 8, 32, 128} {
		var calls atomic.Int64
		r, err := node.watch(func() {
			var wg sync.WaitGroup
			for _, s := range c.sessions[:n] {
				wg.Go(func() { calls.Add(renewFor(node.Addr, s.Incarnation(), commitTime)) })
			}
			wg.Wait()
		})
		if err != nil {
			return out, err
		}
		out.Add(float64(n), r.cpu*r.seconds/float64(max(calls.Load(), 1)))
	}
	return out, nil
}

// renewFor renews a lease over one connection and returns how often.
func renewFor(addr string, inc ids.Incarnation, d time.Duration) (calls int64) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	conn, err := rpc.Dial(ctx, addr, rpc.Security{}, nil, nil)
	if err != nil {
		return 0
	}
	defer conn.Close()
	for ctx.Err() == nil {
		var r wire.RenewReply
		if conn.Call(ctx, wire.MethodRenew, wire.Renew{Incarnation: inc, Have: 1 << 40}, &r) == nil {
			calls++
		}
	}
	return calls
}

// GroupSlopes measures what a leader and a learner spend on the learners, on
// the renewals that learners forward, on configuration changes and on jobs.
func GroupSlopes() ([]Series, error) {
	return scratch(func(dir string) ([]Series, error) {
		g := &group{dir: dir}
		defer g.stop()
		if err := g.start(); err != nil {
			return nil, err
		}
		var out []Series
		for _, f := range []func() ([]Series, error){g.learners, g.members, g.changes, g.jobs} {
			s, err := f()
			if err != nil {
				return nil, err
			}
			out = append(out, s...)
		}
		return out, nil
	})
}

// group is a leader that is the only voter, and learners, each in a process.
type group struct {
	dir    string
	nodes  []*process
	client *member.Client
	crowd  crowd
}

func (g *group) start() error {
	p, err := startProcess("control", roleConfig{Node: "control-1", Data: filepath.Join(g.dir, "1")})
	if err != nil {
		return err
	}
	g.nodes = append(g.nodes, p)
	g.client, err = member.NewClient(member.ClientOptions{Servers: []string{p.Addr}})
	return err
}

func (g *group) stop() {
	g.crowd.close()
	if g.client != nil {
		g.client.Close()
	}
	for _, p := range g.nodes {
		p.stop()
	}
}

// addLearner starts a node and adds it without a vote.
func (g *group) addLearner() error {
	name := fmt.Sprintf("control-%d", len(g.nodes)+1)
	p, err := startProcess("control", roleConfig{
		Node: name, Data: filepath.Join(g.dir, name),
		Peers: []control.Peer{{Node: "control-1", Addr: g.nodes[0].Addr}, {Node: ids.Node(name), Addr: "127.0.0.1:1"}},
	})
	if err != nil {
		return err
	}
	g.nodes = append(g.nodes, p)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return g.client.Replace(ctx, wire.Replace{Node: ids.Node(name), Addr: p.Addr, Instance: p.Instance})
}

// watch measures the leader and the last learner during f.
func (g *group) watch(x float64, leader, learner *perSecond, f func()) error {
	var last rate
	var inner error
	r, err := g.nodes[0].watch(func() { last, inner = g.nodes[len(g.nodes)-1].watch(f) })
	if err != nil {
		return err
	}
	leader.add(x, r)
	learner.add(x, last)
	return inner
}

func (g *group) learners() ([]Series, error) {
	leader := newPerSecond("leader", "learners", regionPeers)
	for n := range regionPeers + 1 {
		if n > 0 {
			if err := g.addLearner(); err != nil {
				return nil, err
			}
		}
		if n != 1 && n != 2 && n != 4 && n != regionPeers {
			continue
		}
		time.Sleep(wire.RenewInterval) // the new learners have caught up
		r, err := g.nodes[0].watch(pass)
		if err != nil {
			return nil, err
		}
		leader.add(float64(n), r)
	}
	return leader.list(), nil
}

func (g *group) members() ([]Series, error) {
	at := float64(nodeMembers * regionPeers)
	leader, learner := newPerSecond("leader", "members at the learners", at), newPerSecond("one learner", "members at the learners", at)
	var servers []string
	for _, p := range g.nodes[1:] {
		servers = append(servers, p.Addr)
	}
	for _, n := range []int{8, 40, 80, 160} {
		if err := g.crowd.grow(n, servers); err != nil {
			return nil, err
		}
		if err := g.watch(float64(n), leader, learner, pass); err != nil {
			return nil, err
		}
	}
	return append(leader.list(), learner.list()...), nil
}

// changes applies changes of one setting of designTeams teams.
func (g *group) changes() ([]Series, error) {
	const driver = "configuration changes in 2 s, 160 members"
	leader, learner := newPerSecond("leader", driver, 1), newPerSecond("one learner", driver, 1)
	quota := 0
	for _, n := range []int{0, 1, 5, 10, 20} {
		change := func(ctx context.Context) {
			quota++
			a := wire.Apply{Expect: wire.AnyVersion, Pairs: configuration(designTeams, quota), By: "operator"}
			_, _ = g.client.Apply(ctx, a) // a lost change shows in the bytes
		}
		if n == 0 {
			g.paced(1, change) // all settings are new
			time.Sleep(2 * wire.RenewInterval)
			continue
		}
		if err := g.watch(float64(n), leader, learner, func() { g.paced(n, change) }); err != nil {
			return nil, err
		}
	}
	return append(leader.list()[:3], learner.list()[:3]...), nil
}

// jobs admits and ends jobs at a steady rate.
func (g *group) jobs() ([]Series, error) {
	const driver = "jobs each second"
	leader, learner := newPerSecond("leader", driver, designStarts/850.), newPerSecond("one learner", driver, designStarts/850.)
	s, err := openSession(wire.KindEntry, 1, []string{g.nodes[0].Addr})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	for _, n := range []int{10, 30, 70, 140} {
		err := g.watch(float64(n), leader, learner, func() {
			g.paced(int(float64(n)*window.Seconds()), func(ctx context.Context) { admitOne(ctx, s) })
		})
		if err != nil {
			return nil, err
		}
	}
	return append(leader.list()[:3], learner.list()[:3]...), nil
}

// paced runs f the given number of times at even distances within the window.
func (g *group) paced(times int, f func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(window / time.Duration(times))
	defer ticker.Stop()
	for range times {
		wg.Go(func() { f(ctx) })
		<-ticker.C
	}
}
