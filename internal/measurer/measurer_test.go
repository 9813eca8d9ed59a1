package measurer

import (
	"bytes"
	"context"
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	pagePath    = "../../docs/CAPACITY.md"
	resultsPath = "../../docs/results/slopes.jsonl"
)

// If only a formula, the page or the results file changes, readers would plan a fleet by figures that were not measured.
// Run with -update to regenerate the tables.
func TestPageMatchesItsResults(t *testing.T) {
	file, err := os.Open(resultsPath)
	assert.NilError(t, err)
	defer file.Close()
	results, err := ReadResults(file)
	assert.NilError(t, err)
	page, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	want, err := Page(string(page), results)
	assert.NilError(t, err)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pagePath, []byte(want), 0o600))
		return
	}
	assert.Equal(t, string(page), want)
}

func TestPageReportsInvalidTablesAndMissingSeries(t *testing.T) {
	complete := Results{Fits: map[string]Fit{}}
	for _, s := range requiredSeries {
		complete.Fits[s] = Fit{}
	}
	cases := map[string]struct {
		page    string
		results Results
		want    string
	}{
		"no end":         {"<!-- table: slopes -->\n", complete, `capacity page: table "slopes" is unknown or has no end`},
		"unknown table":  {"<!-- table: x -->\n<!-- end -->", complete, `capacity page: table "x" is unknown or has no end`},
		"missing series": {"", Results{}, `the results have no series "memory.ownMembers"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Page(c.page, c.results)
			assert.Error(t, err, c.want)
		})
	}
}

func TestFitFindsTheLineAndItsError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept := rapid.Float64Range(-1000, 1000).Draw(t, "intercept")
		slope := rapid.Float64Range(-50, 50).Draw(t, "slope")
		noise := rapid.Float64Range(0, 10).Draw(t, "noise")
		s := Series{Name: "s"}
		for x := range 8 {
			sign := float64(1 - 2*(x/2%2))
			s.Points = append(s.Points, Point{X: float64(x), Y: intercept + slope*float64(x) + sign*noise})
		}
		f := FitOf(s)
		assert.Assert(t, math.Abs(f.Slope-slope) <= 3*f.SlopeError+1e-9, "%v", f)
		assert.Assert(t, f.SlopeError <= noise+1e-9, "%v", f)
	})
}

func TestResultsRoundTrip(t *testing.T) {
	var b bytes.Buffer
	s := Series{Name: "memory.x", Variable: "x", Unit: "B", Points: []Point{{X: 0, Y: 10}, {X: 1, Y: 13}, {X: 4, Y: 22}}}
	assert.NilError(t, writeSeries(&b, s))
	assert.NilError(t, writeCheck(&b, Check{Name: "c", Unit: "B", Predicted: 5, Measured: 6}))
	got, err := ReadResults(&b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Points["memory.x"], s.Points)
	f := got.Fits["memory.x"]
	assert.Assert(t, f.Slope == 3 && f.Intercept == 10 && f.From == 0 && f.To == 4 && f.Count == 3, "%v", f)
	assert.DeepEqual(t, got.Checks, []Check{{Name: "c", Unit: "B", Predicted: 5, Measured: 6}})
}

// The simulated fleet must behave like a real one: the same seed gives the same traffic, changes are in force at every
// node within the four seconds guaranteed to operators, and the nodes of a returning domain rejoin the fleet.
func TestFleetIsDeterministicAndConverges(t *testing.T) {
	s := workload{domains: 2, nodes: 2, changesPerMinute: 60, services: 2, teams: 2, calls: 10}
	first, err := s.simulate(context.Background(), 3)
	assert.NilError(t, err)
	second, err := s.simulate(context.Background(), 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, first.messages, second.messages)
	assert.DeepEqual(t, first.bytes, second.bytes)
	took, err := burst(50, 3, 3)
	assert.NilError(t, err)
	assert.Assert(t, took[0] > 0 && took[0] < float64(4*clock.Second), "%v", took)
	took, err = domainReturn(3, 3)
	assert.NilError(t, err)
	assert.Assert(t, took[0] > 0, "%v", took)
	assert.Equal(t, took[2], 3.0)
}

func TestLoopbackFleetCountsBytes(t *testing.T) {
	wire, cpu, err := messageCost(context.Background(), 100)
	assert.NilError(t, err)
	assert.Assert(t, wire > 100+packetOverhead && wire < 400, "%v bytes on the wire", wire)
	assert.Assert(t, cpu > 0)
	p50, p99, _, err := chainCost(context.Background(), 3)
	assert.NilError(t, err)
	assert.Assert(t, 0 < p50 && p50 <= p99)
}
