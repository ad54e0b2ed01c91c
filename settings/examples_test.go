package settings

import (
	"path/filepath"
	"slices"
	"testing"
)

// exampleSettings holds the settings files of one example deployment.
type exampleSettings struct {
	cluster  Cluster
	controls []Control
	entries  []Entry
	agents   []Agent
}

func loadAll[T any](t *testing.T, pattern string, loadFile func(string) (T, error)) []T {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: %v, %v", pattern, files, err)
	}
	var out []T
	for _, file := range files {
		v, err := loadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, v)
	}
	return out
}

func loadExample(t *testing.T, dir string) exampleSettings {
	t.Helper()
	return exampleSettings{
		cluster:  loadAll(t, filepath.Join(dir, "cluster.yaml"), LoadCluster)[0],
		controls: loadAll(t, filepath.Join(dir, "control-*.yaml"), LoadControl),
		entries:  loadAll(t, filepath.Join(dir, "entry-*.yaml"), LoadEntry),
		agents:   loadAll(t, filepath.Join(dir, "agent-*.yaml"), LoadAgent),
	}
}

// Guards against an example that fails validation, or whose processes can't work
// together, for example because two of them use the same address.
func TestExamples(t *testing.T) {
	listenerByAddress := map[string]string{}
	for _, dir := range []string{"../examples/gt-centro", "../examples/sydjylland"} {
		d := loadExample(t, dir)
		if len(d.controls) != 3 || len(d.entries) != 2 || len(d.agents) != 11 {
			t.Errorf("%s: %d control nodes, %d entries, %d agents", dir, len(d.controls), len(d.entries), len(d.agents))
		}
		addListeners := func(node string, addresses ...string) {
			for _, a := range addresses {
				if other, taken := listenerByAddress[a]; taken {
					t.Errorf("%s: %s is used by %s and %s", dir, a, other, node)
				}
				listenerByAddress[a] = dir + "/" + node
			}
		}
		var control []string
		for _, c := range d.controls {
			addListeners(string(c.Node), c.Listen, c.Ops)
			control = append(control, c.Listen)
			if !slices.Equal(c.Peers, d.controls[0].Peers) || !slices.Contains(c.Peers, Peer{c.Node, c.Listen}) {
				t.Errorf("%s: peers of %s", dir, c.Node)
			}
		}
		for _, e := range d.entries {
			addListeners(string(e.Node), e.Listen, e.Ops, e.Callers)
			if !slices.Equal(e.Control, control) {
				t.Errorf("%s: control nodes of %s", dir, e.Node)
			}
		}
		for _, a := range d.agents {
			addListeners(string(a.Node), a.Listen, a.Ops, a.Upstream)
			s, ok := d.cluster.Services[a.Service]
			if !ok || s.Slots != a.Slots || s.Connections != a.Connections || !slices.Equal(a.Control, control) {
				t.Errorf("%s: service or control nodes of %s", dir, a.Node)
			}
		}
	}
}
