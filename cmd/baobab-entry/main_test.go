package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/agent"
	"github.com/baobabshore/baobabshore/control"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/upstreamsim"
	"github.com/baobabshore/baobabshore/wire"
)

// daemonSettingsEnv names the environment variable that makes the test binary run as the
// daemon. Its value is the path of the settings file.
const daemonSettingsEnv = "BAOBAB_ENTRY_UNDER_TEST"

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

// startDaemon starts the daemon as a separate process and returns the address of its
// listener for callers.
func startDaemon(t *testing.T, controlAddr string) (*exec.Cmd, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.yaml")
	yaml := fmt.Sprintf("node: e1\nfailure_domain: d\nlisten: 127.0.0.1:0\nops: 127.0.0.1:0\ncallers: 127.0.0.1:0\ncontrol:\n  - %s\n", controlAddr)
	if err := os.WriteFile(path, []byte(yaml), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonSettingsEnv+"="+path)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	servingLine := regexp.MustCompile(`Serving callers at (\S+)\.$`)
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if match := servingLine.FindStringSubmatch(lines.Text()); match != nil {
			go io.Copy(io.Discard, logs)
			return cmd, match[1]
		}
	}
	t.Fatal("the daemon ended before it served callers")
	return nil, ""
}

// submitJob submits a job of one task and returns the status, 0 without a complete answer.
func submitJob(addr, wait string) int {
	body := `{"team":"t","service":"s","tasks":[{"path":"/x"}]}`
	resp, err := http.Post("http://"+addr+"/v1/jobs?wait="+wait, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a planned stop of an entry that aborts a job or exits with an error.
func TestSIGTERMFinishesJobsAndExitsWithZero(t *testing.T) {
	controlAddr := startControl(t)
	up, err := upstreamsim.Start(upstreamsim.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	a, err := agent.Start(t.Context(), agent.Options{
		Node: "a1", Domain: "d", Service: "s", Upstream: up.Addr(),
		Session: agent.NewSessionOpener(member.NewDirectory(controlAddr), rpc.Security{}, nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cmd, addr := startDaemon(t, controlAddr)
	for submitJob(addr, "30s") != 200 { // until the agent has granted credit to the entry
		time.Sleep(10 * time.Millisecond)
	}
	up.SetMode(upstreamsim.Hold)
	status := make(chan int, 1)
	go func() { status <- submitJob(addr, "30s") }()
	for up.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for submitJob(addr, "0s") != 503 { // until the entry has received the signal
		time.Sleep(time.Millisecond)
	}
	up.SetMode(upstreamsim.Serve)
	up.Release()
	if got := <-status; got != 200 {
		t.Errorf("job in progress: %d", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
