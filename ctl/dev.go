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
		"With --demo it submits work, injects faults, prints the results, and exits with 0 only if every promise holds."
	devUpstreamHelp = "Runs one sample upstream. It answers any request after its run time: {\"run_ms\": N} in the body, or --run-time. " +
		"With --log it appends one JSON line for each start."
)

// startTimeout bounds the time in which the whole system must start.
const startTimeout = 20 * time.Second

// demoTimeout bounds the run time of the demo, so that a hanging demo ends.
const demoTimeout = 60 * time.Second

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
		klog.SetLogger(klog.Logger{}) // discards all log lines
	}
	dataDir, remove, err := c.makeDataDir()
	if err != nil {
		return err
	}
	defer remove()
	c.app.printf("Starting three control nodes, two entries and eleven agents in %s.\n", dataDir)
	cluster, err := c.start(dataDir)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if c.Demo {
		ctx, cancel := context.WithTimeout(c.app.ctx, demoTimeout)
		defer cancel()
		if err := devcluster.Demo(ctx, cluster, c.app.Out); err != nil {
			return &exitError{ExitFailed, err}
		}
		return nil
	}
	if err := c.printInstructions(cluster, dataDir); err != nil {
		return err
	}
	<-c.app.ctx.Done()
	c.app.printf("Stopping.\n")
	return nil
}

func (c *devCommand) start(dataDir string) (*devcluster.Cluster, error) {
	ctx, cancel := context.WithTimeout(c.app.ctx, startTimeout)
	defer cancel()
	return devcluster.Start(ctx, devcluster.Defaults(dataDir))
}

func (c *devCommand) makeDataDir() (dir string, remove func(), err error) {
	if c.Data != "" {
		return c.Data, func() {}, nil
	}
	if dir, err = os.MkdirTemp("", "baobab-dev-"); err != nil {
		return "", nil, errors.Wrap(err, "data folder")
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

// printInstructions writes a sample job and the configuration to files, and prints the
// addresses of the system and commands to try.
func (c *devCommand) printInstructions(cluster *devcluster.Cluster, dataDir string) error {
	jobPath := filepath.Join(dataDir, "job.json")
	configPath := filepath.Join(dataDir, "cluster.yaml")
	if err := os.WriteFile(jobPath, []byte(sampleJob), 0o600); err != nil {
		return errors.Wrap(err, "sample job")
	}
	if err := os.WriteFile(configPath, settings.Print(cluster.Config()), 0o600); err != nil {
		return errors.Wrap(err, "sample configuration")
	}
	c.app.printf("Control nodes: %s\nEntries:       %s\n", strings.Join(cluster.ControlAddresses(), " "), strings.Join(cluster.CallerAddresses(), " "))
	opsAddresses := cluster.OpsAddresses()
	for _, node := range sortedNodes(opsAddresses) {
		c.app.printf("%s: http://%s/metrics and /dump\n", node, opsAddresses[node])
	}
	c.app.printf("\nIn another terminal:\n  export BAOBAB_CONTROL=%s BAOBAB_ENTRY=%s\n", strings.Join(cluster.ControlAddresses(), ","), cluster.CallerAddresses()[0])
	c.app.printf("Try:\n  go run ./cmd/baobabctl submit %s\n  go run ./cmd/baobabctl status\n  go run ./cmd/baobabctl apply %s --wait\n\nPress Ctrl-C to stop.\n", jobPath, configPath)
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
		return usageError("--speed and --slots must be positive")
	}
	log, err := openRunLog(c.Log)
	if err != nil {
		return err
	}
	s, err := upstreamsim.Start(upstreamsim.Options{
		Addr: c.Listen, Slots: c.Slots, Speed: c.Speed, RunTime: time.Duration(c.RunTime), Started: log.write,
	})
	if err != nil {
		_ = log.Close() // safe to ignore: nothing has been written
		return err
	}
	c.app.printf("Sample upstream on %s.\n", s.Addr())
	<-c.app.ctx.Done()
	if err := s.Close(); err != nil {
		return err
	}
	return log.Close()
}
