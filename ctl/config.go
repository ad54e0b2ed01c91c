package ctl

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
	"github.com/baobabshore/baobabshore/wire"
)

const (
	checkHelp = "Checks FILE (- for standard input) and lists all faults with file, line, column, key and fix. Contacts no process. " +
		"With --print it writes the checked file with all defaults and units as comments."
	applyHelp = "Checks FILE, reads the version in force, and asks the control group to replace exactly that version. " +
		"If the answer is lost, send the command again with the printed command id: it takes effect once. " +
		"To undo a change, apply the former file (get --yaml before the change)."
	getHelp = "Shows each value with the configuration version, the command and the user that last changed it. " +
		"With --yaml it writes a file for apply."
)

// pollInterval is the pause between two looks at a change on its way.
const pollInterval = 200 * time.Millisecond

type file struct {
	Name string `positional-arg-name:"FILE" required:"yes"`
}

type checkCommand struct {
	app   *app
	As    string `long:"as" default:"cluster" choice:"cluster" choice:"control" choice:"entry" choice:"agent" description:"what the file holds: the cluster configuration, or the settings of a daemon"`
	Print bool   `long:"print" description:"write the checked file with defaults and units as comments"`
	Args  file   `positional-args:"yes"`
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	data, err := c.app.readFile(c.Args.Name)
	if err != nil {
		return err
	}
	printed, err := checkAs(c.As, c.Args.Name, data)
	if err != nil {
		return err
	}
	if c.Print {
		c.app.printf("%s", printed)
		return nil
	}
	c.app.show(struct {
		OK bool `json:"ok"`
	}{true}, func() { c.app.printf("%s is valid.\n", c.Args.Name) })
	return nil
}

func checkAs(kind, name string, data []byte) ([]byte, error) {
	switch kind {
	case "control":
		v, err := settings.LoadControlBytes(name, data)
		return settings.Print(v), err
	case "entry":
		v, err := settings.LoadEntryBytes(name, data)
		return settings.Print(v), err
	case "agent":
		v, err := settings.LoadAgentBytes(name, data)
		return settings.Print(v), err
	}
	v, err := settings.LoadClusterBytes(name, data)
	return settings.Print(v), err
}

type applyCommand struct {
	app       *app
	Expect    string `long:"expect" value-name:"VERSION" description:"configuration version that the change was made from (default: the version read just before)"`
	CommandID string `long:"command-id" value-name:"ID" description:"id of the command; the same id takes effect once (default: a random one)"`
	Wait      bool   `long:"wait" description:"wait until all live members have the change, within --timeout"`
	Args      file   `positional-args:"yes"`
}

// applied is what apply reports.
type applied struct {
	Version   uint64   `json:"version"`
	CommandID string   `json:"command_id"`
	Repeated  bool     `json:"repeated"`
	Changes   []string `json:"changes,omitempty"` // not of a repeated command
	Holding   int      `json:"holding,omitempty"`
	Live      int      `json:"live,omitempty"`
}

