package exchanger

// Rates in a report are summed over the fleet, so a single figure that is not finite would spoil every sum that includes
// it. A report with such a figure is rejected as a whole.
//
// Example: {14: {"browse": {2: -1}}} is rejected with RateError{Field: "arrivals of browse", Value: -1}.

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// RateError reports a rate in a report that is out of range.
type RateError struct {
	Node  string
	Field string
	Value float64
}

// Error names the node, the field and its value.
func (e RateError) Error() string {
	return fmt.Sprintf("report of %q: %s is %v, expected a rate from 0 to %v a second", e.Node, e.Field, e.Value, float64(maxRate))
}

// ClassError reports a class in a report that does not exist.
type ClassError struct {
	Node  string
	Route string
	Class uint8
}

// Error names the node, the route and the class.
func (e ClassError) Error() string {
	return fmt.Sprintf("report of %q: arrivals of %s have class %d, expected one below %d", e.Node, e.Route, e.Class, identifier.Classes)
}

// maxRate is the highest rate that a report may hold, far above what one node can handle.
const maxRate = 1e9

// readRates decodes the rates of a report that sums over the fleet are made of.
func (w wireReport) readRates(r *Report) error {
	node := w.Node
	if w.Member != nil {
		node = w.Member.Node
	}
	for _, f := range []struct {
		name string
		from float32
		to   *float64
	}{
		{"excess", w.Excess, &r.Excess},
		{"load", w.Load, &r.Load},
		{"offered", w.Offered, &r.Offered},
		{"declined", w.Declined, &r.Declined},
		{"capacity", w.Capacity, &r.Capacity},
		{"queue", w.Queue, &r.Queue},
	} {
		if !validRate(f.from) {
			return RateError{Node: node, Field: f.name, Value: float64(f.from)}
		}
		*f.to = float64(f.from)
	}
	r.Excess = min(1, r.Excess)
	if len(w.Arrivals) > 0 {
		r.Arrivals = make(map[identifier.Route]map[identifier.Class]float64, len(w.Arrivals))
	}
	for route, rates := range w.Arrivals {
		byClass := make(map[identifier.Class]float64, len(rates))
		for class, rate := range rates {
			if class >= identifier.Classes {
				return ClassError{Node: node, Route: route, Class: class}
			}
			if !validRate(rate) {
				return RateError{Node: node, Field: "arrivals of " + route, Value: float64(rate)}
			}
			byClass[identifier.Class(class)] = float64(rate)
		}
		r.Arrivals[identifier.Route(route)] = byClass
	}
	if len(w.TeamArrivals) > 0 {
		r.TeamArrivals = make(map[identifier.Team]map[identifier.Route]float64, len(w.TeamArrivals))
	}
	for team, rates := range w.TeamArrivals {
		byRoute := make(map[identifier.Route]float64, len(rates))
		for route, rate := range rates {
			if !validRate(rate) {
				return RateError{Node: node, Field: "arrivals of team " + team + " for " + route, Value: float64(rate)}
			}
			byRoute[identifier.Route(route)] = float64(rate)
		}
		r.TeamArrivals[identifier.Team(team)] = byRoute
	}
	return nil
}

// validRate returns whether a rate is in range; the comparison is false for NaN.
func validRate(rate float32) bool {
	return rate >= 0 && rate <= maxRate
}

func toArrivals(from map[identifier.Route]map[identifier.Class]float64) map[string]map[uint8]float32 {
	if len(from) == 0 {
		return nil
	}
	to := make(map[string]map[uint8]float32, len(from))
	for route, rates := range from {
		byClass := make(map[uint8]float32, len(rates))
		for class, rate := range rates {
			byClass[uint8(class)] = float32(rate)
		}
		to[string(route)] = byClass
	}
	return to
}

func toTeamArrivals(from map[identifier.Team]map[identifier.Route]float64) map[string]map[string]float32 {
	if len(from) == 0 {
		return nil
	}
	to := make(map[string]map[string]float32, len(from))
	for team, rates := range from {
		to[string(team)] = toFloats(rates)
	}
	return to
}
