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
	"The clocks of the processes may differ; lines of one file keep their order. " +
	"Exits with 1 if no line concerns the id."

// maxLogLineBytes bounds the length of one log line.
const maxLogLineBytes = 1 << 20

type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// logLine is one line of a process's log.
type logLine struct {
	file      string // name of the log file, followed by the prefix of a log collector, if any
	timestamp string // date and time in the format of the log
	text      string
}

// logTimePattern matches the klog header of a line: severity, month and day, time of
// day. A log collector may have put a prefix before it.
var logTimePattern = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) `)

// jobPattern matches the job id in the log line of a request.
var jobPattern = regexp.MustCompile(`\bjob="([0-9a-f]{16})"`)

// Execute prints the lines that concern an id.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	matches := linesAbout(lines, c.Args.ID)
	if len(matches) == 0 {
		return &exitError{ExitRefused, errors.Errorf("none of %d lines concerns %s; lines may have been omitted (see the key omitted), or a log file may be missing", len(lines), c.Args.ID)}
	}
	for _, l := range matches {
		c.app.printf("%s %s: %s\n", l.timestamp, l.file, l.text)
	}
	return nil
}

func (c *explainCommand) readLogs() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLog("stdin", c.app.In)
	}
	var all []logLine
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return nil, &exitError{ExitUsage, err}
		}
		lines, err := readLog(filepath.Base(path), f)
		f.Close()
		if err != nil {
			return nil, &exitError{ExitUsage, errors.Wrap(err, path)}
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines that have a klog header. It drops other lines, such as
// continuations of the line before.
func readLog(file string, r io.Reader) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		m := logTimePattern.FindStringSubmatchIndex(s.Text())
		if m == nil {
			continue
		}
		text := s.Text()
		source := file
		if prefix := strings.TrimSpace(text[:m[0]]); prefix != "" {
			source += " " + prefix
		}
		lines = append(lines, logLine{file: source, timestamp: text[m[2]:m[3]], text: strings.TrimSpace(text[m[1]:])})
	}
	return lines, s.Err()
}

// linesAbout returns the lines that contain id, or the id of a job that occurs in a
// line with id. It sorts them by timestamp as text, which is the order of time
// within one year.
func linesAbout(lines []logLine, id string) []logLine {
	matchIDs := []string{id}
	for _, l := range lines {
		if !strings.Contains(l.text, id) {
			continue
		}
		if m := jobPattern.FindStringSubmatch(l.text); m != nil && !slices.Contains(matchIDs, m[1]) {
			matchIDs = append(matchIDs, m[1])
		}
	}
	var matches []logLine
	for _, l := range lines {
		if slices.ContainsFunc(matchIDs, func(n string) bool { return strings.Contains(l.text, n) }) {
			matches = append(matches, l)
		}
	}
	slices.SortStableFunc(matches, func(a, b logLine) int { return cmp.Compare(a.timestamp, b.timestamp) })
	return matches
}
