package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/loopback"
	"github.com/baobabshore/baobabshore/settings"
)

// Guards against a control node whose metrics page lacks its role, the age of its
// confirmation or the time of its syncs, and against a node that does not stop when
// its context is canceled.
func TestPagesShowTheNode(t *testing.T) {
	s := settings.DefaultControl()
	s.Node, s.FailureDomain, s.Data = "c1", "d1", filepath.Join(t.TempDir(), "data")
	s.Listen, s.Ops = loopback.FreeAddr(t), loopback.FreeAddr(t)
	s.Peers = []settings.Peer{{Node: ids.Node("c1"), Address: s.Listen}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, s) }()
	wanted := []string{
		"baobab_control_leads 1", "baobab_control_term 2", "baobab_control_sync_seconds_bucket",
		"baobab_control_confirmed_age_seconds", "baobab_control_members_live 0", "baobab_control_messages_in",
	}
	missing := fmt.Sprint(wanted)
	for end := time.Now().Add(30 * time.Second); missing != "" && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		page := get("http://" + s.Ops + "/metrics")
		missing = ""
		for _, w := range wanted {
			if !strings.Contains(page, w) {
				missing += w + "; "
			}
		}
	}
	if missing != "" {
		t.Errorf("not on the page: %s", missing)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("a planned stop: %v", err)
	}
}

// get returns the body of a page, empty while the page can't be reached.
func get(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
