//go:build linux

package devcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// process is one daemon that the test has started.
type process struct {
	t    *testing.T
	name string
	args []string
	log  string // file of its output
	cmd  *exec.Cmd
}

// start starts the process, or starts it again.
func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also when the test itself is killed
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait() // a killed process always fails
}

// terminate sends SIGTERM and returns how the process has ended.
func (p *process) terminate() error {
	p.signal(syscall.SIGTERM)
	return p.cmd.Wait()
}

// system is the whole system as separate processes.
type system struct {
	t         *testing.T
	dir       string
	bin       map[string]string
	token     string // file with the shared token
	controls  []*process
	entries   []*process
	agents    []*process
	upstreams []*process
	runLogs   []string
	addrs     addresses
	client    *member.Client
}

const (
	testControls = 3
	testEntries  = 2
	testAgents   = 5
)

func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), bin: map[string]string{}}
	s.token = filepath.Join(s.dir, "token")
	if err := os.WriteFile(s.token, []byte(member.NewNonce()+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.build("baobab-control", "baobab-entry", "baobab-agent", "baobabctl")
	s.reserve()
	for i := range testControls {
		s.controls = append(s.controls, s.daemon("baobab-control", controlNode(i), settings.Print(s.control(i))))
	}
	sec, err := settings.Process{TokenFile: s.token}.Security()
	if err != nil {
		t.Fatal(err)
	}
	if s.client, err = member.NewClient(member.ClientOptions{Servers: s.addrs.control, Security: sec}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.client.Close)
	s.apply()
	for i := range testAgents {
		log := filepath.Join(s.dir, fmt.Sprintf("runs-%d.jsonl", i))
		s.runLogs = append(s.runLogs, log)
		s.upstreams = append(s.upstreams, s.process(fmt.Sprintf("upstream-%d", i+1), s.bin["baobabctl"],
			"dev-upstream", "--listen", s.addrs.upstream[i], "--log", log, "--slots", "4", "--speed", fmt.Sprint(1+i%3)))
		s.agents = append(s.agents, s.daemon("baobab-agent", AgentNode(i), settings.Print(s.agent(i))))
	}
	for i := range testEntries {
		s.entries = append(s.entries, s.daemon("baobab-entry", entryNode(i), settings.Print(s.entry(i))))
	}
	s.eventually("all members are live", func(st wire.StatusReply) bool { return st.Live == testEntries+testAgents })
	return s
}

func (s *system) build(names ...string) {
	s.t.Helper()
	for _, name := range names {
		path := filepath.Join(s.dir, name)
		out, err := exec.Command("go", "build", "-o", path, "github.com/baobabshore/baobabshore/cmd/"+name).CombinedOutput()
		if err != nil {
			s.t.Fatalf("build %s: %v\n%s", name, err, out)
		}
		s.bin[name] = path
	}
}

// reserve picks ports for the listeners that must keep their address when a
// process starts again. They are below the range from which the kernel gives
// ports to outgoing connections, so only another listener could take them.
func (s *system) reserve() {
	s.t.Helper()
	var held []net.Listener
	pick := func(n int) (out []string) {
		for len(out) < n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(20_000)))
			if err != nil {
				continue // taken
			}
			held = append(held, l)
			out = append(out, l.Addr().String())
		}
		return out
	}
	s.addrs = addresses{control: pick(testControls), callers: pick(testEntries), upstream: pick(testAgents)}
	for _, l := range held {
		l.Close()
	}
}

func (s *system) process(name, path string, args ...string) *process {
	s.t.Helper()
	p := &process{t: s.t, name: name, args: append([]string{path}, args...), log: filepath.Join(s.dir, name+".log")}
	s.t.Cleanup(func() {
		p.kill()
		if out, err := os.ReadFile(p.log); err == nil && s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, tail(out))
		}
	})
	p.start()
	return p
}

func tail(out []byte) []byte {
	const most = 4000
	return out[max(len(out)-most, 0):]
}

