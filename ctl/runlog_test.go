package ctl

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/baobabshore/baobabshore/upstreamsim"
)

// Guards against a sample upstream that answers a task before it logs the start. A
// test that reads the log, or kills the upstream, would find an answer without a start.
func TestRunLogWrittenBeforeAnswer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs.jsonl")
	log, err := openRunLog(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := upstreamsim.Start(upstreamsim.Options{Started: log.write})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, task := range []string{"/a", "/b"} {
		resp, err := http.Get("http://" + s.Addr() + task)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(data), `"path":"`+task+`"`) {
			t.Errorf("%s is answered and not in the log: %s", task, data)
		}
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
}
