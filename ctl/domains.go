package ctl

import (
	"slices"
	"time"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const drainDomainHelp = "No agent of the failure domain starts a task from some 3 s after the command on; work in progress ends normally, " +
	"and entries of the domain go on taking requests. The drain lasts until --undo, over restarts of any process."

type drainDomainCommand struct {
	app    *app
	Undo   bool `long:"undo" description:"start work there again"`
	Absent bool `long:"absent" description:"accept a failure domain in which no entry or agent is registered"`
	Args   struct {
		Domain ids.Domain `positional-arg-name:"DOMAIN" required:"yes" description:"failure domain, see baobabctl status"`
	} `positional-args:"yes"`
}

// Execute starts or ends the drain of a failure domain.
func (c *drainDomainCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	st, err := client.Status(ctx, wire.Status{})
	if err != nil {
		return err
	}
	if !c.Absent && !knowsDomain(st, c.Args.Domain) {
		return verdict.Refuse(verdict.BadRequest, "no entry or agent is registered in failure domain %q; --absent accepts that", c.Args.Domain)
	}
	if err := client.DrainDomain(ctx, domainDrain(st, c.Args.Domain), !c.Undo); err != nil {
		return err
	}
	c.app.show(wire.DrainDomain{Domain: c.Args.Domain, Drain: !c.Undo}, func() {
		if c.Undo {
			c.app.printf("Work starts in %s again.\n", c.Args.Domain)
			return
		}
		c.app.printf("No new work starts in %s. To undo: baobabctl drain-domain %s --undo\n", c.Args.Domain, c.Args.Domain)
	})
	return nil
}

// knowsDomain reports whether a member is in a failure domain, or operators have drained
// it at some time.
func knowsDomain(st wire.StatusReply, d ids.Domain) bool {
	return domainDrain(st, d).Index > 0 ||
		slices.ContainsFunc(st.Members, func(m wire.MemberStatus) bool { return m.Domain == d })
}

// domainDrain returns the operators' latest order about a failure domain, with index 0 if
// there is none.
func domainDrain(st wire.StatusReply, d ids.Domain) wire.DomainDrain {
	i := slices.IndexFunc(st.Domains, func(r wire.DomainDrain) bool { return r.Domain == d })
	if i < 0 {
		return wire.DomainDrain{Domain: d}
	}
	return st.Domains[i]
}

// printDrainedDomains prints the failure domains that operators drain, and since when.
func printDrainedDomains(a *app, domains []wire.DomainDrain) {
	for _, d := range domains {
		if d.Drained {
			a.printf("\nFailure domain %s is drained since %s (index %d).\n", d.Domain, time.UnixMilli(d.At).UTC().Format(time.RFC3339), d.Index)
		}
	}
}
