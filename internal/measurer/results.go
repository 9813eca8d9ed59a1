// Results are written as JSON lines, so that a results file can be committed and compared, and the tables of the
// capacity page can be generated from it.
//
// Example: {"kind":"fit","series":"memory.keys","variable":"keys","unit":"B","slope":410.2,"slopeError":3.1,…}

package measurer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Kinds of results.
const (
	kindPoint = "point"
	kindFit   = "fit"
	kindCheck = "check"
)

// Point is one measurement.
type Point struct {
	X, Y float64
}

// Series holds the measurements of one quantity while one variable was varied.
type Series struct {
	Name     string
	Variable string
	Unit     string
	Points   []Point
}

// Fit is the linear regression of a series.
type Fit struct {
	Series    string
	Variable  string
	Unit      string
	From, To  float64
	Count     int
	Intercept float64
	Slope     float64
	// SlopeError is the standard error of the slope.
	SlopeError float64
	RSquared   float64
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 {
	return f.Intercept + f.Slope*x
}

// FitOf returns the linear regression of the series' points.
func FitOf(s Series) Fit {
	f := Fit{Series: s.Name, Variable: s.Variable, Unit: s.Unit, Count: len(s.Points)}
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	f.From, f.To = xs[0], xs[len(xs)-1]
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.RSquared = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	f.SlopeError = slopeError(xs, ys, f)
	return f
}

func slopeError(xs, ys []float64, f Fit) float64 {
	if len(xs) < 3 {
		return math.Inf(1)
	}
	mean := stat.Mean(xs, nil)
	var residuals, spread float64
	for i, x := range xs {
		r := ys[i] - f.At(x)
		residuals += r * r
		spread += (x - mean) * (x - mean)
	}
	return math.Sqrt(residuals / float64(len(xs)-2) / spread)
}

// Check compares the value that fits predict with a measurement outside of their range.
type Check struct {
	Name      string
	Unit      string
	Predicted float64
	Measured  float64
}

type resultLine struct {
	Kind       string  `json:"kind"`
	Series     string  `json:"series"`
	Variable   string  `json:"variable,omitempty"`
	Unit       string  `json:"unit"`
	X          float64 `json:"x,omitempty"`
	Y          float64 `json:"y,omitempty"`
	From       float64 `json:"from,omitempty"`
	To         float64 `json:"to,omitempty"`
	Count      int     `json:"points,omitempty"`
	Intercept  float64 `json:"intercept,omitempty"`
	Slope      float64 `json:"slope,omitempty"`
	SlopeError float64 `json:"slopeError,omitempty"`
	RSquared   float64 `json:"rSquared,omitempty"`
	Predicted  float64 `json:"foretold,omitempty"`
	Measured   float64 `json:"measured,omitempty"`
}

// roundSignificant rounds to five significant digits, which is more precise than the measurements and keeps the file
// readable.
func roundSignificant(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	const digits = 5
	scale := math.Pow(10, digits-math.Ceil(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func writeSeries(out io.Writer, s Series) error {
	for _, p := range s.Points {
		w := resultLine{
			Kind: kindPoint, Series: s.Name, Variable: s.Variable, Unit: s.Unit, X: roundSignificant(p.X), Y: roundSignificant(p.Y),
		}
		if err := writeLine(out, w); err != nil {
			return err
		}
	}
	f := FitOf(s)
	return writeLine(out, resultLine{
		Kind: kindFit, Series: f.Series, Variable: f.Variable, Unit: f.Unit, From: roundSignificant(f.From), To: roundSignificant(f.To),
		Count: f.Count, Intercept: roundSignificant(f.Intercept), Slope: roundSignificant(f.Slope),
		SlopeError: roundSignificant(f.SlopeError), RSquared: roundSignificant(f.RSquared),
	})
}

func writeCheck(out io.Writer, c Check) error {
	return writeLine(out, resultLine{
		Kind: kindCheck, Series: c.Name, Unit: c.Unit, Predicted: roundSignificant(c.Predicted), Measured: roundSignificant(c.Measured),
	})
}

func writeLine(out io.Writer, w resultLine) error {
	b, err := json.Marshal(w)
	if err != nil {
		return fmt.Errorf("encode result of series %s: %w", w.Series, err)
	}
	_, err = out.Write(append(b, '\n'))
	return err
}

// Results is the content of a results file.
type Results struct {
	Fits   map[string]Fit
	Points map[string][]Point
	Checks []Check
}

// MissingError reports a series that a page needs and a results file lacks.
type MissingError struct {
	Series string
}

// Error returns the missing series.
func (e MissingError) Error() string {
	return fmt.Sprintf("the results have no series %q", e.Series)
}

// ReadResults reads a results file.
func ReadResults(r io.Reader) (Results, error) {
	out := Results{Fits: map[string]Fit{}, Points: map[string][]Point{}}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var w resultLine
		if err := json.Unmarshal(lines.Bytes(), &w); err != nil {
			return Results{}, fmt.Errorf("parse a line of the results: %w", err)
		}
		out.add(w)
	}
	return out, lines.Err()
}

func (r *Results) add(w resultLine) {
	switch w.Kind {
	case kindPoint:
		r.Points[w.Series] = append(r.Points[w.Series], Point{X: w.X, Y: w.Y})
	case kindFit:
		r.Fits[w.Series] = Fit{
			Series: w.Series, Variable: w.Variable, Unit: w.Unit, From: w.From, To: w.To, Count: w.Count,
			Intercept: w.Intercept, Slope: w.Slope, SlopeError: w.SlopeError, RSquared: w.RSquared,
		}
	case kindCheck:
		r.Checks = append(r.Checks, Check{Name: w.Series, Unit: w.Unit, Predicted: w.Predicted, Measured: w.Measured})
	}
}
