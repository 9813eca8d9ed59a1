package exchanger

import (
	"errors"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Guards against rates that would spoil every sum over the fleet: a report with one is rejected as a whole.
func TestReportsWithInvalidRatesAreRejected(t *testing.T) {
	rateError, classError := RateError{}, ClassError{}
	for name, c := range map[string]struct {
		report wireReport
		want   any
	}{
		"excess not a number": {wireReport{Node: "a", Excess: float32(math.NaN())}, &rateError},
		"negative load":       {wireReport{Node: "a", Load: -1}, &rateError},
		"infinite offered":    {wireReport{Node: "a", Offered: float32(math.Inf(1))}, &rateError},
		"negative declined":   {wireReport{Node: "a", Declined: -1}, &rateError},
		"huge capacity":       {wireReport{Node: "a", Capacity: 1e10}, &rateError},
		"arrivals not a number": {
			wireReport{Node: "a", Arrivals: map[string]map[uint8]float32{"browse": {2: float32(math.NaN())}}}, &rateError,
		},
		"infinite arrivals of a team": {
			wireReport{Node: "a", TeamArrivals: map[string]map[string]float32{"team": {"browse": float32(math.Inf(1))}}}, &rateError,
		},
		"negative arrivals of a team": {
			wireReport{Node: "a", TeamArrivals: map[string]map[string]float32{"team": {"browse": -1}}}, &rateError,
		},
		"unknown class": {wireReport{Node: "a", Arrivals: map[string]map[uint8]float32{"browse": {16: 1}}}, &classError},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(wireAnswer{Reports: []wireReport{{Node: "b", Number: 1}, c.report}})
			assert.NilError(t, err)
			answer, err := DecodeAnswer(data)
			assert.NilError(t, err)
			assert.Equal(t, len(answer.Refused), 1)
			assert.Assert(t, errors.As(answer.Refused[0], c.want), "%v", answer.Refused)
			assert.Equal(t, len(answer.Reports), 1)
			assert.Equal(t, answer.Reports[0].Member.Node, identifier.Node("b"))
		})
	}
}

// Guards against nodes that read each other's rates differently from how they were sent.
func TestRatesSurviveEncoding(t *testing.T) {
	sent := Report{
		Member: Member{Node: "a"}, Compact: true, Number: 4, Offered: 900, Declined: 450, Capacity: 1500,
		Arrivals:     map[identifier.Route]map[identifier.Class]float64{"browse": {0: 12, 9: 0.5}, "order": {15: 3}},
		TeamArrivals: map[identifier.Team]map[identifier.Route]float64{"team1": {"browse": 8, "order": 0.5}, "team2": {"browse": 4}},
	}
	data, err := EncodeAnswer(Answer{Reports: []Report{sent}})
	assert.NilError(t, err)
	answer, err := DecodeAnswer(data)
	assert.NilError(t, err)
	got := answer.Reports[0]
	assert.DeepEqual(t, got.Arrivals, sent.Arrivals)
	assert.DeepEqual(t, got.TeamArrivals, sent.TeamArrivals)
	assert.Equal(t, [3]float64{got.Offered, got.Declined, got.Capacity}, [3]float64{900, 450, 1500})
}
