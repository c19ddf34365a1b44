// Package chart draws what the project measures as PNG files: heat maps, lines and
// bars, over gonum/plot. It never reads or judges what it draws.
package chart

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Heat is a table of figures to be drawn as colours; below 0: nothing there.
type Heat struct {
	Title      string
	Rows, Cols []string
	Cells      [][]float64 // by row, then column
	Full       float64     // the figure at which the colour is the hottest
}

// grid turns rows, listed from the top, into plotter's, counted from the bottom.
type grid struct{ h *Heat }

func (g grid) Dims() (c, r int)   { return len(g.h.Cols), len(g.h.Rows) }
func (g grid) X(c int) float64    { return float64(c) }
func (g grid) Y(r int) float64    { return float64(r) }
func (g grid) Z(c, r int) float64 { return g.cell(c, r) }
func (g grid) cell(c, r int) float64 {
	z := g.h.Cells[len(g.h.Rows)-1-r][c]
	if z < 0 {
		return math.NaN()
	}
	return min(z, g.h.Full)
}

// mostWritten is the number of rows up to which each cell has its figure written in.
const mostWritten = 60

// Draw writes the heat map to a file.
func (h *Heat) Draw(file string) error {
	p := plot.New()
	p.Title.Text = h.Title
	colours := moreland.SmoothBlueRed()
	colours.SetMax(h.Full)
	colours.SetMin(0)
	m := plotter.NewHeatMap(grid{h}, colours.Palette(64))
	m.Min, m.Max, m.NaN = 0, h.Full, color.Gray{200}
	p.Add(m)
	if len(h.Rows) <= mostWritten {
		l, err := h.labels()
		if err != nil {
			return err
		}
		p.Add(l)
	}
	p.X.Tick.Marker, p.Y.Tick.Marker = ticks(h.Cols, false), ticks(h.Rows, true)
	width := vg.Length(max(6, 2+len(h.Cols))) * vg.Inch
	height := vg.Length(min(max(3, 1+float64(len(h.Rows))/4), 30)) * vg.Inch
	return p.Save(width, height, file)
}

func (h *Heat) labels() (*plotter.Labels, error) {
	var at plotter.XYLabels
	for r, row := range h.Cells {
		for c, z := range row {
			if z >= 0 {
				at.XYs = append(at.XYs, plotter.XY{X: float64(c) - 0.15, Y: float64(len(h.Rows)-1-r) - 0.2})
				at.Labels = append(at.Labels, fmt.Sprintf("%.2f", z))
			}
		}
	}
	return plotter.NewLabels(at)
}

func ticks(names []string, down bool) plot.ConstantTicks {
	var out plot.ConstantTicks
	every := len(names)/mostWritten + 1
	for i, n := range names {
		at := i
		if down {
			at = len(names) - 1 - i
		}
		if i%every == 0 {
			out = append(out, plot.Tick{Value: float64(at), Label: n})
		}
	}
	return out
}

// Series is a named line.
type Series struct {
	Name string
	X, Y []float64
}

// Lines draws series over one pair of axes.
func Lines(file, title, x, y string, series ...Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	for i, s := range series {
		pts := make(plotter.XYs, len(s.X))
		for k := range s.X {
			pts[k] = plotter.XY{X: s.X[k], Y: s.Y[k]}
		}
		l, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		l.Color, l.Width = colour(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(s.Name, l)
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, file)
}

// Bars draws groups of bars: one group for each name, one bar in it for each series.
func Bars(file, title, y string, names []string, series ...Series) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	p.Legend.Top = true
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	wide, high := vg.Points(24), 0.0
	for i, s := range series {
		b, err := plotter.NewBarChart(plotter.Values(s.Y), wide)
		if err != nil {
			return err
		}
		b.Color, b.LineStyle.Width = colour(i), 0
		b.Offset = wide * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(b)
		p.Legend.Add(s.Name, b)
		for _, v := range s.Y {
			high = max(high, v)
		}
	}
	p.NominalX(names...)
	p.Y.Min, p.Y.Max = 0, 1.3*high // the legend stands above the bars
	return p.Save(8*vg.Inch, 5*vg.Inch, file)
}

// colour is one of a few that are told apart in print too.
func colour(i int) color.Color {
	list := []color.RGBA{{31, 119, 180, 255}, {255, 127, 14, 255}, {44, 160, 44, 255}, {214, 39, 40, 255}, {148, 103, 189, 255}, {90, 90, 90, 255}}
	return list[i%len(list)]
}