// Execute applies the file.
func (c *applyCommand) Execute([]string) error {
	data, err := c.app.readFile(c.Args.Name)
	if err != nil {
		return err
	}
	conf, err := settings.LoadClusterBytes(c.Args.Name, data)
	if err != nil {
		return err
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	defer client.Close()
	return c.apply(client, settings.Flatten(conf))
}

func (c *applyCommand) apply(client *member.Client, pairs []wire.Pair) error {
	ctx, cancel := c.app.deadline()
	defer cancel()
	before, err := client.Get(ctx)
	if err != nil {
		return err
	}
	cmd := wire.Apply{Expect: before.ConfigVer, CommandID: c.CommandID, Pairs: pairs, By: operator()}
	if c.Expect != "" {
		if cmd.Expect, err = strconv.ParseUint(c.Expect, 10, 64); err != nil {
			return usage("--expect: %q is not a version, see baobabctl get", c.Expect)
		}
	}
	if cmd.CommandID == "" {
		cmd.CommandID = member.NewNonce()
	}
	if !c.app.JSON {
		fmt.Fprintf(c.app.Err, "Command id %s, from version %d.\n", cmd.CommandID, cmd.Expect)
	}
	reply, err := client.Apply(ctx, cmd)
	if err != nil {
		return c.applyFailed(cmd, err)
	}
	if reply.Err != nil {
		return c.conflict(cmd, reply)
	}
	report := applied{Version: reply.ConfigVer, CommandID: cmd.CommandID, Repeated: reply.Repeated}
	if !reply.Repeated {
		report.Changes = differences(before.Pairs, pairs)
	}
	if c.Wait {
		err = c.waitFor(ctx, client, reply, &report)
	}
	c.app.show(report, func() { c.printApplied(report) })
	return err
}

func (c *applyCommand) applyFailed(cmd wire.Apply, err error) error {
	v := verdict.FromError(err)
	if v.Verdict == verdict.NotRun {
		return v
	}
	return &exit{ExitUnknown, fmt.Errorf("%w\nThe change may be in force. Send it again, it takes effect once:\n  baobabctl apply %s --expect %d --command-id %s",
		v, c.Args.Name, cmd.Expect, cmd.CommandID)}
}

func (c *applyCommand) conflict(cmd wire.Apply, r wire.ApplyReply) error {
	if r.Err.Reason != verdict.VersionConflict {
		return r.Err
	}
	return fmt.Errorf("%w\nVersion %d is in force, made by command %s; this command expected version %d and changed nothing.\n"+
		"Look at it (baobabctl get), bring your file up to date, and apply again", r.Err, r.ConfigVer, r.CurrentCommandID, cmd.Expect)
}

// waitFor polls until all live members hold the change.
func (c *applyCommand) waitFor(ctx context.Context, client *member.Client, r wire.ApplyReply, report *applied) error {
	p := c.app.progress()
	defer p.end()
	for {
		st, err := client.Status(ctx, wire.Status{Index: r.Index})
		if err == nil {
			report.Holding, report.Live = st.Holding, st.Live
			p.show("%d of %d members have version %d.", st.Holding, st.Live, r.ConfigVer)
			if st.Holding >= st.Live {
				return nil
			}
		}
		if !clock.Sleep(ctx, pollInterval) {
			return &exit{ExitUnknown, fmt.Errorf("version %d is in force, but only %d of %d members had it in time; see baobabctl status",
				r.ConfigVer, report.Holding, report.Live)}
		}
	}
}

func (c *applyCommand) printApplied(r applied) {
	if r.Repeated {
		c.app.printf("Version %d was put in force by an earlier sending of this command.\n", r.Version)
	} else {
		c.printChanges(r)
	}
	if c.Wait {
		c.app.printf("%d of %d members have it.\n", r.Holding, r.Live)
	}
}

func (c *applyCommand) printChanges(r applied) {
	c.app.printf("Version %d is in force.\n", r.Version)
	for _, d := range r.Changes {
		c.app.printf("  %s\n", d)
	}
	if len(r.Changes) == 0 {
		c.app.printf("  No value differs from the version before.\n")
	}
}

// differences lists the values that differ, one a line.
func differences(old []wire.SourcePair, pairs []wire.Pair) []string {
	before := make(map[string]string, len(old))
	for _, p := range old {
		before[p.Key] = p.Value
	}
	out := []string{}
	for _, p := range pairs {
		was, ok := before[p.Key]
		delete(before, p.Key)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s: added with %s", p.Key, p.Value))
		case was != p.Value:
			out = append(out, fmt.Sprintf("%s: %s -> %s", p.Key, was, p.Value))
		}
	}
	for k, v := range before {
		out = append(out, fmt.Sprintf("%s: removed, was %s", k, v))
	}
	slices.Sort(out)
	return out
}

// operator names who sends a command, for the message to the loser of a race.
func operator() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, err := os.Hostname()
	if err != nil {
		return name
	}
	return name + "@" + host
}

type getCommand struct {
	app  *app
	YAML bool `long:"yaml" description:"write a file for check and apply"`
}

// Execute shows the values in force.
func (c *getCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.app.deadline()
	defer cancel()
	r, err := client.Get(ctx)
	if err != nil {
		return err
	}
	if c.YAML {
		return c.printYAML(r)
	}
	c.app.show(r, func() { c.printPairs(r) })
	return nil
}

func (c *getCommand) printYAML(r wire.GetReply) error {
	pairs := make([]wire.Pair, len(r.Pairs))
	for i, p := range r.Pairs {
		pairs[i] = p.Pair
	}
	conf, err := settings.FromPairs(pairs)
	if err != nil {
		return err
	}
	c.app.printf("# version %d, command %s\n%s", r.ConfigVer, r.CommandID, settings.Print(conf))
	return nil
}

func (c *getCommand) printPairs(r wire.GetReply) {
	if r.ConfigVer == 0 {
		c.app.printf("No configuration has been applied yet. Try: baobabctl apply FILE\n")
		return
	}
	c.app.printf("Version %d, made by command %s.\n", r.ConfigVer, r.CommandID)
	w := tabwriter.NewWriter(c.app.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tVALUE\tSINCE VERSION\tBY\tCOMMAND")
	for _, p := range r.Pairs {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", p.Key, p.Value, p.ConfigVer, p.By, p.CommandID)
	}
	w.Flush()
}
