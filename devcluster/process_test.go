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

// process is a daemon or a sample upstream that the test runs as a child process.
type process struct {
	t       *testing.T
	name    string
	args    []string
	logFile string // receives stdout and stderr
	cmd     *exec.Cmd
}

// start starts or restarts the process.
func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process even if the test is killed
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait() // always an error after SIGKILL
}

// terminate sends SIGTERM, waits until the process has exited, and returns an error
// unless the exit code is 0.
func (p *process) terminate() error {
	p.signal(syscall.SIGTERM)
	return p.cmd.Wait()
}

// system is a complete system of separate processes.
type system struct {
	t           *testing.T
	dir         string
	binaries    map[string]string
	tokenFile   string // file with the shared token
	controls    []*process
	entries     []*process
	agents      []*process
	upstreams   []*process
	runLogFiles []string
	addrs       addresses
	relays      map[ids.Node]relay // empty unless the processes are connected through relays
	client      *member.Client
}

// systemOptions holds what differs between the systems of the tests.
type systemOptions struct {
	dir      string            // for all files, empty = a temporary one
	binaries map[string]string // paths of the daemons, empty = build them
	relayed  bool              // put a relay before each listener that processes of the system dial
}

const (
	testControls = 3
	testEntries  = 2
	testAgents   = 5
)

func startSystem(t *testing.T) *system {
	t.Helper()
	return startSystemWith(t, systemOptions{})
}

func startSystemWith(t *testing.T, o systemOptions) *system {
	t.Helper()
	s := &system{t: t, dir: o.dir, binaries: o.binaries}
	if s.dir == "" {
		s.dir = t.TempDir()
	}
	s.tokenFile = filepath.Join(s.dir, "token")
	if err := os.WriteFile(s.tokenFile, []byte(member.NewNonce()+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s.binaries == nil {
		s.binaries = buildBinaries(t, s.dir)
	}
	s.pickAddrs()
	if o.relayed {
		s.startRelays()
	}
	for i := range testControls {
		s.controls = append(s.controls, s.startDaemon("baobab-control", controlNode(i), settings.Print(s.control(i))))
	}
	security, err := settings.Process{TokenFile: s.tokenFile}.Security()
	if err != nil {
		t.Fatal(err)
	}
	if s.client, err = member.NewClient(member.ClientOptions{Servers: s.addrs.control, Security: security}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.client.Close)
	s.applyConfig()
	for i := range testAgents {
		log := filepath.Join(s.dir, fmt.Sprintf("runs-%d.jsonl", i))
		s.runLogFiles = append(s.runLogFiles, log)
		s.upstreams = append(s.upstreams, s.process(fmt.Sprintf("upstream-%d", i+1), s.binaries["baobabctl"],
			"dev-upstream", "--listen", s.addrs.upstream[i], "--log", log, "--slots", "4", "--speed", fmt.Sprint(1+i%3)))
		s.agents = append(s.agents, s.startDaemon("baobab-agent", AgentNode(i), settings.Print(s.agent(i))))
	}
	for i := range testEntries {
		s.entries = append(s.entries, s.startDaemon("baobab-entry", entryNode(i), settings.Print(s.entry(i))))
	}
	s.eventually("all members are live", func(st wire.StatusReply) bool { return st.Live == testEntries+testAgents })
	return s
}

// buildBinaries builds the programs that a system needs and returns their paths by name.
func buildBinaries(t *testing.T, dir string) map[string]string {
	t.Helper()
	binaries := map[string]string{}
	for _, name := range []string{"baobab-control", "baobab-entry", "baobab-agent", "baobabctl"} {
		binaries[name] = filepath.Join(dir, name)
		out, err := exec.Command("go", "build", "-o", binaries[name], "github.com/baobabshore/baobabshore/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	return binaries
}

// pickAddrs picks ports for the listeners that must keep their address when a
// process restarts. They lie below the range of ephemeral ports that the kernel
// assigns to outgoing connections, so only another listener could take them.
func (s *system) pickAddrs() {
	s.t.Helper()
	var listeners []net.Listener
	pick := func(n int) (out []string) {
		for len(out) < n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(20_000)))
			if err != nil {
				continue // the port is in use
			}
			listeners = append(listeners, l)
			out = append(out, l.Addr().String())
		}
		return out
	}
	s.addrs = addresses{
		control: pick(testControls), callers: pick(testEntries), upstream: pick(testAgents),
		entry: pick(testEntries), agent: pick(testAgents), // used behind relays only
	}
	for _, l := range listeners {
		l.Close()
	}
}

// process starts a child process, which is killed when the test ends. Its output is
// logged if the test failed.
func (s *system) process(name, path string, args ...string) *process {
	s.t.Helper()
	p := &process{t: s.t, name: name, args: append([]string{path}, args...), logFile: filepath.Join(s.dir, name+".log")}
	s.t.Cleanup(func() {
		p.kill()
		if out, err := os.ReadFile(p.logFile); err == nil && s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, tail(out))
		}
	})
	p.start()
	return p
}

