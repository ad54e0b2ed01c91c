package ctl

import (
	"bufio"
	"cmp"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

const explainHelp = "Prints the log lines that concern one request, in order of time. ID is the id of the request, " +
	"of the job or of a task. FILES are the logs of several processes; without any, standard input is read. " +
	"The clocks of the processes may disagree: lines of one file are always in their own order. " +
	"Exits with 1 if no line concerns the id."

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// logLine is one line of a process's log.
type logLine struct {
	file string
	at   string // date and time as the process wrote them
	text string
}

// logTime matches the start of a line: severity, month and day, time of day. A
// collector may have put something before it.
var logTime = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) `)

// jobOf matches the job of a request.
var jobOf = regexp.MustCompile(`\bjob="([0-9a-f]{16})"`)

// Execute prints the lines that concern an id.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	found := explain(lines, c.Args.ID)
	if len(found) == 0 {
		return &exit{ExitRefused, errors.Errorf("none of %d lines concerns %s; was it left out, see the key omitted, or is a file missing?", len(lines), c.Args.ID)}
	}
	for _, l := range found {
		c.app.printf("%s %s: %s\n", l.at, l.file, l.text)
	}
	return nil
}

func (c *explainCommand) read() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLog("stdin", c.app.In)
	}
	var all []logLine
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return nil, &exit{ExitUsage, err}
		}
		lines, err := readLog(filepath.Base(path), f)
		f.Close()
		if err != nil {
			return nil, &exit{ExitUsage, errors.Wrap(err, path)}
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads the lines that begin with a time. Others continue the line before.
func readLog(file string, r io.Reader) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		m := logTime.FindStringSubmatchIndex(s.Text())
		if m == nil {
			continue
		}
		text := s.Text()
		source := file
		if before := strings.TrimSpace(text[:m[0]]); before != "" {
			source += " " + before
		}
		lines = append(lines, logLine{file: source, at: text[m[2]:m[3]], text: strings.TrimSpace(text[m[1]:])})
	}
	return lines, s.Err()
}

// explain returns the lines that name an id or the job that a line with the id
// names. Times are compared as text, which orders them within a year.
func explain(lines []logLine, id string) []logLine {
	names := []string{id}
	for _, l := range lines {
		if !strings.Contains(l.text, id) {
			continue
		}
		if m := jobOf.FindStringSubmatch(l.text); m != nil && !slices.Contains(names, m[1]) {
			names = append(names, m[1])
		}
	}
	var found []logLine
	for _, l := range lines {
		if slices.ContainsFunc(names, func(n string) bool { return strings.Contains(l.text, n) }) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	return found
}
