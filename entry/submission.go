package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	// maxPathBytes bounds the path of a task, including the query.
	maxPathBytes = 4 << 10
	// maxNameBytes bounds the names of teams and services.
	maxNameBytes = 100
	// maxRunTime bounds the declared run time of one task.
	maxRunTime = time.Hour
	// reasonTooLarge is the reason of a refusal for size; the answer has status 413.
	reasonTooLarge verdict.Reason = "too-large"
)

var jsonHeaders = []wire.Header{{Name: "Content-Type", Value: "application/json"}}

// submission is a parsed and validated job as its caller sent it.
type submission struct {
	Team     ids.Team
	Service  ids.Service
	Key      string
	KeyTime  int64 // creation time of the key in Unix milliseconds, zero if the caller sent none
	Tasks    []wire.TaskSpec
	RunTime  time.Duration // declared run time of one task, zero if unknown
	Deadline time.Duration // time from the arrival of the submission
	BodyHash string
}

// jobBody is the JSON form of a submission.
type jobBody struct {
	Team       string     `json:"team"`
	Key        string     `json:"key"`
	KeyTime    string     `json:"key_time"` // RFC 3339
	Service    string     `json:"service"`
	Tasks      []taskBody `json:"tasks"`
	RunTimeMS  int64      `json:"run_time_ms"`
	DeadlineMS int64      `json:"deadline_ms"`
	// Idempotent is accepted and ignored: a task of a job is never started twice.
	Idempotent *bool `json:"idempotent"`
}

