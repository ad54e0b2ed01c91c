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
	checkHelp = "Checks FILE (- for standard input) and lists all errors with file, line, column, key and fix. Contacts no process. " +
		"With --print it writes the checked file with all defaults and units as comments."
	applyHelp = "Checks FILE, reads the version in force, and asks the control group to replace exactly that version. " +
		"If the answer is lost, repeat the command with the printed command id: it takes effect once. " +
		"To undo a change, apply the previous file (get --yaml before the change)."
	getHelp = "Shows each value with the configuration version, the command and the user that last changed it. " +
		"With --yaml it writes a file for apply."
)

// statusPollInterval is the interval between two status requests while apply waits
// for the members.
const statusPollInterval = 200 * time.Millisecond

type fileArg struct {
	Name string `positional-arg-name:"FILE" required:"yes"`
}

type checkCommand struct {
	app   *app
	As    string  `long:"as" default:"cluster" choice:"cluster" choice:"control" choice:"entry" choice:"agent" description:"what the file holds: the cluster configuration, or the settings of a daemon"`
	Print bool    `long:"print" description:"write the checked file with defaults and units as comments"`
	Args  fileArg `positional-args:"yes"`
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	data, err := c.app.readFile(c.Args.Name)
	if err != nil {
		return err
	}
	printed, err := checkAndPrint(c.As, c.Args.Name, data)
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

func checkAndPrint(kind, name string, data []byte) ([]byte, error) {
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
	Expect    string  `long:"expect" value-name:"VERSION" description:"configuration version that the change was made from (default: the version read just before)"`
	CommandID string  `long:"command-id" value-name:"ID" description:"id of the command; the same id takes effect once (default: a random one)"`
	Wait      bool    `long:"wait" description:"wait until all live members have the change, within --timeout"`
	Args      fileArg `positional-args:"yes"`
}

// applyReport is the JSON output of apply.
type applyReport struct {
	Version   uint64   `json:"version"`
	CommandID string   `json:"command_id"`
	Repeated  bool     `json:"repeated"`
	Changes   []string `json:"changes,omitempty"` // empty for a repeated command
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
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	current, err := client.Get(ctx)
	if err != nil {
		return err
	}
	cmd := wire.Apply{Expect: current.ConfigVer, CommandID: c.CommandID, Pairs: pairs, By: operatorName()}
	if c.Expect != "" {
		if cmd.Expect, err = strconv.ParseUint(c.Expect, 10, 64); err != nil {
			return usageError("--expect: %q is not a version, see baobabctl get", c.Expect)
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
		return c.applyError(cmd, err)
	}
	if reply.Err != nil {
		return c.conflictError(cmd, reply)
	}
	report := applyReport{Version: reply.ConfigVer, CommandID: cmd.CommandID, Repeated: reply.Repeated}
	if !reply.Repeated {
		report.Changes = diffPairs(current.Pairs, pairs)
	}
	if c.Wait {
		err = c.waitForMembers(ctx, client, reply, &report)
	}
	c.app.show(report, func() { c.printReport(report) })
	return err
}

func (c *applyCommand) applyError(cmd wire.Apply, err error) error {
	v := verdict.FromError(err)
	if v.Verdict == verdict.NotRun {
		return v
	}
	return &exitError{ExitUnknown, fmt.Errorf("%w\nThe change may be in force. Repeat the command with the same id; it takes effect once:\n  baobabctl apply %s --expect %d --command-id %s",
		v, c.Args.Name, cmd.Expect, cmd.CommandID)}
}

func (c *applyCommand) conflictError(cmd wire.Apply, r wire.ApplyReply) error {
	if r.Err.Reason != verdict.VersionConflict {
		return r.Err
	}
	return fmt.Errorf("%w\nVersion %d is in force, made by command %s; this command expected version %d and changed nothing.\n"+
		"Inspect it with baobabctl get, update your file, and apply it again", r.Err, r.ConfigVer, r.CurrentCommandID, cmd.Expect)
}

// waitForMembers polls until all live members have the change or ctx ends.
func (c *applyCommand) waitForMembers(ctx context.Context, client *member.Client, r wire.ApplyReply, report *applyReport) error {
	p := c.app.progress()
	defer p.clear()
	for {
		st, err := client.Status(ctx, wire.Status{Index: r.Index})
		if err == nil {
			report.Holding, report.Live = st.Holding, st.Live
			p.show("%d of %d members have version %d.", st.Holding, st.Live, r.ConfigVer)
			if st.Holding >= st.Live {
				return nil
			}
		}
		if !clock.Sleep(ctx, statusPollInterval) {
			return &exitError{ExitUnknown, fmt.Errorf("version %d is in force, but only %d of %d members had it in time; see baobabctl status",
				r.ConfigVer, report.Holding, report.Live)}
		}
	}
}

func (c *applyCommand) printReport(r applyReport) {
	if r.Repeated {
		c.app.printf("Version %d was put in force by an earlier sending of this command.\n", r.Version)
	} else {
		c.printChanges(r)
	}
	if c.Wait {
		c.app.printf("%d of %d members have it.\n", r.Holding, r.Live)
	}
}

func (c *applyCommand) printChanges(r applyReport) {
	c.app.printf("Version %d is in force.\n", r.Version)
	for _, d := range r.Changes {
		c.app.printf("  %s\n", d)
	}
	if len(r.Changes) == 0 {
		c.app.printf("  No value differs from the previous version.\n")
	}
}

// diffPairs returns a sorted list of the values that differ, one line for each.
func diffPairs(old []wire.SourcePair, pairs []wire.Pair) []string {
	oldValues := make(map[string]string, len(old))
	for _, p := range old {
		oldValues[p.Key] = p.Value
	}
	out := []string{}
	for _, p := range pairs {
		oldValue, ok := oldValues[p.Key]
		delete(oldValues, p.Key)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s: added with %s", p.Key, p.Value))
		case oldValue != p.Value:
			out = append(out, fmt.Sprintf("%s: %s -> %s", p.Key, oldValue, p.Value))
		}
	}
	for k, v := range oldValues {
		out = append(out, fmt.Sprintf("%s: removed, was %s", k, v))
	}
	slices.Sort(out)
	return out
}

// operatorName returns the user and host that send a command. An operator whose
// concurrent change is refused sees the name in the error.
func operatorName() string {
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
	ctx, cancel := c.app.timeoutContext()
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
