package executor

import (
	"github.com/cespare/xxhash/v2"

	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// taskIdentity is what all starts of one task have in common. A start whose key is known is
// answered from the row only if it has the same identity.
type taskIdentity struct {
	batch uint64 // index of the first task of its batch, zero without one
	name  string // at the worker, empty for a task that isn't sized
	size  wire.Resources
	spec  uint64 // hash of what the upstream gets
}

// identityOf returns the identity of the task that st asks for.
func identityOf(st *wire.Start) taskIdentity {
	h := xxhash.New()
	writeFields(h, st.Method, st.Path)
	for _, header := range st.Headers {
		writeFields(h, header.Name, header.Value)
	}
	h.Write(st.Body)
	return taskIdentity{batch: st.Batch, name: st.Name, size: st.Size, spec: h.Sum64()}
}

// writeFields adds texts to a hash, each with a separator that no header line contains.
func writeFields(h *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		h.WriteString(text)
		h.Write([]byte{0})
	}
}

// refuseKeyReuse refuses a start whose key is that of another task. The row of that task
// says nothing about this one, which has not run here.
func (c *Core) refuseKeyReuse(s *session, st wire.Start) {
	c.refusalCounts[verdict.KeyReuse]++
	s.detachedAnswers = append(s.detachedAnswers, wire.Answer{
		Key: st.Key, Try: st.Try, Verdict: verdict.NotRun, Reason: verdict.KeyReuse,
	})
}
