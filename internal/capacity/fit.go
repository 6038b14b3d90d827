package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a measured cost Y at the size X.
type Point struct{ X, Y float64 }

// Slope is the linear fit of a cost that was measured at several sizes.
type Slope struct {
	// ID identifies the slope in the tables; Description says what was measured.
	ID, Description string
	// SizeUnit is the unit of X, CostUnit that of Y.
	SizeUnit, CostUnit string
	Points             []Point

	Intercept, Slope float64
	// SlopeError is the standard error of the slope, R2 the coefficient of
	// determination.
	SlopeError, R2 float64
	// Residual is the standard deviation of the points from the line, relative to
	// their values.
	Residual            float64
	meanX, sumW, sumWXX float64
}

// Fit fits a line to the points with weights 1/Y², since the noise of a
// measurement grows with its value. Without weights, the largest sizes would
// determine the fit, and its value at a small size would be mostly their noise.
func Fit(id, description, sizeUnit, costUnit string, points []Point) Slope {
	s := Slope{ID: id, Description: description, SizeUnit: sizeUnit, CostUnit: costUnit, Points: points}
	var xs, ys, ws []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
		ws = append(ws, 1/max(p.Y*p.Y, minCost*minCost))
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

// minCost limits the weight of a point whose measured cost is 0.
const minCost = 1e-9

// Value is an extrapolated figure Y and its standard error.
type Value struct{ Y, Err float64 }

// At returns the fitted cost at size x with its standard error. A negative cost
// can only come from noise and is reported as 0.
func (s *Slope) At(x float64) Value {
	err := s.Residual * math.Sqrt(1/s.sumW+(x-s.meanX)*(x-s.meanX)/s.sumWXX)
	return Value{Y: max(0, s.Intercept+s.Slope*x), Err: err}
}

// Marginal returns the cost that x units of size add, without the intercept.
func (s *Slope) Marginal(x float64) Value {
	return Value{Y: max(0, s.Slope*x), Err: math.Abs(s.SlopeError * x)}
}

// Times returns v scaled by f.
func (v Value) Times(f float64) Value { return Value{Y: v.Y * f, Err: v.Err * math.Abs(f)} }

// Plus returns the sum of v and others, whose errors are taken as independent.
func (v Value) Plus(others ...Value) Value {
	for _, o := range others {
		v = Value{Y: v.Y + o.Y, Err: math.Hypot(v.Err, o.Err)}
	}
	return v
}
