package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
)

// Queue is a configured queue together with its name.
type Queue struct {
	settings.Queue
	Name ids.Queue
}

// QueueTable finds the queue of a request. It is immutable.
type QueueTable struct {
	version uint64                // of the configuration
	hosts   map[string]*hostTable // by settings.CanonicalHost
}

// hostTable holds the queues of one host.
type hostTable struct {
	byPrefix map[string]Queue
	lengths  []int // of the prefixes, each once, longest first
}

// NewQueueTable returns the table of a configuration that has been validated.
func NewQueueTable(version uint64, queues map[ids.Queue]settings.Queue) *QueueTable {
	t := &QueueTable{version: version, hosts: map[string]*hostTable{}}
	for name, q := range queues {
		t.add(Queue{q, name})
	}
	for _, h := range t.hosts {
		slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
		h.lengths = slices.Compact(h.lengths)
	}
	return t
}

func (t *QueueTable) add(q Queue) {
	host := settings.CanonicalHost(q.Host)
	h, ok := t.hosts[host]
	if !ok {
		h = &hostTable{byPrefix: map[string]Queue{}}
		t.hosts[host] = h
	}
	h.byPrefix[q.Prefix] = q
	h.lengths = append(h.lengths, len(q.Prefix))
}

// Find returns the queue with the longest prefix of path among those of the host, and
// the path after that prefix. Its time grows with the number of different prefix lengths
// of the host, not with the number of queues.
func (t *QueueTable) Find(host, path string) (q Queue, rest string, ok bool) {
	h := t.hosts[settings.CanonicalHost(host)]
	if h == nil {
		return Queue{}, "", false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if q, ok := h.byPrefix[path[:n]]; ok {
			return q, path[n:], true
		}
	}
	return Queue{}, "", false
}

// CheckServing returns the reason why callers should use another entry, or nil. An
// entry whose view is not current still runs batches.
func (e *Entry) CheckServing() error {
	inc := e.incarnation.Load()
	t := inc.queues.Load()
	switch {
	case e.activeDrainPlan.Load() != nil:
		return verdict.Refuse(verdict.Draining, "the entry is leaving")
	case inc.hasEnded():
		return verdict.Refuse(verdict.Stale, "the entry is registering again")
	case inc.agentsUnreachable.Load():
		return verdict.Refuse(verdict.NoUpstream, "no agent can be reached")
	case t == nil || t.version == 0:
		return verdict.Refuse(verdict.Stale, "no configuration has arrived yet")
	}
	return nil
}

// FindQueue returns the queue of a request with the given Host field and path, the path after the queue's prefix, and
// the version of the configuration that was used. Version zero means that the entry
// has no configuration yet.
func (e *Entry) FindQueue(host, path string) (q Queue, rest string, version uint64, ok bool) {
	t := e.incarnation.Load().queues.Load()
	if t == nil || t.version == 0 {
		return Queue{}, "", 0, false
	}
	q, rest, ok = t.Find(host, path)
	return q, rest, t.version, ok
}

// CheckQueues returns a refusal unless the configuration with the given version, which
// FindQueue has used, is the one in force. A newer one is unknown while the view is not
// confirmed, and known but not in use until the event loop has applied the view.
func (e *Entry) CheckQueues(version uint64) *verdict.Error {
	inc := e.incarnation.Load()
	switch {
	case inc.hasEnded():
		return verdict.Refuse(verdict.Stale, "the entry is registering again").After(defaultRetryAfter)
	case !inc.session.Current(time.Now()):
		return verdict.Refuse(verdict.Stale, "the view is not confirmed").After(defaultRetryAfter)
	case inc.session.View().ConfigVer != version:
		return verdict.Refuse(verdict.Stale, "a newer configuration is being applied").After(defaultRetryAfter)
	}
	return nil
}