type taskBody struct {
	Method string          `json:"method"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
}

// parseJob parses and validates the JSON of a job. Errors have the verdict not-run.
func parseJob(body []byte) (submission, *verdict.Error) {
	if len(body) > wire.MaxBodyBytes {
		return submission{}, verdict.Refuse(reasonTooLarge, "the body has %d bytes, at most %d are allowed", len(body), wire.MaxBodyBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var j jobBody
	if err := dec.Decode(&j); err != nil {
		return submission{}, verdict.Refuse(verdict.BadRequest, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := dec.Token(); err != io.EOF {
		return submission{}, verdict.Refuse(verdict.BadRequest, "data after the job")
	}
	return j.toSubmission()
}

// toSubmission validates the fields and converts them to a submission.
func (j jobBody) toSubmission() (submission, *verdict.Error) {
	if err := j.checkFields(); err != nil {
		return submission{}, err
	}
	keyTime, err := parseKeyTime("key_time", j.KeyTime)
	if err == nil {
		err = checkKey(j.Key, keyTime)
	}
	if err != nil {
		return submission{}, err
	}
	s := submission{
		Team:     ids.Team(j.Team),
		Service:  ids.Service(j.Service),
		Key:      j.Key,
		KeyTime:  keyTime,
		RunTime:  time.Duration(j.RunTimeMS) * time.Millisecond,
		Deadline: time.Duration(j.DeadlineMS) * time.Millisecond,
	}
	if s.Deadline == 0 {
		s.Deadline = wire.DefaultDeadline
	}
	for i, t := range j.Tasks {
		taskSpec, err := t.taskSpec()
		if err != nil {
			err.Detail = "tasks[" + itoa(i) + "]: " + err.Detail
			return submission{}, err
		}
		s.Tasks = append(s.Tasks, taskSpec)
	}
	s.BodyHash = hashTasks(s.Service, s.Tasks)
	return s, nil
}

func (j jobBody) checkFields() *verdict.Error {
	switch {
	case !validName(j.Team):
		return verdict.Refuse(verdict.BadRequest, "team: a name of 1 to %d printable characters is needed", maxNameBytes)
	case !validName(j.Service):
		return verdict.Refuse(verdict.BadRequest, "service: a name of 1 to %d printable characters is needed", maxNameBytes)
	case len(j.Tasks) == 0:
		return verdict.Refuse(verdict.BadRequest, "tasks: at least one task is needed")
	case len(j.Tasks) > wire.MaxTasksPerJob:
		return verdict.Refuse(reasonTooLarge, "tasks: %d tasks, at most %d are allowed", len(j.Tasks), wire.MaxTasksPerJob)
	case j.RunTimeMS < 0 || j.RunTimeMS > maxRunTime.Milliseconds():
		return verdict.Refuse(verdict.BadRequest, "run_time_ms: must be from 0 to %d", maxRunTime.Milliseconds())
	case j.DeadlineMS < 0 || j.DeadlineMS > maxDeadline.Milliseconds():
		return verdict.Refuse(verdict.BadRequest, "deadline_ms: must be from 0 to %d", maxDeadline.Milliseconds())
	}
	return nil
}

// parseKeyTime parses the creation time of a key and returns it in Unix milliseconds.
// An empty text gives zero.
func parseKeyTime(field, text string) (int64, *verdict.Error) {
	if text == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339, text) // accepts fractions of a second
	if err != nil || at.UnixMilli() <= 0 {
		return 0, verdict.Refuse(verdict.BadRequest,
			"%s: %.40q is not a time as in RFC 3339, for example 2026-01-31T08:00:00.123Z", field, text)
	}
	return at.UnixMilli(), nil
}

func checkKey(key string, keyTime int64) *verdict.Error {
	switch {
	case len(key) > wire.MaxKeyBytes:
		return verdict.Refuse(verdict.BadRequest, "key: %d bytes, at most %d are allowed", len(key), wire.MaxKeyBytes)
	case !printable(key):
		return verdict.Refuse(verdict.BadRequest, "key: only printable ASCII characters are allowed")
	case keyTime != 0 && key == "":
		return verdict.Refuse(verdict.BadRequest, "key_time: needs a key")
	}
	return nil
}

func (t taskBody) taskSpec() (wire.TaskSpec, *verdict.Error) {
	method := t.Method
	if method == "" {
		method = "POST"
	}
	if !validMethod(method) {
		return wire.TaskSpec{}, verdict.Refuse(verdict.BadRequest, "method: %q is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS", method)
	}
	if err := checkPath(t.Path); err != nil {
		return wire.TaskSpec{}, err
	}
	taskSpec := wire.TaskSpec{Method: method, Path: t.Path}
	if len(t.Body) > 0 && !bytes.Equal(t.Body, []byte("null")) {
		taskSpec.Body = bytes.Clone(t.Body)
		taskSpec.Headers = jsonHeaders
	}
	return taskSpec, nil
}

func checkPath(path string) *verdict.Error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return verdict.Refuse(verdict.BadRequest, "path: must start with /")
	case len(path) > maxPathBytes:
		return verdict.Refuse(verdict.BadRequest, "path: %d bytes, at most %d are allowed", len(path), maxPathBytes)
	case !printable(path) || strings.ContainsAny(path, " #"):
		return verdict.Refuse(verdict.BadRequest, "path: only printable ASCII characters without spaces and # are allowed")
	}
	return nil
}

func validMethod(m string) bool {
	switch m {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
		return true
	}
	return false
}

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && printable(s)
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// hashTasks returns the SHA-256 of a canonical form of the service and the tasks. The
// deadline, the declared run time and headers other than Content-Type are left out,
// since a resubmission may have different ones.
func hashTasks(service ids.Service, tasks []wire.TaskSpec) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	_ = enc.Encode(service) // writing to a hash never fails
	for _, t := range tasks {
		_ = enc.Encode([]string{t.Method, t.Path})
		for _, f := range t.Headers {
			if strings.EqualFold(f.Name, "Content-Type") {
				_ = enc.Encode(f.Value)
			}
		}
		body := canonicalJSON(t.Body)
		_ = enc.Encode(len(body))
		h.Write(body)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// canonicalJSON returns JSON with sorted keys and without white space, and any other
// body unchanged. Numbers keep their spelling.
func canonicalJSON(body []byte) []byte {
	if !json.Valid(body) {
		return body
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var v any
	if dec.Decode(&v) != nil {
		return body
	}
	out, err := json.Marshal(v)
	if err != nil {
		return body
	}
	return out
}
