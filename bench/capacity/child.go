package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/entry"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/ops"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
)

// roleConfig is what a started process reads first from its input. After that
// each line asks for its usage, and the end of the input ends it.
type roleConfig struct {
	Node     string         `json:"node"`
	Data     string         `json:"data"`
	Peers    []control.Peer `json:"peers"`
	Control  []string       `json:"control"`
	Upstream string         `json:"upstream"`
}

// ready is the first line of a started process's output.
type ready struct {
	Addr     string `json:"addr"` // of callers at an entry
	Instance string `json:"instance"`
}

// RunRole runs one daemon until its input ends.
func RunRole(role string) error {
	in := bufio.NewScanner(os.Stdin)
	if !in.Scan() {
		return errors.New("no configuration on the input")
	}
	var c roleConfig
	if err := json.Unmarshal(in.Bytes(), &c); err != nil {
		return err
	}
	counters := &rpc.Counters{}
	r, closer, err := openRole(role, c, counters)
	if err != nil {
		return err
	}
	defer closer.Close()
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(r); err != nil {
		return err
	}
	for in.Scan() {
		if err := out.Encode(measure(counters)); err != nil {
			return err
		}
	}
	return in.Err()
}

func openRole(role string, c roleConfig, counters *rpc.Counters) (ready, io.Closer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	switch role {
	case "control":
		n, err := control.Start(control.Options{
			Node: ids.Node(c.Node), Listen: "127.0.0.1:0", Data: c.Data, Peers: c.Peers, Counters: counters,
		})
		if err != nil {
			return ready{}, nil, err
		}
		return ready{Addr: n.Addr(), Instance: n.Instance()}, n, nil
	case "entry":
		pages, err := ops.New(ops.Options{Addr: "127.0.0.1:0", Prefix: "baobab_entry"})
		if err != nil {
			return ready{}, nil, err
		}
		s := settings.DefaultEntry()
		s.Node, s.FailureDomain, s.Control = ids.Node(c.Node), "gt-centro-a", c.Control
		s.Listen, s.Callers = "127.0.0.1:0", "127.0.0.1:0"
		o := entry.FromSettings(s, rpc.Security{})
		o.Scope, o.Counters = pages.Scope(), counters
		o.Session = entry.NewSessionOpener(member.NewDirectory(s.Control...), rpc.Security{}, counters)
		e, err := entry.Start(ctx, o)
		if err != nil {
			return ready{}, nil, err
		}
		return ready{Addr: e.Callers()}, e, nil
	case "agent":
		pages, err := ops.New(ops.Options{Addr: "127.0.0.1:0", Prefix: "baobab_agent"})
		if err != nil {
			return ready{}, nil, err
		}
		a, err := openAgent(ctx, c, counters, pages)
		return ready{}, a, err
	}
	return ready{}, nil, errors.Errorf("unknown role %q", role)
}

func openAgent(ctx context.Context, c roleConfig, counters *rpc.Counters, pages *ops.Server) (*agent.Agent, error) {
	s := settings.DefaultAgent()
	s.Node, s.FailureDomain, s.Control = ids.Node(c.Node), "gt-centro-a", c.Control
	s.Listen, s.Service, s.Upstream = "127.0.0.1:0", "svc-1", c.Upstream
	o := agent.FromSettings(s, rpc.Security{})
	o.Counters = counters
	if pages != nil {
		o.Scope = pages.Scope()
	}
	o.Session = agent.NewSessionOpener(member.NewDirectory(s.Control...), rpc.Security{}, counters)
	return agent.Start(ctx, o)
}

const startTimeout = 20 * time.Second

// process is a daemon of its own process, started by this one.
type process struct {
	ready
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

func startProcess(role string, c roleConfig) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(self, "-role", role)}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2") // as on a small VM
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewScanner(out)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if err := p.ask(c, &p.ready); err != nil {
		p.stop()
		return nil, errors.Wrapf(err, "%s %s", role, c.Node)
	}
	return p, nil
}

func (p *process) ask(question, answer any) error {
	if err := json.NewEncoder(p.in).Encode(question); err != nil {
		return err
	}
	if !p.out.Scan() {
		return errors.New("the process has ended")
	}
	return json.Unmarshal(p.out.Bytes(), answer)
}

// stop ends the process by the end of its input, and by its id if that is not enough.
func (p *process) stop() {
	p.in.Close()
	timer := time.AfterFunc(startTimeout, func() { _ = p.cmd.Process.Kill() }) // it has ended otherwise
	defer timer.Stop()
	_ = p.cmd.Wait() // its exit status does not matter any more
}

// rate is the use of a process in each second of a window.
type rate struct {
	cpu            float64 // microseconds
	in, out        float64 // bytes
	messages       float64
	heap, resident float64 // bytes, at the end of the window
	seconds        float64
}

// watch measures a process during f.
func (p *process) watch(f func()) (rate, error) {
	var a, b Usage
	if err := p.ask("usage", &a); err != nil {
		return rate{}, err
	}
	f()
	if err := p.ask("usage", &b); err != nil {
		return rate{}, err
	}
	s := b.At.Sub(a.At).Seconds()
	return rate{
		cpu: float64(b.CPU-a.Collected) / 1e3 / s,
		in:  float64(b.BytesIn-a.BytesIn) / s, out: float64(b.BytesOut-a.BytesOut) / s,
		messages: float64(b.Messages-a.Messages) / s,
		heap:     float64(b.Heap), resident: float64(b.Resident), seconds: s,
	}, nil
}
