package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an invalid file that is accepted, and against an error that is
// reported without its position or a fix.
func TestLoadReportsAllProblems(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string // prefix of each problem, in order
	}{
		"unknown key":    {"services: {web: {slot: 3}}\nteams: {a: {}}\n", []string{"f:1:18: services.web.slot: unknown key. Fix: write slots"}},
		"wrong type":     {"services: {web: {slots: '3'}}\nteams: {a: {quota: [1]}}\n", []string{"f:1:25: services.web.slots: wrong type", "f:2:20: teams.a.quota: wrong type"}},
		"duplicate":      {"services: {web: }\nteams: {a: {}, a: {}}\n", []string{"f:2:16: teams.a: the key is also on line 2"}},
		"range":          {"services: {web: {timeout: 2h}}\nteams: {a: {quota: 0}}\n", []string{"f:1:27: services.web.timeout: 2h is out of range", "f:2:20: teams.a.quota: 0 is out of range"}},
		"contradictions": {"services: {web: {slots: 9, connections: 8}}\nteams: {a: }\njobs: {retention: 30m}\n", []string{"f:1:41: services.web.connections: 8 conn", "f:3:19: jobs.retention: 30m is below"}},
		"no team":        {"services: {web: }\n", []string{"f:1:1: teams: there is no team"}},
		"empty":          {"", []string{"f:1:1: teams", "f:1:1: services"}},
		"syntax":         {"services:\n  web: [\n", []string{"f:2:8: not valid YAML"}},
		"two documents":  {"services: {web: }\nteams: {a: }\n---\nservices: {web: }\n", []string{"f:4:9: the file contains a second document"}},
		"octal":          {"services: {web: {slots: 010}}\nteams: {a: }\n", []string{"f:1:25: services.web.slots: \"010\" is ambiguous"}},
		"merge":          {"x: &x {slots: 1}\nservices: {web: {<<: *x}}\nteams: {a: }\n", []string{"f:1:4: \"&\": anchors", "f:2:18: \"<<\": anchors", "f:2:22: \"*\": anchors"}},
		"name":           {"services: {We.b: }\nteams: {a: }\n", []string{"f:1:12: services.We.b: \"We.b\" is not a name"}},
		"number":         {"dispatch: {tradeoff: .inf}\nservices: {web: }\nteams: {a: {quota: 99999999999999999999}}\n", []string{"f:1:22: dispatch.tradeoff: wrong type", "f:3:20: teams.a.quota: wrong type (the string \"99999999999999999999\")"}},
	} {
		_, err := LoadClusterBytes("f", []byte(c.text))
		checkProblems(t, name, err, c.want)
	}
}

func checkProblems(t *testing.T, name string, err error, want []string) {
	t.Helper()
	var got Problems
	errors.As(err, &got)
	ok := len(got) == len(want)
	for i := range min(len(got), len(want)) {
		ok = ok && strings.HasPrefix(got[i].String(), want[i]) && got[i].Fix != ""
	}
	if !ok {
		t.Errorf("%s: got\n%v\nwant\n%s", name, err, strings.Join(want, "\n"))
	}
}

// Guards against a small, deeply nested file that exhausts the memory of the
// process: the parser's memory grows with the square of the nesting.
func TestLoadRejectsDeepNesting(t *testing.T) {
	for _, s := range []string{"[", "{a: ", "- ", "? ", "&a ", "!t ", "a:\n ", "!t\n", "? \n"} {
		if _, err := LoadClusterBytes("f", []byte(strings.Repeat(s, 20_000/len(s)))); err == nil {
			t.Errorf("%q repeated was accepted", s)
		}
	}
}

