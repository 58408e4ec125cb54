package replay

import (
	"image/color"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot draws goodput and wasted prefill against load, one line for each
// policy, as SVG.
func WritePlot(w io.Writer, set []Result) error {
	good := plot.New()
	good.Title.Text = "goodput"
	good.X.Label.Text = "load"
	good.Y.Label.Text = "good requests per second"
	waste := plot.New()
	waste.Title.Text = "wasted prefill"
	waste.X.Label.Text = "load"
	waste.Y.Label.Text = "part of the prefill"
	for i, p := range policiesOf(set) {
		if err := addLine(good, set, p, i, func(r *Result) float64 { return r.GoodRate }); err != nil {
			return err
		}
		if err := addLine(waste, set, p, i, func(r *Result) float64 { return r.Waste }); err != nil {
			return err
		}
	}
	good.Y.Min, waste.Y.Min = 0, 0
	good.Legend.Left = true
	waste.Legend.Left, waste.Legend.Top = true, true
	c := vgsvg.New(plotWidth, plotHeight)
	left := draw.Crop(draw.New(c), 0, -plotWidth/2, 0, 0)
	right := draw.Crop(draw.New(c), plotWidth/2, 0, 0, 0)
	good.Draw(left)
	waste.Draw(right)
	if _, err := c.WriteTo(w); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}

func policiesOf(set []Result) []Policy {
	var out []Policy
	seen := make(map[Policy]bool)
	for i := range set {
		if p := set[i].Policy; !seen[p] {
			seen[p] = true
			out = append(out, p)
		}
	}
	return out
}

func addLine(to *plot.Plot, set []Result, p Policy, n int, value func(*Result) float64) error {
	var xy plotter.XYs
	for i := range set {
		if r := &set[i]; r.Policy == p {
			xy = append(xy, plotter.XY{X: r.Load, Y: value(r)})
		}
	}
	l, s, err := plotter.NewLinePoints(xy)
	if err != nil {
		return errors.Wrapf(err, "plot %s", p)
	}
	l.Color = palette[n%len(palette)]
	s.Color = l.Color
	to.Add(l, s)
	to.Legend.Add(string(p), l, s)
	return nil
}

var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x7f, B: 0x4b, A: 0xff},
	color.RGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff},
	color.RGBA{R: 0x7a, G: 0x3f, B: 0xb0, A: 0xff},
	color.RGBA{R: 0xd0, G: 0x7a, B: 0x10, A: 0xff},
	color.RGBA{R: 0xc0, G: 0x2b, B: 0x2b, A: 0xff},
	color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xff},
}
