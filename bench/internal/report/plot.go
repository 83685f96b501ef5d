package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	headroom   = 1.1
	// legendRoom leaves a part of the plot's width free for the legend.
	legendRoom = 1.2
)

var colors = []color.RGBA{
	{R: 31, G: 119, B: 180, A: 255},
	{R: 255, G: 127, B: 14, A: 255},
	{R: 44, G: 160, B: 44, A: 255},
	{R: 214, G: 39, B: 40, A: 255},
	{R: 148, G: 103, B: 189, A: 255},
	{R: 140, G: 86, B: 75, A: 255},
	{R: 227, G: 119, B: 194, A: 255},
	{R: 60, G: 60, B: 60, A: 255},
	{R: 188, G: 189, B: 34, A: 255},
	{R: 23, G: 190, B: 207, A: 255},
}

// figure is one plot over time.
type figure struct {
	Title string
	// Reading tells what a good line looks like.
	Reading string
	YLabel  string
	Lines   []series
	// Marks are the times of faults, in seconds.
	Marks []float64
	// Top fixes the upper end of the axis; 0 takes it from the lines.
	Top float64
}

// svg draws the figure.
func (f *figure) svg() (template.HTML, error) {
	p, err := f.plot()
	if err != nil {
		return "", err
	}
	return render(p)
}

func (f *figure) plot() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since the start", f.YLabel
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 1, 0, f.Top
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	highest := f.Top
	for i, s := range f.Lines {
		line, err := plotter.NewLine(points(s))
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		line.Color, line.Width = colors[i%len(colors)], vg.Points(1.5)
		line.Dashes = plotutil.Dashes(i / len(colors))
		p.Add(line)
		p.Legend.Add(s.Name, line)
		for _, pt := range s.Points {
			highest = max(highest, pt.Y)
			p.X.Max = max(p.X.Max, pt.X*legendRoom)
		}
	}
	p.Y.Max = max(highest*headroom, p.Y.Max, minTop)
	return p, addMarks(p, f.Marks)
}

const minTop = 1e-3

func points(s series) plotter.XYs {
	xys := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		xys[i].X, xys[i].Y = pt.X, pt.Y
	}
	return xys
}

// addMarks draws a vertical line at each fault.
func addMarks(p *plot.Plot, marks []float64) error {
	for i, x := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		line.Color = color.Gray{Y: 120}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(line)
		if i == 0 {
			p.Legend.Add("fault", line)
		}
	}
	return nil
}

func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	text := b.String()
	// The XML prologue has no place inside a page.
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
