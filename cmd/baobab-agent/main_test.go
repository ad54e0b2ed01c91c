package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/entry"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// daemonSettingsEnv names the environment variable that makes the test binary run as the
// daemon. Its value is the path of the settings file.
const daemonSettingsEnv = "BAOBAB_AGENT_UNDER_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(daemonSettingsEnv) != "" {
		os.Args = append(os.Args[:1], "--settings", os.Getenv(daemonSettingsEnv))
		main()
		return
	}
	os.Exit(m.Run())
}

func startControl(t *testing.T) string {
	t.Helper()
	node, err := control.Start(control.Options{Node: "c1", Listen: "127.0.0.1:0", Data: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close() })
	client, err := member.NewClient(member.ClientOptions{Servers: []string{node.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c := settings.DefaultCluster()
	c.Services["s"] = settings.DefaultService()
	c.Teams["t"] = settings.DefaultTeam()
	r, err := client.Apply(t.Context(), wire.Apply{Expect: wire.AnyVersion, Pairs: settings.Flatten(c)})
	if err != nil || r.Err != nil {
		t.Fatalf("apply: %v %v", err, r.Err)
	}
	return node.Addr()
}

// startDaemon starts the daemon as a separate process.
func startDaemon(t *testing.T, controlAddr, upstream string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.yaml")
	yaml := fmt.Sprintf("node: a1\nfailure_domain: d\nservice: s\nlisten: 127.0.0.1:0\nops: 127.0.0.1:0\nupstream: %s\ncontrol:\n  - %s\n", upstream, controlAddr)
	if err := os.WriteFile(path, []byte(yaml), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonSettingsEnv+"="+path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd
}

// requestTimeout limits a request that the entry accepted just before the agent began to
// drain. The entry keeps it until its deadline, since another upstream may register.
const requestTimeout = 200 * time.Millisecond

// requestStatus sends a single request and returns its status, 0 without a complete answer.
func requestStatus(addr string) int {
	client := http.Client{Timeout: requestTimeout}
	req, err := http.NewRequest("GET", "http://"+addr+"/v1/services/s/x", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Baobab-Team", "t")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a planned stop of an agent that loses a running task or its answer, or
// exits with an error.
func TestSIGTERMHandsOverAnswersAndExitsWithZero(t *testing.T) {
	controlAddr := startControl(t)
	up, err := upstreamsim.Start(upstreamsim.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	cmd := startDaemon(t, controlAddr, up.Addr())
	e, err := entry.Start(t.Context(), entry.Options{
		Node: "e1", Domain: "d",
		Session: entry.NewSessionOpener(member.NewDirectory(controlAddr), rpc.Security{}, nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	for requestStatus(e.Callers()) != 200 { // until the agent has granted credit to the entry
		time.Sleep(10 * time.Millisecond)
	}
	up.SetMode(upstreamsim.Hold)
	status := make(chan int, 1)
	go func() { status <- submitJob(e.Callers()) }()
	for up.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	up.SetMode(upstreamsim.Serve)
	for requestStatus(e.Callers()) != 503 { // until the agent refuses new tasks
		time.Sleep(time.Millisecond)
	}
	up.Release()
	if got := <-status; got != 200 {
		t.Errorf("job in progress: %d", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// submitJob submits a job of one task, waits for its end and returns the status, 0 without
// an answer.
func submitJob(addr string) int {
	body := `{"team":"t","service":"s","tasks":[{"path":"/x"}]}`
	resp, err := http.Post("http://"+addr+"/v1/jobs?wait=30s", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