func (s *system) daemon(command string, node ids.Node, yaml []byte) *process {
	s.t.Helper()
	file := filepath.Join(s.dir, string(node)+".yaml")
	if err := os.WriteFile(file, yaml, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return s.process(string(node), s.bin[command], "--settings", file)
}

func (s *system) control(i int) settings.Control {
	c := settings.DefaultControl()
	c.Node, c.FailureDomain, c.Data = controlNode(i), domain(i), filepath.Join(s.dir, string(controlNode(i)))
	c.Listen, c.Ops, c.TokenFile = s.addrs.control[i], anyPort, s.token
	for j, addr := range s.addrs.control {
		c.Peers = append(c.Peers, settings.Peer{Node: controlNode(j), Address: addr})
	}
	return c
}

func (s *system) entry(i int) settings.Entry {
	e := settings.DefaultEntry()
	e.Node, e.FailureDomain, e.Control = entryNode(i), domain(i), s.addrs.control
	e.Listen, e.Ops, e.Callers, e.Weight = anyPort, anyPort, s.addrs.callers[i], 2-i
	e.TokenFile = s.token
	return e
}

func (s *system) agent(i int) settings.Agent {
	a := settings.DefaultAgent()
	a.Node, a.FailureDomain, a.Control = AgentNode(i), domain(i), s.addrs.control
	a.Listen, a.Ops, a.Service, a.Upstream, a.Slots = anyPort, anyPort, Service, s.addrs.upstream[i], 4
	a.TokenFile = s.token
	return a
}

// apply puts the configuration in force with the real command.
func (s *system) apply() {
	s.t.Helper()
	conf, err := settings.NewCluster().Service(Service, func(c *settings.Service) { c.Slots = 4 }).Team("centro").Team("sur").Build()
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.dir, "cluster.yaml")
	if err := os.WriteFile(file, settings.Print(conf), 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(s.bin["baobabctl"], "apply", file, "--timeout", "60s", "--token-file", s.token)
	cmd.Env = append(os.Environ(), "BAOBAB_CONTROL="+strings.Join(s.addrs.control, ","))
	if out, err := cmd.CombinedOutput(); err != nil {
		s.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// eventually polls the state of the group; the test's own time limit ends a
// condition that never holds.
func (s *system) eventually(what string, ok func(wire.StatusReply) bool) {
	s.t.Helper()
	for {
		st, err := s.status()
		if err == nil && ok(st) {
			return
		}
		select {
		case <-s.t.Context().Done():
			s.t.Fatalf("never: %s", what)
		case <-time.After(pollInterval):
		}
	}
}

func (s *system) status() (wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
	defer cancel()
	return s.client.Status(ctx, wire.Status{})
}

// incarnation returns the live incarnation of a node, zero if there is none.
func (s *system) incarnation(node ids.Node) ids.Incarnation {
	s.t.Helper()
	st, err := s.status()
	if err != nil {
		s.t.Fatal(err)
	}
	for _, m := range st.Members {
		if m.Node == node && m.Live() {
			return m.Incarnation
		}
	}
	return 0
}

// awaitEnd waits until an incarnation has been ended by the control group.
func (s *system) awaitEnd(inc ids.Incarnation) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("incarnation %d has ended", inc), func(st wire.StatusReply) bool {
		for _, m := range st.Members {
			if m.Incarnation == inc && m.Live() {
				return false
			}
		}
		return true
	})
}

// awaitNew waits until a node has a live incarnation after an old one.
func (s *system) awaitNew(node ids.Node, old ids.Incarnation) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("%s has registered again", node), func(st wire.StatusReply) bool {
		for _, m := range st.Members {
			if m.Node == node && m.Live() && m.Incarnation > old {
				return true
			}
		}
		return false
	})
}

// runs reads what the sample upstreams have logged.
func (s *system) runs() []upstreamsim.Run {
	s.t.Helper()
	var out []upstreamsim.Run
	for _, log := range s.runLogs {
		data, err := os.ReadFile(log)
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var r struct{ Task, Job, Path string }
			if err := json.Unmarshal(line, &r); err != nil {
				if !bytes.HasSuffix(line, []byte("\n")) {
					continue // cut off by a kill
				}
				t := s.t
				t.Fatalf("%s: %v in %q", log, err, line)
			}
			out = append(out, upstreamsim.Run{Task: r.Task, Job: r.Job, Path: r.Path})
		}
	}
	return out
}
