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
	// yAxisScale leaves space above the highest value.
	yAxisScale = 1.1
	// xAxisScale leaves space to the right of the lines for the legend.
	xAxisScale = 1.2
)

var palette = []color.RGBA{
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

// timePlot is a plot of values over time.
type timePlot struct {
	Title string
	// Note says how to interpret the plot.
	Note   string
	YLabel string
	Lines  []series
	// FaultTimes are the times of faults, in seconds since the start.
	FaultTimes []float64
	// YMax is a value that the Y axis always includes; 0 takes the range from the lines alone.
	YMax float64
}

// svg renders the plot as an SVG element.
func (tp *timePlot) svg() (template.HTML, error) {
	p, err := tp.plot()
	if err != nil {
		return "", err
	}
	return renderSVG(p)
}

func (tp *timePlot) plot() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since the start", tp.YLabel
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 1, 0, tp.YMax
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	highest := tp.YMax
	for i, s := range tp.Lines {
		line, err := plotter.NewLine(toXYs(s))
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		line.Dashes = plotutil.Dashes(i / len(palette))
		p.Add(line)
		p.Legend.Add(s.Name, line)
		for _, pt := range s.Points {
			highest = max(highest, pt.Y)
			p.X.Max = max(p.X.Max, pt.X*xAxisScale)
		}
	}
	p.Y.Max = max(highest*yAxisScale, p.Y.Max, minYMax)
	return p, addFaultLines(p, tp.FaultTimes)
}

// minYMax keeps the Y axis from being empty when all values are 0.
const minYMax = 1e-3

func toXYs(s series) plotter.XYs {
	xys := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		xys[i].X, xys[i].Y = pt.X, pt.Y
	}
	return xys
}

// addFaultLines draws a vertical line at the time of each fault.
func addFaultLines(p *plot.Plot, times []float64) error {
	for i, x := range times {
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

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	text := b.String()
	// The XML declaration is not valid inside an HTML page.
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
