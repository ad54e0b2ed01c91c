// Package ctl implements the commands of baobabctl, the tool for operators.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/baobabshore/baobabshore/member"
	"github.com/baobabshore/baobabshore/rpc"
	"github.com/baobabshore/baobabshore/settings"
	"github.com/baobabshore/baobabshore/verdict"
)

// Exit codes of baobabctl.
const (
	ExitDone    = 0 // done
	ExitRefused = 1 // refused, nothing ran or changed
	ExitUsage   = 2 // wrong usage or an invalid file
	ExitUnknown = 3 // something may have run or changed, or the work is not finished
	ExitFailed  = 4 // it ran and failed
)

// Streams are the standard input, output and error of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// globalOptions are the options that all commands share.
type globalOptions struct {
	Control   []string `long:"control" env:"BAOBAB_CONTROL" env-delim:"," default:"127.0.0.1:7100" value-name:"HOST:PORT" description:"listener of a control node; repeat it for each node"`
	Entry     string   `long:"entry" env:"BAOBAB_ENTRY" default:"127.0.0.1:8080" value-name:"HOST:PORT" description:"callers' listener of an entry"`
	TokenFile string   `long:"token-file" env:"BAOBAB_TOKEN_FILE" value-name:"FILE" description:"file with the shared token of the deployment"`
	Cert      string   `long:"tls-cert" value-name:"FILE" description:"PEM file, certificate for mutual TLS"`
	Key       string   `long:"tls-key" value-name:"FILE" description:"PEM file, key of the certificate"`
	CA        string   `long:"tls-ca" value-name:"FILE" description:"PEM file, authority of all certificates"`
	Timeout   duration `long:"timeout" default:"10s" value-name:"TIME" description:"how long to try, for example 500ms, 10s or 2m"`
	JSON      bool     `long:"json" description:"write one JSON object to standard output"`
}

// duration is a positive duration on the command line.
type duration time.Duration

// UnmarshalFlag parses the duration.
func (d *duration) UnmarshalFlag(text string) error {
	v, err := time.ParseDuration(text)
	if err != nil || v <= 0 {
		return errors.Errorf("%q is not a positive duration such as 500ms, 10s or 2m", text)
	}
	*d = duration(v)
	return nil
}

// app is the state of one run of baobabctl.
type app struct {
	Streams
	globalOptions
	ctx context.Context
}

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, errors.Errorf(format, args...)}
}

// Main runs the command in args, without the program name, and returns the exit code.
func Main(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s, ctx: ctx}
	parser := flags.NewNamedParser("baobabctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.addCommands(parser); err != nil {
		fmt.Fprintf(s.Err, "baobabctl: %v.\n", err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return a.reportError(err)
}

func (a *app) addCommands(p *flags.Parser) error {
	p.ShortDescription = "operate a baobabshore deployment"
	p.LongDescription = "Exit codes: 0 done; 1 refused, nothing ran or changed; 2 wrong usage or a faulty file; " +
		"3 it may have run or changed something, or is not finished; 4 it ran and failed."
	if _, err := p.AddGroup("Options of all commands", "", &a.globalOptions); err != nil {
		return err
	}
	for _, c := range a.commandList() {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.commander); err != nil {
			return err
		}
	}
	return nil
}

type command struct {
	name, short, long string
	commander         flags.Commander
}

func (a *app) commandList() []command {
	return []command{
		{"check", "check a file and list all its errors", checkHelp, &checkCommand{app: a}},
		{"apply", "put a cluster configuration in force", applyHelp, &applyCommand{app: a}},
		{"get", "show the values in force and the origin of each", getHelp, &getCommand{app: a}},
		{"status", "show the control group and the members", statusHelp, &statusCommand{app: a}},
		{"dump", "show the tables and recent decisions of a process", dumpHelp, &dumpCommand{app: a}},
		{"submit", "submit a job to an entry and wait for its answer", submitHelp, &submitCommand{app: a}},
		{"job", "show a job, or wait for its answer", jobHelp, &jobCommand{app: a}},
		{"cancel", "cancel a job", cancelHelp, &cancelCommand{app: a}},
		{"drain", "send no new work to an upstream or entry", drainHelp, &drainCommand{app: a}},
		{"drain-domain", "start no new work in a failure domain", drainDomainHelp, &drainDomainCommand{app: a}},
		{"replace", "replace a lost control node", replaceHelp, &replaceCommand{app: a}},
		{"explain", "show the log lines of a request", explainHelp, &explainCommand{app: a}},
		{"dev", "run the whole system in this process", devHelp, &devCommand{app: a}},
		{"dev-upstream", "run one sample upstream", devUpstreamHelp, &devUpstreamCommand{app: a}},
	}
}

// reportError prints err or the help text in it, and returns the exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitDone
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(a.Out, err)
		return ExitDone
	}
	code := exitCode(err)
	if errors.Is(err, errAlreadyPrinted) {
		return code
	}
	if a.JSON {
		a.printJSON(newErrorReport(code, err))
		return code
	}
	fmt.Fprintf(a.Err, "baobabctl: %v\n", err)
	return code
}

func exitCode(err error) int {
	var exit *exitError
	var problems settings.Problems
	var flagError *flags.Error
	var v *verdict.Error
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &problems), errors.As(err, &flagError), errors.Is(err, os.ErrNotExist):
		return ExitUsage
	case errors.As(err, &v):
		return verdictExitCode(v.Verdict)
	}
	return ExitFailed
}

func verdictExitCode(v verdict.Verdict) int {
	switch v {
	case verdict.NotRun:
		return ExitRefused
	case verdict.Ran:
		return ExitFailed
	}
	return ExitUnknown
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Exit     int               `json:"exit"`
	Error    string            `json:"error"`
	Verdict  string            `json:"verdict,omitempty"`
	Reason   verdict.Reason    `json:"reason,omitempty"`
	Problems settings.Problems `json:"problems,omitempty"`
}

func newErrorReport(code int, err error) errorReport {
	r := errorReport{Exit: code, Error: err.Error()}
	errors.As(err, &r.Problems)
	var v *verdict.Error
	if errors.As(err, &v) {
		r.Verdict, r.Reason = v.Verdict.String(), v.Reason
	}
	return r
}

func (a *app) printJSON(v any) {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v) // fails if the reader has closed the pipe and needs no more output
}

// show prints v as JSON if --json is given. Otherwise it calls printText.
func (a *app) show(v any, printText func()) {
	if a.JSON {
		a.printJSON(v)
		return
	}
	printText()
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.Out, format, args...) }

// timeoutContext returns a context that ends after --timeout.
func (a *app) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, time.Duration(a.Timeout))
}

func (a *app) loadSecurity() (rpc.Security, error) {
	p := settings.Process{TokenFile: a.TokenFile, TLS: settings.TLS{Cert: a.Cert, Key: a.Key, CA: a.CA}}
	if p.TLS.Enabled() && (a.Cert == "" || a.Key == "" || a.CA == "") {
		return rpc.Security{}, usageError("TLS needs --tls-cert, --tls-key and --tls-ca")
	}
	sec, err := p.Security()
	if err != nil {
		return sec, &exitError{ExitUsage, err}
	}
	return sec, nil
}

func (a *app) client() (*member.Client, error) {
	sec, err := a.loadSecurity()
	if err != nil {
		return nil, err
	}
	return member.NewClient(member.ClientOptions{Servers: a.Control, Security: sec})
}

// readFile reads the named file, or standard input if name is "-".
func (a *app) readFile(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(a.In)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &exitError{ExitUsage, err}
	}
	return data, nil
}
