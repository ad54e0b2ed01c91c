// Package verdict defines outcomes and errors that state whether a request may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether any part of a request may have run on an upstream.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran. It is the zero
	// value, so that a missing verdict is not taken for NotRun, after which a request
	// may be repeated.
	MayHaveRun Verdict = iota
	// NotRun means that no part of the request ran or will run.
	NotRun
	// Ran means that the request ran.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name used in the Baobab-Verdict header and in messages.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[MayHaveRun]
}

// Parse returns the verdict with the given name. An unknown name is MayHaveRun.
func Parse(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return Verdict(v)
		}
	}
	return MayHaveRun
}

// MarshalText writes the name of the verdict.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads the name of a verdict. An unknown name is MayHaveRun.
func (v *Verdict) UnmarshalText(b []byte) error {
	*v = Parse(string(b))
	return nil
}

// Reason is the machine-readable cause of an outcome, sent in Baobab-Reason.
type Reason string

// The reasons that the system's processes give.
const (
	Complete         Reason = "complete"          // the answer is complete
	BadRequest       Reason = "bad-request"       // the request is malformed or exceeds a limit
	Unauthorized     Reason = "unauthorized"      // missing or wrong token
	UnknownJob       Reason = "unknown-job"       // no such job
	UnknownService   Reason = "unknown-service"   // not in the configuration
	UnknownTeam      Reason = "unknown-team"      // not in the configuration
	KeyReuse         Reason = "key-reuse"         // the key was used before with another body
	KeyExpired       Reason = "key-expired"       // the key is older than its retention
	KeyTableFull     Reason = "key-table-full"    // the table of keys without a creation time is full
	Infeasible       Reason = "infeasible"        // no configured upstream can ever run it
	OverQuota        Reason = "over-quota"        // the team's limit is reached
	Overloaded       Reason = "overloaded"        // the queue can't meet the deadline
	NoUpstream       Reason = "no-upstream"       // no upstream of the service is usable now
	Stale            Reason = "stale"             // the view is not confirmed as current
	NotLeader        Reason = "not-leader"        // another control node is the leader
	NoQuorum         Reason = "no-quorum"         // the control group can't commit
	Draining         Reason = "draining"          // the process is draining
	NoCredit         Reason = "no-credit"         // the task exceeds the credit that the agent has granted
	Fenced           Reason = "fenced"            // an owner with a newer epoch exists
	Recalled         Reason = "recalled"          // the entry recalled the task before it started
	Superseded       Reason = "superseded"        // the agent has received a later try of the task
	Canceled         Reason = "canceled"          // the caller canceled it
	Deleted          Reason = "deleted"           // the caller has deleted the batch by its id
	DeadlinePassed   Reason = "deadline-passed"   // the request is too late for its deadline
	UpstreamRefused  Reason = "upstream-refused"  // the upstream answered that it did not run the task
	UpstreamLost     Reason = "upstream-lost"     // the agent or its incarnation is gone
	UpstreamFailed   Reason = "upstream-failed"   // the upstream answered with an error
	UpstreamTimeout  Reason = "upstream-timeout"  // the upstream gave no answer in time
	ConnectionFailed Reason = "connection-failed" // the connection broke
	OwnerLost        Reason = "owner-lost"        // the entry that owned the job is gone
	AnswerExpired    Reason = "answer-expired"    // the request has ended, but its answer is no longer kept
	TaskFailed       Reason = "task-failed"       // a task ended with an error
	VersionConflict  Reason = "version-conflict"  // the expected version is not the current one
	Internal         Reason = "internal"          // a fault in the system itself
)

// Error is the error that the system's processes return to each other and to callers.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason"`
	Detail  string  `json:"detail,omitempty"`
	// RetryAfter is how long a caller should wait before a retry. Zero means that
	// waiting does not help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Error returns the verdict, the reason and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Verdict, e.Reason, e.Detail)
}

// After returns a copy of e with the given retry delay.
func (e *Error) After(retryAfter time.Duration) *Error {
	withDelay := *e
	withDelay.RetryAfter = retryAfter
	return &withDelay
}

// Refuse returns an error with verdict NotRun.
func Refuse(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns an error with verdict MayHaveRun.
func Unknown(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Failed returns an error with verdict Ran.
func Failed(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: Ran, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// FromError returns the first *Error in the chain of err. It converts any other error to
// MayHaveRun with reason Internal, since such an error doesn't rule out that the request
// ran. It returns nil for nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknown(Internal, "%v", err)
}