// Guards against a daemon that listens on a public address without a token or TLS,
// or starts with unusable addresses.
func TestLoadReportsDaemonProblems(t *testing.T) {
	const requiredKeys = "node: n\nfailure_domain: d\n"
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"exposed":   {requiredKeys + "listen: '10.0.0.1:7'\nops: ':8'\ncontrol: ['c:1']\n", []string{"f:3:9: listen: \"10.0.0.1:7\" is reachable", "f:4:6: ops: \":8\" is reachable"}},
		"token":     {requiredKeys + "listen: '10.0.0.1:7'\ntoken_file: t\ncontrol: ['c:1']\n", nil},
		"half TLS":  {requiredKeys + "tls: {cert: a}\ncontrol: ['c:1']\n", []string{"f:3:1: tls.key", "f:3:1: tls.ca"}},
		"wildcard":  {requiredKeys + "listen: ':7'\ntoken_file: t\ncontrol: ['c:1']\n", []string{"f:1:1: advertise: listen \":7\""}},
		"addresses": {requiredKeys + "listen: localhost\ncontrol: ['c:0', 'c:99999', ':1']\n", []string{"f:3:9: listen", "f:4:11: control.0", "f:4:18: control.1", "f:4:29: control.2"}},
		"same port": {requiredKeys + "listen: '127.0.0.1:7'\nops: '127.0.0.1:7'\ncontrol: ['c:1']\n", []string{"f:4:6: ops: \"127.0.0.1:7\" is also"}},
		"missing":   {"", []string{"f:1:1: node", "f:1:1: failure_domain", "f:1:1: control"}},
	} {
		_, err := LoadEntryBytes("f", []byte(c.text))
		checkProblems(t, name, err, c.want)
	}
	_, err := LoadControlBytes("f", []byte(requiredKeys+"data: d\npeers: [{node: a, address: 'c:1'}, {node: a, address: 'c:1'}]\n"))
	checkProblems(t, "peers", err, []string{"f:4:1: peers: this node", "f:4:43: peers.1.node", "f:4:55: peers.1.address"})
	_, err = LoadAgentBytes("f", []byte(requiredKeys+"control: ['c:1']\nservice: web\nupstream: 'h:1'\nslots: 65\n"))
	checkProblems(t, "agent", err, []string{"f:1:1: connections: 64 connections are fewer"})
}

// Guards against printed settings that are rejected when loaded, load as different
// values, or print differently the second time.
func TestPrintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clusterGen.Draw(t, "cluster")
		text := Print(c)
		got, err := LoadClusterBytes("printed", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if !reflect.DeepEqual(got, c) || !bytes.Equal(Print(got), text) {
			t.Fatalf("got %+v, want %+v\n%s", got, c, text)
		}
	})
}

// Guards against daemon settings that change when they are printed and loaded.
func TestPrintDaemonRoundTrip(t *testing.T) {
	c := DefaultControl()
	c.Node, c.FailureDomain, c.Data = "null", "d", `a "b" \c`
	c.Peers = []Peer{{"null", "127.0.0.1:1"}, {"2", "[::1]:2"}, {"x", "host:3"}}
	if got, err := LoadControlBytes("f", Print(c)); err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("control: %v\n%s", err, Print(c))
	}
	e := DefaultEntry()
	e.Node, e.FailureDomain, e.Control, e.Weight = "e", "d", []string{"h:1"}, 3
	if got, err := LoadEntryBytes("f", Print(e)); err != nil || !reflect.DeepEqual(got, e) {
		t.Errorf("entry: %v\n%s", err, Print(e))
	}
	a := DefaultAgent()
	a.Node, a.FailureDomain, a.Control, a.Service, a.Upstream = "a", "d", []string{"h:1"}, "on", "h:2"
	if got, err := LoadAgentBytes("f", Print(a)); err != nil || !reflect.DeepEqual(got, a) {
		t.Errorf("agent: %v\n%s", err, Print(a))
	}
}

// Guards against a builder that accepts contradictory settings.
func TestBuilder(t *testing.T) {
	c, err := NewCluster().Service("mostrador").Team("acme", func(t *Team) { t.Quota = 3 }).Build()
	if err != nil || c.Teams["acme"].Quota != 3 || c.Services["mostrador"] != DefaultService() {
		t.Errorf("%v %v", c, err)
	}
	if _, err := NewCluster().Service("mostrador", func(s *Service) { s.Connections = 1 }).Build(); err == nil {
		t.Error("a service with fewer connections than slots and no team was accepted")
	}
}

// Guards against a missing or short token file that leaves a listener without
// authentication.
func TestReadTokenRejectsMissingOrShort(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	if _, err := ReadToken(path); err == nil {
		t.Error("a missing file was accepted")
	}
	if err := os.WriteFile(path, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadToken(path); err == nil {
		t.Error("a short token was accepted")
	}
}

// Guards against a file that crashes a daemon, and against an accepted file whose
// values differ after printing and loading.
func FuzzLoadCluster(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := LoadClusterBytes("fuzz", data)
		if err != nil {
			var ps Problems
			if !errors.As(err, &ps) || len(ps) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		text := Print(c)
		again, err := LoadClusterBytes("printed", text)
		if err != nil || !reflect.DeepEqual(again, c) {
			t.Fatalf("printed form differs: %v\n%s", err, text)
		}
	})
}
