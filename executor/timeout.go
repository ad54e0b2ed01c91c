package executor

import (
	"time"

	"github.com/baobabshore/baobabshore/wire"
)

// TimedOut takes in an answer that was given up while the task's call to the
// upstream goes on. The slot stays taken until Finished.
func (c *Core) TimedOut(now time.Duration, a wire.Answer) {
	r := c.rows[a.Key]
	if r == nil || r.state != wire.TaskRunning {
		return
	}
	c.Finished(now, a)
	r.lingers = true
	c.lingering++
}

// endLinger frees the slot of a call whose answer was given up before. It
// returns false if the answer was not.
func (c *Core) endLinger(r *row) bool {
	if r == nil || !r.lingers {
		return false
	}
	r.lingers = false
	c.lingering--
	return true
}
