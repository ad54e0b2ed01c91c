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

// daemonEnv makes the test binary run as the daemon.
const daemonEnv = "BAOBAB_ENTRY_UNDER_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		os.Args = append(os.Args[:1], "--settings", os.Getenv(daemonEnv))
		main()
		return
	}
	os.Exit(m.Run())
}

func startControl(t *testing.T) string {
	t.Helper()
	n, err := control.Start(control.Options{Node: "c1", Listen: "127.0.0.1:0", Data: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	client, err := member.NewClient(member.ClientOptions{Servers: []string{n.Addr()}})
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
	return n.Addr()
}

// startDaemon runs the daemon as a process and returns the callers' address.
func startDaemon(t *testing.T, controlAddr string) (*exec.Cmd, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.yaml")
	text := fmt.Sprintf("node: e1\nfailure_domain: d\nlisten: 127.0.0.1:0\nops: 127.0.0.1:0\ncallers: 127.0.0.1:0\ncontrol:\n  - %s\n", controlAddr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonEnv+"="+path)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	serving := regexp.MustCompile(`Serving callers at (\S+)\.$`)
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			go io.Copy(io.Discard, logs)
			return cmd, m[1]
		}
	}
	t.Fatal("the daemon ended before it served callers")
	return nil, ""
}

// post submits a job and returns the status, 0 when there is no whole answer.
func post(addr, wait string) int {
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

// Guards against a planned stop that cuts off a job or ends with an error.
func TestSIGTERMFinishesJobsAndExitsWithZero(t *testing.T) {
	controlAddr := startControl(t)
	up, err := upstreamsim.Start(upstreamsim.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	a, err := agent.Start(t.Context(), agent.Options{
		Node: "a1", Domain: "d", Service: "s", Upstream: up.Addr(),
		Session: agent.ControlGroup(member.NewDirectory(controlAddr), rpc.Security{}, nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cmd, addr := startDaemon(t, controlAddr)
	for post(addr, "30s") != 200 { // until the entry has credit
		time.Sleep(10 * time.Millisecond)
	}
	up.SetMode(upstreamsim.Hold)
	status := make(chan int, 1)
	go func() { status <- post(addr, "30s") }()
	for up.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for post(addr, "0s") != 503 { // until the signal has arrived
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
