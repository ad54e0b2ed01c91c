package bench

import (
	"maps"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curves are named lines of a plot.
type curves map[string]plotter.XYs

func (c curves) add(name string, x, y float64) { c[name] = append(c[name], plotter.XY{X: x, Y: y}) }

// save writes the plot as an SVG file.
func (c curves) save(dir, name, title, x, y string, logarithmic bool) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	if logarithmic {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	var lines []any
	for _, k := range slices.Sorted(maps.Keys(c)) {
		lines = append(lines, k, c[k])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, name+".svg"))
}
