package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file or a value, with a suggested fix.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // starts at 1; 0 if there is no file
	Column  int    `json:"column,omitempty"` // starts at 1
	Key     string `json:"key,omitempty"`
	Message string `json:"what"`
	Fix     string `json:"fix"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	fmt.Fprintf(&b, "%s. Fix: %s.", p.Message, p.Fix)
	return b.String()
}

// Problems lists all errors of one file or value, ordered by position.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// position is a line and a column in a file. Both start at 1.
type position struct{ line, column int }

// report collects problems. It keeps only the first problem of each key, since
// later checks would run on a value that is already known to be invalid.
type report struct {
	file      string
	positions map[string]position // by key
	problems  Problems
}

func (r *report) hasProblem(key string) bool {
	return slices.ContainsFunc(r.problems, func(p Problem) bool { return p.Key == key })
}

func (r *report) add(key, message, fix string) {
	if !r.hasProblem(key) {
		r.addAt(r.positionOf(key), key, message, fix)
	}
}

func (r *report) addAt(pos position, key, message, fix string) {
	p := Problem{File: r.file, Line: pos.line, Column: pos.column, Key: key, Message: message, Fix: fix}
	r.problems = append(r.problems, p)
}

// positionOf returns the position of key, or of its nearest parent that has one.
func (r *report) positionOf(key string) position {
	if r.file == "" {
		return position{}
	}
	for {
		if pos, ok := r.positions[key]; ok {
			return pos
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return position{1, 1}
		}
		key = key[:i]
	}
}

func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return r.problems
}
