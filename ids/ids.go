// Package ids defines the types of identifiers that the system's packages share.
package ids

import (
	"fmt"
	"strconv"
)

// Node is the configured name of a process, unique in its deployment.
type Node string

// Service names a group of upstreams that serve the same requests.
type Service string

// Team names a group of callers with a quota.
type Team string

// Queue names a queue to which callers submit batches.
type Queue string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region.
type Region string

// Incarnation identifies one registration of an entry or agent with the control group.
// It is the log index of the registration record, so a later one is always greater.
type Incarnation uint64

// Job identifies a job. It is the log index of its admission record.
type Job uint64

// Epoch counts the owners of a job. The first owner has epoch 1.
type Epoch uint32

// Version is the log index up to which a view of the control state is complete.
type Version uint64

// TaskKey identifies a task of a job, or a single request when Job is zero.
type TaskKey struct {
	Job Job `json:"j,omitempty"`
	// Entry is the incarnation of the entry that accepted a single request, zero for a
	// task of a job.
	Entry Incarnation `json:"e,omitempty"`
	// Index is the position of the task in its job, or the sequence number of
	// the single request at its entry.
	Index uint64 `json:"i"`
}

// TaskOf returns the key of the task with the given index in job.
func TaskOf(job Job, index int) TaskKey { return TaskKey{Job: job, Index: uint64(index)} }

// RequestOf returns the key of the single request with the given sequence number.
func RequestOf(entry Incarnation, seq uint64) TaskKey { return TaskKey{Entry: entry, Index: seq} }

// IsRequest reports whether k identifies a single request.
func (k TaskKey) IsRequest() bool { return k.Job == 0 }

// String returns the form used in the Baobab-Task header, in logs and in dumps.
func (k TaskKey) String() string {
	if k.IsRequest() {
		return fmt.Sprintf("r%d.%d", k.Entry, k.Index)
	}
	return fmt.Sprintf("j%d.%d", k.Job, k.Index)
}

// String returns the decimal form, which URLs and the Baobab-Job header use.
func (j Job) String() string { return strconv.FormatUint(uint64(j), 10) }

// ParseJob parses the decimal form of a job id.
func ParseJob(s string) (Job, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	return Job(n), err
}
