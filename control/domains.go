package control

import (
	"context"
	"time"

	"github.com/baobabshore/baobabshore/controlstate"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

// resumeQuarantine is the time after a standstill of the process in which it takes no
// order about a failure domain. What it reads then may have waited in its socket, and the
// operator may have given a later order to another node meanwhile.
const resumeQuarantine = time.Second

// DrainDomain drains a failure domain, or ends its drain. It returns once the order is on
// the disks of a majority. Any node may be called, and a repeated order is confirmed
// again. The order follows the one that is in force when it arrives, so a copy that is
// under way for long can't undo a later order; see docs/design/drain-domain.md. An error
// is a *verdict.Error; the order may be in force unless its verdict is not-run.
func (n *Node) DrainDomain(ctx context.Context, domain ids.Domain, drain bool) error {
	held, err := runInLoop(ctx, n, func(c *core) heldDrain { return c.heldDrain(domain, time.Now()) })
	if err != nil {
		return err
	}
	if held.err != nil {
		return held.err
	}
	return n.client.DrainDomain(ctx, held.row, drain)
}

// heldDrain is the order about a failure domain in the tables of a node, or the reason why
// the node takes no order now.
type heldDrain struct {
	row wire.DomainDrain
	err *verdict.Error
}

func (c *core) heldDrain(d ids.Domain, now time.Time) heldDrain {
	if c.state.ConfigVer() == 0 {
		return heldDrain{err: verdict.Refuse(verdict.Stale, "no configuration is in force").After(time.Second)}
	}
	if gap := now.Sub(c.lastRunAt); gap > maxLoopGap || now.Sub(c.resumedAt) < resumeQuarantine {
		return heldDrain{err: verdict.Refuse(verdict.Stale, "node %s has just resumed", c.opt.Node).After(resumeQuarantine)}
	}
	return heldDrain{row: c.state.DomainDrain(d)}
}

func (n *Node) serveDrainDomain(ctx context.Context, _ *rpc.Conn, p wire.DrainDomain) (wire.DrainDomainReply, error) {
	r, err := n.propose(ctx, controlstate.Command{DrainDomain: &p})
	return r.DrainDomain, err
}

// drainedDomains returns the number of failure domains that operators drain.
func (c *core) drainedDomains() int {
	n := 0
	for _, d := range c.state.Domains() {
		if d.Drained {
			n++
		}
	}
	return n
}
