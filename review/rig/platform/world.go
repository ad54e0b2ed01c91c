package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The small deployment: three front machines with a disk, which run control and entry, and
// three side machines with an agent and an executor each.
const (
	fronts      = 3
	sides       = 3
	memoryMb    = 284 // of a process on a front machine
	sideMemory  = 152
	host        = "h1.example"
	prefix      = "/q1/"
	service     = "fugtlaan"
	retransmit  = 1300 * time.Millisecond
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second

	portFront     = 16
	portReadiness = 17
	portControl   = 18
	portExecutor  = 19
)

// process is one program of the project.
type process struct {
	role, node, ip string
	index          int // of its machine among those of its class
	cmd            *exec.Cmd
	exited         chan struct{}
}

// world is the deployment under test.
type world struct {
	rec       *record
	root, dir string
	net       int // second byte of the addresses
	port      int
	processes map[string]*process
	executors []*executor
	version   int
}

func newWorld(rec *record, root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, root: root, dir: dir, processes: map[string]*process{}}
	for range 50 {
		w.net, w.port = 20+rand.IntN(200), 12000+20*rand.IntN(900)
		if w.portsAreFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (w *world) portsAreFree() bool {
	for offset := range 20 {
		l, err := net.Listen("tcp", w.addr(w.frontIP(0), offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (w *world) frontIP(i int) string { return fmt.Sprintf("127.%d.1.%d", w.net, i+1) }
func (w *world) sideIP(i int) string  { return fmt.Sprintf("127.%d.2.%d", w.net, i+1) }
func (w *world) addr(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(w.port+offset))
}
func (w *world) frontAddr(i int) string   { return w.addr(w.frontIP(i), portFront) }
func (w *world) controlAddr(i int) string { return w.addr(w.frontIP(i), portControl) }

// start starts all processes and executors, and waits until a job is served.
func (w *world) start() error {
	for i := range fronts {
		if err := w.run("control", i, true); err != nil {
			return err
		}
	}
	for i := range fronts {
		if err := w.run("entry", i, true); err != nil {
			return err
		}
	}
	for i := range sides {
		if err := w.run("agent", i, true); err != nil {
			return err
		}
		ip := w.sideIP(i)
		x := newExecutor(w.rec, fmt.Sprintf("i-%d", i+1), w.addr(ip, portExecutor), w.addr(ip, portControl), zone(i), kind(i), service)
		if err := x.start(); err != nil {
			return err
		}
		w.executors = append(w.executors, x)
	}
	w.version = 2
	for end := time.Now().Add(15 * time.Second); !w.putConfig(w.config()); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("no configuration is acknowledged")
		}
	}
	for i := range fronts {
		if err := w.awaitService(i, 15*time.Second); err != nil {
			return err
		}
	}
	w.rec.add("the deployment serves")
	return nil
}

// awaitService waits until an entry completes a small job.
func (w *world) awaitService(entry int, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		a := w.post(entry, newID(), smallJob(20, 1), 1500*time.Millisecond)
		if a.status == http.StatusOK {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("entry %d serves nothing: %v", entry+1, a)
		}
	}
}

func zone(i int) string { return "zone-" + string(rune('a'+i)) }

// kind is the kind of the executors on a side machine.
func kind(i int) string { return string(rune('a' + i)) }

// run starts the process of a role on a machine, as the deploy file says.
func (w *world) run(role string, i int, bootstrap bool) error {
	ip, class := w.frontIP(i), "front"
	if role == "agent" {
		ip, class = w.sideIP(i), "side"
	}
	name := fmt.Sprintf("%s-%d/%s", class, i+1, role)
	p := w.processes[name]
	if p == nil {
		p = &process{role: role, node: fmt.Sprintf("%s-%s-1", class, zone(i)), ip: ip, index: i}
		w.processes[name] = p
	}
	file, err := w.writeSettings(p, class, i, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, strings.ReplaceAll(name, "/", "-")+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	p.cmd = exec.Command(filepath.Join(w.root, "target", "baobab-node"), role)
	p.cmd.Dir = w.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABSHORE_NODE_FILE=" + file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() { _ = cmd.Wait(); close(exited) }() // the exit is seen on the channel
	return nil
}

func (w *world) writeSettings(p *process, class string, i int, bootstrap bool) (string, error) {
	serves, cpu, memory, dataDir := []string{p.role}, 0.8, memoryMb, filepath.Join(w.dir, fmt.Sprintf("data-%s-%s", p.node, p.role))
	switch p.role {
	case "entry":
		serves = []string{"front"}
	case "agent":
		serves, cpu, memory, dataDir = []string{"side"}, 0.24, sideMemory, ""
	}
	var seeds []string
	for k := range fronts {
		seeds = append(seeds, w.controlAddr(k))
	}
	settings := map[string]any{
		"NodeName": p.node, "Role": p.role, "MachineClass": class, "Serves": serves, "Ip": p.ip, "Zone": zone(i), "Region": "area",
		"InternalPorts": []int{w.port, w.port + portFront - 1}, "SeedNodes": seeds, "Bootstrap": bootstrap, "LossCounts": class == "front",
		"DataDir": dataDir, "Discovery": "local", "EntryPoint": "vip", "HeartbeatMs": heartbeatInterval.Milliseconds(),
		"Contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"}, "config_mode": "highest", "Orders": "invocation",
		"Zones": map[string]string{zone(0): "area", zone(1): "area", zone(2): "area"},
		"BindAddrs": map[string]string{
			"Front": w.addr(p.ip, portFront), "ReadinessAddr": w.addr(p.ip, portReadiness), "Control": w.addr(p.ip, portControl),
		},
		"Limits":         map[string]any{"CpuShare": cpu, "CpuCores": 1, "MemoryMb": memory, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 128},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
			"ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "RecoveryS": 12, "MaxHoldMs": 1000, "StopGraceMs": 50, "GangWaitMs": 3000,
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "RemoteFactor": 1.5, "CheckpointS": 2, "RestoreMs": 100,
			"NoticeMs": 4500, "MigrationS": 1.5, "MaintenanceS": 2, "FencingRequired": true, "LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100,
			"InterferenceMs": 4000, "RetransmitMs": 1300,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	file := filepath.Join(w.dir, p.node+"-"+p.role+".json")
	return file, os.WriteFile(file, data, 0o600)
}

// kill ends a process with SIGKILL and waits for its end.
func (w *world) kill(name string) {
	p := w.processes[name]
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.exited
	w.rec.add("%s is killed", name)
}

// restart starts a process again after it has ended.
func (w *world) restart(name string) error {
	p := w.processes[name]
	w.rec.add("%s is started again", name)
	return w.run(p.role, p.index, false)
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// residentMb returns the memory of a process, zero if it has ended.
func (p *process) residentMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// close ends all processes, shows the tails of their logs on failure, and removes the folder.
func (w *world) close() {
	for _, x := range w.executors {
		x.close()
	}
	for _, p := range w.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill() // it may have ended already
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir) // a temporary folder
	}
}

// config returns the configuration of the version in force.
func (w *world) config() []byte {
	data, _ := json.Marshal(map[string]any{
		"Version": w.version,
		"Routes": []map[string]any{{
			"Name": "r-one", "Host": host, "PathPrefix": prefix, "RouteType": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 60,
			"Priority": 1, "Service": service, "MaxAttempts": 4, "Stretch": 1.6,
		}},
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": false, "Standby": false}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return data
}

// putConfig sends a configuration to the control nodes in turn until one acknowledges it.
func (w *world) putConfig(body []byte) bool {
	for i := range fronts {
		req, err := http.NewRequest(http.MethodPut, "http://"+w.controlAddr(i)+"/-/config", bytes.NewReader(body))
		if err != nil {
			return false
		}
		c := http.Client{Timeout: time.Second}
		resp, err := c.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
