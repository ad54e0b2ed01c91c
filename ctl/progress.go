package ctl

import (
	"fmt"
	"io"
	"os"
)

// progress shows a status line that is overwritten in place. Without a terminal it
// prints nothing.
type progress struct {
	out      io.Writer
	lastLine string
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
	if p.out == nil || line == p.lastLine {
		return
	}
	p.lastLine = line
	fmt.Fprintf(p.out, "\r\x1b[K%s", line)
}

// clear erases the status line.
func (p *progress) clear() {
	if p.out != nil && p.lastLine != "" {
		fmt.Fprint(p.out, "\r\x1b[K")
	}
}
