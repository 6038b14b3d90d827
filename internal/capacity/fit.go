package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the cost Y at the size X.
type Point struct{ X, Y float64 }

// Slope is a cost measured at several sizes with its linear fit.
type Slope struct {
	// ID names the slope in the tables, What describes the cost.
	ID, What string
	// Of is the unit of X, Unit that of Y.
	Of, Unit string
	Points   []Point

	Intercept, Slope float64
	// SlopeError is the standard error of the slope, R2 the share of the variance
	// that the line explains.
	SlopeError, R2 float64
	// Residual is the standard deviation of the points from the line, as a share
	// of their values.
	Residual            float64
	meanX, sumW, sumWXX float64
}

// Fit fits a line to the points. Each is weighted by 1/Y², since the noise of a
// measurement grows with its value; without that the small sizes would not
// count, and a value at a small size would be noise of the largest.
func Fit(id, what, of, unit string, points []Point) Slope {
	s := Slope{ID: id, What: what, Of: of, Unit: unit, Points: points}
	var xs, ys, ws []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
		ws = append(ws, 1/max(p.Y*p.Y, smallest*smallest))
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, ws, false)
	s.R2 = stat.RSquared(xs, ys, ws, s.Intercept, s.Slope)
	s.meanX = stat.Mean(xs, ws)
	var sumRR float64
	for i, x := range xs {
		s.sumW += ws[i]
		s.sumWXX += ws[i] * (x - s.meanX) * (x - s.meanX)
		r := ys[i] - s.Intercept - s.Slope*x
		sumRR += ws[i] * r * r
	}
	s.Residual = math.Sqrt(sumRR / float64(len(points)-2))
	s.SlopeError = s.Residual / math.Sqrt(s.sumWXX)
	return s
}

// smallest bounds the weight of a measurement that came out as 0.
const smallest = 1e-9

// Value is a figure worked out from slopes with its standard error.
type Value struct{ Y, Err float64 }

// At returns the line's value at a size and the standard error of the line
// there. A value below 0 can only come from noise and is taken as 0.
func (s *Slope) At(x float64) Value {
	err := s.Residual * math.Sqrt(1/s.sumW+(x-s.meanX)*(x-s.meanX)/s.sumWXX)
	return Value{Y: max(0, s.Intercept+s.Slope*x), Err: err}
}

// Per returns the slope alone, without the part that does not grow.
func (s *Slope) Per(x float64) Value {
	return Value{Y: max(0, s.Slope*x), Err: math.Abs(s.SlopeError * x)}
}

// Times scales a value.
func (v Value) Times(f float64) Value { return Value{Y: v.Y * f, Err: v.Err * math.Abs(f)} }

// Plus adds independent values.
func (v Value) Plus(others ...Value) Value {
	for _, o := range others {
		v = Value{Y: v.Y + o.Y, Err: math.Hypot(v.Err, o.Err)}
	}
	return v
}
