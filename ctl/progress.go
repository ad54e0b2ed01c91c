package ctl

import (
	"fmt"
	"io"
	"os"
)

// progress shows one line that changes, if it goes to a terminal.
type progress struct {
	out  io.Writer
	last string
}

func (a *app) progress() *progress {
	f, ok := a.Err.(*os.File)
	if !ok || a.JSON {
		return &progress{}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progress{}
	}
	return &progress{out: f}
}

func (p *progress) show(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if p.out == nil || line == p.last {
		return
	}
	p.last = line
	fmt.Fprintf(p.out, "\r\x1b[K%s", line)
}

// end removes the line.
func (p *progress) end() {
	if p.out != nil && p.last != "" {
		fmt.Fprint(p.out, "\r\x1b[K")
	}
}
