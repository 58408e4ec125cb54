// Package slope fits straight lines to measurements of a cost at several
// sizes and prints them as a table.
//
// # Usage
//
//	s := slope.New("control CPU of a daemon", "daemons", "% of a core")
//	s.Add(3, 0.21)
//	s.Add(9, 0.24)
//	s.Write(os.Stdout, 360)
//
// A fit needs two sizes; with fewer, Write prints the points alone.
package slope

import (
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Series is the cost of one thing at several sizes.
type Series struct {
	name string
	x, y string // units
	xs   []float64
	ys   []float64
}

// New returns a series without points. X and y are the units of size and cost.
func New(name, x, y string) *Series {
	return &Series{name: name, x: x, y: y}
}

// Add adds the cost y at the size x.
func (s *Series) Add(x, y float64) {
	s.xs = append(s.xs, x)
	s.ys = append(s.ys, y)
}

// Fit returns the cost at size zero, the cost of each unit of size and the
// share of the variance that the line explains, by least squares. They are not
// numbers if all points are of one size.
func (s *Series) Fit() (base, each, r2 float64) {
	base, each = stat.LinearRegression(s.xs, s.ys, nil, false)
	return base, each, stat.RSquared(s.xs, s.ys, nil, base, each)
}

// fits reports whether there are points at two different sizes.
func (s *Series) fits() bool {
	return slices.ContainsFunc(s.xs, func(x float64) bool { return x != s.xs[0] })
}

// Write prints the points, the fit, and the fit's value at the target size,
// which is marked as extrapolated if it lies beyond the points.
func (s *Series) Write(w io.Writer, target float64) error {
	if _, err := fmt.Fprintf(w, "slope: %s\n  %12s  %s\n", s.name, s.x, s.y); err != nil {
		return err
	}
	largest := 0.0
	for i := range s.xs {
		largest = max(largest, s.xs[i])
		if _, err := fmt.Fprintf(w, "  %12g  %.4g\n", s.xs[i], s.ys[i]); err != nil {
			return err
		}
	}
	if !s.fits() {
		return nil
	}
	base, each, r2 := s.Fit()
	mark := ""
	if target > largest {
		mark = " (extrapolated)"
	}
	_, err := fmt.Fprintf(w, "  fit: %.4g + %.4g per %s, R² %.3f; at %g: %.4g%s\n", base, each, s.x, r2, target, base+each*target, mark)
	return err
}
