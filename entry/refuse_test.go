package entry

import (
	"strings"
	"testing"
)

// withMember adds a member to the JSON of a job.
func withMember(job, member string) string { return strings.Replace(job, "{", "{"+member+",", 1) }

// TestRefusalLooksUpTheKey guards against a resubmission that is answered not-run
// because new work is refused, although its first submission ran. It also guards
// against a refusal that does not say that its key could not be checked.
func TestRefusalLooksUpTheKey(t *testing.T) {
	s := newSystem(t, testCluster(), 2, Options{})
	first := decodeJob(t, call(t, s.entries[0], "POST", "/v1/jobs?wait=30s", jobJSON("k", 2)))
	if n := s.control.setNoQuorum(false); n != 0 {
		t.Errorf("%d lookups for an accepted submission", n)
	}
	e := s.entries[1]
	session := s.control.session(e.incarnation.Load().self)
	for _, tc := range []struct {
		reason, member string
		set            func(on bool)
		checked        bool // with a quorum
	}{
		{"draining", `"deadline_ms":30000`, e.refusingWork.Store, true},
		{"infeasible", `"run_time_ms":3600000`, func(bool) {}, true},
		{"overloaded", `"run_time_ms":290000,"deadline_ms":100`, func(bool) {}, true},
		{"stale", `"deadline_ms":30000`, session.setStale, false},
	} {
		for _, quorum := range []bool{true, false} {
			checked := quorum && tc.checked
			s.control.setNoQuorum(!quorum)
			tc.set(true)
			resubmitted := call(t, e, "POST", "/v1/jobs?wait=30s", withMember(jobJSON("k", 2), tc.member))
			newKeyed := call(t, e, "POST", "/v1/jobs", withMember(jobJSON("other", 2), tc.member))
			newKeyless := call(t, e, "POST", "/v1/jobs", withMember(jobJSON("", 2), tc.member))
			tc.set(false)
			if checked && (resubmitted.status != 200 || decodeJob(t, resubmitted).ID != first.ID) {
				t.Errorf("%s: resubmission: %v", tc.reason, resubmitted)
			}
			if !checked && !strings.Contains(string(resubmitted.body), uncheckedKeyNote) {
				t.Errorf("%s without a lookup of the key: %v", tc.reason, resubmitted)
			}
			for _, r := range []reply{newKeyed, newKeyless} {
				if r.header.Get(headerReason) != tc.reason || r.header.Get(headerVerdict) != "not-run" {
					t.Errorf("%s: new work: %v", tc.reason, r)
				}
			}
			if noted := strings.Contains(string(newKeyed.body), uncheckedKeyNote); noted == checked {
				t.Errorf("%s: new work with a key, checked %v: %v", tc.reason, checked, newKeyed)
			}
			if strings.Contains(string(newKeyless.body), uncheckedKeyNote) {
				t.Errorf("%s: work without a key: %v", tc.reason, newKeyless)
			}
		}
	}
	s.control.setNoQuorum(true)
	if r := call(t, e, "POST", "/v1/jobs", jobJSON("k", 2)); r.status != 503 || !strings.Contains(string(r.body), uncheckedKeyNote) {
		t.Errorf("admission without a quorum: %v", r)
	}
	s.checkStartedOnce(t)
}
