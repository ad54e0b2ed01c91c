package dispatch

import (
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
)

// NextKey returns the key for the next single request, or for the first task of the next
// batch. Indexes begin at 1, since zero stands for no batch in wire.Start.
func (c *Core) NextKey() ids.TaskKey { return ids.RequestOf(c.cfg.Self, max(c.freeKeyIndex, 1)) }

// useKeys takes the keys of a request or of the tasks of a batch into use. Indexes only
// grow, so a key names one task for the life of the entry's incarnation: agents keep the
// rows of ended tasks, and answer a start with a known key from its row. Only work that
// has been taken in uses keys.
func (c *Core) useKeys(first ids.TaskKey, tasks int) *verdict.Error {
	if first.Index < c.freeKeyIndex {
		return verdict.Refuse(verdict.KeyReuse, "key %s is in use, the next one is %s", first, c.NextKey())
	}
	c.freeKeyIndex = first.Index + uint64(max(tasks, 1))
	return nil
}
