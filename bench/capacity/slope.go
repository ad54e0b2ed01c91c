// Package capacity measures what each role costs for each unit of its drivers
// (members, upstreams, jobs, tasks, teams) and extrapolates to the design scale.
// docs/CAPACITY.md is worked out from its tables.
package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Series holds the values of one cost at several values of its driver.
type Series struct {
	Name   string  // what is measured
	Unit   string  // of Y
	Driver string  // what X counts
	At     float64 // value of the driver at the design scale
	// Level marks a cost that does not grow with the driver in a straight line,
	// such as the share of a batch. It is not extrapolated.
	Level bool
	X, Y  []float64
}

// Add appends a point.
func (s *Series) Add(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

// Fit returns the least-squares line through the points: the cost of each
// unit of the driver and the cost at zero units.
func (s Series) Fit() (slope, base float64) {
	n := float64(len(s.X))
	var sx, sy, sxx, sxy float64
	for i, x := range s.X {
		sx, sy, sxx, sxy = sx+x, sy+s.Y[i], sxx+x*x, sxy+x*s.Y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// Bend returns the slope between the last two points relative to the slope
// between the first and the last one. A cost that grows faster than its driver
// has a bend above 1 at every range.
func (s Series) Bend() float64 {
	n := len(s.X) - 1
	whole := (s.Y[n] - s.Y[0]) / (s.X[n] - s.X[0])
	if whole == 0 {
		return 1
	}
	return (s.Y[n] - s.Y[n-1]) / (s.X[n] - s.X[n-1]) / whole
}

// Value returns the cost at the given value of the driver by the fitted line.
func (s Series) Value(x float64) float64 {
	slope, base := s.Fit()
	return base + slope*x
}

// Print writes the series as Markdown tables, one for each run of series with
// the same driver and points.
func Print(w io.Writer, title string, all []Series) {
	fmt.Fprintf(w, "\n### %s\n", title)
	for i, s := range all {
		if i == 0 || s.head() != all[i-1].head() {
			fmt.Fprintf(w, "\n%s\n|---|%s--:|--:|--:|--:|\n", s.head(), strings.Repeat("--:|", len(s.X)))
		}
		fmt.Fprintf(w, "| %s (%s) |", s.Name, s.Unit)
		for _, y := range s.Y {
			fmt.Fprintf(w, " %s |", number(y))
		}
		if s.Level {
			fmt.Fprintf(w, " | | | |\n")
			continue
		}
		slope, base := s.Fit()
		fmt.Fprintf(w, " %s | %s | %.2f | %s |\n", number(slope), number(base), s.Bend(), number(s.Value(s.At)))
	}
}

func (s Series) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |", s.Driver)
	for _, x := range s.X {
		fmt.Fprintf(&b, " %s |", number(x))
	}
	if s.Level {
		b.WriteString(" | | | |")
		return b.String()
	}
	fmt.Fprintf(&b, " for each | at 0 | bend | at %s |", number(s.At))
	return b.String()
}

// number writes a value with at least three significant digits.
func number(v float64) string {
	switch a := max(v, -v); {
	case v == float64(int64(v)) || a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.1:
		return fmt.Sprintf("%.3f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
