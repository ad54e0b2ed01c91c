package executor

import (
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// TimedOut records the answer of a task whose call to the upstream has timed out and
// has not returned yet. The slot stays occupied until Finished is called for the task.
func (c *Core) TimedOut(now time.Duration, a wire.Answer) {
	r := c.rows[a.Key]
	if r == nil || r.state != wire.TaskRunning {
		return
	}
	c.Finished(now, a)
	r.callAbandoned = true
	c.abandonedCalls++
}

// releaseAbandonedCall frees the slot of a call that had timed out. It returns false
// if the call had not.
func (c *Core) releaseAbandonedCall(r *row) bool {
	if r == nil || !r.callAbandoned {
		return false
	}
	r.callAbandoned = false
	c.abandonedCalls--
	return true
}
