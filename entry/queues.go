package entry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
)

// Queue is a configured queue together with its name.
type Queue struct {
	settings.Queue
	Name ids.Queue
}

// queueTable finds the queue of a request. It is immutable.
type queueTable struct {
	version uint64             // of the configuration
	hosts   map[string][]Queue // queues by host, longest prefix first
}

// newQueueTable sorts the queues of each host by prefix length, longest first.
func newQueueTable(version uint64, queues map[ids.Queue]settings.Queue) *queueTable {
	t := &queueTable{version: version, hosts: map[string][]Queue{}}
	for name, q := range queues {
		t.hosts[q.Host] = append(t.hosts[q.Host], Queue{q, name})
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b Queue) int {
			if d := cmp.Compare(len(b.Prefix), len(a.Prefix)); d != 0 {
				return d
			}
			return cmp.Compare(a.Prefix, b.Prefix)
		})
	}
	return t
}

// find returns the queue of a request and the path after the queue's prefix.
func (t *queueTable) find(host, path string) (Queue, string, bool) {
	for _, q := range t.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
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

// FindQueue returns the queue of a request, the path after the queue's prefix, and
// the version of the configuration that was used. Version zero means that the entry
// has no configuration yet.
func (e *Entry) FindQueue(host, path string) (q Queue, rest string, version uint64, ok bool) {
	t := e.incarnation.Load().queues.Load()
	if t == nil || t.version == 0 {
		return Queue{}, "", 0, false
	}
	q, rest, ok = t.find(host, path)
	return q, rest, t.version, ok
}
