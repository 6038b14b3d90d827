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
	// residual is the standard deviation of the points from the line.
	residual, meanX, sumXX float64
}

// Fit fits a line to the points.
func Fit(id, what, of, unit string, points []Point) Slope {
	s := Slope{ID: id, What: what, Of: of, Unit: unit, Points: points}
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	s.meanX = stat.Mean(xs, nil)
	var sumRR float64
	for i, x := range xs {
		s.sumXX += (x - s.meanX) * (x - s.meanX)
		r := ys[i] - s.Intercept - s.Slope*x
		sumRR += r * r
	}
	s.residual = math.Sqrt(sumRR / float64(len(points)-2))
	s.SlopeError = s.residual / math.Sqrt(s.sumXX)
	return s
}

// Value is a figure worked out from slopes with its standard error.
type Value struct{ Y, Err float64 }

// At returns the line's value at a size and the standard error of the line
// there. A value below 0 can only come from noise and is taken as 0.
func (s *Slope) At(x float64) Value {
	err := s.residual * math.Sqrt(1/float64(len(s.Points))+(x-s.meanX)*(x-s.meanX)/s.sumXX)
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
