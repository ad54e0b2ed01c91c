package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault in a file or a value, with its fix.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`   // from 1, zero when there is no file
	Column int    `json:"column,omitempty"` // from 1
	Key    string `json:"key,omitempty"`
	What   string `json:"what"`
	Fix    string `json:"fix"`
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
	fmt.Fprintf(&b, "%s. Fix: %s.", p.What, p.Fix)
	return b.String()
}

// Problems are all faults of one file or value, in the order of their places.
type Problems []Problem

// Error returns the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// place is a position in a file, both from 1.
type place struct{ line, column int }

// report collects problems. It keeps one problem for each key, the first,
// since a later rule judges a value that the first problem has made invalid.
type report struct {
	file     string
	places   map[string]place // by key
	problems Problems
}

func (r *report) has(key string) bool {
	return slices.ContainsFunc(r.problems, func(p Problem) bool { return p.Key == key })
}

func (r *report) add(key, what, fix string) {
	if !r.has(key) {
		r.addAt(r.find(key), key, what, fix)
	}
}

func (r *report) addAt(at place, key, what, fix string) {
	p := Problem{File: r.file, Line: at.line, Column: at.column, Key: key, What: what, Fix: fix}
	r.problems = append(r.problems, p)
}

// find returns the place of key, or of the nearest group that holds it.
func (r *report) find(key string) place {
	if r.file == "" {
		return place{}
	}
	for {
		if at, ok := r.places[key]; ok {
			return at
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return place{1, 1}
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
