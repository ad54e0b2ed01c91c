package ctl

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/baobabshore/baobabshore/devcluster"
)

// Guards against commands with a wrong text output, JSON output or exit code. The
// scripts run the compiled binary against a deployment on loopback.
func TestScripts(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(bin, "baobabctl"), "../cmd/baobabctl").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c, err := devcluster.Start(ctx, devcluster.Defaults(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(filepath.ListSeparator)+os.Getenv("PATH"))
			env.Setenv("BAOBAB_CONTROL", strings.Join(c.ControlAddresses(), ","))
			env.Setenv("BAOBAB_ENTRY", c.CallerAddresses()[0])
			env.Setenv("ENTRY2", c.CallerAddresses()[1])
			env.Setenv("OPS", c.OpsAddresses()["entry-1"])
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"exits": exits},
	})
}

// exits implements the script command "exits CODE COMMAND [ARG...]". It runs COMMAND
// and fails the script if the exit code differs from CODE.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND [ARG...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exitErr *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exitErr) {
		got = exitErr.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
