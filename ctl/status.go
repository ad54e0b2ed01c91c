package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	statusHelp = "Shows the control nodes and the live entries and agents, with how long ago each renewed its lease. " +
		"Exits with 1 if the control group has no leader."
	dumpHelp  = "Shows the tables and recent decisions of one process as JSON. ADDRESS is the operators' listener (setting ops) of the process, host:port."
	drainHelp = "The upstream (or entry) with this node name gets no new work after at most 2 s; work in progress ends normally. " +
		"The drain lasts until the process ends; --undo ends it earlier."
	replaceHelp = "Replaces control node OLD, whose VM or disk is lost, by the node that listens on ADDRESS. " +
		"Start the new node first: under a new name, with an empty data folder, and with itself and the remaining nodes as peers. " +
		"The command waits until the new node has caught up."
)

type statusCommand struct {
	app *app
	All bool `long:"all" description:"list ended members too"`
}

// Execute shows the state of the control group and its members.
func (c *statusCommand) Execute([]string) error {
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
	c.app.show(st, func() { c.print(st) })
	if st.Leader == "" {
		return verdict.Refuse(verdict.NoQuorum, "the control group has no leader")
	}
	return nil
}

func (c *statusCommand) print(st wire.StatusReply) {
	c.app.printf("Leader %s, term %d, configuration version %d, %d members, %d open jobs (seen by %s).\n",
		orNone(string(st.Leader)), st.Term, st.ConfigVer, st.Live, st.OpenJobs, st.Node)
	w := tabwriter.NewWriter(c.app.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROL NODE\tADDRESS\tROLE\tINSTANCE\tRECORDS")
	slices.SortFunc(st.Nodes, func(a, b wire.ControlNode) int { return cmp.Compare(a.Node, b.Node) })
	for _, n := range st.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", n.Node, n.Addr, formatRole(n, st.Leader), n.Instance, formatMatch(n))
	}
	w.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(w, "MEMBER\tKIND\tADDRESS\tDOMAIN\tINCARNATION\tSTATE\tRENEWED")
	slices.SortFunc(st.Members, func(a, b wire.MemberStatus) int {
		return cmp.Or(cmp.Compare(b.Kind, a.Kind), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, m := range st.Members {
		if m.Live() || c.All {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d ms ago\n", m.Node, formatKind(m), m.Addr, m.Domain, m.Incarnation, formatState(m), m.AgeMS)
		}
	}
	w.Flush()
	printDrainedDomains(c.app, st.Domains)
}

func orNone(s string) string { return cmp.Or(s, "(none)") }

func formatRole(n wire.ControlNode, leader ids.Node) string {
	switch {
	case n.Node == leader:
		return "leader"
	case n.Voter:
		return "voter"
	}
	return "learner"
}

func formatMatch(n wire.ControlNode) string {
	if n.Match == 0 {
		return "-"
	}
	return fmt.Sprint(n.Match)
}

func formatKind(m wire.MemberStatus) string {
	if m.Kind == wire.KindAgent {
		return "agent of " + string(m.Service)
	}
	return string(m.Kind)
}

func formatState(m wire.MemberStatus) string {
	switch {
	case !m.Live():
		return "ended"
	case m.Draining:
		return "draining"
	}
	return "live"
}

type dumpCommand struct {
	app  *app
	Args struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes"`
	} `positional-args:"yes"`
}

// Execute shows the dump of a process.
func (c *dumpCommand) Execute([]string) error {
	sec, err := c.app.loadSecurity()
	if err != nil {
		return err
	}
	req := request{method: fasthttp.MethodGet, addr: c.Args.Address, path: "/dump", tls: sec.TLS}
	if sec.Token != "" {
		req.headers = append(req.headers, wire.Header{Name: "Authorization", Value: "Bearer " + sec.Token})
	}
	r, err := c.app.send(req)
	if err != nil {
		return err
	}
	if r.status != fasthttp.StatusOK {
		return verdict.Refuse(verdict.BadRequest, "%s answered with status %d: %s", c.Args.Address, r.status, r.body)
	}
	c.app.printf("%s", r.body)
	return nil
}

type drainCommand struct {
	app  *app
	Undo bool `long:"undo" description:"send work again"`
	Args struct {
		Node ids.Node `positional-arg-name:"UPSTREAM" required:"yes" description:"node name of its agent, see baobabctl status"`
	} `positional-args:"yes"`
}

// Execute starts or ends the drain of a node.
func (c *drainCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	if err := client.Drain(ctx, c.Args.Node, !c.Undo); err != nil {
		return err
	}
	c.app.show(wire.DrainNode{Node: c.Args.Node, Drain: !c.Undo}, func() {
		if c.Undo {
			c.app.printf("%s gets new work again.\n", c.Args.Node)
			return
		}
		c.app.printf("%s gets no new work. To undo: baobabctl drain %s --undo\n", c.Args.Node, c.Args.Node)
	})
	return nil
}

type replaceCommand struct {
	app  *app
	Args struct {
		Old     ids.Node `positional-arg-name:"OLD" required:"yes" description:"node name of the lost control node"`
		Address string   `positional-arg-name:"ADDRESS" required:"yes" description:"listener of the new control node, host:port"`
	} `positional-args:"yes"`
}

// Execute replaces a control node.
func (c *replaceCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	st, err := client.StatusAt(ctx, c.Args.Address, wire.Status{})
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "the new node does not answer on %s: %v", c.Args.Address, err)
	}
	i := slices.IndexFunc(st.Nodes, func(n wire.ControlNode) bool { return n.Node == st.Node })
	if i < 0 {
		return verdict.Refuse(verdict.BadRequest, "node %s does not list itself", st.Node)
	}
	newNode := st.Nodes[i]
	p := c.app.progress()
	p.show("Node %s (instance %s) is replacing %s.", newNode.Node, newNode.Instance, c.Args.Old)
	r := wire.Replace{Old: c.Args.Old, Node: newNode.Node, Addr: c.Args.Address, Instance: newNode.Instance}
	err = client.Replace(ctx, r)
	p.clear()
	if err != nil {
		return fmt.Errorf("%w\nCheck baobabctl status. The command can be repeated", verdict.FromError(err))
	}
	c.app.show(r, func() { c.app.printf("Node %s has replaced %s.\n", newNode.Node, c.Args.Old) })
	return nil
}
