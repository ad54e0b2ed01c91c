package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, from the site files.
const (
	retransmit  = 1300 * time.Millisecond
	maxHold     = 1000 * time.Millisecond
	stopGrace   = 50 * time.Millisecond
	drainBound  = 2000 * time.Millisecond
	contact     = 3000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	cancelBound = 3000 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	lateBy      = 2000 * time.Millisecond // of an order that is carried out late
	graceS      = 6
)

// Offsets from the first port. The ports before them are internal ones.
const (
	frontOffset = 16 + iota
	readinessOffset
	controlOffset
	appOffset
	portsPerMachine
)

// machine is one machine of the deployment. All machines use the same ports, each on a
// loopback address of its own.
type machine struct {
	name, ip, zone string
	disk           bool
	side           bool
}

// process is a process of the project on a machine.
type process struct {
	machine *machine
	role    string
	cmd     *exec.Cmd
	done    chan struct{}
}

// world is a running deployment with its stand-ins.
type world struct {
	dir      string
	program  string
	basePort int
	rec      *recorder
	machines []*machine
	seeds    []string

	mu        sync.Mutex
	processes map[string]*process // by role and machine
	started   map[string]bool     // processes that have been started before
	executors []*executor
	check     *checker
}

const (
	roleControl = "control"
	roleEntry   = "entry"
	roleAgent   = "agent"
)

// newWorld prepares a deployment of three machines with a disk, further front machines
// without one, and side machines.
func newWorld(rec *recorder, root string, diskless, sides int) (*world, error) {
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, program: filepath.Join(root, "target", "baobab-node"), rec: rec,
		processes: map[string]*process{}, started: map[string]bool{},
	}
	w.check = newChecker(rec)
	zones := []string{"za", "zb", "zc"}
	for i := range 3 {
		w.machines = append(w.machines, &machine{name: fmt.Sprint("front-", i+1), ip: fmt.Sprint("127.0.0.", 21+i), zone: zones[i], disk: true})
	}
	for i := range diskless {
		w.machines = append(w.machines, &machine{name: fmt.Sprint("front-", i+4), ip: fmt.Sprint("127.0.0.", 24+i), zone: zones[i%3]})
	}
	for i := range sides {
		w.machines = append(w.machines, &machine{name: fmt.Sprint("side-", i+1), ip: fmt.Sprint("127.0.0.", 41+i), zone: zones[i%3], side: true})
	}
	if w.basePort, err = w.freePorts(); err != nil {
		return nil, err
	}
	for _, m := range w.machines[:3] {
		w.seeds = append(w.seeds, w.addr(m, controlOffset))
	}
	return w, nil
}

// freePorts returns the first of the ports of a machine that are free on all addresses.
func (w *world) freePorts() (int, error) {
	for range 50 {
		base := 12_000 + 20*rand.IntN(900)
		if w.areFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (w *world) areFree(base int) bool {
	for _, m := range w.machines {
		for port := base; port < base+portsPerMachine; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) addr(m *machine, offset int) string {
	return fmt.Sprintf("%s:%d", m.ip, w.basePort+offset)
}

func (w *world) machine(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// settings returns the settings file of a process, as the platform writes it.
func (w *world) settings(m *machine, role string, bootstrap bool) map[string]any {
	s := map[string]any{
		"NodeName": m.name, "Role": role, "MachineClass": "front", "Serves": []string{role}, "Ip": m.ip, "Zone": m.zone, "Region": "r",
		"InternalPorts": []int{w.basePort, w.basePort + frontOffset - 1}, "SeedNodes": w.seeds,
		"Bootstrap": bootstrap, "LossCounts": m.disk, "Discovery": "local", "EntryPoint": "vip", "HeartbeatMs": beatEvery.Milliseconds(),
		"Orders": "invocation", "config_mode": "highest",
		"Zones":          map[string]string{"za": "r", "zb": "r", "zc": "r"},
		"BindAddrs":      map[string]string{"Front": w.addr(m, frontOffset), "ReadinessAddr": w.addr(m, readinessOffset), "Control": w.addr(m, controlOffset)},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": graceS,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "RecoveryS": 12, "MaxHoldMs": 1000,
			"StopGraceMs": 50, "GangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"RemoteFactor": 1.5, "CheckpointS": 2, "RestoreMs": 100, "LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100, "RetransmitMs": 1300,
		},
	}
	if m.side {
		s["MachineClass"] = "side"
	}
	if m.disk && role == roleControl {
		s["DataDir"] = filepath.Join(w.dir, m.name)
	}
	return s
}

func key(role, name string) string { return role + " " + name }

// start starts a process with the command of the deploy file.
func (w *world) start(role, name string) error {
	m := w.machine(name)
	k := key(role, name)
	w.mu.Lock()
	first := !w.started[k]
	w.started[k] = true
	w.mu.Unlock()
	data, err := json.Marshal(w.settings(m, role, first))
	if err != nil {
		return err
	}
	base := filepath.Join(w.dir, role+"-"+name)
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(base+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(w.program, role)
	cmd.Env = append(os.Environ(), "BAOBABSHORE_NODE_FILE="+base+".json")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := onForkThread(cmd.Start); err != nil {
		return err
	}
	p := &process{machine: m, role: role, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		w.rec.log("process %s ended: %v", k, err)
		close(p.done)
	}()
	w.mu.Lock()
	w.processes[k] = p
	w.mu.Unlock()
	w.rec.log("process %s started, pid %d", k, cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process that this program started.
func (w *world) signal(role, name string, s syscall.Signal) {
	w.mu.Lock()
	p := w.processes[key(role, name)]
	w.mu.Unlock()
	if p == nil {
		return
	}
	w.rec.log("signal %v to %s", s, key(role, name))
	_ = p.cmd.Process.Signal(s)
}

// startAll starts all processes, executors and the configuration.
func (w *world) startAll() error {
	for _, m := range w.machines {
		roles := []string{roleControl, roleEntry}
		if m.side {
			roles = []string{roleAgent}
		}
		for _, r := range roles {
			if err := w.start(r, m.name); err != nil {
				return err
			}
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, e := range w.executors {
		e.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
