package entry

import (
	"strings"
	"testing"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// TestParseJobRefuses guards against malformed jobs that are accepted, or refused
// without naming the cause.
func TestParseJobRefuses(t *testing.T) {
	task := `"tasks":[{"path":"/x"}]`
	for name, c := range map[string]struct{ body, detail string }{
		"syntax":         {`{"team":`, "EOF"},
		"not an object":  {`[]`, "array"},
		"unknown field":  {`{"team":"t","service":"s","colour":1,` + task + `}`, "colour"},
		"unknown inner":  {`{"team":"t","service":"s","tasks":[{"path":"/x","size":1}]}`, "size"},
		"wrong type":     {`{"team":"t","service":"s","deadline_ms":"1",` + task + `}`, "deadline_ms"},
		"second value":   {`{"team":"t","service":"s",` + task + `}{}`, "after"},
		"no team":        {`{"service":"s",` + task + `}`, "team"},
		"no tasks":       {`{"team":"t","service":"s","tasks":[]}`, "tasks"},
		"many tasks":     {`{"team":"t","service":"s","tasks":[` + strings.Repeat(`{},`, wire.MaxTasksPerJob) + `{}]}`, "tasks"},
		"relative path":  {`{"team":"t","service":"s","tasks":[{"path":"x"}]}`, "tasks[0]: path"},
		"line break":     {`{"team":"t","service":"s","tasks":[{"path":"/x\r\nA: b"}]}`, "tasks[0]: path"},
		"method":         {`{"team":"t","service":"s","tasks":[{"path":"/x","method":"CONNECT"}]}`, "method"},
		"deadline":       {`{"team":"t","service":"s","deadline_ms":3600001,` + task + `}`, "deadline_ms"},
		"long key":       {`{"team":"t","service":"s","key":"` + strings.Repeat("k", wire.MaxKeyBytes+1) + `",` + task + `}`, "key"},
		"time only":      {`{"team":"t","service":"s","key_time":"2026-01-31T08:00:00Z",` + task + `}`, "key_time"},
		"time as number": {`{"team":"t","service":"s","key":"k","key_time":5,` + task + `}`, "key_time"},
		"time as text":   {`{"team":"t","service":"s","key":"k","key_time":"yesterday",` + task + `}`, "2026-01-31T08:00:00.123Z"},
	} {
		_, err := parseJob([]byte(c.body))
		if err == nil || err.Verdict != verdict.NotRun || !strings.Contains(err.Detail, c.detail) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestKeyTime guards against a creation time that is read in a wrong unit or time
// zone.
func TestKeyTime(t *testing.T) {
	s, err := parseJob([]byte(`{"team":"t","service":"s","key":"k","key_time":"1970-01-01T01:00:02.5+01:00","tasks":[{"path":"/x"}]}`))
	if err != nil || s.KeyTime != 2500 {
		t.Errorf("%d ms, %v", s.KeyTime, err)
	}
}

// TestBodyHash guards against a resubmission that is taken for another job because
// its JSON is formatted differently, and against different jobs with the same hash.
func TestBodyHash(t *testing.T) {
	hash := func(tasks string) string {
		s, err := parseJob([]byte(`{"team":"t","service":"s","tasks":[` + tasks + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		return s.BodyHash
	}
	base := hash(`{"path":"/x","body":{"a":1,"b":[2]}}`)
	if base != hash(`{"body": {"b":[2], "a":1}, "method":"POST", "path":"/x"}`) {
		t.Error("order and spaces change the hash")
	}
	for _, other := range []string{
		`{"path":"/y","body":{"a":1,"b":[2]}}`,
		`{"path":"/x","body":{"a":1,"b":[3]}}`,
		`{"path":"/x","method":"PUT","body":{"a":1,"b":[2]}}`,
		`{"path":"/x","body":{"a":1,"b":[2]}},{"path":"/x"}`,
	} {
		if base == hash(other) {
			t.Errorf("%s has the same hash", other)
		}
	}
}

// FuzzParseJob guards against input that makes the parser panic or exceed a bound,
// and against a hash that depends on anything but the service and the tasks.
func FuzzParseJob(f *testing.F) {
	for _, seed := range []string{
		`{"team":"t","service":"s","tasks":[{"path":"/x"}]}`,
		`{"team":"t","service":"s","key":"k","key_time":"2026-01-31T08:00:00.5+01:00","tasks":[{"method":"GET","path":"/x?a=b","body":null}],"idempotent":false}`,
		`{"team":"t","service":"s","tasks":[{"path":"/x","body":{"a":[1e400,"\ud800"]}}],"run_time_ms":5,"deadline_ms":9}`,
		`{"team":"t","service":"s","tasks":[{"path":"/x\u0000"}]}`,
		`{"tasks":[{}`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := parseJob(body)
		if err != nil {
			if err.Verdict != verdict.NotRun || err.Detail == "" {
				t.Fatalf("refusal %v", err)
			}
			return
		}
		if len(s.Tasks) == 0 || len(s.Tasks) > wire.MaxTasksPerJob || len(s.Key) > wire.MaxKeyBytes || s.Deadline > maxDeadline {
			t.Fatalf("out of bounds: %+v", s)
		}
		for i := range s.Tasks {
			s.Tasks[i].Body = canonicalJSON(s.Tasks[i].Body)
		}
		if hashTasks(s.Service, s.Tasks) != s.BodyHash {
			t.Fatalf("the hash depends on the spelling of %q", body)
		}
	})
}
