package ctl

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/baobabshore/baobabshore/devcluster"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
)

const (
	devHelp = "Runs the whole system in this process on loopback: three control nodes, two entries of unequal weight, " +
		"and eleven agents with sample upstreams of different speed. It prints the addresses and stays up until interrupted. " +
		"With --demo it submits work, disturbs the system, prints what came of it, and exits with 0 only if every promise holds."
	devUpstreamHelp = "Runs one sample upstream. It answers any request after its run time: {\"run_ms\": N} in the body, or --run-time. " +
		"With --log it appends one JSON line for each start."
)

// startBound bounds the start of the system in one process.
const startBound = 20 * time.Second

// demoBound ends a demo that hangs.
const demoBound = 60 * time.Second

type devCommand struct {
	app  *app
	Demo bool   `long:"demo" description:"submit work, disturb the system, check the promises, and end"`
	Data string `long:"data" value-name:"DIR" description:"folder for the data, empty or absent (default: a temporary one, removed at the end)"`
	Logs bool   `long:"logs" description:"write the log lines of all parts to standard error"`
}

// Execute runs the system.
func (c *devCommand) Execute([]string) error {
	if !c.Logs {
		klog.LogToStderr(false)
		klog.SetLogger(klog.Logger{}) // drops the lines
	}
	data, remove, err := c.folder()
	if err != nil {
		return err
	}
	defer remove()
	c.app.printf("Starting three control nodes, two entries and eleven agents in %s.\n", data)
	cluster, err := c.start(data)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if c.Demo {
		ctx, cancel := context.WithTimeout(c.app.ctx, demoBound)
		defer cancel()
		if err := devcluster.Demo(ctx, cluster, c.app.Out); err != nil {
			return &exit{ExitFailed, err}
		}
		return nil
	}
	if err := c.printUsage(cluster, data); err != nil {
		return err
	}
	<-c.app.ctx.Done()
	c.app.printf("Stopping.\n")
	return nil
}

func (c *devCommand) start(data string) (*devcluster.Cluster, error) {
	ctx, cancel := context.WithTimeout(c.app.ctx, startBound)
	defer cancel()
	return devcluster.Start(ctx, devcluster.Defaults(data))
}

func (c *devCommand) folder() (dir string, remove func(), err error) {
	if c.Data != "" {
		return c.Data, func() {}, nil
	}
	if dir, err = os.MkdirTemp("", "baobab-dev-"); err != nil {
		return "", nil, errors.Wrap(err, "data folder")
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

// printUsage writes two files to try and prints the addresses and commands.
func (c *devCommand) printUsage(cluster *devcluster.Cluster, data string) error {
	job := filepath.Join(data, "job.json")
	conf := filepath.Join(data, "cluster.yaml")
	if err := os.WriteFile(job, []byte(sampleJob), 0o600); err != nil {
		return errors.Wrap(err, "sample job")
	}
	if err := os.WriteFile(conf, settings.Print(cluster.Config()), 0o600); err != nil {
		return errors.Wrap(err, "sample configuration")
	}
	c.app.printf("Control nodes: %s\nEntries:       %s\n", strings.Join(cluster.ControlAddresses(), " "), strings.Join(cluster.CallerAddresses(), " "))
	pages := cluster.OpsAddresses()
	for _, node := range sortedNodes(pages) {
		c.app.printf("%s: http://%s/metrics and /dump\n", node, pages[node])
	}
	c.app.printf("\nIn another terminal:\n  export BAOBAB_CONTROL=%s BAOBAB_ENTRY=%s\n", strings.Join(cluster.ControlAddresses(), ","), cluster.CallerAddresses()[0])
	c.app.printf("Try:\n  go run ./cmd/baobabctl submit %s\n  go run ./cmd/baobabctl status\n  go run ./cmd/baobabctl apply %s --wait\n\nPress Ctrl-C to stop.\n", job, conf)
	return nil
}

func sortedNodes(m map[ids.Node]string) []ids.Node {
	var nodes []ids.Node
	for n := range m {
		nodes = append(nodes, n)
	}
	slices.Sort(nodes)
	return nodes
}

const sampleJob = `{
  "team": "centro",
  "service": "mostrador",
  "key": "sample-1",
  "deadline_ms": 10000,
  "tasks": [
    {"path": "/price", "body": {"run_ms": 120, "echo": "a"}},
    {"path": "/price", "body": {"run_ms": 80, "echo": "b"}}
  ]
}
`

type devUpstreamCommand struct {
	app     *app
	Listen  string   `long:"listen" default:"127.0.0.1:9000" value-name:"HOST:PORT" description:"address to listen on"`
	Slots   int      `long:"slots" default:"8" description:"requests at once that it is built for; more run as well and are reported"`
	Speed   float64  `long:"speed" default:"1" description:"divides each run time; 2 is twice as fast"`
	RunTime duration `long:"run-time" default:"100ms" value-name:"TIME" description:"run time of a request that names none"`
	Log     string   `long:"log" value-name:"FILE" description:"append one JSON line for each start"`
}

// Execute runs the upstream until it is interrupted.
func (c *devUpstreamCommand) Execute([]string) error {
	if c.Speed <= 0 || c.Slots <= 0 {
		return usage("--speed and --slots must be above zero")
	}
	log, err := openRunLog(c.Log)
	if err != nil {
		return err
	}
	s, err := upstreamsim.Start(upstreamsim.Options{
		Addr: c.Listen, Slots: c.Slots, Speed: c.Speed, RunTime: time.Duration(c.RunTime), Started: log.write,
	})
	if err != nil {
		_ = log.Close() // nothing has been written
		return err
	}
	c.app.printf("Sample upstream on %s.\n", s.Addr())
	<-c.app.ctx.Done()
	if err := s.Close(); err != nil {
		return err
	}
	return log.Close()
}