func tail(out []byte) []byte {
	const limit = 4000
	return out[max(len(out)-limit, 0):]
}

// startDaemon writes the settings file of a node and starts its daemon.
func (s *system) startDaemon(command string, node ids.Node, yaml []byte) *process {
	s.t.Helper()
	file := filepath.Join(s.dir, string(node)+".yaml")
	if err := os.WriteFile(file, yaml, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return s.process(string(node), s.binaries[command], "--settings", file)
}

// control returns the settings of a control node.
func (s *system) control(i int) settings.Control {
	c := settings.DefaultControl()
	c.Node, c.FailureDomain, c.Data = controlNode(i), failureDomain(i), filepath.Join(s.dir, string(controlNode(i)))
	c.Listen, c.Ops, c.TokenFile = s.addrs.control[i], anyPort, s.tokenFile
	s.placeBehindRelay(&c.Process)
	for j, addr := range s.addrs.control {
		c.Peers = append(c.Peers, settings.Peer{Node: controlNode(j), Address: addr})
	}
	return c
}

// entry returns the settings of an entry.
func (s *system) entry(i int) settings.Entry {
	e := settings.DefaultEntry()
	e.Node, e.FailureDomain, e.Control = entryNode(i), failureDomain(i), s.addrs.control
	e.Listen, e.Ops, e.Callers, e.Weight = anyPort, anyPort, s.addrs.callers[i], 2-i
	e.TokenFile = s.tokenFile
	s.placeBehindRelay(&e.Process)
	return e
}

// agent returns the settings of an agent.
func (s *system) agent(i int) settings.Agent {
	a := settings.DefaultAgent()
	a.Node, a.FailureDomain, a.Control = AgentNode(i), failureDomain(i), s.addrs.control
	a.Listen, a.Ops, a.Service, a.Upstream, a.Slots = anyPort, anyPort, Service, s.addrs.upstream[i], 4
	a.TokenFile = s.tokenFile
	s.placeBehindRelay(&a.Process)
	return a
}

// applyConfig applies the configuration with the command baobabctl apply.
func (s *system) applyConfig() {
	s.t.Helper()
	conf, err := settings.NewCluster().Service(Service, func(c *settings.Service) { c.Slots = 4 }).Team("centro").Team("sur").Build()
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.dir, "cluster.yaml")
	if err := os.WriteFile(file, settings.Print(conf), 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(s.binaries["baobabctl"], "apply", file, "--timeout", "60s", "--token-file", s.tokenFile)
	cmd.Env = append(os.Environ(), "BAOBAB_CONTROL="+strings.Join(s.addrs.control, ","))
	if out, err := cmd.CombinedOutput(); err != nil {
		s.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// eventually polls the control group's status until ok returns true. Without a limit
// of its own it fails when the test's context is done.
func (s *system) eventually(what string, ok func(wire.StatusReply) bool) {
	s.t.Helper()
	for {
		st, err := s.status()
		if err == nil && ok(st) {
			return
		}
		select {
		case <-s.t.Context().Done():
			s.t.Fatalf("condition never held: %s", what)
		case <-time.After(pollInterval):
		}
	}
}

func (s *system) status() (wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
	defer cancel()
	return s.client.Status(ctx, wire.Status{})
}

// incarnation returns the live incarnation of a node, or 0 if there is none.
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

// awaitEnd waits until the control group has ended an incarnation.
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

// awaitReregistration waits until a node has a live incarnation newer than old.
func (s *system) awaitReregistration(node ids.Node, old ids.Incarnation) {
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

// runs reads the task runs from the log files of the sample upstreams.
func (s *system) runs() []upstreamsim.Run {
	s.t.Helper()
	var out []upstreamsim.Run
	for _, log := range s.runLogFiles {
		data, err := os.ReadFile(log)
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var r struct{ Task, Job, Path string }
			if err := json.Unmarshal(line, &r); err != nil {
				if !bytes.HasSuffix(line, []byte("\n")) {
					continue // the upstream was killed while it wrote the line
				}
				t := s.t
				t.Fatalf("%s: %v in %q", log, err, line)
			}
			out = append(out, upstreamsim.Run{Task: r.Task, Job: r.Job, Path: r.Path})
		}
	}
	return out
}
